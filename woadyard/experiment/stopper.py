"""Takes numbered evidence in any order and decides, at any look, whether an experiment is over."""

from __future__ import annotations

import math
import operator
from collections.abc import Hashable
from itertools import combinations
from typing import Any, SupportsIndex

from woadyard.errors import LogEntryError, PlanError
from woadyard.experiment.plan import Plan
from woadyard.experiment.rules import Decision, State
from woadyard.experiment.seen import Seen
from woadyard.experiment.sequence import Sums, interval
from woadyard.experiment.strata import FAILED, GOOD, SLOW, Layer

# Lengths of a unit, s: a minute once that many units are there, shorter before.
LENGTHS_S = (1.0, 10.0, 60.0)
ENOUGH_UNITS = 60
# A shorter unit is used only where it still pairs so much of what a minute pairs.
PAIRED = 0.9
HARM_UNITS, HARM_TRIED = 6, 100  # a guardrail's minimum; a winner's is the plan's
RATIO_UNITS = 10  # shares are called off after so many
SETTLE_S = 30.0  # while numbers are missing, shares are judged by what is older: rows may be late
SUSPECT = math.log(3.0)  # evidence of a mismatch at which a winner waits for more
MOST_SOURCES = 100_000
MOST_STRATA = 256  # of class x zone; later ones are counted as one


