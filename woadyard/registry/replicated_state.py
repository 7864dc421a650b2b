"""The state machines of one log, and the log's position: index, lineage, term and running hash.

Pure: no I/O and no clock. A term covers the entries of one leader. It begins with that leader's
`lead` entry, and every entry carries it, so that entries of a replaced leader are rejected (terms
as fencing tokens, as in Raft; Ongaro and Ousterhout, 2014). Where operators appoint the leader
there is no vote, so terms are built like Paxos ballot numbers, from three parts:

- the era, incremented when another process becomes the leader;
- the start, incremented when the same leader restarts, so that a leader that returns from a crash
  never has a greater term than the process that replaced it meanwhile;
- a random salt, so that two processes that both became the leader never share a term.

Elected leaders (election.py) increment the start.

The running hash `chain` covers all entries from the first: two logs with the same hash at the
same index hold the same entries up to there.
"""

from __future__ import annotations

import json
import secrets
from collections.abc import Iterable
from typing import Any

import xxhash

from woadyard.errors import LogEntryError
from woadyard.registry.state_machine import LeaderChangeObserver, LogEntry, StateMachine

LEAD = "lead"
SALT_BITS, ERA_SHIFT = 24, 36
MAX_TERM = 1 << 52  # exact in JSON readers that parse numbers as doubles
EMPTY_CHAIN = "0" * 32


def next_term(seen: int, resumes: bool, salt: int | None = None) -> int:
    """Return the term for a process that becomes the leader; `seen` is the greatest observed term.

    `resumes` is true if `seen` was the term of this same process. `salt` (24 bits) is random by
    default."""
    shift = SALT_BITS if resumes else ERA_SHIFT
    return (seen >> shift) + 1 << shift | (secrets.randbits(SALT_BITS) if salt is None else salt)


def extend_chain(chain: str, entry: LogEntry) -> str:
    """Return the running hash after `entry`, given the one before it."""
    return xxhash.xxh3_128_hexdigest((chain + json.dumps(entry, separators=(",", ":"))).encode())


class ReplicatedState:
    """The state machines, and the index, term and running hash of the last applied entry."""

    def __init__(self, machines: Iterable[StateMachine]) -> None:
        self.state_machines = {machine.name: machine for machine in machines}
        self.applied_index = 0  # counts all entries from the first
        self.lineage = ""  # identifies the log; a log of another lineage is never merged into it
        self.term = 0  # 0: entries written before there were terms
        self.leader_id = ""  # the member that began the term
        self.chain = EMPTY_CHAIN

    def check(self, entry: LogEntry) -> None:
        """Raise `LogEntryError` if `apply` would fail; change nothing."""
        term, at = entry.get("term", 0), entry.get("at", 0)
        if type(term) is not int or type(at) is not int or not 0 <= term < MAX_TERM:
            raise LogEntryError("the entry's term or time is not a valid number")
        if entry.get("op") == LEAD:
            self._check_lead_entry(entry, term)
            return
        if term != self.term:
            raise LogEntryError(f"the entry has term {term}, the log is at term {self.term}")
        self._machine_for(entry).check(entry)

    def _check_lead_entry(self, entry: LogEntry, term: int) -> None:
        if not isinstance(entry.get("lineage"), str) or self.lineage not in ("", entry["lineage"]):
            raise LogEntryError("the entry belongs to a log of another lineage")
        if term <= self.term and (term or self.term):
            raise LogEntryError(f"term {term} can't begin: the log is already at term {self.term}")

    def _machine_for(self, entry: LogEntry) -> StateMachine:
        # Logs from before there were several state machines have "hold" entries without a name.
        name = entry.get("book", "limits" if entry.get("op") == "hold" else "list")
        machine = self.state_machines.get(name) if isinstance(name, str) else None
        if machine is None:
            remedy = "run a build that has this state machine, here and at every follower"
            raise LogEntryError(f"unknown state machine: {name!r}", remedy)
        return machine

    def apply(self, entry: LogEntry) -> bool:
        """Apply an entry; return whether readers of its state machine see a change.

        Raises LogEntryError if the entry is invalid; nothing was then applied."""
        self.check(entry)
        if entry["op"] == LEAD:
            self.lineage, self.term = entry["lineage"], entry.get("term", 0)
            self.leader_id = str(entry.get("by", ""))
            for machine in self.state_machines.values():
                if isinstance(machine, LeaderChangeObserver):
                    machine.begin_term(self.term, int(entry["at"]))
            changed = False
        else:
            changed = self._machine_for(entry).apply(entry)
        self.applied_index += 1
        self.chain = extend_chain(self.chain, entry)
        return changed

    def dump(self) -> dict[str, Any]:
        """Return the whole state as plain JSON values, for a snapshot."""
        return {
            "applied": self.applied_index, "lineage": self.lineage, "term": self.term,
            "leader": self.leader_id, "chain": self.chain,
            "books": {name: machine.dump() for name, machine in self.state_machines.items()},
        }  # fmt: skip

    def load(self, raw: Any) -> None:
        """Replace the state by a dump; state machines that are not in it stay empty.

        Raises LogEntryError if the dump is invalid; this object must then be discarded."""
        if isinstance(raw, dict) and "books" not in raw:
            raw = _upgrade_list_snapshot(raw)
        try:
            applied, term = int(raw["applied"]), int(raw["term"])
            lineage, chain, dumps = str(raw["lineage"]), str(raw["chain"]), dict(raw["books"])
            leader = str(raw.get("leader", ""))
        except (KeyError, TypeError, ValueError) as error:
            raise LogEntryError(f"invalid snapshot: {error!r}") from None
        if unknown := sorted(dumps.keys() - self.state_machines.keys()):
            raise LogEntryError(
                f"the snapshot has a state machine that this build does not have: {unknown[0]!r}",
                "run the build that wrote it; the files are unchanged",
            )
        for name, dump in dumps.items():
            self.state_machines[name].load(dump)
        self.applied_index, self.term, self.lineage, self.chain = applied, term, lineage, chain
        self.leader_id = leader


def _upgrade_list_snapshot(raw: dict[str, Any]) -> dict[str, Any]:
    """Convert a snapshot from before there were several state machines.

    It has no running hash. A hash of its content takes the place, so that logs that continued from
    different states never appear to match."""
    chain = xxhash.xxh3_128_hexdigest(json.dumps(raw, sort_keys=True).encode())
    dump = {key: raw.get(key) for key in ("version", "entries", "leases", "ttls")}
    return {
        "applied": raw.get("applied"), "lineage": raw.get("lineage", ""), "term": 0, "chain": chain,
        "books": {"list": {**dump, "terms": [[0, 0]]}, "limits": raw.get("ledger", {})},
    }  # fmt: skip
