"""A bounded ring of frames: the oldest requests make room, the state they began from stays."""

from __future__ import annotations

from collections import deque

import msgspec

from woadyard.interface import LIST_DELTA, LIST_FAILED, LIST_FULL
from woadyard.whatif.trace import Listed, Record, Retuned, Started, State, Weighed, frame

# What the interpreter takes for a kept frame beside its bytes.
EACH = 160
# A piece of the trace holds so much at most, and one frame at least.
PIECE_MOST = 64 * 1024


class Piece(msgspec.Struct, frozen=True):
    """Part of a trace: `data` are whole frames; ask for `next` after it. `start` past what was
    asked for means that what lay between is gone; the state that it left comes first."""

    incarnation: str
    start: int
    next: int
    end: int
    data: bytes


class Base:
    """The state at the ring's beginning, of records that made room."""

    def __init__(self) -> None:
        self.started: Started | None = None
        self.retuned: Retuned | None = None
        self.listed: Listed | None = None
        self.weighed: Weighed | None = None
        self.data = b""

    def take(self, record: State) -> None:
        match record:
            case Started():
                self.started = record
            case Retuned():
                self.retuned = record
            case Weighed():
                self.weighed = record
            case Listed():
                self.listed = merged(self.listed, record)
        parts = (self.started, self.retuned, self.listed, self.weighed)
        self.data = frame([one for one in parts if one is not None])


def merged(old: Listed | None, new: Listed) -> Listed:
    """One whole list that stands for both."""
    if new.mode == LIST_FAILED:
        return old or new
    if old is None or new.mode != LIST_DELTA:
        return new
    entries = {one["instanceId"]: one for one in old.entries}
    for one in new.entries:
        entries[one["instanceId"]] = one
    kept = [one for one in entries.values() if one.get("lifecycle") != "gone"]
    return Listed(new.at, LIST_FULL, new.version, kept)


class Ring:
    """Frames by their offset in the stream of all that was ever written."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.base = Base()
        self.kept: deque[tuple[int, bytes, State | None]] = deque()
        self.size = 0
        self.next = 0
        self.full = False  # the state alone is past the bound: nothing is kept

    def add(self, records: list[Record], state: State | None = None) -> None:
        if self.full:
            return
        data = frame(records)
        self.kept.append((self.next, data, state))
        self.next += len(data)
        self.size += len(data) + EACH
        while self.size + len(self.base.data) > self.most and self.kept:
            _, old, gone = self.kept.popleft()
            self.size -= len(old) + EACH
            if gone is not None:
                self.base.take(gone)
        if len(self.base.data) > self.most:
            self.full, self.base = True, Base()

    def piece(self, incarnation: str, start: int) -> Piece:
        first = self.kept[0][0] if self.kept else self.next
        parts: list[bytes] = []
        if start < first or start > self.next:
            start = first
        if start == first:
            parts.append(self.base.data)
        taken, size = start, 0
        for offset, data, _ in self.kept:
            if offset < start:
                continue
            if size and size + len(data) > PIECE_MOST:
                break
            parts.append(data)
            size += len(data)
            taken = offset + len(data)
        return Piece(incarnation, start, taken, self.next, b"".join(parts))
