"""Starts told in wall time, while the wall clock is stepped."""

from __future__ import annotations

import pytest

from woadyard.net.wallclock import MAX_OFFSETS, WallClock

EPOCH, SECOND, HOUR = 1_700_000_000_000_000, 1_000_000, 3_600_000_000


class Clocks:
    """Both clocks of a machine, in microseconds."""

    def __init__(self) -> None:
        self.now, self.offset = 50 * SECOND, EPOCH
        self.wall = WallClock(lambda: self.now + self.offset)
        self.wall.record_offset(self.now)


@pytest.mark.parametrize("step", [0, 5 * SECOND, -5 * SECOND, HOUR, -HOUR])
@pytest.mark.parametrize("other_too", [False, True])
def test_a_start_is_taken_for_no_older_than_it_is_whatever_the_wall_clock_did(
    step: int, other_too: bool
) -> None:
    """Stepped here alone, or at the endpoint's machine as well, before it started."""
    clocks = Clocks()
    clocks.offset += step
    started = clocks.now - 2 * SECOND
    told = started + EPOCH + (step if other_too else 0)
    found = clocks.wall.start_time_us(clocks.now, told)
    assert started <= found <= clocks.now


def test_without_a_step_it_is_exact() -> None:
    clocks = Clocks()
    clocks.now += 10 * SECOND
    assert clocks.wall.start_time_us(clocks.now, clocks.now + EPOCH - 3 * SECOND) == clocks.now - 3 * SECOND


def test_a_start_in_the_future_of_every_known_clock_counts_as_now() -> None:
    clocks = Clocks()
    assert clocks.wall.start_time_us(clocks.now, clocks.now + EPOCH + HOUR) == clocks.now


def test_many_steps_are_not_all_remembered() -> None:
    clocks = Clocks()
    for _ in range(50):
        clocks.offset += SECOND
        clocks.wall.record_offset(clocks.now)
    assert len(clocks.wall.offsets_us) == MAX_OFFSETS
