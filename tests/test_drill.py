"""A leader is killed, replaced and restarted while connections are dropped, delayed and cut."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.process import Process, free_port
from tests.sockets import run_test
from tests.test_registry import Watcher, call_registry, register_endpoint, start_registry
from tests.test_replicas import kill_processes
from tests.test_terms import instance_ids, next_log_event
from woadyard.lists.service import INSTANCES_PATH
from woadyard.standins import CUT, DELAY, DROP, PASS, Fault, FaultProxy

TERM_PATH = "/registry/term"


class Cluster:
    """Three processes of the list service that reach each other through fault proxies."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ports = folder, [free_port() for _ in range(3)]
        self.proxies = [FaultProxy(target_port=port) for port in self.ports]
        self.processes: dict[int, Process] = {}
        self.lists_by_version: dict[tuple[Any, int], list[Any]] = {}  # by (term, generation)
        self.acknowledged: set[str] = set()
        self.rng = random.Random(11)

    async def start(self, member: int, follow: int | None = None) -> Process:
        """Start a member that waits for one follower per write; its peers are the proxies' addresses."""
        peers = ",".join(f"127.0.0.1:{proxy.port}" for n, proxy in enumerate(self.proxies) if n != member)
        arguments = ["--peers", peers, "--copies", "1", "--stale-after", "0.5"]
        if follow is not None:
            arguments += ["--follow", f"127.0.0.1:{self.proxies[follow].port}"]
        self.processes[member] = await start_registry(
            self.folder / str(member), self.ports[member], *arguments
        )
        return self.processes[member]

    async def check_lists(self) -> list[dict[str, Any]]:
        """Return all members' current lists; equal (term, generation) must mean equal lists."""
        lists = [
            (await call_registry(self.ports[member], "GET", INSTANCES_PATH))[1] for member in self.processes
        ]
        for listing in lists:
            key = listing["term"], listing["generation"]
            assert self.lists_by_version.setdefault(key, listing["instances"]) == listing["instances"], (
                "two lists have the same term and generation"
            )
        return lists

    async def write(self, member: int, count: int, tag: str) -> None:
        """Register endpoints while connections fail; remember the names of acknowledged writes."""
        for n in range(count):
            if n % 4 == 0:
                proxy = self.rng.choice(self.proxies)
                delay = Fault(DELAY, (0.0, 0.1))
                proxy.set_fault(self.rng.choice([Fault(), delay, Fault(DROP), Fault(CUT)]))
            name = f"{tag}-{n}"
            if (await register_endpoint(self.ports[member], name))[0] == 200:
                self.acknowledged.add(name)
            await self.check_lists()
            if n % 4 == 3:
                self.clear_faults()

    def clear_faults(self) -> None:
        for proxy in self.proxies:
            proxy.set_fault(CUT)  # aborts what hangs in the proxy
            proxy.set_fault(PASS)

    async def member_with_longest_log(self, members: tuple[int, ...]) -> int:
        applied = {
            member: (await call_registry(self.ports[member], "GET", TERM_PATH))[1]["applied"]
            for member in members
        }
        return max(applied, key=lambda member: applied[member])

    async def wait_for_equal_lists(self) -> dict[str, Any]:
        while True:
            lists = await self.check_lists()
            if all(listing == lists[0] and "following" not in listing for listing in lists):
                return lists[0]
            await asyncio.sleep(0.05)


def test_acknowledged_writes_survive_leader_loss_and_members_converge(tmp_path: Path) -> None:
    async def main() -> None:
        async with AsyncExitStack() as stack:
            cluster = Cluster(tmp_path)
            for proxy in cluster.proxies:
                await stack.enter_async_context(await proxy.start())
            await cluster.start(0)
            for member in (1, 2):
                await cluster.start(member, follow=0)
            await cluster.wait_for_equal_lists()
            watcher = Watcher(cluster.ports[0], 3, 1)
            watcher.discovery.replicas = [f"127.0.0.1:{port}" for port in cluster.ports]
            await cluster.write(0, 12, "a")
            await kill_processes(cluster.processes.pop(0))
            cluster.clear_faults()
            new_leader = await cluster.member_with_longest_log((1, 2))
            await kill_processes(cluster.processes.pop(1), cluster.processes.pop(2))
            await cluster.start(new_leader)
            await cluster.start(3 - new_leader, follow=new_leader)
            await cluster.write(new_leader, 6, "b")
            # The old leader restarts with its log and reaches no other member: no write is acknowledged.
            for proxy in cluster.proxies:
                proxy.set_fault(CUT)
            old_leader = await cluster.start(0)
            assert (await register_endpoint(cluster.ports[0], "lost"))[0] == 503
            await cluster.check_lists()
            cluster.clear_faults()
            await next_log_event(old_leader, "records thrown away, the writer's state taken whole")
            await cluster.write(new_leader, 6, "c")
            cluster.clear_faults()
            assert (await register_endpoint(cluster.ports[new_leader], "last"))[0] == 200
            last = await cluster.wait_for_equal_lists()
            assert cluster.acknowledged <= set(instance_ids(last)) and "lost" not in instance_ids(last)
            assert len(cluster.acknowledged) > 8
            while watcher.names != set(instance_ids(last)):
                await asyncio.sleep(0.05)
            watcher.discovery.close()
            await kill_processes(*cluster.processes.values())

    run_test(main())
