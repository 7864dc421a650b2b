"""JSON messages between a sidecar and the audit's service, and the sidecar's audit settings.

Times are ms since the sidecar's start, by its own monotonic clock, so the clocks of the two machines
need not agree. Reports are numbered, and each row has the cumulative counts of its span, so reports
may be duplicated, reordered or lost: the row from the report with the greatest number is current.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec

from woadyard.errors import ConfigError, PeerError

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
MAX_REPORT_ROWS = 1024
T = TypeVar("T")


class AuditSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The `audit` section of the configuration."""

    service: str  # HOST:PORT of the list service's replicas, separated by commas
    every_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 1000
    spans: Annotated[int, msgspec.Meta(ge=8, le=MAX_REPORT_ROWS)] = 512  # retained until acknowledged
    out_ms: Annotated[int, msgspec.Meta(ge=1000)] = 10_000  # without an answer, a shut-out lapses then


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """One span, or the sum of several merged spans.

    `k` is the span's number. Where `of` > 1 the row is the sum of that many spans, up to number `k`,
    and has no position. The position of the open span is the report's, and empty here. `until` is -1
    while the span is open. `first` and `last` are the times of the first and last decision in it,
    -1 where there was none.
    """

    k: Count
    position: Annotated[str, msgspec.Meta(max_length=200)]
    since: Count
    until: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)]
    attempts: Count
    refusals: Count = 0
    unsent: Count = 0  # attempts, counted above, that reached no endpoint: none accepted a connection
    first: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)] = -1
    last: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)] = -1
    of: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] = 1


class Report(msgspec.Struct, omit_defaults=True):
    """What a sidecar acted on since its last report.

    `n` counts up from 1; `low` is the lowest number that is not acknowledged yet.
    """

    name: Name
    run: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_-]{1,64}$")]
    n: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    low: Count
    now: Count
    open: Count  # number of the open span
    position: Annotated[str, msgspec.Meta(max_length=200)]  # of the open span
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_REPORT_ROWS)] = []
    oldest: Count | None = None  # the oldest span with attempts in flight, if not the open one
    final: bool = False  # the last report of this run
    evidence: Any = None  # of experiments; handled by their own state machine


class Answer(msgspec.Struct, omit_defaults=True, rename={"whole": "list"}):
    """The service's answer to a report.

    `acks` are the report numbers, from `low` on, that the crash of one process can no longer lose.
    """

    acks: list[int]
    head: str = ""  # position of the newest list, if the sidecar is behind
    state: str = "current"
    whole: Any = None  # the full list, if the sidecar is behind
    plan: Any = None  # full directive, if the sidecar acts on another revision
    experiment: Any = None
    out: list[str] = []  # names of sidecars that are shut out; their verdicts are ignored


def read_settings(raw: Any) -> AuditSettings:
    """Validate the `audit` section of the configuration file; raises ConfigError if it is invalid."""
    try:
        return msgspec.convert(raw, AuditSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(f"audit: {error}") from None


def decode_message(raw: bytes, kind: type[T]) -> T:
    """Decode one JSON message; raises PeerError, with a one-line text, if it is not a valid `kind`."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(f"invalid {kind.__name__.lower()}: {error}") from None
