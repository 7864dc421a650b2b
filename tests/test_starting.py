"""A process is ready in time, whatever discovery and its clients do."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.process import Process, free_port, http_call, sidecar_environ, start_sidecar
from tests.process import wait_until_ready as wait_until_admin_ready
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

READY_S = 10.0  # 90% of restarted processes must be ready by then


async def wait_until_ready(port: int) -> None:
    """Poll readiness as a front proxy does, on a new connection each time, until the first 200."""
    while True:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                if (await http_call(port, "GET", "/health/ready")).start_line.startswith("HTTP/1.1 200"):
                    return
        await asyncio.sleep(0.02)


async def assert_served(port: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http_request())
    assert (await read_message(reader)).body == b"ok"
    writer.close()


async def assert_rejected(port: int) -> None:
    """A request is rejected at once with 503, which permits a retry elsewhere."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(http_request())
    assert (await read_message(reader)).start_line.startswith("HTTP/1.1 503")
    writer.close()


async def kill_process(process: Process) -> None:
    with contextlib.suppress(ProcessLookupError):  # the test has ended it already
        process.kill()
    await process.communicate()


class TricklingDiscovery(LoopbackServer):
    """A discovery service that trickles bytes and never sends a list."""

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                writer.write(b"H")
                await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def discovery_without_list(how: str) -> AsyncIterator[LoopbackServer]:
    """A discovery service that never sends a list, failing in the given way."""
    if how in ("silent", "dripping"):
        server = FakeDiscovery() if how == "silent" else TricklingDiscovery()
        async with await server.start():
            yield server
        return
    listener = LoopbackServer()
    if how == "down":
        listener.port = free_port()
        yield listener
        return
    with contextlib.ExitStack() as stack:  # its accept queue is full: no connection is established
        listening = stack.enter_context(socket.socket())
        listening.bind((listener.host, 0))
        listening.listen(0)
        listener.port = listening.getsockname()[1]
        for _ in range(4):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex((listener.host, listener.port))
        yield listener


@pytest.mark.parametrize("how", ["down", "silent", "dripping", "connecting"])
@pytest.mark.parametrize("discovery", ["push", "ask"])
@on_loop
async def test_ready_in_time_whatever_discovery_does(tmp_path: Path, how: str, discovery: str) -> None:
    endpoint, port = Endpoint(), free_port()
    async with contextlib.AsyncExitStack() as stack:
        discovery_server = await stack.enter_async_context(discovery_without_list(how))
        await stack.enter_async_context(await endpoint.start())
        changes: dict[str, Any] = {"settings": {**SETTINGS, "discovery": discovery}}
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(
                sidecar_environ(tmp_path, discovery_server, endpoint, listen=f"127.0.0.1:{port}", **changes)
            )
            stack.push_async_callback(kill_process, process)
            await wait_until_ready(port)
        if discovery == "push" or how == "down":
            await assert_served(port)
        else:  # a newer list may bind by now, so nothing is sent by the cached one
            await assert_rejected(port)
            assert not endpoint.received


@on_loop
async def test_ready_in_time_without_a_list(tmp_path: Path) -> None:
    port = free_port()
    async with contextlib.AsyncExitStack() as stack:
        discovery_server = await stack.enter_async_context(discovery_without_list("down"))
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(
                sidecar_environ(tmp_path, discovery_server, listen=f"127.0.0.1:{port}")
            )
            stack.push_async_callback(kill_process, process)
            await wait_until_ready(port)


@on_loop
async def test_a_process_that_takes_over_is_ready_in_time_while_discovery_is_silent(tmp_path: Path) -> None:
    endpoint, discovery_server = Endpoint(), FakeDiscovery()
    async with contextlib.AsyncExitStack() as stack:
        listening = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        port = listening.getsockname()[1]
        await stack.enter_async_context(await endpoint.start())
        await stack.enter_async_context(await discovery_server.start())
        environ = {
            **sidecar_environ(tmp_path, discovery_server, endpoint, listen=f"127.0.0.1:{port}"),
            "LB_ACCEPT_FD": str(listening.fileno()),
        }
        previous = None
        for _ in range(2):
            async with asyncio.timeout(READY_S):
                admin_port = free_port()
                process = await start_sidecar(
                    {**environ, "LB_CONSOLE": f"127.0.0.1:{admin_port}"}, listening.fileno()
                )
                stack.push_async_callback(kill_process, process)
                await wait_until_admin_ready(admin_port)
                await wait_until_ready(port)
            if previous is not None:
                previous.kill()  # all requests now go to the process that took over
            previous = process
        await assert_served(port)


@on_loop
async def test_ready_in_time_in_a_crowd_of_idle_clients(tmp_path: Path) -> None:
    """The clients use up all sockets and reconnect as soon as they are closed."""
    endpoint, port = Endpoint(), free_port()
    async with contextlib.AsyncExitStack() as stack:
        discovery_server = await stack.enter_async_context(discovery_without_list("down"))
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
        stack.callback(lambda: [task.cancel() for task in crowd])
        async with asyncio.timeout(READY_S):
            process = await start_sidecar(sidecar_environ(tmp_path, discovery_server, endpoint, **changes))
            stack.push_async_callback(kill_process, process)
            await wait_until_ready(port)


@on_loop
async def test_a_new_client_that_sends_a_request_is_served_in_a_crowd_of_silent_ones() -> None:
    """All sockets are in use, and no client has been silent for long yet."""
    async with run_sidecar(Endpoint()) as sidecar:
        sidecar.server.max_sockets = 64  # 48 of them for clients
        first, first_writer = await sidecar.connect()
        first_writer.write(http_request(rid="first")[:1])  # it has sent part of a request
        crowd = [await sidecar.connect() for _ in range(47)]
        await wait_until(lambda: len(sidecar.server.connections) == 48)
        for n in range(20):  # each is followed by another silent client
            client = await sidecar.connect()
            crowd.append(await sidecar.connect())
            client[1].write(http_request(rid=f"r{n}"))
            assert (await read_message(client[0])).body == b"ok"
            client[1].close()
            await wait_until(lambda: len(sidecar.server.connections) <= 48)
        first_writer.write(http_request(rid="first")[1:])
        assert (await read_message(first)).body == b"ok"
        for _, writer in crowd:
            writer.close()
        assert not sidecar.driver.calls
