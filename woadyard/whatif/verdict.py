"""The verdict on a plan, decided by fixed rules, with the figure that decided it."""

from __future__ import annotations

import msgspec

from woadyard.whatif.forecast import Figure, Forecast
from woadyard.whatif.settings import Rules

BETTER, HARMLESS, WORSE = "better", "harmless", "worse"
BREAKS_RULE, CANNOT_TELL = "breaks a rule", "cannot tell"
APPROVING_STATES = frozenset((BETTER, HARMLESS))


class Verdict(msgspec.Struct, frozen=True):
    """What a study concludes about a plan: one of the states above and the deciding figure as text."""

    state: str
    reason: str


def find_replay_mismatch(forecast: Forecast, rules: Rules) -> str | None:
    """Describes the first figure that the replay under the weights in force fails to reproduce, or
    returns None if it reproduces the recording."""
    if forecast.requests < rules.requests_least:
        return f"the traces have {forecast.requests} requests, {rules.requests_least} are needed"
    for name, figure in forecast.figures.items():
        kind = name.partition(":")[0]
        bound = {
            "aim": rules.check_aim, "refused": rules.check_refused, "failed": rules.check_refused,
            "share": rules.check_endpoint,
        }.get(kind)  # fmt: skip
        if bound is not None and name.count(":") <= (kind == "share"):
            if abs(figure.force - figure.recorded) > bound:
                return _describe_mismatch(name, figure, bound)
        elif name == "p99" and abs(figure.force / max(1.0, figure.recorded) - 1.0) > rules.check_p99:
            return _describe_mismatch(name, figure, rules.check_p99)
    return None


def _describe_mismatch(name: str, figure: Figure, bound: float) -> str:
    return f"replayed {name} is {figure.force:.4g} but {figure.recorded:.4g} was recorded, bound {bound:g}"


def find_broken_rule(forecast: Forecast, rules: Rules) -> str | None:
    """Describes the first rule that the plan breaks and the weights in force do not, if any."""
    for name, budget_used in forecast.cold.items():
        if budget_used > max(1.0, forecast.cold_force.get(name, 0.0)):
            return f"cold endpoint {name} uses {budget_used:.2f} of its cold-start budget"
    for name, share in forecast.over.items():
        if share > rules.over_most and share > 1.5 * forecast.over_force.get(name, 0.0):
            return f"{name} is at its limit for {share:.3f} of its attempts"
    return None


def judge(forecast: Forecast, rules: Rules) -> Verdict:
    if (mismatch := find_replay_mismatch(forecast, rules)) is not None:
        return Verdict(CANNOT_TELL, mismatch)
    if (broken_rule := find_broken_rule(forecast, rules)) is not None:
        return Verdict(BREAKS_RULE, broken_rule)
    aim, p99 = forecast.figures["aim"], forecast.figures["p99"]
    for name, figure in forecast.figures.items():
        if name.startswith("aim") and figure.gain_high < -rules.harm * (2.0 if ":" in name else 1.0):
            return Verdict(WORSE, f"{name} changes by {figure.gain:+.4f}")
    if p99.gain_low > rules.harm_time:
        return Verdict(WORSE, f"p99 changes by {p99.gain:+.1%}")
    if forecast.thin > rules.thin_most:
        return Verdict(CANNOT_TELL, f"{forecast.thin:.2f} of attempts are not covered by the traces")
    if aim.gain_low > rules.gain:
        return Verdict(BETTER, f"aim changes by {aim.gain:+.4f}")
    if aim.gain_low >= -rules.harm and p99.gain_high < -rules.gain_time:
        return Verdict(BETTER, f"p99 changes by {p99.gain:+.1%}")
    if aim.gain_low >= -rules.harm and p99.gain_high <= 2.0 * rules.harm_time:
        return Verdict(HARMLESS, f"aim changes by {aim.gain:+.4f}, p99 by {p99.gain:+.1%}")
    return Verdict(CANNOT_TELL, f"aim changes by {aim.gain_low:+.4f} to {aim.gain_high:+.4f}")
