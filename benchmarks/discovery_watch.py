"""Discovery at scale: watch latency, calls while the list is quiet, and reconnection after an outage.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m
benchmarks.discovery_watch`. It runs one list service (and one follower) as processes and
`WATCHERS` discovery clients in this process. It prints the time from sending a write
until each watcher receives the change (p50, p99, largest), the calls per client and
minute while the list is quiet, and the calls that reach the service after all watches
break at once, with full jitter and with the same backoff without jitter.
Results depend on the machine: compare only within one run.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from tests.faults import CUT, PASS, FaultProxy
from tests.process import free_port
from tests.sockets import Reader, Writer
from tests.test_registry import call_registry, register_endpoint, start_registry
from tests.test_replicas import has_version, kill_processes, start_follower, wait_for_list
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery

WATCHERS, WRITES, QUIET_S, OUTAGE_S, BIN_S = 200, 50, 20.0, 5.0, 0.01


class NoJitter(random.Random):
    """Removes the jitter of the backoff: each wait has its full length."""

    def uniform(self, a: float, b: float) -> float:
        return b


@dataclass
class CountingProxy(FaultProxy):
    """Records the time at which each connection is accepted."""

    connection_times_s: list[float] = field(default_factory=list)

    async def _handle_connection(self, client_reader: Reader, client_writer: Writer) -> None:
        self.connection_times_s.append(time.perf_counter())
        await super()._handle_connection(client_reader, client_writer)


class WatcherFleet:
    """Discovery clients of one address, with the list version that each has received."""

    def __init__(self, port: int, jitter: bool = True) -> None:
        loop = asyncio.get_running_loop()
        self.versions, self.changed = [0] * WATCHERS, asyncio.Condition()
        self.latency_us = HdrHistogram(1, 60_000_000, 3)  # from the last write to each watcher
        self.write_sent_s = 0.0
        self.clients = [
            Discovery(
                loop, f"127.0.0.1:{port}", INSTANCES_PATH, True, self.list_handler(n),
                random.Random(n) if jitter else NoJitter(n),
            )
            for n in range(WATCHERS)
        ]  # fmt: skip
        for client in self.clients:
            client.set_watch(True)

    def list_handler(self, n: int) -> Any:
        def handle_list(version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
            self.versions[n] = version
            if self.write_sent_s:
                self.latency_us.record_value(max(1, int((time.perf_counter() - self.write_sent_s) * 1e6)))

        return handle_list

    async def wait_for_version(self, version: int) -> None:
        async with asyncio.timeout(30):
            while min(self.versions) < version:
                await asyncio.sleep(0.002)

    def close(self) -> None:
        for client in self.clients:
            client.close()


async def measure_watch_latency(name: str, port: int, leader_port: int, version: int) -> int:
    fleet = WatcherFleet(port)
    await fleet.wait_for_version(version)
    for n in range(WRITES):
        fleet.write_sent_s = time.perf_counter()
        await register_endpoint(leader_port, f"{name}-{n}")
        version += 1
        await fleet.wait_for_version(version)
    fleet.close()
    p50, p99 = (fleet.latency_us.get_value_at_percentile(p) / 1e3 for p in (50, 99))
    max_ms = fleet.latency_us.get_max_value() / 1e3
    count = fleet.latency_us.get_total_count()
    print(f"{name}: {count} notices, p50 {p50:.1f} ms, p99 {p99:.1f} ms, largest {max_ms:.1f} ms")
    return version


async def measure_quiet_list(port: int) -> None:
    proxy = CountingProxy(target_port=port)
    async with await proxy.start():
        fleet = WatcherFleet(proxy.port)
        await fleet.wait_for_version(1)
        proxy.connection_times_s.clear()
        await asyncio.sleep(QUIET_S)
        calls_per_minute = len(proxy.connection_times_s) / WATCHERS * 60.0 / QUIET_S
        print(
            f"quiet list for {QUIET_S:.0f} s: {len(proxy.connection_times_s)} calls, "
            f"{calls_per_minute:.2f} per client and minute"
        )
        fleet.close()


async def measure_reconnection(port: int, jitter: bool) -> None:
    proxy = CountingProxy(target_port=port)
    async with await proxy.start():
        fleet = WatcherFleet(proxy.port, jitter)
        await fleet.wait_for_version(1)
        proxy.connection_times_s.clear()
        start_s = time.perf_counter()
        proxy.set_fault(CUT)
        await asyncio.sleep(OUTAGE_S)
        proxy.set_fault(PASS)
        restored_s = time.perf_counter()
        version = int((await register_endpoint(port, f"after-{jitter}"))[1]["generation"])
        await fleet.wait_for_version(version)
        recovery_s = time.perf_counter() - restored_s
        fleet.close()
    calls_per_bin = Counter(int((time_s - start_s) / BIN_S) for time_s in proxy.connection_times_s)
    calls_per_second = Counter(int(time_s - start_s) for time_s in proxy.connection_times_s)
    print(
        f"herd {'with' if jitter else 'without'} jitter: {len(proxy.connection_times_s)} calls in "
        f"{OUTAGE_S + recovery_s:.1f} s, most in {BIN_S * 1e3:.0f} ms {max(calls_per_bin.values())}, "
        f"by second {[calls_per_second[n] for n in range(max(calls_per_second) + 1)]}; "
        f"all at the new version {recovery_s:.2f} s after its end"
    )


async def main() -> None:
    logging.getLogger("woadyard").setLevel(logging.ERROR)  # each client would log the outage
    with TemporaryDirectory() as folder:
        ports = [free_port(), free_port()]
        processes = [await start_registry(Path(folder) / "w", ports[0])]
        processes.append(await start_follower(Path(folder) / "r", ports[1], ports[0]))
        await register_endpoint(ports[0], "first")
        await wait_for_list(ports[1], has_version(1))
        version = await measure_watch_latency("writer", ports[0], ports[0], 1)
        version = await measure_watch_latency("replica", ports[1], ports[0], version)
        await measure_quiet_list(ports[0])
        for jitter in (False, True):
            await measure_reconnection(ports[0], jitter)
        assert (await call_registry(ports[0], "GET", INSTANCES_PATH))[0] == 200
        await kill_processes(*processes)


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
