"""The modelled endpoints in simulated time: the outcome of each attempt and its delay.

Random numbers are derived from the request and the attempt instead of being drawn in sequence, so
both arms of a replay get the same ones in any order of events (common random numbers).
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace

from woadyard.interface import FULL, OK, TIMEOUT
from woadyard.policy import splitmix64
from woadyard.whatif.model import QUANTILE_COUNT, EndpointModel, FailureBurst, FleetModel

HASH_TO_UNIT = 1.0 / (1 << 64)
# Delay of a rejection, before any network delay is added.
REJECT_DELAY_US = 500
QUANTILE_STEPS = QUANTILE_COUNT - 1


def keyed_uniform(seed: int, request: int, purpose: int) -> float:
    """Return a number in [0, 1) that depends on the arguments only."""
    return splitmix64(splitmix64(seed ^ request) + purpose) * HASH_TO_UNIT


class SimulatedEndpoint:
    """One endpoint. A nonzero `seed` also rotates its failure bursts within the span, so that their
    times differ between seeds."""

    def __init__(self, model: EndpointModel, position: int, seed: int, span: tuple[int, int]) -> None:
        self.model, self.position = model, position
        self.seed = splitmix64(seed * 1_000_003 + position)
        self.slot_free_times = [0] * model.slots  # when each slot becomes free
        heapify(self.slot_free_times)
        self.attempt_ends: list[int] = []  # when each attempt in flight ends
        start, end = span
        rotation_us = int(keyed_uniform(seed, position, 99) * (end - start)) if seed else 0
        self.bursts = [shift_burst(burst, rotation_us, start, end) for burst in model.bursts]

    def count_in_flight(self, now: int) -> int:
        ends = self.attempt_ends
        while ends and ends[0] <= now:
            heappop(ends)
        return len(ends)

    def serve(
        self, now: int, cls: int, scale: float, request_key: int, attempt_index: int, timeout_us: int
    ) -> tuple[int, int, int]:
        """Return the outcome, the µs until it, and the number of other attempts in flight.

        `scale` multiplies the service time."""
        model, in_flight = self.model, self.count_in_flight(now)
        for burst in self.bursts:
            if burst.start <= now < burst.end:
                return self._fail(burst, timeout_us, in_flight)
        if model.chance and keyed_uniform(self.seed, request_key, attempt_index * 4 + 1) < model.chance:
            return self._fail(model.failed, timeout_us, in_flight)
        if (
            model.most
            and in_flight >= model.most
            and keyed_uniform(self.seed, request_key, attempt_index * 4 + 2) < model.turned
        ):
            return FULL, min(timeout_us, REJECT_DELAY_US), in_flight
        service_us = self._service_us(now, cls, request_key, in_flight) * scale
        if self.slot_free_times:
            start = max(now, self.slot_free_times[0])
            end = start + int(service_us)
            heapreplace(self.slot_free_times, end)
        else:
            end = now + int(service_us)
        heappush(self.attempt_ends, end)
        if end - now > timeout_us:
            return TIMEOUT, timeout_us, in_flight
        return OK, max(1, end - now), in_flight

    def _service_us(self, now: int, cls: int, request_key: int, in_flight: int) -> float:
        model = self.model
        # Derived from the request only: an expensive request is expensive at every endpoint.
        rank = keyed_uniform(0, request_key, 0) * QUANTILE_STEPS
        lower = int(rank)
        quantiles_us = model.quantiles[cls]
        service_us = quantiles_us[lower] + (quantiles_us[lower + 1] - quantiles_us[lower]) * (rank - lower)
        concurrent = min(in_flight, model.slots - 1) if model.slots else in_flight
        service_us *= 1.0 + model.slow * concurrent
        if model.cold and model.boot <= now < model.warm:
            service_us *= model.cold[(now - model.boot) * len(model.cold) // (model.warm - model.boot)]
        return service_us

    @staticmethod
    def _fail(failure: FailureBurst, timeout_us: int, in_flight: int) -> tuple[int, int, int]:
        if failure.outcome == TIMEOUT or failure.delay >= timeout_us:
            return TIMEOUT, timeout_us, in_flight
        return failure.outcome, max(1, failure.delay), in_flight


def shift_burst(burst: FailureBurst, rotation_us: int, start: int, end: int) -> FailureBurst:
    length_us = burst.end - burst.start
    shifted_start = start + (burst.start - start + rotation_us) % max(1, end - start)
    return FailureBurst(shifted_start, shifted_start + length_us, burst.outcome, burst.delay)


class SimulatedFleet:
    """All endpoints of one replay."""

    def __init__(self, model: FleetModel, seed: int, span: tuple[int, int]) -> None:
        self.work_scaling, self.network_delays = model.works, model.away_us
        self.simulated_endpoints = [
            SimulatedEndpoint(endpoint_model, position, seed, span)
            for position, endpoint_model in enumerate(model.endpoints)
        ]

    def network_delay_us(self, origin: str, zone: str) -> int:
        return int(self.network_delays.get(f"{origin}>{zone}", 0.0))

    def service_scale(self, cls: int, work_us: int) -> float:
        scaling = self.work_scaling[cls]
        return (work_us / scaling.usual) ** scaling.power if work_us > 0 and scaling.power else 1.0
