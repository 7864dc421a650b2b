"""Which zone a request is sent to: near while that is well, by healthy capacity else, as Envoy's zone-aware
routing: one with less than its fair part of the healthy capacity keeps that much and sends the rest to zones
with more, its region's first. One whose outcomes fail is left whole."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from woadyard.interface import Locality

# What one outcome counts: seven in a row tell failing from chance. By outcomes, as requests leave a dead zone
# long before its good times leave a window.
GAIN_LEAST, GAIN_MOST = 0.1, 0.25
# How long shares hold; what a zone gets that comes back; how often leaving in a row doubles the absence.
SHARES_US, RAMP_LEAST, DOUBLINGS = 50_000, 0.05, 4


@dataclass(slots=True)
class Zone:
    failing: float = 0.0  # share of the latest outcomes
    at: int = 0
    back: int = 0  # away until then, on a ramp from then on; 0 = never left
    leavings: int = 0  # in a row


class Zones:
    def __init__(self, settings: Locality, me: int, count: int) -> None:
        self.s, self.me, self.zones = settings, me, [Zone() for _ in range(count)]
        self.upto, self.due = [1.0] * count, 0  # shares, added up; found anew when due

    def note(self, now: int, number: int, failed: bool) -> bool:
        """One outcome. True if the zone is left for it."""
        zone = self.zones[number]
        gain = min(GAIN_MOST, max(GAIN_LEAST, (now - zone.at) / self.s.window_us))
        zone.failing, zone.at = zone.failing + gain * (failed - zone.failing), now
        if now < zone.back or zone.failing < self.s.leave:
            return False
        # Guards against swinging: a zone that fails again soon stays away longer.
        calm = now - zone.back > self.s.away_us * 2**DOUBLINGS
        zone.leavings = 1 if calm else min(zone.leavings + 1, DOUBLINGS)
        zone.back, zone.failing = now + self.s.away_us * 2 ** (zone.leavings - 1), 0.0
        return True

    def trust(self, now: int, number: int) -> float:
        """0 while away, then a ramp up to 1."""
        zone = self.zones[number]
        ramp = max(RAMP_LEAST, (now - zone.back) / self.s.ramp_us) if zone.back else 1.0
        return 0.0 if now < zone.back else min(1.0, ramp)

    def share(self, now: int, whole: Sequence[float], healthy: Sequence[float]) -> list[float]:
        """Shares of the requests by zone, from capacities: all there is, and the healthy."""
        self.due = now + SHARES_US
        able = [part * self.trust(now, number) for number, part in enumerate(healthy)]
        found = [part / max(sum(whole), 1e-9) for part in whole]  # panic: spread over all
        if sum(able) > self.s.panic * sum(whole):
            fair = sum(able) / sum(part > 0.0 for part in whole)
            found = [min(1.0, able[self.me] / fair) * (n == self.me) for n in range(len(able))]
            for near in (True, False):  # the own region first
                rooms = [max(0.0, part / fair - 1.0) for part in able]
                for n, region in enumerate(self.s.regions):
                    rooms[n] *= n != self.me and (region == self.s.regions[self.me]) == near
                give = min(1.0, (1.0 - sum(found)) / max(sum(rooms), 1e-9))
                found = [share + give * room for share, room in zip(found, rooms, strict=True)]
        self.upto = list(accumulate(found))
        return found
