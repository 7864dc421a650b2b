"""Followers of the list service: what they replicate, and how clients react when they fail."""

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
from tests.test_registry import ENTRY, Watcher, call_registry, start_registry
from woadyard.errors import LogEntryError
from woadyard.lists import EndpointListState
from woadyard.lists.service import INSTANCES_PATH
from woadyard.registry.log import Journal
from woadyard.registry.replicated_state import EMPTY_CHAIN
from woadyard.registry.service import Registry
from woadyard.standins import CUT, DROP, PASS

STALE_S = "0.5"


async def kill_processes(*processes: Process) -> None:
    for process in processes:
        process.send_signal(signal.SIGKILL)
        await process.wait()


async def start_follower(data: Path, port: int, leader_port: int) -> Process:
    return await start_registry(data, port, "--follow", f"127.0.0.1:{leader_port}", "--stale-after", STALE_S)


async def wait_for_list(port: int, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Poll the list at `port` until it satisfies `condition`, and return it."""
    while True:
        _, listing = await call_registry(port, "GET", INSTANCES_PATH)
        if condition(listing):
            return dict(listing)
        await asyncio.sleep(0.02)


def has_version(version: int) -> Callable[[dict[str, Any]], bool]:
    return lambda listing: listing["generation"] == version and "following" not in listing


async def start_lab_follower(lab: Lab, name: str, leader: Any, port: int = 0) -> Program:
    return await lab.service(name, leader, "--stale-after", STALE_S, port=port)


async def test_follower_replicates_across_faults_and_kills_and_becomes_leader(lab: Lab) -> None:
    leader = await lab.service("w")
    proxy = await lab.proxy(leader)
    follower = await start_lab_follower(lab, "r", proxy)
    await lab.register(leader, "s-0", ENTRY)
    await wait_for_list(follower.port, has_version(1))
    assert (await lab.register(follower, "s-1", ENTRY)).status == 307, "a follower redirects writes"
    proxy.set_fault(DROP)
    await lab.register(leader, "s-1", ENTRY)
    cut_off = await wait_for_list(follower.port, lambda listing: listing.get("following") is False)
    assert cut_off["generation"] == 1, "it serves its list and reports that it may be out of date"
    await lab.kill(follower)
    proxy.set_fault(PASS)
    follower = await start_lab_follower(lab, "r", proxy, follower.port)
    assert (await wait_for_list(follower.port, has_version(2)))["instances"][1]["instanceId"] == "s-1"
    await lab.kill(leader, follower)
    follower = await lab.service("r")  # without --follow it is the leader
    assert (await lab.register(follower, "s-2", ENTRY)).json["generation"] == 3


async def test_sidecar_switches_replicas_but_never_to_an_older_list(lab: Lab) -> None:
    """A sidecar has two followers: one is cut off from the leader, then the other from the sidecar.

    Requests must go only to the endpoint that the newest list contains."""
    old_endpoint, new_endpoint = await lab.endpoint(), await lab.endpoint()
    leader = await lab.service("w")
    leader_proxy = await lab.proxy(leader)
    followers = [await start_lab_follower(lab, "1", leader_proxy), await start_lab_follower(lab, "2", leader)]
    follower_proxies = [await lab.proxy(follower) for follower in followers]
    assert (await lab.register(leader, "s-0", old_endpoint)).status == 200
    for follower in followers:
        await wait_for_list(follower.port, has_version(1))
    sidecar = await lab.sidecar("n1", discovery=follower_proxies)
    await sidecar.wait_metric("woadyard_list_version 1.0")
    leader_proxy.set_fault(DROP)  # the first follower lags from here on
    assert (await lab.register(leader, "s-1", new_endpoint)).status == 200
    assert (await lab.call(leader.port, "DELETE", f"{INSTANCES_PATH}/s-0")).status == 200
    await sidecar.wait_metric("woadyard_list_version 3.0")
    follower_proxies[1].set_fault(CUT)  # only the lagging follower is left
    connections = follower_proxies[0].accepted_connections
    while follower_proxies[0].accepted_connections < connections + 2:
        await asyncio.sleep(0.02)
    await sidecar.wait_metric("woadyard_list_version 3.0")
    for n in range(5):
        assert (await sidecar.request(rid=f"r{n}")).start_line.split()[1] == "200"
    assert len(new_endpoint.received) == 5 and not old_endpoint.received, "no request used the older list"


async def test_follower_of_another_lineage_is_rejected_and_reports_it(lab: Lab) -> None:
    first = await lab.service("1")
    await lab.register(first, "s-0", ENTRY)
    await lab.kill(first)
    leader = await lab.service("2", port=first.port)  # an empty folder: another lineage
    for n in range(3):
        await lab.register(leader, f"t-{n}", ENTRY)
    follower = await start_lab_follower(lab, "1", leader)
    await leader.wait_logged("call refused")
    listing = (await lab.call(follower.port, "GET", INSTANCES_PATH)).json
    assert listing["following"] is False
    assert [entry["instanceId"] for entry in listing["instances"]] == ["s-0"]


async def test_watch_leaves_follower_without_leader_at_once(lab: Lab) -> None:
    leader = await lab.service("w")
    await lab.register(leader, "s-0", ENTRY)
    proxy = await lab.proxy(leader)
    follower = await start_lab_follower(lab, "r", proxy)
    await wait_for_list(follower.port, has_version(1))
    watcher = Watcher(follower.port, 1, 1)
    watcher.discovery.replicas = [f"127.0.0.1:{process.port}" for process in (follower, leader)]
    await watcher.version_received.wait()
    proxy.set_fault(CUT)
    await lab.register(leader, "s-1", ENTRY)
    watcher.expected_version, watcher.version_received = 2, asyncio.Event()
    await watcher.version_received.wait()
    watcher.discovery.close()
    assert [version for version, _, _ in watcher.received_lists] == sorted(
        each for each, _, _ in watcher.received_lists
    )


def test_leases_are_extended_when_a_leader_returns(tmp_path: Path) -> None:
    """No client could renew while the service was down, so a restart must not empty the list."""
    now_us = [0]

    def open_registry() -> Registry:
        return Registry(Journal(tmp_path), clock_us=lambda: now_us[0])

    async def main() -> None:
        registry = open_registry()
        registry.become_leader()
        put_entry = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        assert registry.append_for_response(put_entry)[0] == 200
        now_us[0] = 60_000_000  # an outage of one minute
        restarted = open_registry()
        restarted.become_leader()
        restarted.append_for_response({"op": "expire"})
        assert list(restarted.state_machine(EndpointListState).entries) == ["s-0"]
        now_us[0] += 1_000_000
        restarted.append_for_response({"op": "expire"})
        assert not restarted.state_machine(EndpointListState).entries, "and expire as before"

    run_test(main())


def test_follower_too_far_behind_gets_snapshot(tmp_path: Path) -> None:
    async def main() -> None:
        leader = Registry(Journal(tmp_path / "w"), clock_us=lambda: 0)
        leader.become_leader()
        put_entry = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        leader.append_for_response(put_entry)
        assert [entry["op"] for entry in leader.entries_or_snapshot_after(0, EMPTY_CHAIN, "")["records"]] == [
            "lead",
            "put",
        ]
        leader.journal.write_snapshot(leader.log_state)
        restarted = Registry(Journal(tmp_path / "w"), clock_us=lambda: 0)
        response = restarted.entries_or_snapshot_after(0, EMPTY_CHAIN, "")
        assert "records" not in response and response["snapshot"]["books"]["list"]["entries"].keys() == {
            "s-0"
        }
        with pytest.raises(LogEntryError):
            restarted.entries_or_snapshot_after(0, EMPTY_CHAIN, "another")

    run_test(main())
