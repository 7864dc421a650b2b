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

HOP_US = 250  # one way between a sidecar and an endpoint, or an endpoint and its sidecar
SECOND = 1_000_000

# What an endpoint of the last tier makes of a request at this time: the outcome, and after how long, µs.
Fate = Callable[[int], tuple[int, int]]
Answer = Callable[[bool], None]


class TooManyError(RuntimeError):
    """The chain made more events than were allowed."""


class Clock:
    """Events in their order, at most so many; time in µs."""

    def __init__(self, most: int) -> None:
        self.now, self.left = 0, most
        self.due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()

    def at(self, due: int, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.due, (max(due, self.now), next(self.order), call, args))

    def run(self) -> None:
        while self.due:
            self.left -= 1
            if self.left < 0:
                raise TooManyError(f"the chain is not over at {self.now / SECOND:.1f} s")
            self.now, _, call, args = heapq.heappop(self.due)
            call(*args)


class Sidecar:
    """One module and the calls that it has under way."""

    def __init__(self, chain: Chain, tier: int, number: int) -> None:
        self.chain, self.tier, self.clock = chain, tier, chain.clock
        settings = replace(chain.settings, stage=chain.stage + tier, me=number, instances=chain.wide)
        self.balancer = Balancer(1_000 * tier + number, settings)
        self.answers: dict[int, Answer] = {}
        self.copies = Counter[int]()
        self.out: dict[tuple[int, int], Send] = {}  # by request and copy
        self.ids = itertools.count(1)
        self.carry(self.balancer.start(0))
        listed = [Entry(n, READY, 0, 1.0, n, 0, 0) for n in range(chain.wide)]
        self.carry(self.balancer.members(0, LIST_FULL, listed))

    def take(self, expires: int, answer: Answer) -> None:
        rid = next(self.ids)
        self.answers[rid] = answer
        self.chain.taken[self.tier][self.clock.now // SECOND] += 1
        self.carry(self.balancer.request(self.clock.now, Arrival(rid, 0, expires)))

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Timer(token, delay_us):
                    self.clock.at(self.clock.now + delay_us, self._fired, token)
                case Refuse(request, _) | Fail(request):
                    self._answer(request, False)
                case Cancel(request, copy):
                    self.clock.at(self.clock.now, self._ended, request, copy, CANCELLED)
                case _:
                    pass  # what is told to operators and discovery

    def _fired(self, token: int) -> None:
        self.carry(self.balancer.timer(self.clock.now, token))

    def _send(self, action: Send) -> None:
        copy, now = self.copies[action.request], self.clock.now
        self.copies[action.request] += 1
        self.out[action.request, copy] = action
        until = now + action.timeout_us
        self.clock.at(until, self._ended, action.request, copy, TIMEOUT)

        def back(outcome: int) -> None:
            self.clock.at(self.clock.now + HOP_US, self._ended, action.request, copy, outcome)

        self.clock.at(now + HOP_US, self.chain.serve, self.tier, action.endpoint, until, back, now)

    def _ended(self, request: int, copy: int, outcome: int) -> None:
        if (sent := self.out.pop((request, copy), None)) is None:
            return  # timed out, or answered before
        over = request not in self.answers or outcome == OK
        if outcome == OK and request in self.answers:
            self._answer(request, True)
        event = Outcome(request, copy, sent.endpoint, outcome, 2 * HOP_US, over)
        self.carry(self.balancer.outcome(self.clock.now, event))

    def _answer(self, request: int, good: bool) -> None:
        if (answer := self.answers.pop(request, None)) is not None:
            answer(good)


@dataclass
class Counts:
    """Of one chain, by the second in which a request was taken; `taken` at each tier's sidecars, and
    `last` the attempts that reached the last tier's endpoints."""

    taken: list[Counter[int]]
    last: Counter[int]
    good: int
    failed: int
    took_us: list[tuple[int, int]]  # of each first request: when it was asked, and how long it took


class Chain:
    """`depth` tiers of `wide` sidecars and endpoints each; `stage` is the first's: 0 where requests
    enter, and admission looks at each."""

    def __init__(
        self, settings: Settings, depth: int, wide: int, fate: Fate, events_most: int, stage: int = 0
    ) -> None:
        self.settings, self.depth, self.wide, self.fate, self.stage = settings, depth, wide, fate, stage
        self.clock = Clock(events_most)
        self.taken = [Counter[int]() for _ in range(depth)]
        self.last = Counter[int]()
        self.good = self.failed = 0
        self.took_us: list[tuple[int, int]] = []
        self.tiers = [[Sidecar(self, tier, n) for n in range(wide)] for tier in range(depth)]

    def serve(self, tier: int, endpoint: int, until: int, back: Callable[[int], None], sent: int) -> None:
        """An endpoint has a request: it calls the next tier, or it is the last."""
        now = self.clock.now
        if tier + 1 < self.depth:
            below = self.tiers[tier + 1][endpoint]
            self.clock.at(
                now + HOP_US, below.take, until, lambda good: back(OK if good else ERROR)
            )  # its own sidecar is beside it, and yet takes a connection
            return
        self.last[now // SECOND] += 1
        outcome, after = self.fate(now)
        self.clock.at(now + after, back, outcome)

    def ask(self, due: int, number: int, deadline_us: int) -> None:
        def answered(good: bool) -> None:
            self.good += good
            self.failed += not good
            self.took_us.append((due, self.clock.now - due))

        self.tiers[0][number].take(due + deadline_us, answered)

    def run(self, rate: float, seconds: float, deadline_us: int, seed: int) -> Counts:
        """`rate` requests a second at each of the first sidecars; until all of them are answered."""
        asked = 0
        for number in range(self.wide):
            rng, at = random.Random(f"{seed}-{number}"), 0.0
            while (at := at + rng.expovariate(rate)) < seconds:
                self.clock.at(int(at * SECOND), self.ask, int(at * SECOND), number, deadline_us)
                asked += 1
        self.clock.run()
        assert self.good + self.failed == asked, "a request was answered never, or twice"
        return Counts(self.taken, self.last, self.good, self.failed, self.took_us)
