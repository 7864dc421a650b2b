"""What a sidecar and the ledger tell each other, as JSON; and the sidecar's settings.

Times are ms since the sidecar's start, by its own steady clock: no clock of the two machines
need agree. A report is numbered; what it tells of a span is the span's sum so far, so that a
report may come twice, late or never: the greatest number that told of a span has its counts.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec

from woadyard.errors import ConfigError, PeerError

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
MAX_REPORT_ROWS = 1024  # in one report
T = TypeVar("T")


class AuditSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """The configuration's `audit`."""

    service: str  # HOST:PORT of the list service, replicas with commas between
    every_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 1000
    spans: Annotated[int, msgspec.Meta(ge=8, le=MAX_REPORT_ROWS)] = 512  # kept while nobody takes them
    out_ms: Annotated[int, msgspec.Meta(ge=1000)] = 10_000  # a shut-out holds so long without a word


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """One span: number `k`, or where `of` > 1 the sum of that many, up to `k`, with no position.

    The open span's position is the report's, and empty here. `until` -1: it goes on. `first` and
    `last` decision in it, -1 where there was none."""

    k: Count
    position: Annotated[str, msgspec.Meta(max_length=200)]
    since: Count
    until: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)]
    attempts: Count
    refusals: Count = 0
    unsent: Count = 0  # of the attempts: never reached an endpoint, as none could be connected to
    first: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)] = -1
    last: Annotated[int, msgspec.Meta(ge=-1, lt=2**53)] = -1
    of: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] = 1


class Report(msgspec.Struct, omit_defaults=True):
    """`n` counts up from 1; `low` is the least number whose answer is still waited for."""

    name: Name
    run: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_-]{1,64}$")]
    n: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    low: Count
    now: Count
    open: Count  # the span that goes on
    position: Annotated[str, msgspec.Meta(max_length=200)]  # of that span
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_REPORT_ROWS)] = []
    oldest: Count | None = None  # the oldest span with attempts under way, where not the open one
    final: bool = False  # nothing follows
    evidence: Any = None  # of experiments, for their own book


class Answer(msgspec.Struct, omit_defaults=True, rename={"whole": "list"}):
    """`acks`: numbers from `low` on that no crash of one process can lose any more."""

    acks: list[int]
    head: str = ""  # position of the list's head, where the reporter is behind
    state: str = "current"
    whole: Any = None  # the list, where the reporter is behind
    plan: Any = None  # whole directives, where the reporter's revision is another
    experiment: Any = None
    out: list[str] = []  # names of sidecars that are shut out: nobody takes their verdicts


def read_settings(raw: Any) -> AuditSettings:
    """The file's `audit`; ConfigError where it is none."""
    try:
        return msgspec.convert(raw, AuditSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(f"audit: {error}") from None


def decode_message(raw: bytes, kind: type[T]) -> T:
    """PeerError, one line, on anything but one whole `kind`."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(f"no {kind.__name__.lower()}: {error}") from None
