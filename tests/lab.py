"""Test harness that owns a test's processes, proxies, endpoints and folders, and stops them all at its end.

Processes run the real program. Their logs go to files, so that no line is lost and a line may be waited
for after it was written. Waits are for events and are bounded only by the test's own timeout.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from tests.sockets import (
    LOOPBACK_HOST,
    SETTINGS,
    Endpoint,
    Handler,
    Message,
    http_request,
    read_message,
    serve_ok,
)
from woadyard.standins import FaultProxy, StandIn, manner

POLL_INTERVAL_S = 0.02


def free_port() -> int:
    """Returns a port that the system assigns to nobody else for a minute: one of its connections is in
    TIME_WAIT, which still allows an explicit bind."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)), listener.accept()[0]:
            return port


class HttpResponse(NamedTuple):
    """Status, body and headers of an HTTP response."""

    status: int
    text: str
    headers: dict[str, str]

    @property
    def json(self) -> Any:
        return json.loads(self.text)


async def call(port: int, method: str, path: str, body: Any = None, **headers: str) -> HttpResponse:
    """Sends one request, retried until the port accepts it; a body other than text or bytes becomes JSON."""
    data = body if body is None or isinstance(body, str | bytes) else json.dumps(body)
    url = f"http://127.0.0.1:{port}{path}"
    while True:
        with contextlib.suppress(aiohttp.ClientConnectorError):
            async with aiohttp.request(
                method, url, data=data, headers=headers, allow_redirects=False
            ) as response:
                return HttpResponse(response.status, await response.text(), dict(response.headers))
        await asyncio.sleep(POLL_INTERVAL_S)


def _kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(
        1, signal.SIGKILL
    )  # PR_SET_PDEATHSIG: the process dies with the tests, also if they are killed


