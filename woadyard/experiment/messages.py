"""Messages on an experiment: directives of the list service, evidence of sidecars."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from woadyard.errors import PeerError

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
Identifier = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_.-]{1,64}$")]
MAX_ROWS = 1024  # in one report


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, rename="camel"):
    """Selects the endpoints of an arm: those whose list entry has every value given here."""

    machine_type: str | None = None
    zone: str | None = None
    label: str | None = None

    def matches(self, entry: dict[str, Any]) -> bool:
        conditions = (("machineType", self.machine_type), ("zone", self.zone), ("label", self.label))
        given = [(key, value) for key, value in conditions if value is not None]
        return bool(given) and all(entry.get(key) == value for key, value in given)


class Arm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One arm of a traffic split, with its share of the requests."""

    name: Identifier
    share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    match: Match


class Directive(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a sidecar is to do as of this revision.

    Without arms there is no experiment. With `serve` the experiment has ended: all requests go to
    that arm and nothing is counted.
    """

    revision: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    salt: str = ""
    arms: tuple[Arm, ...] = ()
    control: str = ""
    serve: str | None = None
    # Without a response of the service for so long, the sidecar sends all requests to control.
    hold_ms: Annotated[int, msgspec.Meta(ge=1000)] = 30_000
    # Length of the time slots that requests are counted by.
    slot_ms: Annotated[int, msgspec.Meta(ge=100)] = 60_000


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """The running sums of one cell.

    `k` is the number of the cell in this run of the sidecar; the cell's slot began `age_ms` before
    the report.
    """

    k: Count
    revision: Count
    age_ms: Count
    arm: Identifier
    cls: Annotated[str, msgspec.Meta(max_length=64)]
    tried: Count
    good: Count
    failed: Count
    slow: Count
    drawn: Count  # requests assigned to the arm; `tried` counts the completed ones


class Evidence(msgspec.Struct, forbid_unknown_fields=True):
    """All cells that may not be stored by the service yet.

    Cells numbered below `low` are never reported again.
    """

    low: Count
    rows: Annotated[list[Row], msgspec.Meta(max_length=MAX_ROWS)] = []
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    dropped: Count = 0  # requests not counted because there were too many cells


def read_directive(raw: Any) -> Directive:
    """Decode a directive; raises `PeerError` if it is invalid."""
    try:
        directive = msgspec.convert(raw, Directive)
    except msgspec.ValidationError as error:
        raise PeerError(f"invalid directive of an experiment: {error}") from None
    names = [arm.name for arm in directive.arms]
    if directive.arms and (
        directive.control not in names or (directive.serve or directive.control) not in names
    ):
        raise PeerError("the control or the winner of a directive is not one of its arms")
    return directive


def read_evidence(raw: Any) -> Evidence:
    """Decode evidence; raises `PeerError` if it is invalid or its counts contradict each other."""
    try:
        evidence = msgspec.convert(raw, Evidence)
    except msgspec.ValidationError as error:
        raise PeerError(f"invalid evidence: {error}") from None
    for row in evidence.rows:
        if max(row.good, row.failed, row.slow) > row.tried:
            raise PeerError(f"evidence with more good, failed or slow requests than tried in cell {row.k}")
    return evidence
