"""Crowds that hold on to their connections: what is kept for others, and who gives way."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.process import Process, free_port, http_call, sidecar_environ, wait_until_ready
from tests.sockets import (
    TIMEOUT_S,
    Endpoint,
    FakeDiscovery,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    on_loop,
    push_list,
    read_message,
    run_sidecar,
    wait_until,
)
from woadyard.net.client_connection import ClientConnection
from woadyard.net.threaded_http import MAX_CONNECTIONS


async def joined(one: Sidecar) -> tuple[asyncio.StreamReader, Writer, ClientConnection]:
    """A connection of its own, and the sidecar's side of it."""
    before = set(one.server.connections)
    reader, writer = await one.connect()
    await wait_until(lambda: bool(one.server.connections.keys() - before))
    (caller,) = one.server.connections.keys() - before
    return reader, writer, caller


@on_loop
async def test_who_reads_slowly_keeps_its_connection_and_its_place_in_the_count() -> None:
    """Its descriptor is open until the last byte is read: whoever takes its place is one too many."""
    body = b"x" * 60_000

    async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(body=body))

    async with run_sidecar(Endpoint(large)) as one:
        one.server.max_sockets = 2  # one of them for callers
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(slow, ("127.0.0.1", one.port))
        await wait_until(lambda: bool(one.server.connections))
        (caller,) = one.server.connections
        assert caller.transport is not None
        ours = caller.transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await loop.sock_sendall(slow, http_request())
        await wait_until(lambda: caller in one.server.idle_since)
        assert caller.transport.get_write_buffer_size()
        late, _ = await one.connect()
        with contextlib.suppress(ConnectionError):
            assert await late.read() == b"", "nobody can give way"
        assert list(one.server.connections) == [caller] and not caller.is_closed
        reader, writer = await asyncio.open_connection(sock=slow)
        assert (await read_message(reader)).body == body
        writer.write(http_request(rid="r2"))
        assert (await read_message(reader)).body == body
        writer.close()
        await wait_until(lambda: not one.server.connections)


@on_loop
async def test_refused_peers_that_hold_on_give_way_to_who_asks() -> None:
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 8  # 6 of them for callers
        one.server.timeouts.linger_s, one.server.timeouts.overload_linger_s = TIMEOUT_S, 0.0
        crowd = [await one.connect() for _ in range(6)]
        for reader, writer in crowd:
            writer.write(b"nonsense\r\n\r\n")
            assert (await read_message(reader)).start_line.split()[1] == "400"
        assert len(one.server.connections) == 6
        resting, resting_writer, _ = await joined(one)
        resting_writer.write(http_request(rid="rests"))
        assert (await read_message(resting)).body == b"ok"
        assert (await one.send(http_request(rid="good"))).body == b"ok"
        resting_writer.write(http_request(rid="again"))
        assert (await read_message(resting)).body == b"ok", "who was refused goes before who rests"
        for _, writer in [*crowd, (None, resting_writer)]:
            writer.close()
        await wait_until(lambda: not one.server.connections)


@on_loop
async def test_a_refused_peer_has_a_moment_to_read_its_answer_whoever_comes() -> None:
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 2  # one of them for callers
        one.server.timeouts.linger_s = one.server.timeouts.overload_linger_s = TIMEOUT_S
        reader, writer, caller = await joined(one)
        writer.write(b"nonsense\r\n\r\n")
        assert (await read_message(reader)).start_line.split()[1] == "400"
        late, _ = await one.connect()
        with contextlib.suppress(ConnectionError):
            assert await late.read() == b""
        assert list(one.server.connections) == [caller]
        writer.close()
        await wait_until(lambda: not one.server.connections)


@pytest.mark.parametrize("sent", [b"", b"GET /pa"], ids=["silent", "half a request"])
@on_loop
async def test_who_owes_a_request_for_long_gives_way_before_who_came_to_rest_just_now(sent: bytes) -> None:
    """The next request of the one at rest may be on its way: that one would be lost."""
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 4  # 3 of them for callers
        one.server.timeouts.overload_request_s = one.server.timeouts.request_s = TIMEOUT_S
        resting, resting_writer, _ = await joined(one)
        resting_writer.write(http_request(rid="rests"))
        assert (await read_message(resting)).body == b"ok"
        reader, writer, owing = await joined(one)
        _, fresh_writer, fresh = await joined(one)
        writer.write(sent)
        await wait_until(lambda: owing.parser.is_reading == bool(sent))
        owing.awaiting_since_s -= 2 * TIMEOUT_S
        assert (await one.send(http_request(rid="good"))).body == b"ok"
        assert await reader.read() == b"" and fresh in one.server.connections
        resting_writer.write(http_request(rid="again"))
        assert (await read_message(resting)).body == b"ok"
        for each in (writer, fresh_writer, resting_writer):
            each.close()
        await wait_until(lambda: not one.server.connections)


