"""JSON objects from a stream of lines: one a line, or indented over several."""

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
TRUNCATED_MESSAGE = "Input data was truncated"  # as msgspec says it


class JsonStreamDecoder(Generic[T]):
    """Fed with bytes as they come, it gives each object once it is whole, decoded.

    An object ends with the line on which its last bracket closes; an empty line between
    objects is a sign of life. PeerError on what is none, or on one over `OBJECT_MAX` bytes."""

    def __init__(self, decoder: msgspec.json.Decoder[T]) -> None:
        self.decoder = decoder
        self.partial_line = bytearray()  # of a line
        self.object_lines: list[bytes] = []  # of an object that is open
        self.depth = self.object_bytes = 0
        self.progress_count = 0  # lines begun between objects, and objects ended
        self.heartbeat_count = 0  # whole empty lines between objects: signs of life

    def feed(self, data: bytes) -> None:
        if not self.partial_line and not self.object_lines:
            self.progress_count += 1
        self.partial_line += data
        if len(self.partial_line) + self.object_bytes > MAX_OBJECT_BYTES:
            raise PeerError("a list without an end")

    def read_objects(self) -> Iterator[T]:
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
            found = self._decode(line)
        except TruncatedObjectError:
            self._buffer_line(line)
        else:
            self.progress_count += 1
            yield found

    def _continue_object(self, line: bytes) -> Iterator[T]:
        if not line:
            raise TruncatedObjectError("a list that broke off")
        self._buffer_line(line)
        if self.depth <= 0:
            found = b" ".join(self.object_lines)
            self.object_lines, self.depth, self.object_bytes = [], 0, 0
            self.progress_count += 1
            yield self._decode(found)

    def _buffer_line(self, line: bytes) -> None:
        bare = STRING_LITERAL.sub(b"", line)
        self.depth += len(OPENING_BRACKET.findall(bare)) - len(CLOSING_BRACKET.findall(bare))
        self.object_lines.append(line)
        self.object_bytes += len(line)

    def _decode(self, raw: bytes) -> T:
        try:
            return self.decoder.decode(raw)
        except (ValueError, RecursionError) as error:  # msgspec's own are ValueErrors
            kind = TruncatedObjectError if str(error) == TRUNCATED_MESSAGE else PeerError
            raise kind(f"no list: {error}") from None


class TruncatedObjectError(PeerError):
    """An object that ends too soon."""
