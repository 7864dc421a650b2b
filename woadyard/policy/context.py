"""What the parts of one copy share: settings and what follows from them, chance, rates, actions."""

import random

from woadyard.interface import FULL, NEVER_RAN, Action, Settings, Timer, Verdict
from woadyard.policy.endpoint import Endpoint, Latency, Rate
from woadyard.policy.zones import Zones

# Pause before asking again for an endpoint when none may be drawn, as a share of the class's aim.
HOLD_SHARE = 0.02
TIMER_HOLD, TIMER_WATCH, TIMER_KINDS = range(3)


class Context:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.rng = random.Random(seed)
        self.out: list[Action] = []
        self.latencies: list[Latency] = []  # by class
        self.latency = Latency()
        self.zones: Zones | None = None
        self.derive(settings)
        self.begin(0)

    def derive(self, settings: Settings) -> None:
        """All that follows from the settings alone."""
        self.s = settings
        self.proofs = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        # Also the memory of the copy's own rates: long enough to average, short enough to follow a ramp.
        self.longest_aim = max(c.aim_us for n, c in enumerate(settings.classes) if n not in settings.retired)
        self.latencies += [Latency() for _ in settings.classes[len(self.latencies) :]]
        old, known = self.zones, settings.locality
        if known is None or old is None or old.s != known or len(old.zones) != settings.zones:
            self.zones = Zones(known, settings.zone, settings.zones) if known else None
        self.tenants = max(1, len(settings.tenants))
        self.kinds = len(settings.classes) * self.tenants

    def begin(self, now: int) -> None:
        self.sends, self.served = Rate(self.longest_aim, now), Rate(self.longest_aim, now)

    def timer(self, kind: int, value: int, delay_us: int) -> None:
        self.out.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def pause(self, aim_us: int) -> int:
        return max(self.s.resolution_us, int(HOLD_SHARE * aim_us))

    def accuse(self, endpoint: Endpoint, state: str | None) -> None:
        """Tell the others, again as long as it holds: what is not told again lapses."""
        if self.s.shares_verdicts:
            endpoint.accused = state
            self.out.append(Verdict(endpoint.id, state))
