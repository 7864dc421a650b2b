"""The endpoints known, the shared order of the ready ones, and this copy's groups on it."""

from bisect import bisect_left, insort
from math import ceil

from woadyard.policy.state import Context, Endpoint

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
        self.by_part: list[list[Group]] = [[]]  # by zone, else by arm
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

    def cut(self) -> None:
        """Own arc of the shared order; left, right. Copies start evenly spaced and a group is a whole number
        of spacings long, so that every point lies in the left groups of equally many copies, and in the right
        ones too. An endpoint that an edge cuts stands in the group with the share that lies inside."""
        s, zones, split = self.ctx.s, self.ctx.zones, self.ctx.split
        for _, one in self.order:
            one.arm = split.arm_of.get(one.id, split.control) if split else 0
        parts: list[Order] = [[] for _ in range(s.zones if zones else len(split.shares) if split else 1)]
        for pair in self.order:
            parts[pair[1].zone if zones else pair[1].arm].append(pair)
        if zones:
            zones.due = 0
            copies = [s.instances // (s.zones if n == s.zone else 1) or 1 for n in range(s.zones)]
            cuts = [self._two(part, many) for part, many in zip(parts, copies, strict=True)]
            # Its endpoints count as shared by all zones' sidecars, as the cold ones must.
            self.arc_size, self.depth = cuts[s.zone][1] * s.zones, cuts[s.zone][2] * s.zones
        else:
            cuts = [self._near_far(part) for part in parts]
            self.arc_size, self.depth = sum(size for _, size, _ in cuts), max(depth for _, _, depth in cuts)
        self.by_part = [groups for groups, _, _ in cuts]
        self.groups = [group for groups in self.by_part for group in groups]
        own = {one.id for group in self.groups for one, _ in group}
        for endpoint in self.endpoints.values():
            endpoint.own = endpoint.id in own

    def _near_far(self, order: Order) -> tuple[list[Group], float, int]:
        """As `_two`; the left group in the own zone, so that ties stay there, where crossing has a price."""
        s, near = self.ctx.s, order
        if s.zones > 1 and s.cross_zone_price > 0.0:
            near = [pair for pair in order if pair[1].zone == s.zone]
        if not GROUP_MIN <= len(near) < len(order):
            return self._two(order, s.instances)
        groups: list[Group] = []
        far, copies = [pair for pair in order if pair[1].zone != s.zone], max(1.0, s.instances / s.zones)
        for part, many in ((near, copies), (far, copies * (s.zones - 1))):
            step = len(part) / many
            size = min(len(part), max(GROUP_MIN, COVERAGE / 2 * step))
            groups.append(_span(part, s.me * step, s.me * step + size))
        return groups, float(sum(map(len, groups))), COVERAGE

    def _two(self, order: Order, copies: int) -> tuple[list[Group], float, int]:
        """Left and right, how many endpoints they span, and by how many copies each is drawn."""
        step = len(order) / copies
        start = self.ctx.s.me * step
        depth = min(copies, max(COVERAGE, ceil(2 * GROUP_MIN / step))) if order else 0
        half = round(depth / 2) if depth >= 2 else depth / 2  # whole spacings, all groups alike
        middle, end = start + half * step, start + depth * step
        groups = [_span(order, start, middle), _span(order, middle, end)]
        return groups, max(1.0, depth * step), max(1, depth)


def _span(order: Order, start: float, end: float) -> Group:
    spanned = [(at, min(end, at + 1) - max(start, at)) for at in range(int(start), ceil(end - EDGE))]
    return [(order[at % len(order)][1], share) for at, share in spanned if share > EDGE]
