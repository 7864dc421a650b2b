"""A bounded ring of frames: the oldest requests make room, the state they began from stays."""

from __future__ import annotations

from collections import deque

import msgspec

from woadyard.interface import LIST_DELTA, LIST_FAILED, LIST_FULL
from woadyard.whatif.trace import (
    ListApplied,
    Record,
    RecordingStarted,
    SettingsApplied,
    StateRecord,
    WeightsApplied,
    encode_frame,
)

# What the interpreter takes for a kept frame beside its bytes.
FRAME_OVERHEAD_BYTES = 160
# A piece of the trace holds so much at most, and one frame at least.
MAX_PIECE_BYTES = 64 * 1024


class TracePiece(msgspec.Struct, frozen=True):
    """Part of a trace: `data` are whole frames; ask for `next` after it. `start` past what was
    asked for means that what lay between is gone; the state that it left comes first."""

    incarnation: str
    start: int
    next: int
    end: int
    data: bytes


class BaseState:
    """The state at the ring's beginning, of records that made room."""

    def __init__(self) -> None:
        self.started: RecordingStarted | None = None
        self.settings_applied: SettingsApplied | None = None
        self.list_applied: ListApplied | None = None
        self.weights_applied: WeightsApplied | None = None
        self.data = b""

    def apply(self, record: StateRecord) -> None:
        match record:
            case RecordingStarted():
                self.started = record
            case SettingsApplied():
                self.settings_applied = record
            case WeightsApplied():
                self.weights_applied = record
            case ListApplied():
                self.list_applied = merge_lists(self.list_applied, record)
        parts = (self.started, self.settings_applied, self.list_applied, self.weights_applied)
        self.data = encode_frame([one for one in parts if one is not None])


def merge_lists(old: ListApplied | None, new: ListApplied) -> ListApplied:
    """One whole list that stands for both."""
    if new.mode == LIST_FAILED:
        return old or new
    if old is None or new.mode != LIST_DELTA:
        return new
    entries = {one["instanceId"]: one for one in old.entries}
    for one in new.entries:
        entries[one["instanceId"]] = one
    kept = [one for one in entries.values() if one.get("lifecycle") != "gone"]
    return ListApplied(new.at, LIST_FULL, new.version, kept)


class TraceRing:
    """Frames by their offset in the stream of all that was ever written."""

    def __init__(self, most: int) -> None:
        self.max_bytes = most
        self.base_state = BaseState()
        self.frames: deque[tuple[int, bytes, StateRecord | None]] = deque()
        self.size_bytes = 0
        self.next_offset = 0
        self.is_disabled = False  # the state alone is past the bound: nothing is kept

    def add(self, records: list[Record], state: StateRecord | None = None) -> None:
        if self.is_disabled:
            return
        data = encode_frame(records)
        self.frames.append((self.next_offset, data, state))
        self.next_offset += len(data)
        self.size_bytes += len(data) + FRAME_OVERHEAD_BYTES
        while self.size_bytes + len(self.base_state.data) > self.max_bytes and self.frames:
            _, old, gone = self.frames.popleft()
            self.size_bytes -= len(old) + FRAME_OVERHEAD_BYTES
            if gone is not None:
                self.base_state.apply(gone)
        if len(self.base_state.data) > self.max_bytes:
            self.is_disabled, self.base_state = True, BaseState()

    def read_piece(self, incarnation: str, start: int) -> TracePiece:
        first = self.frames[0][0] if self.frames else self.next_offset
        parts: list[bytes] = []
        if start < first or start > self.next_offset:
            start = first
        if start == first:
            parts.append(self.base_state.data)
        taken, size = start, 0
        for offset, data, _ in self.frames:
            if offset < start:
                continue
            if size and size + len(data) > MAX_PIECE_BYTES:
                break
            parts.append(data)
            size += len(data)
            taken = offset + len(data)
        return TracePiece(incarnation, start, taken, self.next_offset, b"".join(parts))
