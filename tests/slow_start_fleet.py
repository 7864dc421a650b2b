"""Simulation of many balancers over endpoints of which some start cold.

Endpoints are two servers with one queue, and slower while they are cold. They never fail, so that the whole
ramp is observed. The work of each request is drawn anew (exponential) and counts in requests of mean work.
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

STOP_US, START_US = 3 * SECOND, 5 * SECOND  # when the endpoints that will be cold stop, and start again
# Cores of an endpoint; network delay; retries of a client whose request was rejected or failed.
CORES, DELAY_US, MAX_RETRIES = 2, MS, 2
UNEVEN = (0.05, 0.05, 0.3, 0.3, 1.0, 1.0, 1.0, 4.0)  # relative traffic of sidecars
SPEEDS = (1.6, 1.0, 1.0, 0.6)  # relative speeds of endpoints, which no list gives


@dataclass(frozen=True)
class Deployment:
    """Settings of a deployment, and by class the mean core seconds of its requests and their share."""

    settings: Settings
    work: tuple[float, ...]
    shares: tuple[float, ...]

    @property
    def mean_work(self) -> float:
        return sum(work * share for work, share in zip(self.work, self.shares, strict=True))


CHECKS = Deployment(
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
STANDINGS = Deployment(
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
class Scenario:
    """One shape of a tier, and how its endpoints restart."""

    deployment: Deployment = CHECKS
    sidecars: int = 20
    endpoints: int = 8
    cold: int = 1
    load: float = 0.55  # of the capacity of all endpoints when warm
    uneven: bool = False  # a few sidecars get several times the mean traffic, most nearly none
    restarted_share: float = 0.0  # of the sidecars that start when the endpoints do
    spread_us: int = 0  # over which the sidecars receive the list with them
    burst: float = 1.0  # factor on the first sidecar's traffic for 2 s, 0.5 s after the start
    by_operator: bool = False  # an operator detaches and attaches them, without a list
    zones: int = 1
    unready_us: int = 0  # they refuse connections for so long after the start
    watched_us: int = 6 * SECOND  # after the start, if they are cold for so long

    @property
    def end_us(self) -> int:
        return START_US + min(self.watched_us, self.deployment.settings.cold_us)


class Sidecar:
    """A balancer, its traffic, and its requests in progress."""

    def __init__(self, number: int, balancer: Balancer, rate_per_s: float) -> None:
        self.number, self.balancer, self.rate_per_s = number, balancer, rate_per_s
        self.requests: dict[int, ClientRequest] = {}


@dataclass
class ClientRequest:
    """A client's request, after so many retries."""

    class_index: int
    retries: int
    work: float
    jobs: list[Job] = field(default_factory=list)


@dataclass
class Job:
    """One attempt at an endpoint."""

    sidecar: Sidecar
    request: int
    attempt: int
    endpoint: int
    sent_us: int
    work: float
    is_over: bool = False


@dataclass
class Server:
    """An endpoint: the queue of its attempts, and what it received since the start."""

    id: int
    speed: float
    is_cold: bool
    queue: deque[Job] = field(default_factory=deque)
    busy: int = 0
    arrivals_us: list[int] = field(default_factory=list)
    arrived_work: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Measurement:
    """Results of one simulation."""

    worst_requests: float  # in the worst window of a cold endpoint, relative to the bound
    worst_work: float  # the same, by work
    traffic_share: float  # of a cold endpoint, relative to an even share
    served_share: float  # of the requests offered since the start


