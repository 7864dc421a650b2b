"""How a stand-in endpoint behaves: pure, with drawn times and a clock that is passed in."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace
from typing import Any

from woadyard.errors import ConfigError

SERVED, ERROR, REJECTED, HANGS, RESETS = "served", "error", "turned away", "hangs", "resets"


@dataclass(frozen=True, slots=True)
class EndpointProfile:
    """What an endpoint of one kind does. Times in ms; shares from 0 to 1."""

    service_ms: float = 5.0  # mean, of a log-normal draw
    spread: float = 0.3  # sigma of its logarithm
    at_once: int = 16  # requests served at the same time
    queue: int = 32  # and waiting; more are turned away
    crowding: float = 0.5  # a full endpoint takes 1 + this times as long
    cold_ms: float = 0.0  # after a start
    cold_factor: float = 3.0  # as long as this, at first; falls to 1 over `cold_ms`
    fails: float = 0.0  # shares of the requests
    turns_away: float = 0.0
    hangs: float = 0.0
    resets: float = 0.0
    classes: dict[str, float] = field(default_factory=dict)  # factor on the service time by class

    def __post_init__(self) -> None:
        shares = (self.fails, self.turns_away, self.hangs, self.resets)
        times = (self.service_ms, self.spread, self.crowding, self.cold_ms)
        fine = min(shares) >= 0 and sum(shares) <= 1 and min(times) >= 0 and self.cold_factor >= 1
        if not (fine and self.at_once >= 1 and self.queue >= 0):
            remedy = "shares add up to 1 at most, times are 0 or more"
            raise ConfigError(f"no endpoint behaves so: {self}", remedy)


KINDS = {
    "small": EndpointProfile(),
    "large": EndpointProfile(service_ms=3.0, at_once=32, queue=64),
    "slow": EndpointProfile(service_ms=15.0, spread=0.5, at_once=8, queue=16),
    "bad": EndpointProfile(fails=0.3, turns_away=0.1, hangs=0.01, resets=0.05),
}


def endpoint_profile(kind: str, **changes: Any) -> EndpointProfile:
    """That of a kind, with some of it changed."""
    if kind not in KINDS:
        raise ConfigError(f"no kind of endpoint is called {kind!r}", f"kinds are {', '.join(KINDS)}")
    try:
        return replace(KINDS[kind], **changes)
    except TypeError:
        known = ", ".join(EndpointProfile.__dataclass_fields__)
        raise ConfigError(f"an endpoint has none of {sorted(changes)}", f"it has {known}") from None


class Behaviour:
    """Draws what becomes of each request. One seed, one sequence."""

    def __init__(self, manner: EndpointProfile, seed: int, started_s: float) -> None:
        self.profile, self.started_s, self.rng = manner, started_s, random.Random(seed)

    def draw_outcome(self) -> str:
        left = self.rng.random()
        kinds = ((ERROR, "fails"), (REJECTED, "turns_away"), (HANGS, "hangs"), (RESETS, "resets"))
        for fate, key in kinds:
            left -= getattr(self.profile, key)
            if left < 0:
                return fate
        return SERVED

    def draw_service_time_s(self, now_s: float, cls: str, busy: int) -> float:
        """How long a request takes that starts now, beside `busy` others."""
        m = self.profile
        drawn = self.rng.lognormvariate(-(m.spread**2) / 2, m.spread) if m.spread else 1.0
        crowd = 1 + m.crowding * busy / m.at_once
        warmth = min(1.0, (now_s - self.started_s) * 1000 / m.cold_ms) if m.cold_ms else 1.0
        cold = math.exp((1 - warmth) * math.log(m.cold_factor))
        return m.service_ms / 1000 * m.classes.get(cls, 1.0) * drawn * crowd * cold
