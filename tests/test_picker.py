"""Which endpoint a request goes to, and the one guard before each send."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from tests.helpers import (
    MS,
    PAGE,
    SECOND,
    SETTINGS,
    Client,
    left_endpoint,
    ready_entries,
    sends,
    started_balancer,
)
from woadyard.interface import (
    FULL,
    GONE,
    KEYED,
    LIST_DELTA,
    LIST_FULL,
    OK,
    RESET,
    SCOPE_CELL,
    UNSAFE,
    Arrival,
    Fail,
    Outcome,
    Refuse,
    RequestClass,
    Timer,
)


@pytest.mark.parametrize(("size", "copies"), [(9, 10), (34, 29), (85, 400), (36, 6), (5, 2), (7, 1), (1, 3)])
def test_every_endpoint_lies_in_equally_many_left_and_right_groups(size: int, copies: int) -> None:
    reach: dict[str, dict[int, float]] = {"left": {}, "right": {}}
    for me in range(copies):
        balancer = started_balancer(size, me=me, instances=copies)
        for side, seen in reach.items():
            for endpoint, share in balancer.ring.groups[side == "right"]:
                seen[endpoint.id] = seen.get(endpoint.id, 0.0) + share
    for seen in reach.values():
        assert copies == 1 or max(seen.values()) == pytest.approx(min(seen.values()))
    assert sum(len(seen) for seen in reach.values()) >= size
    assert not set(range(100, 100 + size)) - set(reach["left"]) - set(reach["right"])


def test_the_guard_alone_keeps_scope_window_attempts_copies_and_drain() -> None:
    """Whatever a pick may come to return, `_send` must not let it through."""
    cell = RequestClass(KEYED, SCOPE_CELL, window_us=100 * MS, aim_us=200 * MS, deadline_us=SECOND)
    for copies, attempts in ((True, 3), (False, 3), (True, 1)):
        settings = replace(SETTINGS, classes=(cell,), second_copies=copies, max_attempts=attempts)
        balancer = started_balancer(settings=settings)
        rid, actions = Client(balancer).submit(SECOND)
        request, first = balancer.requests[rid], sends(actions)[0].endpoint
        near = next(e for e in balancer.endpoints.values() if e.id != first and e.cell == (first - 100) // 4)
        far = next(e for e in balancer.endpoints.values() if e.cell != near.cell)
        assert not balancer._send(SECOND + MS, request, far), "out of the key's scope"
        assert not balancer._send(SECOND + 100 * MS, request, near), "past the key's window"
        may = copies and attempts > 1
        assert balancer._send(SECOND + MS, request, near) is may
        near.is_ready = False
        assert not balancer._send(SECOND + 2 * MS, request, near), "draining"


def test_a_request_that_finds_no_endpoint_is_held_and_answered_in_time() -> None:
    """An empty list at start, or all cold: hold until the aim, then refuse."""
    driver = Client(started_balancer(0))
    rid, actions = driver.submit(SECOND)
    now = SECOND
    while not any(isinstance(action, Refuse) for action in actions):
        (timer,) = [action for action in actions if isinstance(action, Timer)]
        now += timer.delay_us
        actions = driver.balancer.timer(now, timer.token)
    assert now <= SECOND + PAGE.aim_us
    assert rid not in driver.balancer.requests


def test_fewer_own_calls_win_and_ties_go_left() -> None:
    balancer = started_balancer(8)
    driver = Client(balancer)
    left, right = ({one.id for one, _ in group} for group in balancer.ring.groups)
    first = [sends(driver.submit(SECOND)[1])[0].endpoint for _ in range(len(left))]
    assert first[0] in left, "all counts are 0"
    for endpoint in balancer.endpoints.values():
        endpoint.inflight = 5 if endpoint.id in left else 0
    assert all(sends(driver.submit(SECOND)[1])[0].endpoint in right for _ in range(3))


@pytest.mark.parametrize("unproven", [False, True])
def test_full_is_no_proof_where_a_site_says_so(unproven: bool) -> None:
    """Incident i4b6c8c: unsafe requests were sent again after 'full'."""
    once = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND)
    driver = Client(started_balancer(settings=replace(SETTINGS, classes=(once,), full_unproven=unproven)))
    rid, actions = driver.submit(SECOND)
    (sent,) = sends(actions)
    actions = driver.balancer.outcome(SECOND + MS, Outcome(rid, 0, sent.endpoint, FULL, MS))
    assert bool(sends(actions)) is not unproven
    assert any(isinstance(action, Fail) for action in actions) is unproven


def test_where_crossing_zones_costs_ties_stay_in_the_own_zone() -> None:
    balancer = started_balancer(16, instances=4, zones=2, zone=1, cross_zone_price=0.02)
    left, right = ({one.zone for one, _ in group} for group in balancer.ring.groups)
    assert (left, right) == ({1}, {0})


def test_a_tie_goes_right_where_the_left_endpoint_is_much_worse() -> None:
    driver = Client(balancer := started_balancer(8))
    for one, _ in balancer.ring.groups[0]:
        one.latency_ratio = 4.0
    went = [sends(driver.submit(SECOND)[1])[0].endpoint for _ in range(2)]
    assert set(went) <= {one.id for one, _ in balancer.ring.groups[1]}


def test_others_verdicts_lower_what_an_endpoint_gets_and_forbid_nothing() -> None:
    def shares(factors: dict[int, float]) -> Counter[int]:
        driver, found = Client(started_balancer(4)), Counter[int]()
        driver.balancer.trust(0, factors)
        for k in range(2_000):
            rid, back = driver.submit(k * 10 * MS)
            found[endpoint := sends(back)[0].endpoint] += 1
            driver.balancer.outcome(k * 10 * MS, Outcome(rid, 0, endpoint, OK, MS, True))
        return found

    bad = left_endpoint(Client(started_balancer(4)))
    before, after = shares({}), shares({bad: 0.05})
    assert after[bad] < before[bad] / 4
    assert shares(dict.fromkeys(range(100, 104), 0.05)) == before, "lowered alike, all serve as before"


def test_a_share_of_a_limit_is_kept_and_what_has_none_gets_the_floor() -> None:
    driver = Client(started_balancer(3))
    driver.balancer.limit(0, {100: 2, 101: 0}, 1)
    sent = [sends(driver.submit(k)[1]) for k in range(6)]
    assert Counter(one[0].endpoint for one in sent if one) == {100: 2, 102: 1}
    rid = sent[0][0].request
    driver.balancer.outcome(10, Outcome(rid, 0, sent[0][0].endpoint, OK, 10, over=True))
    assert sends(driver.submit(11)[1])[0].endpoint == sent[0][0].endpoint


def test_a_request_goes_to_its_home_while_that_is_well_and_elsewhere_when_it_is_not() -> None:
    driver = Client(started_balancer(8))

    def to(now: int, outcome: int = OK) -> int:
        driver.last_id += 1
        rid = driver.last_id
        back = driver.balancer.request(now, Arrival(rid, 0, now + SECOND, home=107))
        endpoint = sends(back)[0].endpoint
        failed = outcome if endpoint == 107 else OK
        driver.balancer.outcome(now + MS, Outcome(rid, 0, endpoint, failed, MS, over=True))
        return endpoint

    assert {to(k * 10 * MS) for k in range(100)} == {107}
    gone = [to(SECOND + k * MS, RESET) for k in range(50)]
    assert gone.count(107) == 1, "one reset, and it is passed by"
    assert to(100 * SECOND) == 107, "healed, it is the home again"
    driver.balancer.members(101 * SECOND, LIST_DELTA, [replace(ready_entries(8)[7], phase=GONE)])
    assert to(102 * SECOND) != 107


def test_an_endpoint_listed_in_another_cell_is_repeated_among_those_of_that_cell() -> None:
    keyed = RequestClass(KEYED, SCOPE_CELL, window_us=SECOND, aim_us=200 * MS, deadline_us=SECOND)
    driver = Client(started_balancer(8, settings=replace(SETTINGS, classes=(keyed,))))
    rid, actions = driver.submit(SECOND)
    first = sends(actions)[0].endpoint
    cell = (first - 100) // 4
    moved = replace(ready_entries(8)[first - 100], cell=1 - cell)
    driver.balancer.members(SECOND, LIST_DELTA, [moved])
    back = driver.balancer.outcome(SECOND + MS, Outcome(rid, 0, first, RESET, MS))
    assert (sends(back)[0].endpoint - 100) // 4 == 1 - cell
    assert len(driver.balancer.ring.ready_order) == 8


def test_no_endpoint_is_drawn_by_more_copies_than_need_be_where_zones_are_many() -> None:
    """Herd day: six zones' copies each held a sixth of the ring, and connections to all of it."""
    drawn: Counter[int] = Counter()
    entries = [replace(entry, zone=n % 6) for n, entry in enumerate(ready_entries(120))]
    for me in range(24):
        balancer = started_balancer(0, instances=24, me=me, zones=6, zone=me % 6, cross_zone_price=0.02)
        balancer.members(0, LIST_FULL, entries)
        drawn.update({one.id for group in balancer.ring.groups for one, _ in group})
    assert len(drawn) == 120 and sum(drawn.values()) / 120 < 6.0
