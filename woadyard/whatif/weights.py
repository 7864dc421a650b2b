"""Resolves a plan's weights to a factor per listed endpoint; used by sidecars and by the replay."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from woadyard.errors import PlanError

Weights = Mapping[str, float]
MAX_WEIGHTS = 4096


def validate_weights(weights: Any) -> dict[str, float]:
    """Return the weights as floats; raise PlanError unless they map names to finite numbers above 0."""
    if not isinstance(weights, Mapping) or not 0 < len(weights) <= MAX_WEIGHTS:
        raise PlanError(f"a plan has 1 to {MAX_WEIGHTS} weights")
    for key, value in weights.items():
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not isinstance(key, str) or not key or not is_number or not 0.0 < value < float("inf"):
            raise PlanError(f"the weight of {key!r} must be a finite number above 0: {value!r}")
    return {key: float(value) for key, value in weights.items()}


def resolve_factors(weights: Weights, entries: Iterable[tuple[str, str, str]]) -> dict[str, float]:
    """Return factors by instance id, scaled so that the largest is 1.

    Entries are (instance id, machine type, zone). The first weight set for the instance id, for
    `machineType=NAME` and for `zone=NAME` applies, in this order; 1 if there is none.
    """
    factors = {}
    for name, machine_type, zone in entries:
        keys = (name, f"machineType={machine_type}", f"zone={zone}")
        factors[name] = next((weights[key] for key in keys if key in weights), 1.0)
    largest = max(factors.values(), default=1.0)
    return {name: value / largest for name, value in factors.items()}
