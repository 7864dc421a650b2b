"""Bodies and answers of every size and form, over loopback."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from tests.sockets import (
    LARGE,
    Endpoint,
    Message,
    Sidecar,
    Writer,
    answer,
    outcomes,
    read_message,
    request,
    run,
    sidecar,
    until,
)
from woadyard.interface import NO_CONNECT
from woadyard.net.caller import Caller
from woadyard.net.message import HOLD_MAX, READ_SIZE


def chunks(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return (
        b"".join(b"%x%b\r\n%b\r\n" % (len(one), extension, one) for one in parts) + b"0\r\n%b\r\n" % trailer
    )


def chunked(cls: str, body: bytes, rid: str = "r1") -> bytes:
    head = request(cls, rid=rid).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunks(body, 5000, b';note="a;b"', b"X-Class: other\r\n")


def head(raw: bytes) -> Callable[[Endpoint, Message, Writer], asyncio.Future[None]]:
    """A handler that writes this, and ends the connection."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)
        await writer.drain()
        writer.close()

    return handler  # type: ignore[return-value]


# --- From callers ---------------------------------------------------------------------


@pytest.mark.parametrize("size", [10, HOLD_MAX, HOLD_MAX + 1, len(LARGE)])
@pytest.mark.parametrize("form", ["length", "chunked"])
def test_a_body_reaches_the_endpoint_whole_and_the_connection_is_kept(size: int, form: str) -> None:
    async def main() -> None:
        endpoint, body = Endpoint(), LARGE[:size]
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            for rid in ("r1", "r2"):
                raw = request("pay", body, rid=rid) if form == "length" else chunked("pay", body, rid)
                writer.write(raw)
                back = await read_message(reader)
                assert back.body == b"ok" and "connection" not in back.headers
            assert [one.body for one in endpoint.got] == [body, body] and endpoint.opened == 1
            assert all(0 < int(one.headers["x-deadline-ms"]) <= 4000 for one in endpoint.got)
            assert not one.driver.calls and not one.driver.balancer.requests
            assert all(not one.moving for one in one.driver.balancer.endpoints.values())

    run(main())


def test_large_bodies_sent_ahead_are_served_in_turn() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request("pay", LARGE, rid="r1") + chunked("pay", LARGE, "r2") + request(rid="r3"))
            for _ in range(3):
                assert (await read_message(reader)).body == b"ok"
            assert [len(one.body) for one in endpoint.got] == [len(LARGE), len(LARGE), 0]

    run(main())


def test_a_caller_that_expects_a_word_gets_it_before_its_body() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            reader, writer = await one.connect()
            raw = request("pay", b"sum", headers="Expect: 100-continue\r\n")
            writer.write(raw[:-3])
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"sum")
            assert (await read_message(reader)).body == b"ok"

    run(main())


def test_white_space_around_values_and_trailers_change_nothing() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            raw = chunked("pay", b"sum").replace(b"X-Class: pay", b"X-Class: \t pay \t")
            assert (await one.ask(raw.replace(b"-Ms: 4000", b"-Ms: 4000 "))).body == b"ok"
            assert endpoint.got[0].headers["x-class"] == "pay"

    run(main())


@pytest.mark.parametrize(
    "raw",
    [
        request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n"),
        request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"),
        chunked("pay", b"sum").replace(b"chunked\r\n", b"gzip, chunked\r\n"),
        chunked("pay", b"sum").replace(b"chunked\r\n", b"chunked\r\nTransfer-Encoding: chunked\r\n"),
        request("pay", b"sum").replace(b"Length: 3", b"Length: +3"),
        chunked("pay", b"sum").replace(b"3;note", b"3x;note"),
    ],
    ids=["doubled", "both", "gzip", "coded twice", "signed", "bad chunk"],
)
def test_framing_that_is_doubled_or_unknown_is_refused(raw: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            back = await one.ask(raw)
            assert back.start.split()[1] in ("400", "501") and not endpoint.got

    run(main())


def test_a_large_body_is_sent_once_and_a_connection_that_never_came_up_costs_it_nothing() -> None:
    async def main() -> None:
        async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(500))

        bad, closed, good = Endpoint(fail), Endpoint(), Endpoint()
        async with sidecar(bad, good) as one:
            (await closed.start()).close()  # nobody listens there
            one.told(closed.entry("s-0"), good.entry("s-1"))
            for n in range(8):  # to either first
                assert (await one.ask(request("put", LARGE, rid=f"a{n}"))).body == b"ok"
            one.told(bad.entry("s-0"))
            back = await one.ask(request("put", LARGE, rid="b"))
            assert back.start.split()[1] == "502" and len(bad.got) == 1

    run(main())


