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
from woadyard.registry.answers import answer, body
from woadyard.registry.ballot_file import BallotFile
from woadyard.registry.election import (
    LEADER,
    Election,
    ElectionResponse,
    Heartbeat,
    LogState,
    Message,
    OutgoingMessage,
    Timing,
    VoteRequest,
)
from woadyard.registry.follow import Follower
from woadyard.registry.refusal import read_refusal
from woadyard.registry.service import Registry

VOTE_PATH, HEARTBEAT_PATH = "/registry/election/vote", "/registry/election/beat"
TICK_INTERVAL_S, CALL_TIMEOUT_S = 0.05, 1.0
# A member polls so often that its leader knows of it well within an election timeout.
POLL_INTERVAL_S = 0.4
MAX_PENDING_CALLS = 4  # under way at one peer: a cut link holds each until its time is over
LOG = logging.getLogger(__name__)
M = TypeVar("M", VoteRequest, Heartbeat)


def other_members(listen: str, peers: str) -> list[str]:
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
        self.ballot_file = BallotFile(registry.journal.folder)
        self.saved_ballot = self.ballot_file.read()
        now = time.monotonic()
        self.election = Election(
            registry.name, list(peers), self.saved_ballot, self._log_state, rng, now, timing
        )
        self.election.observe_term(registry.seen, now)
        registry.election = self.election
        registry.hear(registry.host.lineage, self.saved_ballot.term, "the ballot")
        registry.copies.required_replicas = self.election.quorum_peers
        registry.yield_to(None)
        self.follower = Follower(registry, rng, stale_s, poll_s=POLL_INTERVAL_S)
        self.follow_task: asyncio.Task[None] | None = None
        self.pending_calls: dict[str, set[asyncio.Task[None]]] = {peer: set() for peer in self.election.peers}
        self.last_refusals: dict[str, str] = {}  # by peer: its last refusal, which is logged once
        self.elections_won = Counter(
            "registry_elections_won", "Elections won here", registry=registry.counts.registry
        )
        leads = Gauge("registry_leads", "1 while this member writes", registry=registry.counts.registry)
        leads.set_function(lambda: float(registry.leads))

    def _log_state(self) -> LogState:
        host = self.registry.host
        return LogState(host.lineage, (host.term, host.applied))

    async def run(self) -> None:
        """Until cancelled."""
        self.registry.set_stale(True)  # until a writer's first word
        try:
            while True:
                self._observe_registry_term()
                self._apply_turn(self.election.tick(time.monotonic()))
                if self.registry.leaderless:
                    self.follower.look("no writer is elected")
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            for task in [*(one for tasks in self.pending_calls.values() for one in tasks), self.follow_task]:
                if task is not None:
                    task.cancel()

    def _observe_registry_term(self) -> None:
        """Clients and replicas may have told of a greater term."""
        self.election.observe_term(self.registry.seen, time.monotonic())

    def _apply_turn(self, calls: Iterable[OutgoingMessage]) -> None:
        """What a turn of the election comes to; nothing is sent where the ballot is not kept."""
        try:
            self._save_ballot()
        except StateError as error:
            LOG.error("the ballot can't be kept", extra=error.fields())
            return
        self._update_role()
        for peer, message in calls:
            if len(self.pending_calls[peer]) < MAX_PENDING_CALLS:
                task = asyncio.get_running_loop().create_task(self._send(peer, message))
                self.pending_calls[peer].add(task)
                task.add_done_callback(self.pending_calls[peer].discard)

    def _save_ballot(self) -> None:
        ballot = self.election.ballot
        if ballot == self.saved_ballot:
            return
        try:
            self.ballot_file.write(ballot)
        except OSError as error:
            raise StateError(f"can't write the ballot: {error}") from None
        if ballot.standing != self.saved_ballot.standing:
            LOG.info("standing among the members", extra={"standing": ballot.standing})
        self.saved_ballot = ballot
        self.registry.hear(self.registry.host.lineage, ballot.term, "the election")

    def _update_role(self) -> None:
        election, registry = self.election, self.registry
        if election.role == LEADER:
            if not registry.leads or registry.host.term != election.term:
                self._become_leader()
            return
        writer = election.address_of(election.leader)
        if registry.leads or registry.writer != writer:
            self._become_follower(writer)

    def _become_leader(self) -> None:
        election, registry = self.election, self.registry
        self._stop_following()
        try:
            registry.lead_elected(election.term)
        except StateError as error:
            LOG.error("elected, and can't write", extra=error.fields())
            election.step_down(time.monotonic())
            return
        self.elections_won.inc()
        LOG.info("elected: this process writes", extra=self._log_fields())

    def _become_follower(self, writer: str | None) -> None:
        self._stop_following()
        if self.registry.leads:
            LOG.warning("this process writes no more", extra=self._log_fields())
            self.follower.heard = time.monotonic()
        self.registry.yield_to(writer)
        LOG.info(
            "follows" if writer else "no writer is known", extra={**self._log_fields(), "writer": writer}
        )
        if writer is not None:
            self.follower.backoff.reset()
            self.follow_task = asyncio.get_running_loop().create_task(self.follower.follow())

    def _stop_following(self) -> None:
        if self.follow_task is not None:
            self.follow_task.cancel()
            self.follow_task = None

    def _log_fields(self) -> dict[str, int]:
        host = self.registry.host
        return {"term": self.election.term, "log_term": host.term, "index": host.applied}

    # --- Calls ------------------------------------------------------------------------

    async def _send(self, peer: str, message: Message) -> None:
        path = VOTE_PATH if isinstance(message, VoteRequest) else HEARTBEAT_PATH
        raw = msgspec.json.encode(message)
        try:
            status, back = await fetch(parse_address(peer), "POST", path, raw, timeout_s=CALL_TIMEOUT_S)
            if status != HTTPStatus.OK:
                self._log_refusal(peer, status, back)
                return
            reply: ElectionResponse = msgspec.json.decode(back, type=ElectionResponse)
        except (FetchError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if not self.registry.plausible(reply.term, peer):
            return
        self._observe_registry_term()
        self._apply_turn(self.election.handle_response(peer, message, reply, time.monotonic()))
        self.last_refusals.pop(peer, None)

    def _log_refusal(self, peer: str, status: int, back: bytes) -> None:
        found = read_refusal(back)
        if self.last_refusals.get(peer) != found.error:
            self.last_refusals[peer] = found.error
            fields = {"peer": peer, "status": status, "error": found.error, "remedy": found.remedy}
            LOG.error("a member refuses this one", extra=fields)

    async def handle_vote_request(self, request: web.Request) -> web.StreamResponse:
        asked = await self._read_message(request, VoteRequest)
        return self._respond(self.election.handle_vote_request(asked, time.monotonic()))

    async def handle_heartbeat(self, request: web.Request) -> web.StreamResponse:
        beat = await self._read_message(request, Heartbeat)
        return self._respond(self.election.handle_heartbeat(beat, time.monotonic()))

    async def _read_message(self, request: web.Request, kind: type[M]) -> M:
        message = await body(request, kind)
        if not self.registry.plausible(message.term, f"{message.name} at {request.remote}"):
            raise PeerError(f"term {message.term} can't be", "see that the member's folder is of this log")
        self._observe_registry_term()
        return message

    def _respond(self, reply: ElectionResponse) -> web.StreamResponse:
        self._save_ballot()  # StateError, and the vote is not told
        self._update_role()
        return answer(reply)

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post(VOTE_PATH, self.handle_vote_request),
            web.post(HEARTBEAT_PATH, self.handle_heartbeat),
        ]
