"""One replay: the real `Balancer` of each recorded sidecar, in simulated time, against the model."""

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

# The driver's timers have no finer steps.
TIMER_TICK_US = 1_000
# A request of a sample stands for others: they come within this before or after it.
SAMPLE_SPREAD_US = 500_000
# Connections outlive an attempt that ended so.
REUSABLE_OUTCOMES = frozenset((OK, ERROR, FULL))


class SimulatedRequest:
    """A request under way."""

    __slots__ = ("aim_us", "at", "endpoints", "expires", "in_flight", "is_open", "key", "recorded", "scale")

    def __init__(self, asked: RecordedRequest, at: int, aim: int, key: int, scale: float) -> None:
        self.recorded, self.at, self.aim_us, self.key, self.scale = asked, at, aim, key, scale
        self.expires = at + asked.expires - asked.at
        self.is_open = True
        self.endpoints: list[int] = []  # each attempt's endpoint
        self.in_flight: list[bool] = []  # whether it is


class SimulatedSidecar:
    """One balancer and what its shell would keep."""

    def __init__(
        self, side: SidecarRecording, number: int, seed: int, weights: dict[int, float] | None
    ) -> None:
        self.recording, self.number, self.proposed_factors = side, number, weights
        start = side.trace.started
        settings = replace(side.settings, shares_verdicts=False)
        self.balancer = Balancer(splitmix64(start.seed ^ seed), settings)
        self.requests: dict[int, SimulatedRequest] = {}
        self.last_request_id = 0
        self.idle_since: dict[int, list[int]] = {}  # by endpoint, since when each connection is idle
        self.recorded_weights: dict[str, float] = {}

    def apply_change(self, now: int, change: StateChange, scene: Workload) -> list[Action]:
        balancer = self.balancer
        if isinstance(change, SettingsApplied):
            return balancer.retune(now, replace(change.settings, shares_verdicts=False))
        if isinstance(change, ListApplied):
            entries = (
                []
                if change.mode == LIST_FAILED
                else [self.recording.parse_entry(raw) for raw in change.entries]
            )
            done = list(balancer.members(now, change.mode, entries))
        else:
            self.recorded_weights, done = change.factors, []
        factors = (
            self.proposed_factors
            if self.proposed_factors is not None
            else scene.factors_by_number(self.recorded_weights)
        )
        return done + list(balancer.trust(now, factors))

    def take_connection(self, now: int, endpoint: int) -> bool:
        """Take a connection; True where it is a new one."""
        idle, keeps = self.idle_since.get(endpoint), self.balancer.settings.idle_us
        if not idle:
            return True
        return keeps > 0 and now - idle.pop() > keeps

    def release_connection(self, now: int, endpoint: int, outcome: int) -> None:
        if outcome in REUSABLE_OUTCOMES:
            self.idle_since.setdefault(endpoint, []).append(now)


