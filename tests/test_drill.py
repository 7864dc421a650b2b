"""A writer killed, replaced and started again while links are dropped, late and cut."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.process import Process, free_port
from tests.sockets import run_test
from tests.test_registry import Watcher, ask, register, service
from tests.test_replicas import end
from tests.test_terms import instance_ids, next_log_event
from woadyard.lists.service import INSTANCES_PATH
from woadyard.standins import CUT, DELAY, DROP, PASS, Fault, FaultProxy

TERM_PATH = "/registry/term"


class Cluster:
    """Three processes of the list service, each reached by the others through a proxy."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.ports = folder, [free_port() for _ in range(3)]
        self.proxies = [FaultProxy(target=port) for port in self.ports]
        self.processes: dict[int, Process] = {}
        self.told: dict[tuple[Any, int], list[Any]] = {}  # (term, generation): the list
        self.answered: set[str] = set()
        self.rng = random.Random(11)

    async def start(self, who: int, follow: int | None = None) -> Process:
        """Each write is settled by one replica; peers are told by their proxies."""
        peers = ",".join(f"127.0.0.1:{one.port}" for n, one in enumerate(self.proxies) if n != who)
        more = ["--peers", peers, "--copies", "1", "--stale-after", "0.5"]
        if follow is not None:
            more += ["--follow", f"127.0.0.1:{self.proxies[follow].port}"]
        self.processes[who] = await service(self.folder / str(who), self.ports[who], *more)
        return self.processes[who]

    async def look(self) -> list[dict[str, Any]]:
        """The lists of all by now; each is the only one of its name."""
        found = [(await ask(self.ports[who], "GET", INSTANCES_PATH))[1] for who in self.processes]
        for one in found:
            key = one["term"], one["generation"]
            assert self.told.setdefault(key, one["instances"]) == one["instances"], "one name, two lists"
        return found

    async def write(self, who: int, count: int, tag: str) -> None:
        """Names kept where the write was answered; the links trouble meanwhile."""
        for n in range(count):
            if n % 4 == 0:
                proxy = self.rng.choice(self.proxies)
                late = Fault(DELAY, (0.0, 0.1))
                proxy.fault(self.rng.choice([Fault(), late, Fault(DROP), Fault(CUT)]))
            name = f"{tag}-{n}"
            if (await register(self.ports[who], name))[0] == 200:
                self.answered.add(name)
            await self.look()
            if n % 4 == 3:
                self.heal()

    def heal(self) -> None:
        for proxy in self.proxies:
            proxy.fault(CUT)  # what hangs in it is given up
            proxy.fault(PASS)

    async def longest(self, of: tuple[int, ...]) -> int:
        applied = {who: (await ask(self.ports[who], "GET", TERM_PATH))[1]["applied"] for who in of}
        return max(applied, key=lambda who: applied[who])

    async def alike(self) -> dict[str, Any]:
        while True:
            found = await self.look()
            if all(one == found[0] and "following" not in one for one in found):
                return found[0]
            await asyncio.sleep(0.05)


def test_every_answered_write_outlives_the_writer_and_all_end_alike(tmp_path: Path) -> None:
    async def main() -> None:
        async with AsyncExitStack() as stack:
            cluster = Cluster(tmp_path)
            for proxy in cluster.proxies:
                await stack.enter_async_context(await proxy.start())
            await cluster.start(0)
            for who in (1, 2):
                await cluster.start(who, follow=0)
            await cluster.alike()
            watcher = Watcher(cluster.ports[0], 3, 1)
            watcher.discovery.replicas = [f"127.0.0.1:{port}" for port in cluster.ports]
            await cluster.write(0, 12, "a")
            await end(cluster.processes.pop(0))
            cluster.heal()
            new = await cluster.longest((1, 2))
            await end(cluster.processes.pop(1), cluster.processes.pop(2))
            await cluster.start(new)
            await cluster.start(3 - new, follow=new)
            await cluster.write(new, 6, "b")
            # The old writer comes back as it was, and hears of nobody: it writes, to no avail.
            for proxy in cluster.proxies:
                proxy.fault(CUT)
            old = await cluster.start(0)
            assert (await register(cluster.ports[0], "lost"))[0] == 503
            await cluster.look()
            cluster.heal()
            await next_log_event(old, "records thrown away, the writer's state taken whole")
            await cluster.write(new, 6, "c")
            cluster.heal()
            assert (await register(cluster.ports[new], "last"))[0] == 200
            last = await cluster.alike()
            assert cluster.answered <= set(instance_ids(last)) and "lost" not in instance_ids(last)
            assert len(cluster.answered) > 8
            while watcher.names != set(instance_ids(last)):
                await asyncio.sleep(0.05)
            watcher.discovery.close()
            await end(*cluster.processes.values())

    run_test(main())
