"""The state that the parts of one copy share: settings, chance, actions, rates, and endpoints."""

import random
from math import exp

from woadyard.interface import FULL, NEVER_RAN, Action, Entry, Settings, Split, Timer, Verdict
from woadyard.policy.lease import MembershipLease
from woadyard.policy.zones import ZoneRouter

RETRY_DELAY_SHARE = (
    0.02  # of the class's aim: pause before asking again for an endpoint when none may be drawn
)
TIMER_RETRY, TIMER_WATCH, TIMER_KINDS = range(3)
UNLIMITED_INFLIGHT = 1e6  # attempts out at an endpoint where no limit is shared
LEARNING_SAMPLES = 16  # memory of a service at most: a few tell speeds of 3:1 apart
LATENCY_GAIN, LATENCY_CLIP = 0.05, 2.0  # of the copy's latency mean and deviation, as in TCP's timer


class Endpoint:
    def __init__(self, entry: Entry, kinds: int) -> None:
        self.id, self.entry = entry.endpoint, entry
        self.set_location(entry)
        self.boot_us, self.rating = entry.boot, entry.rating
        self.is_ready = self.in_subset = False  # own: it stands on this copy's arc
        self.inflight = self.last_activity_us = self.arm = 0
        self.transferring = 0  # of those in flight, bodies and answers on their way: no answer is owed yet
        self.full_until_us = 0  # it was full: nothing is sent before this
        self.cold_budget, self.cold_budget_updated_us = 0.0, 0
        self.last_success_sent_us = 0  # when its latest answer was asked for; 0: none yet
        self.max_inflight = UNLIMITED_INFLIGHT  # attempts out from here at most
        self.verdict_factor = 1.0  # what others' verdicts leave of its weight
        self.reported_state: str | None = None  # the verdict that the others were told
        self.reset_learned(kinds)

    def set_location(self, entry: Entry) -> None:
        # Whole cells side by side: a repeat bound to one finds warm connections. Mixed, as ids tell nothing.
        self.ring_key = splitmix64(entry.cell), splitmix64(entry.endpoint), entry.endpoint
        self.cell, self.zone = entry.cell, entry.zone

    def reset_learned(self, kinds: int) -> None:
        """What is learned of one process, with so many kinds of requests."""
        self.latency_ratio, self.latency_ratio_updated_us, self.latency_samples = (
            1.0,
            0,
            0,
        )  # observed latency over the peers' mean
        # By class and tenant: health, when that was, failures in a row (halved by an answer).
        self.health = [(1.0, 0, 0.0)] * kinds

    def resize_health(self, kinds: int, same: bool) -> None:
        """Classes were added, or (not the same) tenants came and went."""
        known = self.health if same else []
        self.health = known + [(1.0, 0, 0.0)] * (kinds - len(known))


def splitmix64(value: int) -> int:
    """A fixed 64-bit mixing (splitmix64), the same in every copy."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


class Latency:
    """Mean and mean deviation of served attempts, µs."""

    def __init__(self) -> None:
        self.mean_us = self.deviation_us = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        error = value - self.mean_us
        if self.samples > LEARNING_SAMPLES:  # a few choked endpoints must not set what is usual
            error = min(error, LATENCY_CLIP * self.deviation_us)
        self.mean_us += gain * error
        if self.samples > 1:
            self.deviation_us += gain * (abs(error) - self.deviation_us)


class Rate:
    """Events per µs with exponential forgetting, unbiased from the start."""

    def __init__(self, memory_us: float) -> None:
        self.memory_us, self.weighted_count = memory_us, 0.0
        self.updated_us = self.began_us = 0

    def add(self, now: int) -> None:
        self.weighted_count = self.weighted_count * exp((self.updated_us - now) / self.memory_us) + 1.0
        self.updated_us = now

    def per_us(self, now: int) -> float:
        seen = max(0.02, 1.0 - exp((self.began_us - now) / self.memory_us))  # less tells no rate from chance
        return self.weighted_count * exp((self.updated_us - now) / self.memory_us) / (self.memory_us * seen)


class Context:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
        self.class_latencies: list[Latency] = []  # by class
        self.overall_latency = Latency()
        self.lease = MembershipLease()
        self.zone_router: ZoneRouter | None = None
        self.split: Split | None = None  # the experiment in force
        self.apply_settings(settings)
        self.send_rate, self.served_rate = Rate(self.longest_aim_us), Rate(self.longest_aim_us)

    def apply_settings(self, settings: Settings) -> None:
        """All that follows from the settings alone."""
        self.settings = settings
        self.never_ran_outcomes = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        # Also the memory of the copy's own rates: long enough to average, short enough to follow a ramp.
        self.longest_aim_us = max(
            c.aim_us for n, c in enumerate(settings.classes) if n not in settings.retired
        )
        self.class_latencies += [Latency() for _ in settings.classes[len(self.class_latencies) :]]
        old, known = self.zone_router, settings.locality
        if known is None or old is None or old.settings != known or len(old.states) != settings.zones:
            self.zone_router = ZoneRouter(known, settings.zone, settings.zones) if known else None
        self.tenant_count = max(1, len(settings.tenants))
        self.class_tenant_count = len(settings.classes) * self.tenant_count

    def set_timer(self, kind: int, value: int, delay_us: int) -> None:
        self.actions.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def retry_delay_us(self, aim_us: int) -> int:
        return max(self.settings.resolution_us, int(RETRY_DELAY_SHARE * aim_us))

    def report_verdict(self, endpoint: Endpoint, state: str | None) -> None:
        """Tell the others, again as long as it holds: what is not told again lapses."""
        if self.settings.shares_verdicts:
            endpoint.reported_state = state
            self.actions.append(Verdict(endpoint.id, state))
