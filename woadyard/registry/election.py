"""Who writes: Raft's election (Ongaro and Ousterhout, 2014), fitted to the log's terms.

Pure: no I/O and no clock. It is told times (s of the caller's monotonic clock), messages
and answers, and says what to send; the role, the leader and the ballot are read off it.
The caller keeps the ballot on disk before anything of the same turn is sent or answered.

What it has to hold, stated before it was built, with 3 or 5 processes of one log:
a writer that was killed or cut off has a successor, and a change asked for is in force at
all watchers within 9 s (aim: 99 in 100 within 5 s); no answered write is lost; never do two
writers both have their writes answered; no lease ends by the change of writers; the lesser
side of a split answers no write and serves its list on; no election without need.

How: a member that hears nothing of a leader for a drawn time asks all whether they would
vote for it (pre-vote and stickiness; Ongaro's thesis, 2014, 9.6 and 4.2.3), and only then
raises its term and asks for votes. A member votes once a term, for a log at least as far as
its own by (term, index) of the last record. A leader that no majority answered for an
election timeout steps down. Terms are salted (host.py), so of two that ask at once the
greater term wins and no vote is split.

A member whose folder is empty is `NEW` and may have forgotten its votes and records: it
neither votes nor counts as a copy. It becomes a member where all members are there and none
ever had an elected leader (`FOUNDING`), or by a leader's word: once no candidacy from before
its start can still win, a majority without it confirmed the leader, and it holds all that the
leader then held.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from woadyard.errors import PeerError
from woadyard.registry.host import SALT_BITS, next_term

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
NEW, FOUNDING, MEMBER = "new", "founding", "member"
EntryPosition = tuple[int, int]  # term and index of a log's last record


class Timing(msgspec.Struct, frozen=True):
    """s. A leader is missed after a time drawn from `timeout_s` to `timeout_most_s`; a pre-vote
    that fails costs nobody anything and is repeated after one drawn from `again_s`."""

    timeout_s: float = 1.5
    timeout_most_s: float = 3.0
    beat_s: float = 0.3
    again_s: tuple[float, float] = (0.4, 1.0)
    newcomer_s: float = 6.0  # twice the longest candidacy
    unpolled_s: float = 5.0  # a leader that answers come to, and whose log nobody reads, steps down


class Ballot(msgspec.Struct, frozen=True):
    """What outlives a restart. `floor`: nobody is voted for whose log ends before it."""

    term: int = 0
    voted_for: str = ""
    standing: str = NEW
    floor: EntryPosition = (0, 0)


class LogState(NamedTuple):
    """A member's log: which one, and where it ends."""

    lineage: str
    last: EntryPosition


class VoteRequest(msgspec.Struct, frozen=True):
    """A call for a vote, or (`trial`) whether there would be one. `voter`: the asker has a vote itself."""

    name: str
    lineage: str
    members: int
    term: int
    last: EntryPosition
    trial: bool
    voter: bool


class Heartbeat(msgspec.Struct, frozen=True):
    """A leader's sign of life; `promoted` names a newcomer that is a member from now on."""

    name: str
    lineage: str
    members: int
    term: int
    serial: int
    promoted: str = ""


class ElectionResponse(msgspec.Struct, frozen=True):
    """A member's answer to either, and where it stands."""

    name: str
    lineage: str
    term: int
    last: EntryPosition
    standing: str
    granted: bool


Message = VoteRequest | Heartbeat


class OutgoingMessage(NamedTuple):
    """A message to send to a peer."""

    peer: str
    message: Message


@dataclass
class Learner:
    """At a leader: a member that lost its disk, or never had one."""

    since_s: float
    target_index: int | None = None  # the index that it has to hold
    heartbeat_serial: int = 0  # beats past this one confirm the leader
    confirmed_by: set[str] = field(default_factory=set)
    match_index: int = 0


