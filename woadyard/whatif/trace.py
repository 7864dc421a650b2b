"""The trace format: what a sidecar recorded, as records in checksummed frames.

A frame is the payload's length and CRC-32 (4 bytes each, big-endian, as in the list service's
log), followed by the payload: a msgpack array of records. A request is one record, written once
it has a response and none of its attempts is in flight, so a trace never holds part of a request.
Times are in µs of the sidecar's monotonic clock; `RecordingStarted` gives the wall-clock time of
one instant, so that the traces of several sidecars can be aligned. Headers and bodies are not
recorded.
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
PENDING = -1  # outcome of an attempt in flight, status of a request without a response
# Results of a request.
ANSWERED, REFUSED, FAILED = range(3)


class RecordingStarted(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Start of a recording. `sample` is the fraction of requests that it keeps."""

    sidecar: str
    incarnation: str
    seed: int
    at: int
    wall_us: int
    sample: float


class SettingsApplied(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """Settings took effect. The name lists resolve the numbers used in endpoint lists and
    requests; a class that changed during the recording is numbered as its name is now."""

    at: int
    settings: Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]


class ListApplied(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """An endpoint list was applied: `mode` is a `LIST_*` constant of `woadyard.interface`, `entries`
    are as discovery sent them."""

    at: int
    mode: int
    version: int
    entries: list[dict[str, Any]]


class WeightsApplied(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A plan's weights were applied: factors by instance id."""

    at: int
    revision: int
    factors: dict[str, float]


class RecordedAttempt(msgspec.Struct, array_like=True):
    """One attempt, sent at `at`; its outcome followed `delay` µs later."""

    at: int
    endpoint: int
    outcome: int = PENDING
    delay: int = 0
    report: Sequence[float] | None = None


class RecordedRequest(msgspec.Struct, array_like=True, tag="r"):
    """One request with its attempts and its result. `status` is 0 if the client disconnected."""

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
    answered: int = 0  # time of the response, µs

    @property
    def is_complete(self) -> bool:
        return self.status != PENDING and all(attempt.outcome != PENDING for attempt in self.tries)


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
    """Yields the records of each intact frame with the frame's end offset, up to the first damaged
    or incomplete frame."""
    offset = 0
    while offset + FRAME_HEADER.size <= len(data):
        length, crc = FRAME_HEADER.unpack_from(data, offset)
        payload = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
        if length > MAX_FRAME_BYTES or len(payload) < length or zlib.crc32(payload) != crc:
            return
        try:
            records = DECODER.decode(payload)
        except msgspec.MsgspecError:
            return
        offset += FRAME_HEADER.size + length
        yield offset, records


@dataclass
class Trace:
    """One sidecar's recording in order of time; the last `dropped_bytes` bytes could not be read."""

    started: RecordingStarted
    changes: list[StateChange] = field(default_factory=list)
    requests: list[RecordedRequest] = field(default_factory=list)
    dropped_bytes: int = 0
    digest: str = ""

    @property
    def wall_offset_us(self) -> int:
        """Wall-clock time minus the sidecar's monotonic time, µs."""
        return self.started.wall_us - self.started.at


def read_trace(data: bytes) -> Trace:
    """Decodes a trace.

    Duplicate records, as a restarted fetch delivers them, count once; records of an older
    incarnation are ignored. Raises `TraceError` if no part of the trace is usable.
    """
    trace: Trace | None = None
    intact_bytes = 0
    requests_by_id: dict[int, RecordedRequest] = {}
    for end_offset, records in decode_frames(data):
        intact_bytes = end_offset
        for record in records:
            if isinstance(record, RecordingStarted):
                if trace is None or record.incarnation != trace.started.incarnation:
                    trace, requests_by_id = Trace(record), {}
            elif trace is None:
                raise TraceError("the trace does not begin with a record of the recording's start")
            elif isinstance(record, RecordedRequest):
                requests_by_id[record.request] = record
            elif record not in trace.changes:
                trace.changes.append(record)
    if trace is None:
        raise TraceError(f"no intact frame at the start of the trace's {len(data)} bytes")
    trace.changes.sort(key=lambda change: change.at)
    trace.requests = sorted(
        (recorded for recorded in requests_by_id.values() if recorded.is_complete),
        key=lambda recorded: (recorded.at, recorded.request),
    )
    trace.dropped_bytes = len(data) - intact_bytes
    trace.digest = blake2b(data[:intact_bytes], digest_size=16).hexdigest()
    if not trace.requests or not any(isinstance(change, ListApplied) for change in trace.changes):
        raise TraceError("the trace has no complete request or no endpoint list")
    return trace
