"""Which endpoint a request is sent to.

Power of two choices: one endpoint is drawn by weight from each of two groups, and the one with fewer of this
sidecar's attempts in flight gets the request. Ties go to the left group.
"""

from collections.abc import Sequence

from woadyard.interface import KEYED, SCOPE_ALL
from woadyard.policy.health import Health, SlowStart
from woadyard.policy.request import Request
from woadyard.policy.ring import Group, Ring
from woadyard.policy.state import Context, Endpoint
from woadyard.policy.zones import ZoneRouter

MAX_GROUP_SAMPLE = 32  # a larger group is sampled first, which bounds the work of a pick on the whole ring
STALLED_WEIGHT_FACTOR = 0.05  # factor on the weight of an endpoint that looks stalled
# With less health a home endpoint, or all of an arm, is passed over: two failures of most kinds.
MIN_USABLE_HEALTH = 0.3


class Picker:
    """Picks endpoints among the ready ones."""

    def __init__(self, ctx: Context, ring: Ring, health: Health, slow_start: SlowStart) -> None:
        self.ctx, self.ring, self.health, self.slow_start = ctx, ring, health, slow_start

    def pick(self, now: int, request: Request, trial: Endpoint | None) -> Endpoint | None:
        """Return the endpoint to send to, or None if there is none now.

        A request whose arm has no usable endpoint moves to the control arm.
        """
        picked, split = self._pick_in_arm(now, request, trial), self.ctx.split
        if split is None or request.arm == split.control:
            return picked
        arm_endpoints = (endpoint for endpoint in self.ring.ready_endpoints() if endpoint.arm == request.arm)
        if picked and any(
            self.health.current(now, endpoint, request.class_tenant) >= MIN_USABLE_HEALTH
            for endpoint in arm_endpoints
        ):
            return picked
        assigned_arm, request.arm = request.arm, split.control
        fallback = self._pick_in_arm(now, request, None)
        request.arm = request.arm if fallback else assigned_arm
        return fallback or picked

    def _pick_in_arm(self, now: int, request: Request, trial: Endpoint | None) -> Endpoint | None:
        first = request.first_possible_run()
        if first is not None and request.cls.effect == KEYED and request.cls.scope != SCOPE_ALL:
            return self._pick_among(
                now,
                request,
                [endpoint for endpoint in self.ring.ready_endpoints() if request.in_scope(endpoint)],
            )
        zone_router = self.ctx.zone_router
        groups = (
            self._zone_groups(now, request, zone_router)
            if zone_router
            else self.ring.partition_groups[request.arm]
        )
        picked = trial or self._healthy_home(now, request) or self._pick_from_groups(now, request, groups)
        if picked is None and (zone_router or self.ring.subset_size < len(self.ring.ready_order)):
            # The whole subset is unusable: fall back to the ring.
            picked = self._pick_among(
                now,
                request,
                [endpoint for endpoint in self.ring.ready_endpoints() if endpoint.arm == request.arm],
            )
        return picked

    def _zone_groups(self, now: int, request: Request, zone_router: ZoneRouter) -> list[Group]:
        """Return the groups of the zone that the request goes to; a retry goes to the other zones."""
        groups_by_zone = self.ring.partition_groups
        if request.attempts:
            failed_zone = request.attempts[-1].endpoint.zone
            return [
                group
                for number, groups in enumerate(groups_by_zone)
                if number != failed_zone
                for group in groups
            ]
        if now >= zone_router.refresh_us:
            capacity, healthy = [0.0] * len(groups_by_zone), [0.0] * len(groups_by_zone)
            for candidate in self.ring.ready_endpoints():
                current_capacity = candidate.rating * self.slow_start.capacity_share(now, candidate)
                capacity[candidate.zone] += current_capacity
                healthy[candidate.zone] += (
                    current_capacity
                    * self.health.current(now, candidate, 0)
                    * (not self.health.is_stalled(now, candidate))
                )
            zone_router.refresh_shares(now, capacity, healthy)
        position = self.ctx.rng.random() * zone_router.cumulative_shares[-1]
        return next(
            (
                groups_by_zone[number]
                for number, upper in enumerate(zone_router.cumulative_shares)
                if position < upper
            ),
            self.ring.groups,
        )

    def _healthy_home(self, now: int, request: Request) -> Endpoint | None:
        """Return the endpoint of the request's affinity, if it is usable."""
        home = self.ring.endpoints.get(request.home) if request.home is not None else None
        is_usable = home and home.is_ready and self._is_eligible(now, request, home)
        return (
            home
            if home
            and is_usable
            and self.health.current(now, home, request.class_tenant) >= MIN_USABLE_HEALTH
            else None
        )

    def _pick_among(self, now: int, request: Request, candidates: list[Endpoint]) -> Endpoint | None:
        halves = candidates[: (len(candidates) + 1) // 2], candidates[(len(candidates) + 1) // 2 :]
        return self._pick_from_groups(
            now, request, [[(endpoint, 1.0) for endpoint in half] for half in halves]
        )

    def _pick_from_groups(self, now: int, request: Request, groups: Sequence[Group]) -> Endpoint | None:
        """Draw one eligible endpoint from each group and return the one with the fewest attempts in flight.

        Ties go to the left, but an endpoint on the right with a higher weight wins with a chance that grows
        with the ratio of the weights.
        """
        drawn = [
            endpoint
            for endpoint in (self._draw(now, request, group) for group in groups)
            if endpoint is not None
        ]
        best = min(drawn, key=lambda endpoint: endpoint.inflight, default=None)
        for other in drawn:
            if best and other.inflight == best.inflight and other is not best:
                excess = (
                    self._weight(now, other, request.class_tenant)
                    / self._weight(now, best, request.class_tenant)
                    - 1.0
                )
                if excess > self.ctx.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, group: Group) -> Endpoint | None:
        """Draw one of the eligible endpoints of a group by weight."""
        if len(group) > MAX_GROUP_SAMPLE:
            group = self.ctx.rng.sample(group, MAX_GROUP_SAMPLE)
        total, cumulative = 0.0, []
        for endpoint, share in group:
            if self._is_eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.class_tenant)
                cumulative.append((total, endpoint))
        position = self.ctx.rng.random() * total
        return next((endpoint for upper, endpoint in cumulative if position <= upper), None)

    def _is_eligible(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        was_tried = any(attempt.endpoint is endpoint for attempt in request.attempts)
        is_full = now < endpoint.full_until_us or endpoint.inflight >= endpoint.max_inflight
        if was_tried or is_full or endpoint.arm != request.arm:
            return False
        if not self.ctx.lease.is_valid(now):
            return False
        return (
            not self.slow_start.is_cold(now, endpoint) or self.slow_start.refill_budget(now, endpoint) >= 1.0
        )

    def _weight(self, now: int, endpoint: Endpoint, class_tenant: int) -> float:
        """Return the weight in draws, from rating, slow start, latency ratio, health and verdicts."""
        weight = (
            endpoint.verdict_factor
            * endpoint.rating
            * self.slow_start.capacity_share(now, endpoint)
            / endpoint.latency_ratio
        )
        if endpoint.health[class_tenant][0] < 1.0:
            weight *= self.health.current(now, endpoint, class_tenant)
        return weight * STALLED_WEIGHT_FACTOR if self.health.is_stalled(now, endpoint) else weight
