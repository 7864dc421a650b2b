"""The list service as a process: kills while clients watch, lease expiry, a full disk, invalid calls."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.process import Process, free_port
from tests.sockets import FakeDiscovery, push_list, read_message, run_test
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery

WATCHER_COUNT = 50
FULL_DEVICE = Path("/dev/full")
ENTRY = {"hostPort": "127.0.0.1:7070", "zone": "a", "machineType": "m2", "cell": 1, "lifecycle": "ready"}


async def start_registry(data: Path, port: int, *arguments: str) -> Process:
    """Start the list service and return its process once it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard.registry", "--data", str(data),
        "--listen", f"127.0.0.1:{port}", *arguments, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    while json.loads(await process.stderr.readline())["event"] != "listening":
        pass  # a follower may log other events first
    return process


async def call_registry(
    port: int, method: str, target: str, body: bytes = b"", as_text: bool = False, headers: str = ""
) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    response = await read_message(reader)
    writer.close()
    status = int(response.start_line.split()[1])
    return status, json.loads(response.body) if status == 200 and not as_text else response.body.decode()


async def register_endpoint(port: int, name: str, ttl_ms: int = 60_000) -> tuple[int, Any]:
    return await call_registry(
        port, "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms={ttl_ms}", json.dumps(ENTRY).encode()
    )


class Watcher:
    """A sidecar's discovery client that records the lists it received, in order."""

    def __init__(self, port: int, seed: int, expected_version: int) -> None:
        self.received_lists: list[tuple[int, bool, int]] = []  # version, is full, number of entries
        self.names: set[str] = set()
        self.expected_version, self.version_received = expected_version, asyncio.Event()
        loop = asyncio.get_running_loop()
        self.discovery = Discovery(
            loop, f"127.0.0.1:{port}", INSTANCES_PATH, True, self.receive_list, random.Random(seed)
        )
        self.discovery.set_watch(True)

    def receive_list(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        self.received_lists.append((version, is_full, len(entries)))
        if is_full:
            self.names = {entry["instanceId"] for entry in entries}
        else:
            self.names |= {entry["instanceId"] for entry in entries if entry["lifecycle"] != "gone"}
        if version >= self.expected_version:
            self.version_received.set()


def test_restart_after_kill_keeps_version_and_watchers_keep_their_lists(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await start_registry(tmp_path, port)
        for n in range(3):
            assert (await register_endpoint(port, f"s-{n}"))[0] == 200
        watchers = [Watcher(port, seed, 3) for seed in range(WATCHER_COUNT)]
        await asyncio.gather(*(watcher.version_received.wait() for watcher in watchers))
        process.send_signal(signal.SIGKILL)
        await process.wait()
        process = await start_registry(tmp_path, port)
        assert (await call_registry(port, "GET", INSTANCES_PATH))[1]["generation"] == 3, (
            "the version survives SIGKILL"
        )
        assert (await register_endpoint(port, "s-3"))[0] == 200
        for watcher in watchers:
            watcher.expected_version, watcher.version_received = 4, asyncio.Event()
            if watcher.received_lists[-1][0] >= 4:
                watcher.version_received.set()
        await asyncio.gather(*(watcher.version_received.wait() for watcher in watchers))
        for watcher in watchers:
            watcher.discovery.close()
            versions = [version for version, _, _ in watcher.received_lists]
            assert versions == sorted(versions), "no watcher received an older version"
            assert all(count > 0 for _, is_full, count in watcher.received_lists if is_full), (
                "no list was empty"
            )
            assert watcher.names == {"s-0", "s-1", "s-2", "s-3"}
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


def test_expired_lease_removes_endpoint_and_renewed_lease_keeps_it(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await start_registry(tmp_path, port)
        await register_endpoint(port, "kept")
        await register_endpoint(port, "left", ttl_ms=300)
        _, listing = await call_registry(
            port, "GET", f"{INSTANCES_PATH}?index=2&wait=10"
        )  # returns when "left" expires
        assert listing["generation"] == 3
        assert [entry["instanceId"] for entry in listing["instances"]] == ["kept"]
        assert (await call_registry(port, "POST", f"{INSTANCES_PATH}/kept/renew"))[0] == 200
        assert (await call_registry(port, "POST", f"{INSTANCES_PATH}/left/renew"))[0] == 400
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


@pytest.mark.skipif(not FULL_DEVICE.exists(), reason="no /dev/full here")
def test_full_disk_rejects_writes_and_reads_continue(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await start_registry(tmp_path, port)
        await register_endpoint(port, "s-0")
        log = tmp_path / "log"
        log.unlink()
        log.symlink_to(FULL_DEVICE)  # writes fail with ENOSPC, as on a full disk
        status, text = await register_endpoint(port, "s-1")
        assert status == 507 and json.loads(text)["error"].startswith("can't write")
        status, listing = await call_registry(port, "GET", INSTANCES_PATH)
        assert status == 200 and [entry["instanceId"] for entry in listing["instances"]] == ["s-0"]
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


def test_lagging_replica_does_not_move_client_to_older_list(tmp_path: Path) -> None:
    """A reconnect to the same address may reach a lagging replica behind a load balancer.

    The client must ignore its older full list and accept the next newer change."""

    async def main() -> None:
        fake_discovery = FakeDiscovery()
        fake_discovery.host = "127.0.0.1"
        async with await fake_discovery.start():
            watcher = Watcher(fake_discovery.port, 1, 0)
            _, feed = await fake_discovery.watches.get()
            push_list(feed, 5, True, {**ENTRY, "instanceId": "s-0"}, {**ENTRY, "instanceId": "s-1"})
            await watcher.version_received.wait()
            feed.close()  # the client reconnects, now to a lagging replica
            start_line, feed = await fake_discovery.watches.get()
            assert "from=5 " in start_line, "the watch resumes from the last received version"
            push_list(feed, 3, True, {**ENTRY, "instanceId": "s-0"})
            push_list(feed, 6, False, {**ENTRY, "instanceId": "s-2"})
            watcher.expected_version, watcher.version_received = 6, asyncio.Event()
            await watcher.version_received.wait()
            watcher.discovery.close()
        assert [version for version, _, _ in watcher.received_lists] == [5, 6]
        assert watcher.names == {"s-0", "s-1", "s-2"}

    run_test(main())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x16\x03\x01\x00\r\n\r\n", 400),
        (b"PUT /registry/instances/a?ttl_ms=5 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n[1", 400),
        (b"PUT /registry/instances/a?ttl_ms=x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 400),
        (b"PUT /registry/instances/a?ttl_ms=5 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab", 408),
        (b"PUT /registry/instances/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n", 413),
        (b"POST /registry/shares/n?ttl_ms=5 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", 400),
        (b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    ],
)
def test_invalid_call_gets_error_with_remedy_and_no_traceback(
    tmp_path: Path, sent: bytes, status: int
) -> None:
    async def main() -> None:
        port = free_port()
        process = await start_registry(tmp_path, port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent + b"x" * (2_000_000 if status == 413 else 0))
        response = await read_message(reader)
        assert int(response.start_line.split()[1]) == status and json.loads(response.body)["remedy"]
        assert (await register_endpoint(port, "s-0"))[0] == 200, "the service still works"
        writer.close()
        process.send_signal(signal.SIGTERM)
        _, lines = await process.communicate()
        assert b"Traceback" not in lines and lines.count(b"\n") <= 2, "one line for the call, one at the stop"

    run_test(main())
