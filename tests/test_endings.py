"""How attempts end: late connections, time-outs in the same turn, closes under a request.

Each crossing is forced by events; that nothing is owed at the end, `sidecar` sees to itself.
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

TURNED_AWAY = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n%b\r\n" % (b"x" * 0x4000)


@on_loop
async def test_an_attempt_called_off_before_its_connect_began_leaves_no_connection_on_the_books(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client that sends a request and goes: both are read before the connect's first step.
    Where the system tells of the end sooner no connect is begun at all."""
    monkeypatch.setattr(DisconnectDetector, "is_disconnected", lambda detector: False)
    async with run_sidecar(Endpoint()) as one:
        told = record_outcomes(one)
        with socket.create_connection(("127.0.0.1", one.port)) as client:
            client.sendall(http_request("pay"))
        await wait_until(lambda: bool(told))
        assert [event.outcome for event in told] == [CANCELLED]
        await wait_until(lambda: not one.server.connections)
        for _ in range(8):
            await asyncio.sleep(0)
        assert not one.upstream.endpoint_connections


@pytest.mark.parametrize("lateness", ["timed out", "called off"])
@on_loop
async def test_a_connection_that_comes_up_in_the_turn_in_which_it_is_given_up_carries_nothing(
    lateness: str,
) -> None:
    """The loop is busy between the connect's coming up and the moment in which it tells of that."""
    endpoint = Endpoint()
    near, far = socket.socketpair()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
        loop, told = asyncio.get_running_loop(), record_outcomes(one)
        one.upstream.connect_timeout_s = 0.05
        real = one.upstream.send

        def send(attempt: Attempt) -> None:
            real(attempt)
            far.send(b"x")  # read in the same turn as the connect's end

        def busy() -> None:
            near.recv(1)
            time.sleep(0.1)
            if lateness == "called off":
                (call,) = one.driver.calls.values()
                one.driver.requests.client_disconnected(call)

        loop.add_reader(near, busy)
        one.driver.attempts.upstream.send = send  # type: ignore[method-assign]
        reader, writer = await one.connect()
        writer.write(http_request("pay"))
        if lateness == "called off":
            await wait_until(lambda: bool(told))
            assert [event.outcome for event in told] == [CANCELLED] and not endpoint.received
        else:
            back = await read_message(reader)
            (event,) = told
            assert (back.start_line.split()[1], event.outcome) in (("503", NO_CONNECT), ("200", OK))
            assert len(endpoint.received) == (event.outcome == OK)
        writer.close()
        loop.remove_reader(near)
        near.close()
        far.close()
        await wait_until(lambda: all(link in link.pool.idle for link in one.upstream.endpoint_connections))


@contextlib.contextmanager
def connects_held(
    began: asyncio.Event, up: asyncio.Event, held: Callable[[], bool] = lambda: True
) -> Iterator[None]:
    """Connections to endpoints come up no sooner than the event."""
    connect = EndpointConnection._create_connection

    async def late(link: EndpointConnection, host: str, port: int) -> None:
        if held():
            began.set()
            await up.wait()
        await connect(link, host, port)

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(EndpointConnection, "_create_connection", late)
        yield


@pytest.mark.parametrize("past", [False, True], ids=["within", "past"])
@on_loop
async def test_a_repeat_whose_connection_comes_up_past_the_window_is_not_written(past: bool) -> None:
    """Its endpoints would not know it any more, and run it again."""
    got: list[Message] = []

    async def error_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        got.append(message)
        writer.write(http_response(500 if len(got) == 1 else 200))

    window, up, connecting = 500_000 if past else 4_000_000, asyncio.Event(), asyncio.Event()
    async with run_sidecar(Endpoint(error_first), Endpoint(error_first)) as one:
        raw = {**SETTINGS, "classes": [{**c, "repeat-window-us": window} for c in SETTINGS["classes"]]}
        one.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))
        told = record_outcomes(one)
        with connects_held(connecting, up, lambda: bool(got)):
            asked = asyncio.create_task(one.send(http_request("put")))
            await connecting.wait()
            (call,) = one.driver.calls.values()
            await wait_until(lambda: not past or one.driver.now() >= call.attempts[0].sent_us + window)
            up.set()
            back = await asked
        assert len(got) == (1 if past else 2)
        assert [event.outcome for event in told] == [ERROR, MOOT if past else OK]
        assert back.start_line.split()[1] == ("502" if past else "200")


