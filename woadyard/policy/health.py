"""Slow start of endpoints after a boot, and their health by the outcomes of this sidecar's attempts."""

from math import exp

from woadyard.interface import DEGRADED, EJECTED, ERROR, FULL, NO_CONNECT, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import LEARNING_SAMPLES, Context, Endpoint

# Memory of the latency ratio, in longest aims, and its gain after a long pause: an endpoint that is seldom
# drawn is judged by its latest samples.
LATENCY_RATIO_MEMORY, MAX_LATENCY_RATIO_GAIN = 2.0, 0.5
# Factor on an endpoint's health by one failure; FULL indicates load rather than a fault.
FAILURE_FACTOR = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.15, RESET: 0.2}
OTHER_FAILURE_POWER = 0.5  # power of that factor for the other classes and tenants
# Mean latencies for which a full endpoint is skipped: the retries of all sidecars would keep it full.
FULL_PAUSE = 1.0
# A success restores the first share of the lost health. Time restores it with a memory of `RECOVERY_AIMS`
# longest aims, and of at least `RECOVERY_SENDS` sends, as sidecars that send little would otherwise retry a
# failing endpoint too often. Each consecutive failure doubles the memory, up to `MAX_RECOVERY_DOUBLINGS`
# times.
SUCCESS_RECOVERY, RECOVERY_AIMS, RECOVERY_SENDS, MAX_RECOVERY_DOUBLINGS = 0.2, 1.5, 3.0, 4
MIN_HEALTH = 0.01  # keeps half-open trials coming, by which an endpoint returns
STALL_DEVIATIONS = 4.0  # a response overdue by this many deviations over the mean marks a stalled endpoint
# Reported to the other sidecars: consecutive failures, and the multiple of its peers' latency.
EJECT_FAILURES, DEGRADED_LATENCY_RATIO = 3.0, 3.0
# Share of the cold budget that is used: the rest covers sidecars with more traffic, and heavier requests.
COLD_BUDGET_SHARE = 0.5


class SlowStart:
    """Limits what endpoints are sent while they are cold, that is for `cold_us` after their boot."""

    def __init__(self, ctx: Context, ring: Ring) -> None:
        self.ctx, self.ring = ctx, ring

    def is_cold(self, now: int, endpoint: Endpoint) -> bool:
        return endpoint.boot_us > 0 and now - endpoint.boot_us < self.ctx.settings.cold_us

    def capacity_share(self, now: int, endpoint: Endpoint) -> float:
        """Return the share of its capacity that a starting endpoint has at least."""
        if not self.is_cold(now, endpoint):
            return 1.0
        settings = self.ctx.settings
        return settings.cold_share + (1.0 - settings.cold_share) * (
            max(0, now - endpoint.boot_us) / settings.cold_us
        )

    def refill_budget(self, now: int, endpoint: Endpoint) -> float:
        """Add what was earned since the last call to a cold endpoint's budget, and return it, in requests.

        The rate is this sidecar's part of what all sidecars may send there: what an average endpoint of its
        subset serves it, times the tip multiple and the capacity share. As each takes a part of its own
        traffic, the parts add up to the whole. Failed attempts say nothing of capacity, hence the lower of
        the rates sent and served.
        """
        if not endpoint.in_subset:
            return 0.0  # only sidecars that have it in their subset share its budget
        ctx, ring = self.ctx, self.ring
        mean_rate = min(ctx.send_rate.per_us(now), ctx.served_rate.per_us(now)) / ring.subset_size
        rate = mean_rate * COLD_BUDGET_SHARE * ctx.settings.tip_multiple * self.capacity_share(now, endpoint)
        # Where all endpoints are cold nothing is sent, so nothing is earned: the minimum is one request an
        # aim from all sidecars together.
        rate = max(rate, COLD_BUDGET_SHARE / (ring.coverage * ctx.longest_aim_us))
        elapsed_us, endpoint.cold_budget_updated_us = now - endpoint.cold_budget_updated_us, now
        endpoint.cold_budget += rate * elapsed_us
        # Sidecars that saved up must not all spend at once: what is not used within the tipping span expires.
        if endpoint.cold_budget >= 1.0 + rate * ctx.settings.tip_for_us:
            endpoint.cold_budget %= 1.0
        return endpoint.cold_budget

    def try_spend(self, now: int, endpoint: Endpoint, is_trial: bool = False) -> bool:
        """Take one request from the budget, if the endpoint is cold. A trial may overdraw it.

        Return False if the budget does not allow a request.
        """
        if self.is_cold(now, endpoint):
            if self.refill_budget(now, endpoint) < 1.0 and not is_trial:
                return False
            endpoint.cold_budget = max(-1.0, endpoint.cold_budget - 1.0)
        return True


