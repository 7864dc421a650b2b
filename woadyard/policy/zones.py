"""Zone-aware routing: requests stay in the own zone while it is healthy, or else follow healthy capacity.

As in Envoy's zone-aware routing, a zone with less than its fair part of the healthy capacity keeps that much
and sends the rest to zones that have more, those of its region first. A zone whose attempts fail gets nothing
for a while.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from woadyard.interface import Locality

# Weight of one outcome in a zone's failure share: seven failures in a row distinguish a failing zone from
# chance. Counted by outcomes rather than by time, because requests leave a dead zone long before its good
# times leave a window.
MIN_GAIN, MAX_GAIN = 0.1, 0.25
# How long computed shares are used; the first share of a zone that returns; how often consecutive exits
# double the absence.
SHARES_VALID_US, MIN_RAMP, MAX_AWAY_DOUBLINGS = 50_000, 0.05, 4


@dataclass(slots=True)
class ZoneState:
    """What one zone's outcomes say of it; times in µs."""

    failure_share: float = 0.0  # of the latest outcomes
    updated_us: int = 0
    returns_us: int = 0  # unused until then, ramping up afterwards; 0 = it was never left
    consecutive_exits: int = 0


class ZoneRouter:
    """Shares of the requests by zone."""

    def __init__(self, locality: Locality, own_zone: int, count: int) -> None:
        self.settings, self.own_zone, self.states = locality, own_zone, [ZoneState() for _ in range(count)]
        self.cumulative_shares, self.refresh_us = [1.0] * count, 0  # refresh_us: recompute the shares then

    def record_outcome(self, now: int, number: int, failed: bool) -> bool:
        """Record one outcome. Return True if the zone is left because of it."""
        zone = self.states[number]
        gain = min(MAX_GAIN, max(MIN_GAIN, (now - zone.updated_us) / self.settings.window_us))
        zone.failure_share, zone.updated_us = zone.failure_share + gain * (failed - zone.failure_share), now
        if now < zone.returns_us or zone.failure_share < self.settings.leave:
            return False
        # Prevents oscillation: a zone that soon fails again stays away longer.
        was_stable = now - zone.returns_us > self.settings.away_us * 2**MAX_AWAY_DOUBLINGS
        zone.consecutive_exits = 1 if was_stable else min(zone.consecutive_exits + 1, MAX_AWAY_DOUBLINGS)
        zone.returns_us, zone.failure_share = (
            now + self.settings.away_us * 2 ** (zone.consecutive_exits - 1),
            0.0,
        )
        return True

    def ramp_share(self, now: int, number: int) -> float:
        """Share of its capacity that a zone may use: 0 while away, then a ramp up to 1."""
        zone = self.states[number]
        ramp = max(MIN_RAMP, (now - zone.returns_us) / self.settings.ramp_us) if zone.returns_us else 1.0
        return 0.0 if now < zone.returns_us else min(1.0, ramp)

    def refresh_shares(self, now: int, capacity: Sequence[float], healthy: Sequence[float]) -> list[float]:
        """Compute the shares of the requests by zone from the total and the healthy capacity of each."""
        self.refresh_us = now + SHARES_VALID_US
        usable = [part * self.ramp_share(now, number) for number, part in enumerate(healthy)]
        shares = [part / max(sum(capacity), 1e-9) for part in capacity]  # panic: spread over all zones
        if sum(usable) > self.settings.panic * sum(capacity):
            fair_part = sum(usable) / sum(part > 0.0 for part in capacity)
            shares = [
                min(1.0, usable[self.own_zone] / fair_part) * (index == self.own_zone)
                for index in range(len(usable))
            ]
            for is_same_region in (True, False):  # the own region first
                spare = [max(0.0, part / fair_part - 1.0) for part in usable]
                for index, region in enumerate(self.settings.regions):
                    spare[index] *= (
                        index != self.own_zone
                        and (region == self.settings.regions[self.own_zone]) == is_same_region
                    )
                fraction = min(1.0, (1.0 - sum(shares)) / max(sum(spare), 1e-9))
                shares = [share + fraction * surplus for share, surplus in zip(shares, spare, strict=True)]
        self.cumulative_shares = list(accumulate(shares))
        return shares
