"""Which endpoint a request is sent to: two draws by weight, fewer own calls in flight wins, ties go left."""

from collections.abc import Sequence

from woadyard.interface import KEYED, SCOPE_ALL
from woadyard.policy.health import Health, SlowStart
from woadyard.policy.request import Request
from woadyard.policy.ring import Group, Ring
from woadyard.policy.state import Context, Endpoint
from woadyard.policy.zones import Zones

DRAW_MAX = 32  # a longer group is sampled first: bounds the work of a pick on the whole ring
STALL_WEIGHT = 0.05  # what is left of the weight of an endpoint that looks frozen
WELL = 0.3  # with less health a home, or all of an arm, is passed by: two failures of most kinds


class Choice:
    def __init__(self, ctx: Context, ring: Ring, health: Health, slow: SlowStart) -> None:
        self.ctx, self.ring, self.health, self.slow = ctx, ring, health, slow

    def pick(self, now: int, request: Request, due: Endpoint | None) -> Endpoint | None:
        """Where to send it, if anywhere now. One whose arm has none that is well goes to the control arm."""
        found, split = self._pick(now, request, due), self.ctx.split
        if split is None or request.arm == split.control:
            return found
        mine = (one for one in self.ring.ready() if one.arm == request.arm)
        if found and any(self.health.of(now, one, request.sort) >= WELL for one in mine):
            return found
        own, request.arm = request.arm, split.control
        other = self._pick(now, request, None)
        request.arm = request.arm if other else own
        return other or found

    def _pick(self, now: int, request: Request, due: Endpoint | None) -> Endpoint | None:
        maybe = request.first_maybe()
        if maybe is not None and request.cls.effect == KEYED and request.cls.scope != SCOPE_ALL:
            return self._among(now, request, [one for one in self.ring.ready() if request.in_scope(one)])
        zones = self.ctx.zones
        groups = self._near(now, request, zones) if zones else self.ring.by_part[request.arm]
        found = due or self._home(now, request) or self._choose(now, request, groups)
        if found is None and (zones or self.ring.arc_size < len(self.ring.order)):
            # The whole arc is unusable: fall back on the ring.
            found = self._among(now, request, [one for one in self.ring.ready() if one.arm == request.arm])
        return found

    def _near(self, now: int, request: Request, zones: Zones) -> list[Group]:
        """The groups of the zone that this request goes to; what failed in one is tried in the others."""
        by_zone = self.ring.by_part
        if request.attempts:
            failed = request.attempts[-1].endpoint.zone
            return [group for n, groups in enumerate(by_zone) if n != failed for group in groups]
        if now >= zones.due:
            whole, healthy = [0.0] * len(by_zone), [0.0] * len(by_zone)
            for one in self.ring.ready():
                warm = one.rating * self.slow.warmth(now, one)
                whole[one.zone] += warm
                healthy[one.zone] += warm * self.health.of(now, one, 0) * (not self.health.stalled(now, one))
            zones.share(now, whole, healthy)
        mark = self.ctx.rng.random() * zones.upto[-1]
        return next((by_zone[n] for n, upto in enumerate(zones.upto) if mark < upto), self.ring.groups)

    def _home(self, now: int, request: Request) -> Endpoint | None:
        """The endpoint of the request's affinity, as long as it is well."""
        home = self.ring.endpoints.get(request.home) if request.home is not None else None
        well = home and home.ready and self._eligible(now, request, home)
        return home if home and well and self.health.of(now, home, request.sort) >= WELL else None

    def _among(self, now: int, request: Request, some: list[Endpoint]) -> Endpoint | None:
        halves = some[: (len(some) + 1) // 2], some[(len(some) + 1) // 2 :]
        return self._choose(now, request, [[(one, 1.0) for one in half] for half in halves])

    def _choose(self, now: int, request: Request, groups: Sequence[Group]) -> Endpoint | None:
        """One draw from each group that has an eligible endpoint: fewer own calls win, ties go left."""
        drawn = [one for one in (self._draw(now, request, group) for group in groups) if one is not None]
        best = min(drawn, key=lambda one: one.inflight, default=None)
        for other in drawn:
            if best and other.inflight == best.inflight and other is not best:
                worse = self._weight(now, other, request.sort) / self._weight(now, best, request.sort) - 1.0
                if worse > self.ctx.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, group: Group) -> Endpoint | None:
        """One draw by weight among the eligible endpoints of a group."""
        if len(group) > DRAW_MAX:
            group = self.ctx.rng.sample(group, DRAW_MAX)
        total, marks = 0.0, []
        for endpoint, share in group:
            if self._eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.sort)
                marks.append((total, endpoint))
        mark = self.ctx.rng.random() * total
        return next((endpoint for upto, endpoint in marks if mark <= upto), None)

    def _eligible(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        tried = any(attempt.endpoint is endpoint for attempt in request.attempts)
        held_back = now < endpoint.crowded or endpoint.inflight >= endpoint.cap
        if tried or held_back or endpoint.arm != request.arm:
            return False
        if not self.ctx.lease.allows(now, endpoint.answered_at):
            return False
        return not self.slow.is_cold(now, endpoint) or self.slow.budget(now, endpoint) >= 1.0

    def _weight(self, now: int, endpoint: Endpoint, sort: int) -> float:
        """How likely an endpoint is drawn: size, warmth, learned speed, health."""
        weight = endpoint.trust * endpoint.rating * self.slow.warmth(now, endpoint) / endpoint.slowness
        if endpoint.health[sort][0] < 1.0:
            weight *= self.health.of(now, endpoint, sort)
        return weight * STALL_WEIGHT if self.health.stalled(now, endpoint) else weight
