"""The cost of metrics on the hot path, and the latency of the admin listener under load.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m
benchmarks.metrics_cost`. Prints the requests per second of one sidecar on
loopback with metrics (`Metrics`) and without (`NullMetrics`), in alternating turns, and the
slowest and median response times of `/_metrics` from a sidecar process under load that
also holds idle connections. Results depend on the machine: compare only within one run.
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
REQUEST_NUMBERS = count()  # the sidecar rejects a repeated X-Request-Id


async def measure_request_rate(port: int, requests: int = REQUESTS) -> float:
    """Send `requests` over `CONNECTIONS` keep-alive connections; return the requests per second."""
    remaining = list(range(requests))

    async def send_requests() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while remaining:
            remaining.pop()
            writer.write(http_request(rid=f"r{next(REQUEST_NUMBERS)}"))
            await read_message(reader)
        writer.close()

    start_s = time.perf_counter()
    await asyncio.gather(*(send_requests() for _ in range(CONNECTIONS)))
    return requests / (time.perf_counter() - start_s)


async def compare_hot_path() -> None:
    async with run_sidecar(Endpoint()) as sidecar:
        await measure_request_rate(sidecar.port, 500)  # warm-up
        rates: dict[str, list[float]] = {"Metrics": [], "NullMetrics": []}
        for _ in range(TURNS):
            for kind in (Metrics, NullMetrics):
                sidecar.driver.dispatcher.metrics = kind()
                rates[kind.__name__].append(await measure_request_rate(sidecar.port))
    for name, kind_rates in rates.items():
        print(
            f"{name:8} requests/s median {statistics.median(kind_rates):7.0f}  "
            f"all {[round(rate) for rate in kind_rates]}"
        )


async def measure_admin_latency() -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    with TemporaryDirectory() as folder:
        async with await endpoint.start(), await registry.start():
            process, port, admin_port = await start_ready_sidecar(Path(folder), registry, endpoint)
            idle_connections = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE_CONNECTIONS)
            ]
            load_task = asyncio.ensure_future(measure_request_rate(port))
            latencies_s = []
            while not load_task.done():
                start_s = time.perf_counter()
                await http_call(admin_port, "GET", "/_metrics")
                latencies_s.append(time.perf_counter() - start_s)
            rate = await load_task
            for _, writer in idle_connections:
                writer.close()
            process.terminate()
            await process.wait()
    print(
        f"admin /_metrics under {rate:.0f} requests/s and {IDLE_CONNECTIONS} idle connections: "
        f"{len(latencies_s)} calls, median {statistics.median(latencies_s) * 1e3:.1f} ms, "
        f"slowest {max(latencies_s) * 1e3:.1f} ms"
    )


async def main() -> None:
    await compare_hot_path()
    await measure_admin_latency()


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
