"""What the service and a sidecar tell each other of an experiment: a directive, and evidence."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from woadyard.errors import PeerError

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Identifier = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_.-]{1,64}$")]
MAX_ROWS = 1024  # in one report


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, rename="camel"):
    """Which listed endpoints are an arm's: those that have every value named here."""

    machine_type: str | None = None
    zone: str | None = None
    label: str | None = None

    def matches(self, entry: dict[str, Any]) -> bool:
        named = (("machineType", self.machine_type), ("zone", self.zone), ("label", self.label))
        wanted = [(key, value) for key, value in named if value is not None]
        return bool(wanted) and all(entry.get(key) == value for key, value in wanted)


class Arm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: Identifier
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    match: Match


class Directive(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a sidecar does by this revision. No arms: no experiment. `serve`: the experiment is
    over, and all requests go to that arm; then nothing is counted."""

    revision: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    salt: str = ""
    arms: tuple[Arm, ...] = ()
    control: str = ""
    serve: str | None = None
    hold_ms: Annotated[int, msgspec.Meta(ge=1000)] = 30_000  # without a word of the service
    slot_ms: Annotated[int, msgspec.Meta(ge=100)] = 60_000  # counts are kept by so long


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """The sums so far of one cell, number `k` of this run, that began `age_ms` before the report."""

    k: Count
    revision: Count
    age_ms: Count
    arm: Identifier
    cls: Annotated[str, msgspec.Meta(max_length=64)]
    tried: Count
    good: Count
    failed: Count
    slow: Count
    drawn: Count  # assigned to the arm; those tried have had their answer


class Evidence(msgspec.Struct, forbid_unknown_fields=True):
    """All cells that the service may not have for good; those below `low` are never told again."""

    low: Count
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_ROWS)] = []
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    dropped: Count = 0  # requests that no room was left for


def read_directive(raw: Any) -> Directive:
    """PeerError on anything but a whole directive."""
    try:
        told = msgspec.convert(raw, Directive)
    except msgspec.ValidationError as error:
        raise PeerError(f"no experiment's directive: {error}") from None
    names = [arm.name for arm in told.arms]
    if told.arms and (told.control not in names or (told.serve or told.control) not in names):
        raise PeerError("a directive's control or winner is none of its arms")
    return told


def read_evidence(raw: Any) -> Evidence:
    """PeerError on anything but evidence whose counts fit each other."""
    try:
        told = msgspec.convert(raw, Evidence)
    except msgspec.ValidationError as error:
        raise PeerError(f"no evidence: {error}") from None
    for row in told.rows:
        if max(row.good, row.failed, row.slow) > row.tried:
            raise PeerError(f"evidence with more good, failed or slow than tried: cell {row.k}")
    return told