class Stopper:
    """The evidence of one running experiment. Pure: time (s, any epoch) is passed in.

    Evidence may come late, twice and in any order; each row counts once. An end, once decided,
    stays, whatever comes later."""

    def __init__(self, plan: Plan, start_s: float | None = None) -> None:
        """`start_s`: when it began, from which its least and most time run; none: the first row."""
        self.plan = plan
        self._start_s = math.nan if start_s is None else _time(start_s)
        self.tried = [0] * len(plan.arms)
        self.repeated = 0  # rows that had been counted before
        self._arms = {name: index for index, name in enumerate(plan.arms)}
        self._control = self._arms[plan.control]
        self._pairs = list(combinations(range(len(plan.arms)), 2))
        others = [index for index in range(len(plan.arms)) if index != self._control]
        # Less good alone is for the comparison, which names the better arm, unless the plan has it here.
        kinds = (GOOD, FAILED, SLOW) if plan.harm_good < 1.0 else (FAILED, SLOW)
        self._guards = [(arm, self._control, kind) for arm in others for kind in kinds]
        self._others = others
        contrasts = [(one, other, GOOD) for one, other in self._pairs]
        self._layers = [Layer(s, len(plan.arms), [*contrasts, *self._extra()]) for s in LENGTHS_S]
        self._gaps = 0  # numbers that later ones overtook
        self._seen: dict[Hashable, Seen] = {}
        self._strata: set[Hashable] = set()
        self._shares: list[tuple[float, tuple[float, ...]]] = [(-math.inf, plan.shares)]
        self._first_s = self._newest_s = math.nan
        self._now_s = -math.inf
        self._end: Decision | None = None

    def _extra(self) -> list[tuple[int, int, int]]:
        return [guard for guard in self._guards if guard[2] != GOOD]

    # Evidence

    def add(
        self,
        source: Hashable,
        number: SupportsIndex,
        at_s: float,
        arm: str,
        tried: SupportsIndex,
        good: SupportsIndex,
        *,
        failed: SupportsIndex = 0,
        slow: SupportsIndex = 0,
        drawn: SupportsIndex | None = None,
        cls: Hashable = "",
        zone: Hashable = "",
    ) -> bool:
        """Requests assigned to `arm` since the source's number before: tried, of them good, failed
        and over the latency bound. `drawn` is how many were assigned, where some have no end yet
        (`tried` counts those that have one): shares are judged by it. False where this row, known
        by source, number, arm, cls and zone, was counted before. Raises `LogEntryError`, and then
        nothing was counted."""
        index = self._arms.get(arm) if isinstance(arm, str) else None
        if index is None:
            raise LogEntryError(f"no such arm: {arm!r}", f"the arms are {', '.join(self.plan.arms)}")
        which = _whole("number", number)
        counts = _whole("tried", tried), _whole("good", good), _whole("failed", failed), _whole("slow", slow)
        if max(counts) > counts[0]:
            raise LogEntryError(f"more good, failed or slow than tried: {counts}", "send counts of one row")
        share = counts[0] if drawn is None else _whole("drawn", drawn)
        at = _time(at_s)
        seen = self._seen_of(source)
        gaps = seen.gaps
        if not seen.take(which, (index, cls, zone)):
            self.repeated += 1
            return False
        self._gaps += seen.gaps - gaps
        if counts[0] or share:
            self._count(at, self._stratum(cls, zone), index, counts, share)
        return True

    def reshare(self, at_s: float, shares: Any) -> None:
        """The arms have other shares from then on; the unit of time it falls in tells nothing
        about shares, and all it tells about arms."""
        at, told = _time(at_s), self.plan.share_list(shares)
        if at < self._shares[-1][0]:
            raise PlanError("shares change in the order of time", "give the change after the last one")
        self._shares.append((at, told))

    def _seen_of(self, source: Hashable) -> Seen:
        try:
            seen = self._seen.get(source)
        except TypeError:
            raise LogEntryError(f"a source needs a name, not {type(source).__name__}") from None
        if seen is None:
            if len(self._seen) >= MOST_SOURCES:
                raise LogEntryError(f"more than {MOST_SOURCES} sources", "name a source by its sidecar")
            seen = self._seen[source] = Seen()
        return seen

    def _stratum(self, cls: Hashable, zone: Hashable) -> Hashable:
        of = (cls, zone)
        if of not in self._strata:
            if len(self._strata) >= MOST_STRATA:
                return None
            self._strata.add(of)
        return of

    def _count(
        self, at: float, of: Hashable, arm: int, counts: tuple[int, int, int, int], drawn: int
    ) -> None:
        self.tried[arm] += counts[0]
        self._first_s = at if math.isnan(self._first_s) else min(at, self._first_s)
        self._newest_s = at if math.isnan(self._newest_s) else max(at, self._newest_s)
        for layer in self._layers:
            unit = layer.add(at, of, arm, counts)
            layer.ratio.add(unit, arm, drawn, self._shares_in(layer, unit))
        if len(self._layers) > 1 and self._enough(self._layers[-1]):
            del self._layers[:-1]

    def _shares_in(self, layer: Layer, unit: int) -> tuple[float, ...] | None:
        start, end = unit * layer.length_s, (unit + 1) * layer.length_s
        for since, shares in reversed(self._shares):
            if since <= start:
                return shares
            if since < end:
                return None
        return None

    def _enough(self, layer: Layer) -> bool:
        return all(one.sums().units >= ENOUGH_UNITS for one in layer.contrasts.values())

    # Decisions

    def stop(self, at_s: float, why: str) -> Decision:
        """An operator ends it; an end made before stays."""
        return self._end or self._finish(State.STOPPED, why, self._clock(at_s), 0.0)

    def decide(self, at_s: float, missing: float = 0.0) -> Decision:
        """What the evidence says at that time. `missing` is the share of the fleet's evidence that
        is not there, as the audit knows it. Looks may be made at any time and as often as liked;
        a time before the last look's is taken for the last look's."""
        now = self._clock(at_s)
        if not 0.0 <= missing <= 1.0:
            raise PlanError(f"a share missing is between 0 and 1, not {missing!r}")
        if self._end is not None:
            return self._end
        settled, ratio = self._mismatch()
        if settled >= -math.log(self.plan.alpha_ratio):
            told = ", ".join(f"{arm} {n}" for arm, n in zip(self.plan.arms, self.tried, strict=True))
            return self._finish(State.INVALID, f"the arms did not get their shares: {told}", now, missing)
        harm = self._harm()
        if harm is not None:
            arm, why = harm
            return self._finish(State.HARMFUL, why, now, missing, arm=self.plan.arms[arm])
        wait = self._wait(now, missing, ratio)
        if not wait:
            state, winner, why = self._compare()
            if state is not State.RUNNING:
                return self._finish(state, why, now, missing, winner=winner)
            wait = why
        if now - self._began() >= self.plan.maximum_s:
            return self._finish(State.EXPIRED, f"no end in {self.plan.maximum_s:g} s: {wait}", now, missing)
        return self._tell(State.RUNNING, wait, now, missing)

    def _clock(self, at_s: float) -> float:
        self._now_s = max(self._now_s, _time(at_s))
        return self._now_s

    def _began(self) -> float:
        return self._first_s if math.isnan(self._start_s) else self._start_s

    def _mismatch(self) -> tuple[float, float]:
        """Evidence against the shares: settled, and such as may still come right."""
        if math.isnan(self._newest_s):
            return 0.0, 0.0
        layer = self._layers[-1]
        if len(layer.ratio.units) < ENOUGH_UNITS:
            layer = self._layers[0]
        newest, slack = layer.unit(self._newest_s), self.plan.ratio_slack
        # Suspicion only delays, so it takes no design effect for granted.
        suspect = layer.ratio.evidence(newest, 1, slack, guess=1.0)
        if len(layer.ratio.units) <= RATIO_UNITS:
            return 0.0, suspect
        late = math.ceil(SETTLE_S / layer.length_s) if self._gaps else 0
        return layer.ratio.evidence(newest, 1 + late, slack), suspect

    def _harm(self) -> tuple[int, str] | None:
        """The first arm over a guardrail against control, and which."""
        alpha = self.plan.alpha_harm / len(self._guards)
        margins = {GOOD: self.plan.harm_good, FAILED: self.plan.harm_failed, SLOW: self.plan.harm_slow}
        names = {GOOD: "less good", FAILED: "more failed", SLOW: "more over the latency bound"}
        for arm, control, kind in self._guards:
            if min(self.tried[arm], self.tried[control]) < HARM_TRIED:
                continue
            sums, sign = self._sums(arm, control, kind)
            if sums.units < HARM_UNITS:
                continue
            low, high = interval(sums, alpha, margins[kind])
            worse = -max(sign * low, sign * high) if kind == GOOD else min(sign * low, sign * high)
            if worse > margins[kind]:
                name = self.plan.arms[arm]
                return arm, f"{name} has at least {worse:.4f} {names[kind]} than {self.plan.control}"
        return None

    def _wait(self, now: float, missing: float, ratio: float) -> str:
        """Why no comparison is made yet; empty where it may be."""
        plan = self.plan
        if math.isnan(self._first_s):
            return "no evidence yet"
        if now - self._began() < plan.minimum_s:
            return f"not yet {plan.minimum_s:g} s"
        if min(self.tried) < plan.minimum_tried:
            return f"an arm has fewer than {plan.minimum_tried} requests"
        if missing > plan.missing_share:
            return f"{missing:.3f} of the fleet's evidence is missing, more than {plan.missing_share:g}"
        if ratio >= SUSPECT:
            return "the arms' shares look off; more evidence will tell"
        if any(self._sums(*pair, GOOD)[0].units < plan.minimum_units for pair in self._pairs):
            return f"fewer than {plan.minimum_units} batches in which both arms were seen"
        return ""

    def _compare(self) -> tuple[State, str | None, str]:
        plan, control, small = self.plan, self._control, self.plan.smallest_difference
        names = plan.arms
        if all(-small < self._low(arm, control) and self._high(arm, control) < small for arm in self._others):
            return State.NO_DIFFERENCE, None, f"every arm lies within {small:g} of {plan.control}"
        if all(self._high(arm, control) < 0 for arm in self._others):
            return State.WINNER, plan.control, f"every other arm is worse than {plan.control}"
        # The best of those that beat control, where no other may be better by what matters.
        best = [arm for arm in self._others if self._low(arm, control) > 0]
        best = [a for a in best if all(self._low(a, b) > -small for b in range(len(names)) if b != a)]
        if best:
            arm = max(best, key=lambda one: (self._low(one, control), -one))
            return (
                State.WINNER,
                names[arm],
                f"{names[arm]} is better than {plan.control}",
            )
        return State.RUNNING, None, "the interval does not tell yet"

    def _sums(self, arm: int, other: int, kind: int) -> tuple[Sums, int]:
        """The comparison's sums in the layer that speaks, and -1 where they are of other minus arm."""
        key, sign = (arm, other, kind), 1
        if key not in self._layers[-1].contrasts:
            key, sign = (other, arm, kind), -1
        told = [layer.contrasts[key].sums() for layer in self._layers]
        if told[-1].units >= ENOUGH_UNITS:
            return told[-1], sign
        paired = [one for one in told if one.weight >= PAIRED * told[-1].weight]
        many = [one for one in paired if one.units >= ENOUGH_UNITS]
        return (many[-1] if many else paired[0]), sign

    def _interval(self, arm: int, other: int) -> tuple[float, float]:
        sums, sign = self._sums(arm, other, GOOD)
        low, high = interval(sums, self.plan.alpha / len(self._pairs), self.plan.smallest_difference)
        return (low, high) if sign > 0 else (-high, -low)

    def _low(self, arm: int, other: int) -> float:
        return self._interval(arm, other)[0]

    def _high(self, arm: int, other: int) -> float:
        return self._interval(arm, other)[1]

    def _finish(self, state: State, why: str, now: float, missing: float, **more: str | None) -> Decision:
        self._end = self._tell(state, why, now, missing, **more)
        return self._end

    def _tell(
        self,
        state: State,
        why: str,
        now: float,
        missing: float,
        winner: str | None = None,
        arm: str | None = None,
    ) -> Decision:
        names = self.plan.arms
        each = {names[one]: self._interval(one, self._control) for one in self._others}
        shown = winner if winner in each else max(each, key=lambda name: sum(each[name]))
        tried = dict(zip(names, self.tried, strict=True))
        return Decision(state, winner, each[shown or ""], why, now, arm, each, tried, missing)


def _whole(name: str, value: SupportsIndex) -> int:
    try:
        number = operator.index(value)
    except TypeError:
        raise LogEntryError(f"{name} is no whole number: {value!r}", "send counts as whole numbers") from None
    if number < 0:
        raise LogEntryError(f"{name} is below 0: {number}", "send counts since the number before, not totals")
    return number


def _time(at_s: float) -> float:
    try:
        at = float(at_s)
    except (TypeError, ValueError):
        at = math.nan
    if not math.isfinite(at):
        raise LogEntryError(f"at_s is no time: {at_s!r}", "send a time in seconds")
    return at
