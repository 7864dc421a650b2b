"""A list service's state at some size, made by the records that would make it.

Two shapes: `lists`, the list and its leases alone; `whole`, also each sidecar's shares of limits and
the audit's ledger with as many rows as it keeps, which a day of changes fills many times over.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from benchmarks.scale import endpoint_lists
from woadyard.audit import Position, SpanRecorder
from woadyard.audit.ledger import MAX_ROWS, MIN_ROWS_PER_RUN, REPORTS_OP, AuditState
from woadyard.audit.messages import Report, Row
from woadyard.limits import HOLD
from woadyard.lists.state import PUT, RENEW
from woadyard.net.state import endpoint_number
from woadyard.registry.log import Journal
from woadyard.registry.service import MIN_SNAPSHOT_LOG_BYTES, Registry
from woadyard.registry.state_machine import LogEntry

SHAPES = ("lists", "whole")
TTL_US = 24 * 3_600 * 1_000_000  # nothing lapses while it is measured
OWN, LIMIT = 4, 64  # endpoints that a sidecar holds shares of (its arc), and of how many attempts
REPORTS_AT_ONCE = 20
SETTINGS, BUILD = "a1b2c3d4", "0-1-0"


@contextlib.contextmanager
def unsynced() -> Iterator[None]:
    """While a state is made, not while anything of it is measured: the disk is not waited for."""
    with mock.patch("os.fsync", lambda descriptor: None):
        yield


def position(registry: Registry, generation: int) -> Position:
    host = registry.log_state
    return Position(host.lineage, host.term, generation, SETTINGS, build=BUILD)


def report(registry: Registry, name: str, rows: int) -> Report:
    """A sidecar's report of `rows` lists that it acted on, a second each, the last still open."""
    whole = [
        Row(k, position(registry, k + 1).to_text(), at, at + 999, 310, 0, 0, at + 2, at + 997)
        for k, at in enumerate(range(0, 1_000 * rows, 1_000))
    ]  # fmt: skip
    at = position(registry, rows).to_text()
    return Report(name, "c0ffee123456", 1, 1, 1_000 * rows, rows - 1, at, whole)


def spoken(registry: Registry, name: str) -> SpanRecorder:
    """A sidecar's side of the reports, on the list as it is."""
    return SpanRecorder(name, "c0ffee123456", 0, position(registry, 1))


def reports(told: list[Report]) -> LogEntry:
    return {"book": AuditState.name, "op": REPORTS_OP, "reports": msgspec.to_builtins(told)}


def hold(at: int, listed: list[str], seq: int = 1) -> dict[str, Any]:
    own = [str(endpoint_number(listed[(at + n) % len(listed)])) for n in range(OWN)]
    keeps = {key: 0 for key in own}
    holder = f"{listed[at]}@{at:08x}"
    return {
        "op": HOLD, "id": holder, "ttl_us": TTL_US, "seq_of": seq, "limit": LIMIT, "of": own, "keeps": keeps,
    }  # fmt: skip


def made(folder: Path, size: int, shape: str, rows_most: int = MAX_ROWS) -> Registry:
    """A registry with that state, `rows_most` in its audit, on a running loop; its snapshot is
    fresh and its log empty."""
    registry = Registry(Journal(folder))
    with unsynced():
        registry.become_leader()
        listed = endpoint_lists.list_entries(size)
        for entry in listed:
            registry.append_entry({"op": PUT, "entry": entry, "ttl_us": TTL_US})
        if shape == "whole":
            known = [one["instanceId"] for one in listed]
            for at in range(size):
                registry.append_entry(hold(at, known))
            rows = max(MIN_ROWS_PER_RUN, rows_most // size)
            for at in range(0, size, REPORTS_AT_ONCE):
                some = known[at : at + REPORTS_AT_ONCE]
                registry.append_entry(reports([report(registry, name, rows) for name in some]))
        registry.journal.write_snapshot(registry.log_state)
    return registry


def lengthen(registry: Registry, size: int) -> int:
    """Renewals until the log is about to be replaced by a snapshot: the longest a start has to read.
    Its bytes."""
    known, journal, at = endpoint_lists.instance_ids(size), registry.journal, 0
    with unsynced():
        while journal.log_bytes < 0.98 * max(MIN_SNAPSHOT_LOG_BYTES, journal.snapshot_bytes):
            registry.append_entry({"op": RENEW, "id": known[at % size]})
            at += 1
    return journal.log_bytes
