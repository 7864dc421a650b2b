"""Attempts at endpoints over loopback sockets: each has one outcome, and none starts too late."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest

from tests.sockets import (
    Endpoint,
    Handler,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    record_outcomes,
    run_sidecar,
    serve_ok,
)
from woadyard.interface import (
    CANCELLED,
    ERROR,
    FULL,
    MOOT,
    NO_CONNECT,
    OK,
    RESET,
    TIMEOUT,
    Action,
    Refuse,
)
from woadyard.net.endpoint_connection import EndpointConnection


def address(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Send no response; the connection stays open."""


async def close_without_response(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.close()


async def truncated_response(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    writer.close()


async def invalid_response(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"what?\r\n\r\n")


def respond_with(code: int, headers: str = "") -> Handler:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(code, headers=headers))

    return reply


@pytest.mark.parametrize(
    ("handler", "expected", "final"),
    [
        (serve_ok, OK, 200),
        (close_without_response, RESET, 502),
        (truncated_response, RESET, 502),
        (invalid_response, RESET, 502),
        (respond_with(500), ERROR, 502),
        (respond_with(503), ERROR, 502),
        (respond_with(404), ERROR, 502),
        (respond_with(503, "X-Not-Run: 1\r\n"), FULL, 503),
        (respond_with(504, "X-Not-Run: 1\r\n"), FULL, 503),
    ],
)
@on_loop
async def test_one_outcome_for_each_attempt(handler: Handler, expected: int, final: int) -> None:
    """An unsafe request gets 503 only if it certainly never ran, and 502 otherwise."""
    endpoint = Endpoint(handler)
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as sidecar:
        outcomes = record_outcomes(sidecar)
        response = await sidecar.send(http_request("pay", b"sum"))
        assert [event.outcome for event in outcomes] == [expected]
        assert response.start_line.split()[1] == str(final)
        assert len(endpoint.received) == 1
        assert not sidecar.driver.calls


@pytest.mark.parametrize("extra", [http_response(body=b"more"), http_response(500), b"HTTP", b"nonsense"])
@on_loop
async def test_bytes_after_a_response_are_not_part_of_it(extra: bytes) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response() + extra)

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as sidecar:
        for n in range(2):
            response = await sidecar.send(http_request("pay", rid=f"r{n}"))
            assert response.start_line.split()[1] == "200" and response.body == b"ok"
            await endpoint.connection_closed.acquire()  # the connection is not reused
        assert endpoint.connection_count == len(endpoint.received) == 2


@on_loop
async def test_a_refused_connection_proves_that_the_request_never_ran() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as sidecar:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            sidecar.set_list(endpoint.entry("s-0", hostPort=address(closed)))
            outcomes = record_outcomes(sidecar)
            response = await sidecar.send(http_request("pay"))
        assert [event.outcome for event in outcomes] == [NO_CONNECT]
        assert response.start_line.split()[1] == "503" and not sidecar.upstream.endpoint_connections


