"""JSON objects from a stream of lines: one a line, or indented over several."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

from woadyard.errors import PeerError

T = TypeVar("T")
OBJECT_MAX = 16 * 1024 * 1024
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
OPENING, CLOSING = re.compile(rb"[\[{]"), re.compile(rb"[\]}]")
TRUNCATED = "Input data was truncated"  # as msgspec says it


class Objects(Generic[T]):
    """Fed with bytes as they come, it gives each object once it is whole, decoded.

    An object ends with the line on which its last bracket closes; an empty line between
    objects is a sign of life. PeerError on what is none, or on one over `OBJECT_MAX` bytes."""

    def __init__(self, decoder: msgspec.json.Decoder[T]) -> None:
        self.decoder = decoder
        self.rest = bytearray()  # of a line
        self.lines: list[bytes] = []  # of an object that is open
        self.depth = self.size = 0
        self.said = 0  # lines begun between objects, and objects ended
        self.blank = 0  # whole empty lines between objects: signs of life

    def feed(self, data: bytes) -> None:
        if not self.rest and not self.lines:
            self.said += 1
        self.rest += data
        if len(self.rest) + self.size > OBJECT_MAX:
            raise PeerError("a list without an end")

    def whole(self) -> Iterator[T]:
        while (end := self.rest.find(b"\n")) >= 0:
            line = bytes(self.rest[:end]).strip()
            del self.rest[: end + 1]
            if self.lines:
                yield from self._further(line)
            elif line:
                yield from self._first(line)
            else:
                self.blank += 1

    def _first(self, line: bytes) -> Iterator[T]:
        try:
            found = self._decode(line)
        except TruncatedError:
            self._hold(line)
        else:
            self.said += 1
            yield found

    def _further(self, line: bytes) -> Iterator[T]:
        if not line:
            raise TruncatedError("a list that broke off")
        self._hold(line)
        if self.depth <= 0:
            found = b" ".join(self.lines)
            self.lines, self.depth, self.size = [], 0, 0
            self.said += 1
            yield self._decode(found)

    def _hold(self, line: bytes) -> None:
        bare = STRING.sub(b"", line)
        self.depth += len(OPENING.findall(bare)) - len(CLOSING.findall(bare))
        self.lines.append(line)
        self.size += len(line)

    def _decode(self, raw: bytes) -> T:
        try:
            return self.decoder.decode(raw)
        except (ValueError, RecursionError) as error:  # msgspec's own are ValueErrors
            kind = TruncatedError if str(error) == TRUNCATED else PeerError
            raise kind(f"no list: {error}") from None


class TruncatedError(PeerError):
    """An object that ends too soon."""
