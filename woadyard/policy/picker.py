"""Which endpoint a request is sent to: two draws by weight, fewer own calls in flight wins, ties go left."""

from collections.abc import Sequence

from woadyard.interface import KEYED, SCOPE_ALL
from woadyard.policy.health import Health, SlowStart
from woadyard.policy.request import Request
from woadyard.policy.ring import Group, Ring
from woadyard.policy.state import Context, Endpoint
from woadyard.policy.zones import ZoneRouter

MAX_GROUP_SAMPLE = 32  # a longer group is sampled first: bounds the work of a pick on the whole ring
STALLED_WEIGHT_FACTOR = 0.05  # what is left of the weight of an endpoint that looks frozen
MIN_USABLE_HEALTH = 0.3  # with less health a home, or all of an arm, is passed by: two failures of most kinds


class Picker:
    def __init__(self, ctx: Context, ring: Ring, health: Health, slow: SlowStart) -> None:
        self.ctx, self.ring, self.health, self.slow_start = ctx, ring, health, slow

    def pick(self, now: int, request: Request, due: Endpoint | None) -> Endpoint | None:
        """Where to send it, if anywhere now. One whose arm has none that is well goes to the control arm."""
        found, split = self._pick_in_arm(now, request, due), self.ctx.split
        if split is None or request.arm == split.control:
            return found
        mine = (one for one in self.ring.ready_endpoints() if one.arm == request.arm)
        if found and any(
            self.health.current(now, one, request.class_tenant) >= MIN_USABLE_HEALTH for one in mine
        ):
            return found
        own, request.arm = request.arm, split.control
        other = self._pick_in_arm(now, request, None)
        request.arm = request.arm if other else own
        return other or found

    def _pick_in_arm(self, now: int, request: Request, due: Endpoint | None) -> Endpoint | None:
        maybe = request.first_possible_run()
        if maybe is not None and request.cls.effect == KEYED and request.cls.scope != SCOPE_ALL:
            return self._pick_among(
                now, request, [one for one in self.ring.ready_endpoints() if request.in_scope(one)]
            )
        zones = self.ctx.zone_router
        groups = self._zone_groups(now, request, zones) if zones else self.ring.partition_groups[request.arm]
        found = due or self._healthy_home(now, request) or self._pick_from_groups(now, request, groups)
        if found is None and (zones or self.ring.subset_size < len(self.ring.ready_order)):
            # The whole arc is unusable: fall back on the ring.
            found = self._pick_among(
                now, request, [one for one in self.ring.ready_endpoints() if one.arm == request.arm]
            )
        return found

    def _zone_groups(self, now: int, request: Request, zones: ZoneRouter) -> list[Group]:
        """The groups of the zone that this request goes to; what failed in one is tried in the others."""
        by_zone = self.ring.partition_groups
        if request.attempts:
            failed = request.attempts[-1].endpoint.zone
            return [group for n, groups in enumerate(by_zone) if n != failed for group in groups]
        if now >= zones.refresh_us:
            whole, healthy = [0.0] * len(by_zone), [0.0] * len(by_zone)
            for one in self.ring.ready_endpoints():
                warm = one.rating * self.slow_start.capacity_share(now, one)
                whole[one.zone] += warm
                healthy[one.zone] += (
                    warm * self.health.current(now, one, 0) * (not self.health.is_stalled(now, one))
                )
            zones.refresh_shares(now, whole, healthy)
        mark = self.ctx.rng.random() * zones.cumulative_shares[-1]
        return next(
            (by_zone[n] for n, upto in enumerate(zones.cumulative_shares) if mark < upto), self.ring.groups
        )

    def _healthy_home(self, now: int, request: Request) -> Endpoint | None:
        """The endpoint of the request's affinity, as long as it is well."""
        home = self.ring.endpoints.get(request.home) if request.home is not None else None
        well = home and home.is_ready and self._is_eligible(now, request, home)
        return (
            home
            if home and well and self.health.current(now, home, request.class_tenant) >= MIN_USABLE_HEALTH
            else None
        )

    def _pick_among(self, now: int, request: Request, some: list[Endpoint]) -> Endpoint | None:
        halves = some[: (len(some) + 1) // 2], some[(len(some) + 1) // 2 :]
        return self._pick_from_groups(now, request, [[(one, 1.0) for one in half] for half in halves])

    def _pick_from_groups(self, now: int, request: Request, groups: Sequence[Group]) -> Endpoint | None:
        """One draw from each group that has an eligible endpoint: fewer own calls win, ties go left."""
        drawn = [one for one in (self._draw(now, request, group) for group in groups) if one is not None]
        best = min(drawn, key=lambda one: one.inflight, default=None)
        for other in drawn:
            if best and other.inflight == best.inflight and other is not best:
                worse = (
                    self._weight(now, other, request.class_tenant)
                    / self._weight(now, best, request.class_tenant)
                    - 1.0
                )
                if worse > self.ctx.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, group: Group) -> Endpoint | None:
        """One draw by weight among the eligible endpoints of a group."""
        if len(group) > MAX_GROUP_SAMPLE:
            group = self.ctx.rng.sample(group, MAX_GROUP_SAMPLE)
        total, marks = 0.0, []
        for endpoint, share in group:
            if self._is_eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.class_tenant)
                marks.append((total, endpoint))
        mark = self.ctx.rng.random() * total
        return next((endpoint for upto, endpoint in marks if mark <= upto), None)

    def _is_eligible(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        tried = any(attempt.endpoint is endpoint for attempt in request.attempts)
        held_back = now < endpoint.full_until_us or endpoint.inflight >= endpoint.max_inflight
        if tried or held_back or endpoint.arm != request.arm:
            return False
        if not self.ctx.lease.allows(now, endpoint.last_success_sent_us):
            return False
        return (
            not self.slow_start.is_cold(now, endpoint) or self.slow_start.refill_budget(now, endpoint) >= 1.0
        )

    def _weight(self, now: int, endpoint: Endpoint, sort: int) -> float:
        """How likely an endpoint is drawn: size, warmth, learned speed, health."""
        weight = (
            endpoint.verdict_factor
            * endpoint.rating
            * self.slow_start.capacity_share(now, endpoint)
            / endpoint.latency_ratio
        )
        if endpoint.health[sort][0] < 1.0:
            weight *= self.health.current(now, endpoint, sort)
        return weight * STALLED_WEIGHT_FACTOR if self.health.is_stalled(now, endpoint) else weight
