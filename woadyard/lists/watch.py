"""What the readers of the endpoint list are sent, above all the lines of a watch. No I/O.

A watch gets an object for each new position of the list and heartbeats in between. A heartbeat confirms
the position of the last object of its watch, so the first line is an object even if nothing has changed
since the position that the client resumes from.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from woadyard.lists.state import EndpointListState, ListPosition
from woadyard.registry.service import Registry

HEARTBEAT_LINE = b"\n"
UNKNOWN_TERM = -1  # no list has it: a reader from there is sent the full list


@dataclass(frozen=True)
class EncodedChanges:
    """The line with the changes since a position, and what it was encoded from."""

    since: ListPosition
    endpoint_list: EndpointListState
    position: ListPosition
    is_outdated: bool
    line: bytes

    def is_current(self, since: ListPosition, source: ListSource) -> bool:
        """Whether the line still has the changes since a position."""
        return (
            self.endpoint_list is source.endpoint_list
            and self.since == since
            and self.position == source.position
            and self.is_outdated == source.is_outdated
        )


class ListSource:
    """The endpoint list of one registry, as its readers are sent it."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        # Shared by the watches, most of which are at the same position.
        self.last_changes: EncodedChanges | None = None

    @property
    def endpoint_list(self) -> EndpointListState:
        """The current list; another object once a snapshot was installed."""
        return self.registry.state_machine(EndpointListState)

    @property
    def position(self) -> ListPosition:
        """The position of the current list."""
        return self.endpoint_list.position

    @property
    def is_outdated(self) -> bool:
        """Whether the list may be out of date, as contact with the leader, or leadership, was lost."""
        return self.registry.may_be_outdated

    def full_list(self) -> dict[str, Any]:
        """Return the full list in discovery's format, with its origin."""
        return self._add_origin(self.endpoint_list.listing())

    def encode_changes(self, since: ListPosition) -> bytes:
        """Return the line with the changes since a position, which may be none, or the full list."""
        if self.last_changes is None or not self.last_changes.is_current(since, self):
            changes = self._add_origin(self.endpoint_list.changes_since(*since))
            line = msgspec.json.encode(changes) + b"\n"
            self.last_changes = EncodedChanges(
                since, self.endpoint_list, self.position, self.is_outdated, line
            )
        return self.last_changes.line

    def resume_position(self, lineage: str, term: int, version: int) -> ListPosition:
        """Return the position that a reader resumes from; that of another lineage is none of this list's."""
        is_same_lineage = lineage == self.registry.log_state.lineage
        return ListPosition(term if is_same_lineage else UNKNOWN_TERM, version)

    def _add_origin(self, content: dict[str, Any]) -> dict[str, Any]:
        """Add the log's lineage, and `following` if the content may be out of date."""
        content = {**content, "lineage": self.registry.log_state.lineage}
        return {**content, "following": False} if self.is_outdated else content


class Watch:
    """One watch: what it was sent, and what it is sent next."""

    def __init__(self, source: ListSource, resumes_from: ListPosition) -> None:
        self.source, self.resumes_from = source, resumes_from
        self.sent: ListPosition | None = None  # the position of the last object
        self.has_ended = False  # the last line said that the list may be out of date

    def next_line(self) -> bytes:
        """Return the line to send now: an object if the client lacks the current position."""
        self.has_ended = self.source.is_outdated
        if self.is_confirmed():
            return HEARTBEAT_LINE
        line = self.source.encode_changes(self.sent or self.resumes_from)
        self.sent = self.source.position
        return line

    def is_confirmed(self) -> bool:
        """Whether the client was sent the current position, and the list is not out of date."""
        return self.sent == self.source.position and not self.source.is_outdated
