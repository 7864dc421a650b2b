"""Those left behind by the head: told the list, and at last shut out, with hysteresis.

One `Straggler` a run: `current -> behind -> brought up -> (current | shut out) -> current`. It
moves only on what is heard of its position, never on silence, so a service that is away shuts
nobody out. `Fleet` has the share that may be shut out at once: where more are behind, the list
or the service is at fault, the fleet is `held`, and nobody is shut out.

Pure; times are ms.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from woadyard.audit.position import Position

CURRENT, BEHIND, BROUGHT_UP, SHUT_OUT = "current", "behind", "brought up", "shut out"
STATES = (CURRENT, BEHIND, BROUGHT_UP, SHUT_OUT)
MAX_HEADS = 4_096  # heads remembered; one that is older than all of them counts as of the first
REPORTS_TO_READMIT = 2  # reports in a row that take one back that was shut out


class StragglerRules(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """`behind_ms`: a position may be replaced for so long before it is behind."""

    behind_ms: Annotated[int, msgspec.Meta(gt=0)] = 6_000
    shut_out_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # behind for so long, or ...
    bring_ups: Annotated[int, msgspec.Meta(gt=0)] = 8  # ... told the list so often, in vain
    shut_out_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1  # of the fleet; at least one
    silent_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # not heard for so long: of no fleet


class HeadHistory:
    """When each list became the head: how long a position has been replaced."""

    def __init__(self) -> None:
        self.head = Position()
        self.versions: deque[tuple[int, int]] = deque(maxlen=MAX_HEADS)  # term and generation
        self.since_ms: deque[int] = deque(maxlen=MAX_HEADS)

    def record_head(self, head: Position, now: int) -> None:
        if head == self.head:
            return
        if head.lineage != self.head.lineage:
            self.versions.clear()
            self.since_ms.clear()
        self.head = head
        self.versions.append((head.term, head.generation))
        self.since_ms.append(now)

    def replaced_for_ms(self, position: Position, now: int) -> int:
        """For how long by `now` there has been a newer list, ms; 0 at the head."""
        if not position.is_older_than(self.head) or not self.versions:
            return 0
        at = 0
        if position.lineage == self.head.lineage:
            at = bisect_right(self.versions, (position.term, position.generation))
        return max(1, now - self.since_ms[at])


@dataclass
class TrackedRun:
    state: str = CURRENT
    behind_since_ms: int = 0  # of being behind
    bring_up_count: int = 0  # bring-ups
    reports_at_head: int = 0  # reports in a row
    last_report_ms: int = 0
    is_overdue: bool = False

    def is_bring_up_failing(self, now: int, rules: StragglerRules) -> bool:
        """Whether it was told the list and is behind still; one that it mends says so soon."""
        return self.state == BROUGHT_UP and (
            self.bring_up_count > 1 or 2 * (now - self.last_report_ms) > rules.behind_ms
        )

    def record_report(self, lag: int, now: int, rules: StragglerRules) -> None:
        """A report whose position has been replaced for `lag` ms."""
        self.last_report_ms = now
        near = lag * 2 <= rules.behind_ms  # hysteresis: back at half of what puts it behind
        self.reports_at_head = self.reports_at_head + 1 if near else 0
        if self.state == CURRENT:
            if lag > rules.behind_ms:
                self.state, self.behind_since_ms, self.bring_up_count = BEHIND, now, 0
        elif self.reports_at_head >= (REPORTS_TO_READMIT if self.state == SHUT_OUT else 1):
            self.state, self.is_overdue = CURRENT, False
        elif self.state == BROUGHT_UP:
            late = now - self.behind_since_ms >= rules.shut_out_ms
            self.is_overdue = late or self.bring_up_count >= rules.bring_ups

    def begin_bring_up(self) -> bool:
        """Whether the answer brings the list along."""
        if self.state == CURRENT:
            return False
        self.bring_up_count += 1
        if self.state == BEHIND:
            self.state = BROUGHT_UP
        return True


@dataclass
class Fleet:
    rules: StragglerRules = field(default_factory=StragglerRules)
    tracked_runs: dict[str, TrackedRun] = field(default_factory=dict)
    is_held: bool = False
    last_excess_ms: int = 0  # since when no more than may be shut out are behind

    def record_report(self, key: str, lag: int, now: int) -> TrackedRun:
        """One report, and what it comes to; see `Straggler.state` before and after."""
        one = self.tracked_runs.setdefault(key, TrackedRun())
        one.record_report(lag, now, self.rules)
        if self.is_held or one.state != CURRENT:
            self.update_hold(now)
        if one.is_overdue and not self.is_held and one.state == BROUGHT_UP:
            one.state, one.reports_at_head = SHUT_OUT, 0
        return one

    def update_hold(self, now: int) -> None:
        """Whether so many are behind that the fault is not theirs."""
        live = [
            one for one in self.tracked_runs.values()
            if now - one.last_report_ms <= self.rules.silent_ms or one.state == SHUT_OUT
        ]  # fmt: skip
        # One that its first bring-up mends says nothing of the others.
        lagging = [one for one in live if one.state == SHUT_OUT or one.is_bring_up_failing(now, self.rules)]
        most = max(1, int(self.rules.shut_out_share * len(live)))
        if len(lagging) > most:
            self.is_held, self.last_excess_ms = True, now
            for one in lagging:
                if one.state == SHUT_OUT:
                    one.state = BROUGHT_UP
        elif self.is_held and now - self.last_excess_ms > self.rules.behind_ms:
            self.is_held = False

    def forget(self, key: str) -> None:
        """Its run is over."""
        self.tracked_runs.pop(key, None)
