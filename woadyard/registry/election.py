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
from woadyard.registry.replicated_state import SALT_BITS, next_term

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
NEW, FOUNDING, MEMBER = "new", "founding", "member"
Place = tuple[int, int]  # term and index of a log's last record


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
    floor: Place = (0, 0)


class Log(NamedTuple):
    """A member's log: which one, and where it ends."""

    lineage: str
    last: Place


class Ask(msgspec.Struct, frozen=True):
    """A call for a vote, or (`trial`) whether there would be one. `voter`: the asker has a vote itself."""

    name: str
    lineage: str
    members: int
    term: int
    last: Place
    trial: bool
    voter: bool


class Beat(msgspec.Struct, frozen=True):
    """A leader's sign of life; `promoted` names a newcomer that is a member from now on."""

    name: str
    lineage: str
    members: int
    term: int
    serial: int
    promoted: str = ""


class Reply(msgspec.Struct, frozen=True):
    """A member's answer to either, and where it stands."""

    name: str
    lineage: str
    term: int
    last: Place
    standing: str
    granted: bool


Message = Ask | Beat


class Call(NamedTuple):
    """A message to send to a peer."""

    peer: str
    message: Message


@dataclass
class Newcomer:
    """At a leader: a member that lost its disk, or never had one."""

    since: float
    goal: int | None = None  # the index that it has to hold
    serial: int = 0  # beats past this one confirm the leader
    confirmed: set[str] = field(default_factory=set)
    reached: int = 0


