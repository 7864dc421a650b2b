"""How long a change waits where the list service's writer is killed, and its members elect another.

Three members (`--elect`) as processes of their own, watchers (the sidecars' own discovery) and
a lease in this one. Each kill: SIGKILL of the writer, and at the same moment a change is asked
for at all members in turn until one answers it. `leads_s` is the time until another member says
that it leads, `answered_s` until the change is answered, `in_force_s` until the last watcher has
it (the budget: 9 s). The one that was killed is started again and follows before the next kill.
Every change answered before is looked for at the new writer; one that is missing, or a lease that
ended, fails the run. Before there were elections a writer was replaced by hand, so there is no
figure of that.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from msgspec import structs

from benchmarks.scale.points import Point, append_points
from tests.lab import Lab, Program, free_port
from tests.test_registry import ENTRY
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery
from woadyard.net.registry_client import RegistryClient

ROLE, PHASE = "writer", "failover"
MEMBERS, KILLS = 3, 10
LOOK_S, LAG_S, KILL_MOST_S = 0.01, 0.01, 60.0
LEASE_MS = 4_000
SIZES = (100,)  # watchers


@dataclass
class Lag:
    """How late this process's loop came to its timers, s, and its share of a core."""

    late: list[float] = field(default_factory=list)
    began: tuple[float, float] = field(default_factory=lambda: (time.perf_counter(), time.process_time()))

    async def run(self) -> None:
        while True:
            due = time.perf_counter() + LAG_S
            await asyncio.sleep(LAG_S)
            self.late.append(time.perf_counter() - due)

    def taken(self) -> tuple[float, float]:
        """p99 in ms and the share, since it was asked last."""
        now = time.perf_counter(), time.process_time()
        share = (now[1] - self.began[1]) / (now[0] - self.began[0])
        late, self.late, self.began = sorted(self.late), [], now
        return late[int(0.99 * len(late))] * 1e3 if late else 0.0, share


class Watcher:
    """One sidecar's discovery: when it was told of which name, and what left its list."""

    def __init__(self, ports: Sequence[int], seed: int) -> None:
        self.told: dict[str, float] = {}
        self.lost: set[str] = set()
        turn = seed % len(ports)
        first = [f"127.0.0.1:{port}" for port in (*ports[turn:], *ports[:turn])]
        loop = asyncio.get_running_loop()
        self.discovery = Discovery(loop, first[0], INSTANCES_PATH, True, self.listen, random.Random(seed))
        self.discovery.replicas = first
        self.discovery.set_watch(True)

    def listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        now, names = time.perf_counter(), {one["instanceId"] for one in entries}
        self.lost |= {one["instanceId"] for one in entries if one["lifecycle"] == "gone"}
        self.lost |= self.told.keys() - names if whole else set()
        for name in names - self.told.keys():
            self.told[name] = now


