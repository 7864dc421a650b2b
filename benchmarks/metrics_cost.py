"""What counting costs on the hot path, and how soon the door answers under load.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m
benchmarks.metrics_cost`. Prints requests per second of one sidecar on
loopback with counts kept (`Metrics`) and without (`NullMetrics`), in turns, and the
slowest and median answers of `/_metrics` from a sidecar process under load
beside idle connections. Numbers vary with the machine: compare within a run.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.process import http_call, start_ready_sidecar
from tests.sockets import Endpoint, FakeDiscovery, http_request, read_message, run_sidecar
from woadyard.ops.metrics import Metrics, NullMetrics

REQUESTS, CONNECTIONS, TURNS, IDLE_CONNECTIONS = 4_000, 32, 4, 100
REQUEST_NUMBERS = count()  # a repeated X-Request-Id is turned down


async def measure_request_rate(port: int, requests: int = REQUESTS) -> float:
    """Requests per second over `AT_ONCE` keep-alive connections."""
    todo = list(range(requests))

    async def caller() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while todo:
            todo.pop()
            writer.write(http_request(rid=f"r{next(REQUEST_NUMBERS)}"))
            await read_message(reader)
        writer.close()

    began = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(CONNECTIONS)))
    return requests / (time.perf_counter() - began)


async def compare_hot_path() -> None:
    async with run_sidecar(Endpoint()) as one:
        await measure_request_rate(one.port, 500)  # warm
        rates: dict[str, list[float]] = {"Metrics": [], "NullMetrics": []}
        for _ in range(TURNS):
            for kind in (Metrics, NullMetrics):
                one.driver.dispatcher.metrics = kind()
                rates[kind.__name__].append(await measure_request_rate(one.port))
    for name, found in rates.items():
        print(f"{name:8} requests/s median {statistics.median(found):7.0f}  all {[round(r) for r in found]}")


async def measure_admin_latency() -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    with TemporaryDirectory() as folder:
        async with await endpoint.start(), await registry.start():
            process, port, door = await start_ready_sidecar(Path(folder), registry, endpoint)
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE_CONNECTIONS)]
            running = asyncio.ensure_future(measure_request_rate(port))
            took = []
            while not running.done():
                began = time.perf_counter()
                await http_call(door, "GET", "/_metrics")
                took.append(time.perf_counter() - began)
            rate = await running
            for _, writer in idle:
                writer.close()
            process.terminate()
            await process.wait()
    print(
        f"door /_metrics under {rate:.0f} requests/s and {IDLE_CONNECTIONS} idle connections: "
        f"{len(took)} calls, median {statistics.median(took) * 1e3:.1f} ms, slowest {max(took) * 1e3:.1f} ms"
    )


async def main() -> None:
    await compare_hot_path()
    await measure_admin_latency()


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
