"""Which zone a request is sent to: near while that is well, by healthy capacity else, as Envoy's zone-aware
routing: one with less than its fair part of the healthy capacity keeps that much and sends the rest to zones
with more, its region's first. One whose outcomes fail is left whole."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from woadyard.interface import Locality

# What one outcome counts: seven in a row tell failing from chance. By outcomes, as requests leave a dead zone
# long before its good times leave a window.
MIN_GAIN, MAX_GAIN = 0.1, 0.25
# How long shares hold; what a zone gets that comes back; how often leaving in a row doubles the absence.
SHARES_VALID_US, MIN_RAMP, MAX_AWAY_DOUBLINGS = 50_000, 0.05, 4


@dataclass(slots=True)
class ZoneState:
    failure_share: float = 0.0  # share of the latest outcomes
    updated_us: int = 0
    returns_us: int = 0  # away until then, on a ramp from then on; 0 = never left
    consecutive_exits: int = 0  # in a row


class ZoneRouter:
    def __init__(self, settings: Locality, me: int, count: int) -> None:
        self.settings, self.own_zone, self.states = settings, me, [ZoneState() for _ in range(count)]
        self.cumulative_shares, self.refresh_us = [1.0] * count, 0  # shares, added up; found anew when due

    def record_outcome(self, now: int, number: int, failed: bool) -> bool:
        """One outcome. True if the zone is left for it."""
        zone = self.states[number]
        gain = min(MAX_GAIN, max(MIN_GAIN, (now - zone.updated_us) / self.settings.window_us))
        zone.failure_share, zone.updated_us = zone.failure_share + gain * (failed - zone.failure_share), now
        if now < zone.returns_us or zone.failure_share < self.settings.leave:
            return False
        # Guards against swinging: a zone that fails again soon stays away longer.
        calm = now - zone.returns_us > self.settings.away_us * 2**MAX_AWAY_DOUBLINGS
        zone.consecutive_exits = 1 if calm else min(zone.consecutive_exits + 1, MAX_AWAY_DOUBLINGS)
        zone.returns_us, zone.failure_share = (
            now + self.settings.away_us * 2 ** (zone.consecutive_exits - 1),
            0.0,
        )
        return True

    def ramp_share(self, now: int, number: int) -> float:
        """0 while away, then a ramp up to 1."""
        zone = self.states[number]
        ramp = max(MIN_RAMP, (now - zone.returns_us) / self.settings.ramp_us) if zone.returns_us else 1.0
        return 0.0 if now < zone.returns_us else min(1.0, ramp)

    def refresh_shares(self, now: int, whole: Sequence[float], healthy: Sequence[float]) -> list[float]:
        """Shares of the requests by zone, from capacities: all there is, and the healthy."""
        self.refresh_us = now + SHARES_VALID_US
        able = [part * self.ramp_share(now, number) for number, part in enumerate(healthy)]
        found = [part / max(sum(whole), 1e-9) for part in whole]  # panic: spread over all
        if sum(able) > self.settings.panic * sum(whole):
            fair = sum(able) / sum(part > 0.0 for part in whole)
            found = [min(1.0, able[self.own_zone] / fair) * (n == self.own_zone) for n in range(len(able))]
            for near in (True, False):  # the own region first
                rooms = [max(0.0, part / fair - 1.0) for part in able]
                for n, region in enumerate(self.settings.regions):
                    rooms[n] *= (
                        n != self.own_zone and (region == self.settings.regions[self.own_zone]) == near
                    )
                give = min(1.0, (1.0 - sum(found)) / max(sum(rooms), 1e-9))
                found = [share + give * room for share, room in zip(found, rooms, strict=True)]
        self.cumulative_shares = list(accumulate(found))
        return found
