"""The modelled endpoints in simulated time: what becomes of one attempt, and when.

Luck is keyed by request and attempt, not drawn in turn: both arms of a replay, and any order of
events, meet the same (common random numbers).
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace

from woadyard.interface import FULL, OK, TIMEOUT
from woadyard.policy import splitmix64
from woadyard.whatif.model import QUANTILE_COUNT, EndpointModel, FailureBurst, FleetModel

HASH_TO_UNIT = 1.0 / (1 << 64)
# An attempt turned away at once comes back after so many µs at least.
REJECT_DELAY_US = 500
QUANTILE_STEPS = QUANTILE_COUNT - 1


def keyed_uniform(seed: int, request: int, what: int) -> float:
    """One number in [0, 1), fixed by its key."""
    return splitmix64(splitmix64(seed ^ request) + what) * HASH_TO_UNIT


class SimulatedEndpoint:
    """One endpoint. `seed` also turns its bursts round the span, so that seeds differ in when."""

    def __init__(self, model: EndpointModel, place: int, seed: int, span: tuple[int, int]) -> None:
        self.model, self.place = model, place
        self.seed = splitmix64(seed * 1_000_003 + place)
        self.slot_free_times = [0] * model.slots  # when each slot is free again
        heapify(self.slot_free_times)
        self.attempt_ends: list[int] = []  # when each attempt here ends
        start, end = span
        turn = int(keyed_uniform(seed, place, 99) * (end - start)) if seed else 0
        self.bursts = [shift_burst(one, turn, start, end) for one in model.bursts]

    def count_in_flight(self, now: int) -> int:
        under_way = self.attempt_ends
        while under_way and under_way[0] <= now:
            heappop(under_way)
        return len(under_way)

    def serve(
        self, now: int, cls: int, scale: float, key: int, copy: int, timeout: int
    ) -> tuple[int, int, int]:
        """Outcome, µs until it, and the others found in flight; `scale` multiplies the service."""
        model, found = self.model, self.count_in_flight(now)
        for burst in self.bursts:
            if burst.start <= now < burst.end:
                return self._fail(burst, timeout, found)
        if model.chance and keyed_uniform(self.seed, key, copy * 4 + 1) < model.chance:
            return self._fail(model.failed, timeout, found)
        if model.most and found >= model.most and keyed_uniform(self.seed, key, copy * 4 + 2) < model.turned:
            return FULL, min(timeout, REJECT_DELAY_US), found
        took = self._service_us(now, cls, key, found) * scale
        if self.slot_free_times:
            start = max(now, self.slot_free_times[0])
            end = start + int(took)
            heapreplace(self.slot_free_times, end)
        else:
            end = now + int(took)
        heappush(self.attempt_ends, end)
        if end - now > timeout:
            return TIMEOUT, timeout, found
        return OK, max(1, end - now), found

    def _service_us(self, now: int, cls: int, key: int, found: int) -> float:
        model = self.model
        # Keyed by the request alone: what is heavy is heavy everywhere.
        at = keyed_uniform(0, key, 0) * QUANTILE_STEPS
        low = int(at)
        values = model.quantiles[cls]
        took = values[low] + (values[low + 1] - values[low]) * (at - low)
        beside = min(found, model.slots - 1) if model.slots else found
        took *= 1.0 + model.slow * beside
        if model.cold and model.boot <= now < model.warm:
            took *= model.cold[(now - model.boot) * len(model.cold) // (model.warm - model.boot)]
        return took

    @staticmethod
    def _fail(how: FailureBurst, timeout: int, found: int) -> tuple[int, int, int]:
        if how.outcome == TIMEOUT or how.delay >= timeout:
            return TIMEOUT, timeout, found
        return how.outcome, max(1, how.delay), found


def shift_burst(burst: FailureBurst, turn: int, start: int, end: int) -> FailureBurst:
    length = burst.end - burst.start
    at = start + (burst.start - start + turn) % max(1, end - start)
    return FailureBurst(at, at + length, burst.outcome, burst.delay)


class SimulatedFleet:
    """All servers of one replay."""

    def __init__(self, model: FleetModel, seed: int, span: tuple[int, int]) -> None:
        self.work_scaling, self.network_delays = model.works, model.away_us
        self.endpoints = [
            SimulatedEndpoint(one, place, seed, span) for place, one in enumerate(model.endpoints)
        ]

    def network_delay_us(self, origin: str, zone: str) -> int:
        return int(self.network_delays.get(f"{origin}>{zone}", 0.0))

    def service_scale(self, cls: int, work_us: int) -> float:
        work = self.work_scaling[cls]
        return (work_us / work.usual) ** work.power if work_us > 0 and work.power else 1.0
