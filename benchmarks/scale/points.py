"""The points that the scale run measures, stored as JSON lines under docs/capacity/."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

MAX_DRIVER_LAG_P99_MS = 50.0  # above this, the driver was the bottleneck


class Point(msgspec.Struct, frozen=True, omit_defaults=True):
    """One measured value at one size."""

    run: str  # start of the command that measured it, UTC, as 20261202T051500
    role: str  # "audit", "lists", "leases", "limits", "gossip", "control", "path", "retries", "log", ...
    phase: str  # "quiet", "change", "begin", "zone", "writer", or a phase of the role
    size: float  # in `size_unit`
    metric: str  # for example "cpu_s_per_s", "rss_bytes", "bytes_out_per_s", "p99_s"
    unit: str  # "s/s", "bytes", "bytes/s", "messages/s", "s", "share", "count"
    value: float
    size_unit: str = "sidecars"
    turn: int = 1  # repetition of this size within the run
    driver_lag_p99_ms: float = 0.0  # greatest event loop lag of all drivers
    driver_cpu: float = 0.0  # share of a core, of the busiest driver
    load: float = 0.0  # one-minute load average of the machine when the point was taken
    note: str = ""

    @property
    def is_void(self) -> bool:
        """Whether the driver was the bottleneck, so that the value is meaningless."""
        return self.driver_lag_p99_ms > MAX_DRIVER_LAG_P99_MS

    @property
    def series(self) -> tuple[str, str, str]:
        """Role, phase and metric, which identify the series that one line is fitted to."""
        return self.role, self.phase, self.metric


def append_points(path: Path, points: Iterable[Point]) -> None:
    """Append points to a file, one line each, and flush it to disk, as a run may be aborted at any time."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as file:
        for point in points:
            file.write(msgspec.json.encode(point) + b"\n")
        file.flush()
        os.fsync(file.fileno())


def read_points(paths: Iterable[Path]) -> Iterator[Point]:
    """Yield all points of the files; msgspec.DecodeError names the file and line of an invalid one."""
    for path in paths:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                yield msgspec.json.decode(line, type=Point)
            except msgspec.DecodeError as error:
                raise msgspec.DecodeError(f"{path}:{number}: {error}") from None
