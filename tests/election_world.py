"""Members of one log on a simulated clock and network: the real election and a minimal replication."""

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
    LogPosition,
    Message,
    Outgoing,
    PeerResponse,
    Timing,
    VoteRequest,
)
from woadyard.registry.replication_progress import ReplicationProgress

TICK_S, POLL_S, CALL_S = 0.05, 0.25, 1.0
TIMING = Timing()
Entry = tuple[int, str]  # term and payload


@dataclass
class Disk:
    """The state that survives a crash; a wiped disk comes back under a new name."""

    name: str
    ballot: Ballot = field(default_factory=Ballot)
    log: list[Entry] = field(default_factory=list)


class Member:
    """One process: the real election, and a minimal form of the replication in log.py and follow.py."""

    def __init__(self, world: World, address: str, disk: Disk) -> None:
        self.world, self.address, self.disk = world, address, disk
        peers = [peer for peer in world.addresses if peer != address]
        self.election = Election(
            disk.name, peers, disk.ballot, self.log_position, world.rng, world.now, TIMING
        )
        self.progress, self.leader_term, self.first_index = (
            ReplicationProgress(self.election.quorum_peers),
            0,
            0,
        )
        self.pending: list[tuple[int, str]] = []

    def log_position(self) -> LogPosition:
        log = self.disk.log
        return LogPosition("a" if log else "", (log[-1][0] if log else 0, len(log)))

    def apply_turn(self, messages: list[Outgoing]) -> None:
        """Stores the ballot, then updates the role, then sends, in the order of `Elector`."""
        election = self.election
        self.disk.ballot = election.ballot
        if election.role == LEADER and self.leader_term != election.term:
            self.leader_term = election.term
            assert self.world.leaders.setdefault(self.leader_term, self.disk.name) == self.disk.name
            self.disk.log.append((self.leader_term, "lead"))
            self.progress, self.pending, self.first_index = (
                ReplicationProgress(election.quorum_peers),
                [],
                len(self.disk.log),
            )
        for peer, message in messages:
            self.world.send(self, peer, message)

    def tick(self) -> None:
        self.apply_turn(self.election.tick(self.world.now))

    def write(self, payload: str) -> bool:
        if self.election.role != LEADER:
            return False
        self.disk.log.append((self.leader_term, payload))
        self.pending.append((len(self.disk.log), payload))
        return True

    def receive(self, message: Message) -> PeerResponse:
        if isinstance(message, VoteRequest):
            response = self.election.handle_vote_request(message, self.world.now)
        else:
            response = self.election.handle_heartbeat(message, self.world.now)
        self.apply_turn([])
        return response

    def poll(self) -> None:
        """As a follower, fetches missing entries from the leader and reports its own log."""
        peer = self.election.address_of(self.election.leader)
        if self.election.role == FOLLOWER and peer is not None:
            arguments = self.election.term, self.disk.name, list(self.disk.log)
            self.world.exchange(
                self.address, peer, lambda receiver: receiver.serve_poll(*arguments), self.take
            )

    def serve_poll(self, term: int, name: str, log: list[Entry]) -> tuple[int, list[Entry]] | None:
        self.election.adopt_term(term, self.world.now)
        self.apply_turn([])
        if self.election.role != LEADER:
            return None
        if self.disk.log[: len(log)] == log and self.election.record_poll(name, len(log), self.world.now):
            self.progress.record_match(name, len(log), self.world.now)
        committed = self.progress.advance_commit(len(self.disk.log), self.world.now)
        for index, payload in list(self.pending):
            if index <= committed and committed >= self.first_index:
                self.pending.remove((index, payload))
                self.world.acknowledged.append((index, (self.leader_term, payload)))
        return self.leader_term, list(self.disk.log)

    def take(self, response: tuple[int, list[Entry]] | None) -> None:
        if response is not None and response[0] >= self.election.term:
            log = response[1]
            if self.disk.log != log[: len(self.disk.log)] or len(log) > len(self.disk.log):
                self.disk.log = log


