"""Discovery's lists, and what operators take out and put back."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from tests.helpers import MS, SECOND, SETTINGS, Client, ready_entries, sends, started_balancer
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
from woadyard.policy.lease import LEASE_US


def test_list_modes_add_keep_and_remove() -> None:
    balancer = started_balancer(4)
    gone = replace(ready_entries(1)[0], phase=GONE)
    balancer.members(SECOND, LIST_DELTA, [gone, replace(ready_entries(2)[1], phase=DRAINING)])
    assert [one.id for _, one in sorted(balancer.ring.ready_order, key=lambda pair: pair[1].id)] == [102, 103]
    balancer.members(SECOND, LIST_FAILED, [])
    assert len(balancer.ring.ready_order) == 2, "the old list stays"
    balancer.members(SECOND, LIST_FULL, ready_entries(3))
    assert {one.id for _, one in balancer.ring.ready_order} == {100, 101, 102}
    balancer.members(SECOND, LIST_CACHED, ready_entries(6))
    assert len(balancer.ring.ready_order) == 6


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
    balancer = started_balancer(2)
    driver = Client(balancer)
    balancer.detach(0, 100)
    balancer.members(0, LIST_FULL, ready_entries(2))
    balancer.members(0, LIST_DELTA, [replace(ready_entries(2)[0], boot=5)])
    balancer.members(0, LIST_FULL, ready_entries(2)[1:])
    balancer.members(0, LIST_FULL, ready_entries(2))
    for n in range(50):
        rid, actions = driver.submit(n)
        assert {one.endpoint for one in sends(actions)} == {101}
        balancer.outcome(n, Outcome(rid, 0, 101, OK, 1, over=True))
    balancer.detach(60, 100)
    balancer.attach(60, 100)
    assert balancer.endpoints[100].is_ready, "one call is enough, and no list is waited for"


def test_what_is_put_back_counts_as_just_started_and_is_tried_soon() -> None:
    balancer = started_balancer(8, cold_us=9 * SECOND)
    driver = Client(balancer)
    own = next(one for one in balancer.endpoints.values() if one.in_subset)
    balancer.detach(0, own.id)
    balancer.attach(SECOND, own.id)
    assert own.id in balancer.endpoints
    balancer.members(2 * SECOND, LIST_FULL, ready_entries(8))
    assert balancer.endpoints[own.id].boot_us == SECOND, "an old list tells of no restart"
    tried = []
    for now in range(SECOND, 4 * SECOND, SECOND // 4):
        rid, actions = driver.submit(now)
        (sent,) = sends(actions)
        if sent.endpoint == own.id:
            tried.append(now)
        balancer.outcome(now, Outcome(rid, 0, sent.endpoint, OK, 1, over=True))
    assert tried and len(tried) < 6, "at once, but as a cold one"


def test_one_put_back_that_cannot_be_reached_yet_is_tried_again() -> None:
    balancer = started_balancer(2, cold_us=9 * SECOND)
    driver = Client(balancer)
    balancer.detach(0, 100)
    balancer.attach(0, 100)
    tried = 0
    for now in range(0, 4 * SECOND, SECOND // 10):
        rid, actions = driver.submit(now)
        for sent in sends(actions):
            tried += sent.endpoint == 100
            outcome = NO_CONNECT if sent.endpoint == 100 else OK
            balancer.outcome(now, Outcome(rid, 0, sent.endpoint, outcome, 1, over=outcome == OK))
    assert tried >= 3


def test_with_all_taken_out_requests_are_refused_at_once() -> None:
    balancer = started_balancer(2)
    driver = Client(balancer)
    for number in (100, 101):
        balancer.detach(0, number)
    _, actions = driver.submit(10)
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
    balancer = started_balancer(4)
    rid, actions = Client(balancer).submit(SECOND)
    endpoint = sends(actions)[0].endpoint
    balancer.outcome(SECOND + MS, Outcome(rid, 0, endpoint, NO_CONNECT, MS))
    assert not balancer.membership.trial_due_us
    balancer.detach(2 * SECOND, endpoint)
    balancer.attach(3 * SECOND, endpoint)
    balancer.membership.trial_due_us.clear()
    balancer.outcome(3 * SECOND + MS, Outcome(99, 0, endpoint, NO_CONNECT, MS))
    assert endpoint in balancer.membership.trial_due_us


def asking(size: int = 16) -> Balancer:
    """A copy whose list was told at 0, by a discovery whose watch has heartbeats."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND))
    balancer.start(0, True, True)
    balancer.members(0, LIST_FULL, ready_entries(size))
    return balancer


