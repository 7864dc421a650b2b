"""How attempts end: late connects, timeouts in the same loop iteration, closes during a request.

Each race is forced by events; `sidecar` checks that nothing is left pending at the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable, Iterator

import pytest

from tests.sockets import (
    LARGE_BODY,
    SETTINGS,
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    record_outcomes,
    run_sidecar,
    wait_until,
)
from woadyard.interface import CANCELLED, ERROR, MOOT, NO_CONNECT, OK, RESET, TIMEOUT
from woadyard.net.disconnects import DisconnectDetector
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.net.message import Attempt
from woadyard.wire import read_settings

REJECTED = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n%b\r\n" % (b"x" * 0x4000)


@on_loop
async def test_an_attempt_cancelled_before_its_connect_began_leaves_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends a request and disconnects: both are read before the connect's first step.
    Where the system reports the disconnect sooner, no connect begins at all."""
    monkeypatch.setattr(DisconnectDetector, "is_disconnected", lambda detector: False)
    async with run_sidecar(Endpoint()) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        with socket.create_connection(("127.0.0.1", proxy.port)) as client_socket:
            client_socket.sendall(http_request("pay"))
        await wait_until(lambda: bool(attempt_outcomes))
        assert [each.outcome for each in attempt_outcomes] == [CANCELLED]
        await wait_until(lambda: not proxy.server.connections)
        for _ in range(8):
            await asyncio.sleep(0)
        assert not proxy.upstream.endpoint_connections


@pytest.mark.parametrize("reason", ["timed out", "cancelled"])
@on_loop
async def test_a_connect_that_ends_in_the_iteration_in_which_it_is_cancelled_carries_nothing(
    reason: str,
) -> None:
    """The event loop is busy between the end of the connect and the report of it."""
    endpoint = Endpoint()
    near_end, far_end = socket.socketpair()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as proxy:
        loop, attempt_outcomes = asyncio.get_running_loop(), record_outcomes(proxy)
        proxy.upstream.connect_timeout_s = 0.05
        original_send = proxy.upstream.send

        def send(attempt: Attempt) -> None:
            original_send(attempt)
            far_end.send(b"x")  # read in the same loop iteration as the end of the connect

        def busy() -> None:
            near_end.recv(1)
            time.sleep(0.1)
            if reason == "cancelled":
                (call,) = proxy.driver.calls.values()
                proxy.driver.requests.client_disconnected(call)

        loop.add_reader(near_end, busy)
        proxy.driver.attempts.upstream.send = send  # type: ignore[method-assign]
        reader, writer = await proxy.connect()
        writer.write(http_request("pay"))
        if reason == "cancelled":
            await wait_until(lambda: bool(attempt_outcomes))
            assert [each.outcome for each in attempt_outcomes] == [CANCELLED] and not endpoint.received
        else:
            response = await read_message(reader)
            (event,) = attempt_outcomes
            assert (response.start_line.split()[1], event.outcome) in (("503", NO_CONNECT), ("200", OK))
            assert len(endpoint.received) == (event.outcome == OK)
        writer.close()
        loop.remove_reader(near_end)
        near_end.close()
        far_end.close()
        await wait_until(lambda: all(link in link.pool.idle for link in proxy.upstream.endpoint_connections))


@contextlib.contextmanager
def delayed_connects(
    connecting: asyncio.Event, may_connect: asyncio.Event, is_delayed: Callable[[], bool] = lambda: True
) -> Iterator[None]:
    """Delay the connects to endpoints until the event."""
    connect = EndpointConnection._create_connection

    async def delayed(link: EndpointConnection, host: str, port: int) -> None:
        if is_delayed():
            connecting.set()
            await may_connect.wait()
        await connect(link, host, port)

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(EndpointConnection, "_create_connection", delayed)
        yield


@pytest.mark.parametrize("past_window", [False, True], ids=["within", "past"])
@on_loop
async def test_a_repeat_whose_connect_ends_past_the_window_is_not_written(past_window: bool) -> None:
    """Past the window, endpoints have forgotten the idempotency key and would run the request again."""
    received: list[Message] = []

    async def error_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        received.append(message)
        writer.write(http_response(500 if len(received) == 1 else 200))

    window, may_connect, connecting = 500_000 if past_window else 4_000_000, asyncio.Event(), asyncio.Event()
    async with run_sidecar(Endpoint(error_first), Endpoint(error_first)) as proxy:
        raw = {**SETTINGS, "classes": [{**c, "repeat-window-us": window} for c in SETTINGS["classes"]]}
        proxy.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))
        attempt_outcomes = record_outcomes(proxy)
        with delayed_connects(connecting, may_connect, lambda: bool(received)):
            pending_response = asyncio.create_task(proxy.send(http_request("put")))
            await connecting.wait()
            (call,) = proxy.driver.calls.values()
            await wait_until(
                lambda: not past_window or proxy.driver.now() >= call.attempts[0].sent_us + window
            )
            may_connect.set()
            response = await pending_response
        assert len(received) == (1 if past_window else 2)
        assert [each.outcome for each in attempt_outcomes] == [ERROR, MOOT if past_window else OK]
        assert response.start_line.split()[1] == ("502" if past_window else "200")


