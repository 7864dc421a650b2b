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
from woadyard.whatif.facts import Attempts, Facts, Requests, columns
from woadyard.whatif.model import Model
from woadyard.whatif.scene import Scene, Side
from woadyard.whatif.trace import ANSWERED, FAILED, REFUSED, Asked, Change, Listed, Retuned
from woadyard.whatif.world import Server, World, luck

# The driver's timers have no finer steps.
TICK_US = 1_000
# A request of a sample stands for others: they come within this before or after it.
SPREAD_US = 500_000
# Connections outlive an attempt that ended so.
KEPT = frozenset((OK, ERROR, FULL))


class Live:
    """A request under way."""

    __slots__ = ("aim", "asked", "at", "expires", "key", "open", "out", "scale", "to")

    def __init__(self, asked: Asked, at: int, aim: int, key: int, scale: float) -> None:
        self.asked, self.at, self.aim, self.key, self.scale = asked, at, aim, key, scale
        self.expires = at + asked.expires - asked.at
        self.open = True
        self.to: list[int] = []  # each attempt's endpoint
        self.out: list[bool] = []  # whether it is


class Sidecar:
    """One balancer and what its shell would keep."""

    def __init__(self, side: Side, number: int, seed: int, weights: dict[int, float] | None) -> None:
        self.side, self.number, self.weights = side, number, weights
        start = side.trace.started
        settings = replace(side.settings, shares_verdicts=False)
        self.balancer = Balancer(splitmix64(start.seed ^ seed), settings)
        self.calls: dict[int, Live] = {}
        self.next = 0
        self.idle: dict[int, list[int]] = {}  # by endpoint, since when each connection is idle
        self.forced: dict[str, float] = {}

    def change(self, now: int, change: Change, scene: Scene) -> list[Action]:
        balancer = self.balancer
        if isinstance(change, Retuned):
            return balancer.retune(now, replace(change.settings, shares_verdicts=False))
        if isinstance(change, Listed):
            entries = [] if change.mode == LIST_FAILED else [self.side.entry(raw) for raw in change.entries]
            done = list(balancer.members(now, change.mode, entries))
        else:
            self.forced, done = change.factors, []
        factors = self.weights if self.weights is not None else scene.factors(self.forced)
        return done + list(balancer.trust(now, factors))

    def connection(self, now: int, endpoint: int) -> bool:
        """Take a connection; True where it is a new one."""
        idle, keeps = self.idle.get(endpoint), self.balancer.settings.idle_us
        if not idle:
            return True
        return keeps > 0 and now - idle.pop() > keeps

    def settle(self, now: int, endpoint: int, outcome: int) -> None:
        if outcome in KEPT:
            self.idle.setdefault(endpoint, []).append(now)