class Election:
    """One member's side. `peers` are the addresses of the others, `name` is this process's own."""

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        ballot: Ballot,
        log_state: Callable[[], LogState],
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.name, self.peers, self.ballot, self.log_state, self.rng = (
            name,
            tuple(peers),
            ballot,
            log_state,
            rng,
        )
        self.timing = timing or Timing()
        self.member_count = len(self.peers) + 1
        self.quorum_peers = self.member_count // 2  # others, so that with this one they are a majority
        self.role = FOLLOWER
        self.leader: str | None = None
        self.last_heartbeat_s = -math.inf  # of the leader
        self.last_responses: dict[str, ElectionResponse] = {}  # the last answer, by peer
        self.votes: set[str] = set()
        self.campaign: VoteRequest | None = None  # the candidacy under way
        # A leader's: when each member last answered or polled, and when it last polled.
        self.last_contact_s: dict[str, float] = {}
        self.last_poll_s: dict[str, float] = {}
        self.learners: dict[str, Learner] = {}
        self.leading_since_s, self.next_heartbeat_s, self.heartbeat_serial = -math.inf, 0.0, 0
        self.last_tick_s, self.grace_until_s = now, -math.inf
        self.next_probe_s = now
        self._reset_election_timeout(now)

    # --- Where it stands --------------------------------------------------------------

    @property
    def term(self) -> int:
        return self.ballot.term

    @property
    def is_voter(self) -> bool:
        return self.ballot.standing != NEW

    def address_of(self, name: str | None) -> str | None:
        """The address at which the member of this name last answered."""
        return next((peer for peer, met in self.last_responses.items() if met.name == name), None)

    def is_voting_member(self, name: str) -> bool:
        """Whether what this member holds counts towards a majority."""
        return any(met.name == name and met.standing != NEW for met in self.last_responses.values())

    def quorum_contact_s(self) -> float:
        """When a majority was last known to follow this leader."""
        return self._quorum_time_s(self.last_contact_s)

    def _quorum_time_s(self, times: dict[str, float]) -> float:
        found = sorted((at for name, at in times.items() if self.is_voting_member(name)), reverse=True)
        return found[self.quorum_peers - 1] if len(found) >= self.quorum_peers else -math.inf

    def status(self, now: float) -> dict[str, Any]:
        """For operators: its role and standing, and at a leader for how long each peer was silent."""
        silent = {
            peer: now - self.last_contact_s[met.name]
            for peer, met in self.last_responses.items()
            if met.name in self.last_contact_s
        }
        standings = {
            peer: {"standing": met.standing, "silent_s": silent.get(peer)}
            for peer, met in self.last_responses.items()
        }
        return {"role": self.role, "standing": self.ballot.standing, "members": standings}

    def observe_term(self, term: int, now: float) -> None:
        """Somebody acts on `term`."""
        if term > self.term:
            self.ballot = msgspec.structs.replace(self.ballot, term=term, voted_for="")
            self.step_down(now)

    def step_down(self, now: float) -> None:
        """No leader is known, and this one is none."""
        self.role, self.leader, self.campaign = FOLLOWER, None, None
        self._reset_election_timeout(now)

    def _reset_election_timeout(self, now: float) -> None:
        self.election_deadline_s = now + self.rng.uniform(self.timing.timeout_s, self.timing.timeout_most_s)

    # --- Time -------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingMessage]:
        """What to send by now; to be called a few times in each `beat_s`."""
        if now - self.last_tick_s > 2.0 * self.timing.beat_s:
            # This process stood still: what was sent to it meanwhile is read before it judges.
            self.election_deadline_s = max(self.election_deadline_s, now + 2.0 * self.timing.beat_s)
            self.grace_until_s = now + 2.0 * self.timing.beat_s
        self.last_tick_s = now
        if self.role == LEADER:
            return self._tick_leader(now)
        if now >= self.election_deadline_s:
            self.leader = None
            if self.is_voter and self.log_state().last >= self.ballot.floor:
                return self._start_pre_vote(now)
            self._reset_election_timeout(now)
        unmet = len(self.last_responses) < len(self.peers) or (
            self.leader and self.address_of(self.leader) is None
        )
        if now >= self.next_probe_s and (unmet or not self.is_voter):
            self.next_probe_s = now + self.rng.uniform(*self.timing.again_s)
            return self._broadcast(self._vote_request(self.term, True))
        return []

    def _broadcast(self, message: Message) -> list[OutgoingMessage]:
        return [OutgoingMessage(peer, message) for peer in self.peers]

    def _vote_request(self, term: int, trial: bool) -> VoteRequest:
        log = self.log_state()
        return VoteRequest(self.name, log.lineage, self.member_count, term, log.last, trial, self.is_voter)

    def _start_pre_vote(self, now: float) -> list[OutgoingMessage]:
        """A pre-vote, for the term that would be next."""
        self.role, self.votes = CANDIDATE, set()
        # In small steps: a writer that operators appoint begins an era, and outdoes all of these.
        term = next_term(self.term, resumes=True, salt=self.rng.getrandbits(SALT_BITS))
        self.campaign = self._vote_request(term, True)
        self.election_deadline_s = now + self.rng.uniform(*self.timing.again_s)
        return self._broadcast(self.campaign)

    def _tick_leader(self, now: float) -> list[OutgoingMessage]:
        silent_s = now - max(self.leading_since_s, self.quorum_contact_s())
        unpolled_s = now - max(self.leading_since_s, self._quorum_time_s(self.last_poll_s))
        lost = silent_s >= self.timing.timeout_s or unpolled_s >= self.timing.unpolled_s
        if lost and now >= self.grace_until_s:
            self.step_down(now)
            return []
        if now < self.next_heartbeat_s:
            return []
        self.next_heartbeat_s = now + self.timing.beat_s
        self.heartbeat_serial += 1
        log = self.log_state()
        made = Heartbeat(self.name, log.lineage, self.member_count, self.term, self.heartbeat_serial)
        return [
            OutgoingMessage(peer, msgspec.structs.replace(made, promoted=self._promotable_learner(peer, now)))
            for peer in self.peers
        ]

    def _promotable_learner(self, peer: str, now: float) -> str:
        """The name of the newcomer there, once it may vote."""
        if (met := self.last_responses.get(peer)) is None or met.standing != NEW:
            return ""
        one = self.learners.setdefault(met.name, Learner(now))
        if one.target_index is None:
            if now - one.since_s >= self.timing.newcomer_s:
                one.target_index, one.heartbeat_serial = self.log_state().last[1], self.heartbeat_serial - 1
            return ""
        return (
            met.name
            if len(one.confirmed_by) >= self.quorum_peers and one.match_index >= one.target_index
            else ""
        )

    # --- What others ask --------------------------------------------------------------

    def handle_vote_request(self, ask: VoteRequest, now: float) -> ElectionResponse:
        """A candidate's call. `PeerError` where it is no member's."""
        self._check_sender(ask)
        return self._response(self._grants_vote(ask, now))

    def _grants_vote(self, ask: VoteRequest, now: float) -> bool:
        led = self.leader is not None and now - self.last_heartbeat_s < self.timing.timeout_s
        if self.role == LEADER or led:
            return False  # and its term changes nothing here: the leader is well
        fits = ask.voter and self.is_voter and ask.last >= max(self.log_state().last, self.ballot.floor)
        if ask.trial:
            return fits and ask.term > self.term
        self.observe_term(ask.term, now)
        if not fits or ask.term < self.term or self.ballot.voted_for not in ("", ask.name):
            return False
        self.ballot = msgspec.structs.replace(self.ballot, voted_for=ask.name)
        self._reset_election_timeout(now)
        return True

    def handle_heartbeat(self, beat: Heartbeat, now: float) -> ElectionResponse:
        """A leader's sign of life. `PeerError` where it is no member's."""
        self._check_sender(beat)
        if beat.term < self.term:
            return self._response(False)
        self.observe_term(beat.term, now)
        if self.role != FOLLOWER:
            self.step_down(now)
        self.leader, self.last_heartbeat_s = beat.name, now
        self._reset_election_timeout(now)
        if self.ballot.standing == FOUNDING:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER)
        if beat.promoted == self.name and self.ballot.standing == NEW:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER, voted_for=beat.name)
        return self._response(True)

    def _response(self, granted: bool) -> ElectionResponse:
        log = self.log_state()
        return ElectionResponse(self.name, log.lineage, self.term, log.last, self.ballot.standing, granted)

    def _check_sender(self, message: Message) -> None:
        """An empty log may become any log; two that are not empty have to be one."""
        if message.members != self.member_count:
            raise PeerError(
                f"{message.members} members there, {self.member_count} here",
                "start all members with the same ones in --peers",
            )
        if message.name == self.name:
            raise PeerError("a member asks itself", "name only the other members in --peers")
        if self.log_state().lineage and message.lineage and message.lineage != self.log_state().lineage:
            raise PeerError(
                "the member's log is of another lineage",
                "see which folder is the right one; start the other member with an empty one",
            )

    # --- What others answer -----------------------------------------------------------

    def handle_response(
        self, peer: str, message: Message, reply: ElectionResponse, now: float
    ) -> list[OutgoingMessage]:
        """A peer's answer to a message of this one; what to send next."""
        lineage = self.log_state().lineage
        if reply.name == self.name or (lineage and reply.lineage not in ("", lineage)):
            return []
        self.last_responses[peer] = reply
        if reply.term > self.term:
            self.observe_term(reply.term, now)
        elif isinstance(message, Heartbeat):
            self._record_confirmation(message, reply, now)
        elif message is self.campaign and reply.granted:
            self.votes.add(reply.name)
            if len(self.votes) >= self.quorum_peers:
                return self._advance_campaign(now)
        self._try_founding(now)
        return []

    def _advance_campaign(self, now: float) -> list[OutgoingMessage]:
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
        """With all members there, none of which ever had a leader, nothing can have been forgotten."""
        met = self.last_responses.values()
        all_met = len({one.name for one in met}) == len(self.peers)
        lineages = {self.log_state().lineage, *(one.lineage for one in met)} - {""}
        if self.is_voter or not all_met or len(lineages) > 1 or any(one.standing == MEMBER for one in met):
            return
        floor = max(self.log_state().last, *(one.last for one in met))
        self.ballot = msgspec.structs.replace(self.ballot, standing=FOUNDING, floor=floor)
        self._reset_election_timeout(now)  # the others ask within that time, and found it too

    def _record_confirmation(self, beat: Heartbeat, reply: ElectionResponse, now: float) -> None:
        if self.role != LEADER or beat.term != self.term or not reply.granted:
            return
        self.last_contact_s[reply.name] = now
        for one in self.learners.values():
            if one.target_index is not None and beat.serial > one.heartbeat_serial and reply.standing != NEW:
                one.confirmed_by.add(reply.name)

    def record_poll(self, name: str, index: int, now: float) -> bool:
        """At a leader: the member of this name proved that it holds the log up to `index`;
        whether that counts towards a majority."""
        if self.role != LEADER:
            return False
        if self.is_voting_member(name):
            self.last_contact_s[name] = self.last_poll_s[name] = now
            return True
        if (one := self.learners.get(name)) is not None:
            one.match_index = max(one.match_index, index)
        return False
