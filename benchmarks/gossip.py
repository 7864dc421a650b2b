"""Shared verdicts: time to convergence, bytes on the network, and failed attempts saved.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m
benchmarks.gossip`. Convergence is the time from a verdict of one sidecar until each
other sidecar holds it: for up to 200 sidecars with the stores alone on a simulated clock,
for 5 and 50 also with sidecar processes (polled every 250 ms). Bytes are those of the HTTP
bodies. The saving is measured at an endpoint that answers 500: the number of attempts it
receives from 20 sidecars with little traffic each, with and without shared verdicts.
Results depend on the machine: compare only within one run.
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


def print_percentiles(name: str, times_us: HdrHistogram) -> None:
    p50, p99 = (times_us.get_value_at_percentile(p) / 1e6 for p in (50, 99))
    print(f"{name}: p50 {p50:.2f} s, p99 {p99:.2f} s, last {times_us.get_max_value() / 1e6:.2f} s")


class SimulatedGossip:
    """Stores that exchange entries as `woadyard.net.gossip` does, on one simulated clock in µs."""

    def __init__(self, size: int, rng: random.Random, names: Sequence[str] = ()) -> None:
        member_names = names or [f"n{n}" for n in range(size)]
        self.stores = [
            SharedStore(f"{name}@{n:08x}", {VERDICT: VERDICT_BOUND_US}) for n, name in enumerate(member_names)
        ]
        self.known_names = set(member_names)
        self.rng, self.body_bytes = rng, 0
        self.turn_queue = [(int(rng.random() * INTERVAL_MS * 1000), n) for n in range(size)]
        heapq.heapify(self.turn_queue)

    def pull(self, now_us: int, member: int, peer: int) -> None:
        own_store, peer_store = self.stores[member], self.stores[peer]
        entries = peer_store.missing_entries(now_us, dict(own_store.vector), MAX_RESPONSE_BYTES)
        self.body_bytes += len(json.dumps({"from": own_store.own_origin, "vector": own_store.vector}))
        self.body_bytes += len(json.dumps({"entries": entries}, separators=(",", ":")))
        own_store.merge(now_us, entries, ROUND_TRIP_US, self.known_names)

    def step(self) -> int:
        """Run the next turn of a member; return its time."""
        now_us, member = heapq.heappop(self.turn_queue)
        heapq.heappush(self.turn_queue, (now_us + INTERVAL_MS * 1000, member))
        self.stores[member].expire(now_us)
        peer = self.rng.randrange(len(self.stores) - 1)
        peer += peer >= member
        is_peer_behind = self.stores[peer].is_behind(self.stores[member].vector)
        self.pull(now_us, member, peer)
        if is_peer_behind:
            self.pull(now_us, peer, member)
        return now_us


def simulate_convergence(size: int, runs: int = RUNS, names: Sequence[str] = ()) -> HdrHistogram:
    """Return the times in µs until each other store holds the first verdict of one store."""
    times_us = HdrHistogram(1, 600_000_000, 3)
    for seed in range(runs):
        fleet = SimulatedGossip(size, random.Random(seed), names)
        origin, pending = fleet.stores[0].own_origin, set(range(1, size))
        fleet.stores[0].publish(0, VERDICT, "1", EJECTED)
        while pending:
            now_us = fleet.step()
            assert now_us < VERDICT_BOUND_US, "an expired verdict is not sent to any peer"
            for n in [n for n in pending if origin in fleet.stores[n].vector]:
                pending.discard(n)
                times_us.record_value(max(1, now_us))
    return times_us


def simulate_bytes_per_s(size: int, accusers: int, seed: int = 1, names: Sequence[str] = ()) -> float:
    """Return the body bytes per second and sidecar while each accuser keeps renewing one verdict."""
    fleet, now_us, last_renewal = SimulatedGossip(size, random.Random(seed), names), 0, -1
    while now_us < SIMULATED_US:
        now_us = fleet.step()
        if now_us // (VERDICT_BOUND_US // 4) != last_renewal:
            last_renewal = now_us // (VERDICT_BOUND_US // 4)
            for store in fleet.stores[:accusers]:
                store.publish(now_us, VERDICT, "1234567890123456789", EJECTED)
    return fleet.body_bytes / (SIMULATED_US / 1e6) / size


async def start_fleet(lab: Lab, size: int, entries: list[dict[str, Any]], **settings: Any) -> list[Program]:
    """Start sidecar processes, ten at a time; return once each knows all others as peers."""
    peer_service, sidecars = await lab.service(), list[Program]()
    for first in range(0, size, 10):
        batch = range(first, min(size, first + 10))
        started = await asyncio.gather(
            *(start_sharing_sidecar(lab, f"n{n}", peer_service, entries, **settings) for n in batch)
        )
        sidecars += [sidecar for sidecar, _, _ in started]
    await asyncio.gather(*(sidecar.wait_metric(f"woadyard_peers {size - 1}.0") for sidecar in sidecars))
    return sidecars


async def measure_convergence(size: int) -> None:
    times_us = HdrHistogram(1, 600_000_000, 3)
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        endpoint = await lab.endpoint()
        entries = [endpoint.entry(f"s-{n}") for n in range(4)]
        settings = {"interval-ms": INTERVAL_MS, "verdict-bound-ms": 10_000}
        sidecars = await start_fleet(lab, size, entries, **settings)
        for operation in ("detach", "attach"):  # a reattached endpoint is cold, which is a shared verdict
            await lab.call(sidecars[0].admin_port, "POST", f"/_endpoints/{operation}", "s-1")
        start_s = time.perf_counter()

        async def wait_for_verdict(sidecar: Program) -> None:
            while "\nwoadyard_endpoints_lowered 1.0" not in await sidecar.metrics():
                await asyncio.sleep(0.25)
            times_us.record_value(int((time.perf_counter() - start_s) * 1e6))

        await asyncio.gather(*(wait_for_verdict(sidecar) for sidecar in sidecars[1:]))
    print_percentiles(f"convergence, {size} processes", times_us)


async def measure_saving(size: int, duration_s: float, eject_share: float) -> None:
    """Print the attempts at one bad endpoint of 8; with an eject share of 0.01 no verdict has an effect."""
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        failing, healthy = await lab.endpoint(respond_500), await lab.endpoint()
        entries = [failing.entry("s-0"), *(healthy.entry(f"s-{n}") for n in range(1, 8))]
        settings = {"interval-ms": INTERVAL_MS, "verdict-bound-ms": 10_000, "eject-share": eject_share}
        sidecars = await start_fleet(lab, size, entries, **settings)
        failing.received.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await asyncio.gather(*(sidecar.run_load(2, 0.1) for sidecar in sidecars))
        statuses = sum((sidecar.statuses for sidecar in sidecars), Counter[int]())
    print(
        f"saving, {size} sidecars, {duration_s:.0f} s, "
        f"verdicts {'heeded' if eject_share > 0.1 else 'not heeded'}: "
        f"{len(failing.received)} attempts failed of {statuses.total()} requests, "
        f"{statuses[200]} answered 200"
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
        for eject_share in (0.01, 0.3):
            await measure_saving(20, 10.0, eject_share)


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
