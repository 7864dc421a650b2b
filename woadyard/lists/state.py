"""The endpoint list as a state machine: it applies log entries and increments a version per change.

Pure: no I/O, no clock. The time comes from the entries (µs), where the leader set it, so that every
member that applies the same entries in the same order has the same list at the same version.

A version alone does not identify a list: a leader that was replaced may have served a version that
its successor never received. So each response carries the term of its version, and the state
records the version at which each term began. A reader at a (term, version) of this list's history
gets the changes since then; any other reader gets the full list.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from woadyard.errors import LogEntryError
from woadyard.registry.state_machine import LogEntry

# The operations; each log entry is a JSON object with "op" and its fields.
PUT, RENEW, DROP, EXPIRE = "put", "renew", "drop", "expire"
MAX_RECENT_CHANGES = 256  # kept for watches that resume
MAX_TERM_STARTS = 512  # readers of older terms get the full list

Instance = dict[str, Any]


class ListPosition(NamedTuple):
    """Where a reader is in the history of one lineage's list."""

    term: int
    version: int


class EndpointListState:
    """The endpoints by `instanceId`, in discovery's format, each with the expiry of its lease.

    `version` counts all changes ever applied; it is the list's generation."""

    name = "list"

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, Instance] = {}
        self.lease_expiries_us: dict[str, int] = {}  # by id
        self.ttls_us: dict[str, int] = {}  # lease durations by id
        self.term_starts: list[tuple[int, int]] = [(0, 0)]  # each term and the version at which it began
        self.recent_changes: deque[tuple[int, list[Instance]]] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def term(self) -> int:
        """The term of the current version."""
        return self.term_starts[-1][0]

    @property
    def position(self) -> ListPosition:
        """The term and the version of the current list."""
        return ListPosition(self.term, self.version)

    def check(self, entry: LogEntry) -> None:
        op = entry.get("op")
        if op == PUT:
            endpoint, ttl_us = entry.get("entry"), entry.get("ttl_us")
            has_id = isinstance(endpoint, dict) and isinstance(endpoint.get("instanceId"), str)
            if not has_id or type(ttl_us) is not int or ttl_us <= 0:
                raise LogEntryError("a put needs an entry with an instanceId and a lease duration above 0")
        elif op in (RENEW, DROP):
            if not isinstance(entry.get("id"), str):
                raise LogEntryError("the id must be a string")
            if op == RENEW and entry["id"] not in self.entries:
                remedy = "register the endpoint again: its lease expired, or the service lost it"
                raise LogEntryError(f"no lease to renew for {entry['id']!r}", remedy)
        elif op != EXPIRE:
            raise LogEntryError(f"unknown op of the endpoint list: {op!r}")

    def apply(self, entry: LogEntry) -> bool:
        """Apply an entry; return whether the list changed, which increments the version.

        A renewal extends a lease without a new version: watches report changes of the list, not
        heartbeats."""
        op, now_us = entry["op"], int(entry.get("at", 0))
        if op == PUT:
            return self._put(dict(entry["entry"]), int(entry["ttl_us"]), now_us)
        if op == RENEW:
            self.lease_expiries_us[entry["id"]] = now_us + self.ttls_us[entry["id"]]
            return False
        if op == DROP:
            return self._drop([entry["id"]])
        return self._drop(
            sorted(name for name, expiry_us in self.lease_expiries_us.items() if expiry_us <= now_us)
        )

    def begin_term(self, term: int, at: int) -> None:
        """Extend every lease to its full duration, as etcd does under a new leader.

        Clients could not renew while there was no leader; without this the list would be empty
        after an outage of the service."""
        self.lease_expiries_us = {
            name: max(expiry_us, at + self.ttls_us[name])
            for name, expiry_us in self.lease_expiries_us.items()
        }
        if term > self.term:
            self.term_starts = [*self.term_starts[1 - MAX_TERM_STARTS :], (term, self.version)]

    def next_due(self) -> tuple[int, LogEntry] | None:
        """Return the time (µs) of the next lease expiry, and the entry that removes expired endpoints."""
        first_us = min(self.lease_expiries_us.values(), default=None)
        return None if first_us is None else (first_us, {"op": EXPIRE})

    def _put(self, endpoint: Instance, ttl_us: int, now_us: int) -> bool:
        name = endpoint["instanceId"]
        self.lease_expiries_us[name], self.ttls_us[name] = now_us + ttl_us, ttl_us
        if self.entries.get(name) == endpoint:
            return False
        self.entries[name] = endpoint
        self._add_change([endpoint])
        return True

    def _drop(self, names: list[str]) -> bool:
        removed = [endpoint for name in names if (endpoint := self.entries.pop(name, None)) is not None]
        for endpoint in removed:
            del self.lease_expiries_us[endpoint["instanceId"]], self.ttls_us[endpoint["instanceId"]]
        if removed:
            self._add_change([{**endpoint, "lifecycle": "gone"} for endpoint in removed])
        return bool(removed)

    def _add_change(self, delta: list[Instance]) -> None:
        self.version += 1
        self.recent_changes.append((self.version, delta))

    # --- For readers ------------------------------------------------------------------

    def listing(self) -> dict[str, Any]:
        """Return the full list in discovery's format, with its term and version."""
        entries = [self.entries[name] for name in sorted(self.entries)]
        return {"generation": self.version, "term": self.term, "reset": True, "instances": entries}

    def changes_since(self, term: int, version: int) -> dict[str, Any]:
        """Return the changes since (term, version).

        Returns the full list if that is not in this list's history, or is no longer kept."""
        if not self._has_changes_since(term, version):
            return self.listing()
        merged: dict[str, Instance] = {}
        for change_version, delta in self.recent_changes:
            if change_version > version:
                merged.update((endpoint["instanceId"], endpoint) for endpoint in delta)
        changed = list(merged.values())
        return {"generation": self.version, "term": self.term, "reset": False, "instances": changed}

    def _has_changes_since(self, term: int, version: int) -> bool:
        """Whether this list was ever at (term, version), and all changes since then are kept."""
        if (term, version) == (self.term, self.version):
            return True
        for index, (listed_term, first_version) in enumerate(self.term_starts):
            if listed_term == term:
                last_version = (
                    self.term_starts[index + 1][1] if index + 1 < len(self.term_starts) else self.version
                )
                if first_version <= version <= last_version:
                    break
        else:
            return False
        if version == self.version:
            return True
        return bool(self.recent_changes) and version > 0 and self.recent_changes[0][0] - 1 <= version

    # --- Snapshots --------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        """Return the whole state for a snapshot; `recent_changes` is not part of it."""
        return {
            "version": self.version, "entries": self.entries, "leases": self.lease_expiries_us,
            "ttls": self.ttls_us, "terms": self.term_starts,
        }  # fmt: skip

    def load(self, raw: Any) -> None:
        """Replace the state by a dump; LogEntryError if the dump is invalid."""
        try:
            version, entries = int(raw["version"]), dict(raw["entries"])
            leases, ttls = dict(raw["leases"]), dict(raw["ttls"])
            terms = [(int(term), int(first_version)) for term, first_version in raw["terms"]]
        except (KeyError, TypeError, ValueError) as error:
            raise LogEntryError(f"invalid dump of the endpoint list: {error!r}") from None
        if not terms or leases.keys() != entries.keys() or ttls.keys() != entries.keys():
            raise LogEntryError(
                "inconsistent dump of the endpoint list: entries, leases and terms do not match"
            )
        self.version, self.entries, self.lease_expiries_us, self.ttls_us = version, entries, leases, ttls
        self.term_starts = terms
        self.recent_changes.clear()
