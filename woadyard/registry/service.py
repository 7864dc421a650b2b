"""The log in service: its one writer or a replica of it, with waiters, timers and counts.

The writer is the process without `--follow`; who leads is the operators' choice, or,
with `--elect`, the choice of the processes themselves (election.py, elector.py). A
replica replays the writer's records in their order, each through its own log, so its
books are the same at the same index, and may take the writer's place by a start
without `--follow`: that begins a term above every one it heard of. A writer that
hears of a greater term than its own has been replaced: it writes no more.
"""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import time
from collections.abc import Callable
from typing import Any, TypeVar

from woadyard.audit.straggler import StragglerRules
from woadyard.errors import LogEntryError, StateError
from woadyard.registry.book import Book, Record, Timed
from woadyard.registry.books import books
from woadyard.registry.copies import Copies
from woadyard.registry.counts import Counts
from woadyard.registry.election import Election
from woadyard.registry.host import ERA_SHIFT, LEAD, TERM_MOST, Host, next_term
from woadyard.registry.log import Journal
from woadyard.registry.waiters import COPIES_TOPIC, LOG_TOPIC, Waiters

# A snapshot comes where the log is longer than the last one, and than this: so a book that
# has grown is not written whole again and again, and a start reads no more than twice of it.
LOG_BYTES = 256 * 1024
RECORDS_MOST = 500  # told to a replica at once
# A term further on than any number of writers explains is a lie, and deposes nobody.
ERAS_MOST = 1_000
SETTLE_S = 2.0  # a write waits so long for its copies
AGAIN_S = 1.0  # a record that was due and could not be written is tried again
SURE_S, UNSURE_S = 1.0, 0.1  # an elected writer ends leases if a majority polled within; else it looks again
LOG = logging.getLogger(__name__)
B = TypeVar("B", bound=Book)


class DeposedError(StateError):
    """Another process has, or had, the writer's place."""

    remedy = (
        "start this process with --follow the one that leads now; if none does, the one with "
        "the most records with --take-over"
    )


class LeaderlessError(DeposedError):
    """No writer is elected that this process knows of."""

    remedy = "make the call again, here or at another member; see that most members run and are reached"
    retry_after_s = 2


class UnsettledError(StateError):
    """A write is on this log and not yet on as many replicas as have to hold it."""

    remedy = "make the call again; see whether the replicas run and follow"


class MinorityError(UnsettledError):
    """A write is not known to be held by most members of the log; it may be yet."""

    remedy = "make the call again, here or at another member; see that most members run and are reached"
    retry_after_s = 2


def steady() -> Callable[[], int]:
    """Wall time as it is now, going on by the monotonic clock: a clock that is set
    ends no lease. Over a restart every lease runs anew, so none counts on the first."""
    began = time.time_ns() - time.monotonic_ns()
    return lambda: (began + time.monotonic_ns()) // 1000


