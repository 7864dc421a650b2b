"""What a sidecar adds to a call, by the length of its list: `python -m benchmarks.scale.latency`.

A list service and a sidecar as processes, endpoints that answer at once in processes of their own,
and an open-loop caller in one more. It sends 310 requests a second through the sidecar and as many
straight to the same endpoints at the same time, each arm at its own drawn times. `added_p50_s` and
`added_p99_s` are differences of the arms' quantiles, not quantiles of differences: a call goes one
way or the other. Phases are the ways in which a sidecar may know its list: `inner`, as a tier's
only sidecar, so that it draws from all; `arcs`, with as many sidecars as entries, so that it draws
from its arc of the ring; `entry`, as `inner` where requests enter and admission looks at each.
`decision_s` is what the module's decisions take for one request, measured apart, in this process.
`steal_share` is what the machine's own host took of its cores meanwhile: it makes both arms late.
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
from benchmarks.scale.openloop import Plan
from benchmarks.scale.points import Point
from tests.lab import Lab, Program, call
from tests.sockets import SETTINGS
from woadyard.interface import LIST_FULL, OK, READY, Arrival, Entry, Outcome, Send
from woadyard.policy import Balancer
from woadyard.wire import read_settings

OUT = Path("docs/capacity/path.jsonl")
SIZES, TURNS = (9, 60, 1_100), 3
RATE, SEED = 310.0, 27
WARM_S, WARM_EACH, WARM_MOST_S, SECONDS = 3.0, 4, 15.0, 20.0  # each entry is met so often before
ORIGINS, REGISTER_AT_ONCE, LEASE_MS = 4, 8, 3_600_000
DECISIONS, SERVED_US = 20_000, 3_000
PHASES = ("inner", "arcs", "entry")


def settings(phase: str, size: int) -> dict[str, Any]:
    """The file's settings, in the zones of the size that is designed for."""
    told = {**SETTINGS, "zones": list(endpoint_lists.ZONES), "kinds": ["c7g-2xlarge"]}
    if phase == "entry":
        return {**told, "stage": 0}
    return {**told, "instances": size, "me": size // 2} if phase == "arcs" else told


class Rig:
    """The processes of one play."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.origins: list[Program] = []

    def python(self, name: str, *words: str) -> Program:
        return self.lab.run(Program(name, self.lab.folder / name, list(words), dict(os.environ)))

    async def start(self, phase: str, size: int) -> None:
        self.origins = [self.python(f"o{n}", "benchmarks.scale.origin") for n in range(ORIGINS)]
        for one in self.origins:
            one.port = (await one.wait_logged("listening"))["port"]
        service = await self.lab.service()
        listed = endpoint_lists.list_entries(size, [one.port for one in self.origins])
        for at in range(0, size, REGISTER_AT_ONCE):
            some = listed[at : at + REGISTER_AT_ONCE]
            each = (self.lab.register(service, one["instanceId"], one, LEASE_MS) for one in some)
            await asyncio.gather(*each)
        self.sidecar = await self.lab.sidecar(discovery=service, settings=settings(phase, size))
        await self.sidecar.wait_metric(f"woadyard_list_version {float(size)}")

    async def counts(self) -> dict[str, int]:
        """Of the sidecar's connections to the endpoints."""
        told = [(await call(one.port, "GET", "/_counts")).json for one in self.origins]
        return {key: sum(one[key].get("sidecar", 0) for one in told) for key in ("taken", "open")}

    async def play(self, plan: Plan) -> dict[str, Any]:
        """The driver's figures, with what the sidecar used while they were taken."""
        driver = self.python("driver", "benchmarks.scale.openloop", msgspec.json.encode(plan).decode())
        pid = self.sidecar.process.pid
        await driver.wait_logged("warm")
        cpu, stolen, before = usage.cpu_s(pid), usage.StealTime(), await self.counts()
        await driver.wait_logged("sent")
        cpu, steal, after = usage.cpu_s(pid) - cpu, stolen.share(), await self.counts()
        found = await driver.wait_logged("measured")
        await driver.wait_exit()
        return {
            **found, "steal": steal, "cpu_s": cpu, "rss_bytes": usage.rss_bytes(pid),
            "connects": after["taken"] - before["taken"], "open": after["open"],
        }  # fmt: skip


def figures(found: dict[str, Any]) -> Iterator[tuple[str, str, float]]:
    """Metric, unit and value of all that one play tells."""
    direct, through = found["arms"]["direct"], found["arms"]["sidecar"]
    for key in ("p50_s", "p99_s"):
        yield f"added_{key}", "s", through[key] - direct[key]
    for key in ("p50_s", "p90_s", "p99_s", "p99.9_s", "p100_s"):
        yield f"through_{key}", "s", through[key]
        yield f"direct_{key}", "s", direct[key]
    for name, arm in (("through", through), ("direct", direct)):
        yield f"{name}_requests", "count", arm["sent"]
        yield f"{name}_not_200", "count", arm["sent"] - arm["results"].get("200", 0)
        yield f"{name}_resent", "count", arm["resent"]
        for result, count in arm["results"].items():
            if result != "200":
                yield f"{name}_got_{result}", "count", count
    yield "cpu_s_per_request", "s", found["cpu_s"] / max(1, through["sent"])
    yield "rss_bytes", "bytes", found["rss_bytes"]
    yield "steal_share", "share", found["steal"]
    yield "connections_open", "count", found["open"]
    yield "connections_made_per_s", "count/s", found["connects"] / found["seconds"]


async def play(phase: str, size: int, plan: Plan) -> dict[str, Any]:
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        rig = Rig(lab)
        async with asyncio.timeout(plan.warm_s + plan.seconds + 60.0):
            await rig.start(phase, size)
            usage.log_progress(f"path {phase} at {size} entries: all are up")
            arms = {"sidecar": [rig.sidecar.port], "direct": [one.port for one in rig.origins]}
            found = await rig.play(msgspec.structs.replace(plan, arms=arms))
    return {**found, "seconds": plan.seconds}


def decision_s(phase: str, size: int) -> float:
    """Processor time that the module takes for a request answered at once, without a process around."""
    made = read_settings(json.dumps(settings(phase, size)).encode())
    balancer, step = Balancer(SEED, made), int(1e6 / RATE)
    balancer.start(0)
    listed = [Entry(100 + n, READY, 0, 1.0, n // 4, n % 10, 0) for n in range(size)]
    balancer.members(0, LIST_FULL, listed)
    took, now = 0.0, 0
    for rid in range(1, DECISIONS + 1):
        now += step
        began = time.process_time()
        actions = balancer.request(now, Arrival(rid, 0, now + 4_000_000))
        (sent,) = [one for one in actions if isinstance(one, Send)]
        balancer.outcome(now + SERVED_US, Outcome(rid, 0, sent.endpoint, OK, SERVED_US, True))
        took += time.process_time() - began
    return took / DECISIONS


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    phases: Sequence[str] = PHASES,
    seconds: float = SECONDS,
    warm_s: float = WARM_S,
    rate: float = RATE,
    first_turn: int = 1,
) -> None:
    """Appends the points of each turn, phase and size, in this order, as they are measured."""
    run = usage.run_name()

    def write(
        turn: int, phase: str, size: int, driver: dict[str, Any], *found: tuple[str, str, float]
    ) -> None:
        made = [
            Point(
                run, "path", phase, size, metric, unit, float(value), "entries", turn,
                driver.get("lag_p99_ms", 0.0), round(driver.get("cpu", 0.0), 3), usage.load_1min(),
            )
            for metric, unit, value in found
        ]  # fmt: skip
        points.append_points(out, made)
        for point in made:
            usage.print_point(point)

    for turn in range(first_turn, first_turn + turns):
        for phase in phases:
            for size in sizes:
                write(turn, phase, size, {}, ("decision_s", "s", decision_s(phase, size)))
                warm = min(WARM_MOST_S, warm_s + WARM_EACH * size / rate)
                plan = Plan(SEED + turn, rate, warm, seconds, {})
                found = asyncio.run(play(phase, size, plan))
                write(turn, phase, size, found, *figures(found))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.latency", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="entries listed")
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--phases", nargs="+", default=PHASES, choices=PHASES)
    parser.add_argument("--first-turn", type=int, default=1, help="of turns that are run one by one")
    options = parser.parse_args()
    first = options.first_turn
    measure(options.out, options.sizes, options.turns, options.phases, first_turn=first)


if __name__ == "__main__":
    main()
