"""How long a list change is delayed when the list service's leader is killed and another is elected.

Three members (`--elect`) run as processes of their own; the watchers (the sidecars' discovery) and a
lease run in this one. Each kill is a SIGKILL of the leader; at the same moment a change is requested
from all members in turn until one answers. `leads_s` is the time until another member reports that it
leads, `answered_s` until the change is answered, and `in_force_s` until the last watcher has received
it (the budget is 9 s). The killed member is started again and catches up before the next kill. Every
change answered before must be in the new leader's list; a missing one, or an expired lease, fails the
run. Before there were elections a leader was replaced by hand, so there is no figure to compare with.
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
MEMBERS, KILL_COUNT = 3, 10
POLL_INTERVAL_S, LAG_INTERVAL_S, KILL_TIMEOUT_S = 0.01, 0.01, 60.0
LEASE_MS = 4_000
SIZES = (100,)  # watchers


@dataclass
class LoopLag:
    """The delays of this process's event loop timers, s, and its share of a core."""

    delays_s: list[float] = field(default_factory=list)
    # Wall-clock and processor time at the last `collect`, s.
    period_start: tuple[float, float] = field(
        default_factory=lambda: (time.perf_counter(), time.process_time())
    )

    async def sample(self) -> None:
        while True:
            due_s = time.perf_counter() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.delays_s.append(time.perf_counter() - due_s)

    def collect(self) -> tuple[float, float]:
        """Returns the p99 delay in ms and the share of a core since the last call."""
        now = time.perf_counter(), time.process_time()
        share = (now[1] - self.period_start[1]) / (now[0] - self.period_start[0])
        delays_s, self.delays_s, self.period_start = sorted(self.delays_s), [], now
        return delays_s[int(0.99 * len(delays_s))] * 1e3 if delays_s else 0.0, share


