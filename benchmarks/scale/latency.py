"""The latency that a sidecar adds, by the length of its list: `python -m benchmarks.scale.latency`.

The list service, the sidecar, the endpoints (which respond at once) and an open-loop client run as
processes of their own. The client sends 310 requests a second through the sidecar and as many
directly to the same endpoints at the same time, each arm at its own random times. `added_p50_s` and
`added_p99_s` are differences of the arms' quantiles, not quantiles of differences, because a request
takes only one of the ways. Phases: `inner`, the only sidecar of its tier, which selects among all
entries; `arcs`, as many sidecars as entries, so that it selects from its arc of the ring; `entry`,
as `inner`, but at the stage where requests enter and admission checks each of them. `decision_s` is
the processor time of the module's decisions for one request, measured separately in this process.
`steal_share` is the share of the cores that the machine's host took meanwhile, which delays both arms.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from collections.abc import Iterator, Sequence
from contextlib import closing
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec

from benchmarks.scale import endpoint_lists, points, usage
from benchmarks.scale.openloop import LoadPlan
from benchmarks.scale.points import Point
from tests.lab import Lab, Program, call
from tests.sockets import SETTINGS
from woadyard.interface import LIST_FULL, OK, READY, Arrival, Entry, Outcome, Send
from woadyard.policy import Balancer
from woadyard.wire import read_settings

OUT = Path("docs/capacity/path.jsonl")
SIZES, TURNS = (9, 60, 1_100), 3
RATE, SEED = 310.0, 27  # requests a second
WARM_UP_S, WARM_UP_REQUESTS_PER_ENTRY, MAX_WARM_UP_S, MEASURE_S = (
    3.0,
    4,
    15.0,
    20.0,
)  # each entry is sent to so often before measuring
ORIGIN_COUNT, CONCURRENT_REGISTRATIONS, LEASE_MS = 4, 8, 3_600_000
DECISIONS, SERVICE_TIME_US = 20_000, 3_000
PHASES = ("inner", "arcs", "entry")


def sidecar_settings(phase: str, size: int) -> dict[str, Any]:
    """The sidecar's settings file, with the zones of the fleet size that the design assumes."""
    base = {**SETTINGS, "zones": list(endpoint_lists.ZONES), "kinds": ["c7g-2xlarge"]}
    if phase == "entry":
        return {**base, "stage": 0}
    return {**base, "instances": size, "me": size // 2} if phase == "arcs" else base


class Testbed:
    """The processes of one run."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.origins: list[Program] = []

    def run_module(self, name: str, *arguments: str) -> Program:
        return self.lab.run(Program(name, self.lab.folder / name, list(arguments), dict(os.environ)))

    async def start(self, phase: str, size: int) -> None:
        self.origins = [self.run_module(f"o{n}", "benchmarks.scale.origin") for n in range(ORIGIN_COUNT)]
        for origin in self.origins:
            origin.port = (await origin.wait_logged("listening"))["port"]
        list_service = await self.lab.service()
        listed_entries = endpoint_lists.list_entries(size, [origin.port for origin in self.origins])
        for first in range(0, size, CONCURRENT_REGISTRATIONS):
            batch = listed_entries[first : first + CONCURRENT_REGISTRATIONS]
            registrations = (
                self.lab.register(list_service, entry["instanceId"], entry, LEASE_MS) for entry in batch
            )
            await asyncio.gather(*registrations)
        self.sidecar = await self.lab.sidecar(discovery=list_service, settings=sidecar_settings(phase, size))
        await self.sidecar.wait_metric(f"woadyard_list_version {float(size)}")

    async def connection_counts(self) -> dict[str, int]:
        """How many connections of the sidecar the endpoints accepted so far, and how many are open."""
        counts = [(await call(origin.port, "GET", "/_counts")).json for origin in self.origins]
        return {key: sum(count[key].get("sidecar", 0) for count in counts) for key in ("taken", "open")}

    async def measure_plan(self, plan: LoadPlan) -> dict[str, Any]:
        """Returns the driver's figures with the resources that the sidecar used meanwhile."""
        driver = self.run_module("driver", "benchmarks.scale.openloop", msgspec.json.encode(plan).decode())
        pid = self.sidecar.process.pid
        await driver.wait_logged("warm")
        cpu_used_s, steal, before = usage.cpu_s(pid), usage.StealTime(), await self.connection_counts()
        await driver.wait_logged("sent")
        cpu_used_s, steal_share, after = (
            usage.cpu_s(pid) - cpu_used_s,
            steal.share(),
            await self.connection_counts(),
        )
        driver_figures = await driver.wait_logged("measured")
        await driver.wait_exit()
        return {
            **driver_figures, "steal": steal_share, "cpu_s": cpu_used_s, "rss_bytes": usage.rss_bytes(pid),
            "connects": after["taken"] - before["taken"], "open": after["open"],
        }  # fmt: skip


def compute_metrics(measured: dict[str, Any]) -> Iterator[tuple[str, str, float]]:
    """Yields metric, unit and value of all that one run measured."""
    direct, through = measured["arms"]["direct"], measured["arms"]["sidecar"]
    for key in ("p50_s", "p99_s"):
        yield f"added_{key}", "s", through[key] - direct[key]
    for key in ("p50_s", "p90_s", "p99_s", "p99.9_s", "p100_s"):
        yield f"through_{key}", "s", through[key]
        yield f"direct_{key}", "s", direct[key]
    for name, arm_results in (("through", through), ("direct", direct)):
        yield f"{name}_requests", "count", arm_results["sent"]
        yield f"{name}_not_200", "count", arm_results["sent"] - arm_results["results"].get("200", 0)
        yield f"{name}_resent", "count", arm_results["resent"]
        for result, count in arm_results["results"].items():
            if result != "200":
                yield f"{name}_got_{result}", "count", count
    yield "cpu_s_per_request", "s", measured["cpu_s"] / max(1, through["sent"])
    yield "rss_bytes", "bytes", measured["rss_bytes"]
    yield "steal_share", "share", measured["steal"]
    yield "connections_open", "count", measured["open"]
    yield "connections_made_per_s", "count/s", measured["connects"] / measured["seconds"]


async def run_plan(phase: str, size: int, plan: LoadPlan) -> dict[str, Any]:
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        testbed = Testbed(lab)
        async with asyncio.timeout(plan.warm_s + plan.seconds + 60.0):
            await testbed.start(phase, size)
            usage.log_progress(f"path {phase} at {size} entries: all are up")
            arms = {"sidecar": [testbed.sidecar.port], "direct": [origin.port for origin in testbed.origins]}
            measured = await testbed.measure_plan(msgspec.structs.replace(plan, arms=arms))
    return {**measured, "seconds": plan.seconds}


def measure_decision_s(phase: str, size: int) -> float:
    """Processor time of the module for a request served at once, measured without a sidecar process."""
    balancer_settings = read_settings(json.dumps(sidecar_settings(phase, size)).encode())
    balancer, interval_us = Balancer(SEED, balancer_settings), int(1e6 / RATE)
    balancer.start(0)
    entries = [Entry(100 + n, READY, 0, 1.0, n // 4, n % 10, 0) for n in range(size)]
    balancer.members(0, LIST_FULL, entries)
    cpu_s, now_us = 0.0, 0
    for request_id in range(1, DECISIONS + 1):
        now_us += interval_us
        started_at_s = time.process_time()
        actions = balancer.request(now_us, Arrival(request_id, 0, now_us + 4_000_000))
        (send,) = [action for action in actions if isinstance(action, Send)]
        balancer.outcome(
            now_us + SERVICE_TIME_US, Outcome(request_id, 0, send.endpoint, OK, SERVICE_TIME_US, True)
        )
        cpu_s += time.process_time() - started_at_s
    return cpu_s / DECISIONS


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    phases: Sequence[str] = PHASES,
    seconds: float = MEASURE_S,
    warm_s: float = WARM_UP_S,
    rate: float = RATE,
    first_turn: int = 1,
) -> None:
    """Appends the points of each turn, phase and size, in this order, as soon as they are measured."""
    run = usage.run_name()

    def write(
        turn: int, phase: str, size: int, driver_figures: dict[str, Any], *metrics: tuple[str, str, float]
    ) -> None:
        new_points = [
            Point(
                run, "path", phase, size, metric, unit, float(value), "entries", turn,
                driver_figures.get("lag_p99_ms", 0.0), round(driver_figures.get("cpu", 0.0), 3),
                usage.load_1min(),
            )
            for metric, unit, value in metrics
        ]  # fmt: skip
        points.append_points(out, new_points)
        for point in new_points:
            usage.print_point(point)

    for turn in range(first_turn, first_turn + turns):
        for phase in phases:
            for size in sizes:
                write(turn, phase, size, {}, ("decision_s", "s", measure_decision_s(phase, size)))
                warm_up_s = min(MAX_WARM_UP_S, warm_s + WARM_UP_REQUESTS_PER_ENTRY * size / rate)
                plan = LoadPlan(SEED + turn, rate, warm_up_s, seconds, {})
                metrics = asyncio.run(run_plan(phase, size, plan))
                write(turn, phase, size, metrics, *compute_metrics(metrics))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.latency", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="numbers of listed entries")
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--phases", nargs="+", default=PHASES, choices=PHASES)
    parser.add_argument(
        "--first-turn", type=int, default=1, help="number of the first turn, if turns are run one by one"
    )
    options = parser.parse_args()
    first = options.first_turn
    measure(options.out, options.sizes, options.turns, options.phases, first_turn=first)


if __name__ == "__main__":
    main()
