"""Start-up time, memory and CPU time per request of a sidecar, compared with another checkout.

`.venv-dev/bin/python -m benchmarks.start OTHER` starts the sidecar of the checkout OTHER and of
this one in alternating turns, from the same configuration with an admin listener. It prints for
each: the time from the start until `/_ready` first succeeds, the memory (RSS) at that point, and
the CPU time per request under load on loopback, with the ratio of the medians. Compare only
within one run.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.metrics_cost import measure_request_rate
from tests.process import Process, free_port, sidecar_environ, wait_until_ready
from tests.sockets import Endpoint, FakeDiscovery

TURNS, REQUESTS = 7, 3_000


@dataclass
class Measurements:
    """The results for one checkout, one value per turn."""

    ready_ms: list[float] = field(default_factory=list)
    rss_mb: list[float] = field(default_factory=list)
    cpu_us: list[float] = field(default_factory=list)  # per request


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e9


def rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def start_sidecar(checkout: Path, environ: dict[str, str]) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", cwd=checkout, env=environ, stderr=asyncio.subprocess.DEVNULL
    )


async def measure(
    checkout: Path, measurements: Measurements, registry: FakeDiscovery, endpoint: Endpoint
) -> None:
    with TemporaryDirectory() as folder:
        port, admin_port = free_port(), free_port()
        environ = sidecar_environ(Path(folder), registry, endpoint)
        environ |= {"LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{admin_port}"}
        start_s = time.perf_counter()
        process = await start_sidecar(checkout, environ)
        try:
            await wait_until_ready(admin_port)
            measurements.ready_ms.append((time.perf_counter() - start_s) * 1e3)
            measurements.rss_mb.append(rss_mb(process.pid))
            await measure_request_rate(port, 500)  # warm-up
            cpu_before_s = cpu_s(process.pid)
            await measure_request_rate(port, REQUESTS)
            measurements.cpu_us.append((cpu_s(process.pid) - cpu_before_s) / REQUESTS * 1e6)
        finally:
            process.kill()
            await process.wait()


async def main(other_checkout: Path) -> None:
    checkouts = {
        "other": (other_checkout, Measurements()),
        "this": (Path(__file__).parent.parent, Measurements()),
    }
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        for turn in range(TURNS):
            order = list(checkouts.values())
            for checkout, measurements in order if turn % 2 else reversed(order):
                await measure(checkout, measurements, registry, endpoint)
    for metric in ("ready_ms", "rss_mb", "cpu_us"):
        medians = [statistics.median(getattr(measurements, metric)) for _, measurements in checkouts.values()]
        ratios = [
            this / other
            for other, this in zip(
                *(getattr(measurements, metric) for _, measurements in checkouts.values()), strict=True
            )
        ]
        summary = " ".join(
            f"{name} {median_value:.1f}" for name, median_value in zip(checkouts, medians, strict=True)
        )
        low, high = min(ratios), max(ratios)
        print(f"{metric:8} {summary}, ratio {medians[1] / medians[0]:.3f}, in pairs {low:.3f} to {high:.3f}")


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]).resolve()))