@on_loop
async def test_ids_that_are_remembered_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("woadyard.net.server.MAX_REMEMBERED_IDS", 3)
    async with run_sidecar(Endpoint()) as one:
        for n in range(5):
            assert (await one.send(http_request(rid=f"r{n}"))).body == b"ok"
        for bad in (
            http_request("none", rid="bad"),
            http_request(rid="x" * 129),
            http_request(deadline_ms=-1, rid="bad"),
        ):
            assert (await one.send(bad)).start_line.split()[1][0] == "4"
        assert list(one.server.request_ids) == [b"r2", b"r3", b"r4"], "the latest, and none of a bad request"
        assert (await one.send(http_request(rid="r4"))).start_line.split()[1] == "409"


@on_loop
async def test_two_processes_together_stay_within_the_limit() -> None:
    """Each has its own listener, watch and door besides the sockets of both sides."""
    async with run_sidecar(Endpoint()) as one:
        one.server.total_sockets, one.server.reserved_fds = 256 - 64, 64
        one.server.set_socket_share(0.5)
        assert 2 * (one.server.max_sockets + 64) == 256 and one.upstream.max_sockets == one.server.max_sockets
        one.server.set_socket_share(1.0)
        assert one.server.max_sockets + 64 == 256


@pytest.mark.parametrize("adopted", [False, True], ids=["own", "adopted"])
@on_loop
async def test_small_writes_leave_at_once_on_every_side(adopted: bool) -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as one:
        if adopted:
            assert one.server.listener is not None
            one.server.listener.close()
            listening = socket.create_server(("127.0.0.1", 0))
            one.port = listening.getsockname()[1]
            await one.server.adopt_socket(listening.detach())
        reader, writer, caller = await joined(one)
        writer.write(http_request())
        assert (await read_message(reader)).body == b"ok"
        await registry.watches.get()
        (link,) = one.upstream.endpoint_connections
        assert one.driver.discovery is not None and one.driver.discovery.stream is not None
        for each in (caller.transport, link.transport, one.driver.discovery.stream.transport):
            assert each is not None
            ours = each.get_extra_info("socket")
            assert ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()


# --- The whole process -----------------------------------------------------------------


def descriptors(process: Process) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@contextlib.contextmanager
def crowd(size: int, *ports: int) -> Iterator[list[socket.socket]]:
    """Connections that bring nothing, begun without waiting for one another."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for n in range(size):
            one = stack.enter_context(socket.socket())
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", ports[n % len(ports)]))
            sockets.append(one)
        yield sockets


async def limited(environ: dict[str, str], most: int) -> Process:
    """The program where the system gives it so many descriptors."""
    script = 'ulimit -n "$0"; exec "$@"'
    return await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", script, str(most), sys.executable, "-m", "woadyard",
        env=environ, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


def ended(one: socket.socket) -> bool:
    try:
        return not one.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


async def asked(port: int) -> Message:
    """The answer to a request that is sent again on a new connection until it gets one."""
    for n in itertools.count():
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.closing(writer):
                writer.write(http_request(rid=f"good-{n}"))
                return await read_message(reader)
        await asyncio.sleep(0.01)
    raise AssertionError


@pytest.mark.parametrize(("told", "given"), [(128, 1024), (1024, 128)], ids=["told", "given"])
@on_loop
async def test_a_crowd_leaves_discovery_endpoints_and_the_door_their_descriptors(
    tmp_path: Path, told: int, given: int
) -> None:
    """It comes while discovery is down, to the callers' side and to the door; the settings
    or the system say how many descriptors there are."""
    endpoint, registry = Endpoint(), FakeDiscovery()
    registry.port, port, door = free_port(), free_port(), free_port()
    environ = {
        **sidecar_environ(tmp_path, registry, endpoint, limits={"sockets": told}),
        "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}",
    }  # fmt: skip
    async with await endpoint.start():
        sidecar_environ(tmp_path, registry, endpoint, limits={"sockets": told})  # it has its port now
        process = await limited(environ, given)
        try:
            await wait_until_ready(door)
            with crowd(300, port) as callers, crowd(2 * MAX_CONNECTIONS, door):
                peak = 0
                while sum(ended(one) for one in callers) < 200:
                    peak = max(peak, descriptors(process))
                    await asyncio.sleep(0)
                assert (await http_call(door, "GET", "/_ready")).start_line.startswith("HTTP/1.1 200")
                async with await registry.start(registry.port):
                    _, watch = await registry.watches.get()
                    push_list(watch, 2, True, endpoint.entry())
                    assert (await asked(port)).body == b"ok"
                    assert peak <= min(told, given) - 16, "a quarter of what both sides share"
                    process.terminate()
                    await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
            _, errors = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in errors