class Registry:
    """The books, their files and those that wait for them, on one loop. `writer` is the
    address of the process that this one follows; None where it leads, or led."""

    def __init__(
        self,
        journal: Journal,
        clock: Callable[[], int] | None = None,
        writer: str | None = None,
        copies: int = 0,
    ) -> None:
        self.election: Election | None = None  # of this log's members, where they elect
        self.led_from = 0  # index of the record by which this process was elected
        self.leaderless = False  # of members that elect: no writer is known
        self.journal, self.clock, self.writer = journal, clock or steady(), writer
        self.host = Host(books())
        journal.recover(self.host)
        self.name = journal.identity()
        self.seen = max(journal.seen(), self.host.term)  # the greatest term told of
        self.stale = False  # a replica that has not heard of its writer lately
        self.deposed = False
        self.copies = Copies(copies)
        self.rules = StragglerRules()  # of the audit
        self.waiters = Waiters()
        self.counts = Counts()
        self._count()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def books(self) -> dict[str, Book]:
        return self.host.books

    def book(self, kind: type[B]) -> B:
        """The book of this class."""
        found = self.host.books[kind.name]
        assert isinstance(found, kind)
        return found

    @property
    def leads(self) -> bool:
        return self.writer is None and not self.deposed and not self.leaderless

    @property
    def behind(self) -> bool:
        """What this process serves may be old: it lost its writer, or its place."""
        return self.stale or self.deposed

    # --- Writing ----------------------------------------------------------------------

    def lead(self, take_over: bool = False) -> None:
        """Begin to write: a new term, and every lease runs anew. Not, unless to take over,
        where a term was heard of that this log has no record of: what was written in it
        would be lost."""
        if self.seen > self.host.term and not take_over:
            if not self.deposed:
                self._depose(self.seen, "what was heard before the start")
            return
        lineage = self.host.lineage or secrets.token_hex(8)
        resumes = self.host.leader == self.name and self.seen == self.host.term
        term = next_term(self.seen, resumes)
        self.replay({"op": LEAD, "lineage": lineage, "term": term, "by": self.name, "at": self.clock()})
        self.seen = term
        self.arm()

    def lead_elected(self, term: int) -> None:
        """Begin to write in a term that most members voted for. StateError of the disk."""
        lineage = self.host.lineage or secrets.token_hex(8)
        self.copies = Copies(self.copies.needed)  # what was held in another reign says nothing
        self.replay({"op": LEAD, "lineage": lineage, "term": term, "by": self.name, "at": self.clock()})
        self.led_from = self.host.applied
        self.writer, self.deposed, self.leaderless = None, False, False
        self.set_stale(False)
        self.waiters.wake(LOG_TOPIC)
        self.arm()

    def yield_to(self, writer: str | None) -> None:
        """From now on a replica of the elected writer at this address, or of none that is known."""
        self.writer, self.deposed, self.leaderless = writer, False, writer is None
        self.waiters.wake(LOG_TOPIC, COPIES_TOPIC)

    def commit(self, record: Record) -> int:
        """Log and apply a record, at this process's term and time; its index. `LogEntryError`
        where its book turns it down, `DeposedError` where this process leads no more,
        `StateError` where the disk refuses it; nothing of it was then applied."""
        try:
            if not self.leads:
                raise self._deposed(f"this process does not write: it is at term {self.host.term}")
            self.replay({**record, "term": self.host.term, "at": self.clock()})
        except LogEntryError:
            self.counts.writes.labels("refused").inc()
            raise
        except StateError:
            self.counts.writes.labels("failed").inc()
            raise
        self.counts.writes.labels("done").inc()
        self.arm()
        return self.host.applied

    def proven(self, replica: str, index: int) -> None:
        """A replica has shown that it holds the log up to `index`. Of members that elect
        the others' copies count alone."""
        now = time.monotonic()
        if self.election is None or self.election.polled(replica, index, now):
            self.copies.proven(replica, index, now)
            self.waiters.wake(COPIES_TOPIC)

    def held(self) -> int:
        """The index up to which the replicas that have to are known to hold the log: what
        stands there outlives this process and its disk. -1 where an elected writer's own
        first record is not held yet: before that nothing is known (Raft, figure 8)."""
        reach = self.copies.held(self.host.applied, time.monotonic())
        return reach if reach >= self.led_from else -1

    async def settle(self, index: int, term: int | None = None) -> None:
        """Returns once record `index`, of this `term` (by default the present one), is held
        by the replicas that have to hold it, at once where that is none; `UnsettledError`
        after `SETTLE_S`."""
        term = self.host.term if term is None else term
        if self.copies.needed and not await self.waiters.until(
            COPIES_TOPIC, lambda: self.held() >= index or not self._leads_in(term), SETTLE_S
        ):
            kind = UnsettledError if self.election is None else MinorityError
            raise kind(f"record {index} is not yet at {self.copies.needed} replicas")
        if not self._leads_in(term):
            raise self._deposed(f"record {index} may be lost: another process leads")

    def _leads_in(self, term: int) -> bool:
        # The index alone names no record: a writer that was elected again has others there.
        return self.leads and self.host.term == term

    def _deposed(self, what: str) -> DeposedError:
        return DeposedError(what) if self.election is None else LeaderlessError(what)

    def write(self, record: Record) -> tuple[int, str]:
        """`commit`, as an HTTP status and a body in JSON."""
        try:
            index = self.commit(record)
        except LogEntryError as error:
            return 400, json.dumps(error.fields())
        except DeposedError as error:
            return 503, json.dumps(error.fields())
        except StateError as error:
            return 507, json.dumps(error.fields())
        return 200, json.dumps({"index": index, "term": self.host.term})

    def replay(self, record: dict[str, Any]) -> None:
        """Log and apply one record as it is; LogEntryError, or StateError of the disk."""
        try:
            changed = self.journal.append(self.host, record)
        except OSError as error:
            LOG.error("write failed", extra={"error": str(error)})
            raise StateError(f"can't write: {error}") from None
        self.seen = max(self.seen, self.host.term)
        self._count()
        self.waiters.wake(LOG_TOPIC, *([record.get("book", "list")] if changed else []))
        self._snapshot_now_and_then()

    def _snapshot_now_and_then(self) -> None:
        if self.journal.size > max(LOG_BYTES, self.journal.snapshot_size):
            try:
                self.journal.snapshot(self.host)
            except OSError as error:
                LOG.error("snapshot failed", extra={"error": str(error)})

    def arm(self) -> None:
        """A timer for what comes due next in any book: that is a record too."""
        if self.timer is not None:
            self.timer.cancel()
        timed = (book.due() for book in self.books.values() if isinstance(book, Timed))
        if due := min((one for one in timed if one is not None), key=lambda one: one[0], default=None):
            delay = max(0.0, (due[0] - self.clock()) / 1e6)
            self.timer = asyncio.get_running_loop().call_later(delay, self._due, due[1])

    def _due(self, record: Record) -> None:
        if not self.leads:
            return
        if self.election is not None and not self._sure(self.election):
            self.timer = asyncio.get_running_loop().call_later(UNSURE_S, self.arm)
            return
        try:
            self.commit(record)
        except (LogEntryError, StateError) as error:
            LOG.error("what came due can't be written", extra=error.fields())
            self.timer = asyncio.get_running_loop().call_later(AGAIN_S, self.arm)

    def _sure(self, election: Election) -> bool:
        """Whether most members followed just now: one cut off from them may be cut off from
        those that renew too, and ends no lease."""
        return self.held() >= self.led_from and time.monotonic() - election.confirmed_at() < SURE_S

    # --- Terms ------------------------------------------------------------------------

    def hear(self, lineage: str, term: int, by: str) -> None:
        """Somebody acts on `term`. One above this process's own, of its own log, means
        that another process was given the writer's place: this one writes no more."""
        if lineage != self.host.lineage or term <= self.seen or not self.plausible(term, by):
            return
        self.seen = term
        try:
            self.journal.see(term)
        except OSError as error:
            LOG.error("can't keep the term heard of", extra={"error": str(error)})
        if self.leads:
            self._depose(term, by)

    def plausible(self, term: int, by: str) -> bool:
        """Whether writers and elections can have come to this term by now."""
        if term < TERM_MOST and (term >> ERA_SHIFT) - (self.seen >> ERA_SHIFT) <= ERAS_MOST:
            return True
        LOG.warning("a term that can't be", extra={"term": term, "by": by})
        return False

    def _depose(self, term: int, by: str) -> None:
        if self.election is not None:
            LOG.info("a greater term was heard of", extra={"term": self.host.term, "greater": term, "by": by})
            self.yield_to(None)
            return
        self.deposed = True
        fields = {"term": self.host.term, "greater": term, "by": by, "remedy": DeposedError.remedy}
        LOG.error("deposed: another process writes, this one stops", extra=fields)
        self._count()
        self.waiters.wake()

    # --- Following --------------------------------------------------------------------

    def follow(self, writer: str) -> None:
        """From now on a replica of the process there."""
        self.writer, self.deposed = writer, False
        self.set_stale(True)

    def install(self, host: Host) -> None:
        """A replica whose log is no part of the writer's takes the writer's state whole."""
        self.journal.install(host)
        self.host = host
        self.seen = max(self.seen, host.term)
        self._count()
        self.waiters.wake()

    def log_after(self, index: int, chain: str, lineage: str) -> dict[str, Any]:
        """What a replica lacks whose log has the running hash `chain` behind record `index`:
        records, or the state whole where that is no part of this log. LogEntryError where it
        is a replica of another log."""
        host, tail = self.host, self.journal.tail
        if lineage not in ("", host.lineage):
            remedy = "follow the writer of that log, or begin anew in an empty folder"
            raise LogEntryError("the replica's log is of another lineage", remedy)
        told: dict[str, Any] = {"applied": host.applied, "lineage": host.lineage, "term": host.term}
        if tail.chain_at(index) == chain:
            return {**told, "records": tail.after(index, RECORDS_MOST)}
        return {**told, "snapshot": host.dump(), "marks": tail.marks()}

    def set_stale(self, stale: bool) -> None:
        if stale != self.stale:
            self.stale = stale
            self._count()
            self.waiters.wake()

    def _count(self) -> None:
        self.counts.term.set(self.host.term)
        self.counts.applied.set(self.host.applied)
        self.counts.stale.set(self.stale)
        self.counts.deposed.set(self.deposed)
