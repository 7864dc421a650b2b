"""What an endpoint bears: slow start after a boot, and health from the outcomes of own requests."""

from math import exp

from woadyard.interface import DEGRADED, EJECTED, ERROR, FULL, NO_CONNECT, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import LEARN_SAMPLES, Context, Endpoint

LEARN_MEMORY, LEARN_GAIN_MAX = 2.0, 0.5  # in longest aims: an endpoint seldom drawn is judged afresh
# What one failure leaves of an endpoint's health; fullness tells of load more than of a fault.
BLAME = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.15, RESET: 0.2}
BLAME_OTHERS = 0.5  # power of what the other classes and tenants take for a failure of one
CROWDED_FOR = 1.0  # usual latencies for which a full one is left alone: all next tries would keep it full
# One answer repairs this share of the damage; time repairs it with a memory of so many aims, and sends at the
# least (or copies that send little try a bad one too often), doubled by each failure in a row up to the cap.
REPAIR, HEAL_MEMORY, HEAL_SENDS, HEAL_DOUBLINGS = 0.2, 1.5, 3.0, 4
HEALTH_MIN = 0.01  # the trial by which an endpoint returns
STALL_DEVIATIONS = 4.0  # an answer owed for longer than these over the usual latency: taken for frozen
TOLD_FAILURES, TOLD_SLOWNESS = 3.0, 3.0  # others are told: failures in a row, times slower than its peers
COLD_SAFETY = 0.5  # part of the tip budget: the rest covers copies that carry more and work that is heavier


class SlowStart:
    def __init__(self, ctx: Context, ring: Ring) -> None:
        self.ctx, self.ring = ctx, ring

    def is_cold(self, now: int, endpoint: Endpoint) -> bool:
        return endpoint.boot > 0 and now - endpoint.boot < self.ctx.s.cold_us

    def warmth(self, now: int, endpoint: Endpoint) -> float:
        """Share of its capacity a starting endpoint is sure to have by now."""
        if not self.is_cold(now, endpoint):
            return 1.0
        s = self.ctx.s
        return s.cold_share + (1.0 - s.cold_share) * (max(0, now - endpoint.boot) / s.cold_us)

    def budget(self, now: int, endpoint: Endpoint) -> float:
        """This copy's part of what all may send a cold endpoint: what an average one of its arc serves it,
        times the multiple and warmth. Parts of own traffic add up; what is sent in vain tells nothing."""
        if not endpoint.own:
            return 0.0  # only copies that have it on their arc share its budget
        ctx, ring = self.ctx, self.ring
        usual = min(ctx.sends.get(now), ctx.served.get(now)) / ring.arc_size
        rate = usual * COLD_SAFETY * ctx.s.tip_multiple * self.warmth(now, endpoint)
        # Where all is cold nothing is sent, so nothing earned: one request an aim, from all copies, is due.
        rate = max(rate, COLD_SAFETY / (ring.depth * ctx.longest_aim))
        elapsed, endpoint.budget_at = now - endpoint.budget_at, now
        endpoint.budget += rate * elapsed
        # Copies that saved up must not all spend at once: what is not used within the span that tips is lost.
        if endpoint.budget >= 1.0 + rate * ctx.s.tip_for_us:
            endpoint.budget %= 1.0
        return endpoint.budget

    def spend(self, now: int, endpoint: Endpoint, trial: bool = False) -> bool:
        """Whether one more may be sent there by now, which takes it from the budget; a trial borrows it."""
        if self.is_cold(now, endpoint):
            if self.budget(now, endpoint) < 1.0 and not trial:
                return False
            endpoint.budget = max(-1.0, endpoint.budget - 1.0)
        return True


class Health:
    def __init__(self, ctx: Context, ring: Ring, slow: SlowStart) -> None:
        self.ctx, self.ring, self.slow = ctx, ring, slow
        self.heal_sends = 0.0  # time in which an endpoint is sent HEAL_SENDS

    def stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Guards against frozen endpoints: calls out, no answers for longer than is usual by now."""
        if endpoint.inflight <= endpoint.moving:
            return False
        usual = self.ctx.latency
        long = usual.mean + STALL_DEVIATIONS * usual.deviation
        return now - endpoint.quiet_since > (long if usual.samples >= LEARN_SAMPLES else self.ctx.longest_aim)

    def of(self, now: int, endpoint: Endpoint, sort: int) -> float:
        """By now: damage heals with time. It counts against others', so what strikes all ejects nobody."""
        health, at, failures = endpoint.health[sort]
        memory = max(HEAL_MEMORY * self.ctx.longest_aim, self.heal_sends)
        memory *= 2.0 ** min(failures, HEAL_DOUBLINGS)
        return max(HEALTH_MIN, 1.0 - (1.0 - health) * exp((at - now) / memory))

    def blame(self, now: int, endpoint: Endpoint, outcome: int, sort: int) -> None:
        """Guards against endpoints that fail fast, drain their count and so keep winning. Other classes and
        tenants are suspected too, but less: it may fail these alone."""
        if outcome == FULL and FULL not in self.ctx.proofs:
            outcome = TIMEOUT  # it may cost the request, and be no load but a fault
        often = max(self.ctx.sends.get(now), 0.1 / self.ctx.longest_aim)
        self.heal_sends = HEAL_SENDS * self.ring.arc_size / often
        for other, (_, _, failures) in enumerate(endpoint.health):
            blame = BLAME[outcome] if other == sort else BLAME[outcome] ** BLAME_OTHERS
            health = max(HEALTH_MIN, self.of(now, endpoint, other) * blame)
            endpoint.health[other] = health, now, failures + (other == sort)
        if endpoint.health[sort][2] >= TOLD_FAILURES:
            self.ctx.accuse(endpoint, EJECTED)
        if outcome == FULL:
            endpoint.crowded = now + int(CROWDED_FOR * self.ctx.latency.mean)

    def praise(self, now: int, endpoint: Endpoint, request: Request, delay_us: int) -> None:
        """An answer: repair the health of its sort, learn the endpoint's speed from it."""
        sort = request.sort
        if endpoint.health[sort][0] < 1.0:
            health = self.of(now, endpoint, sort)
            health += REPAIR * (1.0 - health)
            endpoint.health[sort] = 1.0 if health > 0.99 else health, now, endpoint.health[sort][2] / 2.0
        self.ctx.served.add(now)
        endpoint.answered_at = max(endpoint.answered_at, now - delay_us)
        usual = self.ctx.latencies[request.kind]
        usual.add(delay_us)
        self.ctx.latency.add(delay_us)
        ratio = min(delay_us / max(1.0, usual.mean), 8.0)
        age = (now - endpoint.slowness_at) / (LEARN_MEMORY * self.ctx.longest_aim)
        endpoint.slowness_at, endpoint.samples = now, endpoint.samples + 1
        gain = max(1.0 / LEARN_SAMPLES, 1.0 / (endpoint.samples + 3), min(age, LEARN_GAIN_MAX))
        gain = 0.25 if endpoint.samples == 1 else gain
        endpoint.slowness = max(0.1, endpoint.slowness + gain * (ratio - endpoint.slowness))
        if endpoint.slowness >= TOLD_SLOWNESS and endpoint.samples >= LEARN_SAMPLES:
            self.ctx.accuse(endpoint, DEGRADED)
        elif endpoint.accused and not self.slow.is_cold(now, endpoint) and min(endpoint.health)[0] == 1.0:
            self.ctx.accuse(endpoint, None)
