"""Takes numbered evidence in any order and decides, at any look, whether an experiment is over."""

from __future__ import annotations

import math
import operator
from collections.abc import Hashable
from itertools import combinations
from typing import Any, SupportsIndex

from woadyard.errors import LogEntryError, PlanError
from woadyard.experiment.confidence_sequence import ContrastSums, confidence_interval
from woadyard.experiment.deduplication import RowDeduplicator
from woadyard.experiment.plan import Plan
from woadyard.experiment.states import Decision, State
from woadyard.experiment.strata import FAILED, GOOD, SLOW, StratifiedCounts

# Lengths of a unit, s: a minute once that many units are there, shorter before.
UNIT_LENGTHS_S = (1.0, 10.0, 60.0)
ENOUGH_UNITS = 60
# A shorter unit is used only where it still pairs so much of what a minute pairs.
MIN_PAIRED_SHARE = 0.9
MIN_GUARDRAIL_UNITS, MIN_GUARDRAIL_REQUESTS = 6, 100  # a guardrail's minimum; a winner's is the plan's
MIN_RATIO_UNITS = 10  # shares are called off after so many
SETTLE_S = 30.0  # while numbers are missing, shares are judged by what is older: rows may be late
SUSPECTED_MISMATCH = math.log(3.0)  # evidence of a mismatch at which a winner waits for more
MAX_SOURCES = 100_000
MAX_STRATA = 256  # of class x zone; later ones are counted as one


