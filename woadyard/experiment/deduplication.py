"""Deduplicates the numbered rows of a source, in any order and with bounded memory."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Hashable

MAX_RECENT_NUMBERS = 4096  # each with the set of its rows; older numbers are kept as ranges only
MAX_RANGES = 4096  # of older numbers


class RowDeduplicator:
    """The rows received from one source.

    A number may come with one row for each arm and stratum.
    """

    def __init__(self) -> None:
        self._number_count = self._lowest = self._highest = 0
        self._recent_rows: dict[int, set[Hashable]] = {}
        self._range_starts: list[int] = []  # ranges of older numbers, ascending, ends inclusive
        self._range_ends: list[int] = []

    @property
    def missing_numbers(self) -> int:
        """The count of numbers between the lowest and the highest that were not received."""
        return self._highest - self._lowest + 1 - self._number_count if self._number_count else 0

    def record_if_new(self, number: int, row: Hashable) -> bool:
        """Record a row and return True, or return False if it is a duplicate.

        A row too old to be distinguished from a duplicate is treated as one.
        """
        rows = self._recent_rows.get(number)
        if rows is not None:
            if row in rows:
                return False
            rows.add(row)
            return True
        index = bisect_right(self._range_starts, number) - 1
        if index >= 0 and number <= self._range_ends[index]:
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
        starts, ends = self._range_starts, self._range_ends
        index = bisect_right(starts, number)
        if index and ends[index - 1] == number - 1:
            ends[index - 1] = number
            index -= 1
        elif index < len(starts) and starts[index] == number + 1:
            starts[index] = number
        else:
            starts.insert(index, number)
            ends.insert(index, number)
        if index + 1 < len(starts) and ends[index] == starts[index + 1] - 1:
            ends[index] = ends[index + 1]
            del starts[index + 1], ends[index + 1]
        if len(starts) > MAX_RANGES:  # close the lowest gap: rows received for it later are rejected
            ends[0] = ends[1]
            del starts[1], ends[1]
