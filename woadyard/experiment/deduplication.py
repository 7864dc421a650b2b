"""Which numbered rows of a source were counted: each once, in any order, in bounded room."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Hashable

MAX_RECENT_NUMBERS = 4096  # numbers of which each row is known; of older ones only the number
MAX_RANGES = 4096  # gaps between older numbers


class RowDeduplicator:
    """Rows of one source. A number may bring one row for each arm and stratum."""

    def __init__(self) -> None:
        self._number_count = self._lowest = self._highest = 0
        self._recent_rows: dict[int, set[Hashable]] = {}
        self._range_starts: list[int] = []  # runs of older numbers, low to high, both within
        self._range_ends: list[int] = []

    @property
    def missing_numbers(self) -> int:
        """Numbers between the lowest and the highest that have not come."""
        return self._highest - self._lowest + 1 - self._number_count if self._number_count else 0

    def record_if_new(self, number: int, row: Hashable) -> bool:
        """True the first time; a row too old to be told from a repeated one is taken for one."""
        rows = self._recent_rows.get(number)
        if rows is not None:
            if row in rows:
                return False
            rows.add(row)
            return True
        place = bisect_right(self._range_starts, number) - 1
        if place >= 0 and number <= self._range_ends[place]:
            return False
        self._recent_rows[number] = {row}
        self._lowest = min(self._lowest, number) if self._number_count else number
        self._highest = max(self._highest, number) if self._number_count else number
        self._number_count += 1
        if len(self._recent_rows) > MAX_RECENT_NUMBERS:
            oldest = next(iter(self._recent_rows))
            del self._recent_rows[oldest]
            self._add_to_ranges(oldest)
        return True

    def _add_to_ranges(self, number: int) -> None:
        low, high = self._range_starts, self._range_ends
        place = bisect_right(low, number)
        if place and high[place - 1] == number - 1:
            high[place - 1] = number
            place -= 1
        elif place < len(low) and low[place] == number + 1:
            low[place] = number
        else:
            low.insert(place, number)
            high.insert(place, number)
        if place + 1 < len(low) and high[place] == low[place + 1] - 1:
            high[place] = high[place + 1]
            del low[place + 1], high[place + 1]
        if len(low) > MAX_RANGES:  # the lowest gap is closed: what comes for it later is refused
            high[0] = high[1]
            del low[1], high[1]
