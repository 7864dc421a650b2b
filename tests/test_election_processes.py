"""Three processes of one log that elect their leader: killed, cut off, and all restarted."""

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
    """Three members; with `links` each reaches each other through a proxy of its own."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.ports = [free_port() for _ in range(3)]
        self.all: list[Program] = []
        self.links: dict[tuple[int, int], FaultProxy] = {}

    async def start(self, links: bool = False) -> Members:
        pairs = [(origin, target) for origin in range(3) for target in range(3) if origin != target]
        if links:
            self.links = {pair: await self.lab.proxy(self.ports[pair[1]]) for pair in pairs}

        def peers(sender: int) -> str:
            ports = [
                self.links[pair].port if links else self.ports[pair[1]] for pair in pairs if pair[0] == sender
            ]
            return ",".join(f"127.0.0.1:{port}" for port in ports)

        self.all = await asyncio.gather(
            *(
                self.lab.service(f"m{n}", None, "--elect", "--peers", peers(n), port=self.ports[n])
                for n in range(3)
            )
        )
        for member in self.all:
            await member.wait_logged("membership standing changed", standing="member")
        return self

    async def leader(self, among: list[Program] | None = None) -> Program:
        """Waits until one of these leads and returns it."""
        while True:
            for member in among or self.all:
                if (await self.lab.call(member.port, "GET", "/registry/term")).json["leads"]:
                    return member
            await asyncio.sleep(POLL_INTERVAL_S)

    async def write(self, name: str, among: list[Program] | None = None) -> HttpResponse:
        """Writes until one of these acknowledges it."""
        while True:
            for member in among or self.all:
                if (response := await self.lab.register(member, name, ENTRY)).status == 200:
                    return response
            await asyncio.sleep(POLL_INTERVAL_S)

    def others(self, member: Program) -> list[Program]:
        return [other for other in self.all if other is not member]

    def elections(self) -> int:
        return sum(member.events().count(ELECTED) for member in self.all)

    async def names(self, member: Program) -> set[str]:
        return {
            entry["instanceId"]
            for entry in (await self.lab.call(member.port, "GET", INSTANCES_PATH)).json["instances"]
        }

    async def wait_names(self, member: Program, names: set[str]) -> None:
        """Waits until the list at this member has exactly these names."""
        while await self.names(member) != names:
            await asyncio.sleep(POLL_INTERVAL_S)

    def cut(self, member: Program, mode: str) -> None:
        """Sets the fault on all links of this member, in both directions."""
        member_index = self.all.index(member)
        for pair, link in self.links.items():
            if member_index in pair:
                link.set_fault(mode)


class MemberWatcher(Watcher):
    """A sidecar's discovery with all members as addresses; records what was removed from its list."""

    def __init__(self, members: Members, seed: int) -> None:
        self.removed_names: set[str] = set()
        self.changed = asyncio.Event()
        super().__init__(members.ports[seed % 3], seed, 0)
        addresses_in_turn = members.ports[seed % 3 :] + members.ports[: seed % 3]
        self.discovery.replicas = [f"127.0.0.1:{port}" for port in addresses_in_turn]

    def receive_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        before = set(self.names)
        super().receive_list(version, whole, entries)
        self.removed_names |= before - self.names if whole else set()
        self.removed_names |= {entry["instanceId"] for entry in entries if entry["lifecycle"] == "gone"}
        self.changed.set()

    async def wait_listed(self, name: str) -> None:
        while name not in self.names:
            self.changed.clear()
            await self.changed.wait()


def keep_lease(members: Members, name: str) -> asyncio.Task[None]:
    """Keeps a lease as an endpoint does: renewed at the current leader."""
    client = RegistryClient(",".join(f"127.0.0.1:{port}" for port in members.ports), random.Random(1))
    return asyncio.create_task(
        client.write_periodically(0.5, lambda: ("POST", f"{INSTANCES_PATH}/{name}/renew", {}))
    )


