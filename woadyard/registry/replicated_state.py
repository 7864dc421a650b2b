"""The books of one log, and where that log stands: index, lineage, term and running hash.

Pure. A term is one writer's reign: it begins with that writer's `lead` record, and
every record carries it, so that nothing of a writer that was replaced is taken any
more (the fencing token of Raft's terms; Ongaro and Ousterhout, 2014). Where operators
appoint writers, nobody votes, so terms are made as the ballots of Paxos are, of three
parts: the era, one more where another process takes the writer's place; the start, one
more where the same one starts anew, so that a writer back from a crash never outdoes the
process that was given its place meanwhile; and a salt by chance, so that no two processes
that both began to write have a term in common. Elected writers (election.py) count on
by the start.

The running hash `chain` covers every record from the first: two logs with one chain
at one index hold the same records up to there.
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
MAX_TERM = 1 << 52  # JSON readers that know only doubles still tell terms apart
EMPTY_CHAIN = "0" * 32


def next_term(seen: int, resumes: bool, salt: int | None = None) -> int:
    """The term of a process that begins to write and has heard of no term above `seen`;
    `resumes` where that was its own. `salt` (24 bits) is drawn where none is given."""
    shift = SALT_BITS if resumes else ERA_SHIFT
    return (seen >> shift) + 1 << shift | (secrets.randbits(SALT_BITS) if salt is None else salt)


def extend_chain(chain: str, record: LogEntry) -> str:
    """The running hash behind `record`, from the one before it."""
    return xxhash.xxh3_128_hexdigest((chain + json.dumps(record, separators=(",", ":"))).encode())


class ReplicatedState:
    def __init__(self, books: Iterable[StateMachine]) -> None:
        self.state_machines = {book.name: book for book in books}
        self.applied_index = 0  # records, from the log's first: its index
        self.lineage = ""  # which log this is: a replica of another one is no replica
        self.term = 0  # 0: written before there were terms
        self.leader_id = ""  # whose term it is
        self.chain = EMPTY_CHAIN

    def check(self, record: LogEntry) -> None:
        """Raises `LogEntryError` where `apply` would; changes nothing."""
        term, at = record.get("term", 0), record.get("at", 0)
        if type(term) is not int or type(at) is not int or not 0 <= term < MAX_TERM:
            raise LogEntryError("a record's term or time is no number")
        if record.get("op") == LEAD:
            self._check_lead(record, term)
            return
        if term != self.term:
            raise LogEntryError(f"a record of term {term} in term {self.term}")
        self._book(record).check(record)

    def _check_lead(self, record: LogEntry, term: int) -> None:
        if not isinstance(record.get("lineage"), str) or self.lineage not in ("", record["lineage"]):
            raise LogEntryError("the log is of another lineage")
        if term <= self.term and (term or self.term):
            raise LogEntryError(f"term {term} can't begin in term {self.term}")

    def _book(self, record: LogEntry) -> StateMachine:
        # Logs from before the books have holds without a name.
        name = record.get("book", "limits" if record.get("op") == "hold" else "list")
        book = self.state_machines.get(name) if isinstance(name, str) else None
        if book is None:
            remedy = "run a build that knows the book, here and at every replica"
            raise LogEntryError(f"no such book: {name!r}", remedy)
        return book

    def apply(self, record: LogEntry) -> bool:
        """Apply one record; True where readers of its book see a change. `LogEntryError`,
        and then nothing of it was applied."""
        self.check(record)
        if record["op"] == LEAD:
            self.lineage, self.term = record["lineage"], record.get("term", 0)
            self.leader_id = str(record.get("by", ""))
            for book in self.state_machines.values():
                if isinstance(book, LeaderChangeObserver):
                    book.begin_term(self.term, int(record["at"]))
            changed = False
        else:
            changed = self._book(record).apply(record)
        self.applied_index += 1
        self.chain = extend_chain(self.chain, record)
        return changed

    def dump(self) -> dict[str, Any]:
        """All of it, for a snapshot; `load` takes it back."""
        return {
            "applied": self.applied_index, "lineage": self.lineage, "term": self.term,
            "leader": self.leader_id, "chain": self.chain,
            "books": {name: book.dump() for name, book in self.state_machines.items()},
        }  # fmt: skip

    def load(self, raw: Any) -> None:
        """Take a dump's place. `LogEntryError` where it is none: this host is then of no
        more use. A book that the dump does not name stays empty."""
        if isinstance(raw, dict) and "books" not in raw:
            raw = _from_before_books(raw)
        try:
            applied, term = int(raw["applied"]), int(raw["term"])
            lineage, chain, dumps = str(raw["lineage"]), str(raw["chain"]), dict(raw["books"])
            leader = str(raw.get("leader", ""))
        except (KeyError, TypeError, ValueError) as error:
            raise LogEntryError(f"no snapshot: {error!r}") from None
        if strange := sorted(dumps.keys() - self.state_machines.keys()):
            raise LogEntryError(
                f"the snapshot has a book that this build does not know: {strange[0]!r}",
                "run the build that wrote it; its files are as they were",
            )
        for name, dump in dumps.items():
            self.state_machines[name].load(dump)
        self.applied_index, self.term, self.lineage, self.chain = applied, term, lineage, chain
        self.leader_id = leader


def _from_before_books(raw: dict[str, Any]) -> dict[str, Any]:
    """A snapshot of the list alone. It has no running hash: one of the state it holds
    stands for it, so that logs that went on from different states never seem alike."""
    chain = xxhash.xxh3_128_hexdigest(json.dumps(raw, sort_keys=True).encode())
    dump = {key: raw.get(key) for key in ("version", "entries", "leases", "ttls")}
    return {
        "applied": raw.get("applied"), "lineage": raw.get("lineage", ""), "term": 0, "chain": chain,
        "books": {"list": {**dump, "terms": [[0, 0]]}, "limits": raw.get("ledger", {})},
    }  # fmt: skip
