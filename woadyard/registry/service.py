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
from woadyard.registry.election import Election
from woadyard.registry.log import Journal
from woadyard.registry.metrics import RegistryMetrics
from woadyard.registry.replicated_state import ERA_SHIFT, LEAD, MAX_TERM, ReplicatedState, next_term
from woadyard.registry.replication_progress import ReplicationProgress
from woadyard.registry.state_machine import LogEntry, StateMachine, TimerDriven
from woadyard.registry.state_machines import create_state_machines
from woadyard.registry.waiters import LOG_TOPIC, REPLICATION_TOPIC, Waiters

# A snapshot comes where the log is longer than the last one, and than this: so a book that
# has grown is not written whole again and again, and a start reads no more than twice of it.
MIN_SNAPSHOT_LOG_BYTES = 256 * 1024
MAX_ENTRIES_PER_RESPONSE = 500  # told to a replica at once
# A term further on than any number of writers explains is a lie, and deposes nobody.
MAX_ERA_ADVANCE = 1_000
REPLICATION_TIMEOUT_S = 2.0  # a write waits so long for its copies
DUE_ENTRY_RETRY_S = 1.0  # a record that was due and could not be written is tried again
QUORUM_CONTACT_S, QUORUM_RECHECK_S = (
    1.0,
    0.1,
)  # an elected writer ends leases if a majority polled within; else it looks again
LOG = logging.getLogger(__name__)
B = TypeVar("B", bound=StateMachine)


class DeposedError(StateError):
    """Another process has, or had, the writer's place."""

    remedy = (
        "start this process with --follow the one that leads now; if none does, the one with "
        "the most records with --take-over"
    )


class NoLeaderError(DeposedError):
    """No writer is elected that this process knows of."""

    remedy = "make the call again, here or at another member; see that most members run and are reached"
    retry_after_s = 2


class NotReplicatedError(StateError):
    """A write is on this log and not yet on as many replicas as have to hold it."""

    remedy = "make the call again; see whether the replicas run and follow"


class NoMajorityError(NotReplicatedError):
    """A write is not known to be held by most members of the log; it may be yet."""

    remedy = "make the call again, here or at another member; see that most members run and are reached"
    retry_after_s = 2


