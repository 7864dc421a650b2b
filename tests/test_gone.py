"""Clients that leave: from then on no attempt of theirs begins, and nothing of them is kept.

A client has gone once it closes or resets its connection, and also where it only ends
its sending: that is how a sidecar, as the client of the next tier, gives a request up.
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
from woadyard.net import disconnects, endpoint_connection
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.net.message import Attempt

CLOSE, CANCEL, HALF = "close", "reset", "half-close"
EACH_WAY = pytest.mark.parametrize("how", [CLOSE, CANCEL, HALF])
CANCELS = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no-cancel"])
SOON_S = 10.0  # for what comes at once, far below the requests' deadline
come_up = EndpointConnection.connection_made


def request(cls: str = "page", body: bytes = b"", rid: str = "r0") -> bytes:
    return http_request(cls, body, deadline_ms=60_000, rid=rid)


class Client:
    """A plain socket, so that it leaves in the very instant, with no turn of the loop between."""

    def __init__(self, port: int) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))

    def send(self, raw: bytes) -> None:
        self.socket.sendall(raw)

    async def fill(self, full: Callable[[], bool]) -> None:
        """More of a body, for as long as it is taken."""
        self.socket.setblocking(False)
        while not full():
            with contextlib.suppress(BlockingIOError):
                self.socket.send(LARGE_BODY)
            await asyncio.sleep(0)

    def leave(self, how: str) -> None:
        if how == HALF:
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == CANCEL:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


async def hold_all_but_the_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """No answer, until the connection closes."""
    if message.headers["x-request-id"] == "warm":
        writer.write(http_response())


@dataclass
class Scene:
    """A sidecar with a connection to its endpoint at rest, where the module's
    timers fire, and further connections come up, only when told to."""

    one: Sidecar
    endpoint: Endpoint
    client: Client
    timers: list[int] = field(default_factory=list)
    late: list[tuple[EndpointConnection, Any]] = field(default_factory=list)
    sent: list[bytes] = field(default_factory=list)  # the head of each attempt

    def fire(self) -> None:
        for token in self.timers:
            self.one.driver.dispatch(self.one.driver.balancer.timer, token)

    def block(self) -> None:
        """No endpoint is free to take anything, until `found`."""
        vars(self.one.driver.balancer.picker)["pick"] = lambda *_: None

    def found(self) -> None:
        vars(self.one.driver.balancer.picker).pop("pick", None)
        self.fire()

    def answered(self, raw: bytes) -> None:
        """As where the answer is read before the client's end."""
        (link,) = (link for link in self.one.upstream.endpoint_connections if link.attempt is not None)
        link.feed_response(raw)
        self.fire()

    def arrive(self) -> None:
        for args in self.late:
            come_up(*args)

    def caller(self) -> Any:
        (caller,) = self.one.server.connections
        return caller

    async def given_up(self) -> None:
        """No request is open; attempts may still be out, where they can't be cancelled."""
        async with asyncio.timeout(SOON_S):
            await wait_until(lambda: not any(call.is_open for call in self.one.driver.calls.values()))

    async def settled(self) -> None:
        """Nothing is owed any more to anyone."""
        async with asyncio.timeout(SOON_S):
            await wait_until(lambda: not self.one.driver.calls and not self.one.server.connections)
        balancer = self.one.driver.balancer
        assert not balancer.requests and not balancer.finished
        assert all(one.inflight == one.transferring == 0 for one in balancer.endpoints.values())
        assert all(link.attempt is None for link in self.one.upstream.endpoint_connections)
        assert not self.one.server.paused_clients.clients


