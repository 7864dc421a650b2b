"""Clients that disconnect: no attempt for them begins any more, and their requests are forgotten.

A client that closes, resets or half-closes its connection has disconnected: a sidecar half-closes to cancel.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    on_loop,
    run_sidecar,
    wait_until,
)
from woadyard.net import disconnects, endpoint_connection, request_encoding
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.net.message import Attempt

CLOSE, RESET, HALF_CLOSE = "close", "reset", "half-close"
EACH_DISCONNECT = pytest.mark.parametrize("how", [CLOSE, RESET, HALF_CLOSE])
EITHER_CANCEL = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no-cancel"])
PROMPT_S = 10.0  # for what happens at once, far below the requests' deadline
original_connection_made = EndpointConnection.connection_made


def request(cls: str = "page", body: bytes = b"", rid: str = "r0") -> bytes:
    return http_request(cls, body, deadline_ms=60_000, rid=rid)


class Client:
    """A plain socket, so that it disconnects at once, without an iteration of the event loop."""

    def __init__(self, port: int) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))

    def send(self, raw: bytes) -> None:
        self.socket.sendall(raw)

    async def fill(self, full: Callable[[], bool]) -> None:
        """Send more of a body until the condition holds."""
        self.socket.setblocking(False)
        while not full():
            with contextlib.suppress(BlockingIOError):
                self.socket.send(LARGE_BODY)
            await asyncio.sleep(0)

    def disconnect(self, how: str) -> None:
        if how == HALF_CLOSE:
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == RESET:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def respond_to_the_first_only(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Never respond, but to the request that opens the idle connection."""
    if message.headers["x-request-id"] == "warm":
        writer.write(http_response())


@dataclass
class Scenario:
    """A sidecar with an idle endpoint connection, where the decision module's timers fire, and
    further connects end, only when the test says so."""

    proxy: Sidecar
    endpoint: Endpoint
    client: Client
    timers: list[int] = field(default_factory=list)
    delayed_connects: list[tuple[EndpointConnection, Any]] = field(default_factory=list)
    sent: list[bytes] = field(default_factory=list)  # the head of each attempt

    def fire(self) -> None:
        for token in self.timers:
            self.proxy.driver.dispatch(self.proxy.driver.balancer.timer, token)

    def block(self) -> None:
        """No endpoint accepts a request until `unblock`."""
        vars(self.proxy.driver.balancer.picker)["pick"] = lambda *_: None

    def unblock(self) -> None:
        vars(self.proxy.driver.balancer.picker).pop("pick", None)
        self.fire()

    def receive_response(self, raw: bytes) -> None:
        """Feed a response, as if it were read before the client's disconnect."""
        (link,) = (link for link in self.proxy.upstream.endpoint_connections if link.attempt is not None)
        link.feed_response(raw)
        self.fire()

    def finish_connects(self) -> None:
        for args in self.delayed_connects:
            original_connection_made(*args)

    def connection(self) -> Any:
        (connection,) = self.proxy.server.connections
        return connection

    async def wait_for_closed_calls(self) -> None:
        """Wait until no request is open; attempts that cannot be cancelled may still be in flight."""
        async with asyncio.timeout(PROMPT_S):
            await wait_until(lambda: not any(call.is_open for call in self.proxy.driver.calls.values()))

    async def wait_until_settled(self) -> None:
        """Wait until nothing is pending."""
        async with asyncio.timeout(PROMPT_S):
            await wait_until(lambda: not self.proxy.driver.calls and not self.proxy.server.connections)
        balancer = self.proxy.driver.balancer
        assert not balancer.requests and not balancer.finished
        assert all(each.inflight == each.transferring == 0 for each in balancer.endpoints.values())
        assert all(link.attempt is None for link in self.proxy.upstream.endpoint_connections)
        assert not self.proxy.server.paused_clients.clients


