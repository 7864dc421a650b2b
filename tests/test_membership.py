"""Tests of lists from discovery, of detach and attach, and of the lease they imply."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

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


def test_list_modes_add_keep_and_remove_endpoints() -> None:
    balancer = started_balancer(4)
    removed = replace(ready_entries(1)[0], phase=GONE)
    balancer.members(SECOND, LIST_DELTA, [removed, replace(ready_entries(2)[1], phase=DRAINING)])
    assert [
        endpoint.id for _, endpoint in sorted(balancer.ring.ready_order, key=lambda pair: pair[1].id)
    ] == [102, 103]
    balancer.members(SECOND, LIST_FAILED, [])
    assert len(balancer.ring.ready_order) == 2, "the old list stays"
    balancer.members(SECOND, LIST_FULL, ready_entries(3))
    assert {endpoint.id for _, endpoint in balancer.ring.ready_order} == {100, 101, 102}
    balancer.members(SECOND, LIST_CACHED, ready_entries(6))
    assert len(balancer.ring.ready_order) == 6


def backoff_us(balancer: Balancer) -> int:
    (action,) = balancer.members(0, LIST_FAILED, [])
    assert isinstance(action, Timer)
    return action.delay_us


def test_discovery_is_called_again_soon_and_by_sidecars_at_different_times() -> None:
    """Its changes bind after 6 s, of which 2.5 s pass before a silent watch is noticed."""
    sidecars = [Balancer(seed, replace(SETTINGS, asks_discovery=True)) for seed in range(40)]
    first, *_, last = delays_us = [sorted(backoff_us(sidecar) for sidecar in sidecars) for _ in range(8)]
    assert first[-1] <= SECOND and first[-1] - first[0] > SECOND // 2
    assert last[-1] > 3 * SECOND and all(round_us[-1] <= 4 * SECOND for round_us in delays_us)
    for sidecar in sidecars:
        sidecar.members(0, LIST_DELTA, [])
    assert all(backoff_us(sidecar) <= SECOND for sidecar in sidecars)


def test_no_list_brings_back_a_detached_endpoint_before_it_is_attached() -> None:
    balancer = started_balancer(2)
    client = Client(balancer)
    balancer.detach(0, 100)
    balancer.members(0, LIST_FULL, ready_entries(2))
    balancer.members(0, LIST_DELTA, [replace(ready_entries(2)[0], boot=5)])
    balancer.members(0, LIST_FULL, ready_entries(2)[1:])
    balancer.members(0, LIST_FULL, ready_entries(2))
    for n in range(50):
        request_id, actions = client.submit(n)
        assert {send.endpoint for send in sends(actions)} == {101}
        balancer.outcome(n, Outcome(request_id, 0, 101, OK, 1, over=True))
    balancer.detach(60, 100)
    balancer.attach(60, 100)
    assert balancer.endpoints[100].is_ready, "one call is enough, without waiting for a list"


def test_an_attached_endpoint_counts_as_just_started_and_gets_a_trial_soon() -> None:
    balancer = started_balancer(8, cold_us=9 * SECOND)
    client = Client(balancer)
    attached = next(known for known in balancer.endpoints.values() if known.in_subset)
    balancer.detach(0, attached.id)
    balancer.attach(SECOND, attached.id)
    assert attached.id in balancer.endpoints
    balancer.members(2 * SECOND, LIST_FULL, ready_entries(8))
    assert balancer.endpoints[attached.id].boot_us == SECOND, "the same list does not report a restart"
    tried_us = []
    for now in range(SECOND, 4 * SECOND, SECOND // 4):
        request_id, actions = client.submit(now)
        (sent,) = sends(actions)
        if sent.endpoint == attached.id:
            tried_us.append(now)
        balancer.outcome(now, Outcome(request_id, 0, sent.endpoint, OK, 1, over=True))
    assert tried_us and len(tried_us) < 6, "at once, but with the budget of a cold endpoint"


def test_the_trial_of_an_attached_endpoint_is_repeated_until_it_can_be_reached() -> None:
    balancer = started_balancer(2, cold_us=9 * SECOND)
    client = Client(balancer)
    balancer.detach(0, 100)
    balancer.attach(0, 100)
    trial_count = 0
    for now in range(0, 4 * SECOND, SECOND // 10):
        request_id, actions = client.submit(now)
        for sent in sends(actions):
            trial_count += sent.endpoint == 100
            outcome = NO_CONNECT if sent.endpoint == 100 else OK
            balancer.outcome(now, Outcome(request_id, 0, sent.endpoint, outcome, 1, over=outcome == OK))
    assert trial_count >= 3


def test_requests_are_rejected_at_once_if_all_endpoints_are_detached() -> None:
    balancer = started_balancer(2)
    client = Client(balancer)
    for number in (100, 101):
        balancer.detach(0, number)
    _, actions = client.submit(10)
    assert [type(action) for action in actions] == [Refuse]
    assert not balancer.requests


def test_a_process_that_takes_over_calls_discovery_sooner_than_a_mass_start() -> None:
    def first_call_us(alone: bool) -> int:
        balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=10 * SECOND))
        (timer,) = balancer.start(0, alone)
        assert isinstance(timer, Timer)
        return timer.delay_us

    assert first_call_us(False) <= SECOND // 5 < first_call_us(True) <= 5 * SECOND // 2


def test_only_attached_endpoints_get_another_trial_after_a_failed_connect() -> None:
    balancer = started_balancer(4)
    request_id, actions = Client(balancer).submit(SECOND)
    endpoint = sends(actions)[0].endpoint
    balancer.outcome(SECOND + MS, Outcome(request_id, 0, endpoint, NO_CONNECT, MS))
    assert not balancer.membership.trial_due_us
    balancer.detach(2 * SECOND, endpoint)
    balancer.attach(3 * SECOND, endpoint)
    balancer.membership.trial_due_us.clear()
    balancer.outcome(3 * SECOND + MS, Outcome(99, 0, endpoint, NO_CONNECT, MS))
    assert endpoint in balancer.membership.trial_due_us


def watching_balancer(size: int = 16) -> Balancer:
    """A balancer that received its list at 0, from a discovery whose watch has heartbeats."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND))
    balancer.start(0, True, True)
    balancer.members(0, LIST_FULL, ready_entries(size))
    return balancer