@dataclass
class Program:
    """A process, which may be restarted; `port` serves requests, `admin_port` is the admin listener's."""

    name: str
    folder: Path
    arguments: list[str]
    environ: dict[str, str]
    port: int = 0
    admin_port: int = 0
    inherited_fds: tuple[int, ...] = ()
    cwd: Path | None = None
    log_lines: list[dict[str, Any]] = field(default_factory=list)
    matched_lines: set[int] = field(default_factory=set)
    statuses: Counter[int] = field(default_factory=Counter)  # of the responses to `run_load`

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log_path = self.folder / f"{self.name}.log"
        self.log_path.unlink(missing_ok=True)  # left by an earlier process of this name

    def start(self) -> None:
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments], env=self.environ, stdin=subprocess.DEVNULL,
                stdout=log_file, stderr=log_file, cwd=self.cwd, pass_fds=self.inherited_fds,
                preexec_fn=_kill_with_parent,
            )  # fmt: skip

    def signal_process(self, number: int = signal.SIGTERM) -> None:
        self.process.send_signal(number)

    async def wait_exit(self) -> int:
        """Waits until the process exits; returns its exit code."""
        while (code := self.process.poll()) is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        return code

    async def wait_logged(self, event: str, **fields: Any) -> dict[str, Any]:
        """Returns the next log line with this event and fields; each line matches only once. Fails if the
        process exits without writing it."""
        while True:
            has_exited = self.process.poll() is not None
            self._read_log()
            for n, line in enumerate(self.log_lines):
                if n not in self.matched_lines and line["event"] == event and fields.items() <= line.items():
                    self.matched_lines.add(n)
                    return line
            assert not has_exited, f"{self.name} exited without logging {event!r}: {self.log_lines[-5:]}"
            await asyncio.sleep(POLL_INTERVAL_S)

    def events(self) -> list[str]:
        self._read_log()
        return [line["event"] for line in self.log_lines]

    def _read_log(self) -> None:
        text = self.log_path.read_text(errors="replace")
        new_lines = text[: text.rfind("\n") + 1].splitlines()[len(self.log_lines) :]
        for line in new_lines:
            try:
                self.log_lines.append(json.loads(line))
            except ValueError:  # a traceback, or a message of the interpreter
                self.log_lines.append({"event": line})

    async def wait_ready(self) -> None:
        while (await call(self.admin_port, "GET", "/_ready")).status != 200:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def metrics(self) -> str:
        return (await call(self.admin_port or self.port, "GET", "/_metrics")).text

    async def wait_metric(self, line: str) -> None:
        """Waits until the metrics contain the line."""
        while f"\n{line}\n" not in await self.metrics():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def request(self, raw: bytes | None = None, **parts: Any) -> Message:
        """Sends one request on a new connection; `parts` are arguments of tests.sockets.http_request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        with contextlib.closing(writer):
            writer.write(raw or http_request(**parts))
            return await read_message(reader)

    async def run_load(self, clients: int = 4, pause_s: float = 0.005, **parts: Any) -> None:
        """Sends sequential requests on one connection for each client, until cancelled."""
        await asyncio.gather(*(self._run_client(n, pause_s, parts) for n in range(clients)))

    async def _run_client(self, number: int, pause_s: float, parts: dict[str, Any]) -> None:
        sent = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            while True:
                writer.write(
                    http_request(rid=f"{self.name}-{number}-{id(writer)}-{(sent := sent + 1)}", **parts)
                )
                response = await read_message(reader)
                self.statuses[int(response.start_line.split()[1])] += 1
                await asyncio.sleep(pause_s)


def address(target: Any) -> str:
    """Returns HOST:PORT of a port number or an object with a port; joins several by commas, and returns
    text unchanged."""
    if isinstance(target, str):
        return target
    if isinstance(target, Sequence):
        return ",".join(address(each) for each in target)
    if isinstance(target, int):
        return f"127.0.0.1:{target}"
    return f"{getattr(target, 'host', '127.0.0.1')}:{target.port}"


def list_entries(endpoints: Sequence[Any]) -> list[dict[str, Any]]:
    """Returns the list entries of endpoints; entries that are given as dictionaries stay as they are."""
    return [
        endpoint if isinstance(endpoint, dict) else endpoint.entry(f"s-{n}")
        for n, endpoint in enumerate(endpoints)
    ]


class Lab:
    """Starts and owns the processes of one test; provided by the fixture `lab`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs: list[Program] = []
        self.proxies: list[FaultProxy] = []
        self.servers: list[asyncio.Server] = []
        self.free_port = free_port
        self.call = call

    def run(self, program: Program) -> Program:
        self.programs.append(program)
        program.start()
        return program

    async def service(self, name: str = "list", follow: Any = None, *more: str, port: int = 0) -> Program:
        """Starts a list service and waits until it listens; with `follow` it is a follower of that one."""
        port, folder = port or free_port(), self.folder / name
        arguments = [
            "woadyard.registry",
            "--data",
            str(folder / "data"),
            "--listen",
            f"127.0.0.1:{port}",
            *more,
        ]
        if follow is not None:
            arguments += ["--follow", address(follow)]
        program = self.run(Program(name, folder, arguments, dict(os.environ), port))
        await program.wait_logged("listening")
        return program

    async def sidecar(
        self,
        name: str = "n1",
        endpoints: Sequence[Any] = (),
        discovery: Any = 0,
        environ: dict[str, str] | None = None,
        wait_until_ready: bool = True,
        **config: Any,
    ) -> Program:
        """Starts a sidecar with an admin listener, and returns at once unless `wait_until_ready`. Its file
        lists `endpoints`, unless only a discovery service is named. `config` overrides keys of the file."""
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        known = {"generation": 1, "reset": True, "instances": list_entries(endpoints)}
        port, admin_port, path = free_port(), free_port(), folder / "config.json"
        raw = {
            "name": name, "listen": f"127.0.0.1:{port}", "console": f"127.0.0.1:{admin_port}",
            "discovery": address(discovery), "seed": "8c1f", "limits": {"sockets": 1024},
            "settings": SETTINGS, "known": known if endpoints or not discovery else None, **config,
        }  # fmt: skip
        path.write_text(json.dumps(raw))
        variables = {"LB_CONFIG": str(path), "LB_NAME": name, "TMPDIR": str(folder), **(environ or {})}
        unstarted = Program(name, folder, ["woadyard"], {**os.environ, **variables}, port, admin_port)
        program = self.run(unstarted)
        if wait_until_ready:
            await program.wait_ready()
        return program

    async def proxy(self, target: Any, **options: Any) -> FaultProxy:
        target_host, _, target_port = address(target).rpartition(":")
        proxy = FaultProxy(int(target_port), **{"target_host": target_host, **options})
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def endpoint(self, handler: Handler = serve_ok, host: str = LOOPBACK_HOST) -> Endpoint:
        """Starts an endpoint in the test's process that answers by `handler` and records the requests."""
        endpoint = Endpoint(handler)
        endpoint.host = host
        self.servers.append(await endpoint.start())
        return endpoint

    async def stand_in(
        self, name: str = "s-0", kind: str = "small", seed: int = 0, **changes: Any
    ) -> StandIn:
        """Starts a simulated endpoint in this process, with random service times; it counts requests."""
        endpoint = StandIn(name, manner(kind, **changes), seed)
        await endpoint.start()
        return endpoint

    async def listen(self, listener: Any) -> Any:
        """Starts a listener that the test itself defines."""
        self.servers.append(await listener.start())
        return listener

    async def register(self, service: Any, name: str, entry: Any, ttl_ms: int = 60_000) -> HttpResponse:
        """Registers an endpoint with a lease at the list service."""
        path = f"/registry/instances/{name}?ttl_ms={ttl_ms}"
        return await call(service.port, "PUT", path, entry if isinstance(entry, dict) else entry.entry(name))

    async def kill(self, *programs: Program, number: int = signal.SIGKILL) -> None:
        for program in programs:
            program.signal_process(number)
        for program in programs:
            await program.wait_exit()

    async def restart(self, program: Program, number: int = signal.SIGKILL) -> Program:
        """Stops the process by a signal and starts it again, with the same ports, folder and file."""
        await self.kill(program, number=number)
        program.start()
        if program.admin_port:
            await program.wait_ready()
        else:
            await program.wait_logged("listening")
        return program

    def close(self) -> None:
        for program in self.programs:
            program.process.kill()
        for program in self.programs:
            program.process.wait()
        with contextlib.suppress(RuntimeError):  # already closed together with the event loop
            for proxy in self.proxies:
                proxy.close()
            for server in self.servers:
                server.close()
