"""Tests of the cold budget: all sidecars together against the bound of STANDING.md for a cold endpoint."""

from __future__ import annotations

import heapq
from bisect import bisect_left
from dataclasses import replace
from math import sqrt
from random import Random

import pytest

from tests.helpers import MS, SECOND, SETTINGS, Client, ready_entries, sends
from woadyard.interface import LIST_DELTA, LIST_FULL, OK, Outcome
from woadyard.policy import Balancer

SIDECARS, SIZE, START, END = 40, 24, 6 * SECOND, 26 * SECOND
SPAN_US = 3 * SECOND // 2  # in which too many requests overload it
TIER = replace(SETTINGS, instances=SIDECARS, tip_for_us=SPAN_US)


def send_times(cold_count: int, seed: int, rate_hz: float) -> dict[int, list[int]]:
    """Return when each of the endpoints that start cold at `START` is sent requests.

    Each sidecar receives `rate_hz` requests per second at random, each served in 20 ms.
    """
    rng, due, sent = Random(seed), list[tuple[int, int, int, int]](), dict[int, list[int]]()
    cold = [replace(entry, boot=START) for entry in ready_entries(cold_count)]
    sidecars = []
    for n in range(SIDECARS):
        balancer = Balancer(seed * 1000 + n, replace(TIER, me=n))
        balancer.start(0)
        balancer.members(0, LIST_FULL, ready_entries(SIZE))
        sidecars.append(Client(balancer))
        heapq.heappush(due, (int(rng.expovariate(rate_hz) * SECOND), n, 0, 0))
    is_listed = False
    while due and (event := heapq.heappop(due))[0] < END:
        now, n, request_id, endpoint = event
        if now >= START and not is_listed:
            is_listed = True
            for sidecar in sidecars:
                sidecar.balancer.members(now, LIST_DELTA, cold)
        if request_id:
            sidecars[n].balancer.outcome(now, Outcome(request_id, 0, endpoint, OK, 20 * MS, over=True))
            continue
        request_id, actions = sidecars[n].submit(now)
        for send in sends(actions):
            heapq.heappush(due, (now + 20 * MS, n, request_id, send.endpoint))
            if is_listed and send.endpoint < 100 + cold_count:
                sent.setdefault(send.endpoint, []).append(now)
        heapq.heappush(due, (now + 1 + int(rng.expovariate(rate_hz) * SECOND), n, 0, 0))
    return sent


@pytest.mark.parametrize(("cold_count", "rate_hz"), [(1, 12.0), (12, 12.0), (12, 3.0)])
def test_all_sidecars_together_do_not_overload_a_cold_endpoint(cold_count: int, rate_hz: float) -> None:
    """More than N + 2 * sqrt(N) + 2 requests in the span overload it.

    N is the tip multiple of the warm share of its capacity, which is assumed to be no more than what an
    endpoint of this tier serves.
    """
    sent = send_times(cold_count, 5, rate_hz)
    worst = 0.0
    for times in sent.values():
        for index, now in enumerate(times):
            warm_share = TIER.cold_share + (1.0 - TIER.cold_share) * min(1.0, (now - START) / TIER.cold_us)
            budget = TIER.tip_multiple * warm_share * SIDECARS * rate_hz / SIZE * SPAN_US / SECOND
            count = index + 1 - bisect_left(times, now - SPAN_US)
            worst = max(worst, count / (budget + 2 * sqrt(budget) + 2))
    print(f"{cold_count} cold, {rate_hz}/s per sidecar: worst {worst:.2f} of the bound")
    assert 0.0 < worst <= 1.0