class TierSimulation:
    """Event loop of one tier, its endpoints and its clients."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng = scenario, Random(seed)
        self.settings = replace(
            scenario.deployment.settings, instances=scenario.sidecars, zones=scenario.zones
        )
        speeds = [SPEEDS[index % len(SPEEDS)] for index in range(scenario.endpoints)]
        self.rng.shuffle(speeds)
        cold_indexes = sorted(range(scenario.endpoints), key=speeds.__getitem__)[
            : scenario.cold
        ]  # the slowest
        self.servers = {
            100 + index: Server(100 + index, speed, index in cold_indexes)
            for index, speed in enumerate(speeds)
        }
        self.capacity_per_s = CORES * sum(speeds) / scenario.deployment.mean_work  # all warm
        weights = [self.rng.choice(UNEVEN if scenario.uneven else (1.0,)) for _ in range(scenario.sidecars)]
        mean_rate_per_s = scenario.load * self.capacity_per_s / sum(weights)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.now = self.count = self.offered = self.served = 0
        self.sidecars = [
            Sidecar(index, self.balancer(index, 0), mean_rate_per_s * weight)
            for index, weight in enumerate(weights)
        ]
        self.schedule(STOP_US, self.stop_cold)
        self.schedule(START_US, self.restart_cold)
        for sidecar in self.sidecars:
            sidecar.balancer.members(0, LIST_FULL, [self.entry(server) for server in self.servers.values()])
            first_us = int(self.rng.expovariate(sidecar.rate_per_s) * SECOND)
            self.schedule(first_us, partial(self.arrive, sidecar.number))
            listed_us = START_US + int(self.rng.random() * scenario.spread_us)
            self.schedule(listed_us, partial(self.update_list, sidecar.number))

    def balancer(self, index: int, now: int) -> Balancer:
        settings = replace(self.settings, me=index, zone=index % self.scenario.zones)
        balancer = Balancer(self.rng.getrandbits(32), settings)
        balancer.start(now)
        return balancer

    def entry(self, server: Server, boot: int = 0, phase: int = READY) -> Entry:
        index = server.id - 100
        return Entry(server.id, phase, boot, 1.0, index // 4, index % self.scenario.zones, 0)

    def schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_us, self.count, callback))

    def run(self) -> Measurement:
        while self.events and self.events[0][0] < self.scenario.end_us:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        cold = [server for server in self.servers.values() if server.is_cold]
        counts = {server.id: len(server.arrivals_us) for server in self.servers.values()}
        even_count = max(1, sum(counts.values())) / len(counts)
        traffic_share = sum(counts[server.id] for server in cold) / len(cold) / even_count
        worst_requests, worst_work = (
            max(self.worst_ratio(server, by_work) for server in cold) for by_work in (False, True)
        )
        return Measurement(worst_requests, worst_work, traffic_share, self.served / max(1, self.offered))

    def worst_ratio(self, server: Server, by_work: bool) -> float:
        """Return the requests of the worst window relative to the budget and what chance may add.

        By work, a request counts by its work in requests of mean work.
        """
        tier, worst = self.settings, 0.0
        capacity_per_us = server.speed * CORES / self.scenario.deployment.mean_work / SECOND
        totals = [
            0.0,
            *accumulate(
                work / self.scenario.deployment.mean_work if by_work else 1.0 for work in server.arrived_work
            ),
        ]
        for index, now in enumerate(server.arrivals_us):
            budget = (
                tier.tip_multiple
                * self.capacity_share(now - tier.tip_for_us // 2)
                * capacity_per_us
                * tier.tip_for_us
            )
            received = totals[index + 1] - totals[bisect_right(server.arrivals_us, now - tier.tip_for_us)]
            worst = max(worst, received / (budget + 2.0 * sqrt(budget) + 2.0))
        return worst

    def capacity_share(self, now: int) -> float:
        tier = self.settings
        return min(1.0, tier.cold_share + (1.0 - tier.cold_share) * max(0, now - START_US) / tier.cold_us)

    def stop_cold(self) -> None:
        cold = [server for server in self.servers.values() if server.is_cold]
        for sidecar in self.sidecars:
            if self.scenario.by_operator:
                for server in cold:
                    self.carry_out(sidecar, sidecar.balancer.detach(self.now, server.id))
            else:
                stopped = [self.entry(server, 0, GONE) for server in cold]
                self.carry_out(sidecar, sidecar.balancer.members(self.now, LIST_DELTA, stopped))

    def restart_cold(self) -> None:
        for server in self.servers.values():
            server.arrivals_us, server.arrived_work = [], []

    def update_list(self, index: int) -> None:
        sidecar, cold = self.sidecars[index], [server for server in self.servers.values() if server.is_cold]
        if index < self.scenario.restarted_share * self.scenario.sidecars:
            sidecar = self.sidecars[index] = Sidecar(
                index, self.balancer(index, self.now), sidecar.rate_per_s
            )
            listed = [
                self.entry(server, START_US if server.is_cold else 0) for server in self.servers.values()
            ]
            self.carry_out(sidecar, sidecar.balancer.members(self.now, LIST_FULL, listed))
        elif self.scenario.by_operator:
            for server in cold:
                self.carry_out(sidecar, sidecar.balancer.attach(self.now, server.id))
        else:
            listed = [self.entry(server, START_US) for server in cold]
            self.carry_out(sidecar, sidecar.balancer.members(self.now, LIST_DELTA, listed))

    def arrive(self, index: int) -> None:
        rate_per_s = self.sidecars[index].rate_per_s
        if index == 0 and START_US + SECOND // 2 <= self.now < START_US + 5 * SECOND // 2:
            rate_per_s *= self.scenario.burst
        self.schedule(
            self.now + 1 + int(self.rng.expovariate(rate_per_s) * SECOND), partial(self.arrive, index)
        )
        (class_index,) = self.rng.choices(
            range(len(self.scenario.deployment.work)), self.scenario.deployment.shares
        )
        self.offered += self.now >= START_US
        self.submit(index, class_index, 0)

    def submit(self, index: int, class_index: int, retries: int) -> None:
        sidecar = self.sidecars[index]
        self.count += 1
        work = self.rng.expovariate(1.0 / self.scenario.deployment.work[class_index])
        sidecar.requests[self.count] = ClientRequest(class_index, retries, work)
        expires_us = self.now + self.settings.classes[class_index].deadline_us
        self.carry_out(
            sidecar, sidecar.balancer.request(self.now, Arrival(self.count, class_index, expires_us))
        )

    def carry_out(self, sidecar: Sidecar, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self.schedule(self.now + action.delay_us, partial(self.fire_timer, sidecar, action.token))
            elif isinstance(action, Send):
                client_request = sidecar.requests[action.request]
                job = Job(
                    sidecar,
                    action.request,
                    len(client_request.jobs),
                    action.endpoint,
                    self.now,
                    client_request.work,
                )
                client_request.jobs.append(job)
                self.schedule(self.now + DELAY_US, partial(self.reach_server, job))
                self.schedule(self.now + action.timeout_us, partial(self.end_attempt, job, TIMEOUT))
            elif isinstance(action, Cancel):
                job = sidecar.requests[action.request].jobs[action.copy]
                self.schedule(self.now, partial(self.end_attempt, job, CANCELLED))
            elif isinstance(action, Refuse | Fail):
                client_request = sidecar.requests[action.request]
                may_retry = (
                    isinstance(action, Refuse)
                    or self.settings.classes[client_request.class_index].effect == SAFE
                )
                if may_retry and client_request.retries < MAX_RETRIES:
                    wait_us = self.rng.randrange(50, 300) * MS
                    self.schedule(
                        self.now + wait_us,
                        partial(
                            self.submit,
                            sidecar.number,
                            client_request.class_index,
                            client_request.retries + 1,
                        ),
                    )

    def fire_timer(self, sidecar: Sidecar, token: int) -> None:
        if self.sidecars[sidecar.number] is sidecar:
            self.carry_out(sidecar, sidecar.balancer.timer(self.now, token))

    def reach_server(self, job: Job) -> None:
        server = self.servers[job.endpoint]
        if server.is_cold and START_US <= self.now < START_US + self.scenario.unready_us:
            self.end_attempt(job, NO_CONNECT)
            return
        server.arrivals_us.append(self.now)
        server.arrived_work.append(job.work)
        server.queue.append(job)
        self.serve(server)

    def serve(self, server: Server) -> None:
        while server.busy < CORES and server.queue:
            job = server.queue.popleft()
            if not job.is_over:
                server.busy += 1
                speed = server.speed * (self.capacity_share(self.now) if server.is_cold else 1.0)
                self.schedule(self.now + int(job.work / speed * SECOND), partial(self.finish, server, job))

    def finish(self, server: Server, job: Job) -> None:
        server.busy -= 1
        if not job.is_over:
            self.served += job.sent_us >= START_US
            self.end_attempt(job, OK)
        self.serve(server)

    def end_attempt(self, job: Job, outcome: int) -> None:
        sidecar = job.sidecar
        if not job.is_over and self.sidecars[sidecar.number] is sidecar:
            event = Outcome(
                job.request, job.attempt, job.endpoint, outcome, self.now - job.sent_us, outcome == OK
            )
            self.carry_out(sidecar, sidecar.balancer.outcome(self.now, event))
        job.is_over = True
