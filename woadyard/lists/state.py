"""The list as a state machine: records in, a version for each change.

Pure: no I/O, no clock. Time comes in the records (µs), written by the one
process that writes, so that every replica that applies the same records in
the same order holds the same list at the same version (as a Raft log does).

A version alone does not name a list: a writer that was replaced may have given
one out that its successor never heard of. So what is told carries the term it
was written in, and the book knows at which version each term began: a reader at
(term, version) holds a part of this list's history or is told the list whole.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from woadyard.errors import LogEntryError
from woadyard.registry.state_machine import LogEntry

# The kinds of record; each is a JSON object with "op" and its fields.
PUT, RENEW, DROP, EXPIRE = "put", "renew", "drop", "expire"
MAX_RECENT_CHANGES = 256  # the changes kept for watches that resume
MAX_TERM_STARTS = 512  # of which it is known where they began; older readers are told all

Instance = dict[str, Any]


class EndpointListState:
    """Entries in the list format of discovery, by `instanceId`, each with the time its
    lease runs out; `version` counts the changes ever applied (the list's generation)."""

    name = "list"

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, Instance] = {}
        self.lease_expiries_us: dict[str, int] = {}  # id: expiry, µs
        self.ttls_us: dict[str, int] = {}  # id: lease length, µs
        self.term_starts: list[tuple[int, int]] = [(0, 0)]  # each term, and the version it began at
        self.recent_changes: deque[tuple[int, list[Instance]]] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def term(self) -> int:
        return self.term_starts[-1][0]

    def check(self, record: LogEntry) -> None:
        op = record.get("op")
        if op == PUT:
            entry, ttl_us = record.get("entry"), record.get("ttl_us")
            named = isinstance(entry, dict) and isinstance(entry.get("instanceId"), str)
            if not named or type(ttl_us) is not int or ttl_us <= 0:
                raise LogEntryError("a put needs an entry with an instanceId and a lease above 0")
        elif op in (RENEW, DROP):
            if not isinstance(record.get("id"), str):
                raise LogEntryError("an id is no text")
            if op == RENEW and record["id"] not in self.entries:
                remedy = "register it anew: its lease ran out, or the service lost it"
                raise LogEntryError(f"no lease to renew: {record['id']!r}", remedy)
        elif op != EXPIRE:
            raise LogEntryError(f"the list has no such op: {op!r}")

    def apply(self, record: LogEntry) -> bool:
        """True if the list changed (and the version rose). A renewal moves a lease on
        without a new version: watchers are told of changes to the list, not of heartbeats."""
        op, at = record["op"], int(record.get("at", 0))
        if op == PUT:
            return self._put(dict(record["entry"]), int(record["ttl_us"]), at)
        if op == RENEW:
            self.lease_expiries_us[record["id"]] = at + self.ttls_us[record["id"]]
            return False
        if op == DROP:
            return self._drop([record["id"]])
        return self._drop(sorted(one for one, ends in self.lease_expiries_us.items() if ends <= at))

    def begin_term(self, term: int, at: int) -> None:
        """Nobody could renew while nobody wrote: each lease runs anew, as etcd's do
        under a new leader, or a service back from an outage would empty the list."""
        self.lease_expiries_us = {
            name: max(ends, at + self.ttls_us[name]) for name, ends in self.lease_expiries_us.items()
        }
        if term > self.term:
            self.term_starts = [*self.term_starts[1 - MAX_TERM_STARTS :], (term, self.version)]

    def next_due(self) -> tuple[int, LogEntry] | None:
        first = min(self.lease_expiries_us.values(), default=None)
        return None if first is None else (first, {"op": EXPIRE})

    def _put(self, entry: Instance, ttl_us: int, at: int) -> bool:
        name = entry["instanceId"]
        self.lease_expiries_us[name], self.ttls_us[name] = at + ttl_us, ttl_us
        if self.entries.get(name) == entry:
            return False
        self.entries[name] = entry
        self._changed([entry])
        return True

    def _drop(self, names: list[str]) -> bool:
        gone = [entry for name in names if (entry := self.entries.pop(name, None)) is not None]
        for entry in gone:
            del self.lease_expiries_us[entry["instanceId"]], self.ttls_us[entry["instanceId"]]
        if gone:
            self._changed([{**entry, "lifecycle": "gone"} for entry in gone])
        return bool(gone)

    def _changed(self, delta: list[Instance]) -> None:
        self.version += 1
        self.recent_changes.append((self.version, delta))

    # --- For readers ------------------------------------------------------------------

    def listing(self) -> dict[str, Any]:
        """The whole list in discovery's format, at its term and version."""
        entries = [self.entries[name] for name in sorted(self.entries)]
        return {"generation": self.version, "term": self.term, "reset": True, "instances": entries}

    def changes_since(self, term: int, version: int) -> dict[str, Any]:
        """What changed for a reader at (term, version), or the whole list where it holds
        no part of this history, or one no longer kept."""
        if not self._holds(term, version):
            return self.listing()
        merged: dict[str, Instance] = {}
        for at, delta in self.recent_changes:
            if at > version:
                merged.update((one["instanceId"], one) for one in delta)
        told = list(merged.values())
        return {"generation": self.version, "term": self.term, "reset": False, "instances": told}

    def _holds(self, term: int, version: int) -> bool:
        """Whether (term, version) was ever the state of this list, and what followed is kept."""
        if (term, version) == (self.term, self.version):
            return True
        for at, (one, began) in enumerate(self.term_starts):
            if one == term:
                ended = self.term_starts[at + 1][1] if at + 1 < len(self.term_starts) else self.version
                if began <= version <= ended:
                    break
        else:
            return False
        if version == self.version:
            return True
        return bool(self.recent_changes) and version > 0 and self.recent_changes[0][0] - 1 <= version

    # --- Snapshots --------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        return {
            "version": self.version, "entries": self.entries, "leases": self.lease_expiries_us,
            "ttls": self.ttls_us, "terms": self.term_starts,
        }  # fmt: skip

    def load(self, raw: Any) -> None:
        try:
            version, entries = int(raw["version"]), dict(raw["entries"])
            leases, ttls = dict(raw["leases"]), dict(raw["ttls"])
            terms = [(int(term), int(began)) for term, began in raw["terms"]]
        except (KeyError, TypeError, ValueError) as error:
            raise LogEntryError(f"no dump of the list: {error!r}") from None
        if not terms or leases.keys() != entries.keys() or ttls.keys() != entries.keys():
            raise LogEntryError("a dump of the list has parts that do not fit")
        self.version, self.entries, self.lease_expiries_us, self.ttls_us = version, entries, leases, ttls
        self.term_starts = terms
        self.recent_changes.clear()
