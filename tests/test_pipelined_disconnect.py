"""Clients that send much ahead and end their sending: what they left unread is not forwarded."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    run_sidecar,
    wait_until,
)
from woadyard.net import disconnects, request_pacer

BUFFER_BYTES = 64 * 1024


@on_loop
async def test_requests_ahead_of_an_unseen_end_of_sending_are_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests sent on for a client that has left, whose end waits behind them, unread."""
    monkeypatch.setattr(disconnects, "RECEIVE_BUFFER_BYTES", BUFFER_BYTES, raising=False)
    monkeypatch.setattr(request_pacer, "PAUSE_S", 0.0)
    release = asyncio.Event()

    async def respond_when_released(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint = Endpoint(respond_when_released)
    async with run_sidecar(endpoint) as proxy:
        client = socket.create_connection(("127.0.0.1", proxy.port))
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BUFFER_BYTES)
        client.setblocking(False)
        client.send(http_request(rid="first"))
        await endpoint.request_arrived.acquire()
        sent = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                sent += client.send(http_request(rid=f"ahead-{sent}"))
        client.shutdown(socket.SHUT_WR)
        (connection,) = proxy.server.connections
        assert connection.detector is not None and not connection.detector.is_disconnected()
        release.set()
        await wait_until(lambda: not proxy.server.connections)
        assert len(endpoint.received) == 1, f"of {sent} bytes sent ahead"
        client.close()


@on_loop
async def test_a_request_that_waited_when_its_client_left_may_come_again() -> None:
    """Guards against ids of requests that never ran, which would be rejected and fill the table of ids."""
    release = asyncio.Event()

    async def respond_when_released(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "first":
            await release.wait()
        writer.write(http_response())

    endpoint = Endpoint(respond_when_released)
    async with run_sidecar(endpoint) as proxy:
        _, writer = await proxy.connect()
        writer.write(http_request("pay", rid="first") + http_request("pay", rid="waiting"))
        await endpoint.request_arrived.acquire()
        writer.transport.abort()
        await wait_until(lambda: not proxy.server.connections)
        assert (await proxy.send(http_request("pay", rid="waiting"))).body == b"ok"
        assert (await proxy.send(http_request("pay", rid="first"))).start_line.split()[1] == "409"
        release.set()


@on_loop
async def test_many_requests_ahead_are_all_answered_while_their_client_stays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Those that would have to be forwarded without knowing that get a refusal, which is harmless."""
    monkeypatch.setattr(disconnects, "RECEIVE_BUFFER_BYTES", BUFFER_BYTES, raising=False)
    monkeypatch.setattr(request_pacer, "PAUSE_S", 0.0)
    endpoint, count = Endpoint(), 4000
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(b"".join(http_request(rid=f"r{n}") for n in range(count)))
        statuses = [(await read_message(reader)).start_line.split()[1] for _ in range(count)]
        assert set(statuses) <= {"200", "503"} and statuses[-1] == "200"
        assert statuses.count("200") == len(endpoint.received)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)