def tried(turning_away: set[int], lost: bool, stop: int) -> dict[int, list[int]]:
    """When each of 16 endpoints was sent something up to `stop`, 20 requests a second from 1 s on."""
    balancer = asking()
    if lost:
        balancer.members(SECOND, LIST_FAILED, [])
    when: dict[int, list[int]] = {}
    driver = Client(balancer)
    for now in range(SECOND, stop, 50 * MS):
        if not lost:
            balancer.confirmed(now)
        rid, actions = driver.submit(now)
        for copy in range(3):
            for sent in sends(actions):
                when.setdefault(sent.endpoint, []).append(now)
                outcome = FULL if sent.endpoint in turning_away else OK
                actions = balancer.outcome(now + 5 * MS, Outcome(rid, copy, sent.endpoint, outcome, 5 * MS))
                break
            else:
                break
    return when


def test_without_a_lease_what_answers_nothing_any_more_is_sent_nothing() -> None:
    """It may drain, which discovery could not tell: what it has to tell binds after 6 s all the same."""
    away = {105, 106, 113}  # all on its arc
    lost, told = tried(away, True, 20 * SECOND), tried(away, False, 20 * SECOND)
    assert all(max(lost[one]) < LEASE_US for one in away)
    assert all(max(told[one]) > 10 * SECOND for one in away), "it may be full for the moment only"
    assert any(max(times) > 19 * SECOND for one, times in lost.items() if one not in away)


def test_without_a_lease_and_where_nothing_answers_nothing_is_sent() -> None:
    everywhere = tried(set(range(100, 116)), True, 20 * SECOND)
    assert max(max(times) for times in everywhere.values()) < LEASE_US


def test_without_a_lease_after_long_silence_requests_are_refused_until_discovery_is_heard() -> None:
    balancer = asking()
    balancer.members(SECOND, LIST_FAILED, [])
    driver = Client(balancer)
    for n in range(40):
        _, actions = driver.submit(60 * SECOND + n * 100 * MS)
        assert [type(one) for one in actions] == [Refuse]
    assert not balancer.requests
    balancer.members(65 * SECOND, LIST_DELTA, [])
    assert all(driver.serve(65 * SECOND + n * 100 * MS, 5 * MS) for n in range(40))


def test_an_answer_asked_for_before_the_drain_proves_nothing_of_later() -> None:
    """What drains completes what it has."""
    balancer = asking()
    driver = Client(balancer)
    rid, actions = driver.submit(SECOND)
    (sent,) = sends(actions)
    balancer.outcome(SECOND + 900 * MS, Outcome(rid, 0, sent.endpoint, OK, 900 * MS, over=True))
    assert balancer.endpoints[sent.endpoint].last_success_sent_us == SECOND


def test_a_list_from_before_the_start_is_no_word_of_discovery() -> None:
    """It may be old: it has no lease, and calls that fail slowly are made again as late as any after a
    start."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND))
    balancer.start(0, True, True)
    balancer.members(0, LIST_CACHED, ready_entries(8))
    lease, backoff = balancer.ctx.lease, balancer.membership.backoff
    assert lease.expires_us == 0 and backoff.slow_failures
    balancer.members(SECOND, LIST_DELTA, [])
    assert lease.expires_us == SECOND + LEASE_US and not backoff.slow_failures
    assert started_balancer(8).ctx.lease.expires_us == inf, "without heartbeats it lasts until a call fails"