@contextlib.asynccontextmanager
async def scene(
    monkeypatch: pytest.MonkeyPatch, cancel: bool = True, late: bool = False, endpoint: Endpoint | None = None
) -> AsyncIterator[Scene]:
    warm, endpoint = not (late or endpoint), endpoint or Endpoint(hold_all_but_the_first)
    async with run_sidecar(endpoint, ceilings={"cancel": cancel}) as one:
        if warm:
            await one.send(request(rid="warm"))
            await endpoint.request_arrived.acquire()
            await wait_until(lambda: not one.server.connections)
        it = Scene(one, endpoint, Client(one.port))
        await wait_until(lambda: bool(one.server.connections))
        real = endpoint_connection.encode_request

        def request_bytes(attempt: Attempt, now: int) -> bytes:
            it.sent.append(raw := real(attempt, now))
            return raw

        monkeypatch.setattr(endpoint_connection, "encode_request", request_bytes)
        vars(one.driver.dispatcher)["start_timer"] = lambda delay, token: it.timers.append(token)
        if late:
            monkeypatch.setattr(EndpointConnection, "connection_made", lambda *args: it.late.append(args))
        yield it
        it.client.socket.close()


# --- Where a request may be when its client leaves; what would begin an attempt there -------

Act = Callable[[], None]
Place = Callable[[Scene], Awaitable[Act]]


async def waiting_for_an_endpoint(it: Scene) -> Act:
    it.block()
    it.client.send(request())
    await wait_until(lambda: bool(it.timers))
    return it.found


async def large_body_waiting_for_an_endpoint(it: Scene) -> Act:
    it.block()
    it.client.send(request("pay", LARGE_BODY)[:70_000])
    await wait_until(lambda: bool(it.timers))
    return it.found


async def before_a_repeat(it: Scene) -> Act:
    it.client.send(request())
    await it.endpoint.request_arrived.acquire()
    return lambda: it.answered(http_response(500))


async def sent_ahead_of_an_answer(it: Scene) -> Act:
    it.client.send(request(rid="r0") + request(rid="r1") + request(rid="r2"))
    await it.endpoint.request_arrived.acquire()
    return lambda: it.answered(http_response())


async def many_sent_ahead_of_an_answer(it: Scene) -> Act:
    """More than is read ahead."""
    it.client.send(b"".join(request(rid=f"r{n}") for n in range(400)))
    await it.endpoint.request_arrived.acquire()
    await wait_until(lambda: bool(it.caller().reading_paused))
    return lambda: it.answered(http_response())


async def large_body_sent_ahead_of_an_answer(it: Scene) -> Act:
    it.client.send(request(rid="r0") + request("pay", LARGE_BODY, rid="r1")[:70_000])
    await it.endpoint.request_arrived.acquire()
    await wait_until(lambda: bool(it.caller().parser.has_large_body))
    return lambda: it.answered(http_response())


async def connecting(it: Scene) -> Act:
    it.client.send(request())
    await wait_until(lambda: bool(it.late))
    return it.arrive


PLACES = pytest.mark.parametrize(
    "place",
    [
        waiting_for_an_endpoint, large_body_waiting_for_an_endpoint, before_a_repeat, sent_ahead_of_an_answer,
        many_sent_ahead_of_an_answer, large_body_sent_ahead_of_an_answer, connecting,
    ],
    ids=lambda place: place.__name__,
)  # fmt: skip


