"""What gossip and leases of limits cost by the number of sidecars: `python -m benchmarks.scale.exchange`.

Role `gossip`: the stores of the standing benchmark (benchmarks/gossip.py) on a clock of their own,
with names as long as real ones; bytes are those of the bodies, heads of HTTP left out. Phases:
`accusing`, one sidecar in ten holds a verdict and renews it; `quiet`, none does; `news`, rounds
until all hold one's first verdict. Role `limits`: the product's own holders (`Budget`), one for
each sidecar, in this process, at a real list service; each holds shares of `OWN` endpoints. Counted
are the calls that were answered, and the processor time and memory of the service.
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
from benchmarks.scale.state import LIMIT, OWN
from tests.lab import Lab
from woadyard.net.limit_shares import LimitHooks, LimitShares
from woadyard.net.state import endpoint_number
from woadyard.shared.settings import SharedSettings

OUT = Path("docs/capacity/exchange.jsonl")
SIZES, TURNS = (100, 200, 400, 700, 1_100), 1
ACCUSING, NEWS_RUNS = 10, 5  # one in so many; runs of the news at one size
SPREAD_S, SECONDS, START_S = 4.0, 20.0, 60.0  # leases are renewed every 3.3 s
DEADLINE_US = 2_000_000


def write(
    out: Path, run: str, role: str, phase: str, size: int, turn: int, lag: tuple[float, float], **found: Any
) -> None:
    units = {"_s": "s", "_rate": "messages/s", "_share": "s/s", "_rounds": "count", "_count": "count"}
    made = [
        Point(
            run, role, phase, size, metric,
            next((unit for end, unit in units.items() if metric.endswith(end)), "bytes"),
            float(value), "sidecars", turn, round(lag[0], 3), round(lag[1], 3), usage.load_1min(),
        )
        for metric, value in found.items()
    ]  # fmt: skip
    points.append_points(out, made)
    for point in made:
        usage.print_point(point)


def exchanged(out: Path, run: str, size: int, turn: int) -> None:
    """Of gossip. There is no driver that could be late: the clock is the stores' own."""
    named, none = endpoint_lists.instance_ids(size), (0.0, 0.0)
    for phase, accusers in (("quiet", 0), ("accusing", max(1, size // ACCUSING))):
        rate = gossip.simulate_bytes_per_s(size, accusers, turn, named)
        write(out, run, "gossip", phase, size, turn, none, bytes_per_sidecar_and_second=rate)
    times = gossip.simulate_convergence(size, NEWS_RUNS, named)
    rounds = {
        f"{name}_rounds": times.get_value_at_percentile(percent) / 1e3 / gossip.INTERVAL_MS
        for name, percent in (("p50", 50), ("p99", 99), ("last", 100))
    }
    write(out, run, "gossip", "news", size, turn, none, **rounds)


class Holders:
    """The holders of all sidecars; `answered` counts grants that came."""

    def __init__(self, service: str, size: int) -> None:
        self.answered = 0
        self.settings = SharedSettings("127.0.0.1:0", service, limit=LIMIT)
        self.known = [endpoint_number(name) for name in endpoint_lists.instance_ids(size)]
        self.all = [self._holder(n, name) for n, name in enumerate(endpoint_lists.instance_ids(size))]

    def _holder(self, at: int, name: str) -> LimitShares:
        own = [self.known[(at + n) % len(self.known)] for n in range(OWN)]
        hooks = LimitHooks(lambda: own, dict, lambda: DEADLINE_US, lambda caps, others: None)
        loop = asyncio.get_running_loop()
        made = LimitShares(loop, self.settings, f"{name}@{at:08x}", hooks, random.Random(at))
        granted = made._apply_grants

        def counted(told: dict[str, Any]) -> None:
            granted(told)
            self.answered += 1

        vars(made)["_apply_grants"] = counted
        return made

    async def open(self, spread_s: float) -> None:
        """One after another, so that their renewals are spread as those of a fleet are."""
        for one in self.all:
            one.open()
            await asyncio.sleep(spread_s / len(self.all))
        async with asyncio.timeout(START_S):
            while not all(one.lease.caps for one in self.all):
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        tasks = [one.task for one in self.all if one.task is not None]
        for one in self.all:
            if one.expiry_timer is not None:
                one.expiry_timer.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def leases(out: Path, run: str, size: int, turn: int, seconds: float, spread_s: float) -> None:
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        service = await lab.service()
        pid = service.process.pid
        holders = Holders(f"127.0.0.1:{service.port}", size)
        try:
            await holders.open(spread_s)
            lag, before, cpu = usage.LoopMeter(), holders.answered, usage.cpu_s(pid)
            await asyncio.sleep(seconds)
            calls, used = holders.answered - before, usage.cpu_s(pid) - cpu
            found = lag.stop()
            held = sum(bool(one.lease.caps) for one in holders.all)
        finally:
            await holders.close()
        log = service.folder / "data" / "log"
        write(
            out, run, "limits", "quiet", size, turn, found,
            messages_rate=calls / seconds, cpu_per_lease_s=used / max(1, calls), cpu_share=used / seconds,
            rss_bytes=usage.rss_bytes(pid), log_bytes_by_then=log.stat().st_size,
            holders_without_share_count=size - held,
        )  # fmt: skip


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    seconds: float = SECONDS,
    spread_s: float = SPREAD_S,
) -> None:
    """Appends the points of each turn and size as they are measured."""
    run = usage.run_name()
    for turn in range(1, turns + 1):
        for size in sizes:
            exchanged(out, run, size, turn)
            uvloop.run(leases(out, run, size, turn, seconds, spread_s))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.exchange", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="sidecars")
    parser.add_argument("--turns", type=int, default=TURNS)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns)


if __name__ == "__main__":
    main()
