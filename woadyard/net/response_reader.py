"""Parses the responses on one endpoint connection, one after another."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from woadyard.net.header_fields import FRAMING_HEADERS, FramingError, HeaderFields
from woadyard.net.message import MAX_HEAD_BYTES, Response
from woadyard.policy.response_relay import ResponseProgress

READ_HEADERS = FRAMING_HEADERS | {b"x-load", b"x-not-run"}


class ResponseReader:
    """The parser of one response at a time, and what it has read and not passed on.

    `now` returns the driver's time in µs. `close` has to be called at the end: the parser refers to the
    reader.
    """

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Begin with the next response."""
        self.headers = HeaderFields(READ_HEADERS)
        self.body = bytearray()  # received and not passed on yet
        self.bytes_since_body = 0  # read since the last body byte
        self.progress = ResponseProgress()
        self.is_complete = self.allows_keep_alive = False

    def close(self) -> None:
        """Break the reference cycle with the parser."""
        del self.parser

    @property
    def held_bytes(self) -> int:
        """The bytes of the response that it holds."""
        return self.headers.size + len(self.body)

    @property
    def is_endless(self) -> bool:
        """Whether the parser would keep a head or trailers without a bound."""
        return self.bytes_since_body > MAX_HEAD_BYTES

    def feed(self, data: bytes) -> None:
        """Parse response bytes; raise httptools' errors for what is not valid HTTP."""
        self.bytes_since_body += len(data)
        self.parser.feed_data(data)

    def end_of_stream(self) -> None:
        """The endpoint has ended the stream, which delimits a body with neither a length nor chunks."""
        progress = self.progress
        if progress.status and progress.length is None and not progress.is_chunked:
            self.is_complete = True

    def take_body(self) -> bytes:
        """Return what was received of the body since the last call."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def take_response(self) -> Response:
        """Return the response to pass on, with what was received of its body."""
        return Response(200, self.headers.end_to_end_lines(), self.take_body())

    # --- Callbacks of the parser ------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise FramingError("second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.progress.status:  # trailers are not passed on
            self.headers.add(name, value)

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            progress = self.progress
            progress.length, progress.is_chunked = self.headers.framing()
            progress.status, progress.head_us = status, self.now()

    def on_body(self, data: bytes) -> None:
        self.progress.body_bytes += len(data)
        self.progress.last_part_us = self.now()
        self.bytes_since_body = 0
        self.body += data

    def on_message_complete(self) -> None:
        if not self.progress.status:  # an interim (1xx) response; the final one follows
            self.headers = HeaderFields(READ_HEADERS)
        else:
            self.is_complete, self.allows_keep_alive = True, self.parser.should_keep_alive()
