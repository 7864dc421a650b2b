"""The plan of an experiment: its hypotheses and stopping rules, fixed before the first request."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from woadyard.errors import PlanError

MAX_ARMS = 8
DAY_S = 86_400.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plan; raises `PlanError` if it is invalid. Shares of requests are within 0 to 1.

    Each error probability holds over all looks together; `total_alpha` is their sum. `alpha` is
    that of a false winner or a false "no difference", split evenly over the pairs of arms
    (Bonferroni, so valid at any look); `alpha_harm` that of a false harmful arm, split over arms
    and guardrail metrics; `alpha_ratio` that of a false sample ratio mismatch.
    """

    arms: tuple[str, ...] = ("a", "b")
    shares: tuple[float, ...] = ()  # by arm, summing to 1; empty: equal shares
    alpha: float = 0.05
    smallest_difference: float = 0.02  # in the share of good requests: the smallest effect size that matters
    control: str = ""  # the arm that others are compared with; empty: the first
    minimum_s: float = 5.0  # no winner before this
    minimum_tried: int = 200  # requests in each arm before a winner
    minimum_units: int = 6  # units of time with requests in both arms, before a winner
    maximum_s: float = 14 * DAY_S  # then the experiment is `expired`
    missing_share: float = 0.1  # no winner while a larger share of the fleet's evidence is missing
    alpha_harm: float = 0.01
    harm_good: float = 1.0  # an arm whose share of good requests is so much lower is harmful; 1: no guardrail
    harm_failed: float = 0.02  # the same for a higher share of failed requests
    harm_slow: float = 0.05  # the same for a higher share over the latency bound
    alpha_ratio: float = 0.001
    ratio_slack: float = 0.0  # allowed deviation of a realised share (for a few keys with many requests)

    def __post_init__(self) -> None:
        arms = self._checked_arms()
        set_field = msgspec.structs.force_setattr
        set_field(self, "arms", arms)
        set_field(self, "shares", self._checked_shares(arms))
        if not self.control:
            set_field(self, "control", arms[0])
        elif self.control not in arms:
            raise PlanError(f"the control {self.control!r} is not one of the arms: {', '.join(arms)}")
        for name in ("alpha", "alpha_harm", "alpha_ratio"):
            self._check_range(name, 0.0, 0.5)
        for name in ("smallest_difference", "harm_failed", "harm_slow"):
            self._check_range(name, 0.0, 1.0)
        for name in ("harm_good", "missing_share", "ratio_slack"):
            self._check_range(name, 0.0, 1.0, is_closed=True)
        for name in ("minimum_s", "minimum_tried", "minimum_units", "maximum_s"):
            self._check_range(name, 0.0, math.inf, is_closed=True)
        if self.maximum_s <= self.minimum_s:
            raise PlanError("maximum_s must be greater than minimum_s")

    @property
    def total_alpha(self) -> float:
        """The upper bound of the probability of any of the plan's errors."""
        return self.alpha + self.alpha_harm + self.alpha_ratio

    def normalized_shares(self, shares: Any) -> tuple[float, ...]:
        """Return shares in the order of the arms, summing to 1; raises `PlanError` if invalid."""
        return _normalized_shares(self.arms, shares)

    def _checked_arms(self) -> tuple[str, ...]:
        arms: Any = self.arms
        if isinstance(arms, str) or not isinstance(arms, Sequence):
            raise PlanError("arms must be a list of names")
        if not 2 <= len(arms) <= MAX_ARMS:
            raise PlanError(f"a plan must have 2 to {MAX_ARMS} arms, not {len(arms)}")
        if not all(isinstance(name, str) and name for name in arms) or len(set(arms)) != len(arms):
            raise PlanError("arms must have distinct, non-empty names")
        return tuple(arms)

    def _checked_shares(self, arms: tuple[str, ...]) -> tuple[float, ...]:
        shares: Any = self.shares
        if shares is None or (not isinstance(shares, Mapping) and len(shares) == 0):
            return (1.0 / len(arms),) * len(arms)
        return _normalized_shares(arms, shares)

    def _check_range(self, name: str, low: float, high: float, is_closed: bool = False) -> None:
        raw: Any = getattr(self, name)
        try:
            value = float(raw)
        except (TypeError, ValueError):
            raise PlanError(f"{name} is not a number: {raw!r}") from None
        is_inside = low <= value <= high if is_closed else low < value < high
        if not is_inside or (math.isinf(value) and name != "maximum_s"):
            raise PlanError(f"{name} is {raw!r}, but must be between {low:g} and {high:g}")
        msgspec.structs.force_setattr(self, name, int(value) if isinstance(raw, int) else value)


def _normalized_shares(arms: tuple[str, ...], shares: Any) -> tuple[float, ...]:
    try:
        if isinstance(shares, Mapping):
            if set(shares) != set(arms):
                raise PlanError("shares must have the plan's arms as their keys")
            shares = [shares[name] for name in arms]
        values = tuple(float(share) for share in shares)
    except (TypeError, ValueError):
        raise PlanError(f"shares are not numbers: {shares!r}") from None
    if len(values) != len(arms):
        raise PlanError(f"{len(values)} shares for {len(arms)} arms")
    if not all(0.0 < share < 1.0 for share in values) or abs(math.fsum(values) - 1.0) > 1e-6:
        raise PlanError(f"shares must be greater than 0 and sum to 1: {values}")
    return tuple(share / math.fsum(values) for share in values)
