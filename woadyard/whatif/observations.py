"""What happened to requests and attempts, in columns: of a recording, or of one replay."""

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
    """One row a request: times in µs of the scene, `took` until its answer, `aim` its own."""

    at: Column
    cls: Column
    tenant: Column
    result: Column
    latency_us: Column
    aim_us: Column


@dataclass(frozen=True)
class AttemptColumns:
    """One row an attempt. `endpoint` is its place in `Scene.endpoints`; `inflight` counts those it
    found there; `fresh` went over a new connection, `thin` rests on what the trace cannot tell,
    `cold` went to an endpoint that was starting."""

    at: Column
    endpoint: Column
    in_flight: Column
    crossed: Column
    fresh: Column
    thin: Column
    cold: Column


@dataclass(frozen=True)
class Observations:
    requests: RequestColumns
    attempts: AttemptColumns

    def digest(self) -> str:
        made = blake2b(digest_size=16)
        for part in (self.requests, self.attempts):
            for one in fields(part):
                made.update(getattr(part, one.name).tobytes())
        return made.hexdigest()


def to_columns(rows: Sequence[Sequence[int]], width: int) -> list[Column]:
    table = np.asarray(rows, dtype=np.int64).reshape(-1, width)
    return [np.ascontiguousarray(table[:, at]) for at in range(width)]


def count_in_flight(starts: Column, ends: Column) -> Column:
    """How many others each interval found under way when it began."""
    before = np.searchsorted(np.sort(starts), starts, side="left")
    gone = np.searchsorted(np.sort(ends), starts, side="right")
    return np.asarray(np.maximum(0, before - gone), dtype=np.int64)


def cold_start_spans(scene: Workload) -> dict[int, tuple[int, int]]:
    """When each endpoint that started within reach was starting, by its place."""
    spans = {}
    for side in scene.recordings:
        cold_us = side.settings_at(side.trace.started.at).cold_us
        for change in side.trace.changes:
            if isinstance(change, ListApplied):
                for raw in change.entries:
                    boot = side.boot_time(raw)
                    if boot and LIFECYCLES.get(raw["lifecycle"]) == READY:
                        spans[scene.index_of(raw["instanceId"])] = (boot, boot + cold_us)
    return spans


def observe_recordings(scene: Workload) -> Observations:
    """The recordings themselves. Whether a connection was new they do not tell (0)."""
    requests: list[tuple[int, ...]] = []
    tries: list[tuple[int, ...]] = []
    for side in scene.recordings:
        for asked in side.trace.requests:
            if asked.status:  # else its caller left
                took = asked.answered - asked.at
                row = (asked.cls, asked.tenant, classify_status(asked.status), took, side.aim_us(asked))
                requests.append((asked.at + side.clock_shift_us, *row))
            for one in asked.tries:
                if one.endpoint in scene.index_by_number:
                    place = scene.index_by_number[one.endpoint]
                    crossed = int(scene.zones[place] != side.zone)
                    at = one.at + side.clock_shift_us
                    tries.append((at, place, 0, crossed, 0, 0, 0, at + one.delay))
    requests.sort()
    tries.sort()
    *rows, ends = to_columns(tries, 8)
    attempts = AttemptColumns(*rows)
    scale = 1.0 / min(side.trace.started.sample for side in scene.recordings)
    for number in range(len(scene.endpoints)):
        here = attempts.endpoint == number
        attempts.in_flight[here] = count_in_flight(attempts.at[here], ends[here]) * scale
    for number, (start, end) in cold_start_spans(scene).items():
        starting = (attempts.endpoint == number) & (attempts.at >= start) & (attempts.at < end)
        attempts.cold[starting] = 1
    return Observations(RequestColumns(*to_columns(requests, 6)), attempts)
