"""A small local fleet: the list service, three registered stand-in endpoints and a sidecar."""

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
    """The processes of a fleet, started from the configuration at `path`.

    The environment variables `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONSOLE` override
    the configuration, as they do for a sidecar.
    """

    def __init__(self, path: str, folder: Path) -> None:
        self.environ = {**os.environ, "LB_CONFIG": path}
        self.config = read_config(self.environ)
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []

    def _start_module(self, *arguments: str) -> None:
        self.processes.append(subprocess.Popen([sys.executable, "-m", *arguments], env=self.environ))

    async def _wait_for_response(self, url: str, expected: str, **headers: str) -> None:
        """Wait until a GET returns 200 with `expected` in the body.

        Raises StateError if a process of the fleet exits before that.
        """
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with aiohttp.request("GET", url, headers=headers) as response:
                    if response.status == 200 and expected in await response.text():
                        return
            self.check_processes()
            await asyncio.sleep(POLL_INTERVAL_S)

    def check_processes(self) -> None:
        """Raise StateError if a process has exited."""
        for process in self.processes:
            if process.poll() is not None:
                command = (
                    " ".join(map(str, process.args[2:])) if isinstance(process.args, list) else "a process"
                )
                raise StateError(
                    f"process exited early: {command}", "see its last log line; its port may be in use"
                )

    async def start(self) -> str:
        """Start each process once the one before is ready; return a curl command that gets a response."""
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
        header_options = " ".join(f"-H '{name}: {value}'" for name, value in headers.items())
        return f"curl {header_options} -H 'X-Request-Id: 1' {url}"

    async def watch_processes(self) -> None:
        """Run until cancelled; raises StateError once a process has exited."""
        while True:
            self.check_processes()
            await asyncio.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Terminate the processes in reverse order of their start; kill those that do not exit in time."""
        for process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(TERMINATE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def run(path: str) -> None:
    """Run a fleet until SIGINT or SIGTERM; raises StateError if one of its processes exits first."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    with TemporaryDirectory(prefix="woadyard-fleet-") as folder:
        fleet = Fleet(path, Path(folder))
        try:
            print("ready, try:", await fleet.start(), flush=True)
            await fleet.watch_processes()
        except asyncio.CancelledError:
            print("ended", flush=True)
        finally:
            fleet.stop()
