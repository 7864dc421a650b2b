"""The modelled endpoints in simulated time: what becomes of one attempt, and when.

Luck is keyed by request and attempt, not drawn in turn: both arms of a replay, and any order of
events, meet the same (common random numbers).
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace

from woadyard.interface import FULL, OK, TIMEOUT
from woadyard.policy import splitmix64
from woadyard.whatif.model import QUANTILES, Burst, Endpoint, Model

UNIT = 1.0 / (1 << 64)
# An attempt turned away at once comes back after so many µs at least.
TURNED_US = 500
STEPS = QUANTILES - 1


def luck(seed: int, request: int, what: int) -> float:
    """One number in [0, 1), fixed by its key."""
    return splitmix64(splitmix64(seed ^ request) + what) * UNIT


class Server:
    """One endpoint. `seed` also turns its bursts round the span, so that seeds differ in when."""

    def __init__(self, model: Endpoint, place: int, seed: int, span: tuple[int, int]) -> None:
        self.model, self.place = model, place
        self.seed = splitmix64(seed * 1_000_003 + place)
        self.free = [0] * model.slots  # when each slot is free again
        heapify(self.free)
        self.under_way: list[int] = []  # when each attempt here ends
        start, end = span
        turn = int(luck(seed, place, 99) * (end - start)) if seed else 0
        self.bursts = [turned(one, turn, start, end) for one in model.bursts]

    def beside(self, now: int) -> int:
        under_way = self.under_way
        while under_way and under_way[0] <= now:
            heappop(under_way)
        return len(under_way)

    def serve(
        self, now: int, cls: int, scale: float, key: int, copy: int, timeout: int
    ) -> tuple[int, int, int]:
        """Outcome, µs until it, and the others found in flight; `scale` multiplies the service."""
        model, found = self.model, self.beside(now)
        for burst in self.bursts:
            if burst.start <= now < burst.end:
                return self._fail(burst, timeout, found)
        if model.chance and luck(self.seed, key, copy * 4 + 1) < model.chance:
            return self._fail(model.failed, timeout, found)
        if model.most and found >= model.most and luck(self.seed, key, copy * 4 + 2) < model.turned:
            return FULL, min(timeout, TURNED_US), found
        took = self._service(now, cls, key, found) * scale
        if self.free:
            start = max(now, self.free[0])
            end = start + int(took)
            heapreplace(self.free, end)
        else:
            end = now + int(took)
        heappush(self.under_way, end)
        if end - now > timeout:
            return TIMEOUT, timeout, found
        return OK, max(1, end - now), found

    def _service(self, now: int, cls: int, key: int, found: int) -> float:
        model = self.model
        # Keyed by the request alone: what is heavy is heavy everywhere.
        at = luck(0, key, 0) * STEPS
        low = int(at)
        values = model.quantiles[cls]
        took = values[low] + (values[low + 1] - values[low]) * (at - low)
        beside = min(found, model.slots - 1) if model.slots else found
        took *= 1.0 + model.slow * beside
        if model.cold and model.boot <= now < model.warm:
            took *= model.cold[(now - model.boot) * len(model.cold) // (model.warm - model.boot)]
        return took

    @staticmethod
    def _fail(how: Burst, timeout: int, found: int) -> tuple[int, int, int]:
        if how.outcome == TIMEOUT or how.delay >= timeout:
            return TIMEOUT, timeout, found
        return how.outcome, max(1, how.delay), found


def turned(burst: Burst, turn: int, start: int, end: int) -> Burst:
    length = burst.end - burst.start
    at = start + (burst.start - start + turn) % max(1, end - start)
    return Burst(at, at + length, burst.outcome, burst.delay)


class World:
    """All servers of one replay."""

    def __init__(self, model: Model, seed: int, span: tuple[int, int]) -> None:
        self.works, self.away = model.works, model.away_us
        self.servers = [Server(one, place, seed, span) for place, one in enumerate(model.endpoints)]

    def away_us(self, origin: str, zone: str) -> int:
        return int(self.away.get(f"{origin}>{zone}", 0.0))

    def scale(self, cls: int, work_us: int) -> float:
        work = self.works[cls]
        return (work_us / work.usual) ** work.power if work_us > 0 and work.power else 1.0
