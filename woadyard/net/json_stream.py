"""Incremental decoder for a stream of JSON objects, each on one line or indented over several."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

from woadyard.errors import PeerError

T = TypeVar("T")
MAX_OBJECT_BYTES = 16 * 1024 * 1024
STRING_LITERAL = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
OPENING_BRACKET, CLOSING_BRACKET = re.compile(rb"[\[{]"), re.compile(rb"[\]}]")
TRUNCATED_MESSAGE = "Input data was truncated"  # msgspec's text


class JsonStreamDecoder(Generic[T]):
    """Buffers bytes as they arrive and decodes each object once it is complete.

    An object ends with the line on which its last bracket closes; an empty line between objects is a
    heartbeat. Raises `PeerError` for anything else, and for an object over `MAX_OBJECT_BYTES`."""

    def __init__(self, decoder: msgspec.json.Decoder[T]) -> None:
        self.decoder = decoder
        self.partial_line = bytearray()
        self.object_lines: list[bytes] = []  # lines of an object that is still incomplete
        self.depth = self.object_bytes = 0
        self.progress_count = 0  # lines begun between objects, plus objects completed
        self.heartbeat_count = 0  # complete empty lines between objects

    def feed(self, data: bytes) -> None:
        """Buffer received bytes; raises `PeerError` if the object grows too large."""
        if not self.partial_line and not self.object_lines:
            self.progress_count += 1
        self.partial_line += data
        if len(self.partial_line) + self.object_bytes > MAX_OBJECT_BYTES:
            raise PeerError("a JSON object exceeds the size limit")

    def read_objects(self) -> Iterator[T]:
        """Yield the objects that the buffered lines complete; raises `PeerError` on invalid input."""
        while (end := self.partial_line.find(b"\n")) >= 0:
            line = bytes(self.partial_line[:end]).strip()
            del self.partial_line[: end + 1]
            if self.object_lines:
                yield from self._continue_object(line)
            elif line:
                yield from self._start_object(line)
            else:
                self.heartbeat_count += 1

    def _start_object(self, line: bytes) -> Iterator[T]:
        try:
            decoded = self._decode(line)
        except TruncatedObjectError:
            self._buffer_line(line)
        else:
            self.progress_count += 1
            yield decoded

    def _continue_object(self, line: bytes) -> Iterator[T]:
        if not line:
            raise TruncatedObjectError("a JSON object ended before its last bracket closed")
        self._buffer_line(line)
        if self.depth <= 0:
            complete = b" ".join(self.object_lines)
            self.object_lines, self.depth, self.object_bytes = [], 0, 0
            self.progress_count += 1
            yield self._decode(complete)

    def _buffer_line(self, line: bytes) -> None:
        without_strings = STRING_LITERAL.sub(b"", line)
        self.depth += len(OPENING_BRACKET.findall(without_strings)) - len(
            CLOSING_BRACKET.findall(without_strings)
        )
        self.object_lines.append(line)
        self.object_bytes += len(line)

    def _decode(self, raw: bytes) -> T:
        try:
            return self.decoder.decode(raw)
        except (ValueError, RecursionError) as error:  # msgspec's own errors are ValueErrors
            error_type = TruncatedObjectError if str(error) == TRUNCATED_MESSAGE else PeerError
            raise error_type(f"invalid list: {error}") from None


class TruncatedObjectError(PeerError):
    """The input ends before the JSON object is complete."""
