"""The protocol of a state machine that the replicated log is applied to.

Several state machines share one log. A log entry is a JSON object: `book` names the state machine
it belongs to (without it: the endpoint list, as in logs from before there were several), `op` the
operation, and `at` the leader's time in µs. The leader and every follower apply the entries in the
log's order. A state machine uses no clock, no files and no randomness, so all of them reach the
same state.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol, runtime_checkable

LogEntry = Mapping[str, Any]


class StateMachine(Protocol):
    """One state machine of the log. Each bounds its own size and documents what it discards."""

    name: str

    def check(self, entry: LogEntry) -> None:
        """Raise `LogEntryError` if `apply` would fail; change nothing."""

    def apply(self, entry: LogEntry) -> bool:
        """Apply an entry that `check` accepted; return whether readers see a change."""

    def dump(self) -> Any:
        """Return the whole state as plain JSON values, for a snapshot."""

    def load(self, raw: Any) -> None:
        """Replace the state by a dump; `LogEntryError`, and no change, if the dump is invalid."""


@runtime_checkable
class LeaderChangeObserver(Protocol):
    """A state machine that must know when a leader, new or restarted, begins a term."""

    def begin_term(self, term: int, at: int) -> None:
        """Handle the start of `term` at `at` µs, for example by extending leases."""


@runtime_checkable
class TimerDriven(Protocol):
    """A state machine in which something falls due with time alone, such as a lease expiry."""

    def next_due(self) -> tuple[int, LogEntry] | None:
        """Return when (µs) the leader must append which entry next; None if nothing is pending."""
