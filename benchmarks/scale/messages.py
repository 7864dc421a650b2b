"""Messages between the driver and a process of hollow sidecars: JSON lines on stdin and stdout."""

from __future__ import annotations

import msgspec

from benchmarks.scale.traffic import Flow

# Orders to a process of hollow sidecars; each gets one line in reply when it is complete.
(
    REGISTER, START_WATCH, START_REPORTS, RESTART_WATCH, DEREGISTER, REREGISTER, STOP_ATTEMPTS,
    WAIT_FOR_VERSION, RESET_COUNTS, COLLECT_TALLY, STOP,
) = ORDERS = (
    "lease", "watch", "report", "begin", "leave", "comeback", "still", "until", "mark", "tell", "end",
)  # fmt: skip


class HollowPlan(msgspec.Struct):
    """The first line: sidecars `first` to `first + count - 1`, and the list services that they use."""

    first: int
    count: int
    writer: str  # HOST:PORT
    replicas: list[str]  # HOST:PORT; one for each region, or all of them for every sidecar
    regional: bool  # each sidecar uses only the replica of its region
    ttl_ms: int
    seed: int


class Order(msgspec.Struct, omit_defaults=True):
    """One of `ORDERS` with its arguments."""

    do: str
    zone: int = -1  # DEREGISTER, REREGISTER: index of the endpoints' zone in `fleet_names.ZONES`
    version: int = 0  # WAIT_FOR_VERSION: the list version that all must have
    within_s: float = 0.0
    versions: list[int] = []  # COLLECT_TALLY: versions whose times in force are wanted


class Tally(msgspec.Struct):
    """Counts since the last RESET_COUNTS. Durations in s; points in time on the monotonic clock."""

    seconds: float = 0.0
    cpu_s: float = 0.0
    rss: int = 0  # bytes, less what the process used before its first sidecar
    lag_p99_ms: float = 0.0
    sent: int = 0  # calls that sent a report
    failed: int = 0  # of them
    calls_s: list[float] = []  # durations of the reports' calls that succeeded
    acks_s: list[float] = []  # from sending a report to its acknowledgement
    renewed: int = 0  # lease calls that succeeded
    unrenewed: int = 0  # lease calls that failed
    flows: list[Flow] = []
    heard: list[list[float]] = []  # per requested version and sidecar: when it was in force, or -1


class Reply(msgspec.Struct, omit_defaults=True):
    """The reply to an order."""

    count: int = 0  # sidecars for which the order succeeded; attempts after STOP_ATTEMPTS
    tally: Tally | None = None