def send_times(full: set[int], lost: bool, stop_us: int) -> dict[int, list[int]]:
    """Send 20 requests per second from 1 s to `stop_us` and return the times of the sends by endpoint.

    `full` are the endpoints that reject everything; `lost` says that discovery is lost at 1 s.
    """
    balancer = watching_balancer()
    if lost:
        balancer.members(SECOND, LIST_FAILED, [])
    times_us: dict[int, list[int]] = {}
    client = Client(balancer)
    for now in range(SECOND, stop_us, 50 * MS):
        if not lost:
            balancer.confirmed(now)
        request_id, actions = client.submit(now)
        for attempt in range(3):
            for sent in sends(actions):
                times_us.setdefault(sent.endpoint, []).append(now)
                outcome = FULL if sent.endpoint in full else OK
                actions = balancer.outcome(
                    now + 5 * MS, Outcome(request_id, attempt, sent.endpoint, outcome, 5 * MS)
                )
                break
            else:
                break
    return times_us


def test_without_a_lease_no_endpoint_is_sent_anything_whether_it_serves_or_not() -> None:
    """It may be draining, and serve on: the lost discovery cannot report that, but it binds after 6 s."""
    rejecting = {105, 106, 113}  # all in the subset
    lost, kept = (
        send_times(rejecting, True, 20 * SECOND),
        send_times(rejecting, False, 20 * SECOND),
    )
    assert LEASE_US - 100 * MS <= max(max(times_us) for times_us in lost.values()) < LEASE_US
    assert all(max(kept[endpoint]) > 10 * SECOND for endpoint in rejecting), (
        "it may be full for a moment only"
    )


def test_without_a_lease_nothing_is_sent_if_no_endpoint_serves_anything() -> None:
    sent_us = send_times(set(range(100, 116)), True, 20 * SECOND)
    assert max(max(times_us) for times_us in sent_us.values()) < LEASE_US


def test_without_a_lease_requests_are_rejected_until_discovery_is_back() -> None:
    balancer = watching_balancer()
    balancer.members(SECOND, LIST_FAILED, [])
    client = Client(balancer)
    for n in range(40):
        _, actions = client.submit(60 * SECOND + n * 100 * MS)
        assert [type(action) for action in actions] == [Refuse]
    assert not balancer.requests
    balancer.members(65 * SECOND, LIST_DELTA, [])
    assert all(client.serve(65 * SECOND + n * 100 * MS, 5 * MS) for n in range(40))


@pytest.mark.parametrize("call_us", [0, 2 * SECOND], ids=["refused at once", "slow"])
def test_discovery_is_called_again_however_many_calls_have_failed(call_us: int) -> None:
    """Guards against a backoff that overflows after 1,024 failures, and schedules no call any more."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND))
    (timer,) = balancer.start(0, True, True)
    now = 0
    for _ in range(3000):
        assert isinstance(timer, Timer)
        now += timer.delay_us
        balancer.timer(now, timer.token)
        now += call_us
        (timer,) = balancer.members(now, LIST_FAILED, [])
    assert isinstance(timer, Timer) and timer.delay_us <= 3 * SECOND


def test_a_cached_list_is_no_contact_with_discovery() -> None:
    """It may be old: it has no lease, and the backoff of slow calls stays as after any start."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, ask_within_us=3 * SECOND))
    balancer.start(0, True, True)
    balancer.members(0, LIST_CACHED, ready_entries(8))
    lease, backoff = balancer.ctx.lease, balancer.membership.backoff
    assert lease.expires_us == 0 and backoff.slow_failures
    balancer.members(SECOND, LIST_DELTA, [])
    assert lease.expires_us == SECOND + LEASE_US and not backoff.slow_failures
    assert started_balancer(8).ctx.lease.expires_us == inf, (
        "without heartbeats the lease lasts until a call fails"
    )