async def test_a_killed_leader_is_replaced_without_loss_of_acknowledged_writes_or_leases(lab: Lab) -> None:
    members = await Members(lab).start()
    await members.write("s-0")
    assert (await lab.register(await members.leader(), "leased", ENTRY, LEASE_MS)).status == 200
    lease = keep_lease(members, "leased")
    acknowledged = {"leased", *(f"s-{n}" for n in range(10))}
    for n in range(10):
        await members.write(f"s-{n}")
    watchers = [MemberWatcher(members, seed) for seed in range(9)]
    await asyncio.gather(*(sidecar.wait_listed("s-9") for sidecar in watchers))
    killed = await members.leader()
    followers = members.others(killed)
    await lab.kill(killed)
    await members.write("after", followers)
    await asyncio.gather(*(sidecar.wait_listed("after") for sidecar in watchers))
    acknowledged.add("after")
    leader = await members.leader(followers)
    assert await members.names(leader) == acknowledged
    killed.start()
    await members.wait_names(killed, acknowledged)
    assert (await lab.register(killed, "s-0", ENTRY)).status == 307, "it is a follower"
    assert members.elections() == 2, "its return caused no election"

    await lab.kill(*members.all)  # the whole service at once
    for member in members.all:
        member.start()
    await members.write("anew")
    await asyncio.gather(*(sidecar.wait_listed("anew") for sidecar in watchers))
    assert await members.names(await members.leader()) == {*acknowledged, "anew"}
    assert not any(sidecar.removed_names for sidecar in watchers), "no lease expired, no list was incomplete"
    lease.cancel()
    for watcher in watchers:
        watcher.discovery.close()


async def test_a_leader_cut_off_acknowledges_no_write_serves_its_list_and_returns_as_a_follower(
    lab: Lab,
) -> None:
    members = await Members(lab).start(links=True)
    await members.write("s-0")
    cut_off = await members.leader()
    majority = members.others(cut_off)
    for member in majority:
        await members.wait_names(member, {"s-0"})
    members.cut(cut_off, CUT)
    rejected = await lab.register(cut_off, "lost", ENTRY)
    assert rejected.status == 503 and rejected.headers["Retry-After"] and rejected.json["remedy"]
    acknowledged = asyncio.create_task(members.write("kept", majority))
    while not acknowledged.done():
        assert (await lab.register(cut_off, "lost", ENTRY)).status == 503, (
            "the minority side acknowledges no write"
        )
    await cut_off.wait_logged("this process writes no more")
    assert "s-0" in await members.names(cut_off), "it still serves its list"
    assert await members.names(await members.leader(majority)) == {"s-0", "kept"}
    members.cut(cut_off, PASS)
    await cut_off.wait_logged("records thrown away, the writer's state taken whole")
    for member in members.all:
        await members.wait_names(member, {"s-0", "kept"})
    assert (await lab.register(cut_off, "s-0", ENTRY)).status == 307
    leader = await members.leader()
    follower = next(member for member in majority if member is not leader)
    members.cut(follower, CUT)  # for longer than an election takes
    while (await lab.call(follower.port, "GET", "/registry/term")).json["writer"] is not None:
        await asyncio.sleep(POLL_INTERVAL_S)
    assert (await lab.register(follower, "x", ENTRY)).status == 503
    await members.write("meanwhile", members.others(follower))
    members.cut(follower, PASS)
    await members.wait_names(follower, {"s-0", "kept", "meanwhile"})
    assert members.elections() == 2, "one at the start, one to replace the leader that was cut off"


async def test_members_without_peers_or_with_a_damaged_ballot_do_not_start(lab: Lab) -> None:
    for name, more in {"alone": [], "led": ["--peers", "127.0.0.1:1", "--copies", "1"]}.items():
        folder = lab.folder / name
        arguments = ["woadyard.registry", "--data", str(folder / "data"), "--elect", *more]
        program = lab.run(Program(name, folder, arguments, dict(os.environ)))
        assert await program.wait_exit() == 2 and (await program.wait_logged("can't start"))["remedy"]
    data = lab.folder / "damaged" / "data"
    data.mkdir(parents=True)
    (data / "ballot").write_bytes(b"x")
    arguments = ["woadyard.registry", "--data", str(data), "--elect", "--peers", "127.0.0.1:1"]
    program = lab.run(Program("damaged", data.parent, arguments, dict(os.environ)))
    assert await program.wait_exit() == 2
    assert "empty" in (await program.wait_logged("can't start"))["remedy"]
