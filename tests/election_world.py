"""A log's members on a simulated clock and network: the election as it runs, replication in small."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from woadyard.registry.election import (
    FOLLOWER,
    LEADER,
    MEMBER,
    NEW,
    Ballot,
    Election,
    LogState,
    Message,
    Outgoing,
    PeerResponse,
    Timing,
    VoteRequest,
)
from woadyard.registry.replication_progress import ReplicationProgress

TICK_S, POLL_S, CALL_S = 0.05, 0.25, 1.0
TIMING = Timing()
Entry = tuple[int, str]  # term and what was written


@dataclass
class Disk:
    """What outlives a crash; a new identity where it was wiped."""

    name: str
    ballot: Ballot = field(default_factory=Ballot)
    log: list[Entry] = field(default_factory=list)


class Member:
    """One process: the election as it runs, and the replication of log.py and follow.py in small."""

    def __init__(self, world: World, address: str, disk: Disk) -> None:
        self.world, self.address, self.disk = world, address, disk
        peers = [one for one in world.addresses if one != address]
        self.election = Election(disk.name, peers, disk.ballot, self.position, world.rng, world.now, TIMING)
        self.copies, self.led, self.began = ReplicationProgress(self.election.quorum_peers), 0, 0
        self.pending: list[tuple[int, str]] = []

    def position(self) -> LogState:
        log = self.disk.log
        return LogState("a" if log else "", (log[-1][0] if log else 0, len(log)))

    def act(self, calls: list[Outgoing]) -> None:
        """The ballot first, then the role, then what is sent: as the elector does."""
        election = self.election
        self.disk.ballot = election.ballot
        if election.role == LEADER and self.led != election.term:
            self.led = election.term
            assert self.world.leaders.setdefault(self.led, self.disk.name) == self.disk.name
            self.disk.log.append((self.led, "lead"))
            self.copies, self.pending, self.began = (
                ReplicationProgress(election.quorum_peers),
                [],
                len(self.disk.log),
            )
        for peer, message in calls:
            self.world.send(self, peer, message)

    def tick(self) -> None:
        self.act(self.election.tick(self.world.now))

    def write(self, what: str) -> bool:
        if self.election.role != LEADER:
            return False
        self.disk.log.append((self.led, what))
        self.pending.append((len(self.disk.log), what))
        return True

    def receive(self, message: Message) -> PeerResponse:
        if isinstance(message, VoteRequest):
            found = self.election.handle_vote_request(message, self.world.now)
        else:
            found = self.election.handle_heartbeat(message, self.world.now)
        self.act([])
        return found

    def poll(self) -> None:
        """A follower asks for what it lacks, and proves what it has."""
        peer = self.election.address_of(self.election.leader)
        if self.election.role == FOLLOWER and peer is not None:
            asked = self.election.term, self.disk.name, list(self.disk.log)
            self.world.exchange(self.address, peer, lambda at: at.polled(*asked), self.take)

    def polled(self, term: int, name: str, log: list[Entry]) -> tuple[int, list[Entry]] | None:
        self.election.observe_term(term, self.world.now)
        self.act([])
        if self.election.role != LEADER:
            return None
        if self.disk.log[: len(log)] == log and self.election.record_poll(name, len(log), self.world.now):
            self.copies.record_match(name, len(log), self.world.now)
        held = self.copies.advance_commit(len(self.disk.log), self.world.now)
        for index, what in list(self.pending):
            if index <= held and held >= self.began:
                self.pending.remove((index, what))
                self.world.answered.append((index, (self.led, what)))
        return self.led, list(self.disk.log)

    def take(self, told: tuple[int, list[Entry]] | None) -> None:
        if told is not None and told[0] >= self.election.term:
            log = told[1]
            if self.disk.log != log[: len(self.disk.log)] or len(log) > len(self.disk.log):
                self.disk.log = log


class World:
    """Members on one clock, and links that lose, delay and are cut."""

    def __init__(self, count: int, seed: int, founded: bool = True) -> None:
        self.rng, self.now = random.Random(seed), 0.0
        self.addresses = [f"m{n}" for n in range(count)]
        self.loss, self.delay = 0.0, (0.0005, 0.002)
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.identities = 0, 0
        self.leaders: dict[int, str] = {}
        self.answered: list[tuple[int, Entry]] = []
        self.members: dict[str, Member] = {}
        self.down: dict[str, Disk] = {}
        for one in self.addresses:
            self.down[one] = Disk(self.identity(), Ballot(standing=MEMBER if founded else NEW))
            self.start(one)
        for one in self.addresses:
            self.every(one, TICK_S, lambda member: member.tick())
            self.every(one, POLL_S, lambda member: member.poll())

    def identity(self) -> str:
        self.identities += 1
        return f"id-{self.identities}"

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what))

    def every(self, address: str, period: float, what: Callable[[Member], None]) -> None:
        def turn() -> None:
            if address in self.members:
                what(self.members[address])
            self.at(self.now + period * self.rng.uniform(0.9, 1.1), turn)

        self.at(self.now + self.rng.uniform(0.0, period), turn)

    def until(self, when: float) -> None:
        while self.events and self.events[0][0] <= when:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = when

    def exchange(
        self, here: str, there: str, call: Callable[[Member], Any], back: Callable[[Any], None]
    ) -> None:
        """A call and its answer; each may be lost, and each end may have been started anew."""
        caller, ends = self.members[here], self.now + CALL_S

        def passes(origin: str, target: str) -> bool:
            return (origin, target) not in self.cut and self.rng.random() >= self.loss

        def arrive() -> None:
            if passes(here, there) and (found := self.members.get(there)) is not None:
                told = call(found)
                self.at(self.now + self.rng.uniform(*self.delay), lambda: answer(told))

        def answer(told: Any) -> None:
            if passes(there, here) and self.members.get(here) is caller and self.now < ends:
                back(told)

        self.at(self.now + self.rng.uniform(*self.delay), arrive)

    def send(self, member: Member, peer: str, message: Message) -> None:
        self.exchange(
            member.address, peer, lambda at: at.receive(message),
            lambda reply: member.act(member.election.handle_response(peer, message, reply, self.now)),
        )  # fmt: skip

    def start(self, address: str) -> None:
        self.members[address] = Member(self, address, self.down.pop(address))

    def stop(self, address: str) -> None:
        self.down[address] = self.members.pop(address).disk

    def isolate(self, address: str) -> None:
        for one in self.addresses:
            self.cut |= {(one, address), (address, one)}

    def leader(self) -> Member | None:
        """The one of the greatest term."""
        found = [one for one in self.members.values() if one.election.role == LEADER]
        return max(found, key=lambda one: one.led, default=None)

    def write(self, what: str) -> None:
        """At all that believe that they write: the answers say which did."""
        for one in self.members.values():
            one.write(f"{what}@{one.address}")

    def until_answered(self, what: str, bound_s: float) -> float:
        """Writes until one is answered, s; a failure past the bound."""
        began, count = self.now, len(self.answered)
        while len(self.answered) == count:
            assert self.now - began < bound_s, f"no write was answered within {bound_s} s"
            self.write(what)
            self.until(self.now + TICK_S)
        return self.now - began

    def check(self) -> None:
        """Each answered write is where it was answered, in the log of a majority, and so at
        whoever leads by the greatest term."""
        leader = self.leader()
        assert leader is not None
        assert len({index for index, _ in self.answered}) == len(self.answered), "two writers answered"
        for index, entry in self.answered:
            assert leader.disk.log[index - 1] == entry, f"lost: {entry} at {index}"
