"""Two processes that both act as leader: one history survives, and the other process reports its loss."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest

from tests.process import Process, free_port
from tests.sockets import run_test
from tests.test_registry import ENTRY, Watcher, call_registry, register_endpoint, start_registry
from tests.test_replicas import has_version, kill_processes, start_follower, wait_for_list
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery
from woadyard.net.list_version import (
    OTHER_LINEAGE_AFTER_S,
    CurrentVersion,
    ListDecision,
    ListMessage,
    ListVersion,
)
from woadyard.net.registry_client import RegistryClient


async def next_log_event(process: Process, event: str) -> dict[str, Any]:
    """The next log line with this event."""
    assert process.stderr is not None
    while True:
        line = json.loads(await process.stderr.readline())
        if line["event"] == event:
            return dict(line)


def instance_ids(listing: dict[str, Any]) -> list[str]:
    return [entry["instanceId"] for entry in listing["instances"]]


async def start_two_leaders(folder: Path, ports: list[int], *more: str) -> list[Process]:
    """Start a leader with `x-1` registered, and a former follower of it that leads too."""
    writer = await start_registry(folder / "a", ports[0], *more)
    assert (await register_endpoint(ports[0], "x-1"))[0] == 200
    second = await start_follower(folder / "b", ports[1], ports[0])
    await wait_for_list(ports[1], has_version(1))
    await kill_processes(second)
    return [writer, await start_registry(folder / "b", ports[1], *more)]


def test_a_client_deposes_the_replaced_leader_and_its_unreplicated_writes_are_reported_lost(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        first, second = await start_two_leaders(tmp_path, ports)
        _, x_2 = await register_endpoint(ports[0], "x-2")
        _, y_2 = await register_endpoint(ports[1], "y-2")
        assert x_2["generation"] == y_2["generation"] == 2 and x_2["term"] < y_2["term"]
        watcher = Watcher(ports[1], 1, 2)  # of the newer leader
        await watcher.version_received.wait()
        watcher.discovery.replicas = [f"127.0.0.1:{ports[0]}"]  # now of the older leader only
        watcher.discovery.set_watch(True)
        deposed = await next_log_event(first, "deposed: another process writes, this one stops")
        assert deposed["greater"] == y_2["term"] and deposed["remedy"]
        status, text = await register_endpoint(ports[0], "x-3")
        assert status == 503 and json.loads(text)["remedy"]
        assert watcher.names == {"x-1", "y-2"}, "the older list was not applied"
        watcher.discovery.close()
        await kill_processes(first)
        first = await start_follower(tmp_path / "a", ports[0], ports[1])
        discarded = await next_log_event(first, "records thrown away, the writer's state taken whole")
        assert (discarded["records"], discarded["lost"], discarded["new_term"]) == (1, ["x-2"], y_2["term"])
        received = await wait_for_list(ports[0], has_version(2))
        assert (
            instance_ids(received) == ["x-1", "y-2"]
            and received == (await call_registry(ports[1], "GET", INSTANCES_PATH))[1]
        )
        await kill_processes(first, second)

    run_test(main())


def test_peers_exchange_terms_and_the_deposed_leader_follows_by_itself(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        both = "--peers", ",".join(f"127.0.0.1:{port}" for port in ports)
        first, second = await start_two_leaders(tmp_path, ports, *both)
        await next_log_event(first, "deposed: another process writes, this one stops")
        await next_log_event(first, "following")
        status, text = await register_endpoint(ports[0], "x-2")
        assert status == 307 and json.loads(text)["writer"] == f"127.0.0.1:{ports[1]}"
        client, received = RegistryClient(f"127.0.0.1:{ports[0]}", Random(1)), list[Any]()
        assert await client.write("PUT", f"{INSTANCES_PATH}/y-2?ttl_ms=60000", ENTRY, received.append), (
            "redirected within one call"
        )
        assert client.leader == ("127.0.0.1", ports[1]) and client.latest_term is not None
        assert instance_ids(await wait_for_list(ports[0], has_version(2))) == ["x-1", "y-2"]
        older_term = {"lineage": client.latest_term[0], "term": client.latest_term[1] - 1}
        assert not client._accept_response(json.dumps(older_term).encode(), received.append), (
            "a response of an older term"
        )
        await kill_processes(second)  # a mere restart of the first doesn't make it leader again
        await kill_processes(first)
        first = await start_registry(tmp_path / "a", ports[0])
        status, _ = await register_endpoint(ports[0], "x-3")
        assert status == 200, "it has the whole log of the greater term, so it may lead"
        await kill_processes(first)

    run_test(main())


def test_a_deposed_leader_does_not_lead_again_after_a_restart(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await start_registry(tmp_path, port)
        _, received = await register_endpoint(port, "s-0")
        greater_term = f"{received['lineage']}:{received['term'] + (1 << 24)}"
        status, _ = await call_registry(port, "GET", INSTANCES_PATH, headers=f"X-Term: {greater_term}\r\n")
        assert status == 200 and (await register_endpoint(port, "s-1"))[0] == 503
        await kill_processes(process)
        process = await start_registry(tmp_path, port)
        assert (await register_endpoint(port, "s-1"))[0] == 503
        assert (await call_registry(port, "GET", INSTANCES_PATH))[1]["following"] is False, (
            "reads are still served, and report that it doesn't follow"
        )
        await kill_processes(process)
        process = await start_registry(tmp_path, port, "--take-over")
        assert (await register_endpoint(port, "s-1"))[0] == 200
        for bogus_term in (f"{'0' * 16}:{1 << 50}", f"{received['lineage']}:{(1 << 52) - 1}", "x"):
            await call_registry(port, "GET", INSTANCES_PATH, headers=f"X-Term: {bogus_term}\r\n")
        assert (await register_endpoint(port, "s-2"))[0] == 200, (
            "a foreign, implausible or malformed term deposes nobody"
        )
        await kill_processes(process)

    run_test(main())


def test_an_acknowledged_write_is_on_the_follower_that_takes_over(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        writer = await start_registry(tmp_path / "a", ports[0], "--copies", "1")
        assert (await register_endpoint(ports[0], "s-0"))[0] == 503, (
            "without a follower the write is not committed, and refused"
        )
        second = await start_follower(tmp_path / "b", ports[1], ports[0])
        answered = [n for n in range(20) if (await register_endpoint(ports[0], f"s-{n}"))[0] == 200]
        await kill_processes(writer, second)
        second = await start_registry(tmp_path / "b", ports[1])
        kept = instance_ids((await call_registry(ports[1], "GET", INSTANCES_PATH))[1])
        assert len(answered) > 15 and {f"s-{n}" for n in answered} <= set(kept)
        await kill_processes(second)

    run_test(main())


HELD: dict[str, Any] = {"lineage": "ab", "term": 5, "generation": 7}


@pytest.mark.parametrize(
    ("received", "is_full", "after_s", "verdict"),
    [
        ({"generation": 8}, False, 0.0, ListDecision.TAKE),
        ({"generation": 6}, True, 0.0, ListDecision.KEEP),
        ({"term": 6, "generation": 2}, True, 0.0, ListDecision.TAKE),
        ({"term": 4, "generation": 9}, True, 99.0, ListDecision.REFUSE),
        ({"lineage": "cd"}, True, OTHER_LINEAGE_AFTER_S - 1.0, ListDecision.REFUSE),
        ({"lineage": "cd"}, True, OTHER_LINEAGE_AFTER_S + 1.0, ListDecision.TAKE),
        ({"lineage": "cd"}, False, OTHER_LINEAGE_AFTER_S + 1.0, ListDecision.REFUSE),
        ({"lineage": "", "term": 0, "generation": 9}, True, 0.0, ListDecision.REFUSE),
    ],
)
def test_the_list_with_the_greater_term_is_the_newer_one(
    received: dict[str, Any], is_full: bool, after_s: float, verdict: ListDecision
) -> None:
    held_list = CurrentVersion()
    held_list.replace(ListVersion(**HELD), 100.0)
    held_list.accepts_any_full_list = False
    assert held_list.evaluate(ListVersion(**{**HELD, **received}), is_full, 100.0 + after_s) == verdict


def test_without_terms_only_a_greater_generation_is_applied() -> None:
    loop = cast(asyncio.AbstractEventLoop, type("Loop", (), {"time": lambda self: 0.0})())
    applied: list[int] = []
    discovery = Discovery(
        loop, "127.0.0.1:1", "/l", True, lambda version, *_: applied.append(version), Random(1)
    )
    for version in (41, 40, 42):
        assert discovery.receive(ListMessage(version, True, []))
    assert (
        applied == [41, 42]
        and discovery.current.watch_target("/l") == "/l?watch=1&from=42"
        and not discovery.current.term_header()
    )
