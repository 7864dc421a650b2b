"""What operators do with a running sidecar: real processes on loopback."""

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
from woadyard.__main__ import ConfigReloader
from woadyard.membership.shrink import ShrinkGuard
from woadyard.net.config import read_config
from woadyard.net.discovery import Discovery
from woadyard.net.state import endpoint_number


def test_a_second_process_takes_over_on_the_platforms_socket(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] == "slow":
                await release.wait()
            writer.write(http_response())

        endpoint, registry = Endpoint(slow), FakeDiscovery(heartbeat_s=1.0)
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        async with await endpoint.start(), await registry.start():
            environ = {
                **sidecar_environ(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}"),
                "LB_ACCEPT_FD": str(listening.fileno()),
            }
            doors = [free_port(), free_port()]
            old = await start_sidecar({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[0]}"}, listening.fileno())
            await wait_until_ready(doors[0])
            await registry.watches.get()
            kept, kept_writer = await asyncio.open_connection("127.0.0.1", port)
            kept_writer.write(http_request(rid="first"))
            assert "connection" not in (await read_message(kept)).headers
            taken, taken_writer = await asyncio.open_connection("127.0.0.1", port)
            taken_writer.write(http_request(rid="slow"))
            await endpoint.request_arrived.acquire()
            await endpoint.request_arrived.acquire()
            new = await start_sidecar({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[1]}"}, listening.fileno())
            _, watch = await registry.watches.get()
            assert (await http_call(doors[1], "GET", "/_ready")).start_line.startswith("HTTP/1.1 503"), (
                "no list yet"
            )
            push_list(watch, 2, True, endpoint.entry())
            await wait_until_ready(doors[1])
            old.send_signal(signal.SIGTERM)
            while (await http_call(doors[0], "GET", "/_ready")).start_line.startswith("HTTP/1.1 200"):
                await asyncio.sleep(0.01)
            for n in range(20):  # all come to the new process, or some would see it end
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request(rid=f"new{n}"))
                assert "connection" not in (await read_message(reader)).headers
                writer.close()
            kept_writer.write(http_request(rid="kept"))
            back = await read_message(kept)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            release.set()
            back = await read_message(taken)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            _, errors = await old.communicate()
            assert (old.returncode, errors) == (0, b"")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(http_request(rid="after"))
            assert (await read_message(reader)).body == b"ok", "the socket outlives the old process"
            writer.close()
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run_test(main())


@pytest.mark.parametrize("descriptor", ["x", "-1", "0", "99999999999999999999"])
def test_a_descriptor_that_is_no_listener_is_one_line_and_an_exit(tmp_path: Path, descriptor: str) -> None:
    async def main() -> None:
        registry = FakeDiscovery(heartbeat_s=1.0)
        async with await registry.start():
            process = await start_sidecar({**sidecar_environ(tmp_path, registry), "LB_ACCEPT_FD": descriptor})
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"

    run_test(main())


@pytest.mark.parametrize("console", ["nowhere", "127.0.0.1:99999", "192.0.2.1:80", 5])
def test_a_console_that_cannot_be_used_is_one_line_and_an_exit(tmp_path: Path, console: object) -> None:
    async def main() -> None:
        registry = FakeDiscovery(heartbeat_s=1.0)
        async with await registry.start():
            process = await start_sidecar(sidecar_environ(tmp_path, registry, console=console))
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and json.loads(errors)["event"] == "can't start"

    run_test(main())


def test_a_ban_holds_over_an_upgrade_and_one_call_ends_it(tmp_path: Path) -> None:
    async def main() -> None:
        first, second, registry = Endpoint(), Endpoint(), FakeDiscovery(heartbeat_s=1.0)
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        async with await first.start(), await second.start(), await registry.start():
            known = {"generation": 1, "reset": True, "instances": [first.entry("s-1"), second.entry("s-2")]}
            environ = {
                **sidecar_environ(tmp_path, registry, listen=f"127.0.0.1:{port}", known=known),
                "LB_ACCEPT_FD": str(listening.fileno()),
            }
            ids = count()

            async def ask(times: int) -> None:
                for n in islice(ids, times):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(http_request(rid=f"r{n}"))
                    assert (await read_message(reader)).body == b"ok"
                    writer.close()

            async def said(door: int, what: str, body: str) -> str:
                return (await http_call(door, "POST", f"/_endpoints/{what}", body)).start_line.split()[1]

            doors = [free_port(), free_port()]
            old = await start_sidecar({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[0]}"}, listening.fileno())
            await wait_until_ready(doors[0])
            await registry.watches.get()
            assert await said(doors[0], "detach", "s-9") == "404"
            assert await said(doors[0], "detach", "") == "400"
            for _ in range(2):
                assert await said(doors[0], "detach", "s-1") == "200"
            await ask(20)
            new = await start_sidecar({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[1]}"}, listening.fileno())
            _, watch = await registry.watches.get()
            push_list(watch, 2, True, first.entry("s-1"), second.entry("s-2"))
            await wait_until_ready(doors[1])
            old.send_signal(signal.SIGTERM)
            await old.wait()
            await ask(20)
            assert not first.received, "no process sends it anything"
            assert await said(doors[1], "attach", "s-1") == "200"
            while not first.received:
                await ask(1)
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run_test(main())


def changed(part: str, **changes: Any) -> dict[str, Any]:
    """The settings with one part of them changed; None takes a key away."""
    of = SETTINGS["classes"][0] if part == "classes" else SETTINGS[part]
    new = {key: value for key, value in {**of, **changes}.items() if value is not None}
    return {**SETTINGS, part: [new, *SETTINGS["classes"][1:]] if part == "classes" else new}


@dataclass
class Tuned:
    """A sidecar that reloads its file."""

    one: Sidecar
    path: Path
    discovery: Discovery
    reload: ConfigReloader

    def read(self, raw: dict[str, Any] | bytes) -> None:
        self.path.write_bytes(raw if isinstance(raw, bytes) else json.dumps(raw).encode())
        self.reload()


@contextlib.asynccontextmanager
async def tuned(tmp_path: Path, *endpoints: Endpoint) -> AsyncIterator[Tuned]:
    registry = FakeDiscovery(heartbeat_s=1.0)
    async with run_sidecar(*endpoints, discovery_server=registry) as one:
        environ = sidecar_environ(tmp_path, registry)
        discovery = one.driver.discovery
        assert discovery is not None
        read = read_config(environ)
        guard = ShrinkGuard(read.max_list_shrink, one.driver.apply_list, one.driver.loop.time)
        yield Tuned(
            one, Path(environ["LB_CONFIG"]), discovery, ConfigReloader(read, one.driver, discovery, guard)
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
    *({**GOOD_FILE, "settings": changed("classes", **{"deadline-us": bad})} for bad in BAD_NUMBERS),
    *({**GOOD_FILE, "settings": changed("ceilings", **{"max-attempts": bad})} for bad in BAD_NUMBERS),
    {**GOOD_FILE, "settings": changed("classes", repeat="whatever")},
    {**GOOD_FILE, "settings": changed("classes", name="put")},
    {**GOOD_FILE, "settings": {**SETTINGS, "classes": []}},
    {**GOOD_FILE, "settings": {key: SETTINGS[key] for key in SETTINGS if key != "invariants"}},
    {**GOOD_FILE, "settings": SETTINGS, "discovery": "nowhere"},
    {"discovery": "127.0.0.1:9", "settings": SETTINGS},
    {**GOOD_FILE},
]


@pytest.mark.parametrize("raw", BAD_FILES)
def test_a_bad_file_is_turned_down_whole_with_one_line(
    tmp_path: Path, raw: dict[str, Any] | bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async with tuned(tmp_path, Endpoint()) as now:
            before, address = now.one.driver.settings, now.discovery.address
            now.read(raw)
            assert now.one.driver.settings is before and now.discovery.address == address
            assert (await now.one.send(http_request())).body == b"ok"
        assert [record.getMessage() for record in caplog.records] == ["not reloaded"]

    run_test(main())


def test_classes_appear_vanish_and_change_and_calls_under_way_keep_theirs(tmp_path: Path) -> None:
    async def main() -> None:
        broken = asyncio.Event()

        async def reset(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if len(endpoint.received) == 1:
                await broken.wait()
                writer.transport.abort()
            else:
                writer.write(http_response())

        async with tuned(tmp_path, Endpoint(reset), Endpoint(serve_ok)) as now:
            pick = now.one.driver.balancer.endpoints
            first = pick[endpoint_number("s-0")]
            vars(now.one.driver.balancer.membership)["pick_trial"] = (
                lambda at, call: None if call.attempts else first
            )
            under_way = asyncio.create_task(now.one.send(http_request("page")))
            while not now.one.driver.calls or not first.inflight:
                await asyncio.sleep(0)
            vars(now.one.driver.balancer.membership)["pick_trial"] = lambda at, call: None
            page, put, _ = SETTINGS["classes"]
            stricter = {**page, "repeat": "fragile"}
            fresh = {**page, "name": "fresh"}
            now.read({**GOOD_FILE, "settings": {**SETTINGS, "classes": [fresh, stricter, put]}})
            assert (await now.one.send(http_request("pay"))).start_line.split()[1] == "404"
            assert (await now.one.send(http_request("page", rid="get"))).start_line.split()[1] == "405"
            post = http_request("page", rid="post").replace(b"GET ", b"POST ")
            assert (await now.one.send(post)).body == b"ok"
            again = http_request("page", rid="fresh").replace(b"page", b"fresh")
            assert (await now.one.send(again)).body == b"ok"
            broken.set()
            assert (await under_way).body == b"ok", "repeated, as its class then allowed"
            now.read({**GOOD_FILE, "settings": SETTINGS})
            assert (await now.one.send(http_request("pay", rid="back"))).body == b"ok"
            assert len(now.one.driver.settings.classes) == 5, "what came back has its old number"

    run_test(main())


def test_fewer_attempts_hold_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(http_response(500))

        ends = [Endpoint(fail) for _ in range(4)]
        async with tuned(tmp_path, *ends) as now:
            now.read({**GOOD_FILE, "settings": changed("ceilings", **{"max-attempts": 1})})
            await now.one.send(http_request())
            assert sum(len(one.received) for one in ends) == 1

    run_test(main())


def test_a_good_file_moves_discovery_with_its_settings(tmp_path: Path) -> None:
    async def main() -> None:
        async with tuned(tmp_path, Endpoint()) as now:
            now.read({**GOOD_FILE, "settings": {**SETTINGS, "invariants": {"drain-grace-us": 7}}})
            assert (
                now.discovery.address == "127.0.0.1:9" and now.one.driver.active_settings.drain_grace_us == 7
            )
            now.read(b"{")
            assert now.discovery.address == "127.0.0.1:9", "the last good file stays in force"

    run_test(main())
