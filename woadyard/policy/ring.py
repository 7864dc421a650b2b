"""The endpoints known, the shared order of the ready ones, and this copy's groups on it."""

from bisect import bisect_left, insort
from math import ceil

from woadyard.policy.state import Context, Endpoint

MIN_COVERAGE = 4  # copies that draw each endpoint at least, so that their unequal traffic evens out
MIN_GROUP_SIZE = 2  # endpoints of a group at least: one leaves no draw, with more each is heard of too seldom
POSITION_EPSILON = 1e-6  # rounding error of a position on the ring
# Endpoints of a group, each with the share of it that lies inside.
Group = list[tuple[Endpoint, float]]
OrderedEndpoints = list[tuple[tuple[int, int, int], Endpoint]]


class Ring:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.endpoints: dict[int, Endpoint] = {}
        self.ready_order: OrderedEndpoints = []
        self.groups: list[Group] = []
        self.partition_groups: list[list[Group]] = [[]]  # by zone, else by arm
        self.subset_size, self.coverage = 1.0, 1  # endpoints on the arc, and copies that draw each

    def ready_endpoints(self) -> list[Endpoint]:
        return [one for _, one in self.ready_order]

    def add(self, endpoint: Endpoint) -> None:
        endpoint.is_ready = True
        self.endpoints[endpoint.id] = endpoint
        insort(self.ready_order, (endpoint.ring_key, endpoint), key=lambda pair: pair[0])

    def remove(self, endpoint: Endpoint) -> bool:
        """Guards drains: an endpoint told draining or gone leaves at once."""
        if not endpoint.inflight:
            self.endpoints.pop(endpoint.id, None)
        if not endpoint.is_ready:
            return False
        endpoint.is_ready = False
        del self.ready_order[bisect_left(self.ready_order, endpoint.ring_key, key=lambda pair: pair[0])]
        return True

    def rebuild_groups(self) -> None:
        """Own arc of the shared order; left, right. Copies start evenly spaced and a group is a whole number
        of spacings long, so that every point lies in the left groups of equally many copies, and in the right
        ones too. An endpoint that an edge cuts stands in the group with the share that lies inside."""
        s, zones, split = self.ctx.settings, self.ctx.zone_router, self.ctx.split
        for _, one in self.ready_order:
            one.arm = split.arm_of.get(one.id, split.control) if split else 0
        parts: list[OrderedEndpoints] = [
            [] for _ in range(s.zones if zones else len(split.shares) if split else 1)
        ]
        for pair in self.ready_order:
            parts[pair[1].zone if zones else pair[1].arm].append(pair)
        if zones:
            zones.refresh_us = 0
            copies = [s.instances // (s.zones if n == s.zone else 1) or 1 for n in range(s.zones)]
            cuts = [self._split_groups(part, many) for part, many in zip(parts, copies, strict=True)]
            # Its endpoints count as shared by all zones' sidecars, as the cold ones must.
            self.subset_size, self.coverage = cuts[s.zone][1] * s.zones, cuts[s.zone][2] * s.zones
        else:
            cuts = [self._zone_aware_groups(part) for part in parts]
            self.subset_size, self.coverage = (
                sum(size for _, size, _ in cuts),
                max(depth for _, _, depth in cuts),
            )
        self.partition_groups = [groups for groups, _, _ in cuts]
        self.groups = [group for groups in self.partition_groups for group in groups]
        own = {one.id for group in self.groups for one, _ in group}
        for endpoint in self.endpoints.values():
            endpoint.in_subset = endpoint.id in own

    def _zone_aware_groups(self, order: OrderedEndpoints) -> tuple[list[Group], float, int]:
        """As `_two`; the left group in the own zone, so that ties stay there, where crossing has a price."""
        s, near = self.ctx.settings, order
        if s.zones > 1 and s.cross_zone_price > 0.0:
            near = [pair for pair in order if pair[1].zone == s.zone]
        if not MIN_GROUP_SIZE <= len(near) < len(order):
            return self._split_groups(order, s.instances)
        groups: list[Group] = []
        far, copies = [pair for pair in order if pair[1].zone != s.zone], max(1.0, s.instances / s.zones)
        for part, many in ((near, copies), (far, copies * (s.zones - 1))):
            step = len(part) / many
            size = min(len(part), max(MIN_GROUP_SIZE, MIN_COVERAGE / 2 * step))
            groups.append(_slice(part, s.me * step, s.me * step + size))
        return groups, float(sum(map(len, groups))), MIN_COVERAGE

    def _split_groups(self, order: OrderedEndpoints, copies: int) -> tuple[list[Group], float, int]:
        """Left and right, how many endpoints they span, and by how many copies each is drawn."""
        step = len(order) / copies
        start = self.ctx.settings.me * step
        depth = min(copies, max(MIN_COVERAGE, ceil(2 * MIN_GROUP_SIZE / step))) if order else 0
        half = round(depth / 2) if depth >= 2 else depth / 2  # whole spacings, all groups alike
        middle, end = start + half * step, start + depth * step
        groups = [_slice(order, start, middle), _slice(order, middle, end)]
        return groups, max(1.0, depth * step), max(1, depth)


def _slice(order: OrderedEndpoints, start: float, end: float) -> Group:
    spanned = [
        (at, min(end, at + 1) - max(start, at)) for at in range(int(start), ceil(end - POSITION_EPSILON))
    ]
    return [(order[at % len(order)][1], share) for at, share in spanned if share > POSITION_EPSILON]
