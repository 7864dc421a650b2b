"""What a sidecar recorded, as records in checksummed frames.

A frame is its length and CRC-32 (4 bytes each, big-endian, as in the list service's log) and a
msgpack array of records. A request is one record, written once it has its answer and none of
its attempts is out: a trace holds whole requests, never halves. Times are the sidecar's
monotonic µs; `Started` has the wall time of one instant, so that several traces can be laid
side by side. No header and no body is kept.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from woadyard.errors import TraceError
from woadyard.interface import Settings

FRAME_HEADER = struct.Struct(">II")
MAX_FRAME_BYTES = 16 * 1024 * 1024
PENDING = -1  # outcome of an attempt that is still out
# What a request came to.
ANSWERED, REFUSED, FAILED = range(3)


class RecordingStarted(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A recording begins. `sample` is the share of requests that it keeps."""

    sidecar: str
    incarnation: str
    seed: int
    at: int
    wall_us: int
    sample: float


class SettingsApplied(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """Settings were put in force. The names are of the numbers in the lists and requests; a
    class that was changed on the way has the number that its name has by now."""

    at: int
    settings: Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]


class ListApplied(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """A list was put to use: `mode` as in `woadyard.interface`, entries as discovery sent them."""

    at: int
    mode: int
    version: int
    entries: list[dict[str, Any]]


class WeightsApplied(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A plan's weights were put to use: factors by instance id."""

    at: int
    revision: int
    factors: dict[str, float]


class RecordedAttempt(msgspec.Struct, array_like=True):
    """One attempt: `at` when sent, `delay` µs until its outcome."""

    at: int
    endpoint: int
    outcome: int = PENDING
    delay: int = 0
    report: Sequence[float] | None = None


class RecordedRequest(msgspec.Struct, array_like=True, tag="r"):
    """One request and all that became of it. `status` 0: its caller left."""

    at: int
    request: int
    cls: int
    expires: int
    tenant: int
    key: int
    work_us: int
    repeated: bool
    home: int | None
    tries: list[RecordedAttempt]
    status: int = PENDING
    answered: int = 0  # when

    @property
    def is_complete(self) -> bool:
        return self.status != PENDING and all(one.outcome != PENDING for one in self.tries)


def classify_status(status: int) -> int:
    return REFUSED if status == 503 else FAILED if status >= 500 else ANSWERED


StateRecord = RecordingStarted | SettingsApplied | ListApplied | WeightsApplied
StateChange = SettingsApplied | ListApplied | WeightsApplied
Record = StateRecord | RecordedRequest

ENCODE = msgspec.msgpack.Encoder().encode
DECODER: msgspec.msgpack.Decoder[list[Record]] = msgspec.msgpack.Decoder(list[Record])


def encode_frame(records: Sequence[Record]) -> bytes:
    payload = ENCODE(records)
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_frames(data: bytes) -> Iterable[tuple[int, list[Record]]]:
    """The whole frames from the start, each with the offset where it ends."""
    at = 0
    while at + FRAME_HEADER.size <= len(data):
        length, crc = FRAME_HEADER.unpack_from(data, at)
        payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + length]
        if length > MAX_FRAME_BYTES or len(payload) < length or zlib.crc32(payload) != crc:
            return
        try:
            records = DECODER.decode(payload)
        except msgspec.MsgspecError:
            return
        at += FRAME_HEADER.size + length
        yield at, records


@dataclass
class Trace:
    """One sidecar's recording, in order of time; `dropped` bytes at its end could not be read."""

    started: RecordingStarted
    changes: list[StateChange] = field(default_factory=list)
    requests: list[RecordedRequest] = field(default_factory=list)
    dropped_bytes: int = 0
    digest: str = ""

    @property
    def wall_offset_us(self) -> int:
        """Wall time minus the sidecar's clock, µs."""
        return self.started.wall_us - self.started.at


def read_trace(data: bytes) -> Trace:
    """The trace in `data`; `TraceError` where nothing of it can be used. Records that come twice
    (a fetch begun anew) count once, and an older incarnation's are left out."""
    trace: Trace | None = None
    good = 0
    asked: dict[int, RecordedRequest] = {}
    for end, records in decode_frames(data):
        good = end
        for one in records:
            if isinstance(one, RecordingStarted):
                if trace is None or one.incarnation != trace.started.incarnation:
                    trace, asked = Trace(one), {}
            elif trace is None:
                raise TraceError("the trace does not begin with its start")
            elif isinstance(one, RecordedRequest):
                asked[one.request] = one
            elif one not in trace.changes:
                trace.changes.append(one)
    if trace is None:
        raise TraceError(f"none of the trace's {len(data)} bytes can be read")
    trace.changes.sort(key=lambda one: one.at)
    trace.requests = sorted(
        (one for one in asked.values() if one.is_complete), key=lambda one: (one.at, one.request)
    )
    trace.dropped_bytes = len(data) - good
    trace.digest = blake2b(data[:good], digest_size=16).hexdigest()
    if not trace.requests or not any(isinstance(one, ListApplied) for one in trace.changes):
        raise TraceError("the trace has no request with a list to send it by")
    return trace
