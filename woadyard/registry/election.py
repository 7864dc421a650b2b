"""Leader election after Raft (Ongaro and Ousterhout, 2014), with the salted terms of the registry's log.

Pure: no I/O and no clock. The caller passes the time (`now`, s of its monotonic clock), messages and
responses, gets back the messages to send, and stores the ballot on disk before it sends or answers.

Requirements, for 3 or 5 processes of one log: a leader that is killed or cut off is replaced, and a
requested change is in force at all watchers within 9 s (aim: 99 in 100 within 5 s); no acknowledged
write is lost; two leaders never both acknowledge writes; a change of leader expires no lease; the
minority side of a partition acknowledges no write and serves its list; no election without need.

A member that receives no heartbeat for a random timeout first asks all others whether they would vote
for it (pre-vote and leader stickiness; Ongaro's thesis, 2014, 9.6 and 4.2.3). Only if a majority would,
it raises its term and requests votes. A member votes once a term, for a log at least as far as its own
by (term, index) of the last entry. A leader that no majority answered for an election timeout steps
down. Terms are salted (replicated_state.py): the greater of two competing terms wins, no vote is split.

A member with an empty folder is `NEW`: it may have forgotten votes and entries, and is a learner that
neither votes nor counts towards a majority. It becomes a voting member where all members are present
and none ever had an elected leader (`FOUNDING`), or by a leader's promotion: once no campaign from
before its start can win, a majority without it confirmed the leader, and it holds all that leader held.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from woadyard.errors import PeerError
from woadyard.registry.replicated_state import SALT_BITS, next_term

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
NEW, FOUNDING, MEMBER = "new", "founding", "member"
EntryPosition = tuple[int, int]  # term and index of a log entry


class Timing(msgspec.Struct, frozen=True):
    """Intervals in s. The election timeout is drawn between `timeout_s` and `timeout_most_s`. A failed
    pre-vote does not disturb the other members and is repeated after a delay drawn from `again_s`."""

    timeout_s: float = 1.5
    timeout_most_s: float = 3.0
    beat_s: float = 0.3
    again_s: tuple[float, float] = (0.4, 1.0)
    newcomer_s: float = 6.0  # twice the longest campaign
    unpolled_s: float = 5.0  # a leader whose log no majority polls steps down, even if it is answered


class Ballot(msgspec.Struct, frozen=True):
    """The state that survives a restart. `floor`: no vote goes to a log that ends before it."""

    term: int = 0
    voted_for: str = ""
    standing: str = NEW
    floor: EntryPosition = (0, 0)


class LogPosition(NamedTuple):
    """A member's log: its lineage and the position of its last entry."""

    lineage: str
    last: EntryPosition


class VoteRequest(msgspec.Struct, frozen=True):
    """A candidate's request for a vote, or for a pre-vote (`trial`). `voter`: the sender may vote itself."""

    name: str
    lineage: str
    members: int
    term: int
    last: EntryPosition
    trial: bool
    voter: bool


class Heartbeat(msgspec.Struct, frozen=True):
    """A leader's heartbeat; `promoted` names a learner that is a voting member from now on."""

    name: str
    lineage: str
    members: int
    term: int
    serial: int
    promoted: str = ""


class PeerResponse(msgspec.Struct, frozen=True):
    """A member's response to a vote request or a heartbeat, with the state of its log."""

    name: str
    lineage: str
    term: int
    last: EntryPosition
    standing: str
    granted: bool


Message = VoteRequest | Heartbeat


class Outgoing(NamedTuple):
    """A message to send to a peer."""

    peer: str
    message: Message


@dataclass
class Learner:
    """A leader's progress record of a non-voting member, which has lost its disk or never had one."""

    since_s: float
    target: int | None = None  # log index that it has to reach
    serial: int = 0  # heartbeats after this one confirm the leader
    confirmed_by: set[str] = field(default_factory=set)
    match_index: int = 0  # log index up to which its log is known to match


