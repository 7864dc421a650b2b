"""A running member of the replicated log, leader or follower, with its waiters, timers and metrics.

The leader is the process without `--follow`: operators choose it, or, with `--elect`, the
members elect it (election.py, elector.py). A follower appends the leader's entries to its
own log in the same order, so its state machines are identical at the same index. It becomes
the leader when it is restarted without `--follow`, which begins a term greater than every
term it has observed. A leader that observes a greater term than its own has been replaced
and accepts no more writes.
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

# A snapshot is written once the log is longer than both the last snapshot and this. So a large state
# is not rewritten too often, and recovery reads at most about twice the size of the state.
MIN_SNAPSHOT_LOG_BYTES = 256 * 1024
MAX_ENTRIES_PER_RESPONSE = 500
# A term further ahead than any number of leader changes can explain is invalid and deposes no leader.
MAX_ERA_ADVANCE = 1_000
REPLICATION_TIMEOUT_S = 2.0
DUE_ENTRY_RETRY_S = 1.0  # after a due entry could not be written
# An elected leader expires leases only if a majority polled it within the first; else it checks again
# after the second.
QUORUM_CONTACT_S, QUORUM_RECHECK_S = 1.0, 0.1
LOG = logging.getLogger(__name__)
StateMachineT = TypeVar("StateMachineT", bound=StateMachine)


class DeposedError(StateError):
    """Another process is, or was, the leader of a greater term."""

    remedy = (
        "start this process with --follow and the address of the current leader; if there is none, "
        "start the process with the longest log with --take-over"
    )


class NoLeaderError(DeposedError):
    """This member knows of no elected leader."""

    remedy = (
        "repeat the call here or at another member; check that a majority of members run and are reachable"
    )
    retry_after_s = 2


class NotReplicatedError(StateError):
    """An entry is in the leader's log, but not yet on the required number of followers."""

    remedy = "repeat the call; check that the followers run and follow this leader"


class NoMajorityError(NotReplicatedError):
    """An entry is not known to be on a majority of the members; it may still be replicated."""

    remedy = (
        "repeat the call here or at another member; check that a majority of members run and are reachable"
    )
    retry_after_s = 2


def monotonic_wall_clock() -> Callable[[], int]:
    """Return a clock in µs that starts at the wall time and advances with the monotonic clock.

    Setting the system clock therefore expires no lease. A restart extends every lease, so no lease
    depends on the clock of an earlier run."""
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (offset_ns + time.monotonic_ns()) // 1000


