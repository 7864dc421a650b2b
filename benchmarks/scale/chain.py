"""Tiers of sidecars on a simulated clock, each with the real policy module: how retries multiply.

As the protocol page specifies, each endpoint of a tier has a sidecar of its own that sends to the next
tier. To serve a request, the endpoint makes one call there with the remaining time, and responds 500
if the call fails. Only the endpoints of the last tier have a behaviour of their own. A client that
disconnects cancels nothing in the tiers below: requests there end by the deadline alone.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from woadyard.interface import (
    CANCELLED,
    ERROR,
    LIST_FULL,
    OK,
    READY,
    TIMEOUT,
    Action,
    Arrival,
    Cancel,
    Entry,
    Fail,
    Outcome,
    Refuse,
    Send,
    Settings,
    Timer,
)
from woadyard.policy import Balancer

HOP_DELAY_US = 250  # one way, between a sidecar and an endpoint or an endpoint and its own sidecar
SECOND_US = 1_000_000

# Maps the time of a request at an endpoint of the last tier to its outcome and service time, µs.
Fate = Callable[[int], tuple[int, int]]
ResponseCallback = Callable[[bool], None]


class EventLimitError(RuntimeError):
    """The chain exceeded its limit of events."""


class Clock:
    """A simulated clock that runs events in order, up to a limit; time in µs."""

    def __init__(self, max_events: int) -> None:
        self.now_us, self.remaining_events = 0, max_events
        self.event_heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = itertools.count()

    def schedule(self, due_us: int, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.event_heap, (max(due_us, self.now_us), next(self.sequence), callback, args))

    def run(self) -> None:
        while self.event_heap:
            self.remaining_events -= 1
            if self.remaining_events < 0:
                raise EventLimitError(
                    f"event limit reached at {self.now_us / SECOND_US:.1f} s, before all requests ended"
                )
            self.now_us, _, callback, args = heapq.heappop(self.event_heap)
            callback(*args)


class ChainSidecar:
    """A policy module and its requests and attempts in flight."""

    def __init__(self, chain: Chain, tier: int, number: int) -> None:
        self.chain, self.tier, self.clock = chain, tier, chain.clock
        settings = replace(chain.settings, stage=chain.stage + tier, me=number, instances=chain.width)
        self.balancer = Balancer(1_000 * tier + number, settings)
        self.response_callbacks: dict[int, ResponseCallback] = {}
        self.attempt_counts = Counter[int]()
        self.in_flight: dict[tuple[int, int], Send] = {}  # by request and attempt index
        self.request_ids = itertools.count(1)
        self.execute(self.balancer.start(0))
        entries = [Entry(n, READY, 0, 1.0, n, 0, 0) for n in range(chain.width)]
        self.execute(self.balancer.members(0, LIST_FULL, entries))

    def accept(self, expires_at_us: int, respond: ResponseCallback) -> None:
        request_id = next(self.request_ids)
        self.response_callbacks[request_id] = respond
        self.chain.requests_by_tier[self.tier][self.clock.now_us // SECOND_US] += 1
        self.execute(self.balancer.request(self.clock.now_us, Arrival(request_id, 0, expires_at_us)))

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._start_attempt(action)
                case Timer(token, delay_us):
                    self.clock.schedule(self.clock.now_us + delay_us, self._timer_expired, token)
                case Refuse(request, _) | Fail(request):
                    self._respond(request, False)
                case Cancel(request, attempt_index):
                    self.clock.schedule(
                        self.clock.now_us, self._attempt_ended, request, attempt_index, CANCELLED
                    )
                case _:
                    pass  # actions for operators and discovery

    def _timer_expired(self, token: int) -> None:
        self.execute(self.balancer.timer(self.clock.now_us, token))

    def _start_attempt(self, action: Send) -> None:
        attempt_index, now_us = self.attempt_counts[action.request], self.clock.now_us
        self.attempt_counts[action.request] += 1
        self.in_flight[action.request, attempt_index] = action
        deadline_at_us = now_us + action.timeout_us
        self.clock.schedule(deadline_at_us, self._attempt_ended, action.request, attempt_index, TIMEOUT)

        def finish(outcome: int) -> None:
            self.clock.schedule(
                self.clock.now_us + HOP_DELAY_US, self._attempt_ended, action.request, attempt_index, outcome
            )

        self.clock.schedule(
            now_us + HOP_DELAY_US,
            self.chain.serve,
            self.tier,
            action.endpoint,
            deadline_at_us,
            finish,
            now_us,
        )

    def _attempt_ended(self, request: int, attempt_index: int, outcome: int) -> None:
        if (sent := self.in_flight.pop((request, attempt_index), None)) is None:
            return  # timed out or ended before
        is_final = request not in self.response_callbacks or outcome == OK
        if outcome == OK and request in self.response_callbacks:
            self._respond(request, True)
        event = Outcome(request, attempt_index, sent.endpoint, outcome, 2 * HOP_DELAY_US, is_final)
        self.execute(self.balancer.outcome(self.clock.now_us, event))

    def _respond(self, request: int, is_success: bool) -> None:
        if (respond := self.response_callbacks.pop(request, None)) is not None:
            respond(is_success)


@dataclass
class ChainCounts:
    """What one chain counted.

    `requests_by_tier` are the requests accepted by each tier's sidecars and `last_tier_attempts` the
    attempts that reached the last tier's endpoints, both by the second in which they arrived."""

    requests_by_tier: list[Counter[int]]
    last_tier_attempts: Counter[int]
    succeeded: int
    failed: int
    latencies_us: list[
        tuple[int, int]
    ]  # per request at the first tier: when it was sent, and how long it took


