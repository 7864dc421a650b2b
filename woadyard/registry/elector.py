"""The I/O of the leader election: timers, calls to the peers, the stored ballot and the HTTP endpoints.

- `POST /registry/election/vote`: takes a candidate's `VoteRequest`, answers a `PeerResponse`.
- `POST /registry/election/beat`: takes a leader's `Heartbeat`, answers a `PeerResponse`.

All decisions are made in election.py. In each turn the ballot is written to disk before the role
changes, and both happen before anything is sent or answered.
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
from woadyard.registry.ballot_file import BallotFile
from woadyard.registry.election import (
    LEADER,
    Election,
    Heartbeat,
    LogPosition,
    Message,
    Outgoing,
    PeerResponse,
    Timing,
    VoteRequest,
)
from woadyard.registry.error_body import read_error_body
from woadyard.registry.follower import Follower
from woadyard.registry.responses import json_response, read_body
from woadyard.registry.service import Registry

VOTE_PATH, HEARTBEAT_PATH = "/registry/election/vote", "/registry/election/beat"
TICK_INTERVAL_S, CALL_TIMEOUT_S = 0.05, 1.0
# Followers poll often enough for the leader to see them well within an election timeout.
POLL_INTERVAL_S = 0.4
MAX_PENDING_CALLS = 4  # to one peer: with the link cut, each call stays pending until it times out
LOG = logging.getLogger(__name__)
MessageT = TypeVar("MessageT", VoteRequest, Heartbeat)


def other_members(listen: str, peers: str) -> list[str]:
    """Parses the addresses of the other members; raises ConfigError where there are none."""
    addresses = [address.strip() for address in peers.split(",") if address.strip()]
    others = [address for address in dict.fromkeys(addresses) if address != listen]
    if not others:
        raise ConfigError(
            "--elect requires at least one other member", "name the others in --peers HOST:PORT,HOST:PORT"
        )
    for address in others:
        parse_address(address)
    return others


class Elector:
    """Runs the leader election of `registry`'s log between this process and `peers`."""

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
            registry.member_id, list(peers), self.saved_ballot, self._log_position, rng, now, timing
        )
        self.election.adopt_term(registry.highest_term, now)
        registry.election = self.election
        registry.observe_term(registry.log_state.lineage, self.saved_ballot.term, "the ballot")
        registry.replication_progress.required_followers = self.election.quorum_peers
        registry.follow_elected_leader(None)
        self.follower = Follower(registry, rng, stale_s, poll_wait_s=POLL_INTERVAL_S)
        self.follow_task: asyncio.Task[None] | None = None
        self.pending_calls: dict[str, set[asyncio.Task[None]]] = {peer: set() for peer in self.election.peers}
        self.last_refusals: dict[str, str] = {}  # by peer: the last refusal, to log each one once
        self.elections_won = Counter(
            "registry_elections_won",
            "Elections won by this member",
            registry=registry.metrics.collector_registry,
        )
        leads = Gauge(
            "registry_leads",
            "1 while this member is the leader",
            registry=registry.metrics.collector_registry,
        )
        leads.set_function(lambda: float(registry.is_leader))

    def _log_position(self) -> LogPosition:
        log_state = self.registry.log_state
        return LogPosition(log_state.lineage, (log_state.term, log_state.applied_index))

    async def run(self) -> None:
        """Ticks the election until cancelled."""
        self.registry.set_stale(True)  # until the first message of a leader
        try:
            while True:
                self._observe_registry_term()
                self._apply_turn(self.election.tick(time.monotonic()))
                if self.registry.is_leaderless:
                    self.follower.check_staleness("no leader is elected")
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            for task in [
                *(call for calls in self.pending_calls.values() for call in calls),
                self.follow_task,
            ]:
                if task is not None:
                    task.cancel()

    def _observe_registry_term(self) -> None:
        """Passes on a greater term that the registry has seen in calls of clients or followers."""
        self.election.adopt_term(self.registry.highest_term, time.monotonic())

    def _apply_turn(self, messages: Iterable[Outgoing]) -> None:
        """Stores the ballot, updates the role and sends the messages; sends nothing if the ballot can't be
        stored."""
        try:
            self._save_ballot()
        except StateError as error:
            LOG.error("can't store the ballot", extra=error.fields())
            return
        self._update_role()
        for peer, message in messages:
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
            raise StateError(f"can't write the ballot file: {error}") from None
        if ballot.standing != self.saved_ballot.standing:
            LOG.info("membership standing changed", extra={"standing": ballot.standing})
        self.saved_ballot = ballot
        self.registry.observe_term(self.registry.log_state.lineage, ballot.term, "the election")

    def _update_role(self) -> None:
        election, registry = self.election, self.registry
        if election.role == LEADER:
            if not registry.is_leader or registry.log_state.term != election.term:
                self._become_leader()
            return
        leader_address = election.address_of(election.leader)
        if registry.is_leader or registry.leader_address != leader_address:
            self._become_follower(leader_address)

    def _become_leader(self) -> None:
        election, registry = self.election, self.registry
        self._stop_following()
        try:
            registry.become_elected_leader(election.term)
        except StateError as error:
            LOG.error("elected, and can't write", extra=error.fields())
            election.step_down(time.monotonic())
            return
        self.elections_won.inc()
        LOG.info("elected: this process writes", extra=self._log_fields())

    def _become_follower(self, leader_address: str | None) -> None:
        self._stop_following()
        if self.registry.is_leader:
            LOG.warning("this process writes no more", extra=self._log_fields())
            self.follower.last_contact_s = time.monotonic()
        self.registry.follow_elected_leader(leader_address)
        LOG.info(
            "follows" if leader_address else "no writer is known",
            extra={**self._log_fields(), "writer": leader_address},
        )
        if leader_address is not None:
            self.follower.backoff.reset()
            self.follow_task = asyncio.get_running_loop().create_task(self.follower.follow())

    def _stop_following(self) -> None:
        if self.follow_task is not None:
            self.follow_task.cancel()
            self.follow_task = None

    def _log_fields(self) -> dict[str, int]:
        log_state = self.registry.log_state
        return {"term": self.election.term, "log_term": log_state.term, "index": log_state.applied_index}

    async def _send(self, peer: str, message: Message) -> None:
        path = VOTE_PATH if isinstance(message, VoteRequest) else HEARTBEAT_PATH
        request_body = msgspec.json.encode(message)
        try:
            status, response_body = await fetch(
                parse_address(peer), "POST", path, request_body, timeout_s=CALL_TIMEOUT_S
            )
            if status != HTTPStatus.OK:
                self._log_refusal(peer, status, response_body)
                return
            response: PeerResponse = msgspec.json.decode(response_body, type=PeerResponse)
        except (FetchError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if not self.registry.is_plausible_term(response.term, peer):
            return
        self._observe_registry_term()
        self._apply_turn(self.election.handle_response(peer, message, response, time.monotonic()))
        self.last_refusals.pop(peer, None)

    def _log_refusal(self, peer: str, status: int, response_body: bytes) -> None:
        refusal = read_error_body(response_body)
        if self.last_refusals.get(peer) != refusal.error:
            self.last_refusals[peer] = refusal.error
            fields = {"peer": peer, "status": status, "error": refusal.error, "remedy": refusal.remedy}
            LOG.error("a member refuses this one", extra=fields)

    async def post_vote(self, request: web.Request) -> web.StreamResponse:
        vote_request = await self._read_message(request, VoteRequest)
        return self._respond(self.election.handle_vote_request(vote_request, time.monotonic()))

    async def post_heartbeat(self, request: web.Request) -> web.StreamResponse:
        heartbeat = await self._read_message(request, Heartbeat)
        return self._respond(self.election.handle_heartbeat(heartbeat, time.monotonic()))

    async def _read_message(self, request: web.Request, message_type: type[MessageT]) -> MessageT:
        message = await read_body(request, message_type)
        if not self.registry.is_plausible_term(message.term, f"{message.name} at {request.remote}"):
            raise PeerError(
                f"term {message.term} is implausible",
                "check that the member's data folder belongs to this log",
            )
        self._observe_registry_term()
        return message

    def _respond(self, response: PeerResponse) -> web.StreamResponse:
        self._save_ballot()  # on a StateError no vote leaves this process
        self._update_role()
        return json_response(response)

    def routes(self) -> list[web.RouteDef]:
        return [web.post(VOTE_PATH, self.post_vote), web.post(HEARTBEAT_PATH, self.post_heartbeat)]
