"""Tests of the picker, of the ring, and of the guard before each send."""

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


@pytest.mark.parametrize(
    ("size", "sidecars"), [(9, 10), (34, 29), (85, 400), (36, 6), (5, 2), (7, 1), (1, 3)]
)
def test_each_endpoint_is_in_equally_many_left_and_right_groups(size: int, sidecars: int) -> None:
    coverage: dict[str, dict[int, float]] = {"left": {}, "right": {}}
    for me in range(sidecars):
        balancer = started_balancer(size, me=me, instances=sidecars)
        for side, shares in coverage.items():
            for endpoint, share in balancer.ring.groups[side == "right"]:
                shares[endpoint.id] = shares.get(endpoint.id, 0.0) + share
    for shares in coverage.values():
        assert sidecars == 1 or max(shares.values()) == pytest.approx(min(shares.values()))
    assert sum(len(shares) for shares in coverage.values()) >= size
    assert not set(range(100, 100 + size)) - set(coverage["left"]) - set(coverage["right"])


def test_send_guard_enforces_scope_window_attempts_second_copies_and_drain() -> None:
    """`_send` must reject forbidden attempts whatever endpoint the picker returns."""
    cell = RequestClass(KEYED, SCOPE_CELL, window_us=100 * MS, aim_us=200 * MS, deadline_us=SECOND)
    for allowed, attempts in ((True, 3), (False, 3), (True, 1)):
        settings = replace(SETTINGS, classes=(cell,), second_copies=allowed, max_attempts=attempts)
        balancer = started_balancer(settings=settings)
        request_id, actions = Client(balancer).submit(SECOND)
        request, first = balancer.requests[request_id], sends(actions)[0].endpoint
        near = next(
            known
            for known in balancer.endpoints.values()
            if known.id != first and known.cell == (first - 100) // 4
        )
        far = next(known for known in balancer.endpoints.values() if known.cell != near.cell)
        assert not balancer._send(SECOND + MS, request, far), "outside the key's scope"
        assert not balancer._send(SECOND + 100 * MS, request, near), "after the key's window"
        may_send = allowed and attempts > 1
        assert balancer._send(SECOND + MS, request, near) is may_send
        near.is_ready = False
        assert not balancer._send(SECOND + 2 * MS, request, near), "draining"


def test_a_request_without_usable_endpoint_waits_and_is_rejected_within_its_aim() -> None:
    """As at a start with an empty list, or while all endpoints are cold."""
    client = Client(started_balancer(0))
    request_id, actions = client.submit(SECOND)
    now = SECOND
    while not any(isinstance(action, Refuse) for action in actions):
        (timer,) = [action for action in actions if isinstance(action, Timer)]
        now += timer.delay_us
        actions = client.balancer.timer(now, timer.token)
    assert now <= SECOND + PAGE.aim_us
    assert request_id not in client.balancer.requests


def test_fewest_attempts_in_flight_win_and_ties_go_left() -> None:
    balancer = started_balancer(8)
    client = Client(balancer)
    left, right = ({member.id for member, _ in group} for group in balancer.ring.groups)
    first = [sends(client.submit(SECOND)[1])[0].endpoint for _ in range(len(left))]
    assert first[0] in left, "nothing is in flight"
    for endpoint in balancer.endpoints.values():
        endpoint.inflight = 5 if endpoint.id in left else 0
    assert all(sends(client.submit(SECOND)[1])[0].endpoint in right for _ in range(3))


@pytest.mark.parametrize("unproven", [False, True])
def test_full_does_not_prove_that_an_attempt_never_ran_if_settings_say_so(unproven: bool) -> None:
    """Incident i4b6c8c: unsafe requests were retried after FULL although they had run."""
    once = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND)
    client = Client(started_balancer(settings=replace(SETTINGS, classes=(once,), full_unproven=unproven)))
    request_id, actions = client.submit(SECOND)
    (sent,) = sends(actions)
    actions = client.balancer.outcome(SECOND + MS, Outcome(request_id, 0, sent.endpoint, FULL, MS))
    assert bool(sends(actions)) is not unproven
    assert any(isinstance(action, Fail) for action in actions) is unproven


def test_ties_stay_in_the_own_zone_if_crossing_zones_has_a_price() -> None:
    balancer = started_balancer(16, instances=4, zones=2, zone=1, cross_zone_price=0.02)
    left, right = ({member.zone for member, _ in group} for group in balancer.ring.groups)
    assert (left, right) == ({1}, {0})


