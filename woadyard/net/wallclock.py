"""Wall-clock times of other machines on this process's monotonic clock.

The wall clock may be stepped, by seconds or an hour, at any time; the monotonic clock runs on. An endpoint
tells its start in wall time, so the difference of the two clocks decides how old it is taken to be.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MIN_STEP_US = 100_000  # a smaller change of the difference is drift or scheduling, not a step
MAX_OFFSETS = 8  # the latest are remembered


class WallClock:
    """Remembers each difference of the clocks that it met. Times in microseconds."""

    def __init__(self, read_wall_us: Callable[[], int] | None = None) -> None:
        self.read_wall_us = read_wall_us or (lambda: time.time_ns() // 1000)
        self.offsets_us: list[int] = []  # wall less monotonic, the latest last

    def record_offset(self, now_us: int) -> None:
        """Note the present difference; `now` is the monotonic clock's."""
        offset = self.read_wall_us() - now_us
        if all(abs(offset - known) > MIN_STEP_US for known in self.offsets_us):
            self.offsets_us = [*self.offsets_us, offset][-MAX_OFFSETS:]

    def start_time_us(self, now_us: int, wall_us: int) -> int:
        """The latest time up to now at which something may have started that tells this wall time.

        Whether its machine's clock was stepped with this one is not known: taken too old, an endpoint in
        its slow start would get too much; taken too young, it gets less for a while."""
        self.record_offset(now_us)
        times = [wall_us - offset for offset in self.offsets_us]
        return max((one for one in times if one <= now_us + MIN_STEP_US), default=now_us)
