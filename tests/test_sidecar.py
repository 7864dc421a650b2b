"""The real sidecar as a process: signals, its stop, and its start with bad settings."""

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
    """No answer, until the connection closes."""


@on_loop
async def test_sigterm_finishes_what_was_taken_and_exits(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "slow":
            await release.wait()
        writer.write(http_response())

    endpoint, registry = Endpoint(slow), FakeDiscovery()
    async with await endpoint.start(), await registry.start():
        port = free_port()
        environ = {**sidecar_environ(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
        process = await start_sidecar(environ)
        _, watch = await registry.watches.get()
        push_list(watch, 2, True, endpoint.entry())
        while True:  # it watches before it listens
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
        assert "connection" not in (await read_message(idle)).headers, "callers may have no other yet"
        new, new_writer = await asyncio.open_connection("127.0.0.1", port)
        new_writer.write(http_request(rid="new"))
        back = await read_message(new)
        assert back.body == b"ok"
        assert await idle.read() == await new.read() == b"", "in the end what is idle is closed"
        release.set()
        back = await read_message(reader)
        assert back.body == b"ok" and back.headers["connection"] == "close"
        _, errors = await process.communicate()
        assert process.returncode == 0
        assert {json.loads(line)["event"] for line in errors.splitlines()} <= {LOST_MESSAGE}, "a silent watch"
        for one in (writer, idle_writer, new_writer):
            one.close()


@on_loop
async def test_what_is_taken_after_sigterm_is_answered_before_the_kill() -> None:
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as one:
        now = one.driver.now()
        one.server.stop(lambda: None)
        assert now + 3_000_000 < one.server.responses_due_us < one.driver.now() + 3_700_000
        one.server.responses_due_us = one.driver.now() + 50_000
        back = await one.send(http_request("pay", deadline_ms=30_000))
        assert back.start_line.split()[1] == "504"


@on_loop
async def test_all_that_comes_on_an_open_connection_after_sigterm_is_answered() -> None:
    """Clients send on until they see the connection close, one request behind another too."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(http_request(rid="before"))
        await read_message(reader)
        one.server.stop(lambda: None)
        for n in range(3):
            writer.write(http_request(rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        one.server.is_draining = True  # as when the connections at rest have been closed
        writer.write(http_request(rid="last") + http_request(rid="ahead") + http_request(rid="further"))
        for n in range(3):
            back = await read_message(reader)
            assert back.body == b"ok" and ("connection" in back.headers) == (n == 2)
        assert await reader.read() == b""
        writer.close()


@pytest.mark.parametrize("discovery", ["push", "ask"])
@on_loop
async def test_sighup_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path: Path, discovery: str) -> None:
    old, new = FakeDiscovery(), FakeDiscovery()
    changes = {"settings": {**SETTINGS, "discovery": discovery}}
    async with await old.start(), await new.start():
        environ = {**sidecar_environ(tmp_path, old, **changes), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
        environ["LB_DISCOVERY"] = f"127.0.0.1:{old.port}"
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
        watch.close()  # no list came: the new address is asked again
        await new.watches.get()
        process.send_signal(signal.SIGTERM)
        _, errors = await process.communicate()
        assert process.returncode == 0
        assert [json.loads(line)["event"] for line in errors.splitlines()] == [LOST_MESSAGE], (
            "once, not per try"
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
async def test_a_bad_configuration_is_one_line_and_an_exit(tmp_path: Path, changes: dict[str, Any]) -> None:
    registry = FakeDiscovery()
    registry.port = 1
    process = await start_sidecar(sidecar_environ(tmp_path, registry, **changes))
    out, errors = await process.communicate()
    assert process.returncode == 2 and out == b""
    assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"


@on_loop
async def test_no_configuration_is_one_line_and_an_exit() -> None:
    environ = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    process = await start_sidecar(environ)
    _, errors = await process.communicate()
    assert process.returncode == 2 and json.loads(errors)["error"] == "LB_CONFIG is not set"