def monotonic_wall_clock() -> Callable[[], int]:
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
        clock_us: Callable[[], int] | None = None,
        leader_address: str | None = None,
        required_replicas: int = 0,
    ) -> None:
        self.election: Election | None = None  # of this log's members, where they elect
        self.elected_index = 0  # index of the record by which this process was elected
        self.is_leaderless = False  # of members that elect: no writer is known
        self.journal, self.clock_us, self.leader_address = (
            journal,
            clock_us or monotonic_wall_clock(),
            leader_address,
        )
        self.log_state = ReplicatedState(create_state_machines())
        journal.recover(self.log_state)
        self.member_id = journal.load_member_id()
        self.highest_term = max(journal.read_highest_term(), self.log_state.term)  # the greatest term told of
        self.is_stale = False  # a replica that has not heard of its writer lately
        self.is_deposed = False
        self.replica_progress = ReplicationProgress(required_replicas)
        self.straggler_rules = StragglerRules()  # of the audit
        self.waiters = Waiters()
        self.metrics = RegistryMetrics()
        self._count()
        self.due_timer: asyncio.TimerHandle | None = None

    @property
    def state_machines(self) -> dict[str, StateMachine]:
        return self.log_state.state_machines

    def state_machine(self, kind: type[B]) -> B:
        """The book of this class."""
        found = self.log_state.state_machines[kind.name]
        assert isinstance(found, kind)
        return found

    @property
    def is_leader(self) -> bool:
        return self.leader_address is None and not self.is_deposed and not self.is_leaderless

    @property
    def may_be_outdated(self) -> bool:
        """What this process serves may be old: it lost its writer, or its place."""
        return self.is_stale or self.is_deposed

    # --- Writing ----------------------------------------------------------------------

    def become_leader(self, take_over: bool = False) -> None:
        """Begin to write: a new term, and every lease runs anew. Not, unless to take over,
        where a term was heard of that this log has no record of: what was written in it
        would be lost."""
        if self.highest_term > self.log_state.term and not take_over:
            if not self.is_deposed:
                self._depose(self.highest_term, "what was heard before the start")
            return
        lineage = self.log_state.lineage or secrets.token_hex(8)
        resumes = self.log_state.leader_id == self.member_id and self.highest_term == self.log_state.term
        term = next_term(self.highest_term, resumes)
        self.append_and_apply(
            {"op": LEAD, "lineage": lineage, "term": term, "by": self.member_id, "at": self.clock_us()}
        )
        self.highest_term = term
        self.schedule_due_entry()

    def become_elected_leader(self, term: int) -> None:
        """Begin to write in a term that most members voted for. StateError of the disk."""
        lineage = self.log_state.lineage or secrets.token_hex(8)
        self.replica_progress = ReplicationProgress(
            self.replica_progress.required_replicas
        )  # what was held in another reign says nothing
        self.append_and_apply(
            {"op": LEAD, "lineage": lineage, "term": term, "by": self.member_id, "at": self.clock_us()}
        )
        self.elected_index = self.log_state.applied_index
        self.leader_address, self.is_deposed, self.is_leaderless = None, False, False
        self.set_stale(False)
        self.waiters.notify(LOG_TOPIC)
        self.schedule_due_entry()

    def follow_elected_leader(self, writer: str | None) -> None:
        """From now on a replica of the elected writer at this address, or of none that is known."""
        self.leader_address, self.is_deposed, self.is_leaderless = writer, False, writer is None
        self.waiters.notify(LOG_TOPIC, REPLICATION_TOPIC)

    def append_entry(self, record: LogEntry) -> int:
        """Log and apply a record, at this process's term and time; its index. `LogEntryError`
        where its book turns it down, `DeposedError` where this process leads no more,
        `StateError` where the disk refuses it; nothing of it was then applied."""
        try:
            if not self.is_leader:
                raise self._deposed(f"this process does not write: it is at term {self.log_state.term}")
            self.append_and_apply({**record, "term": self.log_state.term, "at": self.clock_us()})
        except LogEntryError:
            self.metrics.writes.labels("refused").inc()
            raise
        except StateError:
            self.metrics.writes.labels("failed").inc()
            raise
        self.metrics.writes.labels("done").inc()
        self.schedule_due_entry()
        return self.log_state.applied_index

    def record_replica_position(self, replica: str, index: int) -> None:
        """A replica has shown that it holds the log up to `index`. Of members that elect
        the others' copies count alone."""
        now = time.monotonic()
        if self.election is None or self.election.record_poll(replica, index, now):
            self.replica_progress.record_match(replica, index, now)
            self.waiters.notify(REPLICATION_TOPIC)

    def replicated_index(self) -> int:
        """The index up to which the replicas that have to are known to hold the log: what
        stands there outlives this process and its disk. -1 where an elected writer's own
        first record is not held yet: before that nothing is known (Raft, figure 8)."""
        reach = self.replica_progress.advance_commit(self.log_state.applied_index, time.monotonic())
        return reach if reach >= self.elected_index else -1

    async def wait_replicated(self, index: int, term: int | None = None) -> None:
        """Returns once record `index`, of this `term` (by default the present one), is held
        by the replicas that have to hold it, at once where that is none; `UnsettledError`
        after `SETTLE_S`."""
        term = self.log_state.term if term is None else term
        if self.replica_progress.required_replicas and not await self.waiters.wait_until(
            REPLICATION_TOPIC,
            lambda: self.replicated_index() >= index or not self._leads_in(term),
            REPLICATION_TIMEOUT_S,
        ):
            kind = NotReplicatedError if self.election is None else NoMajorityError
            raise kind(f"record {index} is not yet at {self.replica_progress.required_replicas} replicas")
        if not self._leads_in(term):
            raise self._deposed(f"record {index} may be lost: another process leads")

    def _leads_in(self, term: int) -> bool:
        # The index alone names no record: a writer that was elected again has others there.
        return self.is_leader and self.log_state.term == term

    def _deposed(self, what: str) -> DeposedError:
        return DeposedError(what) if self.election is None else NoLeaderError(what)

    def append_for_response(self, record: LogEntry) -> tuple[int, str]:
        """`commit`, as an HTTP status and a body in JSON."""
        try:
            index = self.append_entry(record)
        except LogEntryError as error:
            return 400, json.dumps(error.fields())
        except DeposedError as error:
            return 503, json.dumps(error.fields())
        except StateError as error:
            return 507, json.dumps(error.fields())
        return 200, json.dumps({"index": index, "term": self.log_state.term})

    def append_and_apply(self, record: dict[str, Any]) -> None:
        """Log and apply one record as it is; LogEntryError, or StateError of the disk."""
        try:
            changed = self.journal.append(self.log_state, record)
        except OSError as error:
            LOG.error("write failed", extra={"error": str(error)})
            raise StateError(f"can't write: {error}") from None
        self.highest_term = max(self.highest_term, self.log_state.term)
        self._count()
        self.waiters.notify(LOG_TOPIC, *([record.get("book", "list")] if changed else []))
        self._snapshot_now_and_then()

    def _snapshot_now_and_then(self) -> None:
        if self.journal.log_bytes > max(MIN_SNAPSHOT_LOG_BYTES, self.journal.snapshot_bytes):
            try:
                self.journal.write_snapshot(self.log_state)
            except OSError as error:
                LOG.error("snapshot failed", extra={"error": str(error)})

    def schedule_due_entry(self) -> None:
        """A timer for what comes due next in any book: that is a record too."""
        if self.due_timer is not None:
            self.due_timer.cancel()
        timed = (book.next_due() for book in self.state_machines.values() if isinstance(book, TimerDriven))
        if due := min((one for one in timed if one is not None), key=lambda one: one[0], default=None):
            delay = max(0.0, (due[0] - self.clock_us()) / 1e6)
            self.due_timer = asyncio.get_running_loop().call_later(delay, self._due, due[1])

    def _due(self, record: LogEntry) -> None:
        if not self.is_leader:
            return
        if self.election is not None and not self._sure(self.election):
            self.due_timer = asyncio.get_running_loop().call_later(QUORUM_RECHECK_S, self.schedule_due_entry)
            return
        try:
            self.append_entry(record)
        except (LogEntryError, StateError) as error:
            LOG.error("what came due can't be written", extra=error.fields())
            self.due_timer = asyncio.get_running_loop().call_later(DUE_ENTRY_RETRY_S, self.schedule_due_entry)

    def _sure(self, election: Election) -> bool:
        """Whether most members followed just now: one cut off from them may be cut off from
        those that renew too, and ends no lease."""
        return (
            self.replicated_index() >= self.elected_index
            and time.monotonic() - election.quorum_contact_s() < QUORUM_CONTACT_S
        )

    # --- Terms ------------------------------------------------------------------------

    def observe_term(self, lineage: str, term: int, by: str) -> None:
        """Somebody acts on `term`. One above this process's own, of its own log, means
        that another process was given the writer's place: this one writes no more."""
        if (
            lineage != self.log_state.lineage
            or term <= self.highest_term
            or not self.is_plausible_term(term, by)
        ):
            return
        self.highest_term = term
        try:
            self.journal.write_highest_term(term)
        except OSError as error:
            LOG.error("can't keep the term heard of", extra={"error": str(error)})
        if self.is_leader:
            self._depose(term, by)

    def is_plausible_term(self, term: int, by: str) -> bool:
        """Whether writers and elections can have come to this term by now."""
        if term < MAX_TERM and (term >> ERA_SHIFT) - (self.highest_term >> ERA_SHIFT) <= MAX_ERA_ADVANCE:
            return True
        LOG.warning("a term that can't be", extra={"term": term, "by": by})
        return False

    def _depose(self, term: int, by: str) -> None:
        if self.election is not None:
            LOG.info(
                "a greater term was heard of", extra={"term": self.log_state.term, "greater": term, "by": by}
            )
            self.follow_elected_leader(None)
            return
        self.is_deposed = True
        fields = {"term": self.log_state.term, "greater": term, "by": by, "remedy": DeposedError.remedy}
        LOG.error("deposed: another process writes, this one stops", extra=fields)
        self._count()
        self.waiters.notify()

    # --- Following --------------------------------------------------------------------

    def start_following(self, writer: str) -> None:
        """From now on a replica of the process there."""
        self.leader_address, self.is_deposed = writer, False
        self.set_stale(True)

    def install_snapshot(self, host: ReplicatedState) -> None:
        """A replica whose log is no part of the writer's takes the writer's state whole."""
        self.journal.install_snapshot(host)
        self.log_state = host
        self.highest_term = max(self.highest_term, host.term)
        self._count()
        self.waiters.notify()

    def entries_or_snapshot_after(self, index: int, chain: str, lineage: str) -> dict[str, Any]:
        """What a replica lacks whose log has the running hash `chain` behind record `index`:
        records, or the state whole where that is no part of this log. LogEntryError where it
        is a replica of another log."""
        host, tail = self.log_state, self.journal.tail
        if lineage not in ("", host.lineage):
            remedy = "follow the writer of that log, or begin anew in an empty folder"
            raise LogEntryError("the replica's log is of another lineage", remedy)
        told: dict[str, Any] = {"applied": host.applied_index, "lineage": host.lineage, "term": host.term}
        if tail.chain_at(index) == chain:
            return {**told, "records": tail.entries_after(index, MAX_ENTRIES_PER_RESPONSE)}
        return {**told, "snapshot": host.dump(), "marks": tail.chain_marks()}

    def set_stale(self, stale: bool) -> None:
        if stale != self.is_stale:
            self.is_stale = stale
            self._count()
            self.waiters.notify()

    def _count(self) -> None:
        self.metrics.term.set(self.log_state.term)
        self.metrics.applied.set(self.log_state.applied_index)
        self.metrics.stale.set(self.is_stale)
        self.metrics.deposed.set(self.is_deposed)