class World:
    """Members on one simulated clock, with links that drop, delay or are cut."""

    def __init__(self, count: int, seed: int, founded: bool = True) -> None:
        self.rng, self.now = random.Random(seed), 0.0
        self.addresses = [f"m{n}" for n in range(count)]
        self.loss, self.delay = 0.0, (0.0005, 0.002)
        self.cut: set[tuple[str, str]] = set()  # (from, to)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.identities = 0, 0
        self.leaders: dict[int, str] = {}
        self.acknowledged: list[tuple[int, Entry]] = []
        self.members: dict[str, Member] = {}
        self.down: dict[str, Disk] = {}
        for address in self.addresses:
            self.down[address] = Disk(self.identity(), Ballot(standing=MEMBER if founded else NEW))
            self.start(address)
        for address in self.addresses:
            self.every(address, TICK_S, lambda member: member.tick())
            self.every(address, POLL_S, lambda member: member.poll())

    def identity(self) -> str:
        self.identities += 1
        return f"id-{self.identities}"

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, callback))

    def every(self, address: str, period_s: float, callback: Callable[[Member], None]) -> None:
        def repeat() -> None:
            if address in self.members:
                callback(self.members[address])
            self.call_at(self.now + period_s * self.rng.uniform(0.9, 1.1), repeat)

        self.call_at(self.now + self.rng.uniform(0.0, period_s), repeat)

    def run_until(self, at_s: float) -> None:
        while self.events and self.events[0][0] <= at_s:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = at_s

    def exchange(
        self, origin: str, target: str, call: Callable[[Member], Any], on_response: Callable[[Any], None]
    ) -> None:
        """Sends a call and its response; each may be lost, and each end may have been restarted meanwhile."""
        caller, deadline_s = self.members[origin], self.now + CALL_S

        def is_delivered(sender: str, receiver: str) -> bool:
            return (sender, receiver) not in self.cut and self.rng.random() >= self.loss

        def arrive() -> None:
            if is_delivered(origin, target) and (member := self.members.get(target)) is not None:
                response = call(member)
                self.call_at(self.now + self.rng.uniform(*self.delay), lambda: respond(response))

        def respond(response: Any) -> None:
            if is_delivered(target, origin) and self.members.get(origin) is caller and self.now < deadline_s:
                on_response(response)

        self.call_at(self.now + self.rng.uniform(*self.delay), arrive)

    def send(self, member: Member, peer: str, message: Message) -> None:
        self.exchange(
            member.address, peer, lambda receiver: receiver.receive(message),
            lambda response: member.apply_turn(
                member.election.handle_response(peer, message, response, self.now)
            ),
        )  # fmt: skip

    def start(self, address: str) -> None:
        self.members[address] = Member(self, address, self.down.pop(address))

    def stop(self, address: str) -> None:
        self.down[address] = self.members.pop(address).disk

    def isolate(self, address: str) -> None:
        for other in self.addresses:
            self.cut |= {(other, address), (address, other)}

    def leader(self) -> Member | None:
        """The leader of the greatest term."""
        leaders = [member for member in self.members.values() if member.election.role == LEADER]
        return max(leaders, key=lambda member: member.leader_term, default=None)

    def write(self, payload: str) -> None:
        """Writes at every member that believes it leads; `acknowledged` shows which of them did."""
        for member in self.members.values():
            member.write(f"{payload}@{member.address}")

    def write_until_acknowledged(self, payload: str, bound_s: float) -> float:
        """Writes until a write is acknowledged; returns the time it took, s. Fails past `bound_s`."""
        start_s, count = self.now, len(self.acknowledged)
        while len(self.acknowledged) == count:
            assert self.now - start_s < bound_s, f"no write was acknowledged within {bound_s} s"
            self.write(payload)
            self.run_until(self.now + TICK_S)
        return self.now - start_s

    def check(self) -> None:
        """Checks that each acknowledged write is still at its index, in the log of a majority and so in that
        of the leader of the greatest term."""
        leader = self.leader()
        assert leader is not None
        assert len({index for index, _ in self.acknowledged}) == len(self.acknowledged), (
            "two leaders acknowledged one index"
        )
        for index, entry in self.acknowledged:
            assert leader.disk.log[index - 1] == entry, f"lost: {entry} at {index}"
