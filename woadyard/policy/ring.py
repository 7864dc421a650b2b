"""The known endpoints, the ring of the ready ones, and this sidecar's deterministic subset of it."""

from bisect import bisect_left, insort
from math import ceil

from woadyard.policy.state import Context, Endpoint

MIN_COVERAGE = 4  # sidecars that draw each endpoint at least, so that their unequal traffic evens out
# Endpoints of a group at least: one would leave no choice, and many would each be observed too seldom.
MIN_GROUP_SIZE = 2
POSITION_EPSILON = 1e-6  # rounding error of a position on the ring
# Endpoints of a group, each with the share of it that lies inside.
Group = list[tuple[Endpoint, float]]
# Endpoints with their ring keys, sorted by these.
OrderedEndpoints = list[tuple[tuple[int, int, int], Endpoint]]


class Ring:
    """Endpoints by id, the ready ones in ring order, and the groups that requests draw from.

    All sidecars sort the endpoints alike. Each draws from one arc of the ring, its subset, in two halves: one
    endpoint is drawn from the left group and one from the right group.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.endpoints: dict[int, Endpoint] = {}
        self.ready_order: OrderedEndpoints = []
        self.groups: list[Group] = []
        self.partition_groups: list[list[Group]] = [[]]  # by zone with zone-aware routing, otherwise by arm
        self.subset_size, self.coverage = 1.0, 1  # endpoints of the subset, and sidecars that draw each

    def ready_endpoints(self) -> list[Endpoint]:
        return [endpoint for _, endpoint in self.ready_order]

    def add(self, endpoint: Endpoint) -> None:
        endpoint.is_ready = True
        self.endpoints[endpoint.id] = endpoint
        insort(self.ready_order, (endpoint.ring_key, endpoint), key=lambda pair: pair[0])

    def remove(self, endpoint: Endpoint) -> bool:
        """Take an endpoint listed as draining or gone out of use at once. Return whether it was ready."""
        if not endpoint.inflight:
            self.endpoints.pop(endpoint.id, None)
        if not endpoint.is_ready:
            return False
        endpoint.is_ready = False
        del self.ready_order[bisect_left(self.ready_order, endpoint.ring_key, key=lambda pair: pair[0])]
        return True

    def rebuild_groups(self) -> None:
        """Recompute arms and groups from the endpoints, the settings and the experiment.

        The sidecars' arcs start evenly spaced, and a group is a whole number of spacings long. Therefore each
        point of the ring lies in the left groups of equally many sidecars, and likewise in the right groups.
        An endpoint at the edge of a group belongs to it with the share that lies inside.
        """
        settings, zone_router, split = self.ctx.settings, self.ctx.zone_router, self.ctx.split
        for _, member in self.ready_order:
            member.arm = split.arm_of.get(member.id, split.control) if split else 0
        partitions: list[OrderedEndpoints] = [
            [] for _ in range(settings.zones if zone_router else len(split.shares) if split else 1)
        ]
        for pair in self.ready_order:
            partitions[pair[1].zone if zone_router else pair[1].arm].append(pair)
        if zone_router:
            zone_router.refresh_us = 0
            sidecars = [
                settings.instances // (settings.zones if number == settings.zone else 1) or 1
                for number in range(settings.zones)
            ]
            splits = [
                self._split_groups(partition, count)
                for partition, count in zip(partitions, sidecars, strict=True)
            ]
            # The sidecars of all zones count as sharing its endpoints, as they share the cold ones.
            self.subset_size, self.coverage = (
                splits[settings.zone][1] * settings.zones,
                splits[settings.zone][2] * settings.zones,
            )
        else:
            splits = [self._zone_aware_groups(partition) for partition in partitions]
            self.subset_size, self.coverage = (
                sum(size for _, size, _ in splits),
                max(coverage for _, _, coverage in splits),
            )
        self.partition_groups = [groups for groups, _, _ in splits]
        self.groups = [group for groups in self.partition_groups for group in groups]
        subset = {member.id for group in self.groups for member, _ in group}
        for endpoint in self.endpoints.values():
            endpoint.in_subset = endpoint.id in subset

    def _zone_aware_groups(self, ordered: OrderedEndpoints) -> tuple[list[Group], float, int]:
        """As `_split_groups`, but where crossing zones has a price, the left group is in the own zone.

        Ties go to the left group and so stay in the zone.
        """
        settings, near = self.ctx.settings, ordered
        if settings.zones > 1 and settings.cross_zone_price > 0.0:
            near = [pair for pair in ordered if pair[1].zone == settings.zone]
        if not MIN_GROUP_SIZE <= len(near) < len(ordered):
            return self._split_groups(ordered, settings.instances)
        groups: list[Group] = []
        far, sidecars = (
            [pair for pair in ordered if pair[1].zone != settings.zone],
            max(1.0, settings.instances / settings.zones),
        )
        for part, count in ((near, sidecars), (far, sidecars * (settings.zones - 1))):
            spacing = len(part) / count
            size = min(len(part), max(MIN_GROUP_SIZE, MIN_COVERAGE / 2 * spacing))
            groups.append(_slice(part, settings.me * spacing, settings.me * spacing + size))
        return groups, float(sum(map(len, groups))), MIN_COVERAGE

    def _split_groups(self, ordered: OrderedEndpoints, sidecars: int) -> tuple[list[Group], float, int]:
        """Return the left and right group, how many endpoints they span, and how many sidecars draw each."""
        spacing = len(ordered) / sidecars
        start = self.ctx.settings.me * spacing
        coverage = min(sidecars, max(MIN_COVERAGE, ceil(2 * MIN_GROUP_SIZE / spacing))) if ordered else 0
        half = round(coverage / 2) if coverage >= 2 else coverage / 2  # whole spacings, all groups alike
        middle, end = start + half * spacing, start + coverage * spacing
        groups = [_slice(ordered, start, middle), _slice(ordered, middle, end)]
        return groups, max(1.0, coverage * spacing), max(1, coverage)


def _slice(ordered: OrderedEndpoints, start: float, end: float) -> Group:
    spanned = [
        (index, min(end, index + 1) - max(start, index))
        for index in range(int(start), ceil(end - POSITION_EPSILON))
    ]
    return [(ordered[index % len(ordered)][1], share) for index, share in spanned if share > POSITION_EPSILON]
