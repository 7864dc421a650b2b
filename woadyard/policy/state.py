"""State shared by the parts of one balancer: settings, random generator, actions, rates and endpoints.

Times and durations are in microseconds, times by the balancer's clock.
"""

import random
from math import exp

from woadyard.interface import FULL, NEVER_RAN, Action, Entry, Settings, Split, Timer, Verdict
from woadyard.policy.lease import MembershipLease
from woadyard.policy.zones import ZoneRouter

# Share of the class's aim after which a request that found no usable endpoint tries to pick one again.
RETRY_DELAY_SHARE = 0.02
TIMER_RETRY, TIMER_WATCH, TIMER_KINDS = range(3)
UNLIMITED_INFLIGHT = 1e6  # cap on the attempts in flight at an endpoint that has no shared limit
# Longest memory of an endpoint's latency ratio, in samples: a few are enough to tell speeds of 3:1 apart.
LEARNING_SAMPLES = 16
# Gain of this sidecar's mean latency and deviation, and the largest error in deviations, as in TCP's
# retransmission timer.
LATENCY_GAIN, LATENCY_CLIP = 0.05, 2.0


class Endpoint:
    """An endpoint: its list entry, this sidecar's attempts in flight there, and what was learned of it."""

    def __init__(self, entry: Entry, class_tenant_count: int) -> None:
        self.id, self.entry = entry.endpoint, entry
        self.set_location(entry)
        self.boot_us, self.rating = entry.boot, entry.rating
        self.is_ready = self.in_subset = False  # in_subset: it is on this sidecar's arc of the ring
        self.inflight = self.last_activity_us = self.arm = 0
        # Of the attempts in flight, those whose request or response body is being transferred: no response is
        # due from them yet.
        self.transferring = 0
        self.full_until_us = 0  # it reported that it is full: nothing is sent before this time
        self.cold_budget, self.cold_budget_updated_us = 0.0, 0
        self.max_inflight = UNLIMITED_INFLIGHT  # of this sidecar's attempts
        self.verdict_factor = 1.0  # factor on the weight from other sidecars' verdicts
        self.reported_state: str | None = None  # the verdict reported to the other sidecars
        self.reset_learned(class_tenant_count)

    def set_location(self, entry: Entry) -> None:
        # Endpoints of one cell are adjacent, so that a retry bound to the cell finds open connections. Ids
        # are hashed because their order carries no information.
        self.ring_key = splitmix64(entry.cell), splitmix64(entry.endpoint), entry.endpoint
        self.cell, self.zone = entry.cell, entry.zone

    def reset_learned(self, class_tenant_count: int) -> None:
        """Forget what was learned of the endpoint's previous process."""
        # Observed latency over the mean of its peers, when it was updated, and the samples in it.
        self.latency_ratio, self.latency_ratio_updated_us, self.latency_samples = 1.0, 0, 0
        # By class and tenant: health, when it was updated, consecutive failures (halved by a success).
        self.health = [(1.0, 0, 0.0)] * class_tenant_count

    def resize_health(self, class_tenant_count: int, tenants_unchanged: bool) -> None:
        """Follow new settings: classes were added, or the tenants changed, which resets all health."""
        kept = self.health if tenants_unchanged else []
        self.health = kept + [(1.0, 0, 0.0)] * (class_tenant_count - len(kept))


def splitmix64(value: int) -> int:
    """Hash a 64-bit integer (splitmix64). The result is the same in every sidecar."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


class Latency:
    """Moving mean and mean deviation of the latency of successful attempts, in µs."""

    def __init__(self) -> None:
        self.mean_us = self.deviation_us = 0.0
        self.samples = 0

    def add(self, latency_us: float) -> None:
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        error_us = latency_us - self.mean_us
        if self.samples > LEARNING_SAMPLES:  # a few overloaded endpoints must not shift the mean
            error_us = min(error_us, LATENCY_CLIP * self.deviation_us)
        self.mean_us += gain * error_us
        if self.samples > 1:
            self.deviation_us += gain * (abs(error_us) - self.deviation_us)


class Rate:
    """Events per µs with exponential decay, unbiased from the start."""

    def __init__(self, initial_memory_us: float) -> None:
        self.memory_us, self.weighted_count = initial_memory_us, 0.0
        self.updated_us = self.began_us = 0

    def add(self, now: int) -> None:
        self.weighted_count = self.weighted_count * exp((self.updated_us - now) / self.memory_us) + 1.0
        self.updated_us = now

    def per_us(self, now: int) -> float:
        # A shorter observation cannot tell a rate from chance.
        observed_share = max(0.02, 1.0 - exp((self.began_us - now) / self.memory_us))
        return (
            self.weighted_count
            * exp((self.updated_us - now) / self.memory_us)
            / (self.memory_us * observed_share)
        )


class Context:
    """What all parts of one balancer share."""

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

    def apply_settings(self, new_settings: Settings) -> None:
        """Take new settings and derive everything that follows from them alone."""
        self.settings = new_settings
        self.never_ran_outcomes = NEVER_RAN - {FULL} if new_settings.full_unproven else NEVER_RAN
        # Also the memory of this sidecar's rates: long enough to average, short enough to follow a ramp.
        self.longest_aim_us = max(
            request_class.aim_us
            for number, request_class in enumerate(new_settings.classes)
            if number not in new_settings.retired
        )
        self.class_latencies += [Latency() for _ in new_settings.classes[len(self.class_latencies) :]]
        router, new_locality = self.zone_router, new_settings.locality
        if (
            new_locality is None
            or router is None
            or router.settings != new_locality
            or len(router.states) != new_settings.zones
        ):
            self.zone_router = (
                ZoneRouter(new_locality, new_settings.zone, new_settings.zones) if new_locality else None
            )
        self.tenant_count = max(1, len(new_settings.tenants))
        self.class_tenant_count = len(new_settings.classes) * self.tenant_count

    def set_timer(self, kind: int, value: int, delay_us: int) -> None:
        self.actions.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def retry_delay_us(self, aim_us: int) -> int:
        return max(self.settings.resolution_us, int(RETRY_DELAY_SHARE * aim_us))

    def report_verdict(self, endpoint: Endpoint, state: str | None) -> None:
        """Report a verdict to the other sidecars; it lapses unless it is repeated while it holds."""
        if self.settings.shares_verdicts:
            endpoint.reported_state = state
            self.actions.append(Verdict(endpoint.id, state))
