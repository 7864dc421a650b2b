"""Decides the next step of a plan's rollout, from the audit's ledger and the sidecars' traces.

Each stage waits until the audit shows that all its sidecars have applied the plan, then until
enough requests were measured, and then compares the measurement with the forecast. The rollout
advances only if every monitored figure is within its interval, and is halted otherwise. The
functions are pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from woadyard.whatif.plans import Plan, cutoff_hash, sidecar_hash
from woadyard.whatif.settings import Rules

# A stage is halted if one of these is outside its forecast interval.
MONITORED_FIGURES = ("aim", "p99", "refused", "failed")


@dataclass(frozen=True)
class Measurement:
    """What the sidecars of a stage measured, each since it applied the plan.

    `span_us` is the shortest time that one of them has used the plan. `figures` maps a name to
    (value, low, high): a stage of few sidecars has wide intervals.
    """

    span_us: int = 0
    requests: int = 0
    figures: Mapping[str, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class RolloutStep:
    """The next step: `entry` is the log entry to write, or None to wait; `reason` is for the operator."""

    entry: dict[str, Any] | None
    reason: str


def lagging_sidecars(plan: Plan, applied: Mapping[str, int]) -> list[str]:
    """Return the sidecars of the stage with an older revision than the plan's.

    `applied` is the revision that each live sidecar has applied.
    """
    chosen = (name for name in applied if sidecar_hash(plan.revision, name) <= plan.cut)
    return sorted(name for name in chosen if applied[name] < plan.revision)


def updated_sidecars(plan: Plan, applied: Mapping[str, int]) -> list[str]:
    """Return the sidecars of the stage that have applied the plan."""
    return sorted(
        name
        for name in applied
        if sidecar_hash(plan.revision, name) <= plan.cut and applied[name] == plan.revision
    )


def next_step(
    now: int, plan: Plan, applied: Mapping[str, int], measurement: Measurement, rules: Rules
) -> RolloutStep:
    """Return the next step of a plan that is rolling; `now` is the service's wall time in µs."""
    lagging, updated = lagging_sidecars(plan, applied), updated_sidecars(plan, applied)
    if not updated:
        return RolloutStep(None, "no sidecar has applied the plan yet")
    if lagging:
        is_wait_over = now - plan.since >= rules.stage_wait_s * 1e6
        if not is_wait_over or len(lagging) > rules.missing_most * (len(lagging) + len(updated)):
            return RolloutStep(None, f"waiting for {', '.join(lagging)}")
    if deviations := find_deviations(plan, measurement, rules):
        return _halt_step(plan, measurement, "; ".join(deviations))
    if measurement.span_us < rules.window_s * 1e6 or measurement.requests < rules.measured_least:
        return RolloutStep(
            None, f"measured {measurement.requests} requests over {measurement.span_us / 1e6:.1f} s"
        )
    if plan.stage + 1 < len(plan.stages):
        cutoff = max(plan.cut, cutoff_hash(plan.revision, list(applied), plan.stages[plan.stage + 1]))
        entry = {"op": "stage", "revision": plan.revision, "stage": plan.stage + 1, "cut": cutoff}
        return RolloutStep(entry, "all figures are within the forecast")
    return RolloutStep(
        {"op": "done", "revision": plan.revision, "errors": forecast_errors(plan, measurement)}, "done"
    )


def _halt_step(plan: Plan, measurement: Measurement, reason: str) -> RolloutStep:
    outcome = {"errors": forecast_errors(plan, measurement), "wrong": True}
    return RolloutStep({"op": "halt", "revision": plan.revision, "reason": reason, **outcome}, reason)


def find_deviations(plan: Plan, measurement: Measurement, rules: Rules) -> list[str]:
    """Describe the monitored figures that are outside their intervals; none until enough was measured.

    While only some of the sidecars have the plan, the fleet is in a state between the recording and
    the forecast; the interval is then extended to the same margins around the recorded value.
    """
    if plan.verdict is None or measurement.requests < rules.measured_least:
        return []
    if measurement.span_us < rules.window_s * 1e6:
        return []
    deviations = []
    for name in MONITORED_FIGURES:
        if name in measurement.figures and name in plan.verdict.figures:
            value, low, high, recorded = plan.verdict.figures[name]
            if plan.stages[plan.stage] < 1.0:
                low, high = min(low, recorded - (value - low)), max(high, recorded + (high - value))
            measured, measured_low, measured_high = measurement.figures[name]
            if measured_high < low or measured_low > high:
                deviations.append(f"{name} {measured:.4g} outside of {low:.4g} to {high:.4g}")
    return deviations


def forecast_errors(plan: Plan, measurement: Measurement) -> dict[str, float]:
    """Return measured minus forecast value for each figure that both have."""
    if plan.verdict is None:
        return {}
    figures = plan.verdict.figures
    return {
        name: measured[0] - figures[name][0]
        for name, measured in measurement.figures.items()
        if name in figures
    }