@on_loop
async def test_a_reset_before_the_last_byte_is_written_proves_that_the_request_never_ran() -> None:
    """The endpoint reads nothing and its receive window is small, so part of the body is still
    in the sidecar when the connection is reset."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        endpoint = Endpoint()
        async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as sidecar:
            sidecar.set_list(endpoint.entry("s-0", hostPort=address(listener)))
            outcomes = record_outcomes(sidecar)
            open_connections = sidecar.upstream.endpoint_connections
            task = asyncio.create_task(sidecar.send(http_request("pay", b"x")))
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 4096)
            (connection,) = open_connections
            connection.pause_writing()  # as the loop does when bytes stay buffered
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            peer.close()
            assert (await task).start_line.split()[1] == "503"
            assert [event.outcome for event in outcomes] == [NO_CONNECT]


@on_loop
async def test_at_the_deadline_the_attempt_times_out_and_the_client_gets_504() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as sidecar:
        outcomes = record_outcomes(sidecar)
        started_us = sidecar.driver.now()
        response = await sidecar.send(http_request("pay", deadline_ms=80))
        assert sidecar.driver.now() - started_us >= 80_000, "never early"
        assert response.start_line.split()[1] == "504"
        assert [(event.outcome, event.over) for event in outcomes] == [(TIMEOUT, False)]
        await endpoint.connection_closed.acquire()  # the timeout closes the connection


@on_loop
async def test_a_request_without_an_endpoint_is_rejected_in_time() -> None:
    async with run_sidecar(has_cached_list=False, ceilings={"max-retry-after-us": 2_000_000}) as sidecar:
        response = await sidecar.send(http_request(deadline_ms=100))
        assert response.start_line.split()[1] == "503"
        assert response.headers["retry-after"] == "0.040", "1/50 of the aim, the balancer's own retry delay"
        assert not sidecar.driver.calls and not sidecar.driver.balancer.requests


@on_loop
async def test_a_rejection_carries_retry_after() -> None:
    async with run_sidecar(Endpoint()) as sidecar:
        vars(sidecar.driver.balancer)["request"] = lambda now, event: [Refuse(event.request, 1_250_000)]
        response = await sidecar.send(http_request())
        assert response.start_line.split()[1] == "503" and response.headers["retry-after"] == "1.250"


@on_loop
async def test_an_exception_in_the_balancer_yields_500_and_the_sidecar_goes_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with run_sidecar(Endpoint()) as sidecar:
        original = sidecar.driver.balancer.request

        def broken(now: int, event: object) -> list[Action]:
            raise RuntimeError("broken")

        vars(sidecar.driver.balancer)["request"] = broken
        assert (await sidecar.send(http_request())).start_line.split()[1] == "500"
        vars(sidecar.driver.balancer)["request"] = original
        assert (await sidecar.send(http_request(rid="r2"))).body == b"ok"
    assert "RuntimeError: broken" in caplog.text


@on_loop
async def test_a_client_disconnect_cancels_its_attempt() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as sidecar:
        outcomes = record_outcomes(sidecar)
        _, writer = await sidecar.connect()
        writer.write(http_request("pay"))
        await endpoint.request_arrived.acquire()
        writer.close()
        await endpoint.connection_closed.acquire()
        assert [(event.outcome, event.over) for event in outcomes] == [(CANCELLED, True)]
        assert not sidecar.driver.calls and not sidecar.driver.balancer.requests


@on_loop
async def test_nothing_starts_after_the_drain_grace_the_deadline_or_the_response() -> None:
    """While a connection is being opened the permission to start may end: it is checked at writing."""
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as sidecar:
        outcomes = record_outcomes(sidecar)
        task = asyncio.create_task(sidecar.send(http_request("pay", deadline_ms=4000)))
        await endpoint.request_arrived.acquire()
        ((_, call),) = sidecar.driver.calls.items()
        (attempt,) = call.attempts
        listed_endpoint = sidecar.driver.endpoints_by_number[attempt.endpoint]
        now = sidecar.driver.now()
        assert sidecar.driver.attempts.may_start(attempt, now)
        assert not sidecar.driver.attempts.may_start(attempt, call.expires_us)
        # Of the 500 ms of grace, the last 150 are a margin for a suspended process.
        listed_endpoint.removed_at_us = now - 349_000
        assert sidecar.driver.attempts.may_start(attempt, now)
        listed_endpoint.removed_at_us = now - 350_000
        assert not sidecar.driver.attempts.may_start(attempt, now)
        connection = attempt.connection
        assert isinstance(connection, EndpointConnection)
        connection.write_request()  # as after a slow connect
        assert [event.outcome for event in outcomes] == [MOOT] and len(endpoint.received) == 1
        task.cancel()


@on_loop
async def test_attempts_beyond_the_limit_are_not_sent() -> None:
    endpoints = [Endpoint(respond_with(503, "X-Not-Run: 1\r\n")) for _ in range(4)]
    async with run_sidecar(*endpoints) as sidecar:
        active_settings = sidecar.driver.active_settings
        active_settings.settings = replace(active_settings.settings, max_attempts=2)
        outcomes = record_outcomes(sidecar)
        await sidecar.send(http_request("pay"))
        assert sum(len(endpoint.received) for endpoint in endpoints) == 2
        assert [event.outcome for event in outcomes][:3] == [FULL, FULL, MOOT]


@on_loop
async def test_timers_never_fire_early() -> None:
    async with run_sidecar() as sidecar:
        fired: asyncio.Queue[int] = asyncio.Queue()
        for delay in (1, 400, 1_499, 2_501, 7_777):
            due = sidecar.driver.now() + delay
            sidecar.driver.dispatcher.call_at(
                due, lambda due: fired.put_nowait(sidecar.driver.now() - due), due
            )
        for _ in range(5):
            assert await fired.get() >= 0
