"""A bounded ring buffer of trace frames.

The oldest frames are evicted; the state in force at the start of the remaining ones is kept.
"""

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

# Memory of the interpreter for each stored frame, in addition to the frame's bytes.
FRAME_OVERHEAD_BYTES = 160
# Maximum size of a piece's frames; a piece still holds at least one frame.
MAX_PIECE_BYTES = 64 * 1024


class TracePiece(msgspec.Struct, frozen=True):
    """Part of a trace: `data` holds whole frames, and `next` is the offset to fetch next.

    If `start` is past the requested offset, the frames between were evicted, and `data` begins
    with the state that they resulted in.
    """

    incarnation: str
    start: int
    next: int
    end: int
    data: bytes


class BaseState:
    """The state in force before the ring's first frame, built from evicted state records."""

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
        records = (self.started, self.settings_applied, self.list_applied, self.weights_applied)
        self.data = encode_frame([present for present in records if present is not None])


def merge_lists(old: ListApplied | None, new: ListApplied) -> ListApplied:
    """Returns one full list equivalent to applying `old` and then `new`."""
    if new.mode == LIST_FAILED:
        return old or new
    if old is None or new.mode != LIST_DELTA:
        return new
    entries = {entry["instanceId"]: entry for entry in old.entries}
    for changed in new.entries:
        entries[changed["instanceId"]] = changed
    remaining = [entry for entry in entries.values() if entry.get("lifecycle") != "gone"]
    return ListApplied(new.at, LIST_FULL, new.version, remaining)


class TraceRing:
    """Trace frames, addressed by their offset in the stream of all frames ever added."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.base_state = BaseState()
        self.frames: deque[tuple[int, bytes, StateRecord | None]] = deque()
        self.size_bytes = 0
        self.next_offset = 0
        self.is_disabled = False  # the base state alone exceeds max_bytes: nothing is recorded

    def add(self, records: list[Record], state: StateRecord | None = None) -> None:
        if self.is_disabled:
            return
        data = encode_frame(records)
        self.frames.append((self.next_offset, data, state))
        self.next_offset += len(data)
        self.size_bytes += len(data) + FRAME_OVERHEAD_BYTES
        while self.size_bytes + len(self.base_state.data) > self.max_bytes and self.frames:
            _, evicted, evicted_state = self.frames.popleft()
            self.size_bytes -= len(evicted) + FRAME_OVERHEAD_BYTES
            if evicted_state is not None:
                self.base_state.apply(evicted_state)
        if len(self.base_state.data) > self.max_bytes:
            self.is_disabled, self.base_state = True, BaseState()

    def read_piece(self, incarnation: str, start: int) -> TracePiece:
        first_offset = self.frames[0][0] if self.frames else self.next_offset
        parts: list[bytes] = []
        if start < first_offset or start > self.next_offset:
            start = first_offset
        if start == first_offset:
            parts.append(self.base_state.data)
        piece_end, size_bytes = start, 0
        for offset, data, _ in self.frames:
            if offset < start:
                continue
            if size_bytes and size_bytes + len(data) > MAX_PIECE_BYTES:
                break
            parts.append(data)
            size_bytes += len(data)
            piece_end = offset + len(data)
        return TracePiece(incarnation, start, piece_end, self.next_offset, b"".join(parts))
