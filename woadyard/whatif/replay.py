"""One replay: runs the real `Balancer` of each recorded sidecar in simulated time against the model."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from woadyard.interface import (
    CANCELLED,
    ERROR,
    FULL,
    LIST_FAILED,
    OK,
    Action,
    Arrival,
    Cancel,
    Fail,
    Outcome,
    Refuse,
    Send,
    Timer,
)
from woadyard.policy import Balancer, splitmix64
from woadyard.whatif.model import FleetModel
from woadyard.whatif.observations import AttemptColumns, Observations, RequestColumns, to_columns
from woadyard.whatif.simulated_fleet import SimulatedEndpoint, SimulatedFleet, keyed_uniform
from woadyard.whatif.trace import (
    ANSWERED,
    FAILED,
    REFUSED,
    ListApplied,
    RecordedRequest,
    SettingsApplied,
    StateChange,
)
from woadyard.whatif.workload import SidecarRecording, Workload

# Resolution of the sidecar's timers.
TIMER_TICK_US = 1_000
# A sampled request represents others, which arrive at most this long before or after it.
SAMPLE_SPREAD_US = 500_000
# Outcomes after which the connection can be reused.
REUSABLE_OUTCOMES = frozenset((OK, ERROR, FULL))


class SimulatedRequest:
    """A request with its attempts, by attempt index."""

    __slots__ = ("aim_us", "at", "endpoints", "expires", "in_flight", "is_open", "key", "recorded", "scale")

    def __init__(self, recorded: RecordedRequest, start_us: int, aim_us: int, key: int, scale: float) -> None:
        self.recorded, self.at, self.aim_us, self.key, self.scale = recorded, start_us, aim_us, key, scale
        self.expires = start_us + recorded.expires - recorded.at
        self.is_open = True
        self.endpoints: list[int] = []  # the endpoint number of each attempt
        self.in_flight: list[bool] = []  # whether each attempt is still in flight


class SimulatedSidecar:
    """One balancer with the state that the sidecar process keeps around it."""

    def __init__(
        self, recording: SidecarRecording, number: int, seed: int, proposed_factors: dict[int, float] | None
    ) -> None:
        self.recording, self.number, self.proposed_factors = recording, number, proposed_factors
        trace_start = recording.trace.started
        settings = replace(recording.settings, shares_verdicts=False)
        self.balancer = Balancer(splitmix64(trace_start.seed ^ seed), settings)
        self.requests: dict[int, SimulatedRequest] = {}
        self.last_request_id = 0
        # By endpoint number: when each idle connection became idle.
        self.idle_since: dict[int, list[int]] = {}
        self.recorded_weights: dict[str, float] = {}

    def apply_change(self, now: int, change: StateChange, workload: Workload) -> list[Action]:
        balancer = self.balancer
        if isinstance(change, SettingsApplied):
            return balancer.retune(now, replace(change.settings, shares_verdicts=False))
        if isinstance(change, ListApplied):
            entries = (
                []
                if change.mode == LIST_FAILED
                else [self.recording.parse_entry(raw_entry) for raw_entry in change.entries]
            )
            actions = list(balancer.members(now, change.mode, entries))
        else:
            self.recorded_weights, actions = change.factors, []
        factors = (
            self.proposed_factors
            if self.proposed_factors is not None
            else workload.factors_by_number(self.recorded_weights)
        )
        return actions + list(balancer.trust(now, factors))

    def take_connection(self, now: int, endpoint: int) -> bool:
        """Take an idle connection or open a new one; return True if it is new."""
        idle_connections, idle_timeout_us = self.idle_since.get(endpoint), self.balancer.settings.idle_us
        if not idle_connections:
            return True
        return idle_timeout_us > 0 and now - idle_connections.pop() > idle_timeout_us

    def release_connection(self, now: int, endpoint: int, outcome: int) -> None:
        if outcome in REUSABLE_OUTCOMES:
            self.idle_since.setdefault(endpoint, []).append(now)


class Replay:
    """Runs events in order of time; events of the same time run in the order they were scheduled."""

    def __init__(
        self, workload: Workload, model: FleetModel, seed: int, weights: dict[str, float] | None
    ) -> None:
        self.workload, self.seed = workload, seed
        factors = None if weights is None else workload.factors_by_number(weights)
        self.fleet = SimulatedFleet(model, seed, (workload.start, workload.end))
        self.sidecars = [
            SimulatedSidecar(recording, number, seed, factors)
            for number, recording in enumerate(workload.recordings)
        ]
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_count = 0
        self.requests: list[tuple[int, ...]] = []
        self.attempts: list[tuple[int, ...]] = []

    def run(self) -> Observations:
        for sidecar in self.sidecars:
            recording = sidecar.recording
            start_us = recording.trace.started.at + recording.clock_shift_us
            self.execute(start_us, sidecar, sidecar.balancer.start(start_us))
            for change in recording.trace.changes:
                self.schedule(
                    max(start_us, change.at + recording.clock_shift_us), self.on_change, sidecar, change
                )
        arrivals = sorted(
            (arrival_us, sidecar.number, recorded.request, sample_index, recorded)
            for sidecar in self.sidecars
            for arrival_us, sample_index, recorded in expand_sample(sidecar.recording, sidecar.number)
        )
        for arrival_us, number, _, sample_index, recorded in arrivals:
            self.run_until(arrival_us)
            self.on_arrival(arrival_us, self.sidecars[number], sample_index, recorded)
        self.run_until(None)
        self.requests.sort()
        self.attempts.sort()
        return Observations(
            RequestColumns(*to_columns(self.requests, 6)), AttemptColumns(*to_columns(self.attempts, 7))
        )

    def schedule(self, time_us: int, callback: Callable[..., None], *args: Any) -> None:
        self.event_count += 1
        heappush(self.events, (time_us, self.event_count, callback, args))

    def run_until(self, end_us: int | None) -> None:
        events = self.events
        while events and (end_us is None or events[0][0] <= end_us):
            now, _, callback, args = heappop(events)
            callback(now, *args)

    def on_change(self, now: int, sidecar: SimulatedSidecar, change: StateChange) -> None:
        self.execute(now, sidecar, sidecar.apply_change(now, change, self.workload))

    def on_timer(self, now: int, sidecar: SimulatedSidecar, token: int) -> None:
        self.execute(now, sidecar, sidecar.balancer.timer(now, token))

    def on_arrival(
        self, now: int, sidecar: SimulatedSidecar, sample_index: int, recorded: RecordedRequest
    ) -> None:
        sidecar.last_request_id += 1
        request_id = sidecar.last_request_id
        scale = self.fleet.service_scale(recorded.cls, recorded.work_us)
        request_key = splitmix64(self.seed * 31 + sidecar.number) ^ splitmix64(
            recorded.request * 64 + sample_index
        )
        live_request = sidecar.requests[request_id] = SimulatedRequest(
            recorded, now, sidecar.recording.request_aim_us(recorded), request_key, scale
        )
        arrival = Arrival(
            request_id,
            recorded.cls,
            live_request.expires,
            recorded.tenant,
            recorded.key,
            recorded.work_us,
            recorded.repeated,
            recorded.home,
        )
        self.execute(now, sidecar, sidecar.balancer.request(now, arrival))

    def execute(self, now: int, sidecar: SimulatedSidecar, actions: Sequence[Action]) -> None:
        for action in list(actions):
            match action:
                case Send(request, endpoint, timeout_us):
                    self.start_attempt(now, sidecar, request, endpoint, timeout_us)
                case Timer(token, delay_us):
                    self.schedule(now + delay_us + TIMER_TICK_US // 2, self.on_timer, sidecar, token)
                case Refuse(request, _):
                    self.end_request(now, sidecar, request, REFUSED)
                case Fail(request):
                    self.end_request(now, sidecar, request, FAILED)
                case Cancel(request, copy):
                    live_request = sidecar.requests.get(request)
                    if live_request is not None and live_request.in_flight[copy]:
                        self.schedule(now, self.end_attempt, sidecar, request, copy, CANCELLED, now)

    def start_attempt(
        self, now: int, sidecar: SimulatedSidecar, request_id: int, endpoint: int, timeout_us: int
    ) -> None:
        live_request = sidecar.requests[request_id]
        attempt_index, position = len(live_request.in_flight), self.workload.index_by_number[endpoint]
        live_request.in_flight.append(True)
        live_request.endpoints.append(endpoint)
        simulated_endpoint = self.fleet.simulated_endpoints[position]
        extra_delay_us = self.fleet.network_delay_us(sidecar.recording.zone, simulated_endpoint.model.zone)
        remaining_us = max(1, min(timeout_us or live_request.expires - now, live_request.expires - now))
        outcome, latency_us, in_flight_count = simulated_endpoint.serve(
            now, live_request.recorded.cls, live_request.scale, live_request.key, attempt_index, remaining_us
        )
        latency_us = min(remaining_us, latency_us + extra_delay_us)
        is_new_connection = sidecar.take_connection(now, endpoint)
        self.attempts.append(
            (
                now,
                position,
                in_flight_count,
                *self._attempt_flags(
                    now, sidecar, simulated_endpoint, live_request, in_flight_count, is_new_connection
                ),
            )
        )
        self.schedule(now + latency_us, self.end_attempt, sidecar, request_id, attempt_index, outcome, now)

    @staticmethod
    def _attempt_flags(
        now: int,
        sidecar: SimulatedSidecar,
        simulated_endpoint: SimulatedEndpoint,
        live_request: SimulatedRequest,
        in_flight_count: int,
        is_new_connection: bool,
    ) -> tuple[int, int, int, int]:
        model = simulated_endpoint.model
        is_cold = model.boot <= now < model.warm
        is_extrapolated = (
            model.thin[live_request.recorded.cls]
            or in_flight_count > model.reach
            or (is_cold and not model.cold)
        )
        return (
            int(model.zone != sidecar.recording.zone),
            int(is_new_connection),
            int(is_extrapolated),
            int(is_cold),
        )

    def end_attempt(
        self,
        now: int,
        sidecar: SimulatedSidecar,
        request_id: int,
        attempt_index: int,
        outcome: int,
        sent_us: int,
    ) -> None:
        live_request = sidecar.requests.get(request_id)
        if live_request is None or not live_request.in_flight[attempt_index]:
            return
        live_request.in_flight[attempt_index] = False
        sidecar.release_connection(now, live_request.endpoints[attempt_index], outcome)
        if outcome == OK and live_request.is_open:
            self.record_response(now, live_request, ANSWERED)
        attempt_outcome = Outcome(
            request_id,
            attempt_index,
            live_request.endpoints[attempt_index],
            outcome,
            now - sent_us,
            not live_request.is_open,
        )
        self.execute(now, sidecar, sidecar.balancer.outcome(now, attempt_outcome))
        if not live_request.is_open and not any(live_request.in_flight):
            sidecar.requests.pop(request_id, None)

    def end_request(self, now: int, sidecar: SimulatedSidecar, request_id: int, result: int) -> None:
        """End a request without a response from an endpoint, unless the client already has its result."""
        live_request = sidecar.requests.get(request_id)
        if live_request is not None and live_request.is_open:
            self.record_response(now, live_request, result)
            if not any(live_request.in_flight):
                del sidecar.requests[request_id]

    def record_response(self, now: int, live_request: SimulatedRequest, result: int) -> None:
        live_request.is_open = False
        recorded = live_request.recorded
        if recorded.status:  # 0: the client disconnected; the request is not counted
            self.requests.append(
                (
                    live_request.at,
                    recorded.cls,
                    recorded.tenant,
                    result,
                    now - live_request.at,
                    live_request.aim_us,
                )
            )


def expand_sample(
    recording: SidecarRecording, sidecar_number: int
) -> Iterator[tuple[int, int, RecordedRequest]]:
    """Yield (µs, sample index, request): each recorded request, then the unsampled ones it represents."""
    sample_rate = recording.trace.started.sample
    for recorded in recording.trace.requests:
        yield recorded.at + recording.clock_shift_us, 0, recorded
        if sample_rate < 1.0:
            represented = 1.0 / sample_rate + keyed_uniform(sidecar_number, recorded.request, 7)
            for sample_index in range(1, int(represented)):
                offset_us = int(
                    (keyed_uniform(sidecar_number, recorded.request, 8 + sample_index) - 0.5)
                    * 2
                    * SAMPLE_SPREAD_US
                )
                yield (
                    max(recording.clock_shift_us, recorded.at + recording.clock_shift_us + offset_us),
                    sample_index,
                    recorded,
                )
