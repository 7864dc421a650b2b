"""What operators and other parts ask of the ledger. Pure; times are ms of the service's clock.

A sidecar at an instant has `acted` on a position, or there is a `gap` (it may have acted, nobody
heard: bounds are told, an end that is not known yet is None), or it was `not running`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from woadyard.audit.ledger import AuditState
from woadyard.audit.messages import Row
from woadyard.audit.position import Position, parse
from woadyard.audit.run import Run
from woadyard.audit.straggler import Heads
from woadyard.errors import PeerError

TOLD_MOST = 10_000  # spans in one answer


def version_of(query: dict[str, str]) -> Callable[[Position], bool]:
    """Which positions a query means: each field that it names has to be alike. PeerError where it
    names none, or one that there is not."""
    wanted: dict[str, Any] = {}
    for name, value in query.items():
        if name not in Position.__struct_fields__:
            raise PeerError(f"a position has no {name!r}", f"ask by {', '.join(Position.__struct_fields__)}")
        try:
            wanted[name] = type(getattr(Position(), name))(value)
        except ValueError:
            raise PeerError(f"{name} is no number: {value!r}") from None
    if not wanted:
        raise PeerError("no version is named", f"name {', '.join(Position.__struct_fields__)} in the query")
    return lambda position: all(getattr(position, name) == value for name, value in wanted.items())


def who_acted(book: AuditState, meant: Callable[[Position], bool]) -> dict[str, Any]:
    """Spans under a version in which anything was decided, and their sums by sidecar."""
    texts: dict[str, bool] = {"": False}
    found: list[dict[str, Any]] = []
    sums: dict[str, list[int]] = {}
    for run in book.runs.values():
        for _, row in run.rows.values():
            if (fits := texts.get(row.position)) is None:
                fits = texts[row.position] = meant(parse(row.position))
            if fits and (row.attempts or row.refusals):
                found.append(_told(run, row))
                total = sums.setdefault(run.name, [0, 0, 0])
                for at, more in enumerate((row.attempts, row.refusals, row.unsent)):
                    total[at] += more
    found.sort(key=lambda one: (one["name"], one["from"]))
    names = ("attempts", "refusals", "unsent")
    return {
        "sidecars": {name: dict(zip(names, total, strict=True)) for name, total in sorted(sums.items())},
        "spans": found[:TOLD_MOST],
        "left_out": max(0, len(found) - TOLD_MOST),
        "compacted": book.compacted,
    }


def _told(run: Run, row: Row) -> dict[str, Any]:
    until = run.heard if row.until < 0 else row.until
    return {
        "name": run.name, "run": run.run, "position": row.position or None,
        "from": run.base + row.since, "to": run.base + until, "open": row.until < 0,
        "attempts": row.attempts, "refusals": row.refusals, "unsent": row.unsent,
        "first": None if row.first < 0 else run.base + row.first,
        "last": None if row.last < 0 else run.base + row.last, "merged": row.of if row.of > 1 else 0,
    }  # fmt: skip


def gaps(book: AuditState, name: str) -> list[tuple[int, int | None]]:
    """When a sidecar may have acted and nobody heard, bounds of each, in order."""
    runs = sorted(book.names.get(name, ()), key=lambda one: one.base)
    return [
        (run.base + since, _end(run, until, runs))
        for run in runs
        for since, until, row in run.stretches()
        if row is None and run.base + since != _end(run, until, runs)
    ]


def _end(run: Run, until: int | None, runs: Iterable[Run]) -> int | None:
    """Of a stretch. One without an end lasts until the next run began."""
    if until is not None:
        return run.base + until
    return min((one.base for one in runs if one.base > run.base + run.heard), default=None)


def at(book: AuditState, name: str, when: int) -> dict[str, Any]:
    """What sidecar `name` acted on at `when`."""
    runs = sorted(book.names.get(name, ()), key=lambda one: one.base)
    gap: dict[str, Any] = {"state": "not running", "name": name}
    for run in reversed(runs):
        found: list[Row] = []
        for since, until, row in run.stretches():
            end = _end(run, until, runs)
            if run.base + since <= when and (end is None or when < end):
                if row is not None:
                    found.append(row)
                else:
                    gap = {"state": "gap", "name": name, "run": run.run, "from": run.base + since, "to": end}
        if found:  # the finest, where a sum goes over it too
            return {"state": "acted", **_told(run, min(found, key=lambda one: one.of))}
    return gap


def live(book: AuditState) -> list[Run]:
    """Runs that may act now: neither ended, nor silent since the next one of the name began."""
    return [
        run for runs in book.names.values() for run in runs
        if run.ended is None and not any(one.base > run.base + run.heard for one in runs)
    ]  # fmt: skip


def behind(book: AuditState, heads: Heads, now: int) -> list[dict[str, Any]]:
    """Those not at the head by their last word: by how much, and how old that word is."""
    found = []
    for run in live(book):
        position = parse(run.position)
        if run.state != "current" or position.older(heads.head):
            found.append({
                "name": run.name, "run": run.run, "state": run.state, "position": run.position,
                "generations": heads.head.generation - position.generation,
                "behind_ms": heads.replaced(position, now), "heard_ms_ago": now - run.heard_at,
            })  # fmt: skip
    return sorted(found, key=lambda one: -one["behind_ms"])


def out_of_use(book: AuditState, version: Position) -> dict[str, Any]:
    """Whether no sidecar can act any more on this list or an older one: neither by its position,
    nor by attempts begun on it that are under way. A sidecar that was never heard of is not known
    here; one that fell silent counts as using what it last had, until it is heard, restarted or
    declared over."""
    by = []
    for run in live(book):
        used = [parse(run.position)]
        if run.oldest != run.open:  # attempts of it are under way
            held = run.rows.get(run.oldest)
            used.append(parse(held[1].position) if held is not None else version)
        if any(one == version or not version.older(one) for one in used):
            by.append({"name": run.name, "run": run.run, "position": run.position})
    return {"out_of_use": not by, "version": msgspec.to_builtins(version), "used_by": by}


def not_yet(book: AuditState, field: str, revision: int) -> list[str]:
    """Names of live sidecars that do not act on this revision of a `plan` or an `experiment` yet."""
    return sorted({run.name for run in live(book) if getattr(parse(run.position), field) != revision})
