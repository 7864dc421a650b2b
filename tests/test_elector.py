"""Members that elect, in this process and with short times: what the log and the leases hold to."""

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


class Here:
    """One member, which may be stopped and started anew."""

    def __init__(self, folder: Path, port: int, ports: list[int]) -> None:
        self.folder, self.port = folder, port
        self.peers = [f"127.0.0.1:{one}" for one in ports if one != port]
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.registry = Registry(Journal(self.folder))
        self.elector = Elector(self.registry, self.peers, 5.0, random.Random(self.port), TIMING)
        listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        served = serve(self.registry, "127.0.0.1", self.port, listening.set_result, self.elector.routes())
        self.tasks = [asyncio.create_task(served), asyncio.create_task(self.elector.run())]
        await listening

    async def stop(self) -> None:
        for one in self.tasks:
            one.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []

    async def wipe(self) -> None:
        await self.stop()
        shutil.rmtree(self.folder)
        await self.start()

    async def put(self, name: str, ttl_ms: int = 60_000) -> int:
        return (await call(self.port, "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms={ttl_ms}", ENTRY)).status

    async def stands(self, standing: str) -> None:
        await until(lambda: self.elector.saved_ballot.standing == standing)

    async def shows(self, names: set[str]) -> None:
        await until(lambda: self.names == names)

    @property
    def names(self) -> set[str]:
        return set(self.registry.state_machine(EndpointListState).entries)


@contextlib.asynccontextmanager
async def three(
    folder: Path, before: Callable[[list[Here]], None] = lambda all: None
) -> AsyncIterator[list[Here]]:
    ports = [free_port() for _ in range(3)]
    members = [Here(folder / str(n), port, ports) for n, port in enumerate(ports)]
    before(members)
    try:
        for one in members:
            await one.start()
        for one in members:
            await one.stands(MEMBER)
        yield members
    finally:
        for one in members:
            await one.stop()


async def until(true: Callable[[], Any]) -> Any:
    while not (found := true()):
        await asyncio.sleep(0.01)
    return found


async def leader(members: list[Here]) -> Here:
    """The one of these that leads, its own record held by most."""

    def found() -> Here | None:
        running = (one for one in members if one.tasks)
        return next(
            (one for one in running if one.registry.is_leader and one.registry.replicated_index() > 0), None
        )

    led: Here = await until(found)
    return led


async def test_a_member_that_lost_its_disk_neither_votes_nor_counts_until_it_holds_all(
    tmp_path: Path,
) -> None:
    async with three(tmp_path) as members:
        first = await leader(members)
        wiped, other = (one for one in members if one is not first)
        await other.stop()
        assert await first.put("s-0") == 200  # held by the leader and the one that loses it now
        await wiped.wipe()
        await wiped.shows({"s-0"})
        assert await first.put("s-1") == 503, "a copy that is new does not count"
        await first.stop()
        await other.start()
        met = await until(lambda: [one.standing for one in other.elector.election.responses.values()])
        assert met == [NEW] and not wiped.elector.election.is_voter
        await until(lambda: other.elector.election.campaign)  # it stands, and the other has no vote
        assert not other.registry.is_leader and not wiped.registry.is_leader
        await first.start()
        led = await leader(members)
        await wiped.stands(MEMBER)
        assert led is not wiped and "s-0" in led.names
        assert await led.put("s-2") == 200


async def test_a_log_that_was_led_by_hand_goes_on_as_its_members_elect(tmp_path: Path) -> None:
    def by_hand(members: list[Here]) -> None:
        registry = Registry(Journal(members[1].folder))
        registry.become_leader()
        registry.append_for_response(
            {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 60_000_000}
        )
        assert registry.due_timer is not None
        registry.due_timer.cancel()

    async with three(tmp_path, by_hand) as members:
        led = await leader(members)
        assert led is members[1], "nobody begins with less"
        assert await led.put("s-1") == 200
        for one in members:
            await one.shows({"s-0", "s-1"})


async def test_a_leader_alone_answers_no_write_of_any_kind_and_ends_no_lease(tmp_path: Path) -> None:
    async with three(tmp_path) as members:
        led = await leader(members)
        assert await led.put("s-0", 900) == 200
        for one in members:
            if one is not led:
                await one.stop()
        proposal = {"weights": {"s-0": 0.5}}
        put, planned = await asyncio.gather(
            led.put("s-1"), call(led.port, "POST", "/registry/plans", proposal)
        )
        assert put == planned.status == 503
        assert planned.headers["Retry-After"] and planned.json["remedy"]
        await until(lambda: not led.registry.is_leader)
        assert led.elector.election.role != LEADER
        ends = led.registry.state_machine(EndpointListState).lease_expiries_us["s-0"]
        await until(lambda: led.registry.clock_us() > ends)
        assert "s-0" in led.names
        for one in members:
            if one is not led:
                await one.start()
        again = await leader(members)
        assert (
            "s-0" in again.names
            and again.registry.state_machine(EndpointListState).lease_expiries_us["s-0"] > ends
        )
        await until(lambda: "s-0" not in again.names)  # nobody renews it, and somebody leads


async def test_nothing_counts_as_held_before_an_elected_writers_own_first_record_does(tmp_path: Path) -> None:
    """Raft, figure 8: copies of an older term's records may yet be thrown away."""
    async with three(tmp_path) as members:
        led = await leader(members)
        assert await led.put("s-0") == 200
        registry, before = led.registry, led.registry.log_state.applied_index
        for one in members:
            if one is not led:
                await one.stop()
        registry.become_elected_leader(led.elector.election.term + 1)
        assert registry.replicated_index() == -1
        registry.replica_progress.record_match("x", before, time.monotonic())
        assert registry.replicated_index() == -1
        registry.replica_progress.record_match("x", before + 1, time.monotonic())
        assert registry.replicated_index() == before + 1
