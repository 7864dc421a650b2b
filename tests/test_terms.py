"""Two processes that both believe they write: one history survives, and the other says so."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest

from tests.process import Process, free_port
from tests.sockets import run_test
from tests.test_registry import ENTRY, Watcher, ask, register, service
from tests.test_replicas import caught_up, end, replica, until
from woadyard.lists.service import PATH
from woadyard.net.discovery import Discovery
from woadyard.net.list_version import (
    KEEP,
    OTHER_LINEAGE_AFTER_S,
    REFUSE,
    TAKE,
    CurrentVersion,
    ListMessage,
    ListVersion,
)
from woadyard.net.registry_client import RegistryClient


async def next_log_event(process: Process, event: str) -> dict[str, Any]:
    """The next line of that event in the process's log."""
    assert process.stderr is not None
    while True:
        line = json.loads(await process.stderr.readline())
        if line["event"] == event:
            return dict(line)


def instance_ids(listing: dict[str, Any]) -> list[str]:
    return [one["instanceId"] for one in listing["instances"]]


async def both_write(folder: Path, ports: list[int], *more: str) -> list[Process]:
    """A writer with `x-1`, and a replica of it that was given its place, both alive."""
    writer = await service(folder / "a", ports[0], *more)
    assert (await register(ports[0], "x-1"))[0] == 200
    second = await replica(folder / "b", ports[1], ports[0])
    await until(ports[1], caught_up(1))
    await end(second)
    return [writer, await service(folder / "b", ports[1], *more)]


