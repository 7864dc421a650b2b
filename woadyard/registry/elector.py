"""A member's side of an election that does I/O: its timers, its calls to peers, its ballot.

- `POST /registry/election/vote`: a candidate's `Ask`; a `Reply`.
- `POST /registry/election/beat`: a leader's `Beat`; a `Reply`.

It decides nothing: election.py does. In each turn the ballot is on disk before the role is
changed, and both before anything is sent or answered.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Iterable
from http import HTTPStatus
from typing import TypeVar

import msgspec
from aiohttp import web
from prometheus_client import Counter, Gauge

from woadyard.errors import ConfigError, PeerError, StateError
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.ballots import Ballots
from woadyard.registry.election import LEADER, Ask, Beat, Call, Election, Log, Message, Reply, Timing
from woadyard.registry.error_body import read_error_body
from woadyard.registry.follower import Follower
from woadyard.registry.responses import json_response, read_body
from woadyard.registry.service import Registry

VOTE_PATH, BEAT_PATH = "/registry/election/vote", "/registry/election/beat"
TICK_S, CALL_S = 0.05, 1.0
# A member polls so often that its leader knows of it well within an election timeout.
POLL_S = 0.4
CALLS_MOST = 4  # under way at one peer: a cut link holds each until its time is over
LOG = logging.getLogger(__name__)
M = TypeVar("M", Ask, Beat)


def members(listen: str, peers: str) -> list[str]:
    """The other members' addresses; ConfigError where there are none."""
    found = [one.strip() for one in peers.split(",") if one.strip()]
    others = [one for one in dict.fromkeys(found) if one != listen]
    if not others:
        raise ConfigError("--elect needs the other members", "name them in --peers, HOST:PORT,HOST:PORT")
    for one in others:
        parse_address(one)
    return others


