"""What one part of the replicated log is: a book, a pure state machine.

The log hosts several books. A record is a JSON object; its `book` names the one it is for
(none: the list, as logs had it before there were books), `op` what to do, `at` the writer's
time in µs. Records are applied in the log's order at the writer and at every replica, so a
book that knows neither clock, files nor chance is the same everywhere.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol, runtime_checkable

LogEntry = Mapping[str, Any]


class StateMachine(Protocol):
    """One state machine of the log. Each bounds its own size and says what it drops."""

    name: str

    def check(self, record: LogEntry) -> None:
        """Raises `LogEntryError` where `apply` would; changes nothing."""

    def apply(self, record: LogEntry) -> bool:
        """Apply one record that `check` passed; True where readers see a change."""

    def dump(self) -> Any:
        """All of it as plain JSON values, for a snapshot."""

    def load(self, raw: Any) -> None:
        """Take a dump's place; `LogEntryError` where it is none, and nothing changed."""


@runtime_checkable
class LeaderChangeObserver(Protocol):
    """A book that has to know when another process begins to write, or the same one anew."""

    def begin_term(self, term: int, at: int) -> None:
        """The term `term` begins at `at` µs: leases run anew from here."""


@runtime_checkable
class TimerDriven(Protocol):
    """A book in which something comes due by time alone, such as a lease's end."""

    def next_due(self) -> tuple[int, LogEntry] | None:
        """When (µs) the writer is to write which record next; None while nothing is due."""
