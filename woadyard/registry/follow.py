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
from woadyard.lists import ListBook
from woadyard.net.backoff import Backoff
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.books import books
from woadyard.registry.host import Host
from woadyard.registry.refusal import read_refusal
from woadyard.registry.replication import LOG_PATH
from woadyard.registry.service import Registry

# A poll returns at the next record, or after this with none; polls are this far apart at
# least, so that records written together travel together.
POLL_S, CALL_S, GAP_S = 1.0, 2.5, 0.01
RETRY_S, RETRY_MOST_S = 0.1, 2.0
NAMES_MOST = 20  # of entries lost, in a log line
ROLE = "role"  # the topic of those that wait for another role
LOG = logging.getLogger(__name__)


class Follower:
    """Follows `registry.writer`, while there is one, until cancelled."""

    def __init__(
        self,
        registry: Registry,
        rng: random.Random,
        stale_s: float,
        clock: Callable[[], float] = time.monotonic,
        poll_s: float = POLL_S,
    ) -> None:
        self.registry, self.stale_s, self.clock, self.poll_s = registry, stale_s, clock, poll_s
        self.named = registry.writer  # where a writer that it was sent on to fails, it begins anew
        self.backoff = Backoff(rng, RETRY_S, RETRY_MOST_S)
        self.heard = self.clock()

    async def run(self) -> None:
        self.registry.set_stale(self.registry.writer is not None)  # until the writer's first word
        await self.follow()

    async def follow(self) -> None:
        while True:
            if self.registry.writer is None:
                await self.registry.waiters.woken(ROLE, 60.0)
                continue
            began = self.clock()
            try:
                await self.step(self.registry.writer)
            except (FetchError, LogEntryError, StateError, ValueError, KeyError, TypeError) as error:
                self._lost(error)
                await asyncio.sleep(self.backoff.next_delay_s())
            else:
                self.backoff.reset()
                await asyncio.sleep(max(0.0, began + GAP_S - self.clock()))

    async def step(self, writer: str) -> None:
        """One poll, and what it brought."""
        registry, host = self.registry, self.registry.host
        query = {
            "after": host.applied, "chain": host.chain, "lineage": host.lineage, "term": registry.seen,
            "wait": self.poll_s, "who": registry.name,
            # A writer from before the running hash waits by the list's version.
            "index": registry.book(ListBook).version,
        }  # fmt: skip
        target = f"{LOG_PATH}?{urlencode(query)}"
        status, body = await fetch(_address(writer), "GET", target, timeout_s=self.poll_s + CALL_S - POLL_S)
        if status != 200:
            self._refused(status, body)
        told = json.loads(body)
        self.take(told)
        if registry.host.applied < int(told["applied"]):
            return  # there is more, which it asks for at once
        if registry.stale:
            fields = {"writer": writer, "index": registry.host.applied, "term": registry.host.term}
            LOG.info("following", extra=fields)
        self.heard = self.clock()
        registry.set_stale(False)

    def _refused(self, status: int, body: bytes) -> None:
        """Raises what the writer's refusal comes to, or turns to whom it names."""
        found = read_refusal(body)
        if found.writer is not None and self.registry.election is None:  # who leads is elected
            _address(found.writer)
            self.registry.writer = found.writer
        raise LogEntryError(f"the writer answers {status}: {found.error}", found.remedy)

    def take(self, told: dict[str, Any]) -> None:
        """Replay records in their order, or install a state; LogEntryError on any gap."""
        registry = self.registry
        if (term := int(told.get("term", 0))) < registry.seen:
            raise LogEntryError(
                f"the writer is at term {term}, older than {registry.seen}",
                "follow the process that leads now",
            )
        if "snapshot" in told:
            host = Host(books())
            host.load(told["snapshot"])
            self._say_lost(host, told.get("marks", []))
            registry.install(host)
            return
        for record in told["records"]:
            if record["seq"] != registry.host.applied + 1:
                raise LogEntryError(f"record {record['seq']} after {registry.host.applied}")
            registry.replay(record)

    def _say_lost(self, new: Host, marks: list[Any]) -> None:
        """What this log has that the state to be installed has not."""
        old, tail = self.registry.host, self.registry.journal.tail
        common = max((index for index, chain in marks if tail.chain_at(index) == chain), default=None)
        if common is None:
            common = min(tail.start, new.applied)
        if common >= old.applied:
            return  # only behind
        mine, theirs = self.registry.book(ListBook).entries, new.books[ListBook.name]
        assert isinstance(theirs, ListBook)
        lost = sorted(name for name, entry in mine.items() if theirs.entries.get(name) != entry)
        fields = {
            "records": old.applied - common, "from": common + 1, "term": old.term, "new_term": new.term,
            "entries": len(lost), "lost": lost[:NAMES_MOST],
        }  # fmt: skip
        LOG.warning("records thrown away, the writer's state taken whole", extra=fields)

    def _lost(self, error: Exception) -> None:
        registry = self.registry
        if registry.writer is not None and self.named is not None and isinstance(error, FetchError):
            registry.writer = self.named
        self.look(str(error))

    def look(self, error: str) -> None:
        """Say so where the writer was not heard for too long."""
        if not self.registry.stale and self.clock() - self.heard > self.stale_s:
            LOG.warning("out of touch with the writer", extra={"error": error})
            self.registry.set_stale(True)


def _address(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ConfigError as error:
        raise LogEntryError(str(error)) from None
