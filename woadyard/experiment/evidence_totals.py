"""The evidence of one running experiment as the log keeps it: sums by cell, each counted once.

A sidecar tells a cell's sum so far, again until it knows that the sum is kept for good; the
greatest sum of a cell counts, so that loss, repetition and order of reports change nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from woadyard.experiment.messages import Evidence, Row

CellKey = tuple[int, str, str, str]  # slot, class, zone, arm
SUMS_PER_CELL = 5
MAX_CELLS = 65_536  # cells of the sum; later ones of a new slot are left out, and said


@dataclass
class ReportSource:
    """One run of a sidecar: the cells that it may still tell of."""

    lowest_row: int = 0
    reported: dict[int, tuple[CellKey, list[int]]] = field(default_factory=dict)


@dataclass
class EvidenceTotals:
    """`sums` by cell are tried, good, failed, slow, drawn; `left_out` counts requests, by why; `touched`
    are the cells changed since the stopper was last fed."""

    slot_ms: int
    sums: dict[CellKey, list[int]] = field(default_factory=dict)
    sources: dict[str, ReportSource] = field(default_factory=dict)
    excluded: dict[str, int] = field(default_factory=dict)
    changed: set[CellKey] = field(default_factory=set)

    def merge_report(
        self, source: str, told: Evidence, at_ms: int, arms: Collection[str], revision: int, shut_out: bool
    ) -> None:
        """Evidence of one run that came at `at_ms`; counts of another revision are left out."""
        known = self.sources.setdefault(source, ReportSource())
        for row in told.rows:
            if row.k < known.lowest_row:
                continue
            key, had = known.reported.get(row.k, (self._cell_key(row, told.zone, at_ms), [0] * SUMS_PER_CELL))
            new = [max(one, was) for one, was in zip(_row_sums(row), had, strict=True)]
            more = [one - was for one, was in zip(new, had, strict=True)]
            known.reported[row.k] = key, new
            if why := self._exclusion_reason(row, key, arms, revision, shut_out):
                self.excluded[why] = self.excluded.get(why, 0) + more[4]
            elif any(more):
                sums = self.sums.setdefault(key, [0] * SUMS_PER_CELL)
                self.sums[key] = [one + plus for one, plus in zip(sums, more, strict=True)]
                self.changed.add(key)
        if told.low > known.lowest_row:
            known.lowest_row = told.low
            known.reported = {k: one for k, one in known.reported.items() if k >= told.low}

    def _exclusion_reason(
        self, row: Row, key: CellKey, arms: Collection[str], revision: int, shut_out: bool
    ) -> str:
        if shut_out:
            return "shut out"
        if row.revision != revision:
            return "old revision"
        if row.arm not in arms:
            return "no such arm"
        return "no room" if key not in self.sums and len(self.sums) >= MAX_CELLS else ""

    def _cell_key(self, row: Row, zone: str, at_ms: int) -> CellKey:
        return max(at_ms - row.age_ms, 0) // self.slot_ms, row.cls, zone, row.arm

    def tried_by_arm(self) -> dict[str, int]:
        """Answered requests by arm."""
        found: dict[str, int] = {}
        for (_, _, _, arm), sums in self.sums.items():
            found[arm] = found.get(arm, 0) + sums[0]
        return found

    def dump(self) -> dict[str, Any]:
        return {
            "slot_ms": self.slot_ms,
            "sums": [[*key, *sums] for key, sums in self.sums.items()],
            "sources": {
                name: [one.lowest_row, [[k, *key, *sums] for k, (key, sums) in one.reported.items()]]
                for name, one in self.sources.items()
            },
            "left_out": dict(self.excluded),
        }

    @classmethod
    def load(cls, raw: dict[str, Any]) -> EvidenceTotals:
        """What `dump` gave; KeyError, TypeError or ValueError on anything else."""
        sources = {}
        for name, (low, told) in raw["sources"].items():
            sources[str(name)] = ReportSource(int(low), {int(k): _decode_cell(cell) for k, *cell in told})
        sums = dict(_decode_cell(cell) for cell in raw["sums"])
        left_out = {str(why): int(count) for why, count in raw["left_out"].items()}
        return cls(int(raw["slot_ms"]), sums, sources, left_out, set(sums))


def _row_sums(row: Row) -> list[int]:
    return [row.tried, row.good, row.failed, row.slow, row.drawn]


def _decode_cell(raw: list[Any]) -> tuple[CellKey, list[int]]:
    slot, cls, zone, arm, *sums = raw
    if len(sums) != SUMS_PER_CELL:
        raise ValueError(f"a cell has {SUMS_PER_CELL} sums")
    return (int(slot), str(cls), str(zone), str(arm)), [int(one) for one in sums]
