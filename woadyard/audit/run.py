"""What the ledger knows of one incarnation of a sidecar: a run, from its start to its end.

Each row is taken from the greatest report number that told of it, so neither order nor loss nor
repetition of reports shows in the end. Times of rows are ms since the run's start; `base` is that
start by the service's clock, taken from the report that was soonest there: it is late by the
shortest way of any report, and no clock of the sidecar's machine is believed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import astuple

from woadyard.audit.messages import Report, Row

Interval = tuple[int, int | None, Row | None]  # from, until (None: not known yet), the row or a gap


@dataclass
class Run:
    name: str
    run: str
    base: int = 2**62  # ms, the service's clock
    heard: int = -1  # its own clock, in the latest report
    heard_at: int = 0  # ms, the service's clock
    number: int = 0  # the greatest taken
    low: int = 0  # the least that is still waited for
    open: int = 0  # the span that goes on
    oldest: int = 0  # the oldest span with attempts under way
    position: str = ""  # of the open span
    final: int | None = None  # when it ended, by its own clock
    over_at: int | None = None  # when an operator said that it is over, the service's clock
    state: str = "current"
    received_numbers: set[int] = field(default_factory=set)  # numbers, from the least still waited for
    rows: dict[int, tuple[int, Row]] = field(default_factory=dict)  # span: number and row
    merged_rows: dict[int, tuple[int, Row]] = field(default_factory=dict)  # of spans that were merged
    floor: int = -1  # spans up to this one are compacted into `old`
    compacted_row: Row | None = None

    @property
    def key(self) -> str:
        return f"{self.name}@{self.run}"

    def add_report(self, report: Report, at: int) -> bool:
        """True where the position in use changed. `at` is when it came, ms."""
        if report.n in self.received_numbers:
            return False
        self.base = min(self.base, at - report.now)
        self.low = max(self.low, report.low)
        self.received_numbers = {n for n in (*self.received_numbers, report.n) if n >= self.low}
        for row in report.rows:
            if row.of == 1 and not row.position:
                row.position = report.position
            self._add_row(report.n, row)
        if report.final:
            self.final = report.now
        self.heard = max(self.heard, report.now)
        self.heard_at = max(self.heard_at, at)
        if report.n < self.number:
            return False
        changed = report.position != self.position
        self.number, self.open, self.position = report.n, report.open, report.position
        self.oldest = report.open if report.oldest is None else report.oldest
        return changed

    def _add_row(self, n: int, row: Row) -> None:
        if row.k <= self.floor:
            return
        if row.of == 1:
            if row.k not in self.rows or self.rows[row.k][0] < n:
                self.rows[row.k] = n, row
            return
        low = row.k - row.of + 1
        for k, (had_n, had) in list(self.merged_rows.items()):
            had_low = had.k - had.of + 1
            if (had_low, had.k) == (low, row.k):
                if had_n > n:
                    return
            elif had_low <= low and row.k <= had.k:
                return  # a greater sum has it
            elif low <= had_low and had.k <= row.k:
                del self.merged_rows[k]
        self.merged_rows[row.k] = n, row

    # --- What it says -----------------------------------------------------------------

    @property
    def ended_ms(self) -> int | None:
        """When it ended, by its own clock; None where nobody said so."""
        if self.final is not None:
            return self.final
        return None if self.over_at is None else max(self.heard, self.over_at - self.base)

    def intervals(self) -> Iterator[Interval]:
        """From its start on, in order and without a hole: rows, and gaps between them, its own clock.

        Where it is neither ended nor heard of any more, the last stretch is a gap without an end."""
        at = 0
        for row in sorted(self._all_rows(), key=lambda one: (one.since, one.k)):
            if row.since > at:
                yield at, row.since, None
            until = self.heard if row.until < 0 and row.k == self.open else row.until
            if until < 0:  # it was open when last told, and its end was not
                until = max(row.since, row.last)
            yield row.since, until, row
            at = max(at, until)
        if self.final is None:
            yield at, self.ended_ms, None
        elif at < self.final:
            yield at, self.final, None

    def _all_rows(self) -> Iterator[Row]:
        if self.compacted_row is not None:
            yield self.compacted_row
        yield from (row for _, row in self.rows.values())
        yield from self._merged_remainders()

    def _merged_remainders(self) -> Iterator[Row]:
        """Of sums, what their spans' own rows do not tell."""
        for _, row in self.merged_rows.values():
            low = row.k - row.of + 1
            own = [one for k, (_, one) in self.rows.items() if low <= k <= row.k]
            attempts, refusals, unsent = (
                getattr(row, name) - sum(getattr(one, name) for one in own)
                for name in ("attempts", "refusals", "unsent")
            )
            # A row that was told while it was open, and then merged, tells neither its end nor all.
            part = len(own) < row.of or any(one.until < 0 for one in own)
            if part or attempts or refusals or unsent:
                yield Row(
                    row.k, "", row.since, row.until, attempts, refusals, unsent, row.first, row.last, row.of
                )

    def totals_by_position(self) -> dict[str, tuple[int, int, int]]:
        """Attempts, refusals and unsent by position; that of merged spans is ''."""
        found: dict[str, tuple[int, int, int]] = {}
        for row in self._all_rows():
            a, r, u = found.get(row.position, (0, 0, 0))
            found[row.position] = a + row.attempts, r + row.refusals, u + row.unsent
        return found

    # --- Its size ---------------------------------------------------------------------

    @property
    def row_count(self) -> int:
        return len(self.rows) + len(self.merged_rows)

    def compact(self, most: int) -> int:
        """Keep the latest `most` rows; the older become one sum. How many rows went."""
        if self.row_count <= most:
            return 0
        ks = sorted([*self.rows, *self.merged_rows])
        floor = min(ks[-most // 2 - 1], self.open - 1)  # half at once: it need not be done each time
        low = {k for k in self.merged_rows if floor >= k - self.merged_rows[k][1].of + 1}
        floor = max([floor, *low])  # no sum is cut in two
        gone = [row for row in self._all_rows() if row.k <= floor]
        before = self.row_count
        self.rows = {k: one for k, one in self.rows.items() if k > floor}
        self.merged_rows = {k: one for k, one in self.merged_rows.items() if k > floor}
        self.floor = floor
        self.compacted_row = Row(
            floor, "", min(one.since for one in gone), max(one.until for one in gone),
            sum(one.attempts for one in gone), sum(one.refusals for one in gone),
            sum(one.unsent for one in gone),
            min((one.first for one in gone if one.first >= 0), default=-1),
            max(one.last for one in gone), sum(one.of for one in gone),
        )  # fmt: skip
        return before - self.row_count

    # --- A snapshot -------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        plain = {
            key: getattr(self, key)
            for key in ("name", "run", "base", "heard", "heard_at", "number", "low", "open", "oldest",
                        "position", "final", "over_at", "state", "floor")
        }  # fmt: skip
        rows = [(n, *astuple(row)) for n, row in [*self.rows.values(), *self.merged_rows.values()]]
        old = None if self.compacted_row is None else astuple(self.compacted_row)
        return {**plain, "taken": sorted(self.received_numbers), "rows": rows, "old": old}

    @classmethod
    def load(cls, raw: dict[str, Any]) -> Run:
        """What `dump` gave; KeyError, TypeError or ValueError on anything else."""
        rows = [(int(n), Row(*fields)) for n, *fields in raw["rows"]]
        old = None if raw["old"] is None else Row(*raw["old"])
        plain = {key: raw[key] for key in raw.keys() - {"taken", "rows", "old"}}
        return cls(
            **plain,
            received_numbers=set(raw["taken"]),
            rows={row.k: (n, row) for n, row in rows if row.of == 1},
            merged_rows={row.k: (n, row) for n, row in rows if row.of > 1},
            compacted_row=old,
        )