class Replay:
    """Events in order of time; those of one instant in the order they were made."""

    def __init__(
        self, scene: Workload, model: FleetModel, seed: int, weights: dict[str, float] | None
    ) -> None:
        self.workload, self.seed = scene, seed
        factors = None if weights is None else scene.factors_by_number(weights)
        self.fleet = SimulatedFleet(model, seed, (scene.start, scene.end))
        self.sidecars = [
            SimulatedSidecar(side, at, seed, factors) for at, side in enumerate(scene.recordings)
        ]
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.event_count = 0
        self.requests: list[tuple[int, ...]] = []
        self.attempts: list[tuple[int, ...]] = []

    def run(self) -> Observations:
        for sidecar in self.sidecars:
            side = sidecar.recording
            first = side.trace.started.at + side.clock_shift_us
            self.execute(first, sidecar, sidecar.balancer.start(first))
            for change in side.trace.changes:
                self.schedule(max(first, change.at + side.clock_shift_us), self.on_change, sidecar, change)
        arrivals = sorted(
            (at, sidecar.number, asked.request, order, asked)
            for sidecar in self.sidecars
            for at, order, asked in expand_sample(sidecar.recording, sidecar.number)
        )
        for at, number, _, order, asked in arrivals:
            self.run_until(at)
            self.on_arrival(at, self.sidecars[number], order, asked)
        self.run_until(None)
        self.requests.sort()
        self.attempts.sort()
        return Observations(
            RequestColumns(*to_columns(self.requests, 6)), AttemptColumns(*to_columns(self.attempts, 7))
        )

    def schedule(self, at: int, act: Callable[..., None], *args: Any) -> None:
        self.event_count += 1
        heappush(self.events, (at, self.event_count, act, args))

    def run_until(self, end: int | None) -> None:
        events = self.events
        while events and (end is None or events[0][0] <= end):
            now, _, act, args = heappop(events)
            act(now, *args)

    def on_change(self, now: int, sidecar: SimulatedSidecar, change: StateChange) -> None:
        self.execute(now, sidecar, sidecar.apply_change(now, change, self.workload))

    def on_timer(self, now: int, sidecar: SimulatedSidecar, token: int) -> None:
        self.execute(now, sidecar, sidecar.balancer.timer(now, token))

    def on_arrival(self, now: int, sidecar: SimulatedSidecar, order: int, asked: RecordedRequest) -> None:
        sidecar.last_request_id += 1
        rid = sidecar.last_request_id
        scale = self.fleet.service_scale(asked.cls, asked.work_us)
        key = splitmix64(self.seed * 31 + sidecar.number) ^ splitmix64(asked.request * 64 + order)
        live = sidecar.requests[rid] = SimulatedRequest(
            asked, now, sidecar.recording.aim_us(asked), key, scale
        )
        event = Arrival(
            rid, asked.cls, live.expires, asked.tenant, asked.key, asked.work_us, asked.repeated, asked.home
        )
        self.execute(now, sidecar, sidecar.balancer.request(now, event))

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
                    live = sidecar.requests.get(request)
                    if live is not None and live.in_flight[copy]:
                        self.schedule(now, self.end_attempt, sidecar, request, copy, CANCELLED, now)

    def start_attempt(
        self, now: int, sidecar: SimulatedSidecar, request: int, endpoint: int, timeout: int
    ) -> None:
        live = sidecar.requests[request]
        copy, place = len(live.in_flight), self.workload.index_by_number[endpoint]
        live.in_flight.append(True)
        live.endpoints.append(endpoint)
        server = self.fleet.endpoints[place]
        away = self.fleet.network_delay_us(sidecar.recording.zone, server.model.zone)
        left = max(1, min(timeout or live.expires - now, live.expires - now))
        outcome, took, found = server.serve(now, live.recorded.cls, live.scale, live.key, copy, left)
        took = min(left, took + away)
        fresh = sidecar.take_connection(now, endpoint)
        self.attempts.append(
            (now, place, found, *self._attempt_flags(now, sidecar, server, live, found, fresh))
        )
        self.schedule(now + took, self.end_attempt, sidecar, request, copy, outcome, now)

    @staticmethod
    def _attempt_flags(
        now: int,
        sidecar: SimulatedSidecar,
        server: SimulatedEndpoint,
        live: SimulatedRequest,
        found: int,
        fresh: bool,
    ) -> tuple[int, int, int, int]:
        model = server.model
        cold = model.boot <= now < model.warm
        thin = model.thin[live.recorded.cls] or found > model.reach or (cold and not model.cold)
        return int(model.zone != sidecar.recording.zone), int(fresh), int(thin), int(cold)

    def end_attempt(
        self, now: int, sidecar: SimulatedSidecar, request: int, copy: int, outcome: int, sent: int
    ) -> None:
        live = sidecar.requests.get(request)
        if live is None or not live.in_flight[copy]:
            return
        live.in_flight[copy] = False
        sidecar.release_connection(now, live.endpoints[copy], outcome)
        if outcome == OK and live.is_open:
            self.record_response(now, live, ANSWERED)
        event = Outcome(request, copy, live.endpoints[copy], outcome, now - sent, not live.is_open)
        self.execute(now, sidecar, sidecar.balancer.outcome(now, event))
        if not live.is_open and not any(live.in_flight):
            sidecar.requests.pop(request, None)

    def end_request(self, now: int, sidecar: SimulatedSidecar, request: int, end: int) -> None:
        """The module's own last word, where the caller still waits."""
        live = sidecar.requests.get(request)
        if live is not None and live.is_open:
            self.record_response(now, live, end)
            if not any(live.in_flight):
                del sidecar.requests[request]

    def record_response(self, now: int, live: SimulatedRequest, end: int) -> None:
        live.is_open = False
        asked = live.recorded
        if asked.status:  # else its caller left, and counts for nothing
            self.requests.append((live.at, asked.cls, asked.tenant, end, now - live.at, live.aim_us))


def expand_sample(side: SidecarRecording, number: int) -> Iterator[tuple[int, int, RecordedRequest]]:
    """Each recorded request, and as many more near it as it stands for."""
    sample = side.trace.started.sample
    for asked in side.trace.requests:
        yield asked.at + side.clock_shift_us, 0, asked
        if sample < 1.0:
            more = 1.0 / sample + keyed_uniform(number, asked.request, 7)
            for order in range(1, int(more)):
                spread = int((keyed_uniform(number, asked.request, 8 + order) - 0.5) * 2 * SAMPLE_SPREAD_US)
                yield max(side.clock_shift_us, asked.at + side.clock_shift_us + spread), order, asked
