"""Conversion of start times from wall-clock time while the wall clock is stepped."""

from __future__ import annotations

import pytest

from woadyard.net.wallclock import MAX_OFFSETS, WallClock

EPOCH, SECOND, HOUR = 1_700_000_000_000_000, 1_000_000, 3_600_000_000


class Clocks:
    """The monotonic clock of a machine and the offset of its wall clock, in microseconds."""

    def __init__(self) -> None:
        self.now, self.offset = 50 * SECOND, EPOCH
        self.wall = WallClock(lambda: self.now + self.offset)
        self.wall.record_offset(self.now)


@pytest.mark.parametrize("step", [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR])
@pytest.mark.parametrize("is_other_stepped", [False, True])
def test_start_never_appears_older_than_it_is_after_a_step(step: int, is_other_stepped: bool) -> None:
    """The step is on this machine alone, or on the endpoint's machine as well before the start."""
    clocks = Clocks()
    clocks.offset += step
    started = clocks.now - 2 * SECOND
    reported = started + EPOCH + (step if is_other_stepped else 0)
    converted = clocks.wall.start_time_us(clocks.now, reported)
    assert started <= converted <= clocks.now


def test_conversion_is_exact_without_a_step() -> None:
    clocks = Clocks()
    clocks.now += 10 * SECOND
    assert clocks.wall.start_time_us(clocks.now, clocks.now + EPOCH - 3 * SECOND) == clocks.now - 3 * SECOND


def test_start_in_the_future_counts_as_now() -> None:
    clocks = Clocks()
    assert clocks.wall.start_time_us(clocks.now, clocks.now + EPOCH + HOUR) == clocks.now


def test_number_of_remembered_offsets_is_bounded() -> None:
    clocks = Clocks()
    for _ in range(50):
        clocks.offset += SECOND
        clocks.wall.record_offset(clocks.now)
    assert len(clocks.wall.offsets_us) == MAX_OFFSETS