def test_an_answer_while_the_body_still_comes_does_not_cut_it_off() -> None:
    async def main() -> None:
        async with sidecar(Endpoint(), known=False) as one:
            one.driver.balancer.membership.banned[7] = None  # all endpoints are out: refused at once
            reader, writer = await one.connect()
            raw = request("pay", LARGE)
            writer.write(raw[:70_000])
            back = await read_message(reader)
            assert back.start.split()[1] == "503" and back.headers["connection"] == "close"
            writer.write(raw[70_000:])
            await writer.drain()
            assert await reader.read() == b"", "closed once all of it was read"

    run(main())


def test_a_body_that_gets_on_is_waited_for_and_one_that_does_not_is_refused() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            one.server.waits.request_s = 0.05
            one.server.waits.load_s = 0.05
            reader, writer = await one.connect()
            raw = request("pay", LARGE)
            writer.write(raw[:70_000])
            await until(lambda: bool(one.upstream.links))
            (caller,) = one.server.callers
            for at in range(70_000, 70_000 + 5 * 40_000, 40_000):
                before = caller.patience
                await until(lambda before=before: caller.patience is not before)  # type: ignore[misc]
                writer.write(raw[at : at + 40_000])
                await until(lambda at=at: caller.incoming.size >= at - 20_000)  # type: ignore[misc]
            assert (await read_message(reader)).start.split()[1] == "408"
            assert not one.driver.calls and not endpoint.got

    run(main())


def test_an_endpoint_that_takes_no_more_of_a_body_is_given_up() -> None:
    async def main() -> None:
        class Frozen(Endpoint):
            async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
                reader._transport.pause_reading()  # type: ignore[attr-defined]

        async with sidecar(Frozen()) as one:
            one.server.waits.request_s = 0.05
            one.server.waits.load_s = 0.05
            events = outcomes(one)
            reader, writer = await one.connect()
            writer.write(request("pay", LARGE * 40))
            back = await read_message(reader)
            assert back.start.split()[1] == "503", "no endpoint has it whole: trying again is harmless"
            assert [event.outcome for event in events] == [NO_CONNECT]
            assert not one.driver.calls and not one.driver.balancer.requests

    run(main())


def test_a_body_that_stops_after_its_answer_gets_no_second_one() -> None:
    async def main() -> None:
        async with sidecar(Endpoint(), known=False) as one:
            one.server.waits.request_s = 0.05
            one.driver.balancer.membership.banned[7] = None  # all endpoints are out: refused at once
            reader, writer = await one.connect()
            writer.write(request("pay", LARGE)[:70_000])
            assert (await read_message(reader)).start.split()[1] == "503"
            assert await reader.read() == b""

    run(main())


# --- From endpoints -------------------------------------------------------------------


HEAD = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(LARGE), LARGE),
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LARGE, 7000, b";a=b", b"X-T: 1\r\n"),
    "close": HEAD + b"\r\n" + LARGE,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + HEAD + b"\r\n" + LARGE,
    "small close": HEAD + b"\r\nok",
    "small interim": b"HTTP/1.1 102 X\r\n\r\n" + HEAD + b"Content-Length: 2\r\n\r\nok",
    "old": b"HTTP/1.0 200 OK\r\n\r\nok",
}


@pytest.mark.parametrize("form", FORMS)
def test_an_answer_of_any_form_is_passed_on_unchanged(form: str) -> None:
    async def main() -> None:
        async with sidecar(Endpoint(head(FORMS[form]))) as one:
            reader, writer = await one.connect()
            for rid in ("r1", "r2"):
                writer.write(request(rid=rid))
                back = await read_message(reader)
                assert back.body == (b"ok" if FORMS[form].endswith(b"ok") else LARGE)
                assert "link" not in back.headers and "x-t" not in back.headers
            assert not one.driver.calls and not one.driver.balancer.requests
            assert all(not one.moving for one in one.driver.balancer.endpoints.values())

    run(main())


def test_a_large_answer_to_an_old_caller_ends_with_the_connection() -> None:
    async def main() -> None:
        async with sidecar(Endpoint(head(FORMS["chunked"]))) as one:
            reader, writer = await one.connect()
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            back = await reader.read()
            assert back.endswith(LARGE) and b"chunked" not in back[:300]

    run(main())


