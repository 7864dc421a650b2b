"""Replicas of the list service: what they follow, what a client does when they fail."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.faults import CUT, DROP, PASS, FaultProxy
from tests.process import Process, call, config, free_port, ready, start
from tests.sockets import Endpoint, read_message, request, run
from tests.test_registry import ENTRY, Watcher, ask, register, service
from woadyard.errors import RecordError
from woadyard.lists import ListBook
from woadyard.lists.service import PATH
from woadyard.registry.host import NO_CHAIN
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

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
        _, listing = await ask(port, "GET", PATH)
        if true(listing):
            return dict(listing)
        await asyncio.sleep(0.02)


def caught_up(version: int) -> Callable[[dict[str, Any]], bool]:
    return lambda told: told["generation"] == version and "following" not in told


def test_a_replica_follows_over_cuts_and_kills_and_takes_the_writers_place(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        writer = await service(tmp_path / "w", ports[0])
        proxy = FaultProxy(target=ports[0])
        async with await proxy.start():
            second = await replica(tmp_path / "r", ports[1], proxy.port)
            await register(ports[0], "s-0")
            await until(ports[1], caught_up(1))
            status, _ = await register(ports[1], "s-1")
            assert status == 307, "a replica sends writers on"
            proxy.fault(DROP)
            await register(ports[0], "s-1")
            cut_off = await until(ports[1], lambda told: told.get("following") is False)
            assert cut_off["generation"] == 1, "it serves what it has, and says so"
            await end(second)
            proxy.fault(PASS)
            second = await replica(tmp_path / "r", ports[1], proxy.port)
            assert (await until(ports[1], caught_up(2)))["instances"][1]["instanceId"] == "s-1"
            await end(writer, second)
        second = await service(tmp_path / "r", ports[1])  # without --follow: the writer from now on
        assert (await register(ports[1], "s-2"))[1]["generation"] == 3
        await end(second)

    run(main())


def test_a_sidecar_turns_to_another_replica_and_to_no_older_list(tmp_path: Path) -> None:
    """A sidecar process with two replicas, one cut off from the writer, one cut off
    from the sidecar: it is sent to what only the newest list names."""

    async def main() -> None:
        async with AsyncExitStack() as stack:
            old, new = Endpoint(), Endpoint()
            ports = [free_port() for _ in range(3)]
            to_writer, *to_replicas = proxies = [FaultProxy(target=port) for port in ports]
            listeners: tuple[Any, ...] = (old, new, *proxies)
            for one in listeners:
                await stack.enter_async_context(await one.start())
            services = [await service(tmp_path / "w", ports[0])]
            services.append(await replica(tmp_path / "1", ports[1], to_writer.port))
            services.append(await replica(tmp_path / "2", ports[2], ports[0]))
            entry = json.dumps(old.entry("s-0")).encode()
            assert (await ask(ports[0], "PUT", f"{PATH}/s-0?ttl_ms=60000", entry))[0] == 200
            for port in ports[1:]:
                await until(port, caught_up(1))
            port, door = free_port(), free_port()
            environ = config(tmp_path, to_replicas[0], known=None)
            both = ",".join(f"127.0.0.1:{one.port}" for one in to_replicas)
            sidecar = await start(
                {**environ, "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}",
                 "LB_DISCOVERY": both}
            )  # fmt: skip
            await ready(door)

            async def version(wanted: int) -> None:
                while (
                    f"woadyard_list_version {wanted}.0"
                    not in (await call(door, "GET", "/_metrics")).body.decode()
                ):
                    await asyncio.sleep(0.02)

            await version(1)
            to_writer.fault(DROP)  # the first replica lags from now on
            entry = json.dumps(new.entry("s-1")).encode()
            assert (await ask(ports[0], "PUT", f"{PATH}/s-1?ttl_ms=60000", entry))[0] == 200
            assert (await ask(ports[0], "DELETE", f"{PATH}/s-0"))[0] == 200
            await version(3)
            to_replicas[1].fault(CUT)  # and only the one that lags is left
            taken = to_replicas[0].taken
            while to_replicas[0].taken < taken + 2:
                await asyncio.sleep(0.02)
            await version(3)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for n in range(5):
                writer.write(request(rid=f"r{n}"))
                assert (await read_message(reader)).start.split()[1] == "200"
            writer.close()
            assert len(new.got) == 5 and not old.got, "nothing went by the older list"
            await end(sidecar, *services)

    run(main())


def test_a_replica_of_another_log_is_turned_down_and_says_it_does_not_follow(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        first = await service(tmp_path / "1", ports[0])
        await register(ports[0], "s-0")
        await end(first)
        writer = await service(tmp_path / "2", ports[0])  # an empty folder: another lineage
        for n in range(3):
            await register(ports[0], f"t-{n}")
        second = await replica(tmp_path / "1", ports[1], ports[0])
        assert writer.stderr is not None
        while json.loads(await writer.stderr.readline())["event"] != "call refused":
            pass
        _, told = await ask(ports[1], "GET", PATH)
        assert told["following"] is False
        assert [one["instanceId"] for one in told["instances"]] == ["s-0"]
        await end(writer, second)

    run(main())


def test_a_watch_on_a_replica_that_lost_its_writer_moves_on_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(), free_port()]
        writer = await service(tmp_path / "w", ports[0])
        await register(ports[0], "s-0")
        proxy = FaultProxy(target=ports[0])
        async with await proxy.start():
            second = await replica(tmp_path / "r", ports[1], proxy.port)
            await until(ports[1], caught_up(1))
            watcher = Watcher(ports[1], 1, 1)
            watcher.discovery.replicas = [f"127.0.0.1:{port}" for port in reversed(ports)]
            await watcher.reached.wait()
            proxy.fault(CUT)
            await register(ports[0], "s-1")
            watcher.wanted, watcher.reached = 2, asyncio.Event()
            await watcher.reached.wait()
            watcher.discovery.close()
            assert [version for version, _, _ in watcher.told] == sorted(v for v, _, _ in watcher.told)
            await end(writer, second)

    run(main())


def test_leases_run_anew_once_somebody_writes_again(tmp_path: Path) -> None:
    """While the service was down nobody could renew: a restart must not empty the list."""
    clock = [0]

    def opened() -> Registry:
        return Registry(Journal(tmp_path), clock=lambda: clock[0])

    async def main() -> None:
        registry = opened()
        registry.lead()
        put = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        assert registry.write(put)[0] == 200
        clock[0] = 60_000_000  # a minute's outage
        again = opened()
        again.lead()
        again.write({"op": "expire"})
        assert list(again.book(ListBook).entries) == ["s-0"]
        clock[0] += 1_000_000
        again.write({"op": "expire"})
        assert not again.book(ListBook).entries, "and run out as before"

    run(main())


def test_a_replica_too_far_behind_gets_the_state_whole(tmp_path: Path) -> None:
    async def main() -> None:
        writer = Registry(Journal(tmp_path / "w"), clock=lambda: 0)
        writer.lead()
        put = {"op": "put", "entry": {**ENTRY, "instanceId": "s-0"}, "ttl_us": 1_000_000}
        writer.write(put)
        assert [one["op"] for one in writer.log_after(0, NO_CHAIN, "")["records"]] == ["lead", "put"]
        writer.journal.snapshot(writer.host)
        again = Registry(Journal(tmp_path / "w"), clock=lambda: 0)
        told = again.log_after(0, NO_CHAIN, "")
        assert "records" not in told and told["snapshot"]["books"]["list"]["entries"].keys() == {"s-0"}
        with pytest.raises(RecordError):
            again.log_after(0, NO_CHAIN, "another")

    run(main())