class Election:
    """One member's part in the election. `peers` are the addresses of the others, `name` is its own name."""

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        ballot: Ballot,
        get_log: Callable[[], LogPosition],
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.name, self.peers, self.ballot, self.get_log, self.rng = name, tuple(peers), ballot, get_log, rng
        self.timing = timing or Timing()
        self.member_count = len(self.peers) + 1
        self.quorum_peers = self.member_count // 2  # how many peers form a majority with this member
        self.role = FOLLOWER
        self.leader: str | None = None
        self.last_heartbeat_s = -math.inf  # of the current leader
        self.responses: dict[str, PeerResponse] = {}  # by peer address
        self.votes: set[str] = set()
        self.campaign: VoteRequest | None = None  # the vote request in progress
        self.last_contact_s: dict[str, float] = {}  # at a leader, by member name: last response or poll
        self.last_poll_s: dict[str, float] = {}  # the same, polls only
        self.learners: dict[str, Learner] = {}
        self.leading_since_s, self.next_heartbeat_s, self.serial = -math.inf, 0.0, 0
        self.last_tick_s, self.grace_until_s = now, -math.inf
        self.next_probe_s = now
        self._reset_election_timeout(now)

    @property
    def term(self) -> int:
        return self.ballot.term

    @property
    def is_voter(self) -> bool:
        return self.ballot.standing != NEW

    def address_of(self, name: str | None) -> str | None:
        """The peer address from which the member of this name last responded."""
        return next((peer for peer, member in self.responses.items() if member.name == name), None)

    def is_voting_member(self, name: str) -> bool:
        """Whether the entries that this member holds count towards a majority."""
        return any(member.name == name and member.standing != NEW for member in self.responses.values())

    def quorum_contact_s(self) -> float:
        """The last time at which a majority is known to have followed this leader."""
        return self._quorum_time_s(self.last_contact_s)

    def _quorum_time_s(self, times_s: dict[str, float]) -> float:
        newest_s = sorted((at for name, at in times_s.items() if self.is_voting_member(name)), reverse=True)
        return newest_s[self.quorum_peers - 1] if len(newest_s) >= self.quorum_peers else -math.inf

    def status(self, now: float) -> dict[str, Any]:
        """For operators: role and standing, and at a leader the time since the last contact of each peer."""
        silent_s = {
            peer: now - self.last_contact_s[member.name]
            for peer, member in self.responses.items()
            if member.name in self.last_contact_s
        }
        standings = {
            peer: {"standing": member.standing, "silent_s": silent_s.get(peer)}
            for peer, member in self.responses.items()
        }
        return {"role": self.role, "standing": self.ballot.standing, "members": standings}

    def adopt_term(self, term: int, now: float) -> None:
        """Adopts a greater term that another process acts on, and steps down."""
        if term > self.term:
            self.ballot = msgspec.structs.replace(self.ballot, term=term, voted_for="")
            self.step_down(now)

    def step_down(self, now: float) -> None:
        """Becomes a follower without a known leader."""
        self.role, self.leader, self.campaign = FOLLOWER, None, None
        self._reset_election_timeout(now)

    def _reset_election_timeout(self, now: float) -> None:
        self.election_deadline_s = now + self.rng.uniform(self.timing.timeout_s, self.timing.timeout_most_s)

    def tick(self, now: float) -> list[Outgoing]:
        """Returns the messages that are due; to be called a few times in each `beat_s`."""
        if now - self.last_tick_s > 2.0 * self.timing.beat_s:
            # This process was paused: messages received meanwhile are read before any timeout takes effect.
            self.election_deadline_s = max(self.election_deadline_s, now + 2.0 * self.timing.beat_s)
            self.grace_until_s = now + 2.0 * self.timing.beat_s
        self.last_tick_s = now
        if self.role == LEADER:
            return self._tick_leader(now)
        if now >= self.election_deadline_s:
            self.leader = None
            if self.is_voter and self.get_log().last >= self.ballot.floor:
                return self._start_pre_vote(now)
            self._reset_election_timeout(now)
        must_probe = len(self.responses) < len(self.peers) or (
            self.leader and self.address_of(self.leader) is None
        )
        if now >= self.next_probe_s and (must_probe or not self.is_voter):
            self.next_probe_s = now + self.rng.uniform(*self.timing.again_s)
            return self._broadcast(self._vote_request(self.term, True))
        return []

    def _broadcast(self, message: Message) -> list[Outgoing]:
        return [Outgoing(peer, message) for peer in self.peers]

    def _vote_request(self, term: int, trial: bool) -> VoteRequest:
        log = self.get_log()
        return VoteRequest(self.name, log.lineage, self.member_count, term, log.last, trial, self.is_voter)

    def _start_pre_vote(self, now: float) -> list[Outgoing]:
        """Requests pre-votes for the next term."""
        self.role, self.votes = CANDIDATE, set()
        # Elected terms stay within an era: a leader appointed by operators begins a new era, above them all.
        term = next_term(self.term, resumes=True, salt=self.rng.getrandbits(SALT_BITS))
        self.campaign = self._vote_request(term, True)
        self.election_deadline_s = now + self.rng.uniform(*self.timing.again_s)
        return self._broadcast(self.campaign)

    def _tick_leader(self, now: float) -> list[Outgoing]:
        silent_s = now - max(self.leading_since_s, self.quorum_contact_s())
        unpolled_s = now - max(self.leading_since_s, self._quorum_time_s(self.last_poll_s))
        has_lost_quorum = silent_s >= self.timing.timeout_s or unpolled_s >= self.timing.unpolled_s
        if has_lost_quorum and now >= self.grace_until_s:
            self.step_down(now)
            return []
        if now < self.next_heartbeat_s:
            return []
        self.next_heartbeat_s = now + self.timing.beat_s
        self.serial += 1
        log = self.get_log()
        heartbeat = Heartbeat(self.name, log.lineage, self.member_count, self.term, self.serial)
        return [
            Outgoing(peer, msgspec.structs.replace(heartbeat, promoted=self._promotion(peer, now)))
            for peer in self.peers
        ]

    def _promotion(self, peer: str, now: float) -> str:
        """The name of the learner at this address once it may vote, else an empty string."""
        if (member := self.responses.get(peer)) is None or member.standing != NEW:
            return ""
        learner = self.learners.setdefault(member.name, Learner(now))
        if learner.target is None:
            if now - learner.since_s >= self.timing.newcomer_s:
                learner.target, learner.serial = self.get_log().last[1], self.serial - 1
            return ""
        return (
            member.name
            if len(learner.confirmed_by) >= self.quorum_peers and learner.match_index >= learner.target
            else ""
        )

    def handle_vote_request(self, request: VoteRequest, now: float) -> PeerResponse:
        """Answers a candidate. Raises `PeerError` where the sender is no member."""
        self._check_sender(request)
        return self._response(self._grants_vote(request, now))

    def _grants_vote(self, request: VoteRequest, now: float) -> bool:
        has_leader = self.leader is not None and now - self.last_heartbeat_s < self.timing.timeout_s
        if self.role == LEADER or has_leader:
            return False  # the term is not adopted either: a live leader is not disturbed
        is_eligible = (
            request.voter and self.is_voter and request.last >= max(self.get_log().last, self.ballot.floor)
        )
        if request.trial:
            return is_eligible and request.term > self.term
        self.adopt_term(request.term, now)
        if not is_eligible or request.term < self.term or self.ballot.voted_for not in ("", request.name):
            return False
        self.ballot = msgspec.structs.replace(self.ballot, voted_for=request.name)
        self._reset_election_timeout(now)
        return True

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> PeerResponse:
        """Answers a leader. Raises `PeerError` where the sender is no member."""
        self._check_sender(heartbeat)
        if heartbeat.term < self.term:
            return self._response(False)
        self.adopt_term(heartbeat.term, now)
        if self.role != FOLLOWER:
            self.step_down(now)
        self.leader, self.last_heartbeat_s = heartbeat.name, now
        self._reset_election_timeout(now)
        if self.ballot.standing == FOUNDING:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER)
        if heartbeat.promoted == self.name and self.ballot.standing == NEW:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER, voted_for=heartbeat.name)
        return self._response(True)

    def _response(self, granted: bool) -> PeerResponse:
        log = self.get_log()
        return PeerResponse(self.name, log.lineage, self.term, log.last, self.ballot.standing, granted)

    def _check_sender(self, message: Message) -> None:
        """Raises `PeerError` unless the sender is a member; an empty log has no lineage and may join any."""
        if message.members != self.member_count:
            raise PeerError(
                f"{message.members} members at the peer, {self.member_count} at this process",
                "start all members with the same set in --peers",
            )
        if message.name == self.name:
            raise PeerError("a member received its own message", "name only the other members in --peers")
        if self.get_log().lineage and message.lineage and message.lineage != self.get_log().lineage:
            raise PeerError(
                "the peer's log is of another lineage",
                "find out which data folder is the right one; start the other member with an empty folder",
            )

    def handle_response(
        self, peer: str, message: Message, response: PeerResponse, now: float
    ) -> list[Outgoing]:
        """Handles a peer's response to a message of this member; returns the messages to send next."""
        lineage = self.get_log().lineage
        if response.name == self.name or (lineage and response.lineage not in ("", lineage)):
            return []
        self.responses[peer] = response
        if response.term > self.term:
            self.adopt_term(response.term, now)
        elif isinstance(message, Heartbeat):
            self._record_confirmation(message, response, now)
        elif message is self.campaign and response.granted:
            self.votes.add(response.name)
            if len(self.votes) >= self.quorum_peers:
                return self._advance_campaign(now)
        self._try_founding(now)
        return []

    def _advance_campaign(self, now: float) -> list[Outgoing]:
        assert self.campaign is not None
        if self.campaign.trial:
            self.ballot = msgspec.structs.replace(self.ballot, term=self.campaign.term, voted_for=self.name)
            self.votes, self.campaign = set(), self._vote_request(self.term, False)
            self._reset_election_timeout(now)
            return self._broadcast(self.campaign)
        self.role, self.leader, self.campaign = LEADER, self.name, None
        self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER)
        self.leading_since_s, self.next_heartbeat_s = now, now
        self.last_contact_s.clear()
        self.last_poll_s.clear()
        self.learners.clear()
        return self._tick_leader(now)

    def _try_founding(self, now: float) -> None:
        """Founds the cluster where all responded and none ever had a leader: nothing can be forgotten."""
        members = self.responses.values()
        all_present = len({member.name for member in members}) == len(self.peers)
        lineages = {self.get_log().lineage, *(member.lineage for member in members)} - {""}
        if (
            self.is_voter
            or not all_present
            or len(lineages) > 1
            or any(member.standing == MEMBER for member in members)
        ):
            return
        floor = max(self.get_log().last, *(member.last for member in members))
        self.ballot = msgspec.structs.replace(self.ballot, standing=FOUNDING, floor=floor)
        self._reset_election_timeout(now)  # by then the others probe and found the cluster too

    def _record_confirmation(self, heartbeat: Heartbeat, response: PeerResponse, now: float) -> None:
        if self.role != LEADER or heartbeat.term != self.term or not response.granted:
            return
        self.last_contact_s[response.name] = now
        for learner in self.learners.values():
            if learner.target is not None and heartbeat.serial > learner.serial and response.standing != NEW:
                learner.confirmed_by.add(response.name)

    def record_poll(self, name: str, index: int, now: float) -> bool:
        """Records that a member holds the log up to `index`; returns whether it counts to a majority."""
        if self.role != LEADER:
            return False
        if self.is_voting_member(name):
            self.last_contact_s[name] = self.last_poll_s[name] = now
            return True
        if (learner := self.learners.get(name)) is not None:
            learner.match_index = max(learner.match_index, index)
        return False
