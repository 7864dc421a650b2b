"""A small fleet on this machine: the list service, three stand-in endpoints with leases, a sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from woadyard.errors import StateError
from woadyard.net.config import read_config

ENDPOINT_KINDS = ("small", "large", "slow")
POLL_INTERVAL_S, TERMINATE_TIMEOUT_S = 0.1, 5.0


class Fleet:
    """Processes of one group, by the configuration at `path`; the environment's `LB_LISTEN`,
    `LB_DISCOVERY` and `LB_CONSOLE` override it as they do for a sidecar."""

    def __init__(self, path: str, folder: Path) -> None:
        self.environ = {**os.environ, "LB_CONFIG": path}
        self.config = read_config(self.environ)
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []

    def _start_module(self, *words: str) -> None:
        self.processes.append(subprocess.Popen([sys.executable, "-m", *words], env=self.environ))

    async def _wait_for_response(self, url: str, found: str, **headers: str) -> None:
        """Returns once a GET is answered 200 with `found` in it; StateError where a process ended."""
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with aiohttp.request("GET", url, headers=headers) as back:
                    if back.status == 200 and found in await back.text():
                        return
            self.check_processes()
            await asyncio.sleep(POLL_INTERVAL_S)

    def check_processes(self) -> None:
        for one in self.processes:
            if one.poll() is not None:
                command = " ".join(map(str, one.args[2:])) if isinstance(one.args, list) else "a process"
                raise StateError(f"ended early: {command}", "see its last log line; its port may be taken")

    async def start(self) -> str:
        """Each part once the one before is there; returns a command that gets an answer."""
        service = self.config.discovery
        self._start_module("woadyard.registry", "--listen", service, "--data", str(self.folder))
        await self._wait_for_response(f"http://{service}/registry/instances", "generation")
        for n, kind in enumerate(ENDPOINT_KINDS):
            options = ("--name", f"s-{n}", "--kind", kind, "--seed", str(n), "--discovery", service)
            self._start_module("woadyard.standins", "endpoint", *options)
        for n in range(len(ENDPOINT_KINDS)):
            await self._wait_for_response(f"http://{service}/registry/instances", f'"s-{n}"')
        self._start_module("woadyard")
        host, port = self.config.listen
        cls = self.config.raw["settings"]["classes"][0]["name"]
        url, headers = f"http://{host}:{port}/{cls}", {"X-Class": cls, "X-Deadline-Ms": "2000"}
        await self._wait_for_response(url, "served", **headers, **{"X-Request-Id": "first"})
        told = " ".join(f"-H '{name}: {value}'" for name, value in headers.items())
        return f"curl {told} -H 'X-Request-Id: 1' {url}"

    async def watch_processes(self) -> None:
        while True:
            self.check_processes()
            await asyncio.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """The sidecar first, the list service last."""
        for one in reversed(self.processes):
            if one.poll() is None:
                one.terminate()
        for one in self.processes:
            try:
                one.wait(TERMINATE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                one.kill()
                one.wait()


async def run(path: str) -> None:
    """Until SIGINT or SIGTERM, or until one of the processes ends."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    with TemporaryDirectory(prefix="woadyard-fleet-") as folder:
        fleet = Fleet(path, Path(folder))
        try:
            print("ready, try:", await fleet.start(), flush=True)
            await fleet.watch_processes()
        except asyncio.CancelledError:
            print("ended", flush=True)
        finally:
            fleet.stop()
