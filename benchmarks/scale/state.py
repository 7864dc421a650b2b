"""Builds a list service's state at a given size from the log entries that would produce it.

There are two shapes: `lists` has the list and its leases alone; `whole` also has each sidecar's shares
of limits and an audit ledger with as many rows as it keeps, which a day of changes fills many times over.
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
TTL_US = 24 * 3_600 * 1_000_000  # no lease expires during a measurement
# Endpoints that a sidecar holds shares of (its arc), and the limit of attempts that is shared.
ENDPOINTS_PER_SIDECAR, LIMIT_ATTEMPTS = 4, 64
REPORTS_PER_ENTRY = 20
SETTINGS, BUILD = "a1b2c3d4", "0-1-0"


@contextlib.contextmanager
def without_fsync() -> Iterator[None]:
    """Makes `os.fsync` do nothing while a state is built; never used around a measurement."""
    with mock.patch("os.fsync", lambda descriptor: None):
        yield


def position_at(registry: Registry, generation: int) -> Position:
    log_state = registry.log_state
    return Position(log_state.lineage, log_state.term, generation, SETTINGS, build=BUILD)


def build_report(registry: Registry, name: str, rows: int) -> Report:
    """A sidecar's report of `rows` lists that it acted on, for a second each; the last is still in use."""
    report_rows = [
        Row(
            index, position_at(registry, index + 1).to_text(), start_ms, start_ms + 999, 310, 0, 0,
            start_ms + 2, start_ms + 997,
        )
        for index, start_ms in enumerate(range(0, 1_000 * rows, 1_000))
    ]  # fmt: skip
    latest_position = position_at(registry, rows).to_text()
    return Report(name, "c0ffee123456", 1, 1, 1_000 * rows, rows - 1, latest_position, report_rows)


def new_span_recorder(registry: Registry, name: str) -> SpanRecorder:
    """The recorder of a sidecar that acts on the first generation of the list."""
    return SpanRecorder(name, "c0ffee123456", 0, position_at(registry, 1))


def reports_entry(batch: list[Report]) -> LogEntry:
    return {"book": AuditState.name, "op": REPORTS_OP, "reports": msgspec.to_builtins(batch)}


def hold_entry(index: int, endpoint_ids: list[str], sequence: int = 1) -> dict[str, Any]:
    held_endpoints = [
        str(endpoint_number(endpoint_ids[(index + n) % len(endpoint_ids)]))
        for n in range(ENDPOINTS_PER_SIDECAR)
    ]
    keeps = {key: 0 for key in held_endpoints}
    holder = f"{endpoint_ids[index]}@{index:08x}"
    return {
        "op": HOLD, "id": holder, "ttl_us": TTL_US, "seq_of": sequence, "limit": LIMIT_ATTEMPTS,
        "of": held_endpoints, "keeps": keeps,
    }  # fmt: skip


def build_registry(folder: Path, size: int, shape: str, max_rows: int = MAX_ROWS) -> Registry:
    """Returns a registry with the state, with `max_rows` in its audit ledger. Needs a running loop.

    Its snapshot is up to date and its log empty."""
    registry = Registry(Journal(folder))
    with without_fsync():
        registry.become_leader()
        instances = endpoint_lists.list_entries(size)
        for entry in instances:
            registry.append_entry({"op": PUT, "entry": entry, "ttl_us": TTL_US})
        if shape == "whole":
            endpoint_ids = [listed["instanceId"] for listed in instances]
            for index in range(size):
                registry.append_entry(hold_entry(index, endpoint_ids))
            rows_per_sidecar = max(MIN_ROWS_PER_RUN, max_rows // size)
            for index in range(0, size, REPORTS_PER_ENTRY):
                names = endpoint_ids[index : index + REPORTS_PER_ENTRY]
                registry.append_entry(
                    reports_entry([build_report(registry, name, rows_per_sidecar) for name in names])
                )
        registry.journal.write_snapshot(registry.log_state)
    return registry


def fill_log(registry: Registry, size: int) -> int:
    """Appends renewals until the log is about to be replaced by a snapshot; returns its bytes.

    A start never has to read a longer log."""
    endpoint_ids, journal, renewals = endpoint_lists.instance_ids(size), registry.journal, 0
    with without_fsync():
        while journal.log_bytes < 0.98 * max(MIN_SNAPSHOT_LOG_BYTES, journal.snapshot_bytes):
            registry.append_entry({"op": RENEW, "id": endpoint_ids[renewals % size]})
            renewals += 1
    return journal.log_bytes
