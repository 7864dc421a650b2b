"""Electing members in one process, with short timeouts: guarantees for the log and the leases."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from tests.lab import call, free_port
from tests.test_registry import ENTRY
from woadyard.lists import EndpointListState
from woadyard.lists.service import INSTANCES_PATH
from woadyard.registry.election import LEADER, MEMBER, NEW, Timing
from woadyard.registry.elector import Elector
from woadyard.registry.http import serve
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

TIMING = Timing(0.4, 0.8, 0.08, (0.1, 0.3), newcomer_s=1.6)


class LocalMember:
    """One member in this process, which may be stopped and restarted."""

    def __init__(self, folder: Path, port: int, ports: list[int]) -> None:
        self.folder, self.port = folder, port
        self.peers = [f"127.0.0.1:{other}" for other in ports if other != port]
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.registry = Registry(Journal(self.folder))
        self.elector = Elector(self.registry, self.peers, 5.0, random.Random(self.port), TIMING)
        listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        server = serve(self.registry, "127.0.0.1", self.port, listening.set_result, self.elector.routes())
        self.tasks = [asyncio.create_task(server), asyncio.create_task(self.elector.run())]
        await listening

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []

    async def wipe(self) -> None:
        await self.stop()
        shutil.rmtree(self.folder)
        await self.start()

    async def put(self, name: str, ttl_ms: int = 60_000) -> int:
        return (await call(self.port, "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms={ttl_ms}", ENTRY)).status

    async def wait_standing(self, standing: str) -> None:
        await wait_for(lambda: self.elector.saved_ballot.standing == standing)

    async def wait_names(self, names: set[str]) -> None:
        await wait_for(lambda: self.names == names)

    @property
    def names(self) -> set[str]:
        return set(self.registry.state_machine(EndpointListState).entries)


@contextlib.asynccontextmanager
async def three_members(
    folder: Path, prepare: Callable[[list[LocalMember]], None] = lambda started: None
) -> AsyncIterator[list[LocalMember]]:
    ports = [free_port() for _ in range(3)]
    members = [LocalMember(folder / str(n), port, ports) for n, port in enumerate(ports)]
    prepare(members)
    try:
        for member in members:
            await member.start()
        for member in members:
            await member.wait_standing(MEMBER)
        yield members
    finally:
        for member in members:
            await member.stop()


async def wait_for(condition: Callable[[], Any]) -> Any:
    while not (value := condition()):
        await asyncio.sleep(0.01)
    return value


async def leader(members: list[LocalMember]) -> LocalMember:
    """Waits for the leader among these, with its own first entry committed."""

    def find_leader() -> LocalMember | None:
        running = (member for member in members if member.tasks)
        return next(
            (
                member
                for member in running
                if member.registry.is_leader and member.registry.replicated_index() > 0
            ),
            None,
        )

    elected: LocalMember = await wait_for(find_leader)
    return elected


async def test_a_member_that_lost_its_disk_neither_votes_nor_counts_until_it_holds_the_whole_log(
    tmp_path: Path,
) -> None:
    async with three_members(tmp_path) as members:
        first = await leader(members)
        wiped, other = (member for member in members if member is not first)
        await other.stop()
        assert await first.put("s-0") == 200  # held only by the leader and the member wiped next
        await wiped.wipe()
        await wiped.wait_names({"s-0"})
        assert await first.put("s-1") == 503, "a learner does not count"
        await first.stop()
        await other.start()
        standings = await wait_for(
            lambda: [response.standing for response in other.elector.election.responses.values()]
        )
        assert standings == [NEW] and not wiped.elector.election.is_voter
        await wait_for(
            lambda: other.elector.election.campaign
        )  # it is a candidate, and the learner has no vote
        assert not other.registry.is_leader and not wiped.registry.is_leader
        await first.start()
        elected = await leader(members)
        await wiped.wait_standing(MEMBER)
        assert elected is not wiped and "s-0" in elected.names
        assert await elected.put("s-2") == 200


async def test_a_log_with_an_appointed_leader_continues_when_its_members_elect(tmp_path: Path) -> None:
    def appoint_leader(members: list[LocalMember]) -> None:
        registry = Registry(Journal(members[1].folder))
        registry.become_leader()
        registry.append_for_response(
            {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 60_000_000}
        )
        assert registry.due_timer is not None
        registry.due_timer.cancel()

    async with three_members(tmp_path, appoint_leader) as members:
        elected = await leader(members)
        assert elected is members[1], "no member with a shorter log is elected"
        assert await elected.put("s-1") == 200
        for member in members:
            await member.wait_names({"s-0", "s-1"})


async def test_a_leader_without_a_quorum_acknowledges_no_write_and_expires_no_lease(tmp_path: Path) -> None:
    async with three_members(tmp_path) as members:
        elected = await leader(members)
        assert await elected.put("s-0", 900) == 200
        for member in members:
            if member is not elected:
                await member.stop()
        proposal = {"weights": {"s-0": 0.5}}
        put_status, planned = await asyncio.gather(
            elected.put("s-1"), call(elected.port, "POST", "/registry/plans", proposal)
        )
        assert put_status == planned.status == 503
        assert planned.headers["Retry-After"] and planned.json["remedy"]
        await wait_for(lambda: not elected.registry.is_leader)
        assert elected.elector.election.role != LEADER
        expires_us = elected.registry.state_machine(EndpointListState).lease_expiries_us["s-0"]
        await wait_for(lambda: elected.registry.clock_us() > expires_us)
        assert "s-0" in elected.names
        for member in members:
            if member is not elected:
                await member.start()
        successor = await leader(members)
        assert (
            "s-0" in successor.names
            and successor.registry.state_machine(EndpointListState).lease_expiries_us["s-0"] > expires_us
        )
        await wait_for(lambda: "s-0" not in successor.names)  # nobody renews it, and there is a leader


async def test_nothing_is_committed_before_the_first_entry_of_an_elected_leader(tmp_path: Path) -> None:
    """Raft, figure 8: replicated entries of an older term may still be overwritten."""
    async with three_members(tmp_path) as members:
        elected = await leader(members)
        assert await elected.put("s-0") == 200
        registry, last_index = elected.registry, elected.registry.log_state.applied_index
        for member in members:
            if member is not elected:
                await member.stop()
        registry.become_elected_leader(elected.elector.election.term + 1)
        assert registry.replicated_index() == -1
        registry.replication_progress.record_match("x", last_index, time.monotonic())
        assert registry.replicated_index() == -1
        registry.replication_progress.record_match("x", last_index + 1, time.monotonic())
        assert registry.replicated_index() == last_index + 1
