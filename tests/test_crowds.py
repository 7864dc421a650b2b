"""Clients that hold many connections: what is reserved, and which connections are closed."""

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
from woadyard.net.request_ids import SET_SIZE, RequestIds
from woadyard.net.threaded_http import MAX_CONNECTIONS


async def open_connection(proxy: Sidecar) -> tuple[asyncio.StreamReader, Writer, ClientConnection]:
    """Open a client connection; return the client's streams and the sidecar's side of it."""
    before = set(proxy.server.connections)
    reader, writer = await proxy.connect()
    await wait_until(lambda: bool(proxy.server.connections.keys() - before))
    (connection,) = proxy.server.connections.keys() - before
    return reader, writer, connection


@on_loop
async def test_a_client_that_reads_slowly_keeps_its_connection_and_counts_against_the_limit() -> None:
    """Its descriptor stays open until the last byte is read, so it still counts against the limit."""
    body = b"x" * 60_000

    async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(body=body))

    async with run_sidecar(Endpoint(large)) as proxy:
        proxy.server.max_sockets = 2  # one of them for clients
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client_socket, ("127.0.0.1", proxy.port))
        await wait_until(lambda: bool(proxy.server.connections))
        (connection,) = proxy.server.connections
        assert connection.transport is not None
        server_socket = connection.transport.get_extra_info("socket")
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await loop.sock_sendall(client_socket, http_request())
        await wait_until(lambda: connection in proxy.server.idle_since)
        assert connection.transport.get_write_buffer_size()
        late_reader, _ = await proxy.connect()
        with contextlib.suppress(ConnectionError):
            assert await late_reader.read() == b"", "no other connection can be closed"
        assert list(proxy.server.connections) == [connection] and not connection.is_closed
        reader, writer = await asyncio.open_connection(sock=client_socket)
        assert (await read_message(reader)).body == body
        writer.write(http_request(rid="r2"))
        assert (await read_message(reader)).body == body
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_rejected_connections_that_stay_open_are_closed_for_new_ones() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.max_sockets = 8  # 6 of them for clients
        proxy.server.timeouts.linger_s, proxy.server.timeouts.overload_linger_s = TIMEOUT_S, 0.0
        rejected = [await proxy.connect() for _ in range(6)]
        for reader, writer in rejected:
            writer.write(b"nonsense\r\n\r\n")
            assert (await read_message(reader)).start_line.split()[1] == "400"
        assert len(proxy.server.connections) == 6
        idle_reader, idle_writer, _ = await open_connection(proxy)
        idle_writer.write(http_request(rid="rests"))
        assert (await read_message(idle_reader)).body == b"ok"
        assert (await proxy.send(http_request(rid="good"))).body == b"ok"
        idle_writer.write(http_request(rid="again"))
        assert (await read_message(idle_reader)).body == b"ok", (
            "rejected connections are closed before idle ones"
        )
        for _, writer in [*rejected, (None, idle_writer)]:
            writer.close()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_a_rejected_client_has_time_to_read_its_response_at_the_limit() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.max_sockets = 2  # one of them for clients
        proxy.server.timeouts.linger_s = proxy.server.timeouts.overload_linger_s = TIMEOUT_S
        reader, writer, connection = await open_connection(proxy)
        writer.write(b"nonsense\r\n\r\n")
        assert (await read_message(reader)).start_line.split()[1] == "400"
        late_reader, _ = await proxy.connect()
        with contextlib.suppress(ConnectionError):
            assert await late_reader.read() == b""
        assert list(proxy.server.connections) == [connection]
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@pytest.mark.parametrize("sent", [b"", b"GET /pa"], ids=["silent", "half a request"])
@on_loop
async def test_a_connection_with_an_overdue_request_is_closed_before_one_that_just_became_idle(
    sent: bytes,
) -> None:
    """The next request of a connection that just became idle may be on its way, and would be lost."""
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.max_sockets = 4  # 3 of them for clients
        proxy.server.timeouts.overload_request_s = proxy.server.timeouts.request_s = TIMEOUT_S
        idle_reader, idle_writer, _ = await open_connection(proxy)
        idle_writer.write(http_request(rid="rests"))
        assert (await read_message(idle_reader)).body == b"ok"
        reader, writer, overdue = await open_connection(proxy)
        _, newest_writer, newest = await open_connection(proxy)
        writer.write(sent)
        await wait_until(lambda: overdue.parser.is_reading == bool(sent))
        overdue.request_timer.awaiting_since_s -= 2 * TIMEOUT_S
        assert (await proxy.send(http_request(rid="good"))).body == b"ok"
        assert await reader.read() == b"" and newest in proxy.server.connections
        idle_writer.write(http_request(rid="again"))
        assert (await read_message(idle_reader)).body == b"ok"
        for each in (writer, newest_writer, idle_writer):
            each.close()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_the_number_of_remembered_request_ids_is_bounded() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.driver.requests.ids = ids = RequestIds(SET_SIZE)
        for n in range(SET_SIZE + 2):
            assert (await proxy.send(http_request(rid=f"r{n}"))).body == b"ok"
        for invalid in (
            http_request("none", rid="bad"),
            http_request(rid="x" * 129),
            http_request(deadline_ms=-1, rid="bad"),
        ):
            assert (await proxy.send(invalid)).start_line.split()[1][0] == "4"
        known = [ids.is_known(b"r%d" % n, proxy.driver.now()) for n in range(SET_SIZE + 2)]
        assert known == [False] * 2 + [True] * SET_SIZE, "the newest, and none of an invalid request"
        assert not ids.is_known(b"bad", proxy.driver.now())
        assert (await proxy.send(http_request(rid="r4"))).start_line.split()[1] == "409"


