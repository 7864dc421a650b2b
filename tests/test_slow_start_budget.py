"""What a cold endpoint is sent by many copies together, against the standing page's bound."""

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

COPIES, SIZE, START, END = 40, 24, 6 * SECOND, 26 * SECOND
SPAN = 3 * SECOND // 2  # in which too much fells it
SITE = replace(SETTINGS, instances=COPIES, tip_for_us=SPAN)


def sent_to(fresh: int, seed: int, rate_hz: float) -> dict[int, list[int]]:
    """When the `fresh` endpoints that start cold at `START` are sent anything; each copy
    takes `rate_hz` requests a second at random, each served in 20 ms."""
    rng, due, sent = Random(seed), list[tuple[int, int, int, int]](), dict[int, list[int]]()
    cold = [replace(entry, boot=START) for entry in ready_entries(fresh)]
    copies = []
    for n in range(COPIES):
        balancer = Balancer(seed * 1000 + n, replace(SITE, me=n))
        balancer.start(0)
        balancer.members(0, LIST_FULL, ready_entries(SIZE))
        copies.append(Client(balancer))
        heapq.heappush(due, (int(rng.expovariate(rate_hz) * SECOND), n, 0, 0))
    told = False
    while due and (event := heapq.heappop(due))[0] < END:
        now, n, rid, endpoint = event
        if now >= START and not told:
            told = True
            for copy in copies:
                copy.balancer.members(now, LIST_DELTA, cold)
        if rid:
            copies[n].balancer.outcome(now, Outcome(rid, 0, endpoint, OK, 20 * MS, over=True))
            continue
        rid, actions = copies[n].submit(now)
        for send in sends(actions):
            heapq.heappush(due, (now + 20 * MS, n, rid, send.endpoint))
            if told and send.endpoint < 100 + fresh:
                sent.setdefault(send.endpoint, []).append(now)
        heapq.heappush(due, (now + 1 + int(rng.expovariate(rate_hz) * SECOND), n, 0, 0))
    return sent


@pytest.mark.parametrize(("fresh", "rate_hz"), [(1, 12.0), (12, 12.0), (12, 3.0)])
def test_all_copies_together_stay_under_what_fells_a_cold_endpoint(fresh: int, rate_hz: float) -> None:
    """It falls by more than N + 2 x root of N + 2 requests in the span, N being what it may
    be sent then: the multiple of the share of its capacity that is warm. Its capacity is
    taken as no more than what an endpoint of this fleet serves."""
    sent = sent_to(fresh, 5, rate_hz)
    worst = 0.0
    for times in sent.values():
        for at, now in enumerate(times):
            warm = SITE.cold_share + (1.0 - SITE.cold_share) * min(1.0, (now - START) / SITE.cold_us)
            most = SITE.tip_multiple * warm * COPIES * rate_hz / SIZE * SPAN / SECOND
            count = at + 1 - bisect_left(times, now - SPAN)
            worst = max(worst, count / (most + 2 * sqrt(most) + 2))
    print(f"{fresh} cold, {rate_hz}/s a copy: worst {worst:.2f} of the bound")
    assert 0.0 < worst <= 1.0