@contextlib.asynccontextmanager
async def scenario(
    monkeypatch: pytest.MonkeyPatch,
    cancel: bool = True,
    delayed: bool = False,
    endpoint: Endpoint | None = None,
) -> AsyncIterator[Scenario]:
    warm, endpoint = not (delayed or endpoint), endpoint or Endpoint(respond_to_the_first_only)
    async with run_sidecar(endpoint, ceilings={"cancel": cancel}) as proxy:
        if warm:
            await proxy.send(request(rid="warm"))
            await endpoint.request_arrived.acquire()
            await wait_until(lambda: not proxy.server.connections)
        state = Scenario(proxy, endpoint, Client(proxy.port))
        await wait_until(lambda: bool(proxy.server.connections))
        original_request_bytes = request_encoding.encode_request

        def request_bytes(attempt: Attempt, now: int) -> bytes:
            state.sent.append(raw := original_request_bytes(attempt, now))
            return raw

        monkeypatch.setattr(endpoint_connection, "encode_request", request_bytes)
        vars(proxy.driver.dispatcher)["start_timer"] = lambda delay, token: state.timers.append(token)
        if delayed:
            monkeypatch.setattr(
                EndpointConnection, "connection_made", lambda *args: state.delayed_connects.append(args)
            )
        yield state
        state.client.socket.close()


# --- Stages of a request when its client disconnects, and what would begin an attempt then ---

Trigger = Callable[[], None]
Prepare = Callable[[Scenario], Awaitable[Trigger]]


async def waiting_for_an_endpoint(state: Scenario) -> Trigger:
    state.block()
    state.client.send(request())
    await wait_until(lambda: bool(state.timers))
    return state.unblock


async def large_body_waiting_for_an_endpoint(state: Scenario) -> Trigger:
    state.block()
    state.client.send(request("pay", LARGE_BODY)[:70_000])
    await wait_until(lambda: bool(state.timers))
    return state.unblock


async def before_a_repeat(state: Scenario) -> Trigger:
    state.client.send(request())
    await state.endpoint.request_arrived.acquire()
    return lambda: state.receive_response(http_response(500))


async def pipelined(state: Scenario) -> Trigger:
    state.client.send(request(rid="r0") + request(rid="r1") + request(rid="r2"))
    await state.endpoint.request_arrived.acquire()
    return lambda: state.receive_response(http_response())


async def many_pipelined(state: Scenario) -> Trigger:
    """More than is read ahead of a response."""
    state.client.send(b"".join(request(rid=f"r{n}") for n in range(400)))
    await state.endpoint.request_arrived.acquire()
    await wait_until(lambda: bool(state.connection().is_reading_paused))
    return lambda: state.receive_response(http_response())


async def pipelined_large_body(state: Scenario) -> Trigger:
    state.client.send(request(rid="r0") + request("pay", LARGE_BODY, rid="r1")[:70_000])
    await state.endpoint.request_arrived.acquire()
    await wait_until(lambda: bool(state.connection().parser.has_large_body))
    return lambda: state.receive_response(http_response())


async def connecting(state: Scenario) -> Trigger:
    state.client.send(request())
    await wait_until(lambda: bool(state.delayed_connects))
    return state.finish_connects


STAGES = pytest.mark.parametrize(
    "prepare",
    [
        waiting_for_an_endpoint, large_body_waiting_for_an_endpoint, before_a_repeat, pipelined,
        many_pipelined, pipelined_large_body, connecting,
    ],
    ids=lambda prepare: prepare.__name__,
)  # fmt: skip


