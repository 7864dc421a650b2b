"""A replica's side of replication: it asks for the writer's records and replays them.

It asks by long poll for what comes after its own index and proves, by the running hash
there, that its log is a part of the writer's (Raft's log matching). Where it is not, as
after the writer's place was given to another, or where the writer no longer keeps the
records, it takes the state whole and says what it threw away. A writer of an older term
than it has heard of is not followed. Out of touch for `stale_s` it says so to its
clients and goes on asking.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

from woadyard.errors import ConfigError, LogEntryError, StateError
from woadyard.lists import EndpointListState
from woadyard.net.backoff import Backoff
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.error_body import read_error_body
from woadyard.registry.replicated_state import ReplicatedState
from woadyard.registry.replication import LOG_PATH
from woadyard.registry.service import Registry
from woadyard.registry.state_machines import create_state_machines

# A poll returns at the next record, or after this with none; polls are this far apart at
# least, so that records written together travel together.
POLL_WAIT_S, POLL_TIMEOUT_S, MIN_POLL_INTERVAL_S = 1.0, 2.5, 0.01
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 2.0
MAX_LOGGED_NAMES = 20  # of entries lost, in a log line
ROLE_TOPIC = "role"  # the topic of those that wait for another role
LOG = logging.getLogger(__name__)


class Follower:
    """Follows `registry.writer`, while there is one, until cancelled."""

    def __init__(
        self,
        registry: Registry,
        rng: random.Random,
        stale_after_s: float,
        clock_s: Callable[[], float] = time.monotonic,
        poll_wait_s: float = POLL_WAIT_S,
    ) -> None:
        self.registry, self.stale_after_s, self.clock_s, self.poll_wait_s = (
            registry,
            stale_after_s,
            clock_s,
            poll_wait_s,
        )
        self.configured_leader = (
            registry.leader_address
        )  # where a writer that it was sent on to fails, it begins anew
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.last_contact_s = self.clock_s()

    async def run(self) -> None:
        self.registry.set_stale(self.registry.leader_address is not None)  # until the writer's first word
        await self.follow()

    async def follow(self) -> None:
        while True:
            if self.registry.leader_address is None:
                await self.registry.waiters.wait_for_notification(ROLE_TOPIC, 60.0)
                continue
            began = self.clock_s()
            try:
                await self.poll_once(self.registry.leader_address)
            except (FetchError, LogEntryError, StateError, ValueError, KeyError, TypeError) as error:
                self._lost(error)
                await asyncio.sleep(self.backoff.next_delay_s())
            else:
                self.backoff.reset()
                await asyncio.sleep(max(0.0, began + MIN_POLL_INTERVAL_S - self.clock_s()))

    async def poll_once(self, writer: str) -> None:
        """One poll, and what it brought."""
        registry, host = self.registry, self.registry.log_state
        query = {
            "after": host.applied_index, "chain": host.chain, "lineage": host.lineage,
            "term": registry.highest_term,
            "wait": self.poll_wait_s, "who": registry.member_id,
            # A writer from before the running hash waits by the list's version.
            "index": registry.state_machine(EndpointListState).version,
        }  # fmt: skip
        target = f"{LOG_PATH}?{urlencode(query)}"
        status, body = await fetch(
            _address(writer), "GET", target, timeout_s=self.poll_wait_s + POLL_TIMEOUT_S - POLL_WAIT_S
        )
        if status != 200:
            self._refused(status, body)
        told = json.loads(body)
        self.apply_log_response(told)
        if registry.log_state.applied_index < int(told["applied"]):
            return  # there is more, which it asks for at once
        if registry.is_stale:
            fields = {
                "writer": writer,
                "index": registry.log_state.applied_index,
                "term": registry.log_state.term,
            }
            LOG.info("following", extra=fields)
        self.last_contact_s = self.clock_s()
        registry.set_stale(False)

    def _refused(self, status: int, body: bytes) -> None:
        """Raises what the writer's refusal comes to, or turns to whom it names."""
        found = read_error_body(body)
        if found.writer is not None and self.registry.election is None:  # who leads is elected
            _address(found.writer)
            self.registry.leader_address = found.writer
        raise LogEntryError(f"the writer answers {status}: {found.error}", found.remedy)

    def apply_log_response(self, told: dict[str, Any]) -> None:
        """Replay records in their order, or install a state; LogEntryError on any gap."""
        registry = self.registry
        if (term := int(told.get("term", 0))) < registry.highest_term:
            raise LogEntryError(
                f"the writer is at term {term}, older than {registry.highest_term}",
                "follow the process that leads now",
            )
        if "snapshot" in told:
            host = ReplicatedState(create_state_machines())
            host.load(told["snapshot"])
            self._say_lost(host, told.get("marks", []))
            registry.install_snapshot(host)
            return
        for record in told["records"]:
            if record["seq"] != registry.log_state.applied_index + 1:
                raise LogEntryError(f"record {record['seq']} after {registry.log_state.applied_index}")
            registry.append_and_apply(record)

    def _say_lost(self, new: ReplicatedState, marks: list[Any]) -> None:
        """What this log has that the state to be installed has not."""
        old, tail = self.registry.log_state, self.registry.journal.tail
        common = max((index for index, chain in marks if tail.chain_at(index) == chain), default=None)
        if common is None:
            common = min(tail.start_index, new.applied_index)
        if common >= old.applied_index:
            return  # only behind
        mine, theirs = (
            self.registry.state_machine(EndpointListState).entries,
            new.state_machines[EndpointListState.name],
        )
        assert isinstance(theirs, EndpointListState)
        lost = sorted(name for name, entry in mine.items() if theirs.entries.get(name) != entry)
        fields = {
            "records": old.applied_index - common, "from": common + 1, "term": old.term, "new_term": new.term,
            "entries": len(lost), "lost": lost[:MAX_LOGGED_NAMES],
        }  # fmt: skip
        LOG.warning("records thrown away, the writer's state taken whole", extra=fields)

    def _lost(self, error: Exception) -> None:
        registry = self.registry
        if (
            registry.leader_address is not None
            and self.configured_leader is not None
            and isinstance(error, FetchError)
        ):
            registry.leader_address = self.configured_leader
        self.check_staleness(str(error))

    def check_staleness(self, error: str) -> None:
        """Say so where the writer was not heard for too long."""
        if not self.registry.is_stale and self.clock_s() - self.last_contact_s > self.stale_after_s:
            LOG.warning("out of touch with the writer", extra={"error": error})
            self.registry.set_stale(True)


def _address(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ConfigError as error:
        raise LogEntryError(str(error)) from None
