"""Tracks runs that act on an outdated list: sends them the list, and eventually shuts them out.

Each run is a `TrackedRun`: `current -> behind -> brought up -> (current | shut out) -> current`, with
hysteresis. Its state changes only on received reports, never on silence, so an unavailable service
shuts nobody out. `Fleet` bounds the share of runs shut out at once: if more are behind, the list or
the service is assumed to be at fault, the fleet is held, and no run is shut out.

Does no I/O; times are ms.
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
MAX_HEADS = 4_096  # heads remembered; an older position counts as replaced by the oldest of them
REPORTS_TO_READMIT = 2  # consecutive reports at the head that end a shut-out


class StragglerRules(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """When a run counts as behind, and when it is shut out."""

    behind_ms: Annotated[int, msgspec.Meta(gt=0)] = 6_000  # time since its position was replaced
    shut_out_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # time behind, or ...
    bring_ups: Annotated[int, msgspec.Meta(gt=0)] = 8  # ... times the list was sent without effect
    shut_out_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1  # of the fleet; at least one run
    silent_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # a run without a report since then is not counted


class HeadHistory:
    """When each recent list became the head, to compute for how long a position has been outdated."""

    def __init__(self) -> None:
        self.head = Position()
        self.versions: deque[tuple[int, int]] = deque(maxlen=MAX_HEADS)  # term and generation
        self.since_ms: deque[int] = deque(maxlen=MAX_HEADS)

    def record_head(self, head: Position, now_ms: int) -> None:
        """Record the head at `now_ms`; a head of another lineage clears the history."""
        if head == self.head:
            return
        if head.lineage != self.head.lineage:
            self.versions.clear()
            self.since_ms.clear()
        self.head = head
        self.versions.append((head.term, head.generation))
        self.since_ms.append(now_ms)

    def replaced_for_ms(self, position: Position, now_ms: int) -> int:
        """How long there has been a list newer than this position, ms; 0 at the head."""
        if not position.is_older_than(self.head) or not self.versions:
            return 0
        index = 0
        if position.lineage == self.head.lineage:
            index = bisect_right(self.versions, (position.term, position.generation))
        return max(1, now_ms - self.since_ms[index])


@dataclass
class TrackedRun:
    """The state of one run relative to the head of the list."""

    state: str = CURRENT
    behind_since_ms: int = 0
    bring_up_count: int = 0  # times the list was sent since the run fell behind
    reports_at_head: int = 0  # consecutive
    last_report_ms: int = 0
    is_overdue: bool = False

    def is_bring_up_failing(self, now_ms: int, rules: StragglerRules) -> bool:
        """Whether the run is still behind after the list was sent; a run that recovers reports soon."""
        return self.state == BROUGHT_UP and (
            self.bring_up_count > 1 or 2 * (now_ms - self.last_report_ms) > rules.behind_ms
        )

    def record_report(self, lag_ms: int, now_ms: int, rules: StragglerRules) -> None:
        """Update the state on a report whose position has been outdated for `lag_ms`."""
        self.last_report_ms = now_ms
        is_near = lag_ms * 2 <= rules.behind_ms  # hysteresis: half of the lag that counts as behind
        self.reports_at_head = self.reports_at_head + 1 if is_near else 0
        if self.state == CURRENT:
            if lag_ms > rules.behind_ms:
                self.state, self.behind_since_ms, self.bring_up_count = BEHIND, now_ms, 0
        elif self.reports_at_head >= (REPORTS_TO_READMIT if self.state == SHUT_OUT else 1):
            self.state, self.is_overdue = CURRENT, False
        elif self.state == BROUGHT_UP:
            is_late = now_ms - self.behind_since_ms >= rules.shut_out_ms
            self.is_overdue = is_late or self.bring_up_count >= rules.bring_ups

    def begin_bring_up(self) -> bool:
        """Whether the answer must include the list; counts the bring-up if so."""
        if self.state == CURRENT:
            return False
        self.bring_up_count += 1
        if self.state == BEHIND:
            self.state = BROUGHT_UP
        return True


@dataclass
class Fleet:
    """The tracked runs, and whether so many are behind that shutting out is suspended."""

    rules: StragglerRules = field(default_factory=StragglerRules)
    tracked_runs: dict[str, TrackedRun] = field(default_factory=dict)
    is_held: bool = False
    last_excess_ms: int = 0  # when more runs than may be shut out were last behind

    def record_report(self, key: str, lag_ms: int, now_ms: int) -> TrackedRun:
        """Update a run on a report, and shut it out if it is overdue; returns the run."""
        run = self.tracked_runs.setdefault(key, TrackedRun())
        run.record_report(lag_ms, now_ms, self.rules)
        if self.is_held or run.state != CURRENT:
            self.update_hold(now_ms)
        if run.is_overdue and not self.is_held and run.state == BROUGHT_UP and self._is_alone(run, now_ms):
            run.state, run.reports_at_head = SHUT_OUT, 0
        return run

    def _live_runs(self, now_ms: int) -> list[TrackedRun]:
        return [
            run for run in self.tracked_runs.values()
            if now_ms - run.last_report_ms <= self.rules.silent_ms or run.state == SHUT_OUT
        ]  # fmt: skip

    def _max_shut_out(self, live: list[TrackedRun]) -> int:
        return max(1, int(self.rules.shut_out_share * len(live)))

    def _is_alone(self, overdue: TrackedRun, now_ms: int) -> bool:
        """Whether no more runs can be behind than may be shut out, whatever those report next that have not
        reported since this one fell behind, or were sent the list just now."""
        live = self._live_runs(now_ms)
        may_be_behind = [
            run for run in live if run.state != CURRENT or run.last_report_ms < overdue.behind_since_ms
        ]
        return len(may_be_behind) <= self._max_shut_out(live)

    def update_hold(self, now_ms: int) -> None:
        """Hold the fleet while so many runs are behind that the fault must lie elsewhere.

        The hold ends once their number has been within the allowed share for `behind_ms`."""
        live = self._live_runs(now_ms)
        # A run that recovers after its first bring-up is no sign of a common fault.
        lagging = [
            run for run in live if run.state == SHUT_OUT or run.is_bring_up_failing(now_ms, self.rules)
        ]
        if len(lagging) > self._max_shut_out(live):
            self.is_held, self.last_excess_ms = True, now_ms
            for run in lagging:
                if run.state == SHUT_OUT:
                    run.state = BROUGHT_UP
        elif self.is_held and now_ms - self.last_excess_ms > self.rules.behind_ms:
            self.is_held = False

    def forget(self, key: str) -> None:
        """Stop tracking a run that ended."""
        self.tracked_runs.pop(key, None)