@EACH_DISCONNECT
@EITHER_CANCEL
@STAGES
@on_loop
async def test_no_attempt_begins_for_a_client_that_has_just_disconnected(
    prepare: Prepare, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The cause of an attempt comes before the event loop reports the disconnect, as when the
    loop is busy or does not read from that client."""
    async with scenario(monkeypatch, cancel, delayed=prepare is connecting) as state:
        trigger = await prepare(state)
        sent_before = len(state.sent)
        state.client.disconnect(how)
        trigger()
        await state.wait_until_settled()
        assert len(state.sent) == sent_before


@EACH_DISCONNECT
@EITHER_CANCEL
@STAGES
@on_loop
async def test_a_disconnect_is_detected_whatever_the_client_waits_for(
    prepare: Prepare, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its requests are forgotten, and its attempts cancelled where that is allowed."""
    async with scenario(monkeypatch, cancel, delayed=prepare is connecting) as state:
        trigger = await prepare(state)
        sent_before = len(state.sent)
        state.client.disconnect(how)
        await state.wait_for_closed_calls()
        if state.proxy.driver.calls or not sent_before:
            trigger()
        await state.wait_until_settled()
        assert len(state.sent) == sent_before


@EACH_DISCONNECT
@on_loop
async def test_a_request_read_together_with_a_disconnect_is_not_sent(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may have waited for long in the accept queue of a listener."""
    async with scenario(monkeypatch) as state:
        first_connection, late_client = state.connection(), Client(state.proxy.port)
        late_client.send(request())
        late_client.disconnect(how)
        state.proxy.server.last_accept_s = 0.0
        await wait_until(lambda: state.proxy.server.last_accept_s > 0)
        first_connection.transport.abort()
        await state.wait_until_settled()
        late_client.socket.close()
        assert not state.sent


@EACH_DISCONNECT
@on_loop
async def test_the_event_loops_report_suffices_where_the_system_reports_no_disconnects(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The few pipelined requests are read, and after them the disconnect."""
    monkeypatch.setattr(disconnects, "DISCONNECT_EVENTS", 0)
    async with scenario(monkeypatch) as state:
        await pipelined(state)
        state.client.disconnect(how)
        await state.wait_until_settled()
        assert len(state.sent) == 1


# --- Attempts in flight ----------------------------------------------------------------------


class NeverReads(Endpoint):
    """An endpoint that never reads."""

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        reader._transport.pause_reading()  # type: ignore[attr-defined]


async def stream(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """A complete response that is too large for any buffer."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * len(LARGE_BODY)))
    for _ in range(16):
        writer.write(LARGE_BODY)
        await writer.drain()


@EACH_DISCONNECT
@EITHER_CANCEL
@pytest.mark.parametrize("never_reads", [True, False])
@on_loop
async def test_an_upload_ends_when_its_client_disconnects(
    never_reads: bool, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of the body never arrives: no attempt can succeed, and none is left to run."""
    async with scenario(monkeypatch, cancel, endpoint=NeverReads() if never_reads else None) as state:
        state.client.send(request("pay", LARGE_BODY * 40)[:70_000])
        await wait_until(lambda: bool(state.sent))
        if never_reads:
            await state.client.fill(lambda: bool(state.connection().is_reading_paused))
        state.client.disconnect(how)
        await state.wait_until_settled()


@EACH_DISCONNECT
@EITHER_CANCEL
@on_loop
async def test_a_response_that_is_not_read_ends_when_its_client_disconnects(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scenario(monkeypatch, cancel, endpoint=Endpoint(stream)) as state:
        state.proxy.server.timeouts.stall_s = 1000.0
        state.client.send(request())
        await wait_until(lambda: state.connection().is_writing_paused)
        state.client.disconnect(how)
        await state.wait_until_settled()


@EACH_DISCONNECT
@on_loop
async def test_pending_requests_end_before_earlier_responses_are_all_written(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def stream_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "r0":
            await stream(endpoint, message, writer)

    async with scenario(monkeypatch, endpoint=Endpoint(stream_first)) as state:
        state.proxy.server.timeouts.stall_s = 1000.0
        state.connection().transport.set_write_buffer_limits(
            high=1 << 30
        )  # so that the next request is served all the same
        state.client.send(request(rid="r0") + request(rid="r1"))
        await wait_until(lambda: len(state.endpoint.received) == 2)
        assert state.connection().transport.get_write_buffer_size()
        state.proxy.server.timeouts.stall_s = 0.05
        state.client.disconnect(how)
        await state.wait_for_closed_calls()
        await state.wait_until_settled()


@EACH_DISCONNECT
@on_loop
async def test_an_attempt_that_cannot_be_cancelled_is_waited_for_until_it_ends(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scenario(monkeypatch, cancel=False) as state:
        state.client.send(http_request(deadline_ms=300))
        await state.endpoint.request_arrived.acquire()
        state.client.disconnect(how)
        await state.wait_for_closed_calls()
        assert state.proxy.driver.calls
        await state.wait_until_settled()


@EACH_DISCONNECT
@on_loop
async def test_nothing_is_sent_for_many_clients_that_disconnect_at_once(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scenario(monkeypatch) as state:
        state.block()
        clients = [Client(state.proxy.port) for _ in range(200)]
        for n, client in enumerate(clients):
            client.send(request(rid=f"c{n}"))
        await wait_until(lambda: len(state.timers) >= 200)
        for client in clients:
            client.disconnect(how)
        state.unblock()
        state.client.disconnect(CLOSE)
        await state.wait_until_settled()
        assert not state.sent
        for client in clients:
            client.socket.close()
