"""Simulated behaviour of a stand-in endpoint: no I/O, random draws from a seed, the clock passed in."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace
from typing import Any

from woadyard.errors import ConfigError

SERVED, ERROR, REJECTED, HANGS, RESETS = "served", "error", "turned away", "hangs", "resets"


@dataclass(frozen=True, slots=True)
class Manner:
    """Parameters of an endpoint's behaviour: service times, capacity and failure rates.

    Times are in milliseconds; shares are fractions of the requests, from 0 to 1.
    Raises ConfigError where a value is out of range.
    """

    service_ms: float = 5.0  # mean of the log-normal service time
    spread: float = 0.3  # standard deviation of the logarithm of the service time
    at_once: int = 16  # requests served concurrently
    queue: int = 32  # requests queued beyond those; more are rejected
    crowding: float = 0.5  # service time grows linearly with load, to 1 + this when full
    cold_ms: float = 0.0  # length of the cold phase after a start
    cold_factor: float = 3.0  # slowdown right after the start; decays to 1 over `cold_ms`
    fails: float = 0.0  # share of requests answered with an error
    turns_away: float = 0.0  # share rejected without being processed
    hangs: float = 0.0  # share never answered
    resets: float = 0.0  # share whose connection is reset
    classes: dict[str, float] = field(default_factory=dict)  # service time factor by request class

    def __post_init__(self) -> None:
        shares = (self.fails, self.turns_away, self.hangs, self.resets)
        times = (self.service_ms, self.spread, self.crowding, self.cold_ms)
        in_range = min(shares) >= 0 and sum(shares) <= 1 and min(times) >= 0 and self.cold_factor >= 1
        if not (in_range and self.at_once >= 1 and self.queue >= 0):
            remedy = "shares add up to 1 at most; all values are 0 or more; at_once, cold_factor 1 or more"
            raise ConfigError(f"invalid endpoint behaviour: {self}", remedy)


KINDS = {
    "small": Manner(),
    "large": Manner(service_ms=3.0, at_once=32, queue=64),
    "slow": Manner(service_ms=15.0, spread=0.5, at_once=8, queue=16),
    "bad": Manner(fails=0.3, turns_away=0.1, hangs=0.01, resets=0.05),
}


def manner(kind: str, **changes: Any) -> Manner:
    """Return the parameters of `kind` with some of them changed.

    Raises ConfigError for an unknown kind or parameter, or a value out of range.
    """
    if kind not in KINDS:
        raise ConfigError(f"unknown kind of endpoint: {kind!r}", f"known kinds: {', '.join(KINDS)}")
    try:
        return replace(KINDS[kind], **changes)
    except TypeError:
        known = ", ".join(Manner.__dataclass_fields__)
        raise ConfigError(
            f"unknown parameter of an endpoint behaviour among {sorted(changes)}",
            f"known parameters: {known}",
        ) from None


class Behaviour:
    """Draws the outcome and the service time of each request; the same seed gives the same sequence."""

    def __init__(self, manner: Manner, seed: int, started_s: float) -> None:
        self.manner, self.started_s, self.rng = manner, started_s, random.Random(seed)

    def draw_outcome(self) -> str:
        remaining = self.rng.random()
        outcome_fields = ((ERROR, "fails"), (REJECTED, "turns_away"), (HANGS, "hangs"), (RESETS, "resets"))
        for outcome, field_name in outcome_fields:
            remaining -= getattr(self.manner, field_name)
            if remaining < 0:
                return outcome
        return SERVED

    def draw_service_time_s(self, now_s: float, cls: str, in_flight: int) -> float:
        """Return the service time of a request that starts now, with `in_flight` others being served."""
        current_manner = self.manner
        jitter_factor = (
            self.rng.lognormvariate(-(current_manner.spread**2) / 2, current_manner.spread)
            if current_manner.spread
            else 1.0
        )
        load_factor = 1 + current_manner.crowding * in_flight / current_manner.at_once
        warmth = (
            min(1.0, (now_s - self.started_s) * 1000 / current_manner.cold_ms)
            if current_manner.cold_ms
            else 1.0
        )
        cold_slowdown = math.exp((1 - warmth) * math.log(current_manner.cold_factor))
        return (
            current_manner.service_ms
            / 1000
            * current_manner.classes.get(cls, 1.0)
            * jitter_factor
            * load_factor
            * cold_slowdown
        )
