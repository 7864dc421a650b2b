"""Parses the requests of one client connection: heads, and bodies that are buffered."""

from __future__ import annotations

from typing import Protocol

import httptools

from woadyard.net.header_fields import FramingError, HeaderFields
from woadyard.net.message import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from woadyard.net.request_head import BadRequestError

READY_PATH = b"/health/ready"
NO_FIELDS = HeaderFields()


def rejection_of(error: httptools.HttpParserCallbackError) -> BadRequestError:
    """Return what a request is rejected with, without the frames of the parser's callbacks.

    A frame that keeps an exception which was raised below it is a reference cycle, and so is all that
    the frame refers to: the connection would stay until the garbage collector runs.
    """
    if isinstance(error.__context__, BadRequestError):
        return BadRequestError(error.__context__.status, str(error.__context__))
    return BadRequestError(400, "malformed")


class RequestHandler(Protocol):
    """Receives the parser's events; once `is_closed` is set it receives none."""

    is_closed: bool

    def on_expect_continue(self) -> None:
        """The client expects a 100 Continue before it sends the body."""

    def on_request_complete(self) -> None:
        """The last byte of a request was parsed."""


class RequestParser:
    """Holds the request that is being parsed, or the last one."""

    def __init__(self, handler: RequestHandler, read_headers: frozenset[bytes]) -> None:
        self.handler, self.read_headers = handler, read_headers
        self.http_parser = httptools.HttpRequestParser(self)
        self.bytes_since_request = 0  # since the end of the last whole request
        self.bytes_since_body = 0  # since the head, or the latest part of the body
        self.has_begun = False  # the first request of the connection has
        self._reset()

    def _reset(self) -> None:
        self.target = b""
        self.headers = NO_FIELDS
        # One buffer: as objects of their own, the pieces of a body in small chunks take many times its size.
        self.body = bytearray()
        self.body_size = self.head_size = 0
        self.content_length: int | None = None
        self.in_body = self.is_reading = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises BadRequestError or one of httptools' errors on a bad request. The latter have a
        BadRequestError as their context if a callback of this class raised it.
        """
        self.bytes_since_request += len(data)
        self.bytes_since_body += len(data)
        self.http_parser.feed_data(data)
        if not self.in_body and self.bytes_since_request > MAX_HEAD_BYTES:
            raise BadRequestError(431, "the request head is too large")
        if self.in_body and self.bytes_since_body > MAX_HEAD_BYTES:  # the HTTP parser buffers a trailer
            raise BadRequestError(431, "the trailers or a chunk's extensions are too large")

    def close(self) -> None:
        """Break the reference cycles of parser and handler, so that no garbage collection is needed."""
        del self.http_parser, self.handler

    @property
    def method(self) -> bytes:
        return self.http_parser.get_method()

    @property
    def wants_keep_alive(self) -> bool:
        """Whether the client means to reuse its connection."""
        return self.http_parser.should_keep_alive()

    @property
    def is_http_10(self) -> bool:
        """Whether the client uses HTTP/1.0, which has no chunked coding."""
        return self.http_parser.get_http_version() == "1.0"

    @property
    def is_silent(self) -> bool:
        """Whether the client has not sent a byte yet."""
        return not (self.bytes_since_request or self.has_begun)

    @property
    def is_health_check(self) -> bool:
        return self.target.partition(b"?")[0] == READY_PATH

    @property
    def has_large_body(self) -> bool:
        """Whether the body being received is too large to buffer."""
        return self.in_body and max(self.body_size, self.content_length or 0) > MAX_BUFFERED_BODY_BYTES

    @property
    def held_bytes(self) -> int:
        """The bytes that it holds of the request that is being parsed."""
        return len(self.target) + self.headers.size + len(self.body)

    def take_body(self) -> bytes:
        """Return what was received of the body since the last call, and keep none of it."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def discard(self) -> None:
        """Keep nothing of what was parsed of the request."""
        self.target, self.headers, self.body = b"", NO_FIELDS, bytearray()

    def finish_request(self) -> None:
        """End the request, and keep nothing of it: the connection may rest for long."""
        self.discard()
        self.in_body, self.is_reading, self.bytes_since_request = False, False, 0

    # --- Callbacks of httptools -----------------------------------------------------

    def on_message_begin(self) -> None:
        self._reset()
        self.headers = HeaderFields(self.read_headers)
        self.is_reading = self.has_begun = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._count_head_bytes(len(url))

    def _count_head_bytes(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "the request head is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return  # trailers are not forwarded
        self.headers.add(name, value)
        self._count_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.in_body, self.bytes_since_body = True, 0
        try:
            length, is_chunked = self.headers.framing()
        except FramingError as error:
            raise BadRequestError(501, str(error)) from None
        if (length or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "the request body is too large")
        self.content_length = None if is_chunked else length or 0
        if self.headers.get(b"expect").lower() == b"100-continue":
            self.handler.on_expect_continue()

    def on_body(self, data: bytes) -> None:
        if self.handler.is_closed:
            return
        self.body_size += len(data)
        self.bytes_since_body = 0
        if self.body_size > MAX_BODY_BYTES:
            raise BadRequestError(413, "the request body is too large")
        self.body += data

    def on_message_complete(self) -> None:
        if not self.handler.is_closed:
            self.handler.on_request_complete()
