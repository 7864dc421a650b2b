"""Conversion of other machines' wall-clock times to this process's monotonic clock.

The wall clock may be stepped by any amount at any time; the monotonic clock is not. Endpoints report
their start in wall-clock time, so the offset between the two clocks decides how old an endpoint appears.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MIN_STEP_US = 100_000  # a smaller change of the offset is drift or scheduling delay, not a step
MAX_OFFSETS = 8  # the most recent ones are kept


class WallClock:
    """Remembers the recent offsets of the wall clock from the monotonic clock. Times in microseconds."""

    def __init__(self, read_wall_us: Callable[[], int] | None = None) -> None:
        self.read_wall_us = read_wall_us or (lambda: time.time_ns() // 1000)
        self.offsets_us: list[int] = []  # wall clock minus monotonic clock, the most recent last

    def record_offset(self, now_us: int) -> None:
        """Record the current offset if it is a new one; `now_us` is the monotonic time."""
        offset_us = self.read_wall_us() - now_us
        if all(abs(offset_us - known_us) > MIN_STEP_US for known_us in self.offsets_us):
            self.offsets_us = [*self.offsets_us, offset_us][-MAX_OFFSETS:]

    def start_time_us(self, now_us: int, wall_us: int) -> int:
        """Return the latest monotonic time, up to now, that a start at `wall_us` may correspond to.

        It is unknown whether the endpoint's machine was stepped together with this one. An endpoint taken
        for too old would get too much traffic during its slow start; one taken for too young gets less
        for a while, so the youngest possible age is assumed."""
        self.record_offset(now_us)
        candidates_us = [wall_us - offset_us for offset_us in self.offsets_us]
        return max(
            (start_us for start_us in candidates_us if start_us <= now_us + MIN_STEP_US), default=now_us
        )
