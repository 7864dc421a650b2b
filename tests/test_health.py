"""Tests of the health of endpoints and of slow start."""

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


def test_a_restart_under_the_same_id_resets_what_was_learned() -> None:
    balancer = started_balancer()
    endpoint = balancer.endpoints[100]
    endpoint.health[0] = (0.01, 0, 5.0)
    endpoint.latency_ratio, endpoint.latency_samples = 4.0, 9
    balancer.members(SECOND, LIST_DELTA, [replace(ready_entries(1)[0], boot=SECOND)])
    assert (endpoint.health, endpoint.latency_ratio, endpoint.latency_samples) == ([(1.0, 0, 0.0)], 1.0, 0)


def test_a_cold_endpoint_outside_the_own_subset_gets_nothing() -> None:
    """In a mass deploy every sidecar fell back to the whole ring with the budgets of its own subset, which
    add up to far more than a cold endpoint can bear."""
    balancer = Balancer(1, replace(SETTINGS, me=0, instances=20))
    balancer.start(SECOND)
    balancer.members(SECOND, LIST_FULL, ready_entries(40, boot=SECOND))
    client, subset = Client(balancer), {member.id for group in balancer.ring.groups for member, _ in group}
    used = set()
    for k in range(2000):
        request_id, actions = client.submit(SECOND + k * MS)
        used |= {send.endpoint for send in sends(actions)}
        balancer.gone(SECOND + k * MS, request_id)
    assert used and used <= subset < set(balancer.endpoints)


def test_a_few_overloaded_endpoints_do_not_shift_the_mean_latency() -> None:
    latency, rng = Latency(), Random(1)
    for n in range(2000):
        latency.add(rng.expovariate(1 / 100) if n % 6 else 1500.0)
    assert 80.0 < latency.mean_us < 200.0 and latency.mean_us + 4.0 * latency.deviation_us < 1000.0
    for _ in range(400):  # a rise at all endpoints is followed quickly
        latency.add(rng.expovariate(1 / 400))
    assert 250.0 < latency.mean_us < 500.0


def test_a_full_endpoint_is_skipped_for_a_while() -> None:
    """In podcast-main big-2 the retries of all sidecars kept endpoints full, and these became slow."""
    client = Client(started_balancer(2))
    assert all(client.serve(k * 200 * MS, 100 * MS) for k in range(20))
    request_id, actions = client.submit(5 * SECOND)
    (sent,) = sends(actions)
    client.balancer.outcome(5 * SECOND + MS, Outcome(request_id, 0, sent.endpoint, FULL, MS))
    used = {send.endpoint for k in range(9) for send in sends(client.submit(5 * SECOND + k * 10 * MS)[1])}
    assert used and sent.endpoint not in used


def test_an_endpoint_that_fails_one_class_or_tenant_keeps_the_others() -> None:
    """One class failed on the haverhill-accounts class_fail days, one tenant in incident i4b6c8c."""
    two_tenants = replace(SETTINGS, classes=(PAGE, PAGE), tenants=(50.0, 50.0), full_unproven=True)
    balancer = started_balancer(1, settings=two_tenants)
    endpoint = balancer.endpoints[100]
    for k in range(1, 20):
        request_id, cls, tenant = k, k % 2, k // 2 % 2
        (sent,) = sends(balancer.request(k * SECOND, Arrival(request_id, cls, (k + 1) * SECOND, tenant)))
        fails = (cls, tenant) == (0, 1)
        done = Outcome(request_id, 0, sent.endpoint, FULL if fails else OK, MS, over=not fails)
        balancer.outcome(k * SECOND + MS, done)
    healths = [balancer.health.current(20 * SECOND, endpoint, class_tenant) for class_tenant in range(4)]
    assert min(healths) == healths[1] < 0.5 * min(healths[:1] + healths[2:])


def test_a_sidecar_that_sends_little_does_not_soon_retry_a_failing_endpoint() -> None:
    health = []
    for interval_us in (50 * MS, 2 * SECOND):
        client = Client(balancer := started_balancer(4))
        for k in range(20):
            client.serve(k * interval_us, 20 * MS)
        endpoint = next(iter(balancer.endpoints.values()))
        balancer.health.record_failure(20 * interval_us, endpoint, TIMEOUT, 0)
        health.append(balancer.health.current(20 * interval_us + SECOND, endpoint, 0))
    assert health[1] < 0.5 * health[0]


def test_the_cold_budget_follows_successful_attempts_not_failed_ones() -> None:
    """In podcast-main rules-2 five attempts per request at full endpoints earned a budget far above the
    capacity of any endpoint, and a cold one was overloaded."""
    budgets = []
    for outcome in (OK, FULL):
        client = Client(balancer := started_balancer(4))
        for k in range(1, 400):
            request_id, actions = client.submit(k * 10 * MS)
            for send in sends(actions):
                done = Outcome(request_id, 0, send.endpoint, outcome, 5 * MS, over=outcome == OK)
                balancer.outcome(k * 10 * MS + 5 * MS, done)
        cold = balancer.endpoints[100]
        cold.boot_us, cold.cold_budget, cold.cold_budget_updated_us = 4 * SECOND, 0.0, 4 * SECOND
        balancer.slow_start.refill_budget(4 * SECOND + 50 * MS, cold)
        budgets.append(cold.cold_budget)
    assert budgets[1] < 0.5 * budgets[0]


def test_a_cold_budget_that_is_not_used_in_time_expires() -> None:
    """Otherwise many sidecars that each saved up one request would all send it at once."""
    client = Client(balancer := started_balancer(4))
    assert all(client.serve(k * 50 * MS, 20 * MS) for k in range(1, 100))
    cold = balancer.endpoints[100]
    cold.boot_us = cold.cold_budget_updated_us = 5 * SECOND
    budgets = [balancer.slow_start.refill_budget(5 * SECOND + k * 37 * MS, cold) for k in range(100)]
    assert max(budgets) < 4.0 and min(budgets[50:]) < 1.0


def verdicts(actions: list[Action]) -> list[tuple[int, str | None]]:
    return [(action.endpoint, action.state) for action in actions if isinstance(action, Verdict)]


def verdicts_on_failures(client: Client, endpoint: int, count: int) -> list[list[tuple[int, str | None]]]:
    """Let one endpoint fail, with a request every 10 ms, and return the verdicts sent at each failure."""
    reported: list[list[tuple[int, str | None]]] = []
    for now in range(0, 100 * SECOND, 10 * MS):
        request_id, actions = client.submit(now)
        fails = sends(actions)[0].endpoint == endpoint
        done = Outcome(request_id, 0, sends(actions)[0].endpoint, RESET if fails else OK, MS, True)
        following = client.balancer.outcome(now, done)
        if fails:
            reported.append(verdicts(following))
        if len(reported) == count:
            break
    return reported


def test_an_ejected_endpoint_is_reported_to_other_sidecars_until_it_recovers() -> None:
    client = Client(started_balancer(4, shares_verdicts=True))
    failing = left_endpoint(client)
    assert verdicts_on_failures(client, failing, 3) == [[], [], [(failing, EJECTED)]]
    actions: list[Action] = []
    for k in range(4_000):
        request_id, sent = client.submit(100 * SECOND + k * 10 * MS)
        endpoint = sends(sent)[0].endpoint
        actions += client.balancer.outcome(
            100 * SECOND + k * 10 * MS, Outcome(request_id, 0, endpoint, OK, MS, True)
        )
    assert verdicts(actions) == [(failing, None)]
    client = Client(started_balancer(4))
    assert verdicts_on_failures(client, left_endpoint(client), 6) == [[]] * 6, "sharing is disabled"
