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

ENDPOINTS = ("small", "large", "slow")
LOOK_S, GRACE_S = 0.1, 5.0


class Fleet:
    """Processes of one group, by the configuration at `path`; the environment's `LB_LISTEN`,
    `LB_DISCOVERY` and `LB_CONSOLE` override it as they do for a sidecar."""

    def __init__(self, path: str, folder: Path) -> None:
        self.environ = {**os.environ, "LB_CONFIG": path}
        self.config = read_config(self.environ)
        self.folder = folder
        self.running: list[subprocess.Popen[bytes]] = []

    def _start(self, *words: str) -> None:
        self.running.append(subprocess.Popen([sys.executable, "-m", *words], env=self.environ))

    async def _until(self, url: str, found: str, **headers: str) -> None:
        """Returns once a GET is answered 200 with `found` in it; StateError where a process ended."""
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with aiohttp.request("GET", url, headers=headers) as back:
                    if back.status == 200 and found in await back.text():
                        return
            self.check()
            await asyncio.sleep(LOOK_S)

    def check(self) -> None:
        for one in self.running:
            if one.poll() is not None:
                command = " ".join(map(str, one.args[2:])) if isinstance(one.args, list) else "a process"
                raise StateError(f"ended early: {command}", "see its last log line; its port may be taken")

    async def start(self) -> str:
        """Each part once the one before is there; returns a command that gets an answer."""
        service = self.config.discovery
        self._start("woadyard.registry", "--listen", service, "--data", str(self.folder))
        await self._until(f"http://{service}/registry/instances", "generation")
        for n, kind in enumerate(ENDPOINTS):
            options = ("--name", f"s-{n}", "--kind", kind, "--seed", str(n), "--discovery", service)
            self._start("woadyard.standins", "endpoint", *options)
        for n in range(len(ENDPOINTS)):
            await self._until(f"http://{service}/registry/instances", f'"s-{n}"')
        self._start("woadyard")
        host, port = self.config.listen
        cls = self.config.raw["settings"]["classes"][0]["name"]
        url, headers = f"http://{host}:{port}/{cls}", {"X-Class": cls, "X-Deadline-Ms": "2000"}
        await self._until(url, "served", **headers, **{"X-Request-Id": "first"})
        told = " ".join(f"-H '{name}: {value}'" for name, value in headers.items())
        return f"curl {told} -H 'X-Request-Id: 1' {url}"

    async def watch(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(LOOK_S)

    def end(self) -> None:
        """The sidecar first, the list service last."""
        for one in reversed(self.running):
            if one.poll() is None:
                one.terminate()
        for one in self.running:
            try:
                one.wait(GRACE_S)
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
            await fleet.watch()
        except asyncio.CancelledError:
            print("ended", flush=True)
        finally:
            fleet.end()
