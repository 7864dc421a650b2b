"""A plan's weights, resolved to a factor for each listed endpoint; the same here and in a replay."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from woadyard.errors import PlanError

Weights = Mapping[str, float]
MAX_WEIGHTS = 4096


def validate_weights(weights: Any) -> dict[str, float]:
    """`PlanError` unless it maps names to numbers above 0."""
    if not isinstance(weights, Mapping) or not 0 < len(weights) <= MAX_WEIGHTS:
        raise PlanError(f"a plan has 1 to {MAX_WEIGHTS} weights")
    for key, value in weights.items():
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not isinstance(key, str) or not key or not number or not 0.0 < value < float("inf"):
            raise PlanError(f"the weight of {key!r} is no number above 0: {value!r}")
    return {key: float(value) for key, value in weights.items()}


def resolve_factors(weights: Weights, entries: Iterable[tuple[str, str, str]]) -> dict[str, float]:
    """Factors up to 1 by instance id, from entries of (instance id, machine type, zone). A weight is
    named by the id, by `machineType=NAME` or by `zone=NAME`, and goes in this order; 1 where none is."""
    found = {}
    for name, kind, zone in entries:
        keys = (name, f"machineType={kind}", f"zone={zone}")
        found[name] = next((weights[key] for key in keys if key in weights), 1.0)
    most = max(found.values(), default=1.0)
    return {name: value / most for name, value in found.items()}
