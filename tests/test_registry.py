"""The list service as a process: killed under watchers, its leases, a full disk."""

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

WATCHERS = 50
FULL = Path("/dev/full")
ENTRY = {"hostPort": "127.0.0.1:7070", "zone": "a", "machineType": "m2", "cell": 1, "lifecycle": "ready"}


async def service(data: Path, port: int, *more: str) -> Process:
    """The service, once it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard.registry", "--data", str(data),
        "--listen", f"127.0.0.1:{port}", *more, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    while json.loads(await process.stderr.readline())["event"] != "listening":
        pass  # a replica may follow before it listens
    return process


async def ask(
    port: int, method: str, target: str, body: bytes = b"", text: bool = False, headers: str = ""
) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    back = await read_message(reader)
    writer.close()
    status = int(back.start_line.split()[1])
    return status, json.loads(back.body) if status == 200 and not text else back.body.decode()


async def register(port: int, name: str, ttl_ms: int = 60_000) -> tuple[int, Any]:
    return await ask(port, "PUT", f"{INSTANCES_PATH}/{name}?ttl_ms={ttl_ms}", json.dumps(ENTRY).encode())


class Watcher:
    """What one sidecar's discovery was told, in order."""

    def __init__(self, port: int, seed: int, wanted: int) -> None:
        self.told: list[tuple[int, bool, int]] = []  # version, whole, entries
        self.names: set[str] = set()
        self.wanted, self.reached = wanted, asyncio.Event()
        loop = asyncio.get_running_loop()
        self.discovery = Discovery(
            loop, f"127.0.0.1:{port}", INSTANCES_PATH, True, self.listen, random.Random(seed)
        )
        self.discovery.set_watch(True)

    def listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.told.append((version, whole, len(entries)))
        if whole:
            self.names = {one["instanceId"] for one in entries}
        else:
            self.names |= {one["instanceId"] for one in entries if one["lifecycle"] != "gone"}
        if version >= self.wanted:
            self.reached.set()


def test_killed_under_watchers_it_comes_back_at_its_version_and_none_loses_its_list(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await service(tmp_path, port)
        for n in range(3):
            assert (await register(port, f"s-{n}"))[0] == 200
        watchers = [Watcher(port, seed, 3) for seed in range(WATCHERS)]
        await asyncio.gather(*(one.reached.wait() for one in watchers))
        process.send_signal(signal.SIGKILL)
        await process.wait()
        process = await service(tmp_path, port)
        assert (await ask(port, "GET", INSTANCES_PATH))[1]["generation"] == 3, "the version outlives kill -9"
        assert (await register(port, "s-3"))[0] == 200
        for one in watchers:
            one.wanted, one.reached = 4, asyncio.Event()
            if one.told[-1][0] >= 4:
                one.reached.set()
        await asyncio.gather(*(one.reached.wait() for one in watchers))
        for one in watchers:
            one.discovery.close()
            versions = [version for version, _, _ in one.told]
            assert versions == sorted(versions), "no watcher went back to an older version"
            assert all(count > 0 for _, whole, count in one.told if whole), "no list came empty"
            assert one.names == {"s-0", "s-1", "s-2", "s-3"}
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


def test_a_lease_not_renewed_leaves_the_list_and_a_renewed_one_stays(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await service(tmp_path, port)
        await register(port, "kept")
        await register(port, "left", ttl_ms=300)
        _, listing = await ask(
            port, "GET", f"{INSTANCES_PATH}?index=2&wait=10"
        )  # returns when "left" expires
        assert listing["generation"] == 3
        assert [one["instanceId"] for one in listing["instances"]] == ["kept"]
        assert (await ask(port, "POST", f"{INSTANCES_PATH}/kept/renew"))[0] == 200
        assert (await ask(port, "POST", f"{INSTANCES_PATH}/left/renew"))[0] == 400
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


@pytest.mark.skipif(not FULL.exists(), reason="no /dev/full here")
def test_a_disk_that_refuses_writes_refuses_them_and_reads_go_on(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        process = await service(tmp_path, port)
        await register(port, "s-0")
        log = tmp_path / "log"
        log.unlink()
        log.symlink_to(FULL)  # a disk with no room left: writes fail with ENOSPC
        status, text = await register(port, "s-1")
        assert status == 507 and json.loads(text)["error"].startswith("can't write")
        status, listing = await ask(port, "GET", INSTANCES_PATH)
        assert status == 200 and [one["instanceId"] for one in listing["instances"]] == ["s-0"]
        process.send_signal(signal.SIGTERM)
        await process.wait()

    run_test(main())


def test_a_replica_that_lags_moves_no_client_back(tmp_path: Path) -> None:
    """The same address, as a replica behind a balancer that answers from one
    that lags: its older whole list is not taken, the next newer one is."""

    async def main() -> None:
        stand_in = FakeDiscovery()
        async with await stand_in.start():
            watcher = Watcher(stand_in.port, 1, 0)
            _, feed = await stand_in.watches.get()
            push_list(feed, 5, True, {**ENTRY, "instanceId": "s-0"}, {**ENTRY, "instanceId": "s-1"})
            await watcher.reached.wait()
            feed.close()  # cut off; the watch comes back to a replica that lags
            start_line, feed = await stand_in.watches.get()
            assert "from=5 " in start_line, "the watch resumes from the version held"
            push_list(feed, 3, True, {**ENTRY, "instanceId": "s-0"})
            push_list(feed, 6, False, {**ENTRY, "instanceId": "s-2"})
            watcher.wanted, watcher.reached = 6, asyncio.Event()
            await watcher.reached.wait()
            watcher.discovery.close()
        assert [version for version, _, _ in watcher.told] == [5, 6]
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
def test_a_bad_call_is_refused_with_a_remedy_and_no_traceback(
    tmp_path: Path, sent: bytes, status: int
) -> None:
    async def main() -> None:
        port = free_port()
        process = await service(tmp_path, port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent + b"x" * (2_000_000 if status == 413 else 0))
        back = await read_message(reader)
        assert int(back.start_line.split()[1]) == status and json.loads(back.body)["remedy"]
        assert (await register(port, "s-0"))[0] == 200, "and it serves on"
        writer.close()
        process.send_signal(signal.SIGTERM)
        _, lines = await process.communicate()
        assert b"Traceback" not in lines and lines.count(b"\n") <= 2, "one line for it, one at the end"

    run_test(main())