@on_loop
async def test_requests_that_never_ran_displace_no_remembered_id() -> None:
    """Guards against a flood of refused requests after which an id that has run may run again."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        proxy.driver.requests.ids = RequestIds(SET_SIZE)
        assert (await proxy.send(http_request("pay", rid="ran"))).body == b"ok"
        for n in range(5 * SET_SIZE):
            refused = await proxy.send(http_request("pay", rid=f"refused-{n}", deadline_ms=0))
            assert refused.start_line.split()[1] in ("503", "504")
        assert (await proxy.send(http_request("pay", rid="ran"))).start_line.split()[1] == "409"
        assert (await proxy.send(http_request("pay", rid="refused-0"))).body == b"ok", "it has never run"
        assert len(endpoint.received) == 2


@on_loop
async def test_two_processes_together_stay_within_the_descriptor_limit() -> None:
    """Each has its own listener, discovery watch and admin listener besides the sockets of both sides."""
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.total_sockets, proxy.server.reserved_fds = 256 - 64, 64
        proxy.server.set_socket_share(0.5)
        assert (
            2 * (proxy.server.max_sockets + 64) == 256
            and proxy.upstream.max_sockets == proxy.server.max_sockets
        )
        proxy.server.set_socket_share(1.0)
        assert proxy.server.max_sockets + 64 == 256


@pytest.mark.parametrize("adopted", [False, True], ids=["own", "adopted"])
@on_loop
async def test_small_writes_are_sent_at_once_on_every_side(adopted: bool) -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as proxy:
        if adopted:
            assert proxy.server.listener is not None
            proxy.server.listener.close()
            listening = socket.create_server(("127.0.0.1", 0))
            proxy.port = listening.getsockname()[1]
            await proxy.server.adopt_socket(listening.detach())
        reader, writer, connection = await open_connection(proxy)
        writer.write(http_request())
        assert (await read_message(reader)).body == b"ok"
        await registry.watches.get()
        (link,) = proxy.upstream.endpoint_connections
        assert proxy.driver.discovery is not None and proxy.driver.discovery.stream is not None
        for each in (connection.transport, link.transport, proxy.driver.discovery.stream.transport):
            assert each is not None
            sidecar_socket = each.get_extra_info("socket")
            assert sidecar_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()


# --- The whole process -----------------------------------------------------------------


def open_descriptors(process: Process) -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@contextlib.contextmanager
def open_silent_connections(size: int, *ports: int) -> Iterator[list[socket.socket]]:
    """Open connections that send nothing, without waiting for one another."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for n in range(size):
            silent = stack.enter_context(socket.socket())
            silent.setblocking(False)
            silent.connect_ex(("127.0.0.1", ports[n % len(ports)]))
            sockets.append(silent)
        yield sockets


async def start_with_descriptor_limit(environ: dict[str, str], descriptor_limit: int) -> Process:
    """Start the sidecar with this limit on file descriptors."""
    script = 'ulimit -n "$0"; exec "$@"'
    return await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", script, str(descriptor_limit), sys.executable, "-m", "woadyard",
        env=environ, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


def is_closed_by_peer(client_socket: socket.socket) -> bool:
    try:
        return not client_socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


async def request_until_answered(port: int) -> Message:
    """Send a request, again on a new connection each time, until it gets a response."""
    for n in itertools.count():
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.closing(writer):
                writer.write(http_request(rid=f"good-{n}"))
                return await read_message(reader)
        await asyncio.sleep(0.01)
    raise AssertionError


@pytest.mark.parametrize(("configured", "ulimit"), [(128, 1024), (1024, 128)], ids=["configured", "ulimit"])
@on_loop
async def test_many_client_connections_leave_descriptors_for_discovery_endpoints_and_the_admin_listener(
    tmp_path: Path, configured: int, ulimit: int
) -> None:
    """Many silent connections to the clients' and the admin listener while discovery is down;
    the settings or the system limit the number of descriptors."""
    endpoint, registry = Endpoint(), FakeDiscovery()
    registry.port, port, admin_port = free_port(), free_port(), free_port()
    environ = {
        **sidecar_environ(tmp_path, registry, endpoint, limits={"sockets": configured}),
        "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{admin_port}",
    }  # fmt: skip
    async with await endpoint.start():
        sidecar_environ(
            tmp_path, registry, endpoint, limits={"sockets": configured}
        )  # now the endpoint's port is known
        process = await start_with_descriptor_limit(environ, ulimit)
        try:
            await wait_until_ready(admin_port)
            with (
                open_silent_connections(300, port) as client_sockets,
                open_silent_connections(2 * MAX_CONNECTIONS, admin_port),
            ):
                peak = 0
                while sum(is_closed_by_peer(each) for each in client_sockets) < 200:
                    peak = max(peak, open_descriptors(process))
                    await asyncio.sleep(0)
                assert (await http_call(admin_port, "GET", "/_ready")).start_line.startswith("HTTP/1.1 200")
                async with await registry.start(registry.port):
                    _, watch = await registry.watches.get()
                    push_list(watch, 2, True, endpoint.entry())
                    assert (await request_until_answered(port)).body == b"ok"
                    assert peak <= min(configured, ulimit) - 16, (
                        "a quarter of the shared descriptors stays free"
                    )
                    process.terminate()
                    await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
            _, errors = await process.communicate()
        assert process.returncode == 0 and b"Traceback" not in errors