def test_a_client_tells_the_replaced_writer_and_what_only_that_wrote_is_said_to_be_lost(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        first, second = await both_write(tmp_path, ports)
        _, x_2 = await register(ports[0], "x-2")
        _, y_2 = await register(ports[1], "y-2")
        assert x_2["generation"] == y_2["generation"] == 2 and x_2["term"] < y_2["term"]
        watcher = Watcher(ports[1], 1, 2)  # of the newer one
        await watcher.reached.wait()
        watcher.discovery.replicas = [f"127.0.0.1:{ports[0]}"]  # and now of the older alone
        watcher.discovery.set_watch(True)
        loser = await next_log_event(first, "deposed: another process writes, this one stops")
        assert loser["greater"] == y_2["term"] and loser["remedy"]
        status, text = await register(ports[0], "x-3")
        assert status == 503 and json.loads(text)["remedy"]
        assert watcher.names == {"x-1", "y-2"}, "the older list was not taken"
        watcher.discovery.close()
        await end(first)
        first = await replica(tmp_path / "a", ports[0], ports[1])
        lost = await next_log_event(first, "records thrown away, the writer's state taken whole")
        assert (lost["records"], lost["lost"], lost["new_term"]) == (1, ["x-2"], y_2["term"])
        told = await until(ports[0], caught_up(2))
        assert instance_ids(told) == ["x-1", "y-2"] and told == (await ask(ports[1], "GET", PATH))[1]
        await end(first, second)

    run_test(main())


def test_peers_tell_each_other_and_the_loser_follows_by_itself(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        both = "--peers", ",".join(f"127.0.0.1:{port}" for port in ports)
        first, second = await both_write(tmp_path, ports, *both)
        await next_log_event(first, "deposed: another process writes, this one stops")
        await next_log_event(first, "following")
        status, text = await register(ports[0], "x-2")
        assert status == 307 and json.loads(text)["writer"] == f"127.0.0.1:{ports[1]}"
        caller, told = RegistryClient(f"127.0.0.1:{ports[0]}", Random(1)), list[Any]()
        assert await caller.write("PUT", f"{PATH}/y-2?ttl_ms=60000", ENTRY, told.append), "in one call"
        assert caller.leader == ("127.0.0.1", ports[1]) and caller.latest_term is not None
        assert instance_ids(await until(ports[0], caught_up(2))) == ["x-1", "y-2"]
        older = {"lineage": caller.latest_term[0], "term": caller.latest_term[1] - 1}
        assert not caller._accept_response(json.dumps(older).encode(), told.append), (
            "an answer of an older term"
        )
        await end(second)  # its place is not taken back by a mere restart of the first
        await end(first)
        first = await service(tmp_path / "a", ports[0])
        status, _ = await register(ports[0], "x-3")
        assert status == 200, "it holds all of the greater term, so it may lead on"
        await end(first)

    run_test(main())


def test_a_restart_does_not_take_back_a_place_that_was_lost(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await service(tmp_path, port)
        _, told = await register(port, "s-0")
        greater = f"{told['lineage']}:{told['term'] + (1 << 24)}"
        status, _ = await ask(port, "GET", PATH, headers=f"X-Term: {greater}\r\n")
        assert status == 200 and (await register(port, "s-1"))[0] == 503
        await end(process)
        process = await service(tmp_path, port)
        assert (await register(port, "s-1"))[0] == 503
        assert (await ask(port, "GET", PATH))[1]["following"] is False, "reads go on, and say so"
        await end(process)
        process = await service(tmp_path, port, "--take-over")
        assert (await register(port, "s-1"))[0] == 200
        for lie in (f"{'0' * 16}:{1 << 50}", f"{told['lineage']}:{(1 << 52) - 1}", "x"):
            await ask(port, "GET", PATH, headers=f"X-Term: {lie}\r\n")
        assert (await register(port, "s-2"))[0] == 200, "another log's term, or a lie, deposes nobody"
        await end(process)

    run_test(main())


def test_a_write_that_was_answered_is_at_the_replica_that_takes_the_writers_place(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        writer = await service(tmp_path / "a", ports[0], "--copies", "1")
        assert (await register(ports[0], "s-0"))[0] == 503, "nobody follows: not settled, and said"
        second = await replica(tmp_path / "b", ports[1], ports[0])
        answered = [n for n in range(20) if (await register(ports[0], f"s-{n}"))[0] == 200]
        await end(writer, second)
        second = await service(tmp_path / "b", ports[1])
        kept = instance_ids((await ask(ports[1], "GET", PATH))[1])
        assert len(answered) > 15 and {f"s-{n}" for n in answered} <= set(kept)
        await end(second)

    run_test(main())


OF: dict[str, Any] = {"lineage": "ab", "term": 5, "generation": 7}


@pytest.mark.parametrize(
    ("told", "whole", "after_s", "verdict"),
    [
        ({"generation": 8}, False, 0.0, TAKE),
        ({"generation": 6}, True, 0.0, KEEP),
        ({"term": 6, "generation": 2}, True, 0.0, TAKE),
        ({"term": 4, "generation": 9}, True, 99.0, REFUSE),
        ({"lineage": "cd"}, True, OTHER_LINEAGE_AFTER_S - 1.0, REFUSE),
        ({"lineage": "cd"}, True, OTHER_LINEAGE_AFTER_S + 1.0, TAKE),
        ({"lineage": "cd"}, False, OTHER_LINEAGE_AFTER_S + 1.0, REFUSE),
        ({"lineage": "", "term": 0, "generation": 9}, True, 0.0, REFUSE),
    ],
)
def test_the_greater_term_is_the_newer_list(
    told: dict[str, Any], whole: bool, after_s: float, verdict: str
) -> None:
    held = CurrentVersion()
    held.replace(ListVersion(**OF), 100.0)
    held.accepts_any_full_list = False
    assert held.evaluate(ListVersion(**{**OF, **told}), whole, 100.0 + after_s) == verdict


def test_discovery_without_terms_hears_no_more_than_before() -> None:
    loop = cast(asyncio.AbstractEventLoop, type("Loop", (), {"time": lambda self: 0.0})())
    heard: list[int] = []
    one = Discovery(loop, "127.0.0.1:1", "/l", True, lambda version, *_: heard.append(version), Random(1))
    for version in (41, 40, 42):
        assert one.receive(ListMessage(version, True, []))
    assert (
        heard == [41, 42]
        and one.current.watch_target("/l") == "/l?watch=1&from=42"
        and not one.current.term_header()
    )
