"""Tests of sequential keys."""

from __future__ import annotations

from dataclasses import replace

from tests.helpers import MS, SECOND, SETTINGS, Client, sends, started_balancer
from woadyard.interface import OK, RESET, SAFE, TIMEOUT, UNSAFE, Outcome, Refuse, RequestClass, Timer

SEQUENTIAL = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND, sequential=True)
TWO_SEQUENTIAL = replace(
    SETTINGS, classes=(SEQUENTIAL, replace(SEQUENTIAL, effect=SAFE)), key_rest_us=50 * MS
)


def test_requests_of_one_key_run_one_at_a_time_and_others_concurrently() -> None:
    """In haverhill-accounts the order was violated on every day with a hot key."""
    client = Client(started_balancer(settings=TWO_SEQUENTIAL))
    first, actions = client.submit(SECOND, key=5)
    (sent,) = sends(actions)
    second, actions = client.submit(SECOND + MS, cls=1, key=5)
    assert not sends(actions), "all sequential classes share the keys"
    assert sends(client.submit(SECOND + MS, key=6)[1]) and sends(client.submit(SECOND + MS)[1])
    actions = client.balancer.outcome(SECOND + 9 * MS, Outcome(first, 0, sent.endpoint, OK, 9 * MS, True))
    assert [send.request for send in sends(actions)] == [second]


def test_a_key_rests_after_a_timeout_but_not_for_the_request_whose_turn_it_is() -> None:
    client = Client(started_balancer(settings=TWO_SEQUENTIAL))
    first, actions = client.submit(SECOND, cls=1, key=5)
    client.submit(SECOND, key=5)
    (sent,) = sends(actions)
    now = SECOND + 100 * MS
    actions = client.balancer.outcome(now, Outcome(first, 0, sent.endpoint, TIMEOUT, 100 * MS))
    (retry,) = sends(actions)
    assert retry.request == first, "it keeps its turn: its retry does not wait"
    actions = client.balancer.outcome(now + MS, Outcome(first, 1, retry.endpoint, OK, MS, True))
    assert not sends(actions)
    (timer,) = [action for action in actions if isinstance(action, Timer)]
    assert timer.delay_us == 49 * MS
    assert sends(client.balancer.timer(now + 50 * MS, timer.token))


def test_a_request_is_rejected_unsent_if_those_ahead_leave_it_no_time() -> None:
    client = Client(started_balancer(settings=TWO_SEQUENTIAL))
    assert all(client.serve(k * 400 * MS, 300 * MS) for k in range(40))
    now = 20 * SECOND
    for _ in range(2):
        client.submit(now, key=5)
    _, actions = client.submit(now, key=5)
    assert any(isinstance(action, Refuse) for action in actions)


def test_queues_of_idle_keys_are_dropped() -> None:
    client = Client(started_balancer(settings=TWO_SEQUENTIAL))
    for key in range(1, 500):
        now = key * 10 * MS
        request_id, actions = client.submit(now, key=key)
        (sent,) = sends(actions)
        client.balancer.outcome(now + MS, Outcome(request_id, 0, sent.endpoint, RESET, MS, True))
    assert len(client.balancer.sequencer.queues) < 10 and len(client.balancer.sequencer.resting_keys) < 10
