"""The stop in order: what is owed when SIGTERM comes, and as the process ends."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.process import connect_when_open, free_port, sidecar_environ, start_sidecar
from tests.sockets import (
    LARGE_BODY,
    SETTINGS,
    Endpoint,
    FakeDiscovery,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    run_sidecar,
    wait_until,
)
from woadyard.net.server import shutdown_times
from woadyard.wire import read_settings


def lasting(deadline_us: int) -> dict[str, Any]:
    """The settings with this deadline for each class."""
    classes = [{**one, "aim-us": deadline_us, "deadline-us": deadline_us} for one in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


def retune(one: Sidecar, deadline_us: int) -> None:
    raw = lasting(deadline_us)
    one.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))


@pytest.mark.parametrize("deadline_s", [0.05, 0.1, 0.3, 1.0, 3.0, 30.0])
def test_what_comes_last_has_time_for_its_answer_and_that_for_its_way(deadline_s: float) -> None:
    kept_s, answered_s = shutdown_times(deadline_s)
    assert kept_s > 0.4, "new connections come until then"
    assert answered_s - kept_s > min(0.1, deadline_s) - 1e-9
    assert answered_s < min(3.0, deadline_s) + 0.7 - 0.1 + 1e-9, "SIGKILL"


@on_loop
async def test_classes_that_are_gone_put_off_no_kill() -> None:
    """SIGKILL follows by the deadlines in force, not by those of before a reload."""
    async with run_sidecar(Endpoint()) as one:
        retune(one, 300_000)
        one.server.stop(lambda: None)
        assert one.server.responses_due_us < one.driver.now() + 1_000_000, "SIGKILL may come then"


@on_loop
async def test_new_connections_without_end_put_off_no_end(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        port = free_port()
        changes = {"settings": lasting(300_000), "listen": f"127.0.0.1:{port}"}
        process = await start_sidecar(sidecar_environ(tmp_path, registry, endpoint, **changes))
        reader, writer = await connect_when_open(port)
        writer.write(http_request())
        await read_message(reader)  # it heeds signals by now
        process.send_signal(signal.SIGTERM)

        async def come() -> None:
            with suppress(ConnectionError):
                while True:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    await asyncio.sleep(0.01)
                    writer.close()

        coming = asyncio.create_task(come())
        try:
            async with asyncio.timeout(10.0):
                await process.communicate()
        finally:
            coming.cancel()
            if process.returncode is None:
                process.kill()
        assert process.returncode == 0


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """No answer, until the connection closes."""


def settled(one: Sidecar) -> bool:
    """Nothing is owed to anybody."""
    ends = one.driver.balancer.endpoints.values()
    return not one.driver.calls and not any(end.inflight for end in ends)


HALF_HEAD = http_request()[:-10]
HALF_BODY = http_request("pay", b"x" * 100)[:-50]
LOADING = http_request("pay", LARGE_BODY)[: len(LARGE_BODY) // 2]
PATIENT = http_request("pay", deadline_ms=30_000)


@pytest.mark.parametrize(
    ("sent", "status"),
    [(HALF_HEAD, 503), (HALF_BODY, 503), (LOADING, 504), (PATIENT, 504)],
    ids=["half a head", "half a body", "half a large body", "a long deadline"],
)
@pytest.mark.parametrize("before", [True, False])
@on_loop
async def test_what_is_not_over_by_the_end_is_answered_before_the_kill(
    sent: bytes, status: int, before: bool
) -> None:
    """A request begun, a body on its way, a deadline of before SIGTERM: SIGKILL would cut it off."""
    endpoint, ended = Endpoint(hold), asyncio.Event()
    async with run_sidecar(endpoint) as one, asyncio.timeout(10.0):
        retune(one, 300_000)
        reader, writer = await one.connect()
        if before:
            writer.write(sent)
            await wait_until(
                lambda: any(caller.call or caller.parser.is_reading for caller in one.server.connections)
            )
        one.server.stop(ended.set)
        by = one.server.responses_due_us
        if not before:
            writer.write(sent)
        back = await read_message(reader)
        assert int(back.start_line.split()[1]) == status and back.headers["connection"] == "close"
        assert one.driver.now() >= by - 1000, "it had its time"
        writer.close()
        await ended.wait()
        assert settled(one)


@pytest.mark.parametrize("read", [True, False])
@on_loop
async def test_a_request_that_crosses_the_close_is_served_or_never_sent_on(read: bool) -> None:
    """Its client sends it again only if the sidecar has not read it."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(http_request(rid="before"))
        await read_message(reader)
        one.server.stop(lambda: None)
        with writer.get_extra_info("socket").dup() as raw:
            raw.send(http_request(rid="last"))  # with the system at once
        if read:
            one.server._begin_draining()
            back = await read_message(reader)
            assert back.body == b"ok" and back.headers["connection"] == "close"
        else:
            one.server._close_idle()
            with suppress(ConnectionError):
                assert await reader.read() == b""
        await wait_until(lambda: not one.server.connections)
        assert [one.headers["x-request-id"] for one in endpoint.received] == ["before", "last"][: 1 + read]
        assert settled(one)
        writer.close()


@pytest.mark.parametrize("further", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
@on_loop
async def test_a_further_signal_changes_nothing_for_who_is_served(
    tmp_path: Path, further: signal.Signals
) -> None:
    release = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint, registry = Endpoint(slow), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        port = free_port()
        process = await start_sidecar(
            sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}")
        )
        assert process.stderr is not None
        reader, writer = await connect_when_open(port)
        writer.write(http_request(rid="held"))
        await endpoint.request_arrived.acquire()
        process.send_signal(signal.SIGTERM)
        others = {**SETTINGS, "classes": SETTINGS["classes"][1:]}  # its class is gone
        sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}", settings=others)
        process.send_signal(further)
        while further == signal.SIGHUP and b"reloaded" not in await process.stderr.readline():
            pass  # discovery says nothing, and that is told
        release.set()
        assert (await read_message(reader)).body == b"ok"
        writer.close()
        await process.communicate()
        assert process.returncode == 0


@on_loop
async def test_sigterm_before_it_listens_ends_it_at_once(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        process = await start_sidecar(sidecar_environ(tmp_path, registry, endpoint))
        await registry.watches.get()  # it waits a moment for its first list
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode in (0, -signal.SIGTERM), "nothing was taken yet"
