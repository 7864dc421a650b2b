"""Health of endpoints and slow start."""

from __future__ import annotations

from dataclasses import replace
from random import Random

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
    EJECTED,
    FULL,
    LIST_DELTA,
    LIST_FULL,
    OK,
    RESET,
    TIMEOUT,
    Action,
    Arrival,
    Outcome,
    Verdict,
)
from woadyard.policy import Balancer, Latency


def test_a_restart_under_the_same_id_forgets_the_former_process() -> None:
    balancer = started_balancer()
    endpoint = balancer.endpoints[100]
    endpoint.health[0] = (0.01, 0, 5.0)
    endpoint.latency_ratio, endpoint.latency_samples = 4.0, 9
    balancer.members(SECOND, LIST_DELTA, [replace(ready_entries(1)[0], boot=SECOND)])
    assert (endpoint.health, endpoint.latency_ratio, endpoint.latency_samples) == ([(1.0, 0, 0.0)], 1.0, 0)


def test_a_cold_endpoint_off_the_own_arc_gets_nothing() -> None:
    """In a mass deploy every copy fell back on the whole ring with budgets meant
    for its own arc, which may add up to far more than a cold endpoint bears."""
    balancer = Balancer(1, replace(SETTINGS, me=0, instances=20))
    balancer.start(SECOND)
    balancer.members(SECOND, LIST_FULL, ready_entries(40, boot=SECOND))
    driver, own = Client(balancer), {one.id for group in balancer.ring.groups for one, _ in group}
    went = set()
    for k in range(2000):
        rid, actions = driver.submit(SECOND + k * MS)
        went |= {send.endpoint for send in sends(actions)}
        balancer.gone(SECOND + k * MS, rid)
    assert went and went <= own < set(balancer.endpoints)


def test_a_few_choked_endpoints_do_not_set_what_is_usual() -> None:
    latency, rng = Latency(), Random(1)
    for n in range(2000):
        latency.add(rng.expovariate(1 / 100) if n % 6 else 1500.0)
    assert 80.0 < latency.mean_us < 200.0 and latency.mean_us + 4.0 * latency.deviation_us < 1000.0
    for _ in range(400):  # what all share is usual, and soon
        latency.add(rng.expovariate(1 / 400))
    assert 250.0 < latency.mean_us < 500.0


def test_a_full_endpoint_is_left_alone_for_a_while() -> None:
    """podcast-main big-2: endpoints kept full by everybody's next try turned slow."""
    driver = Client(started_balancer(2))
    assert all(driver.serve(k * 200 * MS, 100 * MS) for k in range(20))
    rid, actions = driver.submit(5 * SECOND)
    (sent,) = sends(actions)
    driver.balancer.outcome(5 * SECOND + MS, Outcome(rid, 0, sent.endpoint, FULL, MS))
    went = {send.endpoint for k in range(9) for send in sends(driver.submit(5 * SECOND + k * 10 * MS)[1])}
    assert went and sent.endpoint not in went


def test_an_endpoint_that_fails_one_sort_of_requests_keeps_the_others() -> None:
    """haverhill-accounts class_fail days; incident i4b6c8c, where one tenant's fail."""
    some = replace(SETTINGS, classes=(PAGE, PAGE), tenants=(50.0, 50.0), full_unproven=True)
    balancer = started_balancer(1, settings=some)
    endpoint = balancer.endpoints[100]
    for k in range(1, 20):
        rid, cls, tenant = k, k % 2, k // 2 % 2
        (sent,) = sends(balancer.request(k * SECOND, Arrival(rid, cls, (k + 1) * SECOND, tenant)))
        bad = (cls, tenant) == (0, 1)
        done = Outcome(rid, 0, sent.endpoint, FULL if bad else OK, MS, over=not bad)
        balancer.outcome(k * SECOND + MS, done)
    healths = [balancer.health.current(20 * SECOND, endpoint, sort) for sort in range(4)]
    assert min(healths) == healths[1] < 0.5 * min(healths[:1] + healths[2:])


def test_a_copy_that_sends_little_does_not_soon_try_a_bad_endpoint_again() -> None:
    health = []
    for gap in (50 * MS, 2 * SECOND):
        driver = Client(balancer := started_balancer(4))
        for k in range(20):
            driver.serve(k * gap, 20 * MS)
        endpoint = next(iter(balancer.endpoints.values()))
        balancer.health.record_failure(20 * gap, endpoint, TIMEOUT, 0)
        health.append(balancer.health.current(20 * gap + SECOND, endpoint, 0))
    assert health[1] < 0.5 * health[0]


def test_the_cold_budget_follows_what_is_served_not_what_is_sent_in_vain() -> None:
    """podcast-main rules-2: five tries a request at full endpoints made a budget
    far above what any endpoint can do, and a cold one fell over."""
    sent = []
    for outcome in (OK, FULL):
        driver = Client(balancer := started_balancer(4))
        for k in range(1, 400):
            rid, actions = driver.submit(k * 10 * MS)
            for send in sends(actions):
                done = Outcome(rid, 0, send.endpoint, outcome, 5 * MS, over=outcome == OK)
                balancer.outcome(k * 10 * MS + 5 * MS, done)
        cold = balancer.endpoints[100]
        cold.boot_us, cold.cold_budget, cold.cold_budget_updated_us = 4 * SECOND, 0.0, 4 * SECOND
        balancer.slow_start.refill_budget(4 * SECOND + 50 * MS, cold)
        sent.append(cold.cold_budget)
    assert sent[1] < 0.5 * sent[0]


def test_a_cold_budget_not_used_in_time_is_lost() -> None:
    """Many copies that each saved up one send would all spend it at once."""
    driver = Client(balancer := started_balancer(4))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(1, 100))
    cold = balancer.endpoints[100]
    cold.boot_us = cold.cold_budget_updated_us = 5 * SECOND
    budgets = [balancer.slow_start.refill_budget(5 * SECOND + k * 37 * MS, cold) for k in range(100)]
    assert max(budgets) < 4.0 and min(budgets[50:]) < 1.0


def told(actions: list[Action]) -> list[tuple[int, str | None]]:
    return [(one.endpoint, one.state) for one in actions if isinstance(one, Verdict)]


def failures(driver: Client, endpoint: int, count: int) -> list[list[tuple[int, str | None]]]:
    """What is told at each of its failures, one request in 10 ms; the others answer."""
    found: list[list[tuple[int, str | None]]] = []
    for now in range(0, 100 * SECOND, 10 * MS):
        rid, actions = driver.submit(now)
        bad = sends(actions)[0].endpoint == endpoint
        done = Outcome(rid, 0, sends(actions)[0].endpoint, RESET if bad else OK, MS, True)
        back = driver.balancer.outcome(now, done)
        if bad:
            found.append(told(back))
        if len(found) == count:
            break
    return found


def test_an_endpoint_that_fails_on_is_told_to_the_others_and_taken_back_once_it_is_well() -> None:
    driver = Client(started_balancer(4, shares_verdicts=True))
    bad = left_endpoint(driver)
    assert failures(driver, bad, 3) == [[], [], [(bad, EJECTED)]]
    actions: list[Action] = []
    for k in range(4_000):
        rid, back = driver.submit(100 * SECOND + k * 10 * MS)
        endpoint = sends(back)[0].endpoint
        actions += driver.balancer.outcome(
            100 * SECOND + k * 10 * MS, Outcome(rid, 0, endpoint, OK, MS, True)
        )
    assert told(actions) == [(bad, None)]
    driver = Client(started_balancer(4))
    assert failures(driver, left_endpoint(driver), 6) == [[]] * 6, "off, nothing is told"
