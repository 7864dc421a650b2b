"""Results of requests and attempts in columns, from the recordings or from one replay."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, fields
from hashlib import blake2b

import numpy as np
from numpy.typing import NDArray

from woadyard.interface import READY
from woadyard.whatif.trace import ListApplied, classify_status
from woadyard.whatif.workload import LIFECYCLES, Workload

Column = NDArray[np.int64]


@dataclass(frozen=True)
class RequestColumns:
    """One row per request, with times in µs of the workload: `latency_us` runs until the response,
    `aim_us` is the latency target of the request."""

    at: Column
    cls: Column
    tenant: Column
    result: Column
    latency_us: Column
    aim_us: Column


@dataclass(frozen=True)
class AttemptColumns:
    """One row per attempt. `endpoint` is an index into `Workload.endpoints`, `in_flight` the number of
    other attempts in flight there at its start. Flags (0 or 1): `crossed` went to another zone,
    `fresh` used a new connection, `thin` rests on an extrapolation beyond the trace, `cold` went to
    an endpoint in its cold start."""

    at: Column
    endpoint: Column
    in_flight: Column
    crossed: Column
    fresh: Column
    thin: Column
    cold: Column


@dataclass(frozen=True)
class Observations:
    """All requests and attempts of the recordings or of one replay."""

    requests: RequestColumns
    attempts: AttemptColumns

    def digest(self) -> str:
        hasher = blake2b(digest_size=16)
        for columns in (self.requests, self.attempts):
            for field in fields(columns):
                hasher.update(getattr(columns, field.name).tobytes())
        return hasher.hexdigest()


def to_columns(rows: Sequence[Sequence[int]], width: int) -> list[Column]:
    table = np.asarray(rows, dtype=np.int64).reshape(-1, width)
    return [np.ascontiguousarray(table[:, index]) for index in range(width)]


def count_in_flight(starts: Column, ends: Column) -> Column:
    """Return the number of other intervals in progress at the start of each interval."""
    started = np.searchsorted(np.sort(starts), starts, side="left")
    ended = np.searchsorted(np.sort(ends), starts, side="right")
    return np.asarray(np.maximum(0, started - ended), dtype=np.int64)


def cold_start_spans(workload: Workload) -> dict[int, tuple[int, int]]:
    """Return start and end of the cold start of each ready endpoint with a known boot time, by index."""
    spans = {}
    for recording in workload.recordings:
        cold_us = recording.settings_at(recording.trace.started.at).cold_us
        for change in recording.trace.changes:
            if isinstance(change, ListApplied):
                for raw_entry in change.entries:
                    boot_us = recording.boot_time(raw_entry)
                    if boot_us and LIFECYCLES.get(raw_entry["lifecycle"]) == READY:
                        spans[workload.index_of(raw_entry["instanceId"])] = (boot_us, boot_us + cold_us)
    return spans


def observe_recordings(workload: Workload) -> Observations:
    """Return the recorded results. Recordings do not show whether a connection was new: `fresh` is 0."""
    request_rows: list[tuple[int, ...]] = []
    attempt_rows: list[tuple[int, ...]] = []
    for recording in workload.recordings:
        for request in recording.trace.requests:
            if request.status:  # 0: the client disconnected
                latency_us = request.answered - request.at
                row = (
                    request.cls,
                    request.tenant,
                    classify_status(request.status),
                    latency_us,
                    recording.request_aim_us(request),
                )
                request_rows.append((request.at + recording.clock_shift_us, *row))
            for attempt in request.tries:
                if attempt.endpoint in workload.index_by_number:
                    position = workload.index_by_number[attempt.endpoint]
                    crossed = int(workload.zones[position] != recording.zone)
                    start_us = attempt.at + recording.clock_shift_us
                    attempt_rows.append((start_us, position, 0, crossed, 0, 0, 0, start_us + attempt.delay))
    request_rows.sort()
    attempt_rows.sort()
    *columns, ends = to_columns(attempt_rows, 8)
    attempts = AttemptColumns(*columns)
    scale = 1.0 / min(recording.trace.started.sample for recording in workload.recordings)
    for index in range(len(workload.endpoints)):
        at_endpoint = attempts.endpoint == index
        attempts.in_flight[at_endpoint] = count_in_flight(attempts.at[at_endpoint], ends[at_endpoint]) * scale
    for index, (start, end) in cold_start_spans(workload).items():
        is_cold = (attempts.endpoint == index) & (attempts.at >= start) & (attempts.at < end)
        attempts.cold[is_cold] = 1
    return Observations(RequestColumns(*to_columns(request_rows, 6)), attempts)
