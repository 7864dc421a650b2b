"""The endpoints known, the shared order of the ready ones, and this copy's groups on it."""

from bisect import bisect_left, insort
from math import ceil

from woadyard.policy.context import Context
from woadyard.policy.endpoint import Endpoint
from woadyard.policy.zones import Zones

COVERAGE = 4  # copies that draw each endpoint at least, so that their unequal traffic evens out
GROUP_MIN = 2  # endpoints of a group at least: one leaves no draw, with more each is heard of too seldom
EDGE = 1e-6  # rounding error of a position on the ring
# Endpoints of a group, each with the share of it that lies inside.
Group = list[tuple[Endpoint, float]]
Order = list[tuple[tuple[int, int, int], Endpoint]]


class Ring:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.endpoints: dict[int, Endpoint] = {}
        self.order: Order = []
        self.groups: list[Group] = []
        self.by_zone: list[list[Group]] = []
        self.arc_size, self.depth = 1.0, 1  # endpoints on the arc, and copies that draw each

    def ready(self) -> list[Endpoint]:
        return [one for _, one in self.order]

    def add(self, endpoint: Endpoint) -> None:
        endpoint.ready = True
        self.endpoints[endpoint.id] = endpoint
        insort(self.order, (endpoint.key, endpoint), key=lambda pair: pair[0])

    def remove(self, endpoint: Endpoint) -> bool:
        """Guards drains: an endpoint told draining or gone leaves at once."""
        if not endpoint.inflight:
            self.endpoints.pop(endpoint.id, None)
        if not endpoint.ready:
            return False
        endpoint.ready = False
        del self.order[bisect_left(self.order, endpoint.key, key=lambda pair: pair[0])]
        return True

    def settle(self, endpoint: Endpoint) -> None:
        """Any ending of an attempt lowers the count."""
        endpoint.inflight = max(0, endpoint.inflight - 1)
        if not endpoint.ready and not endpoint.inflight:
            self.endpoints.pop(endpoint.id, None)

    def cut(self) -> None:
        """Own arc of the shared order; left, right. Copies start evenly spaced and a group is a whole number
        of spacings long, so that every point lies in the left groups of equally many copies, and in the right
        ones too. An endpoint that an edge cuts stands in the group with the share that lies inside."""
        s, near = self.ctx.s, self.order
        if s.zones > 1 and s.cross_zone_price > 0.0:
            near = [pair for pair in near if pair[1].zone == s.zone]
        if self.ctx.zones is not None:
            self._cut_zones(self.ctx.zones)
        elif GROUP_MIN <= len(near) < len(self.order):
            far = [pair for pair in self.order if pair[1].zone != s.zone]
            copies = max(1.0, s.instances / s.zones)
            self.groups = [self._arc(near, copies), self._arc(far, copies)]
            self.arc_size, self.depth = float(sum(map(len, self.groups))), COVERAGE
        else:
            self.groups, self.arc_size, self.depth = self._two(self.order, s.instances)
        own = {one.id for group in self.groups for one, _ in group}
        for endpoint in self.endpoints.values():
            endpoint.own = endpoint.id in own

    def _cut_zones(self, zones: Zones) -> None:
        """Two groups a zone; its endpoints count as shared by all zones' sidecars, as the cold ones must."""
        s, zones.due = self.ctx.s, 0
        copies = [s.instances // (s.zones if n == s.zone else 1) or 1 for n in range(s.zones)]
        parts = [[pair for pair in self.order if pair[1].zone == n] for n in range(s.zones)]
        cuts = [self._two(part, many) for part, many in zip(parts, copies, strict=True)]
        self.by_zone = [groups for groups, _, _ in cuts]
        self.arc_size, self.depth = cuts[s.zone][1] * s.zones, cuts[s.zone][2] * s.zones
        self.groups = [group for groups in self.by_zone for group in groups]

    def _two(self, order: Order, copies: int) -> tuple[list[Group], float, int]:
        """Left and right, how many endpoints they span, and by how many copies each is drawn."""
        size = len(order)
        step = size / copies
        start = self.ctx.s.me * step
        depth = min(copies, max(COVERAGE, ceil(2 * GROUP_MIN / step))) if size else 0
        half = round(depth / 2) if depth >= 2 else depth / 2  # whole spacings, all groups alike
        middle, end = start + half * step, start + depth * step
        groups = [_span(order, start, middle), _span(order, middle, end)]
        return groups, max(1.0, depth * step), max(1, depth)

    def _arc(self, order: Order, copies: float) -> Group:
        """One group on a part of the order, from the copy's own offset there."""
        step = len(order) / copies
        start = self.ctx.s.me * step
        return _span(order, start, start + min(len(order), max(GROUP_MIN, COVERAGE / 2 * step)))


def _span(order: Order, start: float, end: float) -> Group:
    spanned = [(at, min(end, at + 1) - max(start, at)) for at in range(int(start), ceil(end - EDGE))]
    return [(order[at % len(order)][1], share) for at, share in spanned if share > EDGE]