class Watcher:
    """A sidecar's discovery: records when each name was first listed, and which were removed."""

    def __init__(self, ports: Sequence[int], seed: int) -> None:
        self.first_seen_s: dict[str, float] = {}
        self.removed_names: set[str] = set()
        first_index = seed % len(ports)
        addresses = [f"127.0.0.1:{port}" for port in (*ports[first_index:], *ports[:first_index])]
        loop = asyncio.get_running_loop()
        self.discovery = Discovery(
            loop, addresses[0], INSTANCES_PATH, True, self.list_received, random.Random(seed)
        )
        self.discovery.replicas = addresses
        self.discovery.set_watch(True)

    def list_received(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        now_s, names = time.perf_counter(), {entry["instanceId"] for entry in entries}
        self.removed_names |= {entry["instanceId"] for entry in entries if entry["lifecycle"] == "gone"}
        self.removed_names |= self.first_seen_s.keys() - names if is_full else set()
        for name in names - self.first_seen_s.keys():
            self.first_seen_s[name] = now_s


class Members:
    """The list service's members, and calls to the running ones."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.ports = lab, [free_port() for _ in range(MEMBERS)]
        self.programs: list[Program] = []
        self.stopped: list[Program] = []

    async def start(self) -> None:
        def peer_addresses(own_port: int) -> str:
            return ",".join(f"127.0.0.1:{port}" for port in self.ports if port != own_port)

        starting = (
            self.lab.service(f"m{n}", None, "--elect", "--peers", peer_addresses(port), port=port)
            for n, port in enumerate(self.ports)
        )
        self.programs = await asyncio.gather(*starting)
        for member in self.programs:
            await member.wait_logged("membership standing changed", standing="member")

    @property
    def running(self) -> list[Program]:
        return [member for member in self.programs if member not in self.stopped]

    async def wait_for_leader(self) -> Program:
        while True:
            for member in self.running:
                if (await self.lab.call(member.port, "GET", "/registry/term")).json["leads"]:
                    return member
            await asyncio.sleep(POLL_INTERVAL_S)

    async def listed_names(self, member: Program) -> set[str]:
        entries = (await self.lab.call(member.port, "GET", INSTANCES_PATH)).json["instances"]
        return {entry["instanceId"] for entry in entries}


async def measure_kill(members: Members, watchers: list[Watcher], name: str) -> dict[str, float]:
    """Kills the leader once; returns the measured times, s since the kill."""
    killed_leader = await members.wait_for_leader()
    addresses = ",".join(f"127.0.0.1:{port}" for port in members.ports)
    client = RegistryClient(addresses, random.Random(name))
    members.stopped = [killed_leader]
    killed_at_s = time.perf_counter()
    await members.lab.kill(killed_leader)

    async def wait_until_led() -> float:
        await members.wait_for_leader()
        return time.perf_counter() - killed_at_s

    async def wait_until_answered() -> float:
        while not await client.write(
            "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms=3600000", ENTRY, lambda body: None
        ):
            await asyncio.sleep(client.backoff.next_delay_s())
        return time.perf_counter() - killed_at_s

    leads_s, answered_s = await asyncio.gather(wait_until_led(), wait_until_answered())
    while not all(name in watcher.first_seen_s for watcher in watchers):
        await asyncio.sleep(POLL_INTERVAL_S)
    in_force_s = max(watcher.first_seen_s[name] for watcher in watchers) - killed_at_s
    return {"leads_s": leads_s, "answered_s": answered_s, "in_force_s": in_force_s}


async def run_kills(folder: Path, size: int, lag: LoopLag) -> list[dict[str, float]]:
    """Runs all kills with one number of watchers."""
    lab = Lab(folder)
    members = Members(lab)
    tasks: list[asyncio.Task[None]] = [asyncio.create_task(lag.sample())]
    watchers: list[Watcher] = []
    try:
        await members.start()
        client = RegistryClient(",".join(f"127.0.0.1:{port}" for port in members.ports), random.Random(size))
        while not await client.write(
            "PUT", f"{INSTANCES_PATH}/leased?ttl_ms={LEASE_MS}", ENTRY, lambda body: None
        ):
            await asyncio.sleep(client.backoff.next_delay_s())
        tasks.append(
            asyncio.create_task(
                client.write_periodically(0.5, lambda: ("POST", f"{INSTANCES_PATH}/leased/renew", {}))
            )
        )
        watchers = [Watcher(members.ports, seed) for seed in range(size)]
        while not all("leased" in each.first_seen_s for each in watchers):
            await asyncio.sleep(POLL_INTERVAL_S)
        results, answered_names = [], {"leased"}
        for n in range(KILL_COUNT):
            async with asyncio.timeout(KILL_TIMEOUT_S):
                results.append(await measure_kill(members, watchers, f"k-{n}"))
                answered_names.add(f"k-{n}")
                missing = answered_names - await members.listed_names(await members.wait_for_leader())
                assert not missing, f"answered changes missing at the new leader: {missing}"
                for member in members.stopped:
                    member.start()
                    while not answered_names <= await members.listed_names(member):
                        await asyncio.sleep(POLL_INTERVAL_S)
                members.stopped = []
                await asyncio.sleep(1.0)
        removed_names = set().union(*(each.removed_names for each in watchers))
        assert not removed_names, f"endpoints removed from a list: {removed_names}"
        return results
    finally:
        for task in tasks:
            task.cancel()
        for watcher in watchers:
            watcher.discovery.close()
        lab.close()


def measure(out: Path, sizes: Sequence[int], turns: int) -> None:
    """Appends the points of `KILL_COUNT` kills for each number of watchers and each turn."""
    logging.getLogger("woadyard").setLevel(logging.ERROR)
    run = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
    for size in sizes:
        for turn in range(1, turns + 1):
            lag = LoopLag()
            with TemporaryDirectory() as folder:
                results = asyncio.run(run_kills(Path(folder), size, lag))
            lag_p99_ms, cpu_share = lag.collect()
            template = Point(
                run, ROLE, PHASE, size, "", "s", 0.0, turn=turn, driver_lag_p99_ms=round(lag_p99_ms, 1),
                driver_cpu=round(cpu_share, 3), load=round(os.getloadavg()[0], 1),
                note=f"{KILL_COUNT} kills of {MEMBERS} members; before: by hand",
            )  # fmt: skip
            new_points = []
            for metric in ("leads_s", "answered_s", "in_force_s"):
                values = [times[metric] for times in results]
                for statistic, value in (("p50", statistics.median(values)), ("max", max(values))):
                    new_points.append(
                        structs.replace(template, metric=f"{metric}_{statistic}", value=round(value, 3))
                    )
                print(f"{size} watchers, {metric}: {sorted(round(value, 2) for value in values)}")
            print(
                f"driver: loop lag p99 {lag_p99_ms:.1f} ms, {cpu_share:.2f} of a core; load {template.load}"
            )
            append_points(out, new_points)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--out", type=Path, default=Path("docs/capacity/failover.jsonl"))
    parser.add_argument("--sizes", type=int, nargs="+", default=[100])
    parser.add_argument("--turns", type=int, default=1)
    arguments = parser.parse_args()
    measure(arguments.out, arguments.sizes, arguments.turns)


if __name__ == "__main__":
    main()
