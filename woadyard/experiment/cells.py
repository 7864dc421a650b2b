"""The evidence of one running experiment as the log keeps it: sums by cell, each counted once.

A sidecar tells a cell's sum so far, again until it knows that the sum is kept for good; the
greatest sum of a cell counts, so that loss, repetition and order of reports change nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from woadyard.experiment.messages import Evidence, Row

Key = tuple[int, str, str, str]  # slot, class, zone, arm
SUMS = 5
SLOTS_MOST = 65_536  # cells of the sum; later ones of a new slot are left out, and said


@dataclass
class Source:
    """One run of a sidecar: the cells that it may still tell of."""

    low: int = 0
    told: dict[int, tuple[Key, list[int]]] = field(default_factory=dict)


@dataclass
class Cells:
    """`sums` by cell are tried, good, failed, slow, drawn; `left_out` counts requests, by why; `touched`
    are the cells changed since the stopper was last fed."""

    slot_ms: int
    sums: dict[Key, list[int]] = field(default_factory=dict)
    sources: dict[str, Source] = field(default_factory=dict)
    left_out: dict[str, int] = field(default_factory=dict)
    touched: set[Key] = field(default_factory=set)

    def take(
        self, source: str, told: Evidence, at_ms: int, arms: Collection[str], revision: int, shut_out: bool
    ) -> None:
        """Evidence of one run that came at `at_ms`; counts of another revision are left out."""
        known = self.sources.setdefault(source, Source())
        for row in told.rows:
            if row.k < known.low:
                continue
            key, had = known.told.get(row.k, (self._key(row, told.zone, at_ms), [0] * SUMS))
            new = [max(one, was) for one, was in zip(_counts(row), had, strict=True)]
            more = [one - was for one, was in zip(new, had, strict=True)]
            known.told[row.k] = key, new
            if why := self._why_not(row, key, arms, revision, shut_out):
                self.left_out[why] = self.left_out.get(why, 0) + more[4]
            elif any(more):
                sums = self.sums.setdefault(key, [0] * SUMS)
                self.sums[key] = [one + plus for one, plus in zip(sums, more, strict=True)]
                self.touched.add(key)
        if told.low > known.low:
            known.low = told.low
            known.told = {k: one for k, one in known.told.items() if k >= told.low}

    def _why_not(self, row: Row, key: Key, arms: Collection[str], revision: int, shut_out: bool) -> str:
        if shut_out:
            return "shut out"
        if row.revision != revision:
            return "old revision"
        if row.arm not in arms:
            return "no such arm"
        return "no room" if key not in self.sums and len(self.sums) >= SLOTS_MOST else ""

    def _key(self, row: Row, zone: str, at_ms: int) -> Key:
        return max(at_ms - row.age_ms, 0) // self.slot_ms, row.cls, zone, row.arm

    def tried(self) -> dict[str, int]:
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
                name: [one.low, [[k, *key, *sums] for k, (key, sums) in one.told.items()]]
                for name, one in self.sources.items()
            },
            "left_out": dict(self.left_out),
        }

    @classmethod
    def load(cls, raw: dict[str, Any]) -> Cells:
        """What `dump` gave; KeyError, TypeError or ValueError on anything else."""
        sources = {}
        for name, (low, told) in raw["sources"].items():
            sources[str(name)] = Source(int(low), {int(k): _cell(cell) for k, *cell in told})
        sums = dict(_cell(cell) for cell in raw["sums"])
        left_out = {str(why): int(count) for why, count in raw["left_out"].items()}
        return cls(int(raw["slot_ms"]), sums, sources, left_out, set(sums))


def _counts(row: Row) -> list[int]:
    return [row.tried, row.good, row.failed, row.slow, row.drawn]


def _cell(raw: list[Any]) -> tuple[Key, list[int]]:
    slot, cls, zone, arm, *sums = raw
    if len(sums) != SUMS:
        raise ValueError(f"a cell has {SUMS} sums")
    return (int(slot), str(cls), str(zone), str(arm)), [int(one) for one in sums]
