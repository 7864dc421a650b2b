"""What happened to requests and attempts, in columns: of a recording, or of one replay."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, fields
from hashlib import blake2b

import numpy as np
from numpy.typing import NDArray

from woadyard.interface import READY
from woadyard.whatif.scene import PHASES, Scene
from woadyard.whatif.trace import Listed, end_of

Column = NDArray[np.int64]


@dataclass(frozen=True)
class Requests:
    """One row a request: times in µs of the scene, `took` until its answer, `aim` its own."""

    at: Column
    cls: Column
    tenant: Column
    end: Column
    took: Column
    aim: Column


@dataclass(frozen=True)
class Attempts:
    """One row an attempt. `endpoint` is its place in `Scene.endpoints`; `inflight` counts those it
    found there; `fresh` went over a new connection, `thin` rests on what the trace cannot tell,
    `cold` went to an endpoint that was starting."""

    at: Column
    endpoint: Column
    inflight: Column
    crossed: Column
    fresh: Column
    thin: Column
    cold: Column


@dataclass(frozen=True)
class Facts:
    requests: Requests
    attempts: Attempts

    def digest(self) -> str:
        made = blake2b(digest_size=16)
        for part in (self.requests, self.attempts):
            for one in fields(part):
                made.update(getattr(part, one.name).tobytes())
        return made.hexdigest()


def columns(rows: Sequence[Sequence[int]], width: int) -> list[Column]:
    table = np.asarray(rows, dtype=np.int64).reshape(-1, width)
    return [np.ascontiguousarray(table[:, at]) for at in range(width)]


def inflight(starts: Column, ends: Column) -> Column:
    """How many others each interval found under way when it began."""
    before = np.searchsorted(np.sort(starts), starts, side="left")
    gone = np.searchsorted(np.sort(ends), starts, side="right")
    return np.asarray(np.maximum(0, before - gone), dtype=np.int64)


def cold_spans(scene: Scene) -> dict[int, tuple[int, int]]:
    """When each endpoint that started within reach was starting, by its place."""
    spans = {}
    for side in scene.sides:
        cold_us = side.settings_at(side.trace.started.at).cold_us
        for change in side.trace.changes:
            if isinstance(change, Listed):
                for raw in change.entries:
                    boot = side.boot(raw)
                    if boot and PHASES.get(raw["lifecycle"]) == READY:
                        spans[scene.place_of(raw["instanceId"])] = (boot, boot + cold_us)
    return spans


def recorded(scene: Scene) -> Facts:
    """The recordings themselves. Whether a connection was new they do not tell (0)."""
    requests: list[tuple[int, ...]] = []
    tries: list[tuple[int, ...]] = []
    for side in scene.sides:
        for asked in side.trace.requests:
            if asked.status:  # else its caller left
                took = asked.answered - asked.at
                row = (asked.cls, asked.tenant, end_of(asked.status), took, side.aim(asked))
                requests.append((asked.at + side.shift, *row))
            for one in asked.tries:
                if one.endpoint in scene.places:
                    place = scene.places[one.endpoint]
                    crossed = int(scene.zones[place] != side.zone)
                    at = one.at + side.shift
                    tries.append((at, place, 0, crossed, 0, 0, 0, at + one.delay))
    requests.sort()
    tries.sort()
    *rows, ends = columns(tries, 8)
    attempts = Attempts(*rows)
    scale = 1.0 / min(side.trace.started.sample for side in scene.sides)
    for number in range(len(scene.endpoints)):
        here = attempts.endpoint == number
        attempts.inflight[here] = inflight(attempts.at[here], ends[here]) * scale
    for number, (start, end) in cold_spans(scene).items():
        starting = (attempts.endpoint == number) & (attempts.at >= start) & (attempts.at < end)
        attempts.cold[starting] = 1
    return Facts(Requests(*columns(requests, 6)), attempts)
