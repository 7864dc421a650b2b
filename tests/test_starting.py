"""The time until a process is ready, however discovery and its callers are."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.process import Process, free_port, http_call, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import (
    SETTINGS,
    Endpoint,
    FakeDiscovery,
    LoopbackServer,
    Reader,
    Writer,
    http_request,
    on_loop,
    read_message,
    run_sidecar,
    wait_until,
)

READY_S = 10.0  # nine in ten restarted processes have to be ready by then


async def ready(port: int) -> None:
    """As a front asks: on a new connection each time, until the first 200."""
    while True:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                if (await http_call(port, "GET", "/health/ready")).start_line.startswith("HTTP/1.1 200"):
                    return
        await asyncio.sleep(0.02)


async def served(port: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http_request())
    assert (await read_message(reader)).body == b"ok"
    writer.close()


async def refused(port: int) -> None:
    """At once: a retry elsewhere is harmless."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http_request())
    assert (await read_message(reader)).start_line.startswith("HTTP/1.1 503")
    writer.close()


async def end(process: Process) -> None:
    with contextlib.suppress(ProcessLookupError):  # it was ended by the test
        process.kill()
    await process.communicate()


class Dripping(LoopbackServer):
    """Discovery that sends a byte now and then, and no list."""

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                writer.write(b"H")
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def deaf(how: str) -> AsyncIterator[LoopbackServer]:
    """Discovery that never tells a list."""
    if how in ("silent", "dripping"):
        telling = FakeDiscovery() if how == "silent" else Dripping()
        async with await telling.start():
            yield telling
        return
    listener = LoopbackServer()
    if how == "down":
        listener.port = free_port()
        yield listener
        return
    with contextlib.ExitStack() as stack:  # its queue is full: no connection comes up
        full = stack.enter_context(socket.socket())
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        listener.port = full.getsockname()[1]
        for _ in range(4):
            one = stack.enter_context(socket.socket())
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", listener.port))
        yield listener


@pytest.mark.parametrize("how", ["down", "silent", "dripping", "connecting"])
@pytest.mark.parametrize("discovery", ["push", "ask"])
@on_loop
async def test_it_is_ready_in_time_whatever_discovery_does(tmp_path: Path, how: str, discovery: str) -> None:
    endpoint, port = Endpoint(), free_port()
    async with contextlib.AsyncExitStack() as stack:
        registry = await stack.enter_async_context(deaf(how))
        await stack.enter_async_context(await endpoint.start())
        changes: dict[str, Any] = {"settings": {**SETTINGS, "discovery": discovery}}
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(
                sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}", **changes)
            )
            stack.push_async_callback(end, process)
            await ready(port)
        if discovery == "push" or how == "down":
            await served(port)
        else:  # a change may have bound by now: nothing is sent by the list from before the start
            await refused(port)
            assert not endpoint.received


@on_loop
async def test_it_is_ready_in_time_without_a_list(tmp_path: Path) -> None:
    port = free_port()
    async with contextlib.AsyncExitStack() as stack:
        registry = await stack.enter_async_context(deaf("down"))
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(sidecar_environ(tmp_path, registry, listen=f"127.0.0.1:{port}"))
            stack.push_async_callback(end, process)
            await ready(port)


@on_loop
async def test_one_that_takes_over_is_ready_in_time_though_discovery_is_silent(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with contextlib.AsyncExitStack() as stack:
        listening = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        port = listening.getsockname()[1]
        await stack.enter_async_context(await endpoint.start())
        await stack.enter_async_context(await registry.start())
        environ = {
            **sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}"),
            "LB_ACCEPT_FD": str(listening.fileno()),
        }
        elder = None
        for _ in range(2):
            async with asyncio.timeout(READY_S):
                door = free_port()
                process = await start_sidecar(
                    {**environ, "LB_CONSOLE": f"127.0.0.1:{door}"}, listening.fileno()
                )
                stack.push_async_callback(end, process)
                await wait_until_ready(door)
                await ready(port)
            if elder is not None:
                elder.kill()  # all requests go to the one that took over
            elder = process
        await served(port)


@on_loop
async def test_it_is_ready_in_time_in_a_crowd_of_idle_callers(tmp_path: Path) -> None:
    """They take every place there is, and come again as soon as they are closed."""
    endpoint, port = Endpoint(), free_port()
    async with contextlib.AsyncExitStack() as stack:
        registry = await stack.enter_async_context(deaf("down"))
        await stack.enter_async_context(await endpoint.start())
        changes: dict[str, Any] = {"listen": f"127.0.0.1:{port}", "limits": {"sockets": 64}}

        async def idle() -> None:
            while True:
                with contextlib.suppress(ConnectionError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    await reader.read()
                    writer.close()
                await asyncio.sleep(0.02)

        crowd = [asyncio.create_task(idle()) for _ in range(100)]
        stack.callback(lambda: [one.cancel() for one in crowd])
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(sidecar_environ(tmp_path, registry, endpoint, **changes))
            stack.push_async_callback(end, process)
            await ready(port)


@on_loop
async def test_who_asks_as_it_comes_is_heard_in_a_crowd_that_says_nothing() -> None:
    """Places are all taken, and nobody has owed a request for long yet."""
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 64  # 48 of them for callers
        first, first_writer = await one.connect()
        first_writer.write(http_request(rid="first")[:1])  # it has said something
        crowd = [await one.connect() for _ in range(47)]
        await wait_until(lambda: len(one.server.connections) == 48)
        for n in range(20):  # each is followed by another that says nothing
            asker = await one.connect()
            crowd.append(await one.connect())
            asker[1].write(http_request(rid=f"r{n}"))
            assert (await read_message(asker[0])).body == b"ok"
            asker[1].close()
            await wait_until(lambda: len(one.server.connections) <= 48)
        first_writer.write(http_request(rid="first")[1:])
        assert (await read_message(first)).body == b"ok"
        for _, writer in crowd:
            writer.close()
        assert not one.driver.calls
