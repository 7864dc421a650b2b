"""Discovery's lists, and what operators take out and put back."""

from __future__ import annotations

from dataclasses import replace

from tests.helpers import MS, SECOND, SETTINGS, Driver, fleet, sends, started
from woadyard.interface import (
    DRAINING,
    FULL,
    GONE,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    NO_CONNECT,
    OK,
    Outcome,
    Refuse,
    Timer,
)
from woadyard.policy import Balancer


def test_list_modes_add_keep_and_remove() -> None:
    balancer = started(4)
    gone = replace(fleet(1)[0], phase=GONE)
    balancer.members(SECOND, LIST_DELTA, [gone, replace(fleet(2)[1], phase=DRAINING)])
    assert [one.id for _, one in sorted(balancer.ring.order, key=lambda pair: pair[1].id)] == [102, 103]
    balancer.members(SECOND, LIST_FAILED, [])
    assert len(balancer.ring.order) == 2, "the old list stays"
    balancer.members(SECOND, LIST_FULL, fleet(3))
    assert {one.id for _, one in balancer.ring.order} == {100, 101, 102}
    balancer.members(SECOND, LIST_CACHED, fleet(6))
    assert len(balancer.ring.order) == 6


def pause(copy: Balancer) -> int:
    (action,) = copy.members(0, LIST_FAILED, [])
    assert isinstance(action, Timer)
    return action.delay_us


def test_discovery_is_asked_again_soon_and_by_copies_apart() -> None:
    """What it has to tell counts as told after 6 s; 2.5 s of them pass in silence."""
    copies = [Balancer(seed, replace(SETTINGS, asks_discovery=True)) for seed in range(40)]
    first, *_, last = waits = [sorted(pause(copy) for copy in copies) for _ in range(8)]
    assert first[-1] <= SECOND and first[-1] - first[0] > SECOND // 2
    assert last[-1] > 3 * SECOND and all(some[-1] <= 4 * SECOND for some in waits)
    for copy in copies:
        copy.members(0, LIST_DELTA, [])
    assert all(pause(copy) <= SECOND for copy in copies)


def test_no_list_brings_back_what_was_taken_out_until_it_is_put_back() -> None:
    balancer = started(2)
    driver = Driver(balancer)
    balancer.detach(0, 100)
    balancer.members(0, LIST_FULL, fleet(2))
    balancer.members(0, LIST_DELTA, [replace(fleet(2)[0], boot=5)])
    balancer.members(0, LIST_FULL, fleet(2)[1:])
    balancer.members(0, LIST_FULL, fleet(2))
    for n in range(50):
        rid, actions = driver.ask(n)
        assert {one.endpoint for one in sends(actions)} == {101}
        balancer.outcome(n, Outcome(rid, 0, 101, OK, 1, over=True))
    balancer.detach(60, 100)
    balancer.attach(60, 100)
    assert balancer.endpoints[100].ready, "one call is enough, and no list is waited for"


def test_what_is_put_back_counts_as_just_started_and_is_tried_soon() -> None:
    balancer = started(8, cold_us=9 * SECOND)
    driver = Driver(balancer)
    own = next(one for one in balancer.endpoints.values() if one.own)
    balancer.detach(0, own.id)
    balancer.attach(SECOND, own.id)
    assert own.id in balancer.endpoints
    balancer.members(2 * SECOND, LIST_FULL, fleet(8))
    assert balancer.endpoints[own.id].boot == SECOND, "an old list tells of no restart"
    tried = []
    for now in range(SECOND, 4 * SECOND, SECOND // 4):
        rid, actions = driver.ask(now)
        (sent,) = sends(actions)
        if sent.endpoint == own.id:
            tried.append(now)
        balancer.outcome(now, Outcome(rid, 0, sent.endpoint, OK, 1, over=True))
    assert tried and len(tried) < 6, "at once, but as a cold one"


def test_one_put_back_that_cannot_be_reached_yet_is_tried_again() -> None:
    balancer = started(2, cold_us=9 * SECOND)
    driver = Driver(balancer)
    balancer.detach(0, 100)
    balancer.attach(0, 100)
    tried = 0
    for now in range(0, 4 * SECOND, SECOND // 10):
        rid, actions = driver.ask(now)
        for sent in sends(actions):
            tried += sent.endpoint == 100
            outcome = NO_CONNECT if sent.endpoint == 100 else OK
            balancer.outcome(now, Outcome(rid, 0, sent.endpoint, outcome, 1, over=outcome == OK))
    assert tried >= 3


def test_with_all_taken_out_requests_are_refused_at_once() -> None:
    balancer = started(2)
    driver = Driver(balancer)
    for number in (100, 101):
        balancer.detach(0, number)
    _, actions = driver.ask(10)
    assert [type(one) for one in actions] == [Refuse]
    assert not balancer.requests


def test_one_that_takes_over_asks_discovery_sooner_than_copies_that_start_together() -> None:
    def first(alone: bool) -> int:
        balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=10 * SECOND))
        (asked,) = balancer.start(0, alone)
        assert isinstance(asked, Timer)
        return asked.delay_us

    assert first(False) <= SECOND // 5 < first(True) <= 5 * SECOND // 2


