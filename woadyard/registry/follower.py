"""The follower's side of replication: it polls the leader for log entries and applies them.

It requests the entries after its own index by long poll, and sends the running hash there to prove
that its log is a prefix of the leader's (Raft's log matching). If it is not, as after a change of
leaders, or if the leader no longer keeps those entries, it installs the leader's whole state and
logs what it discarded. It does not follow a leader whose term is less than the greatest term it has
observed. Without contact for `stale_after_s` it reports that to its clients and continues to poll.
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

# A poll returns at the next entry, or without one after the wait. The interval between polls is at
# least the minimum, so that entries written together are sent together.
POLL_WAIT_S, POLL_TIMEOUT_S, MIN_POLL_INTERVAL_S = 1.0, 2.5, 0.01
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 2.0
MAX_LOGGED_NAMES = 20  # of lost list entries, in a log line
ROLE_TOPIC = "role"  # notified when this member's role changes
LOG = logging.getLogger(__name__)


class Follower:
    """Follows `registry.leader_address`, while there is one, until cancelled."""

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
        # It returns to this address when a leader that it was redirected to fails.
        self.configured_leader = registry.leader_address
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.last_contact_s = self.clock_s()

    async def run(self) -> None:
        self.registry.set_stale(self.registry.leader_address is not None)  # until the leader's first response
        await self.follow()

    async def follow(self) -> None:
        while True:
            if self.registry.leader_address is None:
                await self.registry.waiters.wait_for_notification(ROLE_TOPIC, 60.0)
                continue
            started_s = self.clock_s()
            try:
                await self.poll_once(self.registry.leader_address)
            except (FetchError, LogEntryError, StateError, ValueError, KeyError, TypeError) as error:
                self._handle_failure(error)
                await asyncio.sleep(self.backoff.next_delay_s())
            else:
                self.backoff.reset()
                await asyncio.sleep(max(0.0, started_s + MIN_POLL_INTERVAL_S - self.clock_s()))

    async def poll_once(self, address: str) -> None:
        """Poll the leader at `address` once and apply its response."""
        registry, log_state = self.registry, self.registry.log_state
        query = {
            "after": log_state.applied_index, "chain": log_state.chain, "lineage": log_state.lineage,
            "term": registry.highest_term, "wait": self.poll_wait_s, "who": registry.member_id,
            # A leader of a build without running hashes waits for this version of the list.
            "index": registry.state_machine(EndpointListState).version,
        }  # fmt: skip
        target = f"{LOG_PATH}?{urlencode(query)}"
        status, body = await fetch(
            _parse_leader_address(address),
            "GET",
            target,
            timeout_s=self.poll_wait_s + POLL_TIMEOUT_S - POLL_WAIT_S,
        )
        if status != 200:
            self._raise_refusal(status, body)
        response = json.loads(body)
        self.apply_log_response(response)
        if registry.log_state.applied_index < int(response["applied"]):
            return  # the next poll fetches the rest at once
        if registry.is_stale:
            fields = {
                "writer": address,
                "index": registry.log_state.applied_index,
                "term": registry.log_state.term,
            }
            LOG.info("following", extra=fields)
        self.last_contact_s = self.clock_s()
        registry.set_stale(False)

    def _raise_refusal(self, status: int, body: bytes) -> None:
        """Raise LogEntryError for an error response; switch to the leader that it names, if any."""
        error_body = read_error_body(body)
        # With elections the elected leader is followed, whatever a response names.
        if error_body.writer is not None and self.registry.election is None:
            _parse_leader_address(error_body.writer)
            self.registry.leader_address = error_body.writer
        raise LogEntryError(f"the leader responded with {status}: {error_body.error}", error_body.remedy)

    def apply_log_response(self, response: dict[str, Any]) -> None:
        """Append the entries in order, or install a snapshot; LogEntryError if entries are missing."""
        registry = self.registry
        if (term := int(response.get("term", 0))) < registry.highest_term:
            raise LogEntryError(
                f"the leader's term {term} is older than the observed term {registry.highest_term}",
                "follow the current leader",
            )
        if "snapshot" in response:
            leader_state = ReplicatedState(create_state_machines())
            leader_state.load(response["snapshot"])
            self._log_discarded_entries(leader_state, response.get("marks", []))
            registry.install_snapshot(leader_state)
            return
        for entry in response["records"]:
            if entry["seq"] != registry.log_state.applied_index + 1:
                raise LogEntryError(f"entry {entry['seq']} follows entry {registry.log_state.applied_index}")
            registry.append_and_apply(entry)

    def _log_discarded_entries(self, new: ReplicatedState, marks: list[Any]) -> None:
        """Log which entries of this log the state `new`, about to be installed, does not contain."""
        old, tail = self.registry.log_state, self.registry.journal.tail
        common = max((index for index, chain in marks if tail.chain_at(index) == chain), default=None)
        if common is None:
            common = min(tail.start_index, new.applied_index)
        if common >= old.applied_index:
            return  # this log is a prefix; nothing is lost
        own_entries, new_list = (
            self.registry.state_machine(EndpointListState).entries,
            new.state_machines[EndpointListState.name],
        )
        assert isinstance(new_list, EndpointListState)
        lost = sorted(name for name, entry in own_entries.items() if new_list.entries.get(name) != entry)
        fields = {
            "records": old.applied_index - common, "from": common + 1, "term": old.term, "new_term": new.term,
            "entries": len(lost), "lost": lost[:MAX_LOGGED_NAMES],
        }  # fmt: skip
        LOG.warning("records thrown away, the writer's state taken whole", extra=fields)

    def _handle_failure(self, error: Exception) -> None:
        registry = self.registry
        if (
            registry.leader_address is not None
            and self.configured_leader is not None
            and isinstance(error, FetchError)
        ):
            registry.leader_address = self.configured_leader
        self.check_staleness(str(error))

    def check_staleness(self, error: str) -> None:
        """Mark this follower as stale if there was no contact with the leader for too long."""
        if not self.registry.is_stale and self.clock_s() - self.last_contact_s > self.stale_after_s:
            LOG.warning("lost contact with the leader", extra={"error": error})
            self.registry.set_stale(True)


def _parse_leader_address(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ConfigError as error:
        raise LogEntryError(str(error)) from None
