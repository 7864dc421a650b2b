"""What the driver and a process of hollow sidecars tell each other: JSON lines on stdin and stdout."""

from __future__ import annotations

import msgspec

from benchmarks.scale.traffic import Flow

# Orders to a process of hollow sidecars; each is answered by one line once it is done.
(
    REGISTER, START_WATCH, START_REPORTS, RESTART_WATCH, DEREGISTER, REREGISTER, STOP_ATTEMPTS,
    WAIT_FOR_VERSION, RESET_COUNTS, COLLECT_TALLY, STOP,
) = ORDERS = (
    "lease", "watch", "report", "begin", "leave", "comeback", "still", "until", "mark", "tell", "end",
)  # fmt: skip


class HollowPlan(msgspec.Struct):
    """The first line: sidecars `first` to `first + count - 1`, and the services that they use."""

    first: int
    count: int
    writer: str  # HOST:PORT
    replicas: list[str]  # of each region, or for all
    regional: bool  # a sidecar uses only its region's
    ttl_ms: int
    seed: int


class Order(msgspec.Struct, omit_defaults=True):
    do: str
    zone: int = -1  # LEAVE, COMEBACK: of the endpoints, by its place among the names
    version: int = 0  # UNTIL: that all hold it
    within_s: float = 0.0
    versions: list[int] = []  # TELL: when each was in force where


class Tally(msgspec.Struct):
    """Since the last MARK; times in s, of the machine's steady clock where they are moments."""

    seconds: float = 0.0
    cpu_s: float = 0.0
    rss: int = 0  # bytes, without what the process had before its first sidecar
    lag_p99_ms: float = 0.0
    sent: int = 0  # reports, each call
    failed: int = 0
    calls_s: list[float] = []  # of reports that were answered
    acks_s: list[float] = []  # from a report's first sending to its acknowledgement
    renewed: int = 0  # leases
    unrenewed: int = 0  # calls that failed
    flows: list[Flow] = []
    heard: list[list[float]] = []  # for each version asked for: moment by sidecar, -1 where not in force


class Reply(msgspec.Struct, omit_defaults=True):
    count: int = 0  # of the sidecars for which it is done
    tally: Tally | None = None
