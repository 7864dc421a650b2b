"""Shared verdicts: convergence, what it costs on the wire, and what it saves.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m
benchmarks.gossip`. Convergence is the time from one sidecar's verdict until
each other one holds it: for 200 with the pure stores on a clock of their own,
for 5 and 50 with sidecar processes (polled every 50 ms). Bytes are those of the
bodies. The saving is counted at an endpoint that answers 500: the attempts it
gets from 20 sidecars of little traffic each, with verdicts shared and not.
Numbers vary with the machine: compare within a run.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import logging
import random
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import closing, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from tests.lab import Lab, Program
from tests.test_gossip import respond_500, start_sharing_sidecar
from woadyard.interface import EJECTED
from woadyard.net.gossip import MAX_RESPONSE_BYTES
from woadyard.shared.store import VERDICT, SharedStore

INTERVAL_MS, ROUND_TRIP_US, RUNS, VERDICT_BOUND_US, SIMULATED_US = 500, 2_000, 20, 10_000_000, 30_000_000


def print_percentiles(name: str, times: HdrHistogram) -> None:
    p50, p99 = (times.get_value_at_percentile(p) / 1e6 for p in (50, 99))
    print(f"{name}: p50 {p50:.2f} s, p99 {p99:.2f} s, last {times.get_max_value() / 1e6:.2f} s")


class SimulatedGossip:
    """Stores that exchange as `woadyard.net.gossip` does, on one clock, µs."""

    def __init__(self, size: int, rng: random.Random, names: Sequence[str] = ()) -> None:
        named = names or [f"n{n}" for n in range(size)]
        self.stores = [
            SharedStore(f"{name}@{n:08x}", {VERDICT: VERDICT_BOUND_US}) for n, name in enumerate(named)
        ]
        self.known_names = set(named)
        self.rng, self.body_bytes = rng, 0
        self.turn_queue = [(int(rng.random() * INTERVAL_MS * 1000), n) for n in range(size)]
        heapq.heapify(self.turn_queue)

    def pull(self, now: int, who: int, peer: int) -> None:
        mine, theirs = self.stores[who], self.stores[peer]
        rows = theirs.missing_entries(now, dict(mine.vector), MAX_RESPONSE_BYTES)
        self.body_bytes += len(json.dumps({"from": mine.own_origin, "vector": mine.vector}))
        self.body_bytes += len(json.dumps({"entries": rows}, separators=(",", ":")))
        mine.merge(now, rows, ROUND_TRIP_US, self.known_names)

    def step(self) -> int:
        """One sidecar's turn; returns when."""
        now, who = heapq.heappop(self.turn_queue)
        heapq.heappush(self.turn_queue, (now + INTERVAL_MS * 1000, who))
        self.stores[who].expire(now)
        peer = self.rng.randrange(len(self.stores) - 1)
        peer += peer >= who
        asks_back = self.stores[peer].is_behind(self.stores[who].vector)
        self.pull(now, who, peer)
        if asks_back:
            self.pull(now, peer, who)
        return now


def simulate_convergence(size: int, runs: int = RUNS, names: Sequence[str] = ()) -> HdrHistogram:
    """Times until each other store holds one's first verdict, µs."""
    times = HdrHistogram(1, 600_000_000, 3)
    for seed in range(runs):
        fleet = SimulatedGossip(size, random.Random(seed), names)
        first, waiting = fleet.stores[0].own_origin, set(range(1, size))
        fleet.stores[0].publish(0, VERDICT, "1", EJECTED)
        while waiting:
            now = fleet.step()
            assert now < VERDICT_BOUND_US, "past its bound it is told to nobody"
            for n in [n for n in waiting if first in fleet.stores[n].vector]:
                waiting.discard(n)
                times.record_value(max(1, now))
    return times


def simulate_bytes_per_s(size: int, accusers: int, seed: int = 1, names: Sequence[str] = ()) -> float:
    """Bytes of bodies a second and sidecar, each accuser renewing one verdict."""
    fleet, now, last = SimulatedGossip(size, random.Random(seed), names), 0, -1
    while now < SIMULATED_US:
        now = fleet.step()
        if now // (VERDICT_BOUND_US // 4) != last:
            last = now // (VERDICT_BOUND_US // 4)
            for store in fleet.stores[:accusers]:
                store.publish(now, VERDICT, "1234567890123456789", EJECTED)
    return fleet.body_bytes / (SIMULATED_US / 1e6) / size


async def start_fleet(lab: Lab, size: int, entries: list[dict[str, Any]], **more: Any) -> list[Program]:
    """Sidecar processes that know of all others, started some at a time."""
    peers, found = await lab.service(), list[Program]()
    for at in range(0, size, 10):
        some = range(at, min(size, at + 10))
        made = await asyncio.gather(
            *(start_sharing_sidecar(lab, f"n{n}", peers, entries, **more) for n in some)
        )
        found += [one for one, _, _ in made]
    await asyncio.gather(*(one.wait_metric(f"woadyard_peers {size - 1}.0") for one in found))
    return found


async def measure_convergence(size: int) -> None:
    times = HdrHistogram(1, 600_000_000, 3)
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        endpoint = await lab.endpoint()
        entries = [endpoint.entry(f"s-{n}") for n in range(4)]
        settings = {"interval-ms": INTERVAL_MS, "verdict-bound-ms": 10_000}
        sidecars = await start_fleet(lab, size, entries, **settings)
        for act in ("detach", "attach"):  # put back it is cold, which is told
            await lab.call(sidecars[0].admin_port, "POST", f"/_endpoints/{act}", "s-1")
        began = time.perf_counter()

        async def hears(one: Program) -> None:
            while "\nwoadyard_endpoints_lowered 1.0" not in await one.metrics():
                await asyncio.sleep(0.25)
            times.record_value(int((time.perf_counter() - began) * 1e6))

        await asyncio.gather(*(hears(one) for one in sidecars[1:]))
    print_percentiles(f"convergence, {size} processes", times)


async def measure_saving(size: int, seconds: float, share: float) -> None:
    """Attempts at a bad endpoint of 8; at a share of 0.01 no verdict lowers anything."""
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        bad, good = await lab.endpoint(respond_500), await lab.endpoint()
        entries = [bad.entry("s-0"), *(good.entry(f"s-{n}") for n in range(1, 8))]
        settings = {"interval-ms": INTERVAL_MS, "verdict-bound-ms": 10_000, "eject-share": share}
        sidecars = await start_fleet(lab, size, entries, **settings)
        bad.received.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(one.run_load(2, 0.1) for one in sidecars))
        statuses = sum((one.statuses for one in sidecars), Counter[int]())
    print(
        f"saving, {size} sidecars, {seconds:.0f} s, verdicts {'heeded' if share > 0.1 else 'not heeded'}: "
        f"{len(bad.received)} attempts failed of {statuses.total()} requests, {statuses[200]} answered 200"
    )


async def main() -> None:
    logging.getLogger("woadyard").setLevel(logging.ERROR)
    for size in (5, 50, 200):
        print_percentiles(f"convergence, {size} pure stores, {RUNS} runs", simulate_convergence(size))
    for accusers in (0, 1, 20):
        print(
            f"wire, 200 sidecars, {accusers} accusing: {simulate_bytes_per_s(200, accusers):.0f} bytes/s each"
        )
    for size in (5, 50):
        await measure_convergence(size)
    for _ in range(2):
        for share in (0.01, 0.3):
            await measure_saving(20, 10.0, share)


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
