"""Many balancers over endpoints of which some start cold, in simulated time: what each is sent.

Endpoints are two servers with one queue, slower while cold; they never fall, so that all of a ramp is
seen. The work of a request is drawn anew for each (exponential), as it counts in requests of mean work.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate
from math import sqrt
from random import Random

from tests.helpers import MS, SECOND
from woadyard.policy import Balancer

from woadyard.interface import (  # isort: skip
    CANCELLED, GONE, KEYED, LIST_DELTA, LIST_FULL, NO_CONNECT, OK, READY, SAFE, SCOPE_CELL, TIMEOUT, Action,
    Arrival, Cancel, Entry, Fail, Outcome, Refuse, RequestClass, Send, Settings, Timer,
)  # fmt: skip

LOST, START = 3 * SECOND, 5 * SECOND  # when the endpoints that will be cold end, and when they are back
CORES, DELAY, TRIES = 2, MS, 2  # of an endpoint; on the way; of a client that was refused or failed
UNEVEN = (0.05, 0.05, 0.3, 0.3, 1.0, 1.0, 1.0, 4.0)  # traffic of copies, against each other
SPEEDS = (1.6, 1.0, 1.0, 0.6)  # of the kinds of endpoints; no list tells them


@dataclass(frozen=True)
class Site:
    """Settings of a deployment, and what its requests cost: mean core seconds and share by class."""

    settings: Settings
    work: tuple[float, ...]
    shares: tuple[float, ...]

    @property
    def mean_work(self) -> float:
        return sum(work * share for work, share in zip(self.work, self.shares, strict=True))


CHECKS = Site(
    Settings(
        classes=(
            RequestClass(aim_us=800 * MS, deadline_us=2 * SECOND, worth=5.0),
            RequestClass(KEYED, SCOPE_CELL, 10 * SECOND, aim_us=2500 * MS, deadline_us=6 * SECOND, worth=3.0),
        ),
        can_cancel=True, second_copies=True, retry_after=True, max_attempts=4, cross_zone_price=0.01,
        cold_share=0.32, cold_us=8_900 * MS, tip_multiple=3.0, tip_for_us=1_500 * MS,
    ),
    (0.117, 0.38), (0.8, 0.2),
)  # fmt: skip
STANDINGS = Site(
    Settings(
        classes=(
            RequestClass(SAFE, aim_us=SECOND, deadline_us=2_500 * MS, worth=12.0),
            RequestClass(aim_us=1_500 * MS, deadline_us=4 * SECOND),
            RequestClass(aim_us=2 * SECOND, deadline_us=5 * SECOND),
        ),
        can_cancel=True, second_copies=True, retry_after=True, max_attempts=3, cross_zone_price=0.015,
        cold_share=0.14, cold_us=21 * SECOND, tip_multiple=4.0, tip_for_us=1_500 * MS,
    ),
    (0.1, 0.13, 0.18), (0.12, 0.64, 0.24),
)  # fmt: skip


@dataclass(frozen=True)
class Case:
    site: Site = CHECKS
    copies: int = 20
    endpoints: int = 8
    cold: int = 1
    load: float = 0.55  # of what all endpoints bear warm
    uneven: bool = False  # a few copies get several times the mean, most nearly nothing
    fresh: float = 0.0  # share of the copies that start as the endpoints come back
    spread_us: int = 0  # over which the copies are told of them
    burst: float = 1.0  # the first copy's traffic, from the start on for 2 s
    operator: bool = False  # an operator takes them out and puts them back, no list does
    zones: int = 1
    unready_us: int = 0  # they refuse connections so long after they are listed
    watched_us: int = 6 * SECOND  # after their start, if they are cold so long

    @property
    def end(self) -> int:
        return START + min(self.watched_us, self.site.settings.cold_us)


class Copy:
    def __init__(self, number: int, balancer: Balancer, rate: float) -> None:
        self.number, self.balancer, self.rate = number, balancer, rate  # requests a second
        self.asked: dict[int, Asked] = {}


@dataclass
class Asked:
    """A client's request; `tries` before it."""

    kind: int
    tries: int
    work: float
    jobs: list[Job] = field(default_factory=list)


