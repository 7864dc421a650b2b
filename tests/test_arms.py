"""Arms of an experiment: who is drawn for which, and that both choices and the repeats stay inside."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from tests.helpers import MS, PAGE, SECOND, SETTINGS, Client, ready_entries, sends, started_balancer
from woadyard.errors import PlanError
from woadyard.interface import (
    ERROR,
    GONE,
    KEYED,
    LIST_DELTA,
    NO_CONNECT,
    OK,
    SCOPE_CELL,
    Arrival,
    Outcome,
    Split,
)
from woadyard.policy import Balancer, assign_arm

TWO = Split(1, salt=7, shares=(0.75, 0.25), control=0, arm_of={n: 1 for n in (104, 105, 106)})


def test_shares_come_out_and_a_changed_one_moves_no_more_keys_than_it_must() -> None:
    keys = [Random(3).getrandbits(64) + n for n in range(10_000)]
    drawn = [assign_arm(TWO, key, 1) for key in keys]
    assert sum(drawn) == pytest.approx(2_500, abs=4 * (10_000 * 0.25 * 0.75) ** 0.5)
    assert drawn == [assign_arm(TWO, key, request) for request, key in enumerate(keys)], "a key sticks"
    wider = [assign_arm(replace(TWO, shares=(0.65, 0.35)), key, 1) for key in keys]
    assert all(b >= a for a, b in zip(drawn, wider, strict=True)), "none leaves the arm that grows"
    assert sum(wider) - sum(drawn) == pytest.approx(1_000, abs=150)
    others = [assign_arm(replace(TWO, salt=8), key, 1) for key in keys]
    assert sum(a != b for a, b in zip(drawn, others, strict=True)) > 3_000, "another experiment draws others"
    requests = Counter(assign_arm(TWO, 0, n) for n in range(10_000))
    assert requests[1] == pytest.approx(2_500, abs=200), "without a key each request is drawn"


def playing(size: int = 8, split: Split = TWO, **changes: Any) -> Balancer:
    balancer = started_balancer(size, **changes)
    balancer.split(0, split)
    return balancer


def key_of(arm: int) -> int:
    return next(key for key in range(1, 99) if assign_arm(TWO, key, 1) == arm)


def ask(driver: Client, now: int, arm: int) -> Arrival:
    driver.last_id += 1
    return Arrival(driver.last_id, 0, now + SECOND, affinity=key_of(arm))


@pytest.mark.parametrize("changes", [{}, {"instances": 3}, {"zones": 2, "cross_zone_price": 0.01}])
def test_choices_and_repeats_stay_in_the_arm(changes: dict[str, Any]) -> None:
    driver = Client(balancer := playing(**changes))
    went: dict[int, Counter[int]] = {0: Counter(), 1: Counter()}
    for k in range(400):
        event = ask(driver, now := k * 10 * MS, arm=k % 2)
        (sent,) = sends(balancer.request(now, event))
        for copy, outcome in ((0, ERROR if k % 10 < 2 else OK), (1, OK)):
            went[k % 2][sent.endpoint] += 1
            assert sent.arm == k % 2
            done = Outcome(event.request, copy, sent.endpoint, outcome, MS, over=outcome == OK)
            more = sends(balancer.outcome(now + MS, done))
            if not more:
                break
            (sent,) = more
    assert set(went[1]) == {104, 105, 106} and set(went[0]) == {100, 101, 102, 103, 107}


@pytest.mark.parametrize("why", ["gone", "unreachable", "at their limit"])
def test_an_arm_with_nothing_usable_falls_to_the_control_and_is_taken_back(why: str) -> None:
    driver = Client(balancer := playing(max_attempts=4))
    arm = [entry for entry in ready_entries(8) if entry.endpoint in TWO.arm_of]
    if why == "gone":
        balancer.members(0, LIST_DELTA, [replace(entry, phase=GONE) for entry in arm])
    elif why == "at their limit":
        balancer.limit(0, dict.fromkeys(TWO.arm_of, 0))

    def answered(now: int) -> tuple[int, bool]:
        """The arm that served it; False if it was not answered."""
        event, copy, arm = ask(driver, now, arm=1), 0, -1
        todo = sends(balancer.request(now, event))
        while todo and (sent := todo.pop()):
            dead = why == "unreachable" and sent.arm == 1 and now < 50 * SECOND
            arm, ended = sent.arm, NO_CONNECT if dead else OK
            done = Outcome(event.request, copy, sent.endpoint, ended, MS, over=not dead)
            todo, copy = sends(balancer.outcome(now + MS, done)), copy + 1
        return arm, event.request not in balancer.requests

    assert [answered(k * 20 * MS) for k in range(50)] == [(0, True)] * 50
    if why == "gone":
        balancer.members(2 * SECOND, LIST_DELTA, arm)
    balancer.limit(2 * SECOND, {})
    assert answered(100 * SECOND) == (1, True)


def test_a_repeat_bound_to_a_cell_goes_over_only_inside_it() -> None:
    keyed = replace(PAGE, effect=KEYED, scope=SCOPE_CELL, window_us=SECOND, aim_us=500 * MS)
    driver = Client(balancer := playing(settings=replace(SETTINGS, classes=(keyed,))))
    event = ask(driver, 0, arm=1)
    (sent,) = sends(balancer.request(0, event))
    for copy in range(2):
        (sent,) = sends(balancer.outcome(MS, Outcome(event.request, copy, sent.endpoint, ERROR, MS)))
    assert sent.arm == 1, "all three of the arm are of one cell"
    balancer.retry_tokens = 5.0
    assert not sends(balancer.outcome(MS, Outcome(event.request, 2, sent.endpoint, ERROR, MS))), "attempts"


def test_without_a_split_again_all_endpoints_serve_all() -> None:
    driver = Client(balancer := playing())
    balancer.split(SECOND, None)
    sent = []
    for now in range(SECOND, 2 * SECOND, 10 * MS):
        several = [sends(balancer.request(now, ask(driver, now, arm=1)))[0] for _ in range(4)]
        for one in several:
            balancer.outcome(now + MS, Outcome(one.request, 0, one.endpoint, OK, MS, over=True))
        sent += several
    assert {one.endpoint for one in sent} == set(balancer.endpoints) and {one.arm for one in sent} == {0}


@pytest.mark.parametrize(
    "broken", [{"shares": ()}, {"shares": (0.7, 0.2)}, {"control": 2}, {"arm_of": {1: 5}}, {"salt": -1}]
)
def test_a_split_that_cannot_be_meant_is_refused(broken: dict[str, object]) -> None:
    with pytest.raises(PlanError):
        replace(TWO, **broken)  # type: ignore[arg-type]