class Health:
    """Health of endpoints (outlier ejection), latency ratios, and the verdicts reported to other sidecars."""

    def __init__(self, ctx: Context, ring: Ring, slow_start: SlowStart) -> None:
        self.ctx, self.ring, self.slow_start = ctx, ring, slow_start
        self.send_recovery_us = 0.0  # time in which an endpoint is sent RECOVERY_SENDS requests

    def is_stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Whether a response is overdue by the current latencies, as of an endpoint that is frozen."""
        if endpoint.inflight <= endpoint.transferring:
            return False
        latency = self.ctx.overall_latency
        overdue_us = latency.mean_us + STALL_DEVIATIONS * latency.deviation_us
        return now - endpoint.last_activity_us > (
            overdue_us if latency.samples >= LEARNING_SAMPLES else self.ctx.longest_aim_us
        )

    def current(self, now: int, endpoint: Endpoint, class_tenant: int) -> float:
        """Return the health by now, which recovers with time.

        It is a weight relative to the other endpoints, so a failure that affects all of them ejects none.
        """
        health, updated_us, failures = endpoint.health[class_tenant]
        memory_us = max(RECOVERY_AIMS * self.ctx.longest_aim_us, self.send_recovery_us)
        memory_us *= 2.0 ** min(failures, MAX_RECOVERY_DOUBLINGS)
        return max(MIN_HEALTH, 1.0 - (1.0 - health) * exp((updated_us - now) / memory_us))

    def record_failure(self, now: int, endpoint: Endpoint, outcome: int, class_tenant: int) -> None:
        """Lower the health after a failed attempt.

        Without this, an endpoint that fails fast has few attempts in flight and would keep being picked. The
        health for other classes and tenants is lowered less, as the endpoint may fail this one alone.
        """
        if outcome == FULL and FULL not in self.ctx.never_ran_outcomes:
            outcome = TIMEOUT  # it may have cost the request, and may be a fault rather than load
        rate = max(self.ctx.send_rate.per_us(now), 0.1 / self.ctx.longest_aim_us)
        self.send_recovery_us = RECOVERY_SENDS * self.ring.subset_size / rate
        for other, (_, _, failures) in enumerate(endpoint.health):
            factor = (
                FAILURE_FACTOR[outcome]
                if other == class_tenant
                else FAILURE_FACTOR[outcome] ** OTHER_FAILURE_POWER
            )
            health = max(MIN_HEALTH, self.current(now, endpoint, other) * factor)
            endpoint.health[other] = health, now, failures + (other == class_tenant)
        if endpoint.health[class_tenant][2] >= EJECT_FAILURES:
            self.ctx.report_verdict(endpoint, EJECTED)
        if outcome == FULL:
            endpoint.full_until_us = now + int(FULL_PAUSE * self.ctx.overall_latency.mean_us)

    def record_success(self, now: int, endpoint: Endpoint, request: Request, delay_us: int) -> None:
        """Restore health for the request's class and tenant, and update latencies and the latency ratio."""
        class_tenant = request.class_tenant
        if endpoint.health[class_tenant][0] < 1.0:
            health = self.current(now, endpoint, class_tenant)
            health += SUCCESS_RECOVERY * (1.0 - health)
            endpoint.health[class_tenant] = (
                1.0 if health > 0.99 else health,
                now,
                endpoint.health[class_tenant][2] / 2.0,
            )
        self.ctx.served_rate.add(now)
        class_latency = self.ctx.class_latencies[request.class_index]
        class_latency.add(delay_us)
        self.ctx.overall_latency.add(delay_us)
        ratio = min(delay_us / max(1.0, class_latency.mean_us), 8.0)
        age = (now - endpoint.latency_ratio_updated_us) / (LATENCY_RATIO_MEMORY * self.ctx.longest_aim_us)
        endpoint.latency_ratio_updated_us, endpoint.latency_samples = now, endpoint.latency_samples + 1
        gain = max(
            1.0 / LEARNING_SAMPLES, 1.0 / (endpoint.latency_samples + 3), min(age, MAX_LATENCY_RATIO_GAIN)
        )
        gain = 0.25 if endpoint.latency_samples == 1 else gain
        endpoint.latency_ratio = max(0.1, endpoint.latency_ratio + gain * (ratio - endpoint.latency_ratio))
        if endpoint.latency_ratio >= DEGRADED_LATENCY_RATIO and endpoint.latency_samples >= LEARNING_SAMPLES:
            self.ctx.report_verdict(endpoint, DEGRADED)
        elif (
            endpoint.reported_state
            and not self.slow_start.is_cold(now, endpoint)
            and min(endpoint.health)[0] == 1.0
        ):
            self.ctx.report_verdict(endpoint, None)