class Service:
    """The members, and calls to those that run."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.ports = lab, [free_port() for _ in range(MEMBERS)]
        self.members: list[Program] = []
        self.down: list[Program] = []

    async def start(self) -> None:
        def peers(own: int) -> str:
            return ",".join(f"127.0.0.1:{port}" for port in self.ports if port != own)

        started = (
            self.lab.service(f"m{n}", None, "--elect", "--peers", peers(port), port=port)
            for n, port in enumerate(self.ports)
        )
        self.members = await asyncio.gather(*started)
        for one in self.members:
            await one.wait_logged("membership standing changed", standing="member")

    @property
    def running(self) -> list[Program]:
        return [one for one in self.members if one not in self.down]

    async def leader(self) -> Program:
        while True:
            for one in self.running:
                if (await self.lab.call(one.port, "GET", "/registry/term")).json["leads"]:
                    return one
            await asyncio.sleep(LOOK_S)

    async def names(self, one: Program) -> set[str]:
        told = (await self.lab.call(one.port, "GET", INSTANCES_PATH)).json["instances"]
        return {entry["instanceId"] for entry in told}


async def one_kill(service: Service, watchers: list[Watcher], name: str) -> dict[str, float]:
    """The times of one, s since the kill."""
    killed = await service.leader()
    addresses = ",".join(f"127.0.0.1:{port}" for port in service.ports)
    client = RegistryClient(addresses, random.Random(name))
    service.down = [killed]
    began = time.perf_counter()
    await service.lab.kill(killed)

    async def leads() -> float:
        await service.leader()
        return time.perf_counter() - began

    async def answered() -> float:
        while not await client.write(
            "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms=3600000", ENTRY, lambda told: None
        ):
            await asyncio.sleep(client.backoff.next_delay_s())
        return time.perf_counter() - began

    leads_s, answered_s = await asyncio.gather(leads(), answered())
    while not all(name in one.told for one in watchers):
        await asyncio.sleep(LOOK_S)
    in_force_s = max(one.told[name] for one in watchers) - began
    return {"leads_s": leads_s, "answered_s": answered_s, "in_force_s": in_force_s}


async def play(folder: Path, size: int, lag: Lag) -> list[dict[str, float]]:
    """All kills at one number of watchers."""
    lab = Lab(folder)
    service = Service(lab)
    tasks: list[asyncio.Task[None]] = [asyncio.create_task(lag.run())]
    watchers: list[Watcher] = []
    try:
        await service.start()
        client = RegistryClient(",".join(f"127.0.0.1:{port}" for port in service.ports), random.Random(size))
        while not await client.write(
            "PUT", f"{INSTANCES_PATH}/leased?ttl_ms={LEASE_MS}", ENTRY, lambda told: None
        ):
            await asyncio.sleep(client.backoff.next_delay_s())
        tasks.append(
            asyncio.create_task(
                client.write_periodically(0.5, lambda: ("POST", f"{INSTANCES_PATH}/leased/renew", {}))
            )
        )
        watchers = [Watcher(service.ports, seed) for seed in range(size)]
        while not all("leased" in one.told for one in watchers):
            await asyncio.sleep(LOOK_S)
        found, answered = [], {"leased"}
        for n in range(KILLS):
            async with asyncio.timeout(KILL_MOST_S):
                found.append(await one_kill(service, watchers, f"k-{n}"))
                answered.add(f"k-{n}")
                missing = answered - await service.names(await service.leader())
                assert not missing, f"answered and lost: {missing}"
                for one in service.down:
                    one.start()
                    while not answered <= await service.names(one):
                        await asyncio.sleep(LOOK_S)
                service.down = []
                await asyncio.sleep(1.0)
        lost = set().union(*(one.lost for one in watchers))
        assert not lost, f"left a list: {lost}"
        return found
    finally:
        for task in tasks:
            task.cancel()
        for watcher in watchers:
            watcher.discovery.close()
        lab.close()


def measure(out: Path, sizes: Sequence[int], turns: int) -> None:
    """Write the points of `KILLS` kills at each number of watchers, so often."""
    logging.getLogger("woadyard").setLevel(logging.ERROR)
    run = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
    for size in sizes:
        for turn in range(1, turns + 1):
            lag = Lag()
            with TemporaryDirectory() as folder:
                found = asyncio.run(play(Path(folder), size, lag))
            late_ms, share = lag.taken()
            base = Point(
                run, ROLE, PHASE, size, "", "s", 0.0, turn=turn, driver_lag_p99_ms=round(late_ms, 1),
                driver_cpu=round(share, 3), load=round(os.getloadavg()[0], 1),
                note=f"{KILLS} kills of {MEMBERS} members; before: by hand",
            )  # fmt: skip
            points = []
            for metric in ("leads_s", "answered_s", "in_force_s"):
                values = [one[metric] for one in found]
                for kind, value in (("p50", statistics.median(values)), ("max", max(values))):
                    points.append(structs.replace(base, metric=f"{metric}_{kind}", value=round(value, 3)))
                print(f"{size} watchers, {metric}: {sorted(round(value, 2) for value in values)}")
            print(f"driver: loop late p99 {late_ms:.1f} ms, {share:.2f} of a core; load {base.load}")
            append_points(out, points)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--out", type=Path, default=Path("docs/capacity/failover.jsonl"))
    parser.add_argument("--sizes", type=int, nargs="+", default=[100])
    parser.add_argument("--turns", type=int, default=1)
    asked = parser.parse_args()
    measure(asked.out, asked.sizes, asked.turns)


if __name__ == "__main__":
    main()
