"""Crowds that hold on to their connections: what is kept for others, and who gives way."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from tests.sockets import (
    TIMEOUT_S,
    Endpoint,
    Message,
    Registry,
    Sidecar,
    Writer,
    answer,
    on_loop,
    read_message,
    request,
    sidecar,
    until,
)
from woadyard.net.caller import Caller


async def joined(one: Sidecar) -> tuple[asyncio.StreamReader, Writer, Caller]:
    """A connection of its own, and the sidecar's side of it."""
    before = set(one.server.callers)
    reader, writer = await one.connect()
    await until(lambda: bool(one.server.callers.keys() - before))
    (caller,) = one.server.callers.keys() - before
    return reader, writer, caller


@on_loop
async def test_who_reads_slowly_keeps_its_connection_and_its_place_in_the_count() -> None:
    """Its descriptor is open until the last byte is read: whoever takes its place is one too many."""
    body = b"x" * 60_000

    async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(answer(body=body))

    async with sidecar(Endpoint(large)) as one:
        one.server.most = 2  # one of them for callers
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(slow, ("127.0.0.1", one.port))
        await until(lambda: bool(one.server.callers))
        (caller,) = one.server.callers
        assert caller.transport is not None
        ours = caller.transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await loop.sock_sendall(slow, request())
        await until(lambda: caller in one.server.resting)
        assert caller.transport.get_write_buffer_size()
        late, _ = await one.connect()
        with contextlib.suppress(ConnectionError):
            assert await late.read() == b"", "nobody can give way"
        assert list(one.server.callers) == [caller] and not caller.over
        reader, writer = await asyncio.open_connection(sock=slow)
        assert (await read_message(reader)).body == body
        writer.write(request(rid="r2"))
        assert (await read_message(reader)).body == body
        writer.close()
        await until(lambda: not one.server.callers)


@on_loop
async def test_refused_peers_that_hold_on_give_way_to_who_asks() -> None:
    async with sidecar(Endpoint()) as one:
        one.server.most = 8  # 6 of them for callers
        one.server.waits.linger_s, one.server.waits.answered_s = TIMEOUT_S, 0.0
        crowd = [await one.connect() for _ in range(6)]
        for reader, writer in crowd:
            writer.write(b"nonsense\r\n\r\n")
            assert (await read_message(reader)).start.split()[1] == "400"
        assert len(one.server.callers) == 6
        resting, resting_writer, _ = await joined(one)
        resting_writer.write(request(rid="rests"))
        assert (await read_message(resting)).body == b"ok"
        assert (await one.ask(request(rid="good"))).body == b"ok"
        resting_writer.write(request(rid="again"))
        assert (await read_message(resting)).body == b"ok", "who was refused goes before who rests"
        for _, writer in [*crowd, (None, resting_writer)]:
            writer.close()
        await until(lambda: not one.server.callers)


@on_loop
async def test_a_refused_peer_has_a_moment_to_read_its_answer_whoever_comes() -> None:
    async with sidecar(Endpoint()) as one:
        one.server.most = 2  # one of them for callers
        one.server.waits.linger_s = one.server.waits.answered_s = TIMEOUT_S
        reader, writer, caller = await joined(one)
        writer.write(b"nonsense\r\n\r\n")
        assert (await read_message(reader)).start.split()[1] == "400"
        late, _ = await one.connect()
        with contextlib.suppress(ConnectionError):
            assert await late.read() == b""
        assert list(one.server.callers) == [caller]
        writer.close()
        await until(lambda: not one.server.callers)


@on_loop
async def test_ids_that_are_remembered_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("woadyard.net.server.IDS_MOST", 3)
    async with sidecar(Endpoint()) as one:
        for n in range(5):
            assert (await one.ask(request(rid=f"r{n}"))).body == b"ok"
        for bad in (request("none", rid="bad"), request(rid="x" * 129), request(deadline_ms=-1, rid="bad")):
            assert (await one.ask(bad)).start.split()[1][0] == "4"
        assert list(one.server.ids) == [b"r2", b"r3", b"r4"], "the latest, and none of a bad request"
        assert (await one.ask(request(rid="r4"))).start.split()[1] == "409"


@pytest.mark.parametrize("adopted", [False, True], ids=["own", "adopted"])
@on_loop
async def test_small_writes_leave_at_once_on_every_side(adopted: bool) -> None:
    registry = Registry()
    async with sidecar(Endpoint(), registry=registry) as one:
        if adopted:
            assert one.server.listener is not None
            one.server.listener.close()
            listening = socket.create_server(("127.0.0.1", 0))
            one.port = listening.getsockname()[1]
            await one.server.adopt(listening.detach())
        reader, writer, caller = await joined(one)
        writer.write(request())
        assert (await read_message(reader)).body == b"ok"
        await registry.asked.get()
        (link,) = one.upstream.links
        assert one.driver.discovery is not None and one.driver.discovery.stream is not None
        for each in (caller.transport, link.transport, one.driver.discovery.stream.transport):
            assert each is not None
            ours = each.get_extra_info("socket")
            assert ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()
