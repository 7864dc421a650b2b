"""Replicas of the list service: what they follow, what a client does when they fail."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.lab import Lab, Program
from tests.process import Process
from tests.sockets import run_test
from tests.test_registry import ENTRY, Watcher, ask, service
from woadyard.errors import LogEntryError
from woadyard.lists import EndpointListState
from woadyard.lists.service import INSTANCES_PATH
from woadyard.registry.log import Journal
from woadyard.registry.replicated_state import EMPTY_CHAIN
from woadyard.registry.service import Registry
from woadyard.standins import CUT, DROP, PASS

STALE_S = "0.5"


async def end(*processes: Process) -> None:
    for process in processes:
        process.send_signal(signal.SIGKILL)
        await process.wait()


async def replica(data: Path, port: int, writer: int) -> Process:
    return await service(data, port, "--follow", f"127.0.0.1:{writer}", "--stale-after", STALE_S)


async def until(port: int, true: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """The list there, once `true` of it."""
    while True:
        _, listing = await ask(port, "GET", INSTANCES_PATH)
        if true(listing):
            return dict(listing)
        await asyncio.sleep(0.02)


def caught_up(version: int) -> Callable[[dict[str, Any]], bool]:
    return lambda told: told["generation"] == version and "following" not in told


async def follows(lab: Lab, name: str, writer: Any, port: int = 0) -> Program:
    return await lab.service(name, writer, "--stale-after", STALE_S, port=port)


async def test_a_replica_follows_over_cuts_and_kills_and_takes_the_writers_place(lab: Lab) -> None:
    writer = await lab.service("w")
    proxy = await lab.proxy(writer)
    second = await follows(lab, "r", proxy)
    await lab.register(writer, "s-0", ENTRY)
    await until(second.port, caught_up(1))
    assert (await lab.register(second, "s-1", ENTRY)).status == 307, "a replica sends writers on"
    proxy.fault(DROP)
    await lab.register(writer, "s-1", ENTRY)
    cut_off = await until(second.port, lambda told: told.get("following") is False)
    assert cut_off["generation"] == 1, "it serves what it has, and says so"
    await lab.kill(second)
    proxy.fault(PASS)
    second = await follows(lab, "r", proxy, second.port)
    assert (await until(second.port, caught_up(2)))["instances"][1]["instanceId"] == "s-1"
    await lab.kill(writer, second)
    second = await lab.service("r")  # without --follow: the writer from now on
    assert (await lab.register(second, "s-2", ENTRY)).json["generation"] == 3


async def test_a_sidecar_turns_to_another_replica_and_to_no_older_list(lab: Lab) -> None:
    """A sidecar process with two replicas, one cut off from the writer, one cut off
    from the sidecar: it is sent to what only the newest list names."""
    old, new = await lab.endpoint(), await lab.endpoint()
    writer = await lab.service("w")
    to_writer = await lab.proxy(writer)
    replicas = [await follows(lab, "1", to_writer), await follows(lab, "2", writer)]
    to_replicas = [await lab.proxy(one) for one in replicas]
    assert (await lab.register(writer, "s-0", old)).status == 200
    for one in replicas:
        await until(one.port, caught_up(1))
    sidecar = await lab.sidecar("n1", discovery=to_replicas)
    await sidecar.wait_metric("woadyard_list_version 1.0")
    to_writer.fault(DROP)  # the first replica lags from now on
    assert (await lab.register(writer, "s-1", new)).status == 200
    assert (await lab.call(writer.port, "DELETE", f"{INSTANCES_PATH}/s-0")).status == 200
    await sidecar.wait_metric("woadyard_list_version 3.0")
    to_replicas[1].fault(CUT)  # and only the one that lags is left
    taken = to_replicas[0].taken
    while to_replicas[0].taken < taken + 2:
        await asyncio.sleep(0.02)
    await sidecar.wait_metric("woadyard_list_version 3.0")
    for n in range(5):
        assert (await sidecar.request(rid=f"r{n}")).start_line.split()[1] == "200"
    assert len(new.received) == 5 and not old.received, "nothing went by the older list"


async def test_a_replica_of_another_log_is_turned_down_and_says_it_does_not_follow(lab: Lab) -> None:
    first = await lab.service("1")
    await lab.register(first, "s-0", ENTRY)
    await lab.kill(first)
    writer = await lab.service("2", port=first.port)  # an empty folder: another lineage
    for n in range(3):
        await lab.register(writer, f"t-{n}", ENTRY)
    second = await follows(lab, "1", writer)
    await writer.wait_logged("call refused")
    told = (await lab.call(second.port, "GET", INSTANCES_PATH)).json
    assert told["following"] is False
    assert [one["instanceId"] for one in told["instances"]] == ["s-0"]


async def test_a_watch_on_a_replica_that_lost_its_writer_moves_on_at_once(lab: Lab) -> None:
    writer = await lab.service("w")
    await lab.register(writer, "s-0", ENTRY)
    proxy = await lab.proxy(writer)
    second = await follows(lab, "r", proxy)
    await until(second.port, caught_up(1))
    watcher = Watcher(second.port, 1, 1)
    watcher.discovery.replicas = [f"127.0.0.1:{one.port}" for one in (second, writer)]
    await watcher.reached.wait()
    proxy.fault(CUT)
    await lab.register(writer, "s-1", ENTRY)
    watcher.wanted, watcher.reached = 2, asyncio.Event()
    await watcher.reached.wait()
    watcher.discovery.close()
    assert [version for version, _, _ in watcher.told] == sorted(v for v, _, _ in watcher.told)


def test_leases_run_anew_once_somebody_writes_again(tmp_path: Path) -> None:
    """While the service was down nobody could renew: a restart must not empty the list."""
    clock = [0]

    def opened() -> Registry:
        return Registry(Journal(tmp_path), clock_us=lambda: clock[0])

    async def main() -> None:
        registry = opened()
        registry.become_leader()
        put = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        assert registry.append_for_response(put)[0] == 200
        clock[0] = 60_000_000  # a minute's outage
        again = opened()
        again.become_leader()
        again.append_for_response({"op": "expire"})
        assert list(again.state_machine(EndpointListState).entries) == ["s-0"]
        clock[0] += 1_000_000
        again.append_for_response({"op": "expire"})
        assert not again.state_machine(EndpointListState).entries, "and run out as before"

    run_test(main())


def test_a_replica_too_far_behind_gets_the_state_whole(tmp_path: Path) -> None:
    async def main() -> None:
        writer = Registry(Journal(tmp_path / "w"), clock_us=lambda: 0)
        writer.become_leader()
        put = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        writer.append_for_response(put)
        assert [one["op"] for one in writer.entries_or_snapshot_after(0, EMPTY_CHAIN, "")["records"]] == [
            "lead",
            "put",
        ]
        writer.journal.write_snapshot(writer.log_state)
        again = Registry(Journal(tmp_path / "w"), clock_us=lambda: 0)
        told = again.entries_or_snapshot_after(0, EMPTY_CHAIN, "")
        assert "records" not in told and told["snapshot"]["books"]["list"]["entries"].keys() == {"s-0"}
        with pytest.raises(LogEntryError):
            again.entries_or_snapshot_after(0, EMPTY_CHAIN, "another")

    run_test(main())
