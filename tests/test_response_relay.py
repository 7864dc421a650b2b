"""When a response without a length is passed on before its end, and when it is given up."""

from __future__ import annotations

from dataclasses import replace

import pytest

from woadyard.policy.response_relay import (
    LATE_RESPONSE_US,
    LONG_BODY_BYTES,
    MAX_HOLD_US,
    MAX_RESPONSE_US,
    MAX_SILENCE_US,
    RELAY_LEAD_US,
    ResponseProgress,
    give_up_due_us,
    relay_due_us,
)

HEAD_US, EXPIRES_US = 10_000_000, 10_800_000
SECOND_US = 1_000_000
LONGEST_HANG_US = 25 * SECOND_US


def progress(body_bytes: int, last_part_us: int = 0, length: int | None = None) -> ResponseProgress:
    return ResponseProgress(
        200, length, is_streamed=True, body_bytes=body_bytes, head_us=HEAD_US, last_part_us=last_part_us
    )


def test_a_response_is_passed_on_before_its_deadline_and_held_for_a_bounded_time() -> None:
    soon_us = HEAD_US + MAX_HOLD_US
    assert relay_due_us(progress(1), soon_us) == soon_us - RELAY_LEAD_US
    assert relay_due_us(progress(1), soon_us + 60 * SECOND_US) == HEAD_US + MAX_HOLD_US


LENGTH, UNKNOWN = 2 * LONG_BODY_BYTES, None
NOW_US = HEAD_US + 20 * SECOND_US


@pytest.mark.parametrize("length", [LENGTH, UNKNOWN])
@pytest.mark.parametrize(
    ("seen", "silent_since_us"),
    [
        (progress(0), HEAD_US),
        (progress(50_000, HEAD_US + SECOND_US), HEAD_US + SECOND_US),
        (progress(LONG_BODY_BYTES + 1, HEAD_US + 9 * SECOND_US), HEAD_US + 9 * SECOND_US),
        (replace(progress(1, HEAD_US), resumed_us=HEAD_US + 8 * SECOND_US), HEAD_US + 8 * SECOND_US),
        (replace(progress(1, HEAD_US), is_reading_paused=True), NOW_US),
    ],
    ids=["head alone", "pause", "long", "read again", "not read"],
)
def test_a_response_that_may_be_long_is_given_up_after_a_silence_alone(
    seen: ResponseProgress, silent_since_us: int, length: int | None
) -> None:
    # Guards against a long response that is cut off while its endpoint hangs, and one that never ends.
    due_us = give_up_due_us(replace(seen, length=length), EXPIRES_US, NOW_US)
    assert due_us == silent_since_us + MAX_SILENCE_US


def test_no_response_is_given_up_before_it_may_be_late() -> None:
    expires_us = EXPIRES_US + 60 * SECOND_US
    assert give_up_due_us(progress(1, HEAD_US), expires_us, NOW_US) == expires_us + LATE_RESPONSE_US


def test_the_longest_hang_of_an_endpoint_is_waited_for() -> None:
    assert MAX_SILENCE_US > LONGEST_HANG_US


def test_a_response_that_is_known_to_be_short_is_given_up_when_it_is_late() -> None:
    seen = progress(100, HEAD_US, length=LONG_BODY_BYTES)
    assert give_up_due_us(seen, EXPIRES_US, NOW_US) == EXPIRES_US + LATE_RESPONSE_US


@pytest.mark.parametrize("is_paused", [False, True])
def test_a_response_whose_parts_never_end_is_given_up(is_paused: bool) -> None:
    now = HEAD_US + MAX_RESPONSE_US - 1
    seen = replace(progress(10**9, now), is_reading_paused=is_paused)
    assert give_up_due_us(seen, EXPIRES_US, now) == HEAD_US + MAX_RESPONSE_US
    largest_body_bytes, pace_bytes_per_s = 32_000_000, 64_000  # as clients may take it
    assert largest_body_bytes // pace_bytes_per_s * SECOND_US + LONGEST_HANG_US < MAX_RESPONSE_US
