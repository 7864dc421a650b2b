"""Which numbered rows of a source were counted: each once, in any order, in bounded room."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Hashable

WINDOW = 4096  # numbers of which each row is known; of older ones only the number
MOST_RUNS = 4096  # gaps between older numbers


class Seen:
    """Rows of one source. A number may bring one row for each arm and stratum."""

    def __init__(self) -> None:
        self._numbers = self._lowest = self._highest = 0
        self._recent: dict[int, set[Hashable]] = {}
        self._low: list[int] = []  # runs of older numbers, low to high, both within
        self._high: list[int] = []

    @property
    def gaps(self) -> int:
        """Numbers between the lowest and the highest that have not come."""
        return self._highest - self._lowest + 1 - self._numbers if self._numbers else 0

    def take(self, number: int, row: Hashable) -> bool:
        """True the first time; a row too old to be told from a repeated one is taken for one."""
        rows = self._recent.get(number)
        if rows is not None:
            if row in rows:
                return False
            rows.add(row)
            return True
        place = bisect_right(self._low, number) - 1
        if place >= 0 and number <= self._high[place]:
            return False
        self._recent[number] = {row}
        self._lowest = min(self._lowest, number) if self._numbers else number
        self._highest = max(self._highest, number) if self._numbers else number
        self._numbers += 1
        if len(self._recent) > WINDOW:
            oldest = next(iter(self._recent))
            del self._recent[oldest]
            self._keep(oldest)
        return True

    def _keep(self, number: int) -> None:
        low, high = self._low, self._high
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
        if len(low) > MOST_RUNS:  # the lowest gap is closed: what comes for it later is refused
            high[0] = high[1]
            del low[1], high[1]