@EACH_WAY
@CANCELS
@PLACES
@on_loop
async def test_no_attempt_begins_for_a_client_that_has_just_left(
    place: Place, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What would begin one comes before the loop has seen the client's end, as it
    does where the loop is busy or doesn't read from that client."""
    async with scene(monkeypatch, cancel, late=place is connecting) as it:
        cause = await place(it)
        sent = len(it.sent)
        it.client.leave(how)
        cause()
        await it.settled()
        assert len(it.sent) == sent


@EACH_WAY
@CANCELS
@PLACES
@on_loop
async def test_a_client_that_left_is_found_gone_whatever_it_waits_for(
    place: Place, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its requests are forgotten, and its attempts given up where that is allowed."""
    async with scene(monkeypatch, cancel, late=place is connecting) as it:
        cause = await place(it)
        sent = len(it.sent)
        it.client.leave(how)
        await it.given_up()
        if it.one.driver.calls or not sent:
            cause()
        await it.settled()
        assert len(it.sent) == sent


@EACH_WAY
@on_loop
async def test_a_request_read_with_its_clients_end_is_not_sent(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may have waited for long, in the queue of a listener that nobody served."""
    async with scene(monkeypatch) as it:
        first, late = it.caller(), Client(it.one.port)
        late.send(request())
        late.leave(how)
        it.one.server.last_accept_s = 0.0
        await wait_until(lambda: it.one.server.last_accept_s > 0)
        first.transport.abort()
        await it.settled()
        late.socket.close()
        assert not it.sent


@EACH_WAY
@on_loop
async def test_the_loops_word_is_enough_where_the_system_cannot_tell(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What little is sent ahead is read, and behind it the client's end."""
    monkeypatch.setattr(disconnects, "DISCONNECT_EVENTS", 0)
    async with scene(monkeypatch) as it:
        await sent_ahead_of_an_answer(it)
        it.client.leave(how)
        await it.settled()
        assert len(it.sent) == 1


# --- Attempts that are out -----------------------------------------------------------------


class Frozen(Endpoint):
    """Reads nothing."""

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        reader._transport.pause_reading()  # type: ignore[attr-defined]


async def stream(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """An answer too large for any buffer, whole."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * len(LARGE_BODY)))
    for _ in range(16):
        writer.write(LARGE_BODY)
        await writer.drain()


@EACH_WAY
@CANCELS
@pytest.mark.parametrize("frozen", [True, False])
@on_loop
async def test_an_upload_ends_with_its_client(
    frozen: bool, cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The rest of the body never comes: no attempt of it can end well, or be left to run."""
    async with scene(monkeypatch, cancel, endpoint=Frozen() if frozen else None) as it:
        it.client.send(request("pay", LARGE_BODY * 40)[:70_000])
        await wait_until(lambda: bool(it.sent))
        if frozen:
            await it.client.fill(lambda: bool(it.caller().reading_paused))
        it.client.leave(how)
        await it.settled()


@EACH_WAY
@CANCELS
@on_loop
async def test_an_answer_that_nobody_reads_ends_with_its_client(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scene(monkeypatch, cancel, endpoint=Endpoint(stream)) as it:
        it.one.server.timeouts.stall_s = 1000.0
        it.client.send(request())
        await wait_until(lambda: it.caller().writing_paused)
        it.client.leave(how)
        await it.settled()


@EACH_WAY
@on_loop
async def test_what_was_asked_ends_before_earlier_answers_are_all_written(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def stream_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "r0":
            await stream(endpoint, message, writer)

    async with scene(monkeypatch, endpoint=Endpoint(stream_first)) as it:
        it.one.server.timeouts.stall_s = 1000.0
        it.caller().transport.set_write_buffer_limits(high=1 << 30)  # served on all the same
        it.client.send(request(rid="r0") + request(rid="r1"))
        await wait_until(lambda: len(it.endpoint.received) == 2)
        assert it.caller().transport.get_write_buffer_size()
        it.one.server.timeouts.stall_s = 0.05
        it.client.leave(how)
        await it.given_up()
        await it.settled()


@EACH_WAY
@on_loop
async def test_an_attempt_that_cannot_be_cancelled_is_waited_for_to_its_end_and_no_longer(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scene(monkeypatch, cancel=False) as it:
        it.client.send(http_request(deadline_ms=300))
        await it.endpoint.request_arrived.acquire()
        it.client.leave(how)
        await it.given_up()
        assert it.one.driver.calls
        await it.settled()


@EACH_WAY
@on_loop
async def test_many_clients_that_leave_at_once_have_nothing_sent(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with scene(monkeypatch) as it:
        it.block()
        crowd = [Client(it.one.port) for _ in range(200)]
        for n, client in enumerate(crowd):
            client.send(request(rid=f"c{n}"))
        await wait_until(lambda: len(it.timers) >= 200)
        for client in crowd:
            client.leave(how)
        it.found()
        it.client.leave(CLOSE)
        await it.settled()
        assert not it.sent
        for client in crowd:
            client.socket.close()
