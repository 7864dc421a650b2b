"""Three processes of one log that elect their writer: killed, cut off, and all started anew."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from tests.lab import POLL_INTERVAL_S, HttpResponse, Lab, Program, free_port
from tests.test_registry import ENTRY, Watcher
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.registry_client import RegistryClient
from woadyard.standins import CUT, PASS, FaultProxy

ELECTED = "elected: this process writes"
LEASE_MS = 4_000


class Members:
    """Three of them; each reaches each other by a proxy of its own, where `links`."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.ports = [free_port() for _ in range(3)]
        self.all: list[Program] = []
        self.links: dict[tuple[int, int], FaultProxy] = {}

    async def start(self, links: bool = False) -> Members:
        pairs = [(here, there) for here in range(3) for there in range(3) if here != there]
        if links:
            self.links = {pair: await self.lab.proxy(self.ports[pair[1]]) for pair in pairs}

        def peers(one: int) -> str:
            ports = [
                self.links[pair].port if links else self.ports[pair[1]] for pair in pairs if pair[0] == one
            ]
            return ",".join(f"127.0.0.1:{port}" for port in ports)

        self.all = await asyncio.gather(
            *(
                self.lab.service(f"m{n}", None, "--elect", "--peers", peers(n), port=self.ports[n])
                for n in range(3)
            )
        )
        for one in self.all:
            await one.wait_logged("membership standing changed", standing="member")
        return self

    async def leader(self, among: list[Program] | None = None) -> Program:
        """The one that leads, once one of these does."""
        while True:
            for one in among or self.all:
                if (await self.lab.call(one.port, "GET", "/registry/term")).json["leads"]:
                    return one
            await asyncio.sleep(POLL_INTERVAL_S)

    async def write(self, name: str, among: list[Program] | None = None) -> HttpResponse:
        """Once one of these answers it."""
        while True:
            for one in among or self.all:
                if (back := await self.lab.register(one, name, ENTRY)).status == 200:
                    return back
            await asyncio.sleep(POLL_INTERVAL_S)

    def others(self, one: Program) -> list[Program]:
        return [other for other in self.all if other is not one]

    def elections(self) -> int:
        return sum(one.events().count(ELECTED) for one in self.all)

    async def names(self, one: Program) -> set[str]:
        return {
            entry["instanceId"]
            for entry in (await self.lab.call(one.port, "GET", INSTANCES_PATH)).json["instances"]
        }

    async def shows(self, one: Program, names: set[str]) -> None:
        """Returns once the list there is of these."""
        while await self.names(one) != names:
            await asyncio.sleep(POLL_INTERVAL_S)

    def cut(self, one: Program, mode: str) -> None:
        """Both ways, from all others."""
        at = self.all.index(one)
        for pair, link in self.links.items():
            if at in pair:
                link.set_fault(mode)


class Told(Watcher):
    """A sidecar's discovery, with all members to turn to; what left its list is kept."""

    def __init__(self, members: Members, seed: int) -> None:
        self.lost: set[str] = set()
        self.news = asyncio.Event()
        super().__init__(members.ports[seed % 3], seed, 0)
        turned = members.ports[seed % 3 :] + members.ports[: seed % 3]
        self.discovery.replicas = [f"127.0.0.1:{port}" for port in turned]

    def receive_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        before = set(self.names)
        super().receive_list(version, whole, entries)
        self.lost |= before - self.names if whole else set()
        self.lost |= {one["instanceId"] for one in entries if one["lifecycle"] == "gone"}
        self.news.set()

    async def hears(self, name: str) -> None:
        while name not in self.names:
            self.news.clear()
            await self.news.wait()


def renewing(members: Members, name: str) -> asyncio.Task[None]:
    """A lease kept as an endpoint keeps it: renewed at whoever writes."""
    writer = RegistryClient(",".join(f"127.0.0.1:{port}" for port in members.ports), random.Random(1))
    return asyncio.create_task(
        writer.write_periodically(0.5, lambda: ("POST", f"{INSTANCES_PATH}/{name}/renew", {}))
    )