def test_a_tie_goes_right_if_the_left_endpoint_is_much_worse() -> None:
    client = Client(balancer := started_balancer(8))
    for member, _ in balancer.ring.groups[0]:
        member.latency_ratio = 4.0
    used = [sends(client.submit(SECOND)[1])[0].endpoint for _ in range(2)]
    assert set(used) <= {member.id for member, _ in balancer.ring.groups[1]}


def test_verdicts_of_other_sidecars_lower_an_endpoints_traffic_and_exclude_none() -> None:
    def requests_by_endpoint(factors: dict[int, float]) -> Counter[int]:
        client, counts = Client(started_balancer(4)), Counter[int]()
        client.balancer.trust(0, factors)
        for k in range(2_000):
            request_id, actions = client.submit(k * 10 * MS)
            counts[endpoint := sends(actions)[0].endpoint] += 1
            client.balancer.outcome(k * 10 * MS, Outcome(request_id, 0, endpoint, OK, MS, True))
        return counts

    bad = left_endpoint(Client(started_balancer(4)))
    before, after = requests_by_endpoint({}), requests_by_endpoint({bad: 0.05})
    assert after[bad] < before[bad] / 4
    assert requests_by_endpoint(dict.fromkeys(range(100, 104), 0.05)) == before, "all are lowered alike"


def test_shares_of_a_limit_cap_attempts_in_flight_and_other_endpoints_get_the_default() -> None:
    client = Client(started_balancer(3))
    client.balancer.limit(0, {100: 2, 101: 0}, 1)
    sent = [sends(client.submit(k)[1]) for k in range(6)]
    assert Counter(group[0].endpoint for group in sent if group) == {100: 2, 102: 1}
    request_id = sent[0][0].request
    client.balancer.outcome(10, Outcome(request_id, 0, sent[0][0].endpoint, OK, 10, over=True))
    assert sends(client.submit(11)[1])[0].endpoint == sent[0][0].endpoint


def test_a_request_goes_to_its_home_endpoint_only_while_that_is_healthy() -> None:
    client = Client(started_balancer(8))

    def endpoint_used(now: int, outcome: int = OK) -> int:
        client.last_id += 1
        request_id = client.last_id
        actions = client.balancer.request(now, Arrival(request_id, 0, now + SECOND, home=107))
        endpoint = sends(actions)[0].endpoint
        result = outcome if endpoint == 107 else OK
        client.balancer.outcome(now + MS, Outcome(request_id, 0, endpoint, result, MS, over=True))
        return endpoint

    assert {endpoint_used(k * 10 * MS) for k in range(100)} == {107}
    used = [endpoint_used(SECOND + k * MS, RESET) for k in range(50)]
    assert used.count(107) == 1, "one reset, and it is passed over"
    assert endpoint_used(100 * SECOND) == 107, "its health has recovered"
    client.balancer.members(101 * SECOND, LIST_DELTA, [replace(ready_entries(8)[7], phase=GONE)])
    assert endpoint_used(102 * SECOND) != 107


def test_a_retry_bound_to_a_cell_follows_its_endpoint_to_another_cell() -> None:
    keyed = RequestClass(KEYED, SCOPE_CELL, window_us=SECOND, aim_us=200 * MS, deadline_us=SECOND)
    client = Client(started_balancer(8, settings=replace(SETTINGS, classes=(keyed,))))
    request_id, actions = client.submit(SECOND)
    first = sends(actions)[0].endpoint
    cell = (first - 100) // 4
    moved = replace(ready_entries(8)[first - 100], cell=1 - cell)
    client.balancer.members(SECOND, LIST_DELTA, [moved])
    retried = client.balancer.outcome(SECOND + MS, Outcome(request_id, 0, first, RESET, MS))
    assert (sends(retried)[0].endpoint - 100) // 4 == 1 - cell
    assert len(client.balancer.ring.ready_order) == 8


def test_an_endpoint_is_drawn_by_few_sidecars_if_there_are_many_zones() -> None:
    """With six zones, each zone's sidecars shared a sixth of the ring and kept connections to all of it."""
    drawn: Counter[int] = Counter()
    entries = [replace(entry, zone=n % 6) for n, entry in enumerate(ready_entries(120))]
    for me in range(24):
        balancer = started_balancer(0, instances=24, me=me, zones=6, zone=me % 6, cross_zone_price=0.02)
        balancer.members(0, LIST_FULL, entries)
        drawn.update({member.id for group in balancer.ring.groups for member, _ in group})
    assert len(drawn) == 120 and sum(drawn.values()) / 120 < 6.0
