"""What an endpoint bears: slow start after a boot, and health from the outcomes of own requests."""

from math import exp

from woadyard.interface import DEGRADED, EJECTED, ERROR, FULL, NO_CONNECT, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import LEARNING_SAMPLES, Context, Endpoint

LATENCY_RATIO_MEMORY, MAX_LATENCY_RATIO_GAIN = (
    2.0,
    0.5,
)  # in longest aims: an endpoint seldom drawn is judged afresh
# What one failure leaves of an endpoint's health; fullness tells of load more than of a fault.
FAILURE_FACTOR = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.15, RESET: 0.2}
OTHER_FAILURE_POWER = 0.5  # power of what the other classes and tenants take for a failure of one
FULL_PAUSE = 1.0  # usual latencies for which a full one is left alone: all next tries would keep it full
# One answer repairs this share of the damage; time repairs it with a memory of so many aims, and sends at the
# least (or copies that send little try a bad one too often), doubled by each failure in a row up to the cap.
SUCCESS_RECOVERY, RECOVERY_AIMS, RECOVERY_SENDS, MAX_RECOVERY_DOUBLINGS = 0.2, 1.5, 3.0, 4
MIN_HEALTH = 0.01  # the trial by which an endpoint returns
STALL_DEVIATIONS = 4.0  # an answer owed for longer than these over the usual latency: taken for frozen
EJECT_FAILURES, DEGRADED_LATENCY_RATIO = (
    3.0,
    3.0,
)  # others are told: failures in a row, times slower than its peers
COLD_BUDGET_SHARE = (
    0.5  # part of the tip budget: the rest covers copies that carry more and work that is heavier
)


class SlowStart:
    def __init__(self, ctx: Context, ring: Ring) -> None:
        self.ctx, self.ring = ctx, ring

    def is_cold(self, now: int, endpoint: Endpoint) -> bool:
        return endpoint.boot_us > 0 and now - endpoint.boot_us < self.ctx.settings.cold_us

    def capacity_share(self, now: int, endpoint: Endpoint) -> float:
        """Share of its capacity a starting endpoint is sure to have by now."""
        if not self.is_cold(now, endpoint):
            return 1.0
        s = self.ctx.settings
        return s.cold_share + (1.0 - s.cold_share) * (max(0, now - endpoint.boot_us) / s.cold_us)

    def refill_budget(self, now: int, endpoint: Endpoint) -> float:
        """This copy's part of what all may send a cold endpoint: what an average one of its arc serves it,
        times the multiple and warmth. Parts of own traffic add up; what is sent in vain tells nothing."""
        if not endpoint.in_subset:
            return 0.0  # only copies that have it on their arc share its budget
        ctx, ring = self.ctx, self.ring
        usual = min(ctx.send_rate.per_us(now), ctx.served_rate.per_us(now)) / ring.subset_size
        rate = usual * COLD_BUDGET_SHARE * ctx.settings.tip_multiple * self.capacity_share(now, endpoint)
        # Where all is cold nothing is sent, so nothing earned: one request an aim, from all copies, is due.
        rate = max(rate, COLD_BUDGET_SHARE / (ring.coverage * ctx.longest_aim_us))
        elapsed, endpoint.cold_budget_updated_us = now - endpoint.cold_budget_updated_us, now
        endpoint.cold_budget += rate * elapsed
        # Copies that saved up must not all spend at once: what is not used within the span that tips is lost.
        if endpoint.cold_budget >= 1.0 + rate * ctx.settings.tip_for_us:
            endpoint.cold_budget %= 1.0
        return endpoint.cold_budget

    def try_spend(self, now: int, endpoint: Endpoint, trial: bool = False) -> bool:
        """Whether one more may be sent there by now, which takes it from the budget; a trial borrows it."""
        if self.is_cold(now, endpoint):
            if self.refill_budget(now, endpoint) < 1.0 and not trial:
                return False
            endpoint.cold_budget = max(-1.0, endpoint.cold_budget - 1.0)
        return True


class Health:
    def __init__(self, ctx: Context, ring: Ring, slow: SlowStart) -> None:
        self.ctx, self.ring, self.slow_start = ctx, ring, slow
        self.send_recovery_us = 0.0  # time in which an endpoint is sent HEAL_SENDS

    def is_stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Guards against frozen endpoints: calls out, no answers for longer than is usual by now."""
        if endpoint.inflight <= endpoint.transferring:
            return False
        usual = self.ctx.overall_latency
        long = usual.mean_us + STALL_DEVIATIONS * usual.deviation_us
        return now - endpoint.last_activity_us > (
            long if usual.samples >= LEARNING_SAMPLES else self.ctx.longest_aim_us
        )

    def current(self, now: int, endpoint: Endpoint, sort: int) -> float:
        """By now: damage heals with time. It counts against others', so what strikes all ejects nobody."""
        health, at, failures = endpoint.health[sort]
        memory = max(RECOVERY_AIMS * self.ctx.longest_aim_us, self.send_recovery_us)
        memory *= 2.0 ** min(failures, MAX_RECOVERY_DOUBLINGS)
        return max(MIN_HEALTH, 1.0 - (1.0 - health) * exp((at - now) / memory))

    def record_failure(self, now: int, endpoint: Endpoint, outcome: int, sort: int) -> None:
        """Guards against endpoints that fail fast, drain their count and so keep winning. Other classes and
        tenants are suspected too, but less: it may fail these alone."""
        if outcome == FULL and FULL not in self.ctx.never_ran_outcomes:
            outcome = TIMEOUT  # it may cost the request, and be no load but a fault
        often = max(self.ctx.send_rate.per_us(now), 0.1 / self.ctx.longest_aim_us)
        self.send_recovery_us = RECOVERY_SENDS * self.ring.subset_size / often
        for other, (_, _, failures) in enumerate(endpoint.health):
            blame = (
                FAILURE_FACTOR[outcome] if other == sort else FAILURE_FACTOR[outcome] ** OTHER_FAILURE_POWER
            )
            health = max(MIN_HEALTH, self.current(now, endpoint, other) * blame)
            endpoint.health[other] = health, now, failures + (other == sort)
        if endpoint.health[sort][2] >= EJECT_FAILURES:
            self.ctx.report_verdict(endpoint, EJECTED)
        if outcome == FULL:
            endpoint.full_until_us = now + int(FULL_PAUSE * self.ctx.overall_latency.mean_us)

    def record_success(self, now: int, endpoint: Endpoint, request: Request, delay_us: int) -> None:
        """An answer: repair the health of its sort, learn the endpoint's speed from it."""
        sort = request.class_tenant
        if endpoint.health[sort][0] < 1.0:
            health = self.current(now, endpoint, sort)
            health += SUCCESS_RECOVERY * (1.0 - health)
            endpoint.health[sort] = 1.0 if health > 0.99 else health, now, endpoint.health[sort][2] / 2.0
        self.ctx.served_rate.add(now)
        endpoint.last_success_sent_us = max(endpoint.last_success_sent_us, now - delay_us)
        usual = self.ctx.class_latencies[request.class_index]
        usual.add(delay_us)
        self.ctx.overall_latency.add(delay_us)
        ratio = min(delay_us / max(1.0, usual.mean_us), 8.0)
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