class Replay:
    """Events in order of time; those of one instant in the order they were made."""

    def __init__(self, scene: Scene, model: Model, seed: int, weights: dict[str, float] | None) -> None:
        self.scene, self.seed = scene, seed
        factors = None if weights is None else scene.factors(weights)
        self.world = World(model, seed, (scene.start, scene.end))
        self.sidecars = [Sidecar(side, at, seed, factors) for at, side in enumerate(scene.sides)]
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0
        self.requests: list[tuple[int, ...]] = []
        self.tries: list[tuple[int, ...]] = []

    def run(self) -> Facts:
        for sidecar in self.sidecars:
            side = sidecar.side
            first = side.trace.started.at + side.shift
            self.carry(first, sidecar, sidecar.balancer.start(first))
            for change in side.trace.changes:
                self.push(max(first, change.at + side.shift), self.change, sidecar, change)
        arrivals = sorted(
            (at, sidecar.number, asked.request, order, asked)
            for sidecar in self.sidecars
            for at, order, asked in copies(sidecar.side, sidecar.number)
        )
        for at, number, _, order, asked in arrivals:
            self.until(at)
            self.arrive(at, self.sidecars[number], order, asked)
        self.until(None)
        self.requests.sort()
        self.tries.sort()
        return Facts(Requests(*columns(self.requests, 6)), Attempts(*columns(self.tries, 7)))

    def push(self, at: int, act: Callable[..., None], *args: Any) -> None:
        self.count += 1
        heappush(self.events, (at, self.count, act, args))

    def until(self, end: int | None) -> None:
        events = self.events
        while events and (end is None or events[0][0] <= end):
            now, _, act, args = heappop(events)
            act(now, *args)

    def change(self, now: int, sidecar: Sidecar, change: Change) -> None:
        self.carry(now, sidecar, sidecar.change(now, change, self.scene))

    def fire(self, now: int, sidecar: Sidecar, token: int) -> None:
        self.carry(now, sidecar, sidecar.balancer.timer(now, token))

    def arrive(self, now: int, sidecar: Sidecar, order: int, asked: Asked) -> None:
        sidecar.next += 1
        rid = sidecar.next
        scale = self.world.scale(asked.cls, asked.work_us)
        key = splitmix64(self.seed * 31 + sidecar.number) ^ splitmix64(asked.request * 64 + order)
        live = sidecar.calls[rid] = Live(asked, now, sidecar.side.aim(asked), key, scale)
        event = Arrival(
            rid, asked.cls, live.expires, asked.tenant, asked.key, asked.work_us, asked.repeated, asked.home
        )
        self.carry(now, sidecar, sidecar.balancer.request(now, event))

    def carry(self, now: int, sidecar: Sidecar, actions: Sequence[Action]) -> None:
        for action in list(actions):
            match action:
                case Send(request, endpoint, timeout_us):
                    self.send(now, sidecar, request, endpoint, timeout_us)
                case Timer(token, delay_us):
                    self.push(now + delay_us + TICK_US // 2, self.fire, sidecar, token)
                case Refuse(request, _):
                    self.final(now, sidecar, request, REFUSED)
                case Fail(request):
                    self.final(now, sidecar, request, FAILED)
                case Cancel(request, copy):
                    live = sidecar.calls.get(request)
                    if live is not None and live.out[copy]:
                        self.push(now, self.ended, sidecar, request, copy, CANCELLED, now)

    def send(self, now: int, sidecar: Sidecar, request: int, endpoint: int, timeout: int) -> None:
        live = sidecar.calls[request]
        copy, place = len(live.out), self.scene.places[endpoint]
        live.out.append(True)
        live.to.append(endpoint)
        server = self.world.servers[place]
        away = self.world.away_us(sidecar.side.zone, server.model.zone)
        left = max(1, min(timeout or live.expires - now, live.expires - now))
        outcome, took, found = server.serve(now, live.asked.cls, live.scale, live.key, copy, left)
        took = min(left, took + away)
        fresh = sidecar.connection(now, endpoint)
        self.tries.append((now, place, found, *self._marks(now, sidecar, server, live, found, fresh)))
        self.push(now + took, self.ended, sidecar, request, copy, outcome, now)

    @staticmethod
    def _marks(
        now: int, sidecar: Sidecar, server: Server, live: Live, found: int, fresh: bool
    ) -> tuple[int, int, int, int]:
        model = server.model
        cold = model.boot <= now < model.warm
        thin = model.thin[live.asked.cls] or found > model.reach or (cold and not model.cold)
        return int(model.zone != sidecar.side.zone), int(fresh), int(thin), int(cold)

    def ended(self, now: int, sidecar: Sidecar, request: int, copy: int, outcome: int, sent: int) -> None:
        live = sidecar.calls.get(request)
        if live is None or not live.out[copy]:
            return
        live.out[copy] = False
        sidecar.settle(now, live.to[copy], outcome)
        if outcome == OK and live.open:
            self.answer(now, live, ANSWERED)
        event = Outcome(request, copy, live.to[copy], outcome, now - sent, not live.open)
        self.carry(now, sidecar, sidecar.balancer.outcome(now, event))
        if not live.open and not any(live.out):
            sidecar.calls.pop(request, None)

    def final(self, now: int, sidecar: Sidecar, request: int, end: int) -> None:
        """The module's own last word, where the caller still waits."""
        live = sidecar.calls.get(request)
        if live is not None and live.open:
            self.answer(now, live, end)
            if not any(live.out):
                del sidecar.calls[request]

    def answer(self, now: int, live: Live, end: int) -> None:
        live.open = False
        asked = live.asked
        if asked.status:  # else its caller left, and counts for nothing
            self.requests.append((live.at, asked.cls, asked.tenant, end, now - live.at, live.aim))


def copies(side: Side, number: int) -> Iterator[tuple[int, int, Asked]]:
    """Each recorded request, and as many more near it as it stands for."""
    sample = side.trace.started.sample
    for asked in side.trace.requests:
        yield asked.at + side.shift, 0, asked
        if sample < 1.0:
            more = 1.0 / sample + luck(number, asked.request, 7)
            for order in range(1, int(more)):
                spread = int((luck(number, asked.request, 8 + order) - 0.5) * 2 * SPREAD_US)
                yield max(side.shift, asked.at + side.shift + spread), order, asked
