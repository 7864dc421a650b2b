"""Graceful shutdown: pending requests at SIGTERM and until the process ends."""

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
from woadyard.net import server
from woadyard.net.server import KEEP_CONNECTIONS_S, last_response_due_s
from woadyard.policy import response_relay
from woadyard.wire import read_settings


def settings_with_deadline(deadline_us: int) -> dict[str, Any]:
    """Return the settings with this deadline for each class."""
    classes = [{**each, "aim-us": deadline_us, "deadline-us": deadline_us} for each in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


def retune(proxy: Sidecar, deadline_us: int) -> None:
    raw = settings_with_deadline(deadline_us)
    proxy.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))


@pytest.mark.parametrize("deadline_s", [0.05, 0.1, 0.3, 1.0, 3.0, 30.0])
def test_the_last_request_has_time_for_its_response_and_the_response_for_its_way(deadline_s: float) -> None:
    answered_s = last_response_due_s(deadline_s)
    assert KEEP_CONNECTIONS_S > 0.4, "new connections are accepted until then"
    assert answered_s - KEEP_CONNECTIONS_S > min(0.1, deadline_s) - 1e-9
    assert answered_s < min(3.0, deadline_s) + 0.7 - 0.1 + 1e-9, "SIGKILL"


@pytest.mark.parametrize("deadline_us", [300_000, 3_000_000, 30_000_000])
@on_loop
async def test_no_request_that_counts_at_sigkill_is_taken_on_a_connection_at_rest(deadline_us: int) -> None:
    """Guards against responses that SIGKILL cuts off, long or of a hanging endpoint, of late requests."""
    async with run_sidecar(Endpoint()) as proxy:
        retune(proxy, deadline_us)
        reader, writer = await proxy.connect()
        writer.write(http_request())
        await read_message(reader)
        proxy.server.stop(lambda: None)
        assert await reader.read() == b"" and not writer.transport.is_closing()
        writer.close()
    counted_from_s, hold_up_s = 0.7, 0.15
    assert KEEP_CONNECTIONS_S + hold_up_s <= counted_from_s + 1e-9


@on_loop
async def test_removed_classes_do_not_postpone_the_end() -> None:
    """SIGKILL follows by the deadlines in force, not by those from before a reload."""
    async with run_sidecar(Endpoint()) as proxy:
        retune(proxy, 300_000)
        proxy.server.stop(lambda: None)
        assert proxy.server.responses_due_us < proxy.driver.now() + 1_000_000, "SIGKILL may come then"