@dataclass
class Job:
    """One attempt at an endpoint."""

    copy: Copy
    request: int
    attempt: int
    endpoint: int
    sent: int
    work: float
    over: bool = False


@dataclass
class Server:
    id: int
    speed: float
    cold: bool
    queue: deque[Job] = field(default_factory=deque)
    busy: int = 0
    at: list[int] = field(default_factory=list)  # what came since the start: when, and its work
    work: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Seen:
    calls: float  # of a cold endpoint's worst window, over the bound
    work: float  # the same, weighed
    share: float  # that a cold endpoint gets, of an even share
    served: float  # of what was asked for meanwhile


class Fleet:
    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.rng = case, Random(seed)
        self.settings = replace(case.site.settings, instances=case.copies, zones=case.zones)
        speeds = [SPEEDS[n % len(SPEEDS)] for n in range(case.endpoints)]
        self.rng.shuffle(speeds)
        fresh = sorted(range(case.endpoints), key=speeds.__getitem__)[: case.cold]  # least fells these
        self.servers = {100 + n: Server(100 + n, speed, n in fresh) for n, speed in enumerate(speeds)}
        self.full = CORES * sum(speeds) / case.site.mean_work  # requests a second, all warm
        weights = [self.rng.choice(UNEVEN if case.uneven else (1.0,)) for _ in range(case.copies)]
        mean = case.load * self.full / sum(weights)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.now = self.count = self.asked = self.good = 0
        self.copies = [Copy(n, self.balancer(n, 0), mean * weight) for n, weight in enumerate(weights)]
        self.later(LOST, self.lose)
        self.later(START, self.start)
        for copy in self.copies:
            copy.balancer.members(0, LIST_FULL, [self.entry(one) for one in self.servers.values()])
            first = int(self.rng.expovariate(copy.rate) * SECOND)
            self.later(first, partial(self.arrive, copy.number))
            told = START + int(self.rng.random() * case.spread_us)
            self.later(told, partial(self.tell, copy.number))

    def balancer(self, n: int, now: int) -> Balancer:
        settings = replace(self.settings, me=n, zone=n % self.case.zones)
        balancer = Balancer(self.rng.getrandbits(32), settings)
        balancer.start(now)
        return balancer

    def entry(self, server: Server, boot: int = 0, phase: int = READY) -> Entry:
        n = server.id - 100
        return Entry(server.id, phase, boot, 1.0, n // 4, n % self.case.zones, 0)

    def later(self, at: int, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, what))

    def run(self) -> Seen:
        while self.queue and self.queue[0][0] < self.case.end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        cold = [one for one in self.servers.values() if one.cold]
        counts = {one.id: len(one.at) for one in self.servers.values()}
        fair = max(1, sum(counts.values())) / len(counts)
        share = sum(counts[one.id] for one in cold) / len(cold) / fair
        calls, work = (max(self.ratio(one, weighed) for one in cold) for weighed in (False, True))
        return Seen(calls, work, share, self.good / max(1, self.asked))

    def ratio(self, server: Server, weighed: bool) -> float:
        """The worst window's requests, or (weighed) their work in requests of mean work, over the budget
        and what chance may add."""
        s, worst = self.settings, 0.0
        full = server.speed * CORES / self.case.site.mean_work / SECOND
        sums = [0.0, *accumulate(work / self.case.site.mean_work if weighed else 1.0 for work in server.work)]
        for n, now in enumerate(server.at):
            most = s.tip_multiple * self.warm(now - s.tip_for_us // 2) * full * s.tip_for_us
            got = sums[n + 1] - sums[bisect_right(server.at, now - s.tip_for_us)]
            worst = max(worst, got / (most + 2.0 * sqrt(most) + 2.0))
        return worst

    def warm(self, now: int) -> float:
        s = self.settings
        return min(1.0, s.cold_share + (1.0 - s.cold_share) * max(0, now - START) / s.cold_us)

    def lose(self) -> None:
        cold = [one for one in self.servers.values() if one.cold]
        for copy in self.copies:
            if self.case.operator:
                for one in cold:
                    self.act(copy, copy.balancer.detach(self.now, one.id))
            else:
                gone = [self.entry(one, 0, GONE) for one in cold]
                self.act(copy, copy.balancer.members(self.now, LIST_DELTA, gone))

    def start(self) -> None:
        for server in self.servers.values():
            server.at, server.work = [], []

    def tell(self, n: int) -> None:
        copy, cold = self.copies[n], [one for one in self.servers.values() if one.cold]
        if n < self.case.fresh * self.case.copies:
            copy = self.copies[n] = Copy(n, self.balancer(n, self.now), copy.rate)
            listed = [self.entry(one, START if one.cold else 0) for one in self.servers.values()]
            self.act(copy, copy.balancer.members(self.now, LIST_FULL, listed))
        elif self.case.operator:
            for one in cold:
                self.act(copy, copy.balancer.attach(self.now, one.id))
        else:
            listed = [self.entry(one, START) for one in cold]
            self.act(copy, copy.balancer.members(self.now, LIST_DELTA, listed))

    def arrive(self, n: int) -> None:
        rate = self.copies[n].rate
        if n == 0 and START + SECOND // 2 <= self.now < START + 5 * SECOND // 2:
            rate *= self.case.burst
        self.later(self.now + 1 + int(self.rng.expovariate(rate) * SECOND), partial(self.arrive, n))
        (kind,) = self.rng.choices(range(len(self.case.site.work)), self.case.site.shares)
        self.asked += self.now >= START
        self.ask(n, kind, 0)

    def ask(self, n: int, kind: int, tries: int) -> None:
        copy = self.copies[n]
        self.count += 1
        work = self.rng.expovariate(1.0 / self.case.site.work[kind])
        copy.asked[self.count] = Asked(kind, tries, work)
        expires = self.now + self.settings.classes[kind].deadline_us
        self.act(copy, copy.balancer.request(self.now, Arrival(self.count, kind, expires)))

    def act(self, copy: Copy, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self.later(self.now + action.delay_us, partial(self.ring, copy, action.token))
            elif isinstance(action, Send):
                asked = copy.asked[action.request]
                job = Job(copy, action.request, len(asked.jobs), action.endpoint, self.now, asked.work)
                asked.jobs.append(job)
                self.later(self.now + DELAY, partial(self.reach, job))
                self.later(self.now + action.timeout_us, partial(self.done, job, TIMEOUT))
            elif isinstance(action, Cancel):
                job = copy.asked[action.request].jobs[action.copy]
                self.later(self.now, partial(self.done, job, CANCELLED))
            elif isinstance(action, Refuse | Fail):
                asked = copy.asked[action.request]
                again = isinstance(action, Refuse) or self.settings.classes[asked.kind].effect == SAFE
                if again and asked.tries < TRIES:
                    wait = self.rng.randrange(50, 300) * MS
                    self.later(self.now + wait, partial(self.ask, copy.number, asked.kind, asked.tries + 1))

    def ring(self, copy: Copy, token: int) -> None:
        if self.copies[copy.number] is copy:
            self.act(copy, copy.balancer.timer(self.now, token))

    def reach(self, job: Job) -> None:
        server = self.servers[job.endpoint]
        if server.cold and START <= self.now < START + self.case.unready_us:
            self.done(job, NO_CONNECT)
            return
        server.at.append(self.now)
        server.work.append(job.work)
        server.queue.append(job)
        self.serve(server)

    def serve(self, server: Server) -> None:
        while server.busy < CORES and server.queue:
            job = server.queue.popleft()
            if not job.over:
                server.busy += 1
                speed = server.speed * (self.warm(self.now) if server.cold else 1.0)
                self.later(self.now + int(job.work / speed * SECOND), partial(self.finish, server, job))

    def finish(self, server: Server, job: Job) -> None:
        server.busy -= 1
        if not job.over:
            self.good += job.sent >= START
            self.done(job, OK)
        self.serve(server)

    def done(self, job: Job, outcome: int) -> None:
        copy = job.copy
        if not job.over and self.copies[copy.number] is copy:
            event = Outcome(
                job.request, job.attempt, job.endpoint, outcome, self.now - job.sent, outcome == OK
            )
            self.act(copy, copy.balancer.outcome(self.now, event))
        job.over = True
