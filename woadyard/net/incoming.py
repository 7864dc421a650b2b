"""Requests as they are read from one connection: the head, and the body that is held."""

from __future__ import annotations

from typing import Protocol

import httptools

from woadyard.net.asked import BadRequestError
from woadyard.net.message import BODY_MAX, HEAD_MAX, HOLD_MAX, FramingError, Headers, framing

READY_PATH = b"/health/ready"


class Reader(Protocol):
    """Whose requests they are; `over` where nothing more is taken."""

    over: bool

    def expected(self) -> None:
        """The caller waits for a word before it sends the body."""

    def load(self, data: bytes) -> bool:
        """A part of the body; False where it is to be held."""

    def whole(self) -> None:
        """The last byte has come."""


class Incoming:
    """The request that is being read, or the last one."""

    def __init__(self, reader: Reader) -> None:
        self.reader = reader
        self.parser = httptools.HttpRequestParser(self)
        self.fed = 0  # bytes since the last whole request
        self._begin()

    def _begin(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.head_size = 0
        self.length: int | None = None
        self.in_body = self.reading = False

    def feed(self, data: bytes) -> None:
        """httptools' errors, and as their cause BadRequestError, on what is no request."""
        self.fed += len(data)
        self.parser.feed_data(data)
        if not self.in_body and self.fed > HEAD_MAX:
            raise BadRequestError(431, "the head is too large")

    def close(self) -> None:
        del self.parser, self.reader  # they hold each other

    @property
    def method(self) -> bytes:
        return self.parser.get_method()

    @property
    def keeps(self) -> bool:
        """Whether the caller means to use its connection again."""
        return self.parser.should_keep_alive()

    @property
    def old(self) -> bool:
        """Whether chunks are unknown to the caller."""
        return self.parser.get_http_version() == "1.0"

    @property
    def silent(self) -> bool:
        """Whether the caller has not brought a byte yet."""
        return not (self.fed or self.target)

    @property
    def checks_health(self) -> bool:
        return self.target.partition(b"?")[0] == READY_PATH

    @property
    def large(self) -> bool:
        """Whether the body that is coming is too large to be held whole."""
        return self.in_body and max(self.size, self.length or 0) > HOLD_MAX

    def take_body(self) -> list[bytes]:
        parts, self.body = self.body, []
        return parts

    def rest(self) -> None:
        """The request is whole."""
        self.in_body, self.reading, self.fed = False, False, 0

    # --- Told by httptools ----------------------------------------------------------

    def on_message_begin(self) -> None:
        self._begin()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self.target += url
        self._grow_head(len(url))

    def _grow_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > HEAD_MAX:
            raise BadRequestError(431, "the head is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return  # a trailer: it is not passed on
        self.headers.append((name, value.strip(b" \t")))  # white space around it is no part of it
        self._grow_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.in_body = True
        try:
            length, chunked = framing(self.headers)
        except FramingError as error:
            raise BadRequestError(501, str(error)) from None
        if (length or 0) > BODY_MAX:
            raise BadRequestError(413, "the body is too large")
        self.length = None if chunked else length or 0
        if any(n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in self.headers):
            self.reader.expected()

    def on_body(self, data: bytes) -> None:
        if self.reader.over:
            return
        self.size += len(data)
        if self.size > BODY_MAX:
            raise BadRequestError(413, "the body is too large")
        if not self.reader.load(data):
            self.body.append(data)

    def on_message_complete(self) -> None:
        if not self.reader.over:
            self.reader.whole()
