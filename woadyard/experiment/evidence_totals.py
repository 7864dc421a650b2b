"""The evidence of one running experiment as kept in the replicated log: sums by cell.

A sidecar reports the running sums of a cell repeatedly, until it knows that they are stored. The
greatest sum reported for a cell counts, so the totals don't depend on loss, repetition or order of
the reports.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from woadyard.experiment.messages import Evidence, Row

CellKey = tuple[int, str, str, str]  # slot, class, zone, arm
SUMS_PER_CELL = 5  # tried, good, failed, slow, drawn: the order of the sums
MAX_CELLS = 65_536  # requests of further cells are excluded, and counted as such


@dataclass
class ReportSource:
    """The rows that one run of a sidecar may still report.

    `reported` holds the last sums of each row; numbers below `lowest_row` are complete.
    """

    lowest_row: int = 0
    reported: dict[int, tuple[CellKey, list[int]]] = field(default_factory=dict)


@dataclass
class EvidenceTotals:
    """Sums by cell over all sidecars.

    `excluded` counts requests that were left out, by reason; `changed` holds the cells that have
    changed since the last interim analysis.
    """

    slot_ms: int
    sums: dict[CellKey, list[int]] = field(default_factory=dict)
    sources: dict[str, ReportSource] = field(default_factory=dict)
    excluded: dict[str, int] = field(default_factory=dict)
    changed: set[CellKey] = field(default_factory=set)

    def merge_report(
        self,
        source: str,
        evidence: Evidence,
        received_ms: int,
        arms: Collection[str],
        revision: int,
        is_shut_out: bool,
    ) -> None:
        """Add what is new in the evidence of one run; counts of another revision are excluded."""
        report_source = self.sources.setdefault(source, ReportSource())
        for row in evidence.rows:
            if row.k < report_source.lowest_row:
                continue
            key, old_sums = report_source.reported.get(
                row.k, (self._cell_key(row, evidence.zone, received_ms), [0] * SUMS_PER_CELL)
            )
            new_sums = [
                max(count, old_count) for count, old_count in zip(_row_sums(row), old_sums, strict=True)
            ]
            increments = [count - old_count for count, old_count in zip(new_sums, old_sums, strict=True)]
            report_source.reported[row.k] = key, new_sums
            if reason := self._exclusion_reason(row, key, arms, revision, is_shut_out):
                self.excluded[reason] = self.excluded.get(reason, 0) + increments[4]
            elif any(increments):
                sums = self.sums.setdefault(key, [0] * SUMS_PER_CELL)
                self.sums[key] = [
                    count + increment for count, increment in zip(sums, increments, strict=True)
                ]
                self.changed.add(key)
        if evidence.low > report_source.lowest_row:
            report_source.lowest_row = evidence.low
            report_source.reported = {
                row_number: cell
                for row_number, cell in report_source.reported.items()
                if row_number >= evidence.low
            }

    def _exclusion_reason(
        self, row: Row, key: CellKey, arms: Collection[str], revision: int, is_shut_out: bool
    ) -> str:
        if is_shut_out:
            return "shut out"
        if row.revision != revision:
            return "old revision"
        if row.arm not in arms:
            return "no such arm"
        return "no room" if key not in self.sums and len(self.sums) >= MAX_CELLS else ""

    def _cell_key(self, row: Row, zone: str, received_ms: int) -> CellKey:
        return max(received_ms - row.age_ms, 0) // self.slot_ms, row.cls, zone, row.arm

    def tried_by_arm(self) -> dict[str, int]:
        """Return the number of completed requests by arm."""
        tried: dict[str, int] = {}
        for (_, _, _, arm), sums in self.sums.items():
            tried[arm] = tried.get(arm, 0) + sums[0]
        return tried

    def dump(self) -> dict[str, Any]:
        return {
            "slot_ms": self.slot_ms,
            "sums": [[*key, *sums] for key, sums in self.sums.items()],
            "sources": {
                name: [
                    source.lowest_row,
                    [[row_number, *key, *sums] for row_number, (key, sums) in source.reported.items()],
                ]
                for name, source in self.sources.items()
            },
            "left_out": dict(self.excluded),
        }

    @classmethod
    def load(cls, raw: dict[str, Any]) -> EvidenceTotals:
        """Decode the result of `dump`; raises KeyError, TypeError or ValueError on other input."""
        sources = {}
        for name, (lowest_row, rows) in raw["sources"].items():
            sources[str(name)] = ReportSource(
                int(lowest_row), {int(row_number): _decode_cell(cell) for row_number, *cell in rows}
            )
        sums = dict(_decode_cell(cell) for cell in raw["sums"])
        excluded = {str(reason): int(count) for reason, count in raw["left_out"].items()}
        return cls(int(raw["slot_ms"]), sums, sources, excluded, set(sums))


def _row_sums(row: Row) -> list[int]:
    return [row.tried, row.good, row.failed, row.slow, row.drawn]


def _decode_cell(raw: list[Any]) -> tuple[CellKey, list[int]]:
    slot, cls, zone, arm, *sums = raw
    if len(sums) != SUMS_PER_CELL:
        raise ValueError(f"a cell must have {SUMS_PER_CELL} sums")
    return (int(slot), str(cls), str(zone), str(arm)), [int(count) for count in sums]
