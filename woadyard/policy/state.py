"""The state that the parts of one copy share: settings, chance, actions, rates, and endpoints."""

import random
from math import exp

from woadyard.interface import FULL, NEVER_RAN, Action, Entry, Settings, Split, Timer, Verdict
from woadyard.policy.lease import MembershipLease
from woadyard.policy.zones import Zones

HOLD_SHARE = 0.02  # of the class's aim: pause before asking again for an endpoint when none may be drawn
TIMER_HOLD, TIMER_WATCH, TIMER_KINDS = range(3)
MAX_HELD = 1e6  # attempts out at an endpoint where no limit is shared
LEARN_SAMPLES = 16  # memory of a service at most: a few tell speeds of 3:1 apart
LATENCY_GAIN, LATENCY_CLIP = 0.05, 2.0  # of the copy's latency mean and deviation, as in TCP's timer


class Endpoint:
    def __init__(self, entry: Entry, kinds: int) -> None:
        self.id, self.entry = entry.endpoint, entry
        self.place(entry)
        self.boot, self.rating = entry.boot, entry.rating
        self.ready = self.own = False  # own: it stands on this copy's arc
        self.inflight = self.quiet_since = self.arm = 0
        self.moving = 0  # of those in flight, bodies and answers on their way: no answer is owed yet
        self.crowded = 0  # it was full: nothing is sent before this
        self.budget, self.budget_at = 0.0, 0
        self.answered_at = 0  # when its latest answer was asked for; 0: none yet
        self.cap = MAX_HELD  # attempts out from here at most
        self.trust = 1.0  # what others' verdicts leave of its weight
        self.accused: str | None = None  # the verdict that the others were told
        self.renew(kinds)

    def place(self, entry: Entry) -> None:
        # Whole cells side by side: a repeat bound to one finds warm connections. Mixed, as ids tell nothing.
        self.key = mix(entry.cell), mix(entry.endpoint), entry.endpoint
        self.cell, self.zone = entry.cell, entry.zone

    def renew(self, kinds: int) -> None:
        """What is learned of one process, with so many kinds of requests."""
        self.slowness, self.slowness_at, self.samples = 1.0, 0, 0  # observed latency over the peers' mean
        # By class and tenant: health, when that was, failures in a row (halved by an answer).
        self.health = [(1.0, 0, 0.0)] * kinds

    def retune(self, kinds: int, same: bool) -> None:
        """Classes were added, or (not the same) tenants came and went."""
        known = self.health if same else []
        self.health = known + [(1.0, 0, 0.0)] * (kinds - len(known))


def mix(value: int) -> int:
    """A fixed 64-bit mixing (splitmix64), the same in every copy."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


class Latency:
    """Mean and mean deviation of served attempts, µs."""

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        error = value - self.mean
        if self.samples > LEARN_SAMPLES:  # a few choked endpoints must not set what is usual
            error = min(error, LATENCY_CLIP * self.deviation)
        self.mean += gain * error
        if self.samples > 1:
            self.deviation += gain * (abs(error) - self.deviation)


class Rate:
    """Events per µs with exponential forgetting, unbiased from the start."""

    def __init__(self, memory_us: float) -> None:
        self.memory, self.sum = memory_us, 0.0
        self.at = self.began = 0

    def add(self, now: int) -> None:
        self.sum = self.sum * exp((self.at - now) / self.memory) + 1.0
        self.at = now

    def get(self, now: int) -> float:
        seen = max(0.02, 1.0 - exp((self.began - now) / self.memory))  # less tells no rate from chance
        return self.sum * exp((self.at - now) / self.memory) / (self.memory * seen)


class Context:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.rng = random.Random(seed)
        self.out: list[Action] = []
        self.latencies: list[Latency] = []  # by class
        self.latency = Latency()
        self.lease = MembershipLease()
        self.zones: Zones | None = None
        self.split: Split | None = None  # the experiment in force
        self.derive(settings)
        self.sends, self.served = Rate(self.longest_aim), Rate(self.longest_aim)

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

    def timer(self, kind: int, value: int, delay_us: int) -> None:
        self.out.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def pause(self, aim_us: int) -> int:
        return max(self.s.resolution_us, int(HOLD_SHARE * aim_us))

    def accuse(self, endpoint: Endpoint, state: str | None) -> None:
        """Tell the others, again as long as it holds: what is not told again lapses."""
        if self.s.shares_verdicts:
            endpoint.accused = state
            self.out.append(Verdict(endpoint.id, state))