@pytest.mark.parametrize("crossing", ["end", "reset", "second answer", "half a line"])
@on_loop
async def test_what_lies_on_an_idle_connection_as_it_is_taken_is_no_answer(crossing: str) -> None:
    """The request and the crossing are both there before the loop looks again, the request first."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
        listener.setblocking(False)
        async with run_sidecar(Endpoint(), ceilings={"max-attempts": 1}) as one:
            one.set_list(Endpoint().entry("s-0", hostPort=f"127.0.0.1:{listener.getsockname()[1]}"))
            told = record_outcomes(one)
            client.connect(("127.0.0.1", one.port))
            client.setblocking(False)
            client.send(http_request("pay", rid="r1"))
            first, _ = await loop.sock_accept(listener)
            await loop.sock_recv(first, 4096)
            await loop.sock_sendall(first, http_response(body=b"first"))
            assert (await loop.sock_recv(client, 4096)).endswith(b"first")
            await wait_until(lambda: any(pool.idle for pool in one.upstream.pools.values()))
            client.send(http_request("pay", rid="r2"))
            if crossing == "second answer":
                first.send(http_response(body=b"stray"))
            elif crossing == "half a line":
                first.send(b"HTTP/1.1 20")
            else:
                if crossing == "reset":
                    first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                first.close()
            second, _ = await loop.sock_accept(listener)
            assert b"X-Request-Id: r2" in await loop.sock_recv(second, 4096)
            await loop.sock_sendall(second, http_response(body=b"second"))
            assert (await loop.sock_recv(client, 4096)).endswith(b"second")
            assert [event.outcome for event in told] == [OK, OK]
            second.close()
        first.close()


@on_loop
async def test_a_deadline_that_passes_while_the_connection_comes_up_proves_that_nothing_ran() -> None:
    endpoint, began, up = Endpoint(), asyncio.Event(), asyncio.Event()
    async with run_sidecar(endpoint, ceilings={"connect-timeout-us": 60_000_000}) as one:
        told = record_outcomes(one)
        with connects_held(began, up):
            back = await one.send(http_request("pay", deadline_ms=80))
            assert [event.outcome for event in told] == [NO_CONNECT]
            assert back.start_line.split()[1] == "503", "its client may try again"
            up.set()
            await wait_until(lambda: not one.upstream.endpoint_connections)
        assert not endpoint.connection_count and not endpoint.received


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (TURNED_AWAY + b"\r\n" + b"x" * 200_000, ERROR),
        (
            TURNED_AWAY + b"Transfer-Encoding: chunked\r\n\r\n" + b"4000\r\n%b\r\n" % (b"x" * 0x4000) * 9,
            ERROR,
        ),
        (TURNED_AWAY + b"Content-Length: 9\r\n\r\nhalf", TIMEOUT),
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
async def test_an_answer_that_never_ends_proves_nothing(raw: bytes, expected: int) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)  # and the connection stays open

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        back = await one.send(http_request("pay", deadline_ms=400))
        assert [event.outcome for event in told] == [expected] and len(endpoint.received) == 1
        assert back.start_line.split()[1] in ("502", "504"), (
            "it may have run: its client is not told to try again"
        )


@pytest.mark.parametrize("change", ["moved", "banned", "left out"])
@on_loop
async def test_nothing_is_written_to_a_process_that_went_while_its_connection_came_up(change: str) -> None:
    old, new, other = Endpoint(), Endpoint(), Endpoint()
    began, up = asyncio.Event(), asyncio.Event()
    async with run_sidecar(old) as one:
        told = record_outcomes(one)
        with connects_held(began, up, lambda: not up.is_set()):
            asked = asyncio.create_task(one.send(http_request("pay")))
            await began.wait()
            listeners = [await new.start(), await other.start()]
            (number,) = one.driver.endpoints_by_number
            # Moved: started anew at another address, under the same name.
            first = {"moved": [new.entry("s-0", startedAtMs=1)], "banned": [old.entry("s-0")], "left out": []}
            one.set_list(*first[change], other.entry("s-1"))
            if change == "banned":
                one.driver._detach(number)
            up.set()
            assert (await asked).start_line.split()[1] == "200"
        assert [event.outcome for event in told] == [MOOT, OK]
        assert not old.received and len(new.received + other.received) == 1
        for listener in listeners:
            listener.close()


@on_loop
async def test_an_attempt_that_takes_no_body_is_given_up_without_the_one_that_follows_it() -> None:
    """A body too large to hold, and no connection up yet: all of it can still go elsewhere."""
    began, up = asyncio.Event(), asyncio.Event()
    async with run_sidecar(Endpoint(), Endpoint(), Endpoint()) as one:
        told = record_outcomes(one)
        with connects_held(began, up):
            asked = asyncio.create_task(one.send(http_request("pay", LARGE_BODY)))
            await began.wait()
            (call,) = one.driver.calls.values()
            one.driver.requests.upload_stalled(call)
            assert [event.outcome for event in told] == [NO_CONNECT]
            assert [attempt.in_flight for attempt in call.attempts] == [False, True]
            up.set()
            assert (await asked).body == b"ok"
