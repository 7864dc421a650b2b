"""The cost of gossip and limit leases by the number of sidecars: `python -m benchmarks.scale.exchange`.

Role `gossip` uses the stores of the benchmark benchmarks/gossip.py on a simulated clock, with names as
long as real ones; bytes are those of the bodies, without HTTP heads. Phases: `accusing`, one sidecar
in ten holds a verdict and renews it; `quiet`, none does; `news`, rounds until all sidecars have the
first verdict of one. Role `limits` runs the product's limit holders (`LimitShares`) in this process,
one for each sidecar, against a real list service; each holds shares of `ENDPOINTS_PER_SIDECAR`
endpoints. Measured are the answered calls, and the processor time and memory of the service.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import uvloop

from benchmarks import gossip
from benchmarks.scale import endpoint_lists, points, usage
from benchmarks.scale.points import Point
from benchmarks.scale.state import ENDPOINTS_PER_SIDECAR, LIMIT_ATTEMPTS
from tests.lab import Lab
from woadyard.net.limit_shares import LimitHooks, LimitShares
from woadyard.net.state import endpoint_number
from woadyard.shared.settings import SharedSettings

OUT = Path("docs/capacity/exchange.jsonl")
SIZES, TURNS = (100, 200, 400, 700, 1_100), 1
SIDECARS_PER_ACCUSER, NEWS_RUNS = 10, 5  # one sidecar in ten accuses; runs of `news` at each size
RENEWAL_SPREAD_S, MEASURE_S, START_TIMEOUT_S = 4.0, 20.0, 60.0  # leases are renewed every 3.3 s
DEADLINE_US = 2_000_000


def write_points(
    out: Path,
    run: str,
    role: str,
    phase: str,
    size: int,
    turn: int,
    driver_lag: tuple[float, float],
    **metrics: Any,
) -> None:
    units = {"_s": "s", "_rate": "messages/s", "_share": "s/s", "_rounds": "count", "_count": "count"}
    new_points = [
        Point(
            run, role, phase, size, metric,
            next((unit for suffix, unit in units.items() if metric.endswith(suffix)), "bytes"),
            float(value), "sidecars", turn, round(driver_lag[0], 3), round(driver_lag[1], 3),
            usage.load_1min(),
        )
        for metric, value in metrics.items()
    ]  # fmt: skip
    points.append_points(out, new_points)
    for point in new_points:
        usage.print_point(point)


def measure_gossip(out: Path, run: str, size: int, turn: int) -> None:
    """Measures gossip. No driver can be late, because the stores run on a simulated clock."""
    sidecar_names, no_lag = endpoint_lists.instance_ids(size), (0.0, 0.0)
    for phase, accusers in (("quiet", 0), ("accusing", max(1, size // SIDECARS_PER_ACCUSER))):
        rate = gossip.simulate_bytes_per_s(size, accusers, turn, sidecar_names)
        write_points(out, run, "gossip", phase, size, turn, no_lag, bytes_per_sidecar_and_second=rate)
    times = gossip.simulate_convergence(size, NEWS_RUNS, sidecar_names)
    rounds = {
        f"{name}_rounds": times.get_value_at_percentile(percent) / 1e3 / gossip.INTERVAL_MS
        for name, percent in (("p50", 50), ("p99", 99), ("last", 100))
    }
    write_points(out, run, "gossip", "news", size, turn, no_lag, **rounds)


class LimitHolders:
    """The limit holders of all sidecars; counts the grants they receive."""

    def __init__(self, service: str, size: int) -> None:
        self.grants_received = 0
        self.settings = SharedSettings("127.0.0.1:0", service, limit=LIMIT_ATTEMPTS)
        self.endpoint_keys = [endpoint_number(name) for name in endpoint_lists.instance_ids(size)]
        self.limit_shares = [
            self._new_holder(n, name) for n, name in enumerate(endpoint_lists.instance_ids(size))
        ]

    def _new_holder(self, index: int, name: str) -> LimitShares:
        held_endpoints = [
            self.endpoint_keys[(index + n) % len(self.endpoint_keys)] for n in range(ENDPOINTS_PER_SIDECAR)
        ]
        hooks = LimitHooks(lambda: held_endpoints, dict, lambda: DEADLINE_US, lambda caps, others: None)
        loop = asyncio.get_running_loop()
        holder = LimitShares(loop, self.settings, f"{name}@{index:08x}", hooks, random.Random(index))
        apply_grants = holder._apply_grants

        def count_grants(message: dict[str, Any]) -> None:
            apply_grants(message)
            self.grants_received += 1

        vars(holder)["_apply_grants"] = count_grants
        return holder

    async def open(self, spread_s: float) -> None:
        """Opens the holders one after another, so that their renewals are spread as in a real fleet."""
        for holder in self.limit_shares:
            holder.open()
            await asyncio.sleep(spread_s / len(self.limit_shares))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(holder.lease.caps for holder in self.limit_shares):
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        tasks = [holder.task for holder in self.limit_shares if holder.task is not None]
        for holder in self.limit_shares:
            if holder.expiry_timer is not None:
                holder.expiry_timer.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def measure_leases(out: Path, run: str, size: int, turn: int, seconds: float, spread_s: float) -> None:
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        service = await lab.service()
        pid = service.process.pid
        holders = LimitHolders(f"127.0.0.1:{service.port}", size)
        try:
            await holders.open(spread_s)
            lag, grants_before, cpu_before_s = usage.LoopMeter(), holders.grants_received, usage.cpu_s(pid)
            await asyncio.sleep(seconds)
            call_count, cpu_used_s = holders.grants_received - grants_before, usage.cpu_s(pid) - cpu_before_s
            driver_lag = lag.stop()
            holders_with_shares = sum(bool(holder.lease.caps) for holder in holders.limit_shares)
        finally:
            await holders.close()
        log = service.folder / "data" / "log"
        write_points(
            out, run, "limits", "quiet", size, turn, driver_lag,
            messages_rate=call_count / seconds, cpu_per_lease_s=cpu_used_s / max(1, call_count),
            cpu_share=cpu_used_s / seconds,
            rss_bytes=usage.rss_bytes(pid), log_bytes_by_then=log.stat().st_size,
            holders_without_share_count=size - holders_with_shares,
        )  # fmt: skip


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    seconds: float = MEASURE_S,
    spread_s: float = RENEWAL_SPREAD_S,
) -> None:
    """Appends the points of each turn and size as soon as they are measured."""
    run = usage.run_name()
    for turn in range(1, turns + 1):
        for size in sizes:
            measure_gossip(out, run, size, turn)
            uvloop.run(measure_leases(out, run, size, turn, seconds, spread_s))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.exchange", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="numbers of sidecars")
    parser.add_argument("--turns", type=int, default=TURNS)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns)


if __name__ == "__main__":
    main()
