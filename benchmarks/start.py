"""What a sidecar costs at rest and for each request, against another checkout of the project.

`.venv-dev/bin/python -m benchmarks.start OTHER` starts the sidecar of OTHER and of this
checkout in turns, from one configuration with a door, and prints for each: time from the
start to its first yes on `/_ready`, memory (RSS) then, and its processor time for each
request of a load on loopback, with the ratio of the medians. Compare within a run.
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
    ready_ms: list[float] = field(default_factory=list)
    rss_mb: list[float] = field(default_factory=list)
    cpu_us: list[float] = field(default_factory=list)  # for one request


def cpu_s(pid: int) -> float:
    parts = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(parts[0]) / 1e9


def rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def start_sidecar(checkout: Path, environ: dict[str, str]) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", cwd=checkout, env=environ, stderr=asyncio.subprocess.DEVNULL
    )


async def measure(checkout: Path, found: Measurements, registry: FakeDiscovery, endpoint: Endpoint) -> None:
    with TemporaryDirectory() as folder:
        port, door = free_port(), free_port()
        environ = sidecar_environ(Path(folder), registry, endpoint)
        environ |= {"LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}"}
        began = time.perf_counter()
        process = await start_sidecar(checkout, environ)
        try:
            await wait_until_ready(door)
            found.ready_ms.append((time.perf_counter() - began) * 1e3)
            found.rss_mb.append(rss_mb(process.pid))
            await measure_request_rate(port, 500)  # warm
            before = cpu_s(process.pid)
            await measure_request_rate(port, REQUESTS)
            found.cpu_us.append((cpu_s(process.pid) - before) / REQUESTS * 1e6)
        finally:
            process.kill()
            await process.wait()


async def main(other: Path) -> None:
    kinds = {"other": (other, Measurements()), "this": (Path(__file__).parent.parent, Measurements())}
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        for turn in range(TURNS):
            order = list(kinds.values())
            for checkout, found in order if turn % 2 else reversed(order):
                await measure(checkout, found, registry, endpoint)
    for what in ("ready_ms", "rss_mb", "cpu_us"):
        medians = [statistics.median(getattr(found, what)) for _, found in kinds.values()]
        ratios = [b / a for a, b in zip(*(getattr(found, what) for _, found in kinds.values()), strict=True)]
        shown = " ".join(f"{name} {one:.1f}" for name, one in zip(kinds, medians, strict=True))
        low, high = min(ratios), max(ratios)
        print(f"{what:8} {shown}, ratio {medians[1] / medians[0]:.3f}, in pairs {low:.3f} to {high:.3f}")


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]).resolve()))
