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
HISTORY = 4_096  # heads remembered; one that is older than all of them counts as of the first
AT_HEAD = 2  # reports in a row that take one back that was shut out


class Rules(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename="kebab"):
    """`behind_ms`: a position may be replaced for so long before it is behind."""

    behind_ms: Annotated[int, msgspec.Meta(gt=0)] = 6_000
    shut_out_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # behind for so long, or ...
    bring_ups: Annotated[int, msgspec.Meta(gt=0)] = 8  # ... told the list so often, in vain
    shut_out_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1  # of the fleet; at least one
    silent_ms: Annotated[int, msgspec.Meta(gt=0)] = 15_000  # not heard for so long: of no fleet


class Heads:
    """When each list became the head: how long a position has been replaced."""

    def __init__(self) -> None:
        self.head = Position()
        self.keys: deque[tuple[int, int]] = deque(maxlen=HISTORY)  # term and generation
        self.since: deque[int] = deque(maxlen=HISTORY)

    def move(self, head: Position, now: int) -> None:
        if head == self.head:
            return
        if head.lineage != self.head.lineage:
            self.keys.clear()
            self.since.clear()
        self.head = head
        self.keys.append((head.term, head.generation))
        self.since.append(now)

    def replaced(self, position: Position, now: int) -> int:
        """For how long by `now` there has been a newer list, ms; 0 at the head."""
        if not position.older(self.head) or not self.keys:
            return 0
        at = 0
        if position.lineage == self.head.lineage:
            at = bisect_right(self.keys, (position.term, position.generation))
        return max(1, now - self.since[at])


@dataclass
class Straggler:
    state: str = CURRENT
    since: int = 0  # of being behind
    told: int = 0  # bring-ups
    at_head: int = 0  # reports in a row
    heard: int = 0
    overdue: bool = False

    def vain(self, now: int, rules: Rules) -> bool:
        """Whether it was told the list and is behind still; one that it mends says so soon."""
        return self.state == BROUGHT_UP and (self.told > 1 or 2 * (now - self.heard) > rules.behind_ms)

    def hear(self, lag: int, now: int, rules: Rules) -> None:
        """A report whose position has been replaced for `lag` ms."""
        self.heard = now
        near = lag * 2 <= rules.behind_ms  # hysteresis: back at half of what puts it behind
        self.at_head = self.at_head + 1 if near else 0
        if self.state == CURRENT:
            if lag > rules.behind_ms:
                self.state, self.since, self.told = BEHIND, now, 0
        elif self.at_head >= (AT_HEAD if self.state == SHUT_OUT else 1):
            self.state, self.overdue = CURRENT, False
        elif self.state == BROUGHT_UP:
            late = now - self.since >= rules.shut_out_ms
            self.overdue = late or self.told >= rules.bring_ups

    def tell(self) -> bool:
        """Whether the answer brings the list along."""
        if self.state == CURRENT:
            return False
        self.told += 1
        if self.state == BEHIND:
            self.state = BROUGHT_UP
        return True


@dataclass
class Fleet:
    rules: Rules = field(default_factory=Rules)
    stragglers: dict[str, Straggler] = field(default_factory=dict)
    held: bool = False
    calm: int = 0  # since when no more than may be shut out are behind

    def hear(self, key: str, lag: int, now: int) -> Straggler:
        """One report, and what it comes to; see `Straggler.state` before and after."""
        one = self.stragglers.setdefault(key, Straggler())
        one.hear(lag, now, self.rules)
        if self.held or one.state != CURRENT:
            self.judge(now)
        if one.overdue and not self.held and one.state == BROUGHT_UP:
            one.state, one.at_head = SHUT_OUT, 0
        return one

    def judge(self, now: int) -> None:
        """Whether so many are behind that the fault is not theirs."""
        live = [
            one for one in self.stragglers.values()
            if now - one.heard <= self.rules.silent_ms or one.state == SHUT_OUT
        ]  # fmt: skip
        # One that its first bring-up mends says nothing of the others.
        lagging = [one for one in live if one.state == SHUT_OUT or one.vain(now, self.rules)]
        most = max(1, int(self.rules.shut_out_share * len(live)))
        if len(lagging) > most:
            self.held, self.calm = True, now
            for one in lagging:
                if one.state == SHUT_OUT:
                    one.state = BROUGHT_UP
        elif self.held and now - self.calm > self.rules.behind_ms:
            self.held = False

    def forget(self, key: str) -> None:
        """Its run is over."""
        self.stragglers.pop(key, None)