async def test_a_killed_writer_is_replaced_and_nothing_answered_nor_leased_is_lost(lab: Lab) -> None:
    members = await Members(lab).start()
    await members.write("s-0")
    assert (await lab.register(await members.leader(), "leased", ENTRY, LEASE_MS)).status == 200
    lease = renewing(members, "leased")
    answered = {"leased", *(f"s-{n}" for n in range(10))}
    for n in range(10):
        await members.write(f"s-{n}")
    watchers = [Told(members, seed) for seed in range(9)]
    await asyncio.gather(*(one.hears("s-9") for one in watchers))
    killed = await members.leader()
    replicas = members.others(killed)
    await lab.kill(killed)
    await members.write("after", replicas)
    await asyncio.gather(*(one.hears("after") for one in watchers))
    answered.add("after")
    leader = await members.leader(replicas)
    assert await members.names(leader) == answered
    killed.start()
    await members.shows(killed, answered)
    assert (await lab.register(killed, "s-0", ENTRY)).status == 307, "it follows"
    assert members.elections() == 2, "and disturbed nobody"

    await lab.kill(*members.all)  # the whole service, and all at once
    for one in members.all:
        one.start()
    await members.write("anew")
    await asyncio.gather(*(one.hears("anew") for one in watchers))
    assert await members.names(await members.leader()) == {*answered, "anew"}
    assert not any(one.lost for one in watchers), "no lease ended, no list came short"
    lease.cancel()
    for watcher in watchers:
        watcher.discovery.close()


async def test_a_writer_cut_off_answers_no_write_serves_its_list_and_comes_back_as_a_replica(
    lab: Lab,
) -> None:
    members = await Members(lab).start(links=True)
    await members.write("s-0")
    cut_off = await members.leader()
    greater = members.others(cut_off)
    for one in greater:
        await members.shows(one, {"s-0"})
    members.cut(cut_off, CUT)
    refused = await lab.register(cut_off, "lost", ENTRY)
    assert refused.status == 503 and refused.headers["Retry-After"] and refused.json["remedy"]
    answered = asyncio.create_task(members.write("kept", greater))
    while not answered.done():
        assert (await lab.register(cut_off, "lost", ENTRY)).status == 503, "the lesser side answers no write"
    await cut_off.wait_logged("this process writes no more")
    assert "s-0" in await members.names(cut_off), "and serves its list"
    assert await members.names(await members.leader(greater)) == {"s-0", "kept"}
    members.cut(cut_off, PASS)
    await cut_off.wait_logged("records thrown away, the writer's state taken whole")
    for one in members.all:
        await members.shows(one, {"s-0", "kept"})
    assert (await lab.register(cut_off, "s-0", ENTRY)).status == 307
    leader = await members.leader()
    replica = next(one for one in greater if one is not leader)
    members.cut(replica, CUT)  # a replica is away for longer than an election takes, and comes back
    while (await lab.call(replica.port, "GET", "/registry/term")).json["writer"] is not None:
        await asyncio.sleep(POLL_INTERVAL_S)
    assert (await lab.register(replica, "x", ENTRY)).status == 503
    await members.write("meanwhile", members.others(replica))
    members.cut(replica, PASS)
    await members.shows(replica, {"s-0", "kept", "meanwhile"})
    assert members.elections() == 2, "one at the start, one for the writer that was cut off"


async def test_members_that_name_no_others_or_a_damaged_ballot_do_not_start(lab: Lab) -> None:
    for name, more in {"alone": [], "led": ["--peers", "127.0.0.1:1", "--copies", "1"]}.items():
        folder = lab.folder / name
        words = ["woadyard.registry", "--data", str(folder / "data"), "--elect", *more]
        program = lab.run(Program(name, folder, words, dict(os.environ)))
        assert await program.wait_exit() == 2 and (await program.wait_logged("can't start"))["remedy"]
    data = lab.folder / "damaged" / "data"
    data.mkdir(parents=True)
    (data / "ballot").write_bytes(b"x")
    words = ["woadyard.registry", "--data", str(data), "--elect", "--peers", "127.0.0.1:1"]
    program = lab.run(Program("damaged", data.parent, words, dict(os.environ)))
    assert await program.wait_exit() == 2
    assert "empty" in (await program.wait_logged("can't start"))["remedy"]
