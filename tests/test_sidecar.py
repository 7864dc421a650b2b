"""The sidecar as a process: signals, shutdown, and startup with invalid settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.process import free_port, sidecar_environ, start_sidecar
from tests.sockets import (
    SETTINGS,
    Endpoint,
    FakeDiscovery,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    push_list,
    read_message,
    run_sidecar,
)
from woadyard.net.discovery import LOST_MESSAGE


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Send no response; the connection stays open."""


@on_loop
async def test_sigterm_finishes_accepted_requests_and_exits(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "slow":
            await release.wait()
        writer.write(http_response())

    endpoint, discovery_server = Endpoint(slow), FakeDiscovery()
    async with await endpoint.start(), await discovery_server.start():
        port = free_port()
        environ = {**sidecar_environ(tmp_path, discovery_server, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
        process = await start_sidecar(environ)
        _, watch = await discovery_server.watches.get()
        push_list(watch, 2, True, endpoint.entry())
        while True:  # the watch starts before the sidecar listens
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            except ConnectionError:
                await asyncio.sleep(0)
        idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
        idle_writer.write(http_request(rid="before"))
        assert "connection" not in (await read_message(idle)).headers
        writer.write(http_request(rid="slow"))
        await endpoint.request_arrived.acquire()
        process.send_signal(signal.SIGTERM)
        idle_writer.write(http_request(rid="kept"))
        assert "connection" not in (await read_message(idle)).headers, "clients may have no other sidecar yet"
        new, new_writer = await asyncio.open_connection("127.0.0.1", port)
        new_writer.write(http_request(rid="new"))
        response = await read_message(new)
        assert response.body == b"ok"
        assert await idle.read() == await new.read() == b"", "idle connections are closed in the end"
        release.set()
        response = await read_message(reader)
        assert response.body == b"ok" and response.headers["connection"] == "close"
        _, errors = await process.communicate()
        assert process.returncode == 0
        assert {json.loads(line)["event"] for line in errors.splitlines()} <= {LOST_MESSAGE}, (
            "the watch is silent; nothing else may be logged"
        )
        for open_writer in (writer, idle_writer, new_writer):
            open_writer.close()


@on_loop
async def test_requests_accepted_after_sigterm_are_answered_before_sigkill() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as sidecar:
        now = sidecar.driver.now()
        sidecar.server.stop(lambda: None)
        assert now + 3_000_000 < sidecar.server.responses_due_us < sidecar.driver.now() + 3_700_000
        sidecar.server.responses_due_us = sidecar.driver.now() + 50_000
        response = await sidecar.send(http_request("pay", deadline_ms=30_000))
        assert response.start_line.split()[1] == "504"


@on_loop
async def test_requests_on_an_open_connection_are_answered_after_sigterm() -> None:
    """Clients keep sending until they see the connection close, pipelined requests included."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as sidecar:
        reader, writer = await sidecar.connect()
        writer.write(http_request(rid="before"))
        await read_message(reader)
        sidecar.server.stop(lambda: None)
        for n in range(3):
            writer.write(http_request(rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        sidecar.server.is_draining = True  # as after the idle connections have been closed
        writer.write(http_request(rid="last") + http_request(rid="ahead") + http_request(rid="further"))
        for n in range(3):
            response = await read_message(reader)
            assert response.body == b"ok" and ("connection" in response.headers) == (n == 2)
        assert await reader.read() == b""
        writer.close()


@pytest.mark.parametrize("discovery", ["push", "ask"])
@on_loop
async def test_sighup_moves_the_watch_and_an_invalid_file_changes_nothing(
    tmp_path: Path, discovery: str
) -> None:
    old, new = FakeDiscovery(), FakeDiscovery()
    changes = {"settings": {**SETTINGS, "discovery": discovery}}
    async with await old.start(), await new.start():
        environ = {**sidecar_environ(tmp_path, old, **changes), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
        environ["LB_DISCOVERY"] = f"{old.host}:{old.port}"
        process = await start_sidecar(environ)
        assert process.stderr is not None
        start_line, watch = await old.watches.get()
        assert "from=1 " in start_line
        push_list(watch, 5, True)
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        line = await process.stderr.readline()
        assert json.loads(line)["event"] == "not reloaded"
        sidecar_environ(tmp_path, new, **changes)
        process.send_signal(signal.SIGHUP)
        start_line, watch = await new.watches.get()
        assert "from=5 " in start_line
        assert json.loads(await process.stderr.readline())["event"] == "reloaded"
        watch.close()  # before any list: the new address is called again
        await new.watches.get()
        process.send_signal(signal.SIGTERM)
        _, errors = await process.communicate()
        assert process.returncode == 0
        assert [json.loads(line)["event"] for line in errors.splitlines()] == [LOST_MESSAGE], (
            "logged once, not per attempt"
        )


@pytest.mark.parametrize(
    "changes",
    [
        {"settings": {}},
        {"listen": "nowhere"},
        {"discovery": None},
        {"seed": "xyz"},
        {"known": {"generation": 1, "reset": True, "instances": [{"instanceId": "a"}]}},
    ],
)
@on_loop
async def test_an_invalid_configuration_is_logged_in_one_line_and_exits(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    discovery_server = FakeDiscovery()
    discovery_server.port = 1
    process = await start_sidecar(sidecar_environ(tmp_path, discovery_server, **changes))
    out, errors = await process.communicate()
    assert process.returncode == 2 and out == b""
    assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"


@on_loop
async def test_a_missing_configuration_is_logged_in_one_line_and_exits() -> None:
    environ = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    process = await start_sidecar(environ)
    _, errors = await process.communicate()
    assert process.returncode == 2 and json.loads(errors)["error"] == "LB_CONFIG is not set"
