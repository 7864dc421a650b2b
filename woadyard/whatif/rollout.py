"""How a plan goes out: a pure state machine over what the audit and the traces say.

Each stage waits until every one of its sidecars acts on the plan (the audit's word), then until
enough is measured, then compares that with the forecast. It goes on only where all is inside.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from woadyard.whatif.plans import Plan, cutoff_hash, sidecar_hash
from woadyard.whatif.settings import Rules

# What a stage is judged by.
MONITORED_FIGURES = ("aim", "p99", "refused", "failed")


@dataclass(frozen=True)
class Measurement:
    """Of a stage's sidecars, since each acts on the plan: how long the shortest has, and figures,
    each with its own interval: a stage of few sidecars is measured coarsely."""

    span_us: int = 0
    requests: int = 0
    figures: Mapping[str, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class RolloutStep:
    """What to do: a record to write, or (None) wait; `why` for the operator."""

    entry: dict[str, Any] | None
    reason: str


def lagging_sidecars(plan: Plan, acting: Mapping[str, int]) -> list[str]:
    """Sidecars of the stage that act on something older; `acting` is each live one's revision."""
    chosen = (one for one in acting if sidecar_hash(plan.revision, one) <= plan.cut)
    return sorted(one for one in chosen if acting[one] < plan.revision)


def updated_sidecars(plan: Plan, acting: Mapping[str, int]) -> list[str]:
    """Sidecars of the stage that act on the plan."""
    return sorted(
        one for one in acting if sidecar_hash(plan.revision, one) <= plan.cut and acting[one] == plan.revision
    )


def next_step(
    now: int, plan: Plan, acting: Mapping[str, int], measured: Measurement, rules: Rules
) -> RolloutStep:
    """The next step of a plan that is rolling. `now` is the service's wall time, µs."""
    late, here = lagging_sidecars(plan, acting), updated_sidecars(plan, acting)
    if not here:
        return RolloutStep(None, "no sidecar acts on the plan yet")
    if late:
        waited = now - plan.since >= rules.stage_wait_s * 1e6
        if not waited or len(late) > rules.missing_most * (len(late) + len(here)):
            return RolloutStep(None, f"waits for {', '.join(late)}")
    if outside := find_deviations(plan, measured, rules):
        return _halt_step(plan, measured, "; ".join(outside))
    if measured.span_us < rules.window_s * 1e6 or measured.requests < rules.measured_least:
        return RolloutStep(None, f"measured {measured.requests} requests over {measured.span_us / 1e6:.1f} s")
    if plan.stage + 1 < len(plan.stages):
        cut = max(plan.cut, cutoff_hash(plan.revision, list(acting), plan.stages[plan.stage + 1]))
        record = {"op": "stage", "revision": plan.revision, "stage": plan.stage + 1, "cut": cut}
        return RolloutStep(record, "all inside the forecast")
    return RolloutStep(
        {"op": "done", "revision": plan.revision, "errors": forecast_errors(plan, measured)}, "done"
    )


def _halt_step(plan: Plan, measured: Measurement, why: str) -> RolloutStep:
    found = {"errors": forecast_errors(plan, measured), "wrong": True}
    return RolloutStep({"op": "halt", "revision": plan.revision, "reason": why, **found}, why)


def find_deviations(plan: Plan, measured: Measurement, rules: Rules) -> list[str]:
    """Figures outside of their intervals, once there is enough to judge by. While only a part of the
    sidecars has the plan the fleet is between what was recorded and the forecast, and so may be they."""
    if plan.verdict is None or measured.requests < rules.measured_least:
        return []
    if measured.span_us < rules.window_s * 1e6:
        return []
    found = []
    for name in MONITORED_FIGURES:
        if name in measured.figures and name in plan.verdict.figures:
            value, low, high, recorded = plan.verdict.figures[name]
            if plan.stages[plan.stage] < 1.0:
                low, high = min(low, recorded - (value - low)), max(high, recorded + (high - value))
            seen, least, most = measured.figures[name]
            if most < low or least > high:
                found.append(f"{name} {seen:.4g} outside of {low:.4g} to {high:.4g}")
    return found


def forecast_errors(plan: Plan, measured: Measurement) -> dict[str, float]:
    """Measured less forecast."""
    if plan.verdict is None:
        return {}
    figures = plan.verdict.figures
    return {name: seen[0] - figures[name][0] for name, seen in measured.figures.items() if name in figures}
