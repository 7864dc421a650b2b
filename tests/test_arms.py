"""Tests of the arms of an experiment: how they are assigned, and that attempts stay in them."""

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


def test_assignment_follows_the_shares_and_a_changed_share_moves_no_more_keys_than_necessary() -> None:
    keys = [Random(3).getrandbits(64) + n for n in range(10_000)]
    assigned = [assign_arm(TWO, key, 1) for key in keys]
    assert sum(assigned) == pytest.approx(2_500, abs=4 * (10_000 * 0.25 * 0.75) ** 0.5)
    assert assigned == [assign_arm(TWO, key, request) for request, key in enumerate(keys)], (
        "a key keeps its arm"
    )
    wider = [assign_arm(replace(TWO, shares=(0.65, 0.35)), key, 1) for key in keys]
    assert all(b >= a for a, b in zip(assigned, wider, strict=True)), "no key leaves the arm that grows"
    assert sum(wider) - sum(assigned) == pytest.approx(1_000, abs=150)
    others = [assign_arm(replace(TWO, salt=8), key, 1) for key in keys]
    assert sum(a != b for a, b in zip(assigned, others, strict=True)) > 3_000, (
        "another salt assigns other keys"
    )
    requests = Counter(assign_arm(TWO, 0, n) for n in range(10_000))
    assert requests[1] == pytest.approx(2_500, abs=200), "without affinity each request is assigned by its id"


def split_balancer(size: int = 8, split: Split = TWO, **changes: Any) -> Balancer:
    balancer = started_balancer(size, **changes)
    balancer.split(0, split)
    return balancer


def key_of(arm: int) -> int:
    return next(key for key in range(1, 99) if assign_arm(TWO, key, 1) == arm)


def arrival(client: Client, now: int, arm: int) -> Arrival:
    client.last_id += 1
    return Arrival(client.last_id, 0, now + SECOND, affinity=key_of(arm))


@pytest.mark.parametrize("changes", [{}, {"instances": 3}, {"zones": 2, "cross_zone_price": 0.01}])
def test_attempts_and_retries_stay_in_the_arm(changes: dict[str, Any]) -> None:
    client = Client(balancer := split_balancer(**changes))
    used: dict[int, Counter[int]] = {0: Counter(), 1: Counter()}
    for k in range(400):
        event = arrival(client, now := k * 10 * MS, arm=k % 2)
        (sent,) = sends(balancer.request(now, event))
        for attempt, outcome in ((0, ERROR if k % 10 < 2 else OK), (1, OK)):
            used[k % 2][sent.endpoint] += 1
            assert sent.arm == k % 2
            done = Outcome(event.request, attempt, sent.endpoint, outcome, MS, over=outcome == OK)
            retries = sends(balancer.outcome(now + MS, done))
            if not retries:
                break
            (sent,) = retries
    assert set(used[1]) == {104, 105, 106} and set(used[0]) == {100, 101, 102, 103, 107}


@pytest.mark.parametrize("why", ["gone", "unreachable", "at their limit"])
def test_requests_of_an_unusable_arm_go_to_the_control_arm_until_it_recovers(why: str) -> None:
    client = Client(balancer := split_balancer(max_attempts=4))
    arm = [entry for entry in ready_entries(8) if entry.endpoint in TWO.arm_of]
    if why == "gone":
        balancer.members(0, LIST_DELTA, [replace(entry, phase=GONE) for entry in arm])
    elif why == "at their limit":
        balancer.limit(0, dict.fromkeys(TWO.arm_of, 0))

    def answered(now: int) -> tuple[int, bool]:
        """Return the arm that served the request, and whether it was answered."""
        event, attempt, arm = arrival(client, now, arm=1), 0, -1
        pending = sends(balancer.request(now, event))
        while pending and (sent := pending.pop()):
            fails = why == "unreachable" and sent.arm == 1 and now < 50 * SECOND
            arm, ended = sent.arm, NO_CONNECT if fails else OK
            done = Outcome(event.request, attempt, sent.endpoint, ended, MS, over=not fails)
            pending, attempt = sends(balancer.outcome(now + MS, done)), attempt + 1
        return arm, event.request not in balancer.requests

    assert [answered(k * 20 * MS) for k in range(50)] == [(0, True)] * 50
    if why == "gone":
        balancer.members(2 * SECOND, LIST_DELTA, arm)
    balancer.limit(2 * SECOND, {})
    assert answered(100 * SECOND) == (1, True)


def test_a_retry_bound_to_a_cell_changes_the_arm_only_within_the_cell() -> None:
    keyed = replace(PAGE, effect=KEYED, scope=SCOPE_CELL, window_us=SECOND, aim_us=500 * MS)
    client = Client(balancer := split_balancer(settings=replace(SETTINGS, classes=(keyed,))))
    event = arrival(client, 0, arm=1)
    (sent,) = sends(balancer.request(0, event))
    for attempt in range(2):
        (sent,) = sends(balancer.outcome(MS, Outcome(event.request, attempt, sent.endpoint, ERROR, MS)))
    assert sent.arm == 1, "all three endpoints of the arm are in one cell"
    balancer.retry_tokens = 5.0
    assert not sends(balancer.outcome(MS, Outcome(event.request, 2, sent.endpoint, ERROR, MS))), (
        "no attempt is left"
    )


def test_once_the_split_is_removed_all_endpoints_serve_all_requests() -> None:
    client = Client(balancer := split_balancer())
    balancer.split(SECOND, None)
    sent = []
    for now in range(SECOND, 2 * SECOND, 10 * MS):
        batch = [sends(balancer.request(now, arrival(client, now, arm=1)))[0] for _ in range(4)]
        for send in batch:
            balancer.outcome(now + MS, Outcome(send.request, 0, send.endpoint, OK, MS, over=True))
        sent += batch
    assert {send.endpoint for send in sent} == set(balancer.endpoints) and {send.arm for send in sent} == {0}


@pytest.mark.parametrize(
    "broken", [{"shares": ()}, {"shares": (0.7, 0.2)}, {"control": 2}, {"arm_of": {1: 5}}, {"salt": -1}]
)
def test_an_invalid_split_is_rejected(broken: dict[str, object]) -> None:
    with pytest.raises(PlanError):
        replace(TWO, **broken)  # type: ignore[arg-type]