def test_what_cannot_be_reached_is_tried_anew_only_where_an_operator_put_it_back() -> None:
    balancer = started(4)
    rid, actions = Driver(balancer).ask(SECOND)
    endpoint = sends(actions)[0].endpoint
    balancer.outcome(SECOND + MS, Outcome(rid, 0, endpoint, NO_CONNECT, MS))
    assert not balancer.membership.trials
    balancer.detach(2 * SECOND, endpoint)
    balancer.attach(3 * SECOND, endpoint)
    balancer.membership.trials.clear()
    balancer.outcome(3 * SECOND + MS, Outcome(99, 0, endpoint, NO_CONNECT, MS))
    assert endpoint in balancer.membership.trials


def tried(turning_away: set[int], stale: bool, stop: int) -> dict[int, list[int]]:
    """When each of 16 endpoints was sent something up to `stop`, 20 requests a second from 1 s on."""
    balancer = started(16, asks_discovery=True, ask_within_us=3 * SECOND)
    if stale:
        balancer.members(SECOND, LIST_FAILED, [])
    when: dict[int, list[int]] = {}
    driver = Driver(balancer)
    for now in range(SECOND, stop, 50 * MS):
        rid, actions = driver.ask(now)
        for copy in range(3):
            for sent in sends(actions):
                when.setdefault(sent.endpoint, []).append(now)
                outcome = FULL if sent.endpoint in turning_away else OK
                actions = balancer.outcome(now + 5 * MS, Outcome(rid, copy, sent.endpoint, outcome, 5 * MS))
                break
            else:
                break
    return when


def test_with_a_stale_list_what_turns_requests_away_is_left_alone() -> None:
    """It may drain, which discovery could not tell: what it has to tell binds after 6 s all the same."""
    away = {105, 106, 113}  # all on its arc
    stale, told = tried(away, True, 12 * SECOND), tried(away, False, 12 * SECOND)
    assert all(max(stale[one]) < 6 * SECOND for one in away)
    assert all(max(told[one]) > 6 * SECOND for one in away), "it may be full for the moment only"


def test_with_a_stale_list_half_of_the_endpoints_stay_in_use_and_the_others_are_tried_again() -> None:
    when = tried(set(range(100, 116)), True, 40 * SECOND)
    late = [one for one, times in when.items() if any(10 * SECOND < at < 12 * SECOND for at in times)]
    assert len(late) >= 8
    assert all(max(times) > 13 * SECOND for times in when.values()), "not for ever"


def test_a_list_that_comes_ends_what_its_lack_had_left_alone() -> None:
    balancer = started(16, asks_discovery=True)
    balancer.members(SECOND, LIST_FAILED, [])
    for one in balancer.endpoints.values():
        one.crowded = 60 * SECOND
    balancer.members(2 * SECOND, LIST_DELTA, [])
    assert not any(one.crowded for one in balancer.endpoints.values())
    balancer.endpoints[100].crowded = 60 * SECOND
    balancer.members(3 * SECOND, LIST_DELTA, [])
    assert balancer.endpoints[100].crowded, "a list after a list changes nothing"


def test_a_list_from_before_the_start_is_no_word_of_discovery() -> None:
    """It may be old: until discovery is heard what turns requests away is left alone, and calls that
    fail slowly are made again as late as any after a start."""
    settings = replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND)
    balancer = Balancer(1, settings)
    balancer.start(0)
    balancer.members(0, LIST_CACHED, fleet(8))
    assert balancer.ctx.stale and balancer.membership.slow
    balancer.members(SECOND, LIST_DELTA, [])
    assert not balancer.ctx.stale and not balancer.membership.slow
    pushed = started(8)
    assert not pushed.ctx.stale