class Stopper:
    """The evidence of one running experiment. Pure: time (s, any epoch) is passed in.

    Evidence may come late, twice and in any order; each row counts once. An end, once decided,
    stays, whatever comes later."""

    def __init__(self, plan: Plan, start_s: float | None = None) -> None:
        """`start_s`: when it began, from which its least and most time run; none: the first row."""
        self.plan = plan
        self._start_s = math.nan if start_s is None else _finite_time(start_s)
        self.tried = [0] * len(plan.arms)
        self.duplicates = 0  # rows that had been counted before
        self._arm_index = {name: index for index, name in enumerate(plan.arms)}
        self._control = self._arm_index[plan.control]
        self._pairs = list(combinations(range(len(plan.arms)), 2))
        others = [index for index in range(len(plan.arms)) if index != self._control]
        # Less good alone is for the comparison, which names the better arm, unless the plan has it here.
        kinds = (GOOD, FAILED, SLOW) if plan.harm_good < 1.0 else (FAILED, SLOW)
        self._guardrails = [(arm, self._control, kind) for arm in others for kind in kinds]
        self._treatments = others
        contrasts = [(one, other, GOOD) for one, other in self._pairs]
        self._resolutions = [
            StratifiedCounts(s, len(plan.arms), [*contrasts, *self._guardrail_contrasts()])
            for s in UNIT_LENGTHS_S
        ]
        self._missing_numbers = 0  # numbers that later ones overtook
        self._deduplicators: dict[Hashable, RowDeduplicator] = {}
        self._strata: set[Hashable] = set()
        self._share_history: list[tuple[float, tuple[float, ...]]] = [(-math.inf, plan.shares)]
        self._first_s = self._newest_s = math.nan
        self._now_s = -math.inf
        self._final_decision: Decision | None = None

    def _guardrail_contrasts(self) -> list[tuple[int, int, int]]:
        return [guard for guard in self._guardrails if guard[2] != GOOD]

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
        assigned: SupportsIndex | None = None,
        cls: Hashable = "",
        zone: Hashable = "",
    ) -> bool:
        """Requests assigned to `arm` since the source's number before: tried, of them good, failed
        and over the latency bound. `drawn` is how many were assigned, where some have no end yet
        (`tried` counts those that have one): shares are judged by it. False where this row, known
        by source, number, arm, cls and zone, was counted before. Raises `LogEntryError`, and then
        nothing was counted."""
        index = self._arm_index.get(arm) if isinstance(arm, str) else None
        if index is None:
            raise LogEntryError(f"no such arm: {arm!r}", f"the arms are {', '.join(self.plan.arms)}")
        which = _whole_number("number", number)
        counts = (
            _whole_number("tried", tried),
            _whole_number("good", good),
            _whole_number("failed", failed),
            _whole_number("slow", slow),
        )
        if max(counts) > counts[0]:
            raise LogEntryError(f"more good, failed or slow than tried: {counts}", "send counts of one row")
        share = counts[0] if assigned is None else _whole_number("drawn", assigned)
        at = _finite_time(at_s)
        seen = self._deduplicator(source)
        gaps = seen.missing_numbers
        if not seen.record_if_new(which, (index, cls, zone)):
            self.duplicates += 1
            return False
        self._missing_numbers += seen.missing_numbers - gaps
        if counts[0] or share:
            self._count(at, self._stratum(cls, zone), index, counts, share)
        return True

    def reshare(self, at_s: float, shares: Any) -> None:
        """The arms have other shares from then on; the unit of time it falls in tells nothing
        about shares, and all it tells about arms."""
        at, told = _finite_time(at_s), self.plan.normalized_shares(shares)
        if at < self._share_history[-1][0]:
            raise PlanError("shares change in the order of time", "give the change after the last one")
        self._share_history.append((at, told))

    def _deduplicator(self, source: Hashable) -> RowDeduplicator:
        try:
            seen = self._deduplicators.get(source)
        except TypeError:
            raise LogEntryError(f"a source needs a name, not {type(source).__name__}") from None
        if seen is None:
            if len(self._deduplicators) >= MAX_SOURCES:
                raise LogEntryError(f"more than {MAX_SOURCES} sources", "name a source by its sidecar")
            seen = self._deduplicators[source] = RowDeduplicator()
        return seen

    def _stratum(self, cls: Hashable, zone: Hashable) -> Hashable:
        of = (cls, zone)
        if of not in self._strata:
            if len(self._strata) >= MAX_STRATA:
                return None
            self._strata.add(of)
        return of

    def _count(
        self, at: float, of: Hashable, arm: int, counts: tuple[int, int, int, int], drawn: int
    ) -> None:
        self.tried[arm] += counts[0]
        self._first_s = at if math.isnan(self._first_s) else min(at, self._first_s)
        self._newest_s = at if math.isnan(self._newest_s) else max(at, self._newest_s)
        for layer in self._resolutions:
            unit = layer.add(at, of, arm, counts)
            layer.sample_ratio.add(unit, arm, drawn, self._shares_in(layer, unit))
        if len(self._resolutions) > 1 and self._has_enough_units(self._resolutions[-1]):
            del self._resolutions[:-1]

    def _shares_in(self, layer: StratifiedCounts, unit: int) -> tuple[float, ...] | None:
        start, end = unit * layer.unit_length_s, (unit + 1) * layer.unit_length_s
        for since, shares in reversed(self._share_history):
            if since <= start:
                return shares
            if since < end:
                return None
        return None

    def _has_enough_units(self, layer: StratifiedCounts) -> bool:
        return all(one.sums().units >= ENOUGH_UNITS for one in layer.contrasts.values())

    # Decisions

    def stop(self, at_s: float, why: str) -> Decision:
        """An operator ends it; an end made before stays."""
        return self._final_decision or self._finish(State.STOPPED, why, self._advance_clock(at_s), 0.0)

    def decide(self, at_s: float, missing: float = 0.0) -> Decision:
        """What the evidence says at that time. `missing` is the share of the fleet's evidence that
        is not there, as the audit knows it. Looks may be made at any time and as often as liked;
        a time before the last look's is taken for the last look's."""
        now = self._advance_clock(at_s)
        if not 0.0 <= missing <= 1.0:
            raise PlanError(f"a share missing is between 0 and 1, not {missing!r}")
        if self._final_decision is not None:
            return self._final_decision
        settled, ratio = self._ratio_mismatch()
        if settled >= -math.log(self.plan.alpha_ratio):
            told = ", ".join(f"{arm} {n}" for arm, n in zip(self.plan.arms, self.tried, strict=True))
            return self._finish(State.INVALID, f"the arms did not get their shares: {told}", now, missing)
        harm = self._guardrail_breach()
        if harm is not None:
            arm, why = harm
            return self._finish(State.HARMFUL, why, now, missing, arm=self.plan.arms[arm])
        wait = self._wait_reason(now, missing, ratio)
        if not wait:
            state, winner, why = self._compare()
            if state is not State.RUNNING:
                return self._finish(state, why, now, missing, winner=winner)
            wait = why
        if now - self._started_s() >= self.plan.maximum_s:
            return self._finish(State.EXPIRED, f"no end in {self.plan.maximum_s:g} s: {wait}", now, missing)
        return self._decision(State.RUNNING, wait, now, missing)

    def _advance_clock(self, at_s: float) -> float:
        self._now_s = max(self._now_s, _finite_time(at_s))
        return self._now_s

    def _started_s(self) -> float:
        return self._first_s if math.isnan(self._start_s) else self._start_s

    def _ratio_mismatch(self) -> tuple[float, float]:
        """Evidence against the shares: settled, and such as may still come right."""
        if math.isnan(self._newest_s):
            return 0.0, 0.0
        layer = self._resolutions[-1]
        if len(layer.sample_ratio.units) < ENOUGH_UNITS:
            layer = self._resolutions[0]
        newest, slack = layer.unit_at(self._newest_s), self.plan.ratio_slack
        # Suspicion only delays, so it takes no design effect for granted.
        suspect = layer.sample_ratio.log_bayes_factor(newest, 1, slack, design_effect_prior=1.0)
        if len(layer.sample_ratio.units) <= MIN_RATIO_UNITS:
            return 0.0, suspect
        late = math.ceil(SETTLE_S / layer.unit_length_s) if self._missing_numbers else 0
        return layer.sample_ratio.log_bayes_factor(newest, 1 + late, slack), suspect

    def _guardrail_breach(self) -> tuple[int, str] | None:
        """The first arm over a guardrail against control, and which."""
        alpha = self.plan.alpha_harm / len(self._guardrails)
        margins = {GOOD: self.plan.harm_good, FAILED: self.plan.harm_failed, SLOW: self.plan.harm_slow}
        names = {GOOD: "less good", FAILED: "more failed", SLOW: "more over the latency bound"}
        for arm, control, kind in self._guardrails:
            if min(self.tried[arm], self.tried[control]) < MIN_GUARDRAIL_REQUESTS:
                continue
            sums, sign = self._sums(arm, control, kind)
            if sums.units < MIN_GUARDRAIL_UNITS:
                continue
            low, high = confidence_interval(sums, alpha, margins[kind])
            worse = -max(sign * low, sign * high) if kind == GOOD else min(sign * low, sign * high)
            if worse > margins[kind]:
                name = self.plan.arms[arm]
                return arm, f"{name} has at least {worse:.4f} {names[kind]} than {self.plan.control}"
        return None

    def _wait_reason(self, now: float, missing: float, ratio: float) -> str:
        """Why no comparison is made yet; empty where it may be."""
        plan = self.plan
        if math.isnan(self._first_s):
            return "no evidence yet"
        if now - self._started_s() < plan.minimum_s:
            return f"not yet {plan.minimum_s:g} s"
        if min(self.tried) < plan.minimum_tried:
            return f"an arm has fewer than {plan.minimum_tried} requests"
        if missing > plan.missing_share:
            return f"{missing:.3f} of the fleet's evidence is missing, more than {plan.missing_share:g}"
        if ratio >= SUSPECTED_MISMATCH:
            return "the arms' shares look off; more evidence will tell"
        if any(self._sums(*pair, GOOD)[0].units < plan.minimum_units for pair in self._pairs):
            return f"fewer than {plan.minimum_units} batches in which both arms were seen"
        return ""

    def _compare(self) -> tuple[State, str | None, str]:
        plan, control, small = self.plan, self._control, self.plan.smallest_difference
        names = plan.arms
        if all(
            -small < self._lower_bound(arm, control) and self._upper_bound(arm, control) < small
            for arm in self._treatments
        ):
            return State.NO_DIFFERENCE, None, f"every arm lies within {small:g} of {plan.control}"
        if all(self._upper_bound(arm, control) < 0 for arm in self._treatments):
            return State.WINNER, plan.control, f"every other arm is worse than {plan.control}"
        # The best of those that beat control, where no other may be better by what matters.
        best = [arm for arm in self._treatments if self._lower_bound(arm, control) > 0]
        best = [a for a in best if all(self._lower_bound(a, b) > -small for b in range(len(names)) if b != a)]
        if best:
            arm = max(best, key=lambda one: (self._lower_bound(one, control), -one))
            return (
                State.WINNER,
                names[arm],
                f"{names[arm]} is better than {plan.control}",
            )
        return State.RUNNING, None, "the interval does not tell yet"

    def _sums(self, arm: int, other: int, kind: int) -> tuple[ContrastSums, int]:
        """The comparison's sums in the layer that speaks, and -1 where they are of other minus arm."""
        key, sign = (arm, other, kind), 1
        if key not in self._resolutions[-1].contrasts:
            key, sign = (other, arm, kind), -1
        told = [layer.contrasts[key].sums() for layer in self._resolutions]
        if told[-1].units >= ENOUGH_UNITS:
            return told[-1], sign
        paired = [one for one in told if one.weight >= MIN_PAIRED_SHARE * told[-1].weight]
        many = [one for one in paired if one.units >= ENOUGH_UNITS]
        return (many[-1] if many else paired[0]), sign

    def _interval(self, arm: int, other: int) -> tuple[float, float]:
        sums, sign = self._sums(arm, other, GOOD)
        low, high = confidence_interval(
            sums, self.plan.alpha / len(self._pairs), self.plan.smallest_difference
        )
        return (low, high) if sign > 0 else (-high, -low)

    def _lower_bound(self, arm: int, other: int) -> float:
        return self._interval(arm, other)[0]

    def _upper_bound(self, arm: int, other: int) -> float:
        return self._interval(arm, other)[1]

    def _finish(self, state: State, why: str, now: float, missing: float, **more: str | None) -> Decision:
        self._final_decision = self._decision(state, why, now, missing, **more)
        return self._final_decision

    def _decision(
        self,
        state: State,
        why: str,
        now: float,
        missing: float,
        winner: str | None = None,
        arm: str | None = None,
    ) -> Decision:
        names = self.plan.arms
        each = {names[one]: self._interval(one, self._control) for one in self._treatments}
        shown = winner if winner in each else max(each, key=lambda name: sum(each[name]))
        tried = dict(zip(names, self.tried, strict=True))
        return Decision(state, winner, each[shown or ""], why, now, arm, each, tried, missing)


def _whole_number(name: str, value: SupportsIndex) -> int:
    try:
        number = operator.index(value)
    except TypeError:
        raise LogEntryError(f"{name} is no whole number: {value!r}", "send counts as whole numbers") from None
    if number < 0:
        raise LogEntryError(f"{name} is below 0: {number}", "send counts since the number before, not totals")
    return number


def _finite_time(at_s: float) -> float:
    try:
        at = float(at_s)
    except (TypeError, ValueError):
        at = math.nan
    if not math.isfinite(at):
        raise LogEntryError(f"at_s is no time: {at_s!r}", "send a time in seconds")
    return at
