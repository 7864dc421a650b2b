"""Sequential stopping rule: consumes numbered evidence and decides at any look whether a test has ended."""

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

# Lengths of a unit of time (a batch). One-minute units are used once there are `ENOUGH_UNITS`
# of them, shorter units before that.
UNIT_LENGTHS_S = (1.0, 10.0, 60.0)
ENOUGH_UNITS = 60
# A shorter unit is used only if the weight of its strata with requests in both arms is at least
# this share of that of one-minute units.
MIN_PAIRED_SHARE = 0.9
MIN_GUARDRAIL_UNITS, MIN_GUARDRAIL_REQUESTS = 6, 100  # a winner has the minimums of the plan
MIN_RATIO_UNITS = 10  # a mismatch is declared only after more units than this
SETTLE_S = 30.0  # while row numbers are missing, the ratio test leaves out newer units: rows may be late
SUSPECTED_MISMATCH = math.log(3.0)  # log Bayes factor at which a winner waits for more evidence
MAX_SOURCES = 100_000
MAX_STRATA = 256  # of class x zone; further ones share one stratum


class Stopper:
    """The stopping rule of one running experiment and the evidence that it decides by.

    It performs no I/O and reads no clock: times are passed in, in seconds of any epoch. Evidence
    may arrive late, repeatedly and in any order; each row is counted once. A final decision never
    changes, whatever arrives later.
    """

    def __init__(self, plan: Plan, start_s: float | None = None) -> None:
        """Create a test by `plan`.

        The plan's minimum and maximum durations run from `start_s`, or from the time of the
        earliest row if it is None.
        """
        self.plan = plan
        self._start_s = math.nan if start_s is None else _finite_time(start_s)
        self.tried = [0] * len(plan.arms)
        self.duplicates = 0  # rows that were rejected because they had been counted
        self._arm_index = {name: index for index, name in enumerate(plan.arms)}
        self._control = self._arm_index[plan.control]
        self._pairs = list(combinations(range(len(plan.arms)), 2))
        treatments = [index for index in range(len(plan.arms)) if index != self._control]
        # A lower share of good requests alone is left to the comparison, which names the better arm,
        # unless the plan sets a guardrail for it.
        measures = (GOOD, FAILED, SLOW) if plan.harm_good < 1.0 else (FAILED, SLOW)
        self._guardrails = [(arm, self._control, measure) for arm in treatments for measure in measures]
        self._treatments = treatments
        contrasts = [(first, second, GOOD) for first, second in self._pairs]
        self._resolutions = [
            StratifiedCounts(length_s, len(plan.arms), [*contrasts, *self._guardrail_contrasts()])
            for length_s in UNIT_LENGTHS_S
        ]
        self._missing_numbers = 0  # row numbers not received although higher ones were
        self._deduplicators: dict[Hashable, RowDeduplicator] = {}
        self._strata: set[Hashable] = set()
        self._share_history: list[tuple[float, tuple[float, ...]]] = [(-math.inf, plan.shares)]
        self._first_s = self._newest_s = math.nan
        self._now_s = -math.inf
        self._final_decision: Decision | None = None

    def _guardrail_contrasts(self) -> list[tuple[int, int, int]]:
        return [guardrail for guardrail in self._guardrails if guardrail[2] != GOOD]

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
        """Count the requests that were assigned to `arm` since the source's previous row.

        `tried` counts completed requests; of these, `good`, `failed` and `slow` (over the latency
        bound). `assigned` also counts requests that have not completed yet, and the sample ratio
        is tested by it; it defaults to `tried`. Returns False if the row, identified by source,
        number, arm, class and zone, was counted before. Raises `LogEntryError` for an invalid
        row, of which nothing is counted.
        """
        arm_index = self._arm_index.get(arm) if isinstance(arm, str) else None
        if arm_index is None:
            raise LogEntryError(f"no such arm: {arm!r}", f"the arms are {', '.join(self.plan.arms)}")
        row_number = _whole_number("number", number)
        counts = (
            _whole_number("tried", tried),
            _whole_number("good", good),
            _whole_number("failed", failed),
            _whole_number("slow", slow),
        )
        if max(counts) > counts[0]:
            raise LogEntryError(
                f"more good, failed or slow requests than tried: (tried, good, failed, slow) = {counts}",
                "send counts of one row",
            )
        assigned_count = counts[0] if assigned is None else _whole_number("assigned", assigned)
        checked_at_s = _finite_time(at_s)
        deduplicator = self._deduplicator(source)
        missing_before = deduplicator.missing_numbers
        if not deduplicator.record_if_new(row_number, (arm_index, cls, zone)):
            self.duplicates += 1
            return False
        self._missing_numbers += deduplicator.missing_numbers - missing_before
        if counts[0] or assigned_count:
            self._count(checked_at_s, self._stratum(cls, zone), arm_index, counts, assigned_count)
        return True

    def reshare(self, at_s: float, shares: Any) -> None:
        """Change the planned shares of the arms from `at_s` on.

        The unit of time in which the change falls is left out of the sample ratio test, but
        counts in the comparison of the arms.
        """
        checked_at_s, new_shares = _finite_time(at_s), self.plan.normalized_shares(shares)
        if checked_at_s < self._share_history[-1][0]:
            raise PlanError(
                "a change of shares is before the previous one", "give changes of shares in order of time"
            )
        self._share_history.append((checked_at_s, new_shares))

    def _deduplicator(self, source: Hashable) -> RowDeduplicator:
        try:
            deduplicator = self._deduplicators.get(source)
        except TypeError:
            raise LogEntryError(f"a source must be a hashable name, not {type(source).__name__}") from None
        if deduplicator is None:
            if len(self._deduplicators) >= MAX_SOURCES:
                raise LogEntryError(f"more than {MAX_SOURCES} sources", "name a source after its sidecar")
            deduplicator = self._deduplicators[source] = RowDeduplicator()
        return deduplicator

    def _stratum(self, cls: Hashable, zone: Hashable) -> Hashable:
        stratum = (cls, zone)
        if stratum not in self._strata:
            if len(self._strata) >= MAX_STRATA:
                return None
            self._strata.add(stratum)
        return stratum

    def _count(
        self, at_s: float, stratum: Hashable, arm: int, counts: tuple[int, int, int, int], assigned: int
    ) -> None:
        self.tried[arm] += counts[0]
        self._first_s = at_s if math.isnan(self._first_s) else min(at_s, self._first_s)
        self._newest_s = at_s if math.isnan(self._newest_s) else max(at_s, self._newest_s)
        for resolution in self._resolutions:
            unit = resolution.add(at_s, stratum, arm, counts)
            resolution.sample_ratio.add(unit, arm, assigned, self._shares_in(resolution, unit))
        if len(self._resolutions) > 1 and self._has_enough_units(self._resolutions[-1]):
            del self._resolutions[:-1]

    def _shares_in(self, resolution: StratifiedCounts, unit: int) -> tuple[float, ...] | None:
        start_s, end_s = unit * resolution.unit_length_s, (unit + 1) * resolution.unit_length_s
        for since_s, shares in reversed(self._share_history):
            if since_s <= start_s:
                return shares
            if since_s < end_s:
                return None
        return None

    def _has_enough_units(self, resolution: StratifiedCounts) -> bool:
        return all(contrast.sums().units >= ENOUGH_UNITS for contrast in resolution.contrasts.values())

    # Decisions

    def stop(self, at_s: float, reason: str) -> Decision:
        """End the experiment by an operator's request; an earlier final decision stays."""
        return self._final_decision or self._finish(State.STOPPED, reason, self._advance_clock(at_s), 0.0)

    def decide(self, at_s: float, missing: float = 0.0) -> Decision:
        """Return the decision by the evidence received so far, as of `at_s`.

        `missing` is the share of the fleet's evidence that is missing, as determined by the audit.
        The error rates hold for any number of looks at any times. A time before that of the
        previous look is replaced by that time. Raises `PlanError` if `missing` is not within
        0 to 1.
        """
        now_s = self._advance_clock(at_s)
        if not 0.0 <= missing <= 1.0:
            raise PlanError(f"the missing share of evidence must be between 0 and 1, not {missing!r}")
        if self._final_decision is not None:
            return self._final_decision
        settled_evidence, suspected_evidence = self._ratio_mismatch()
        if settled_evidence >= -math.log(self.plan.alpha_ratio):
            counts_by_arm = ", ".join(
                f"{arm} {count}" for arm, count in zip(self.plan.arms, self.tried, strict=True)
            )
            return self._finish(
                State.INVALID, f"the arms did not get their shares: {counts_by_arm}", now_s, missing
            )
        breach = self._guardrail_breach()
        if breach is not None:
            arm, reason = breach
            return self._finish(State.HARMFUL, reason, now_s, missing, arm=self.plan.arms[arm])
        wait_reason = self._wait_reason(now_s, missing, suspected_evidence)
        if not wait_reason:
            state, winner, reason = self._compare()
            if state is not State.RUNNING:
                return self._finish(state, reason, now_s, missing, winner=winner)
            wait_reason = reason
        if now_s - self._started_s() >= self.plan.maximum_s:
            return self._finish(
                State.EXPIRED, f"no end in {self.plan.maximum_s:g} s: {wait_reason}", now_s, missing
            )
        return self._decision(State.RUNNING, wait_reason, now_s, missing)

    def _advance_clock(self, at_s: float) -> float:
        self._now_s = max(self._now_s, _finite_time(at_s))
        return self._now_s

    def _started_s(self) -> float:
        return self._first_s if math.isnan(self._start_s) else self._start_s

    def _ratio_mismatch(self) -> tuple[float, float]:
        """Return two log Bayes factors against the planned shares.

        The first leaves out units that late rows may still change, and is 0 until there are enough
        units; the second leaves out only the newest unit, which is incomplete.
        """
        if math.isnan(self._newest_s):
            return 0.0, 0.0
        resolution = self._resolutions[-1]
        if len(resolution.sample_ratio.units) < ENOUGH_UNITS:
            resolution = self._resolutions[0]
        newest, slack = resolution.unit_at(self._newest_s), self.plan.ratio_slack
        # A suspected mismatch only delays a decision, so no design effect is assumed in advance.
        suspected = resolution.sample_ratio.log_bayes_factor(newest, 1, slack, design_effect_prior=1.0)
        if len(resolution.sample_ratio.units) <= MIN_RATIO_UNITS:
            return 0.0, suspected
        unsettled_units = math.ceil(SETTLE_S / resolution.unit_length_s) if self._missing_numbers else 0
        return resolution.sample_ratio.log_bayes_factor(newest, 1 + unsettled_units, slack), suspected

    def _guardrail_breach(self) -> tuple[int, str] | None:
        """Return the first arm that breaches a guardrail relative to control, and the reason."""
        alpha = self.plan.alpha_harm / len(self._guardrails)
        margins = {GOOD: self.plan.harm_good, FAILED: self.plan.harm_failed, SLOW: self.plan.harm_slow}
        descriptions = {GOOD: "less good", FAILED: "more failed", SLOW: "more over the latency bound"}
        for arm, control, measure in self._guardrails:
            if min(self.tried[arm], self.tried[control]) < MIN_GUARDRAIL_REQUESTS:
                continue
            sums, sign = self._sums(arm, control, measure)
            if sums.units < MIN_GUARDRAIL_UNITS:
                continue
            low, high = confidence_interval(sums, alpha, margins[measure])
            harm = -max(sign * low, sign * high) if measure == GOOD else min(sign * low, sign * high)
            if harm > margins[measure]:
                name = self.plan.arms[arm]
                return arm, f"{name} has at least {harm:.4f} {descriptions[measure]} than {self.plan.control}"
        return None

    def _wait_reason(self, now_s: float, missing: float, suspected_evidence: float) -> str:
        """Return why the arms may not be compared yet; empty if they may be."""
        plan = self.plan
        if math.isnan(self._first_s):
            return "no evidence yet"
        if now_s - self._started_s() < plan.minimum_s:
            return f"not yet {plan.minimum_s:g} s"
        if min(self.tried) < plan.minimum_tried:
            return f"an arm has fewer than {plan.minimum_tried} requests"
        if missing > plan.missing_share:
            return f"{missing:.3f} of the fleet's evidence is missing, more than {plan.missing_share:g}"
        if suspected_evidence >= SUSPECTED_MISMATCH:
            return "a sample ratio mismatch is suspected; more evidence is needed"
        if any(self._sums(*pair, GOOD)[0].units < plan.minimum_units for pair in self._pairs):
            return f"fewer than {plan.minimum_units} batches in which both arms were seen"
        return ""

    def _compare(self) -> tuple[State, str | None, str]:
        plan, control, smallest = self.plan, self._control, self.plan.smallest_difference
        names = plan.arms
        if all(
            -smallest < self._lower_bound(arm, control) and self._upper_bound(arm, control) < smallest
            for arm in self._treatments
        ):
            return State.NO_DIFFERENCE, None, f"every arm lies within {smallest:g} of {plan.control}"
        if all(self._upper_bound(arm, control) < 0 for arm in self._treatments):
            return State.WINNER, plan.control, f"every other arm is worse than {plan.control}"
        # The best of the arms that beat control to which no other arm may be superior by the
        # smallest difference that matters.
        candidates = [arm for arm in self._treatments if self._lower_bound(arm, control) > 0]
        candidates = [
            candidate
            for candidate in candidates
            if all(
                self._lower_bound(candidate, other) > -smallest
                for other in range(len(names))
                if other != candidate
            )
        ]
        if candidates:
            arm = max(candidates, key=lambda beating: (self._lower_bound(beating, control), -beating))
            return (
                State.WINNER,
                names[arm],
                f"{names[arm]} is better than {plan.control}",
            )
        return State.RUNNING, None, "the confidence intervals are not yet conclusive"

    def _sums(self, arm: int, other: int, measure: int) -> tuple[ContrastSums, int]:
        """Return the contrast's sums at the resolution in use, and their sign.

        The sign is -1 if the sums are of `other` minus `arm`. In use is the coarsest resolution
        with enough units and enough paired weight, else the finest with enough paired weight.
        """
        key, sign = (arm, other, measure), 1
        if key not in self._resolutions[-1].contrasts:
            key, sign = (other, arm, measure), -1
        sums_by_resolution = [resolution.contrasts[key].sums() for resolution in self._resolutions]
        if sums_by_resolution[-1].units >= ENOUGH_UNITS:
            return sums_by_resolution[-1], sign
        paired = [
            contrast_sums
            for contrast_sums in sums_by_resolution
            if contrast_sums.weight >= MIN_PAIRED_SHARE * sums_by_resolution[-1].weight
        ]
        sufficient = [contrast_sums for contrast_sums in paired if contrast_sums.units >= ENOUGH_UNITS]
        return (sufficient[-1] if sufficient else paired[0]), sign

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

    def _finish(
        self, state: State, reason: str, now_s: float, missing: float, **details: str | None
    ) -> Decision:
        self._final_decision = self._decision(state, reason, now_s, missing, **details)
        return self._final_decision

    def _decision(
        self,
        state: State,
        reason: str,
        now_s: float,
        missing: float,
        winner: str | None = None,
        arm: str | None = None,
    ) -> Decision:
        names = self.plan.arms
        intervals = {
            names[arm_index]: self._interval(arm_index, self._control) for arm_index in self._treatments
        }
        leading_arm = winner if winner in intervals else max(intervals, key=lambda name: sum(intervals[name]))
        tried = dict(zip(names, self.tried, strict=True))
        return Decision(
            state, winner, intervals[leading_arm or ""], reason, now_s, arm, intervals, tried, missing
        )


def _whole_number(name: str, value: SupportsIndex) -> int:
    try:
        number = operator.index(value)
    except TypeError:
        raise LogEntryError(
            f"{name} is not a whole number: {value!r}", "send counts as whole numbers"
        ) from None
    if number < 0:
        raise LogEntryError(f"{name} is negative: {number}", "send counts since the previous row, not totals")
    return number


def _finite_time(at_s: float) -> float:
    try:
        time_s = float(at_s)
    except (TypeError, ValueError):
        time_s = math.nan
    if not math.isfinite(time_s):
        raise LogEntryError(f"at_s is not a finite time: {at_s!r}", "send a time in seconds")
    return time_s