@pytest.mark.parametrize("event", ["end", "reset", "second answer", "half a line"])
@on_loop
async def test_bytes_pending_on_an_idle_connection_are_not_taken_for_a_response(event: str) -> None:
    """Both the request and the unexpected bytes or close arrive before the next loop iteration, the
    request first."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client_socket:
        listener.setblocking(False)
        async with run_sidecar(Endpoint(), ceilings={"max-attempts": 1}) as proxy:
            proxy.set_list(Endpoint().entry("s-0", hostPort=f"127.0.0.1:{listener.getsockname()[1]}"))
            attempt_outcomes = record_outcomes(proxy)
            client_socket.connect(("127.0.0.1", proxy.port))
            client_socket.setblocking(False)
            client_socket.send(http_request("pay", rid="r1"))
            first_connection, _ = await loop.sock_accept(listener)
            await loop.sock_recv(first_connection, 4096)
            await loop.sock_sendall(first_connection, http_response(body=b"first"))
            assert (await loop.sock_recv(client_socket, 4096)).endswith(b"first")
            await wait_until(lambda: any(pool.idle for pool in proxy.upstream.pools.values()))
            client_socket.send(http_request("pay", rid="r2"))
            if event == "second answer":
                first_connection.send(http_response(body=b"stray"))
            elif event == "half a line":
                first_connection.send(b"HTTP/1.1 20")
            else:
                if event == "reset":
                    first_connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                first_connection.close()
            second_connection, _ = await loop.sock_accept(listener)
            assert b"X-Request-Id: r2" in await loop.sock_recv(second_connection, 4096)
            await loop.sock_sendall(second_connection, http_response(body=b"second"))
            assert (await loop.sock_recv(client_socket, 4096)).endswith(b"second")
            assert [each.outcome for each in attempt_outcomes] == [OK, OK]
            second_connection.close()
        first_connection.close()


@on_loop
async def test_a_deadline_that_expires_during_the_connect_proves_that_nothing_ran() -> None:
    endpoint, connecting, may_connect = Endpoint(), asyncio.Event(), asyncio.Event()
    async with run_sidecar(endpoint, ceilings={"connect-timeout-us": 60_000_000}) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        with delayed_connects(connecting, may_connect):
            response = await proxy.send(http_request("pay", deadline_ms=80))
            assert [each.outcome for each in attempt_outcomes] == [NO_CONNECT]
            assert response.start_line.split()[1] == "503", "its client may retry"
            may_connect.set()
            await wait_until(lambda: not proxy.upstream.endpoint_connections)
        assert not endpoint.connection_count and not endpoint.received


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (REJECTED + b"\r\n" + b"x" * 200_000, ERROR),
        (
            REJECTED + b"Transfer-Encoding: chunked\r\n\r\n" + b"4000\r\n%b\r\n" % (b"x" * 0x4000) * 9,
            ERROR,
        ),
        (REJECTED + b"Content-Length: 9\r\n\r\nhalf", TIMEOUT),
        (b"HTTP/1.1 20", TIMEOUT),
        (CHUNKED + b"2\r\nok\r\n0\r\nX: " + b"x" * 200_000, RESET),
        (CHUNKED + CHUNK + b"0\r\n" + b"X: y\r\n" * 40_000, RESET),
        (CHUNKED + b"2;" + b"x" * 200_000, RESET),
        (b"HTTP/1.1 103 X\r\n\r\n" * 20_000, RESET),
    ],
    ids=[
        "endless",
        "endless chunks",
        "half",
        "half a status line",
        "endless trailer",
        "endless trailers",
        "endless extension",
        "endless interim",
    ],
)
@on_loop
async def test_a_response_that_never_ends_proves_nothing(raw: bytes, expected: int) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)  # the connection stays open

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        response = await proxy.send(http_request("pay", deadline_ms=400))
        assert [each.outcome for each in attempt_outcomes] == [expected] and len(endpoint.received) == 1
        assert response.start_line.split()[1] in ("502", "504"), "it may have run: the client must not retry"


@pytest.mark.parametrize("change", ["moved", "banned", "left out"])
@on_loop
async def test_nothing_is_written_to_a_process_that_was_replaced_during_the_connect(change: str) -> None:
    old, new, other = Endpoint(), Endpoint(), Endpoint()
    connecting, may_connect = asyncio.Event(), asyncio.Event()
    async with run_sidecar(old) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        with delayed_connects(connecting, may_connect, lambda: not may_connect.is_set()):
            pending_response = asyncio.create_task(proxy.send(http_request("pay")))
            await connecting.wait()
            listeners = [await new.start(), await other.start()]
            (number,) = proxy.driver.endpoints_by_number
            # Moved: restarted at another address under the same name.
            first_entries = {
                "moved": [new.entry("s-0", startedAtMs=1)],
                "banned": [old.entry("s-0")],
                "left out": [],
            }
            proxy.set_list(*first_entries[change], other.entry("s-1"))
            if change == "banned":
                proxy.driver._detach(number)
            may_connect.set()
            assert (await pending_response).start_line.split()[1] == "200"
        assert [each.outcome for each in attempt_outcomes] == [MOOT, OK]
        assert not old.received and len(new.received + other.received) == 1
        for listener in listeners:
            listener.close()


@on_loop
async def test_a_stalled_upload_ends_its_attempt_and_not_the_one_that_follows() -> None:
    """The body is too large to buffer and no connect is done: it can still go to another endpoint."""
    connecting, may_connect = asyncio.Event(), asyncio.Event()
    async with run_sidecar(Endpoint(), Endpoint(), Endpoint()) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        with delayed_connects(connecting, may_connect):
            pending_response = asyncio.create_task(proxy.send(http_request("pay", LARGE_BODY)))
            await connecting.wait()
            (call,) = proxy.driver.calls.values()
            proxy.driver.requests.upload_stalled(call)
            assert [each.outcome for each in attempt_outcomes] == [NO_CONNECT]
            assert [attempt.in_flight for attempt in call.attempts] == [False, True]
            may_connect.set()
            assert (await pending_response).body == b"ok"