@on_loop
async def test_endless_new_connections_do_not_postpone_the_end(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        port = free_port()
        changes = {"settings": settings_with_deadline(300_000), "listen": f"127.0.0.1:{port}"}
        process = await start_sidecar(sidecar_environ(tmp_path, registry, endpoint, **changes))
        reader, writer = await connect_when_open(port)
        writer.write(http_request())
        await read_message(reader)  # its signal handlers are set by now
        process.send_signal(signal.SIGTERM)

        async def keep_connecting() -> None:
            with suppress(ConnectionError):
                while True:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    await asyncio.sleep(0.01)
                    writer.close()

        connecting = asyncio.create_task(keep_connecting())
        try:
            async with asyncio.timeout(10.0):
                await process.communicate()
        finally:
            connecting.cancel()
            if process.returncode is None:
                process.kill()
        assert process.returncode == 0


async def never_respond(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Never respond, until the connection closes."""


def is_settled(proxy: Sidecar) -> bool:
    """Whether no request is open and no attempt in flight."""
    endpoint_states = proxy.driver.balancer.endpoints.values()
    return not proxy.driver.calls and not any(endpoint.inflight for endpoint in endpoint_states)


HALF_HEAD = http_request()[:-10]
HALF_BODY = http_request("pay", b"x" * 100)[:-50]
HALF_LARGE_BODY = http_request("pay", LARGE_BODY)[: len(LARGE_BODY) // 2]
LONG_DEADLINE = http_request("pay", deadline_ms=30_000)


@pytest.mark.parametrize(
    ("sent", "status"),
    [(HALF_HEAD, 503), (HALF_BODY, 503), (HALF_LARGE_BODY, 504), (LONG_DEADLINE, 504)],
    ids=["half a head", "half a body", "half a large body", "a long deadline"],
)
@pytest.mark.parametrize("before_sigterm", [True, False])
@on_loop
async def test_pending_requests_are_answered_before_sigkill(
    sent: bytes, status: int, before_sigterm: bool
) -> None:
    """An incomplete request, an upload, a deadline from before SIGTERM: SIGKILL would cut them off."""
    endpoint, stopped = Endpoint(never_respond), asyncio.Event()
    async with run_sidecar(endpoint) as proxy, asyncio.timeout(10.0):
        retune(proxy, 300_000)
        reader, writer = await proxy.connect()
        if before_sigterm:
            writer.write(sent)
            await wait_until(
                lambda: any(
                    connection.call or connection.parser.is_reading for connection in proxy.server.connections
                )
            )
        proxy.server.stop(stopped.set)
        due_us = proxy.server.responses_due_us
        if not before_sigterm:
            writer.write(sent)
        response = await read_message(reader)
        assert int(response.start_line.split()[1]) == status and response.headers["connection"] == "close"
        assert proxy.driver.now() >= due_us - 1000, "not before the time it was given"
        writer.close()
        await stopped.wait()
        assert is_settled(proxy)


async def begin_response(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Begin a response without a length, which never ends."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")


@on_loop
async def test_a_streamed_response_that_halts_ends_before_sigkill(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against SIGKILL in the middle of a short response that was passed on at its deadline."""
    monkeypatch.setattr(server, "UNCOUNTED_REQUESTS_S", 0.0)
    monkeypatch.setattr(response_relay, "MAX_SILENCE_US", 60_000_000)
    stopped = asyncio.Event()
    async with run_sidecar(Endpoint(begin_response)) as proxy, asyncio.timeout(10.0):
        retune(proxy, 300_000)
        reader, writer = await proxy.connect()
        await wait_until(lambda: bool(proxy.server.connections))
        proxy.server.stop(stopped.set)
        writer.write(http_request("pay", deadline_ms=300))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"\r\n0\r\n\r\n")
        await stopped.wait()
        assert is_settled(proxy)


@pytest.mark.parametrize("is_read", [True, False])
@on_loop
async def test_a_request_that_races_with_the_close_is_served_or_never_forwarded(is_read: bool) -> None:
    """Its client repeats it only if the sidecar has not read it."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request(rid="before"))
        await read_message(reader)
        proxy.server.stop(lambda: None)
        with writer.get_extra_info("socket").dup() as client_socket:
            client_socket.send(http_request(rid="last"))  # it is in the socket buffer at once
        if is_read:
            proxy.server._begin_draining()
            response = await read_message(reader)
            assert response.body == b"ok" and response.headers["connection"] == "close"
        else:
            proxy.server._close_idle()
            with suppress(ConnectionError):
                assert await reader.read() == b""
        await wait_until(lambda: not proxy.server.connections)
        assert [message.headers["x-request-id"] for message in endpoint.received] == ["before", "last"][
            : 1 + is_read
        ]
        assert is_settled(proxy)
        writer.close()


@pytest.mark.parametrize("second_signal", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
@on_loop
async def test_a_second_signal_changes_nothing_for_the_request_being_served(
    tmp_path: Path, second_signal: signal.Signals
) -> None:
    release = asyncio.Event()

    async def respond_when_released(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint, registry = Endpoint(respond_when_released), FakeDiscovery()
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
        reloaded_settings = {**SETTINGS, "classes": SETTINGS["classes"][1:]}  # without the request's class
        sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}", settings=reloaded_settings)
        process.send_signal(second_signal)
        while second_signal == signal.SIGHUP and b"reloaded" not in await process.stderr.readline():
            pass  # skips other log lines, such as that discovery is silent
        release.set()
        assert (await read_message(reader)).body == b"ok"
        writer.close()
        await process.communicate()
        assert process.returncode == 0


@on_loop
async def test_sigterm_before_it_listens_ends_the_process_at_once(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        process = await start_sidecar(sidecar_environ(tmp_path, registry, endpoint))
        await registry.watches.get()  # it waits briefly for its first list
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode in (0, -signal.SIGTERM), "no request was accepted yet"