class Registry:
    """The state machines, their log files and their waiters, on one event loop.

    `leader_address` is the address of the process that this one follows; None while this process
    is the leader, or after it was deposed. `required_followers` is the number of followers that
    must have an entry before it counts as replicated."""

    def __init__(
        self,
        journal: Journal,
        clock_us: Callable[[], int] | None = None,
        leader_address: str | None = None,
        required_followers: int = 0,
    ) -> None:
        self.election: Election | None = None  # set with --elect
        self.elected_index = 0  # index of the entry that began its own elected term
        self.is_leaderless = False  # with elections: no leader is known
        self.journal, self.clock_us, self.leader_address = (
            journal,
            clock_us or monotonic_wall_clock(),
            leader_address,
        )
        self.log_state = ReplicatedState(create_state_machines())
        journal.recover(self.log_state)
        self.member_id = journal.load_member_id()
        self.highest_term = max(journal.read_highest_term(), self.log_state.term)  # ever observed
        self.is_stale = False  # a follower that has lost contact with its leader
        self.is_deposed = False
        self.replication_progress = ReplicationProgress(required_followers)
        self.straggler_rules = StragglerRules()
        self.waiters = Waiters()
        self.metrics = RegistryMetrics()
        self._update_metrics()
        self.due_timer: asyncio.TimerHandle | None = None

    @property
    def state_machines(self) -> dict[str, StateMachine]:
        return self.log_state.state_machines

    def state_machine(self, kind: type[StateMachineT]) -> StateMachineT:
        """Return the state machine of class `kind`."""
        machine = self.log_state.state_machines[kind.name]
        assert isinstance(machine, kind)
        return machine

    @property
    def is_leader(self) -> bool:
        return self.leader_address is None and not self.is_deposed and not self.is_leaderless

    @property
    def may_be_outdated(self) -> bool:
        """Whether the served state may be out of date: contact with the leader, or leadership, was lost."""
        return self.is_stale or self.is_deposed

    # --- Writing ----------------------------------------------------------------------

    def become_leader(self, take_over: bool = False) -> None:
        """Begin a new term as the leader; every lease is extended.

        Unless `take_over` is set, this is refused if a greater term was observed than the log has
        entries of: the entries of that term would be lost."""
        if self.highest_term > self.log_state.term and not take_over:
            if not self.is_deposed:
                self._depose(self.highest_term, "a term observed before the start")
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
        """Begin a term that a majority voted for. Raises StateError if the log can't be written."""
        lineage = self.log_state.lineage or secrets.token_hex(8)
        # Progress reported in an earlier term proves nothing in this one.
        self.replication_progress = ReplicationProgress(self.replication_progress.required_followers)
        self.append_and_apply(
            {"op": LEAD, "lineage": lineage, "term": term, "by": self.member_id, "at": self.clock_us()}
        )
        self.elected_index = self.log_state.applied_index
        self.leader_address, self.is_deposed, self.is_leaderless = None, False, False
        self.set_stale(False)
        self.waiters.notify(LOG_TOPIC)
        self.schedule_due_entry()

    def follow_elected_leader(self, address: str | None) -> None:
        """Become a follower of the elected leader at `address`; None if no leader is known."""
        self.leader_address, self.is_deposed, self.is_leaderless = address, False, address is None
        self.waiters.notify(LOG_TOPIC, REPLICATION_TOPIC)

    def append_entry(self, entry: LogEntry) -> int:
        """Append an entry with the current term and time, apply it, and return its index.

        Raises LogEntryError if its state machine rejects it, DeposedError if this process is not the
        leader, StateError if the log can't be written; in each case nothing was applied."""
        try:
            if not self.is_leader:
                raise self._deposed_error(
                    f"this process is not the leader: its term is {self.log_state.term}"
                )
            self.append_and_apply({**entry, "term": self.log_state.term, "at": self.clock_us()})
        except LogEntryError:
            self.metrics.writes.labels("refused").inc()
            raise
        except StateError:
            self.metrics.writes.labels("failed").inc()
            raise
        self.metrics.writes.labels("done").inc()
        self.schedule_due_entry()
        return self.log_state.applied_index

    def record_follower_position(self, follower: str, index: int) -> None:
        """Record that a follower has proven that its log matches up to `index`.

        With elections, only followers that are members count."""
        now = time.monotonic()
        if self.election is None or self.election.record_poll(follower, index, now):
            self.replication_progress.record_match(follower, index, now)
            self.waiters.notify(REPLICATION_TOPIC)

    def replicated_index(self) -> int:
        """Return the index up to which the required followers are known to have the log.

        Entries up to there survive the loss of this process and its disk. The result is -1 until the
        first entry of an elected leader's own term is replicated: entries of earlier terms are
        not safe before that (Raft, figure 8)."""
        index = self.replication_progress.advance_commit(self.log_state.applied_index, time.monotonic())
        return index if index >= self.elected_index else -1

    async def wait_replicated(self, index: int, term: int | None = None) -> None:
        """Return once entry `index` of `term` (default: the current term) is on the required followers.

        Returns at once if no follower is required. Raises NotReplicatedError after
        `REPLICATION_TIMEOUT_S`, DeposedError if this process is not the leader of that term."""
        term = self.log_state.term if term is None else term
        if self.replication_progress.required_followers and not await self.waiters.wait_until(
            REPLICATION_TOPIC,
            lambda: self.replicated_index() >= index or not self._is_leader_in(term),
            REPLICATION_TIMEOUT_S,
        ):
            error_class = NotReplicatedError if self.election is None else NoMajorityError
            raise error_class(
                f"entry {index} is not yet replicated to "
                f"{self.replication_progress.required_followers} followers"
            )
        if not self._is_leader_in(term):
            raise self._deposed_error(f"entry {index} may be lost: another process is the leader")

    def _is_leader_in(self, term: int) -> bool:
        # The index alone does not identify an entry: a leader that was elected again has other entries there.
        return self.is_leader and self.log_state.term == term

    def _deposed_error(self, message: str) -> DeposedError:
        return DeposedError(message) if self.election is None else NoLeaderError(message)

    def append_for_response(self, entry: LogEntry) -> tuple[int, str]:
        """Call `append_entry` and return its result as an HTTP status and a JSON body."""
        try:
            index = self.append_entry(entry)
        except LogEntryError as error:
            return 400, json.dumps(error.fields())
        except DeposedError as error:
            return 503, json.dumps(error.fields())
        except StateError as error:
            return 507, json.dumps(error.fields())
        return 200, json.dumps({"index": index, "term": self.log_state.term})

    def append_and_apply(self, entry: dict[str, Any]) -> None:
        """Append an entry unchanged and apply it; LogEntryError if it is invalid, StateError of the disk."""
        try:
            changed = self.journal.append(self.log_state, entry)
        except OSError as error:
            LOG.error("write failed", extra={"error": str(error)})
            raise StateError(f"can't write: {error}") from None
        self.highest_term = max(self.highest_term, self.log_state.term)
        self._update_metrics()
        self.waiters.notify(LOG_TOPIC, *([entry.get("book", "list")] if changed else []))
        self._snapshot_if_due()

    def _snapshot_if_due(self) -> None:
        if self.journal.log_bytes > max(MIN_SNAPSHOT_LOG_BYTES, self.journal.snapshot_bytes):
            try:
                self.journal.write_snapshot(self.log_state)
            except OSError as error:
                LOG.error("snapshot failed", extra={"error": str(error)})

    def schedule_due_entry(self) -> None:
        """Start the timer for the entry that falls due next in any state machine."""
        if self.due_timer is not None:
            self.due_timer.cancel()
        due_entries = (
            machine.next_due() for machine in self.state_machines.values() if isinstance(machine, TimerDriven)
        )
        if due := min(
            (each for each in due_entries if each is not None), key=lambda each: each[0], default=None
        ):
            delay_s = max(0.0, (due[0] - self.clock_us()) / 1e6)
            self.due_timer = asyncio.get_running_loop().call_later(delay_s, self._append_due_entry, due[1])

    def _append_due_entry(self, entry: LogEntry) -> None:
        if not self.is_leader:
            return
        if self.election is not None and not self._has_quorum_contact(self.election):
            self.due_timer = asyncio.get_running_loop().call_later(QUORUM_RECHECK_S, self.schedule_due_entry)
            return
        try:
            self.append_entry(entry)
        except (LogEntryError, StateError) as error:
            LOG.error("can't write the entry that is due", extra=error.fields())
            self.due_timer = asyncio.get_running_loop().call_later(DUE_ENTRY_RETRY_S, self.schedule_due_entry)

    def _has_quorum_contact(self, election: Election) -> bool:
        """Whether a majority polled this leader recently.

        A leader without contact to a majority may also be unreachable for the clients that renew
        their leases, so it expires none."""
        return (
            self.replicated_index() >= self.elected_index
            and time.monotonic() - election.quorum_contact_s() < QUORUM_CONTACT_S
        )

    # --- Terms ------------------------------------------------------------------------

    def observe_term(self, lineage: str, term: int, by: str) -> None:
        """Record a term that a client or another process reported.

        A term of this log that is greater than its own means that another process became the
        leader: this process stops accepting writes. `by` names the source in the log."""
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
            LOG.error("can't persist the highest term", extra={"error": str(error)})
        if self.is_leader:
            self._depose(term, by)

    def is_plausible_term(self, term: int, by: str) -> bool:
        """Whether leader changes and elections can have reached this term by now."""
        if term < MAX_TERM and (term >> ERA_SHIFT) - (self.highest_term >> ERA_SHIFT) <= MAX_ERA_ADVANCE:
            return True
        LOG.warning("implausible term", extra={"term": term, "by": by})
        return False

    def _depose(self, term: int, by: str) -> None:
        if self.election is not None:
            LOG.info(
                "observed a greater term", extra={"term": self.log_state.term, "greater": term, "by": by}
            )
            self.follow_elected_leader(None)
            return
        self.is_deposed = True
        fields = {"term": self.log_state.term, "greater": term, "by": by, "remedy": DeposedError.remedy}
        LOG.error("deposed: another process writes, this one stops", extra=fields)
        self._update_metrics()
        self.waiters.notify()

    # --- Following --------------------------------------------------------------------

    def start_following(self, address: str) -> None:
        """Become a follower of the process at `address`."""
        self.leader_address, self.is_deposed = address, False
        self.set_stale(True)

    def install_snapshot(self, log_state: ReplicatedState) -> None:
        """Replace the state and the log by the leader's state, where the logs have diverged."""
        self.journal.install_snapshot(log_state)
        self.log_state = log_state
        self.highest_term = max(self.highest_term, log_state.term)
        self._update_metrics()
        self.waiters.notify()

    def entries_or_snapshot_after(self, index: int, chain: str, lineage: str) -> dict[str, Any]:
        """Return what a follower lacks whose log has the running hash `chain` at `index`.

        That is the entries after `index`, or the whole state where this log has another hash there
        or no longer keeps them. Raises LogEntryError if the follower's log is of another lineage."""
        log_state, tail = self.log_state, self.journal.tail
        if lineage not in ("", log_state.lineage):
            remedy = "follow the leader of that log, or start with an empty folder"
            raise LogEntryError("the follower's log is of another lineage", remedy)
        response: dict[str, Any] = {
            "applied": log_state.applied_index, "lineage": log_state.lineage, "term": log_state.term
        }  # fmt: skip
        if tail.chain_at(index) == chain:
            return {**response, "records": tail.entries_after(index, MAX_ENTRIES_PER_RESPONSE)}
        return {**response, "snapshot": log_state.dump(), "marks": tail.chain_marks()}

    def set_stale(self, is_stale: bool) -> None:
        if is_stale != self.is_stale:
            self.is_stale = is_stale
            self._update_metrics()
            self.waiters.notify()

    def _update_metrics(self) -> None:
        self.metrics.term.set(self.log_state.term)
        self.metrics.applied.set(self.log_state.applied_index)
        self.metrics.stale.set(self.is_stale)
        self.metrics.deposed.set(self.is_deposed)