class Elector:
    """Runs the election of `registry`'s log among this process and `peers`."""

    def __init__(
        self,
        registry: Registry,
        peers: Iterable[str],
        stale_s: float,
        rng: random.Random,
        timing: Timing | None = None,
    ) -> None:
        self.registry, self.rng = registry, rng
        self.ballots = Ballots(registry.journal.folder)
        self.kept = self.ballots.read()
        now = time.monotonic()
        self.election = Election(registry.member_id, list(peers), self.kept, self._log, rng, now, timing)
        self.election.observe(registry.highest_term, now)
        registry.election = self.election
        registry.observe_term(registry.log_state.lineage, self.kept.term, "the ballot")
        registry.replica_progress.needed = self.election.needed
        registry.follow_elected_leader(None)
        self.follower = Follower(registry, rng, stale_s, poll_wait_s=POLL_S)
        self.following: asyncio.Task[None] | None = None
        self.calls: dict[str, set[asyncio.Task[None]]] = {peer: set() for peer in self.election.peers}
        self.refused: dict[str, str] = {}  # by peer: its last refusal, which is logged once
        self.won = Counter(
            "registry_elections_won", "Elections won here", registry=registry.metrics.collector_registry
        )
        leads = Gauge(
            "registry_leads", "1 while this member writes", registry=registry.metrics.collector_registry
        )
        leads.set_function(lambda: float(registry.is_leader))

    def _log(self) -> Log:
        host = self.registry.log_state
        return Log(host.lineage, (host.term, host.applied_index))

    async def run(self) -> None:
        """Until cancelled."""
        self.registry.set_stale(True)  # until a writer's first word
        try:
            while True:
                self._hear()
                self._act(self.election.tick(time.monotonic()))
                if self.registry.is_leaderless:
                    self.follower.check_staleness("no writer is elected")
                await asyncio.sleep(TICK_S)
        finally:
            for task in [*(one for tasks in self.calls.values() for one in tasks), self.following]:
                if task is not None:
                    task.cancel()

    def _hear(self) -> None:
        """Clients and replicas may have told of a greater term."""
        self.election.observe(self.registry.highest_term, time.monotonic())

    def _act(self, calls: Iterable[Call]) -> None:
        """What a turn of the election comes to; nothing is sent where the ballot is not kept."""
        try:
            self._keep()
        except StateError as error:
            LOG.error("the ballot can't be kept", extra=error.fields())
            return
        self._take_role()
        for peer, message in calls:
            if len(self.calls[peer]) < CALLS_MOST:
                task = asyncio.get_running_loop().create_task(self._call(peer, message))
                self.calls[peer].add(task)
                task.add_done_callback(self.calls[peer].discard)

    def _keep(self) -> None:
        ballot = self.election.ballot
        if ballot == self.kept:
            return
        try:
            self.ballots.write(ballot)
        except OSError as error:
            raise StateError(f"can't write the ballot: {error}") from None
        if ballot.standing != self.kept.standing:
            LOG.info("standing among the members", extra={"standing": ballot.standing})
        self.kept = ballot
        self.registry.observe_term(self.registry.log_state.lineage, ballot.term, "the election")

    def _take_role(self) -> None:
        election, registry = self.election, self.registry
        if election.role == LEADER:
            if not registry.is_leader or registry.log_state.term != election.term:
                self._lead()
            return
        writer = election.peer(election.leader)
        if registry.is_leader or registry.leader_address != writer:
            self._follow(writer)

    def _lead(self) -> None:
        election, registry = self.election, self.registry
        self._stop_following()
        try:
            registry.become_elected_leader(election.term)
        except StateError as error:
            LOG.error("elected, and can't write", extra=error.fields())
            election.step_down(time.monotonic())
            return
        self.won.inc()
        LOG.info("elected: this process writes", extra=self._fields())

    def _follow(self, writer: str | None) -> None:
        self._stop_following()
        if self.registry.is_leader:
            LOG.warning("this process writes no more", extra=self._fields())
            self.follower.last_contact_s = time.monotonic()
        self.registry.follow_elected_leader(writer)
        LOG.info("follows" if writer else "no writer is known", extra={**self._fields(), "writer": writer})
        if writer is not None:
            self.follower.backoff.reset()
            self.following = asyncio.get_running_loop().create_task(self.follower.follow())

    def _stop_following(self) -> None:
        if self.following is not None:
            self.following.cancel()
            self.following = None

    def _fields(self) -> dict[str, int]:
        host = self.registry.log_state
        return {"term": self.election.term, "log_term": host.term, "index": host.applied_index}

    # --- Calls ------------------------------------------------------------------------

    async def _call(self, peer: str, message: Message) -> None:
        path = VOTE_PATH if isinstance(message, Ask) else BEAT_PATH
        raw = msgspec.json.encode(message)
        try:
            status, back = await fetch(parse_address(peer), "POST", path, raw, timeout_s=CALL_S)
            if status != HTTPStatus.OK:
                self._refused(peer, status, back)
                return
            reply: Reply = msgspec.json.decode(back, type=Reply)
        except (FetchError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if not self.registry.is_plausible_term(reply.term, peer):
            return
        self._hear()
        self._act(self.election.replied(peer, message, reply, time.monotonic()))
        self.refused.pop(peer, None)

    def _refused(self, peer: str, status: int, back: bytes) -> None:
        found = read_error_body(back)
        if self.refused.get(peer) != found.error:
            self.refused[peer] = found.error
            fields = {"peer": peer, "status": status, "error": found.error, "remedy": found.remedy}
            LOG.error("a member refuses this one", extra=fields)

    async def vote(self, request: web.Request) -> web.StreamResponse:
        asked = await self._read(request, Ask)
        return self._answer(self.election.asked(asked, time.monotonic()))

    async def beat(self, request: web.Request) -> web.StreamResponse:
        beat = await self._read(request, Beat)
        return self._answer(self.election.beaten(beat, time.monotonic()))

    async def _read(self, request: web.Request, kind: type[M]) -> M:
        message = await read_body(request, kind)
        if not self.registry.is_plausible_term(message.term, f"{message.name} at {request.remote}"):
            raise PeerError(f"term {message.term} can't be", "see that the member's folder is of this log")
        self._hear()
        return message

    def _answer(self, reply: Reply) -> web.StreamResponse:
        self._keep()  # StateError, and the vote is not told
        self._take_role()
        return json_response(reply)

    def routes(self) -> list[web.RouteDef]:
        return [web.post(VOTE_PATH, self.vote), web.post(BEAT_PATH, self.beat)]
