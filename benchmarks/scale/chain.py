"""Tiers of sidecars on a simulated clock, each the real module: what becomes of retries below.

As the protocol page has it: each endpoint of a tier has a sidecar of its own that sends to the next
tier; to answer a request it makes one call there, with the time that remains, and fails (500) if
that fails. Only the endpoints of the last tier behave by themselves. Nobody is called off below a
caller that left: the deadline alone ends what runs there.
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

HOP_DELAY_US = 250  # one way between a sidecar and an endpoint, or an endpoint and its sidecar
SECOND_US = 1_000_000

# What an endpoint of the last tier makes of a request at this time: the outcome, and after how long, µs.
Fate = Callable[[int], tuple[int, int]]
ResponseCallback = Callable[[bool], None]


class EventLimitError(RuntimeError):
    """The chain made more events than were allowed."""


class Clock:
    """Events in their order, at most so many; time in µs."""

    def __init__(self, most: int) -> None:
        self.now_us, self.remaining_events = 0, most
        self.event_heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = itertools.count()

    def schedule(self, due: int, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.event_heap, (max(due, self.now_us), next(self.sequence), call, args))

    def run(self) -> None:
        while self.event_heap:
            self.remaining_events -= 1
            if self.remaining_events < 0:
                raise EventLimitError(f"the chain is not over at {self.now_us / SECOND_US:.1f} s")
            self.now_us, _, call, args = heapq.heappop(self.event_heap)
            call(*args)


class ChainSidecar:
    """One module and the calls that it has under way."""

    def __init__(self, chain: Chain, tier: int, number: int) -> None:
        self.chain, self.tier, self.clock = chain, tier, chain.clock
        settings = replace(chain.settings, stage=chain.stage + tier, me=number, instances=chain.width)
        self.balancer = Balancer(1_000 * tier + number, settings)
        self.response_callbacks: dict[int, ResponseCallback] = {}
        self.attempt_counts = Counter[int]()
        self.in_flight: dict[tuple[int, int], Send] = {}  # by request and copy
        self.request_ids = itertools.count(1)
        self.execute(self.balancer.start(0))
        listed = [Entry(n, READY, 0, 1.0, n, 0, 0) for n in range(chain.width)]
        self.execute(self.balancer.members(0, LIST_FULL, listed))

    def accept(self, expires: int, answer: ResponseCallback) -> None:
        rid = next(self.request_ids)
        self.response_callbacks[rid] = answer
        self.chain.requests_by_tier[self.tier][self.clock.now_us // SECOND_US] += 1
        self.execute(self.balancer.request(self.clock.now_us, Arrival(rid, 0, expires)))

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._start_attempt(action)
                case Timer(token, delay_us):
                    self.clock.schedule(self.clock.now_us + delay_us, self._timer_expired, token)
                case Refuse(request, _) | Fail(request):
                    self._respond(request, False)
                case Cancel(request, copy):
                    self.clock.schedule(self.clock.now_us, self._attempt_ended, request, copy, CANCELLED)
                case _:
                    pass  # what is told to operators and discovery

    def _timer_expired(self, token: int) -> None:
        self.execute(self.balancer.timer(self.clock.now_us, token))

    def _start_attempt(self, action: Send) -> None:
        copy, now = self.attempt_counts[action.request], self.clock.now_us
        self.attempt_counts[action.request] += 1
        self.in_flight[action.request, copy] = action
        until = now + action.timeout_us
        self.clock.schedule(until, self._attempt_ended, action.request, copy, TIMEOUT)

        def back(outcome: int) -> None:
            self.clock.schedule(
                self.clock.now_us + HOP_DELAY_US, self._attempt_ended, action.request, copy, outcome
            )

        self.clock.schedule(
            now + HOP_DELAY_US, self.chain.serve, self.tier, action.endpoint, until, back, now
        )

    def _attempt_ended(self, request: int, copy: int, outcome: int) -> None:
        if (sent := self.in_flight.pop((request, copy), None)) is None:
            return  # timed out, or answered before
        over = request not in self.response_callbacks or outcome == OK
        if outcome == OK and request in self.response_callbacks:
            self._respond(request, True)
        event = Outcome(request, copy, sent.endpoint, outcome, 2 * HOP_DELAY_US, over)
        self.execute(self.balancer.outcome(self.clock.now_us, event))

    def _respond(self, request: int, good: bool) -> None:
        if (answer := self.response_callbacks.pop(request, None)) is not None:
            answer(good)


@dataclass
class ChainCounts:
    """Of one chain, by the second in which a request was taken; `taken` at each tier's sidecars, and
    `last` the attempts that reached the last tier's endpoints."""

    requests_by_tier: list[Counter[int]]
    last_tier_attempts: Counter[int]
    succeeded: int
    failed: int
    latencies_us: list[tuple[int, int]]  # of each first request: when it was asked, and how long it took


class Chain:
    """`depth` tiers of `wide` sidecars and endpoints each; `stage` is the first's: 0 where requests
    enter, and admission looks at each."""

    def __init__(
        self, settings: Settings, depth: int, wide: int, fate: Fate, events_most: int, stage: int = 0
    ) -> None:
        self.settings, self.depth, self.width, self.fate, self.stage = settings, depth, wide, fate, stage
        self.clock = Clock(events_most)
        self.requests_by_tier = [Counter[int]() for _ in range(depth)]
        self.last_tier_attempts = Counter[int]()
        self.succeeded = self.failed = 0
        self.latencies_us: list[tuple[int, int]] = []
        self.tiers = [[ChainSidecar(self, tier, n) for n in range(wide)] for tier in range(depth)]

    def serve(self, tier: int, endpoint: int, until: int, back: Callable[[int], None], sent: int) -> None:
        """An endpoint has a request: it calls the next tier, or it is the last."""
        now = self.clock.now_us
        if tier + 1 < self.depth:
            below = self.tiers[tier + 1][endpoint]
            self.clock.schedule(
                now + HOP_DELAY_US, below.accept, until, lambda good: back(OK if good else ERROR)
            )  # its own sidecar is beside it, and yet takes a connection
            return
        self.last_tier_attempts[now // SECOND_US] += 1
        outcome, after = self.fate(now)
        self.clock.schedule(now + after, back, outcome)

    def send_request(self, due: int, number: int, deadline_us: int) -> None:
        def answered(good: bool) -> None:
            self.succeeded += good
            self.failed += not good
            self.latencies_us.append((due, self.clock.now_us - due))

        self.tiers[0][number].accept(due + deadline_us, answered)

    def run(self, rate: float, seconds: float, deadline_us: int, seed: int) -> ChainCounts:
        """`rate` requests a second at each of the first sidecars; until all of them are answered."""
        asked = 0
        for number in range(self.width):
            rng, at = random.Random(f"{seed}-{number}"), 0.0
            while (at := at + rng.expovariate(rate)) < seconds:
                self.clock.schedule(
                    int(at * SECOND_US), self.send_request, int(at * SECOND_US), number, deadline_us
                )
                asked += 1
        self.clock.run()
        assert self.succeeded + self.failed == asked, "a request was answered never, or twice"
        return ChainCounts(
            self.requests_by_tier, self.last_tier_attempts, self.succeeded, self.failed, self.latencies_us
        )
