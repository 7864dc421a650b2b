"""Queries over the audit's state, for operators and other modules.

At any instant a sidecar either `acted` on a position, or there is a `gap` (it may have acted, but no
report covers the time; an end that is not known yet is None), or it was `not running`.

Does no I/O; times are ms of the service's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from woadyard.audit.ledger import AuditState
from woadyard.audit.messages import Row
from woadyard.audit.position import Position, parse_position
from woadyard.audit.run import Run
from woadyard.audit.straggler import HeadHistory
from woadyard.errors import PeerError

MAX_ANSWER_SPANS = 10_000  # spans in one answer


def parse_version_filter(query: dict[str, str]) -> Callable[[Position], bool]:
    """Parse a query into a predicate on positions: each field it names must be equal.

    Raises PeerError if it names no field, or an unknown one.
    """
    wanted: dict[str, Any] = {}
    for name, value in query.items():
        if name not in Position.__struct_fields__:
            raise PeerError(
                f"unknown field of a position: {name!r}", f"use {', '.join(Position.__struct_fields__)}"
            )
        try:
            wanted[name] = type(getattr(Position(), name))(value)
        except ValueError:
            raise PeerError(f"{name} is not a number: {value!r}") from None
    if not wanted:
        raise PeerError(
            "the query names no version",
            f"name any of {', '.join(Position.__struct_fields__)} in the query",
        )
    return lambda position: all(getattr(position, name) == value for name, value in wanted.items())


def spans_acted_on(audit_state: AuditState, matches: Callable[[Position], bool]) -> dict[str, Any]:
    """Spans on matching positions in which any decision was taken, and their sums by sidecar."""
    matching_texts: dict[str, bool] = {"": False}
    spans: list[dict[str, Any]] = []
    sums: dict[str, list[int]] = {}
    for run in audit_state.runs.values():
        for _, row in run.rows.values():
            if (is_match := matching_texts.get(row.position)) is None:
                is_match = matching_texts[row.position] = matches(parse_position(row.position))
            if is_match and (row.attempts or row.refusals):
                spans.append(_describe_span(run, row))
                total = sums.setdefault(run.name, [0, 0, 0])
                for index, count in enumerate((row.attempts, row.refusals, row.unsent)):
                    total[index] += count
    spans.sort(key=lambda span: (span["name"], span["from"]))
    names = ("attempts", "refusals", "unsent")
    return {
        "sidecars": {name: dict(zip(names, total, strict=True)) for name, total in sorted(sums.items())},
        "spans": spans[:MAX_ANSWER_SPANS],
        "left_out": max(0, len(spans) - MAX_ANSWER_SPANS),
        "compacted": audit_state.compacted_rows,
    }


def _describe_span(run: Run, row: Row) -> dict[str, Any]:
    until_ms = run.heard if row.until < 0 else row.until
    return {
        "name": run.name, "run": run.run, "position": row.position or None,
        "from": run.base + row.since, "to": run.base + until_ms, "open": row.until < 0,
        "attempts": row.attempts, "refusals": row.refusals, "unsent": row.unsent,
        "first": None if row.first < 0 else run.base + row.first,
        "last": None if row.last < 0 else run.base + row.last, "merged": row.of if row.of > 1 else 0,
    }  # fmt: skip


def reporting_gaps(audit_state: AuditState, name: str) -> list[tuple[int, int | None]]:
    """Periods in which a sidecar may have acted without a report, as (start, end), in order."""
    runs = sorted(audit_state.runs_by_name.get(name, ()), key=lambda candidate: candidate.base)
    return [
        (run.base + since_ms, _interval_end_ms(run, until_ms, runs))
        for run in runs
        for since_ms, until_ms, row in run.intervals()
        if row is None and run.base + since_ms != _interval_end_ms(run, until_ms, runs)
    ]


def _interval_end_ms(run: Run, until_ms: int | None, runs: Iterable[Run]) -> int | None:
    """The end of an interval of `run`; one without an end lasts until the next run started."""
    if until_ms is not None:
        return run.base + until_ms
    return min((other.base for other in runs if other.base > run.base + run.heard), default=None)


def state_at(audit_state: AuditState, name: str, when_ms: int) -> dict[str, Any]:
    """What a sidecar acted on at `when_ms`."""
    runs = sorted(audit_state.runs_by_name.get(name, ()), key=lambda candidate: candidate.base)
    gap: dict[str, Any] = {"state": "not running", "name": name}
    for run in reversed(runs):
        rows: list[Row] = []
        for since_ms, until_ms, row in run.intervals():
            end_ms = _interval_end_ms(run, until_ms, runs)
            if run.base + since_ms <= when_ms and (end_ms is None or when_ms < end_ms):
                if row is not None:
                    rows.append(row)
                else:
                    gap = {
                        "state": "gap", "name": name, "run": run.run,
                        "from": run.base + since_ms, "to": end_ms,
                    }  # fmt: skip
        if rows:  # prefer a single span to a sum that covers it
            return {"state": "acted", **_describe_span(run, min(rows, key=lambda candidate: candidate.of))}
    return gap


def live_runs(audit_state: AuditState) -> list[Run]:
    """Runs that may still act: not ended, nor silent since a later run of the sidecar started."""
    return [
        run for runs in audit_state.runs_by_name.values() for run in runs
        if run.ended_ms is None and not any(other.base > run.base + run.heard for other in runs)
    ]  # fmt: skip


def runs_behind(audit_state: AuditState, heads: HeadHistory, now_ms: int) -> list[dict[str, Any]]:
    """Live runs not at the head by their last report, with their lag and the age of that report."""
    behind = []
    for run in live_runs(audit_state):
        position = parse_position(run.position)
        if run.state != "current" or position.is_older_than(heads.head):
            behind.append({
                "name": run.name, "run": run.run, "state": run.state, "position": run.position,
                "generations": heads.head.generation - position.generation,
                "behind_ms": heads.replaced_for_ms(position, now_ms), "heard_ms_ago": now_ms - run.heard_at,
            })  # fmt: skip
    return sorted(behind, key=lambda entry: -entry["behind_ms"])


def check_out_of_use(audit_state: AuditState, version: Position) -> dict[str, Any]:
    """Whether no sidecar can still act on this list or an older one.

    A run uses a list by its position, or by attempts in flight that were started on it. A silent run
    counts as using what it last reported, until it reports again, restarts or is declared over.
    Sidecars that never sent a report are not known here.
    """
    used_by = []
    for run in live_runs(audit_state):
        positions = [parse_position(run.position)]
        if run.oldest != run.open:  # it has attempts in flight
            oldest_row = run.rows.get(run.oldest)
            positions.append(parse_position(oldest_row[1].position) if oldest_row is not None else version)
        if any(used == version or not version.is_older_than(used) for used in positions):
            used_by.append({"name": run.name, "run": run.run, "position": run.position})
    return {"out_of_use": not used_by, "version": msgspec.to_builtins(version), "used_by": used_by}


def names_not_on_revision(audit_state: AuditState, field: str, revision: int) -> list[str]:
    """Names of live sidecars that do not yet act on this revision of `field` (plan or experiment)."""
    return sorted(
        {
            run.name
            for run in live_runs(audit_state)
            if getattr(parse_position(run.position), field) != revision
        }
    )