class Chain:
    """`depth` tiers of `width` sidecars and endpoints each.

    `stage` is that of the first tier; at stage 0 requests enter and pass admission."""

    def __init__(
        self, settings: Settings, depth: int, width: int, fate: Fate, max_events: int, stage: int = 0
    ) -> None:
        self.settings, self.depth, self.width, self.fate, self.stage = settings, depth, width, fate, stage
        self.clock = Clock(max_events)
        self.requests_by_tier = [Counter[int]() for _ in range(depth)]
        self.last_tier_attempts = Counter[int]()
        self.succeeded = self.failed = 0
        self.latencies_us: list[tuple[int, int]] = []
        self.tiers = [[ChainSidecar(self, tier, n) for n in range(width)] for tier in range(depth)]

    def serve(
        self, tier: int, endpoint: int, expires_at_us: int, finish: Callable[[int], None], sent_at_us: int
    ) -> None:
        """Handles a request at an endpoint, which calls the next tier unless its tier is the last."""
        now_us = self.clock.now_us
        if tier + 1 < self.depth:
            next_sidecar = self.tiers[tier + 1][endpoint]
            self.clock.schedule(
                now_us + HOP_DELAY_US,
                next_sidecar.accept,
                expires_at_us,
                lambda is_success: finish(OK if is_success else ERROR),
            )  # its own sidecar runs beside it, but still needs a hop over a connection
            return
        self.last_tier_attempts[now_us // SECOND_US] += 1
        outcome, delay_us = self.fate(now_us)
        self.clock.schedule(now_us + delay_us, finish, outcome)

    def send_request(self, due_us: int, number: int, deadline_us: int) -> None:
        def respond(is_success: bool) -> None:
            self.succeeded += is_success
            self.failed += not is_success
            self.latencies_us.append((due_us, self.clock.now_us - due_us))

        self.tiers[0][number].accept(due_us + deadline_us, respond)

    def run(self, rate: float, seconds: float, deadline_us: int, seed: int) -> ChainCounts:
        """Sends `rate` requests a second to each sidecar of the first tier, until all have a response."""
        request_count = 0
        for number in range(self.width):
            rng, due_s = random.Random(f"{seed}-{number}"), 0.0
            while (due_s := due_s + rng.expovariate(rate)) < seconds:
                self.clock.schedule(
                    int(due_s * SECOND_US), self.send_request, int(due_s * SECOND_US), number, deadline_us
                )
                request_count += 1
        self.clock.run()
        assert self.succeeded + self.failed == request_count, "a request got no response, or two"
        return ChainCounts(
            self.requests_by_tier, self.last_tier_attempts, self.succeeded, self.failed, self.latencies_us
        )
