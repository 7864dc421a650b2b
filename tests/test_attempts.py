"""Attempts at endpoints over loopback sockets: one outcome each, and none too late."""

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
    """No answer, until the connection closes."""


async def no_answer_then_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.close()


async def cut_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    writer.close()


async def nonsense(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"what?\r\n\r\n")


def status(code: int, headers: str = "") -> Handler:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(code, headers=headers))

    return reply


@pytest.mark.parametrize(
    ("handler", "expected", "final"),
    [
        (serve_ok, OK, 200),
        (no_answer_then_close, RESET, 502),
        (cut_off, RESET, 502),
        (nonsense, RESET, 502),
        (status(500), ERROR, 502),
        (status(503), ERROR, 502),
        (status(404), ERROR, 502),
        (status(503, "X-Not-Run: 1\r\n"), FULL, 503),
        (status(504, "X-Not-Run: 1\r\n"), FULL, 503),
    ],
)
@on_loop
async def test_one_outcome_for_each_attempt(handler: Handler, expected: int, final: int) -> None:
    """An unsafe request: refused only when it is sure that it never ran."""
    endpoint = Endpoint(handler)
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
        told = record_outcomes(one)
        back = await one.send(http_request("pay", b"sum"))
        assert [event.outcome for event in told] == [expected]
        assert back.start_line.split()[1] == str(final)
        assert len(endpoint.received) == 1
        assert not one.driver.calls


@pytest.mark.parametrize("extra", [http_response(body=b"more"), http_response(500), b"HTTP", b"nonsense"])
@on_loop
async def test_what_follows_an_answer_unasked_is_no_part_of_it(extra: bytes) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response() + extra)

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        for n in range(2):
            back = await one.send(http_request("pay", rid=f"r{n}"))
            assert back.start_line.split()[1] == "200" and back.body == b"ok"
            await endpoint.connection_closed.acquire()  # nothing more is sent on it
        assert endpoint.connection_count == len(endpoint.received) == 2


@on_loop
async def test_a_refused_connection_never_ran() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            one.set_list(endpoint.entry("s-0", hostPort=address(closed)))
            told = record_outcomes(one)
            back = await one.send(http_request("pay"))
        assert [event.outcome for event in told] == [NO_CONNECT]
        assert back.start_line.split()[1] == "503" and not one.upstream.connections


@on_loop
async def test_a_connection_that_breaks_before_the_last_byte_is_written_never_ran() -> None:
    """The endpoint reads nothing and its window is small, so the rest of the
    body waits in the sidecar when the connection is reset."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        endpoint = Endpoint()
        async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
            one.set_list(endpoint.entry("s-0", hostPort=address(listener)))
            told = record_outcomes(one)
            attempts = one.upstream.connections
            asked = asyncio.create_task(one.send(http_request("pay", b"x")))
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 4096)
            (link,) = attempts
            link.pause_writing()  # as the loop tells it of bytes left over
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            peer.close()
            assert (await asked).start_line.split()[1] == "503"
            assert [event.outcome for event in told] == [NO_CONNECT]


@on_loop
async def test_at_the_deadline_the_module_hears_timeout_and_answers() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        asked = one.driver.now()
        back = await one.send(http_request("pay", deadline_ms=80))
        assert one.driver.now() - asked >= 80_000, "never early"
        assert back.start_line.split()[1] == "504"
        assert [(event.outcome, event.over) for event in told] == [(TIMEOUT, False)]
        await endpoint.connection_closed.acquire()  # giving up closes the connection


@on_loop
async def test_a_request_that_no_endpoint_takes_is_refused_in_time() -> None:
    async with run_sidecar(known=False, ceilings={"max-retry-after-us": 2_000_000}) as one:
        back = await one.send(http_request(deadline_ms=100))
        assert back.start_line.split()[1] == "503"
        assert back.headers["retry-after"] == "0.040", "a 50th of the aim, as the module waits itself"
        assert not one.driver.calls and not one.driver.balancer.requests


@on_loop
async def test_a_refusal_tells_when_to_come_back() -> None:
    async with run_sidecar(Endpoint()) as one:
        vars(one.driver.balancer)["request"] = lambda now, event: [Refuse(event.request, 1_250_000)]
        back = await one.send(http_request())
        assert back.start_line.split()[1] == "503" and back.headers["retry-after"] == "1.250"


@on_loop
async def test_a_fault_of_the_module_is_answered_and_survived(caplog: pytest.LogCaptureFixture) -> None:
    async with run_sidecar(Endpoint()) as one:
        real = one.driver.balancer.request

        def broken(now: int, event: object) -> list[Action]:
            raise RuntimeError("broken")

        vars(one.driver.balancer)["request"] = broken
        assert (await one.send(http_request())).start_line.split()[1] == "500"
        vars(one.driver.balancer)["request"] = real
        assert (await one.send(http_request(rid="r2"))).body == b"ok"
    assert "RuntimeError: broken" in caplog.text


@on_loop
async def test_the_client_that_leaves_calls_its_attempt_off() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        _, writer = await one.connect()
        writer.write(http_request("pay"))
        await endpoint.request_arrived.acquire()
        writer.close()
        await endpoint.connection_closed.acquire()
        assert [(event.outcome, event.over) for event in told] == [(CANCELLED, True)]
        assert not one.driver.calls and not one.driver.balancer.requests


@on_loop
async def test_nothing_starts_past_the_drain_grace_the_deadline_or_the_answer() -> None:
    """Guards a slow connect: the driver is asked at the moment of writing."""
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        asked = asyncio.create_task(one.send(http_request("pay", deadline_ms=4000)))
        await endpoint.request_arrived.acquire()
        ((_, call),) = one.driver.calls.items()
        (attempt,) = call.attempts
        place = one.driver.endpoints_by_number[attempt.endpoint]
        now = one.driver.now()
        assert one.driver.attempts.may_start(attempt, now)
        assert not one.driver.attempts.may_start(attempt, call.expires_us)
        place.removed_at_us = now - 349_000  # of 500 ms: a process may be held up for the last 150
        assert one.driver.attempts.may_start(attempt, now)
        place.removed_at_us = now - 350_000
        assert not one.driver.attempts.may_start(attempt, now)
        link = attempt.connection
        assert isinstance(link, EndpointConnection)
        link.write_request()  # as a connect that took so long would
        assert [event.outcome for event in told] == [MOOT] and len(endpoint.received) == 1
        asked.cancel()


@on_loop
async def test_an_attempt_past_the_most_is_not_sent() -> None:
    endpoints = [Endpoint(status(503, "X-Not-Run: 1\r\n")) for _ in range(4)]
    async with run_sidecar(*endpoints) as one:
        force = one.driver.in_force
        force.settings = replace(force.settings, max_attempts=2)
        told = record_outcomes(one)
        await one.send(http_request("pay"))
        assert sum(len(endpoint.received) for endpoint in endpoints) == 2
        assert [event.outcome for event in told][:3] == [FULL, FULL, MOOT]


@on_loop
async def test_timers_never_fire_early() -> None:
    async with run_sidecar() as one:
        fired: asyncio.Queue[int] = asyncio.Queue()
        for delay in (1, 400, 1_499, 2_501, 7_777):
            due = one.driver.now() + delay
            one.driver.dispatcher.call_at(due, lambda due: fired.put_nowait(one.driver.now() - due), due)
        for _ in range(5):
            assert await fired.get() >= 0
