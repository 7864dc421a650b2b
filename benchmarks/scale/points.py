"""The points that the scale run measures: one JSON line each, kept under docs/capacity/."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

MAX_DRIVER_LAG_P99_MS = 50.0  # a driver whose loop came later than this (p99) measured itself


class Point(msgspec.Struct, frozen=True, omit_defaults=True):
    """One figure at one size. `series` groups what one line is fitted to: role, phase and metric."""

    run: str  # of one call of the command: its start, UTC, as 20261202T051500
    role: str  # "audit", "lists", "leases", "limits", "gossip", "control", "path", "retries", "log", ...
    phase: str  # "quiet", "change", "begin", "zone", "writer", or the role's own
    size: float  # sidecars, unless `size_unit` says otherwise
    metric: str  # such as "cpu_s_per_s", "rss_bytes", "bytes_out_per_s", "p99_s"
    unit: str  # "s/s", "bytes", "bytes/s", "messages/s", "s", "share", "count"
    value: float
    size_unit: str = "sidecars"
    turn: int = 1  # which play of this size in this run
    driver_lag_p99_ms: float = 0.0  # of the drivers' loops, the worst of them
    driver_cpu: float = 0.0  # share of a core, the busiest driver
    load: float = 0.0  # the machine's load over the last minute, as the point was taken
    note: str = ""

    @property
    def is_void(self) -> bool:
        """Whether the driver itself was the limit, so that the figure says nothing."""
        return self.driver_lag_p99_ms > MAX_DRIVER_LAG_P99_MS

    @property
    def series(self) -> tuple[str, str, str]:
        return self.role, self.phase, self.metric


def append_points(path: Path, points: Iterable[Point]) -> None:
    """Append to `path`, one line each; whole lines reach the disk even if the run is stopped."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        for point in points:
            file.write(msgspec.json.encode(point) + b"\n")
        file.flush()
        os.fsync(file.fileno())


def read_points(paths: Iterable[Path]) -> Iterator[Point]:
    """All points of the files; msgspec.DecodeError names a line that is none."""
    for path in paths:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                yield msgspec.json.decode(line, type=Point)
            except msgspec.DecodeError as error:
                raise msgspec.DecodeError(f"{path}:{number}: {error}") from None