class Election:
    """One member's side. `peers` are the addresses of the others, `name` is this process's own."""

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        ballot: Ballot,
        log: Callable[[], Log],
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.name, self.peers, self.ballot, self.log, self.rng = name, tuple(peers), ballot, log, rng
        self.timing = timing or Timing()
        self.members = len(self.peers) + 1
        self.needed = self.members // 2  # others, so that with this one they are a majority
        self.role = FOLLOWER
        self.leader: str | None = None
        self.heard = -math.inf  # of the leader
        self.met: dict[str, Reply] = {}  # the last answer, by peer
        self.votes: set[str] = set()
        self.asking: Ask | None = None  # the candidacy under way
        # A leader's: when each member last answered or polled, and when it last polled.
        self.contacts: dict[str, float] = {}
        self.polls: dict[str, float] = {}
        self.newcomers: dict[str, Newcomer] = {}
        self.began, self.beat_at, self.serial = -math.inf, 0.0, 0
        self.ticked, self.excused = now, -math.inf
        self.probe_at = now
        self._rest(now)

    # --- Where it stands --------------------------------------------------------------

    @property
    def term(self) -> int:
        return self.ballot.term

    @property
    def voter(self) -> bool:
        return self.ballot.standing != NEW

    def peer(self, name: str | None) -> str | None:
        """The address at which the member of this name last answered."""
        return next((peer for peer, met in self.met.items() if met.name == name), None)

    def counts(self, name: str) -> bool:
        """Whether what this member holds counts towards a majority."""
        return any(met.name == name and met.standing != NEW for met in self.met.values())

    def confirmed_at(self) -> float:
        """When a majority was last known to follow this leader."""
        return self._majority(self.contacts)

    def _majority(self, times: dict[str, float]) -> float:
        found = sorted((at for name, at in times.items() if self.counts(name)), reverse=True)
        return found[self.needed - 1] if len(found) >= self.needed else -math.inf

    def told(self, now: float) -> dict[str, Any]:
        """For operators: its role and standing, and at a leader for how long each peer was silent."""
        silent = {
            peer: now - self.contacts[met.name] for peer, met in self.met.items() if met.name in self.contacts
        }
        standings = {
            peer: {"standing": met.standing, "silent_s": silent.get(peer)} for peer, met in self.met.items()
        }
        return {"role": self.role, "standing": self.ballot.standing, "members": standings}

    def observe(self, term: int, now: float) -> None:
        """Somebody acts on `term`."""
        if term > self.term:
            self.ballot = msgspec.structs.replace(self.ballot, term=term, voted_for="")
            self.step_down(now)

    def step_down(self, now: float) -> None:
        """No leader is known, and this one is none."""
        self.role, self.leader, self.asking = FOLLOWER, None, None
        self._rest(now)

    def _rest(self, now: float) -> None:
        self.deadline = now + self.rng.uniform(self.timing.timeout_s, self.timing.timeout_most_s)

    # --- Time -------------------------------------------------------------------------

    def tick(self, now: float) -> list[Call]:
        """What to send by now; to be called a few times in each `beat_s`."""
        if now - self.ticked > 2.0 * self.timing.beat_s:
            # This process stood still: what was sent to it meanwhile is read before it judges.
            self.deadline = max(self.deadline, now + 2.0 * self.timing.beat_s)
            self.excused = now + 2.0 * self.timing.beat_s
        self.ticked = now
        if self.role == LEADER:
            return self._reign(now)
        if now >= self.deadline:
            self.leader = None
            if self.voter and self.log().last >= self.ballot.floor:
                return self._stand(now)
            self._rest(now)
        unmet = len(self.met) < len(self.peers) or (self.leader and self.peer(self.leader) is None)
        if now >= self.probe_at and (unmet or not self.voter):
            self.probe_at = now + self.rng.uniform(*self.timing.again_s)
            return self._to_all(self._ask(self.term, True))
        return []

    def _to_all(self, message: Message) -> list[Call]:
        return [Call(peer, message) for peer in self.peers]

    def _ask(self, term: int, trial: bool) -> Ask:
        log = self.log()
        return Ask(self.name, log.lineage, self.members, term, log.last, trial, self.voter)

    def _stand(self, now: float) -> list[Call]:
        """A pre-vote, for the term that would be next."""
        self.role, self.votes = CANDIDATE, set()
        # In small steps: a writer that operators appoint begins an era, and outdoes all of these.
        term = next_term(self.term, resumes=True, salt=self.rng.getrandbits(SALT_BITS))
        self.asking = self._ask(term, True)
        self.deadline = now + self.rng.uniform(*self.timing.again_s)
        return self._to_all(self.asking)

    def _reign(self, now: float) -> list[Call]:
        silent_s = now - max(self.began, self.confirmed_at())
        unpolled_s = now - max(self.began, self._majority(self.polls))
        lost = silent_s >= self.timing.timeout_s or unpolled_s >= self.timing.unpolled_s
        if lost and now >= self.excused:
            self.step_down(now)
            return []
        if now < self.beat_at:
            return []
        self.beat_at = now + self.timing.beat_s
        self.serial += 1
        log = self.log()
        made = Beat(self.name, log.lineage, self.members, self.term, self.serial)
        return [
            Call(peer, msgspec.structs.replace(made, promoted=self._promoted(peer, now)))
            for peer in self.peers
        ]

    def _promoted(self, peer: str, now: float) -> str:
        """The name of the newcomer there, once it may vote."""
        if (met := self.met.get(peer)) is None or met.standing != NEW:
            return ""
        one = self.newcomers.setdefault(met.name, Newcomer(now))
        if one.goal is None:
            if now - one.since >= self.timing.newcomer_s:
                one.goal, one.serial = self.log().last[1], self.serial - 1
            return ""
        return met.name if len(one.confirmed) >= self.needed and one.reached >= one.goal else ""

    # --- What others ask --------------------------------------------------------------

    def asked(self, ask: Ask, now: float) -> Reply:
        """A candidate's call. `PeerError` where it is no member's."""
        self._admit(ask)
        return self._reply(self._grants(ask, now))

    def _grants(self, ask: Ask, now: float) -> bool:
        led = self.leader is not None and now - self.heard < self.timing.timeout_s
        if self.role == LEADER or led:
            return False  # and its term changes nothing here: the leader is well
        fits = ask.voter and self.voter and ask.last >= max(self.log().last, self.ballot.floor)
        if ask.trial:
            return fits and ask.term > self.term
        self.observe(ask.term, now)
        if not fits or ask.term < self.term or self.ballot.voted_for not in ("", ask.name):
            return False
        self.ballot = msgspec.structs.replace(self.ballot, voted_for=ask.name)
        self._rest(now)
        return True

    def beaten(self, beat: Beat, now: float) -> Reply:
        """A leader's sign of life. `PeerError` where it is no member's."""
        self._admit(beat)
        if beat.term < self.term:
            return self._reply(False)
        self.observe(beat.term, now)
        if self.role != FOLLOWER:
            self.step_down(now)
        self.leader, self.heard = beat.name, now
        self._rest(now)
        if self.ballot.standing == FOUNDING:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER)
        if beat.promoted == self.name and self.ballot.standing == NEW:
            self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER, voted_for=beat.name)
        return self._reply(True)

    def _reply(self, granted: bool) -> Reply:
        log = self.log()
        return Reply(self.name, log.lineage, self.term, log.last, self.ballot.standing, granted)

    def _admit(self, message: Message) -> None:
        """An empty log may become any log; two that are not empty have to be one."""
        if message.members != self.members:
            raise PeerError(
                f"{message.members} members there, {self.members} here",
                "start all members with the same ones in --peers",
            )
        if message.name == self.name:
            raise PeerError("a member asks itself", "name only the other members in --peers")
        if self.log().lineage and message.lineage and message.lineage != self.log().lineage:
            raise PeerError(
                "the member's log is of another lineage",
                "see which folder is the right one; start the other member with an empty one",
            )

    # --- What others answer -----------------------------------------------------------

    def replied(self, peer: str, message: Message, reply: Reply, now: float) -> list[Call]:
        """A peer's answer to a message of this one; what to send next."""
        lineage = self.log().lineage
        if reply.name == self.name or (lineage and reply.lineage not in ("", lineage)):
            return []
        self.met[peer] = reply
        if reply.term > self.term:
            self.observe(reply.term, now)
        elif isinstance(message, Beat):
            self._confirm(message, reply, now)
        elif message is self.asking and reply.granted:
            self.votes.add(reply.name)
            if len(self.votes) >= self.needed:
                return self._won(now)
        self._found(now)
        return []

    def _won(self, now: float) -> list[Call]:
        assert self.asking is not None
        if self.asking.trial:
            self.ballot = msgspec.structs.replace(self.ballot, term=self.asking.term, voted_for=self.name)
            self.votes, self.asking = set(), self._ask(self.term, False)
            self._rest(now)
            return self._to_all(self.asking)
        self.role, self.leader, self.asking = LEADER, self.name, None
        self.ballot = msgspec.structs.replace(self.ballot, standing=MEMBER)
        self.began, self.beat_at = now, now
        self.contacts.clear()
        self.polls.clear()
        self.newcomers.clear()
        return self._reign(now)

    def _found(self, now: float) -> None:
        """With all members there, none of which ever had a leader, nothing can have been forgotten."""
        met = self.met.values()
        all_met = len({one.name for one in met}) == len(self.peers)
        lineages = {self.log().lineage, *(one.lineage for one in met)} - {""}
        if self.voter or not all_met or len(lineages) > 1 or any(one.standing == MEMBER for one in met):
            return
        floor = max(self.log().last, *(one.last for one in met))
        self.ballot = msgspec.structs.replace(self.ballot, standing=FOUNDING, floor=floor)
        self._rest(now)  # the others ask within that time, and found it too

    def _confirm(self, beat: Beat, reply: Reply, now: float) -> None:
        if self.role != LEADER or beat.term != self.term or not reply.granted:
            return
        self.contacts[reply.name] = now
        for one in self.newcomers.values():
            if one.goal is not None and beat.serial > one.serial and reply.standing != NEW:
                one.confirmed.add(reply.name)

    def polled(self, name: str, index: int, now: float) -> bool:
        """At a leader: the member of this name proved that it holds the log up to `index`;
        whether that counts towards a majority."""
        if self.role != LEADER:
            return False
        if self.counts(name):
            self.contacts[name] = self.polls[name] = now
            return True
        if (one := self.newcomers.get(name)) is not None:
            one.reached = max(one.reached, index)
        return False
