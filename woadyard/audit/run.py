"""The replicated record of one run of a sidecar process, from its start to its end.

Each row is kept from the report with the greatest number that contained it, so reordered, lost or
repeated reports do not change the final state. Times of rows are ms since the start of the run.
`base` is that start by the service's clock, estimated from the report with the shortest delay: it is
late by that delay, and does not depend on the clock of the sidecar's machine.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import astuple

from woadyard.audit.messages import Report, Row

Interval = tuple[int, int | None, Row | None]  # start, end (None: not known yet), row (None: a gap)


@dataclass
class Run:
    """The spans of one run. Field names are written out by `dump`, so they are part of the snapshot."""

    name: str
    run: str
    base: int = 2**62  # ms of the service's clock
    heard: int = -1  # ms of the run's own clock, in the latest report
    heard_at: int = 0  # ms of the service's clock
    number: int = 0  # the greatest report number received
    low: int = 0  # the lowest report number that the sidecar has no acknowledgement of
    open: int = 0  # number of the open span
    oldest: int = 0  # number of the oldest span with attempts in flight
    position: str = ""  # of the open span
    final: int | None = None  # when it ended, ms of its own clock
    over_at: int | None = None  # when an operator declared it over, ms of the service's clock
    state: str = "current"
    received_numbers: set[int] = field(default_factory=set)  # report numbers, from `low` on
    rows: dict[int, tuple[int, Row]] = field(default_factory=dict)  # by span: report number and row
    merged_rows: dict[int, tuple[int, Row]] = field(default_factory=dict)  # sums, by last span
    floor: int = -1  # spans up to this one are summed up in `compacted_row`
    compacted_row: Row | None = None

    @property
    def key(self) -> str:
        return f"{self.name}@{self.run}"

    def add_report(self, report: Report, at_ms: int) -> bool:
        """Add a report received at `at_ms`; returns whether the position in use changed."""
        if report.n in self.received_numbers:
            return False
        self.base = min(self.base, at_ms - report.now)
        self.low = max(self.low, report.low)
        self.received_numbers = {n for n in (*self.received_numbers, report.n) if n >= self.low}
        for row in report.rows:
            if row.of == 1 and not row.position:
                row.position = report.position
            self._add_row(report.n, row)
        if report.final:
            self.final = report.now
        self.heard = max(self.heard, report.now)
        self.heard_at = max(self.heard_at, at_ms)
        if report.n < self.number:
            return False
        changed = report.position != self.position
        self.number, self.open, self.position = report.n, report.open, report.position
        self.oldest = report.open if report.oldest is None else report.oldest
        return changed

    def _add_row(self, report_number: int, row: Row) -> None:
        if row.k <= self.floor:
            return
        if row.of == 1:
            if row.k not in self.rows or self.rows[row.k][0] < report_number:
                self.rows[row.k] = report_number, row
            return
        low = row.k - row.of + 1
        for k, (known_number, known) in list(self.merged_rows.items()):
            known_low = known.k - known.of + 1
            if (known_low, known.k) == (low, row.k):
                if known_number > report_number:
                    return
            elif known_low <= low and row.k <= known.k:
                return  # already part of a larger sum
            elif low <= known_low and known.k <= row.k:
                del self.merged_rows[k]
        self.merged_rows[row.k] = report_number, row

    # --- Queries ----------------------------------------------------------------------

    @property
    def ended_ms(self) -> int | None:
        """When the run ended, ms of its own clock; None if its end was neither reported nor declared."""
        if self.final is not None:
            return self.final
        return None if self.over_at is None else max(self.heard, self.over_at - self.base)

    def intervals(self) -> Iterator[Interval]:
        """Rows and the gaps between them, in order and without holes, ms of the run's own clock.

        If the run has not ended, the last interval is a gap without an end.
        """
        reached_ms = 0
        for row in sorted(self._all_rows(), key=lambda candidate: (candidate.since, candidate.k)):
            if row.since > reached_ms:
                yield reached_ms, row.since, None
            until_ms = self.heard if row.until < 0 and row.k == self.open else row.until
            if until_ms < 0:  # open when last reported; its end was not reported
                until_ms = max(row.since, row.last)
            yield row.since, until_ms, row
            reached_ms = max(reached_ms, until_ms)
        if self.final is None:
            yield reached_ms, self.ended_ms, None
        elif reached_ms < self.final:
            yield reached_ms, self.final, None

    def _all_rows(self) -> Iterator[Row]:
        if self.compacted_row is not None:
            yield self.compacted_row
        yield from (row for _, row in self.rows.values())
        yield from self._merged_remainders()

    def _merged_remainders(self) -> Iterator[Row]:
        """For each sum, what remains after subtracting the individual rows of its spans."""
        for _, row in self.merged_rows.values():
            low = row.k - row.of + 1
            span_rows = [span_row for k, (_, span_row) in self.rows.items() if low <= k <= row.k]
            attempts, refusals, unsent = (
                getattr(row, name) - sum(getattr(span_row, name) for span_row in span_rows)
                for name in ("attempts", "refusals", "unsent")
            )
            # A row that was reported while open, and then merged, lacks its end and later counts.
            is_partial = len(span_rows) < row.of or any(span_row.until < 0 for span_row in span_rows)
            if is_partial or attempts or refusals or unsent:
                yield Row(
                    row.k, "", row.since, row.until, attempts, refusals, unsent, row.first, row.last, row.of
                )

    def totals_by_position(self) -> dict[str, tuple[int, int, int]]:
        """Attempts, refusals and unsent attempts by position; merged spans have the position ''."""
        totals: dict[str, tuple[int, int, int]] = {}
        for row in self._all_rows():
            attempt_total, refusal_total, unsent_total = totals.get(row.position, (0, 0, 0))
            totals[row.position] = (
                attempt_total + row.attempts, refusal_total + row.refusals, unsent_total + row.unsent,
            )  # fmt: skip
        return totals

    # --- Compaction -------------------------------------------------------------------

    @property
    def row_count(self) -> int:
        """Rows held for single spans and for sums; the compacted row is not counted."""
        return len(self.rows) + len(self.merged_rows)

    def compact(self, max_rows: int) -> int:
        """If there are more than `max_rows` rows, sum up all but about half of that many.

        Returns the number of rows removed.
        """
        if self.row_count <= max_rows:
            return 0
        span_numbers = sorted([*self.rows, *self.merged_rows])
        floor = min(span_numbers[-max_rows // 2 - 1], self.open - 1)  # half: not due at each report
        overlapping = {k for k in self.merged_rows if floor >= k - self.merged_rows[k][1].of + 1}
        floor = max([floor, *overlapping])  # a sum is never split
        removed = [row for row in self._all_rows() if row.k <= floor]
        count_before = self.row_count
        self.rows = {k: numbered for k, numbered in self.rows.items() if k > floor}
        self.merged_rows = {k: numbered for k, numbered in self.merged_rows.items() if k > floor}
        self.floor = floor
        self.compacted_row = Row(
            floor, "", min(old_row.since for old_row in removed), max(old_row.until for old_row in removed),
            sum(old_row.attempts for old_row in removed), sum(old_row.refusals for old_row in removed),
            sum(old_row.unsent for old_row in removed),
            min((old_row.first for old_row in removed if old_row.first >= 0), default=-1),
            max(old_row.last for old_row in removed), sum(old_row.of for old_row in removed),
        )  # fmt: skip
        return count_before - self.row_count

    # --- Snapshot ---------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        """The run as plain JSON values; its keys are part of the snapshot's format."""
        plain = {
            key: getattr(self, key)
            for key in ("name", "run", "base", "heard", "heard_at", "number", "low", "open", "oldest",
                        "position", "final", "over_at", "state", "floor")
        }  # fmt: skip
        rows = [(number, *astuple(row)) for number, row in [*self.rows.values(), *self.merged_rows.values()]]
        old = None if self.compacted_row is None else astuple(self.compacted_row)
        return {**plain, "taken": sorted(self.received_numbers), "rows": rows, "old": old}

    @classmethod
    def load(cls, raw: dict[str, Any]) -> Run:
        """Restore the output of `dump`; raises KeyError, TypeError or ValueError on any other value."""
        rows = [(int(number), Row(*fields)) for number, *fields in raw["rows"]]
        old = None if raw["old"] is None else Row(*raw["old"])
        plain = {key: raw[key] for key in raw.keys() - {"taken", "rows", "old"}}
        return cls(
            **plain,
            received_numbers=set(raw["taken"]),
            rows={row.k: (number, row) for number, row in rows if row.of == 1},
            merged_rows={row.k: (number, row) for number, row in rows if row.of > 1},
            compacted_row=old,
        )
