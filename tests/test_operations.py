"""What operators do with a running sidecar: upgrades, detaching endpoints and reloads, over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from itertools import count, islice
from pathlib import Path
from typing import Any

import pytest

from tests.process import free_port, http_call, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import (
    SETTINGS,
    Endpoint,
    FakeDiscovery,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    push_list,
    read_message,
    run_sidecar,
    run_test,
    serve_ok,
)
from woadyard.membership.shrink import ShrinkGuard
from woadyard.net.config import read_config
from woadyard.net.discovery import Discovery
from woadyard.net.state import endpoint_number
from woadyard.sidecar import ConfigReloader


def test_a_second_process_takes_over_the_platforms_listening_socket(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] == "slow":
                await release.wait()
            writer.write(http_response())

        endpoint, registry = Endpoint(slow), FakeDiscovery(heartbeat_s=1.0)
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        async with await endpoint.start(), await registry.start():
            environ = {
                **sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}"),
                "LB_ACCEPT_FD": str(listener.fileno()),
            }
            admin_ports = [free_port(), free_port()]
            old = await start_sidecar(
                {**environ, "LB_CONSOLE": f"127.0.0.1:{admin_ports[0]}"}, listener.fileno()
            )
            await wait_until_ready(admin_ports[0])
            _, old_watch = await registry.watches.get()
            push_list(old_watch, 1, True, endpoint.entry())  # heartbeats follow a list
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
            idle_writer.write(http_request(rid="first"))
            assert "connection" not in (await read_message(idle)).headers
            busy, busy_writer = await asyncio.open_connection("127.0.0.1", port)
            busy_writer.write(http_request(rid="slow"))
            await endpoint.request_arrived.acquire()
            await endpoint.request_arrived.acquire()
            new = await start_sidecar(
                {**environ, "LB_CONSOLE": f"127.0.0.1:{admin_ports[1]}"}, listener.fileno()
            )
            _, watch = await registry.watches.get()
            assert (await http_call(admin_ports[1], "GET", "/_ready")).start_line.startswith(
                "HTTP/1.1 503"
            ), "no list yet"
            push_list(watch, 2, True, endpoint.entry())
            await wait_until_ready(admin_ports[1])
            old.send_signal(signal.SIGTERM)
            while (await http_call(admin_ports[0], "GET", "/_ready")).start_line.startswith("HTTP/1.1 200"):
                await asyncio.sleep(0.01)
            for n in range(20):  # all must reach the new process: the old one would send `Connection: close`
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request(rid=f"new{n}"))
                assert "connection" not in (await read_message(reader)).headers
                writer.close()
            idle_writer.write(http_request(rid="kept"))
            response = await read_message(idle)
            assert response.body == b"ok" and response.headers["connection"] == "close"
            release.set()
            response = await read_message(busy)
            assert response.body == b"ok" and response.headers["connection"] == "close"
            _, errors = await old.communicate()
            assert (old.returncode, errors) == (0, b"")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request(rid="after"))
            assert (await read_message(reader)).body == b"ok", (
                "the socket stays open after the old process ends"
            )
            writer.close()
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run_test(main())


@pytest.mark.parametrize("descriptor", ["x", "-1", "0", "99999999999999999999"])
def test_a_descriptor_that_is_no_listener_stops_the_start_with_one_log_line(
    tmp_path: Path, descriptor: str
) -> None:
    async def main() -> None:
        registry = FakeDiscovery(heartbeat_s=1.0)
        async with await registry.start():
            process = await start_sidecar({**sidecar_environ(tmp_path, registry), "LB_ACCEPT_FD": descriptor})
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"

    run_test(main())


@pytest.mark.parametrize("console", ["nowhere", "127.0.0.1:99999", "192.0.2.1:80", 5])
def test_a_console_that_cannot_be_used_stops_the_start_with_one_log_line(
    tmp_path: Path, console: object
) -> None:
    async def main() -> None:
        registry = FakeDiscovery(heartbeat_s=1.0)
        async with await registry.start():
            process = await start_sidecar(sidecar_environ(tmp_path, registry, console=console))
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"

    run_test(main())


def test_a_ban_outlives_an_upgrade_and_one_call_lifts_it(tmp_path: Path) -> None:
    async def main() -> None:
        first, second, registry = Endpoint(), Endpoint(), FakeDiscovery(heartbeat_s=1.0)
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        async with await first.start(), await second.start(), await registry.start():
            known = {"generation": 1, "reset": True, "instances": [first.entry("s-1"), second.entry("s-2")]}
            environ = {
                **sidecar_environ(tmp_path, registry, listen=f"127.0.0.1:{port}", known=known),
                "LB_ACCEPT_FD": str(listener.fileno()),
            }
            ids = count()

            async def send_requests(request_count: int) -> None:
                for n in islice(ids, request_count):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(http_request(rid=f"r{n}"))
                    assert (await read_message(reader)).body == b"ok"
                    writer.close()

            async def change_ban(admin_port: int, action: str, body: str) -> str:
                return (
                    await http_call(admin_port, "POST", f"/_endpoints/{action}", body)
                ).start_line.split()[1]

            admin_ports = [free_port(), free_port()]
            old = await start_sidecar(
                {**environ, "LB_CONSOLE": f"127.0.0.1:{admin_ports[0]}"}, listener.fileno()
            )
            await wait_until_ready(admin_ports[0])
            await registry.watches.get()
            assert await change_ban(admin_ports[0], "detach", "s-9") == "404"
            assert await change_ban(admin_ports[0], "detach", "") == "400"
            for _ in range(2):
                assert await change_ban(admin_ports[0], "detach", "s-1") == "200"
            await send_requests(20)
            new = await start_sidecar(
                {**environ, "LB_CONSOLE": f"127.0.0.1:{admin_ports[1]}"}, listener.fileno()
            )
            _, watch = await registry.watches.get()
            push_list(watch, 2, True, first.entry("s-1"), second.entry("s-2"))
            await wait_until_ready(admin_ports[1])
            old.send_signal(signal.SIGTERM)
            await old.wait()
            await send_requests(20)
            assert not first.received, "neither process sends requests to a detached endpoint"
            assert await change_ban(admin_ports[1], "attach", "s-1") == "200"
            while not first.received:
                await send_requests(1)
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run_test(main())


def changed_settings(part: str, **changes: Any) -> dict[str, Any]:
    """Return the settings with one part of them changed; None removes a key."""
    section = SETTINGS["classes"][0] if part == "classes" else SETTINGS[part]
    new = {key: value for key, value in {**section, **changes}.items() if value is not None}
    return {**SETTINGS, part: [new, *SETTINGS["classes"][1:]] if part == "classes" else new}


@dataclass
class ReloadableSidecar:
    """A sidecar, its configuration file and the handler of SIGHUP."""

    sidecar: Sidecar
    path: Path
    discovery: Discovery
    reload: ConfigReloader

    def reload_with(self, raw: dict[str, Any] | bytes) -> None:
        self.path.write_bytes(raw if isinstance(raw, bytes) else json.dumps(raw).encode())
        self.reload()


@contextlib.asynccontextmanager
async def reloadable_sidecar(tmp_path: Path, *endpoints: Endpoint) -> AsyncIterator[ReloadableSidecar]:
    registry = FakeDiscovery(heartbeat_s=1.0)
    async with run_sidecar(*endpoints, discovery_server=registry) as running:
        environ = sidecar_environ(tmp_path, registry)
        discovery = running.driver.discovery
        assert discovery is not None
        loaded = read_config(environ)
        guard = ShrinkGuard(loaded.max_list_shrink, running.driver.apply_list, running.driver.loop.time)
        yield ReloadableSidecar(
            running,
            Path(environ["LB_CONFIG"]),
            discovery,
            ConfigReloader(loaded, running.driver, discovery, guard),
        )


BAD_NUMBERS: list[Any] = ["5", True, None, 0, -1, float("nan"), float("inf"), [1]]
GOOD_FILE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "seed": "1",
    "limits": {},
    "discovery": "127.0.0.1:9",
}
BAD_FILES: list[dict[str, Any] | bytes] = [
    b"",
    b"[]",
    json.dumps({**GOOD_FILE, "settings": SETTINGS}).encode()[:-40],
    *({**GOOD_FILE, "settings": changed_settings("classes", **{"deadline-us": bad})} for bad in BAD_NUMBERS),
    *(
        {**GOOD_FILE, "settings": changed_settings("ceilings", **{"max-attempts": bad})}
        for bad in BAD_NUMBERS
    ),
    {**GOOD_FILE, "settings": changed_settings("classes", repeat="whatever")},
    {**GOOD_FILE, "settings": changed_settings("classes", name="put")},
    {**GOOD_FILE, "settings": {**SETTINGS, "classes": []}},
    {**GOOD_FILE, "settings": {key: SETTINGS[key] for key in SETTINGS if key != "invariants"}},
    {**GOOD_FILE, "settings": SETTINGS, "discovery": "nowhere"},
    {"discovery": "127.0.0.1:9", "settings": SETTINGS},
    {**GOOD_FILE},
]


@pytest.mark.parametrize("raw", BAD_FILES)
def test_an_invalid_file_is_rejected_as_a_whole_with_one_log_line(
    tmp_path: Path, raw: dict[str, Any] | bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async with reloadable_sidecar(tmp_path, Endpoint()) as running:
            before, address = running.sidecar.driver.settings, running.discovery.address
            running.reload_with(raw)
            assert running.sidecar.driver.settings is before and running.discovery.address == address
            assert (await running.sidecar.send(http_request())).body == b"ok"
        assert [record.getMessage() for record in caplog.records] == ["not reloaded"]

    run_test(main())


def test_classes_are_added_removed_and_changed_and_requests_in_flight_keep_theirs(tmp_path: Path) -> None:
    async def main() -> None:
        may_reset = asyncio.Event()

        async def reset(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if len(endpoint.received) == 1:
                await may_reset.wait()
                writer.transport.abort()
            else:
                writer.write(http_response())

        async with reloadable_sidecar(tmp_path, Endpoint(reset), Endpoint(serve_ok)) as running:
            by_number = running.sidecar.driver.balancer.endpoints
            first_endpoint = by_number[endpoint_number("s-0")]
            vars(running.sidecar.driver.balancer.membership)["pick_trial"] = (
                lambda at, call: None if call.attempts else first_endpoint
            )
            in_flight = asyncio.create_task(running.sidecar.send(http_request("page")))
            while not running.sidecar.driver.calls or not first_endpoint.inflight:
                await asyncio.sleep(0)
            vars(running.sidecar.driver.balancer.membership)["pick_trial"] = lambda at, call: None
            page, put, _ = SETTINGS["classes"]
            without_retries = {**page, "repeat": "fragile"}
            added = {**page, "name": "fresh"}
            running.reload_with(
                {**GOOD_FILE, "settings": {**SETTINGS, "classes": [added, without_retries, put]}}
            )
            assert (await running.sidecar.send(http_request("pay"))).start_line.split()[1] == "404"
            assert (await running.sidecar.send(http_request("page", rid="get"))).start_line.split()[
                1
            ] == "405"
            post = http_request("page", rid="post").replace(b"GET ", b"POST ")
            assert (await running.sidecar.send(post)).body == b"ok"
            added_request = http_request("page", rid="fresh").replace(b"page", b"fresh")
            assert (await running.sidecar.send(added_request)).body == b"ok"
            may_reset.set()
            assert (await in_flight).body == b"ok", "retried, as its class allowed when it came"
            running.reload_with({**GOOD_FILE, "settings": SETTINGS})
            assert (await running.sidecar.send(http_request("pay", rid="back"))).body == b"ok"
            assert len(running.sidecar.driver.settings.classes) == 5, (
                "a class that is added again keeps its number"
            )

    run_test(main())


def test_a_lower_attempt_limit_applies_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(http_response(500))

        endpoints = [Endpoint(fail) for _ in range(4)]
        async with reloadable_sidecar(tmp_path, *endpoints) as running:
            running.reload_with(
                {**GOOD_FILE, "settings": changed_settings("ceilings", **{"max-attempts": 1})}
            )
            await running.sidecar.send(http_request())
            assert sum(len(target.received) for target in endpoints) == 1

    run_test(main())


def test_a_valid_file_changes_discovery_and_settings_together(tmp_path: Path) -> None:
    async def main() -> None:
        async with reloadable_sidecar(tmp_path, Endpoint()) as running:
            running.reload_with({**GOOD_FILE, "settings": {**SETTINGS, "invariants": {"drain-grace-us": 7}}})
            assert (
                running.discovery.address == "127.0.0.1:9"
                and running.sidecar.driver.active_settings.drain_grace_us == 7
            )
            running.reload_with(b"{")
            assert running.discovery.address == "127.0.0.1:9", "the last valid file stays in force"

    run_test(main())