def test_the_first_bytes_of_a_large_answer_do_not_wait_for_the_rest() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            raw = FORMS["length"]
            writer.write(raw[:200])
            await release.wait()
            writer.write(raw[200:])

        async with sidecar(Endpoint(reply)) as one:
            reader, writer = await one.connect()
            writer.write(request(deadline_ms=60_000))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            assert await reader.readexactly(100) == LARGE[:100]
            (call,) = one.driver.calls.values()
            assert call.timer is None, "no time runs that would cut it off"
            release.set()
            assert await reader.readexactly(len(LARGE) - 100) == LARGE[100:]

    run(main())


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_an_answer_that_breaks_off_is_seen_not_to_be_whole(form: str) -> None:
    async def main() -> None:
        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(FORMS[form][:100_000])
            await until(
                lambda: bool(one.driver.calls) and bool(next(iter(one.driver.calls.values())).relayed)
            )
            linger = struct.pack("ii", 1, 0)  # a reset: a clean end would end the last form
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await read_message(reader)
                await reader.read()
            assert len(endpoint.got) == 1 and not one.driver.calls and not one.driver.balancer.requests

    run(main())


@pytest.mark.parametrize(
    "raw",
    [
        HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip\r\n\r\nok",
        HEAD + b"Content-Length: 3\r\n\r\nok",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        HEAD + b"X: " + b"x" * 70_000,
    ],
    ids=["doubled", "both", "gzip", "short", "no last chunk", "endless head"],
)
def test_an_answer_that_cannot_be_read_is_a_failed_attempt(raw: bytes) -> None:
    async def main() -> None:
        bad, good = Endpoint(head(raw)), Endpoint()
        async with sidecar(bad, good) as one:
            one.told(bad.entry("s-0"))
            events = outcomes(one)
            back = await one.ask(request("pay"))
            assert back.start.split()[1] == "502" and len(bad.got) == 1, "it may have run"
            assert len(events) == 1
            one.told(bad.entry("s-0"), good.entry("s-1"))
            for n in range(4):
                assert (await one.ask(request("page", rid=f"a{n}"))).body == b"ok"

    run(main())


def test_a_caller_that_never_reads_holds_up_the_endpoint_and_not_the_memory() -> None:
    async def main() -> None:
        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (64 * len(LARGE)))
            for _ in range(64):
                writer.write(LARGE)
                await writer.drain()

        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            one.server.waits.relay_s = 0.2
            reader, writer = await one.connect()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request())
            await until(lambda: bool(one.upstream.links))
            (link,) = one.upstream.links
            await until(lambda: link.transport is not None and not link.transport.is_reading())
            (caller,) = one.server.callers
            assert caller.transport is not None
            assert caller.transport.get_write_buffer_size() <= 4 * READ_SIZE
            await until(lambda: not one.server.callers and not one.upstream.links)
            assert not one.driver.calls, "in the end it is cut off"

    run(main())


def test_a_caller_that_asks_on_and_never_reads_is_served_no_more() -> None:
    async def main() -> None:
        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE[:HOLD_MAX]))

        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            (caller,) = await callers(one)
            for n in range(400):
                writer.write(request(rid=f"r{n}"))
            await until(lambda: caller.paused and not one.driver.calls)
            assert caller.transport is not None
            served, size = len(endpoint.got), caller.transport.get_write_buffer_size()
            assert served < 400 and size <= HOLD_MAX + 4 * READ_SIZE
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(400):
                assert len((await read_message(reader)).body) == HOLD_MAX
            one.server.waits.relay_s = 0.05
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            for n in range(400, 800):
                writer.write(request(rid=f"r{n}"))
            await until(lambda: not one.server.callers)

    run(main())


async def callers(one: Sidecar) -> list[Caller]:
    await until(lambda: bool(one.server.callers))
    return list(one.server.callers)


def test_an_endpoint_that_reads_slowly_holds_up_the_caller() -> None:
    async def main() -> None:
        release = asyncio.Event()

        class Slow(Endpoint):
            async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
                await release.wait()
                await super()._serve(reader, writer)

        endpoint = Slow()
        async with sidecar(endpoint) as one:
            asked = asyncio.create_task(one.ask(request("pay", LARGE * 16)))
            await until(lambda: any(link.upload for link in one.upstream.links))
            (caller,), (link,) = one.server.callers, one.upstream.links
            assert link.transport is not None
            await until(lambda: caller.paused)
            assert link.transport.get_write_buffer_size() <= 4 * READ_SIZE
            release.set()
            assert (await asked).body == b"ok" and endpoint.got[0].body == LARGE * 16

    run(main())
