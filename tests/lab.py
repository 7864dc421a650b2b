"""One owner of a test's processes, proxies, endpoints and folders: it ends them all.

Processes are the real program. Their logs go to files, so that no line is lost and none is
waited for at the wrong moment; waits are on events and have the test's whole time.
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

from tests.sockets import SETTINGS, Endpoint, Handler, Message, http_request, read_message, serve_ok
from woadyard.standins import FaultProxy, StandIn, endpoint_profile

POLL_INTERVAL_S = 0.02


def free_port() -> int:
    """A port that the system gives nobody else for a minute: a connection of it is
    still in TIME_WAIT, and who binds it by its number may."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        port: int = found.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)), found.accept()[0]:
            return port


class HttpResponse(NamedTuple):
    status: int
    text: str
    headers: dict[str, str]

    @property
    def json(self) -> Any:
        return json.loads(self.text)


async def call(port: int, method: str, path: str, body: Any = None, **headers: str) -> HttpResponse:
    """One call, as soon as somebody listens; a body that is no text or bytes is sent as JSON."""
    data = body if body is None or isinstance(body, str | bytes) else json.dumps(body)
    url = f"http://127.0.0.1:{port}{path}"
    while True:
        with contextlib.suppress(aiohttp.ClientConnectorError):
            async with aiohttp.request(
                method, url, data=data, headers=headers, allow_redirects=False
            ) as back:
                return HttpResponse(back.status, await back.text(), dict(back.headers))
        await asyncio.sleep(POLL_INTERVAL_S)


def _kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG: also where the tests are killed


@dataclass
class Program:
    """One process, which may be started again; `port` serves, `door` is the operators'."""

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
    statuses: Counter[int] = field(default_factory=Counter)  # that the load got

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log_path = self.folder / f"{self.name}.log"
        self.log_path.unlink(missing_ok=True)  # of another process of that name

    def start(self) -> None:
        with self.log_path.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments], env=self.environ, stdin=subprocess.DEVNULL,
                stdout=errors, stderr=errors, cwd=self.cwd, pass_fds=self.inherited_fds,
                preexec_fn=_kill_with_parent,
            )  # fmt: skip

    def send_signal(self, number: int = signal.SIGTERM) -> None:
        self.process.send_signal(number)

    async def wait_exit(self) -> int:
        """Its exit code, once it is over."""
        while (code := self.process.poll()) is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        return code

    async def wait_logged(self, event: str, **fields: Any) -> dict[str, Any]:
        """The next line of its log with that event and these fields that was not asked for before."""
        while True:
            over = self.process.poll() is not None
            self._read_log()
            for n, line in enumerate(self.log_lines):
                if n not in self.matched_lines and line["event"] == event and fields.items() <= line.items():
                    self.matched_lines.add(n)
                    return line
            assert not over, f"{self.name} ended without saying {event!r}: {self.log_lines[-5:]}"
            await asyncio.sleep(POLL_INTERVAL_S)

    def events(self) -> list[str]:
        self._read_log()
        return [line["event"] for line in self.log_lines]

    def _read_log(self) -> None:
        text = self.log_path.read_text(errors="replace")
        whole = text[: text.rfind("\n") + 1].splitlines()[len(self.log_lines) :]
        for line in whole:
            try:
                self.log_lines.append(json.loads(line))
            except ValueError:  # a traceback, or Python's own words
                self.log_lines.append({"event": line})

    async def wait_ready(self) -> None:
        while (await call(self.admin_port, "GET", "/_ready")).status != 200:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def metrics(self) -> str:
        return (await call(self.admin_port or self.port, "GET", "/_metrics")).text

    async def wait_metric(self, line: str) -> None:
        """Returns once its metrics hold the line."""
        while f"\n{line}\n" not in await self.metrics():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def request(self, raw: bytes | None = None, **parts: Any) -> Message:
        """One request on a connection of its own; `parts` are those of tests.sockets.request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        with contextlib.closing(writer):
            writer.write(raw or http_request(**parts))
            return await read_message(reader)

    async def run_load(self, callers: int = 4, pause_s: float = 0.005, **parts: Any) -> None:
        """Requests one after another on each of the callers' connections, until cancelled."""
        await asyncio.gather(*(self._run_client(n, pause_s, parts) for n in range(callers)))

    async def _run_client(self, number: int, pause_s: float, parts: dict[str, Any]) -> None:
        sent = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            while True:
                writer.write(
                    http_request(rid=f"{self.name}-{number}-{id(writer)}-{(sent := sent + 1)}", **parts)
                )
                back = await read_message(reader)
                self.statuses[int(back.start_line.split()[1])] += 1
                await asyncio.sleep(pause_s)


def address(of: Any) -> str:
    """Of a port, or of what has one; several are joined by commas; text is an address already."""
    if isinstance(of, str):
        return of
    if isinstance(of, Sequence):
        return ",".join(address(one) for one in of)
    return f"127.0.0.1:{of if isinstance(of, int) else of.port}"


def list_entries(found: Sequence[Any]) -> list[dict[str, Any]]:
    """List entries of endpoints, or entries as they are."""
    return [one if isinstance(one, dict) else one.entry(f"s-{n}") for n, one in enumerate(found)]


class Lab:
    """Use it as the fixture `lab`."""

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
        """The list service, once it listens; `follow` makes it a replica of that one."""
        port, folder = port or free_port(), self.folder / name
        words = ["woadyard.registry", "--data", str(folder / "data"), "--listen", f"127.0.0.1:{port}", *more]
        if follow is not None:
            words += ["--follow", address(follow)]
        program = self.run(Program(name, folder, words, dict(os.environ), port))
        await program.wait_logged("listening")
        return program

    async def sidecar(
        self,
        name: str = "n1",
        endpoints: Sequence[Any] = (),
        discovery: Any = 0,
        environ: dict[str, str] | None = None,
        wait: bool = True,
        **config: Any,
    ) -> Program:
        """A sidecar with its door, ready (`wait`). It knows `endpoints` from its file, unless a list
        service is named and they are not. `config` changes keys of its file."""
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        known = {"generation": 1, "reset": True, "instances": list_entries(endpoints)}
        port, door, path = free_port(), free_port(), folder / "config.json"
        raw = {
            "name": name, "listen": f"127.0.0.1:{port}", "console": f"127.0.0.1:{door}",
            "discovery": address(discovery), "seed": "8c1f", "limits": {"sockets": 1024},
            "settings": SETTINGS, "known": known if endpoints or not discovery else None, **config,
        }  # fmt: skip
        path.write_text(json.dumps(raw))
        told = {"LB_CONFIG": str(path), "LB_NAME": name, "TMPDIR": str(folder), **(environ or {})}
        made = Program(name, folder, ["woadyard"], {**os.environ, **told}, port, door)
        program = self.run(made)
        if wait:
            await program.wait_ready()
        return program

    async def proxy(self, target: Any, **parts: Any) -> FaultProxy:
        proxy = FaultProxy(target if isinstance(target, int) else target.port, **parts)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def endpoint(self, handler: Handler = serve_ok, host: str = "127.0.0.1") -> Endpoint:
        """An endpoint inside the test that answers by `handler` and keeps what it was sent."""
        endpoint = Endpoint(handler)
        endpoint.host = host
        self.servers.append(await endpoint.start())
        return endpoint

    async def stand_in(
        self, name: str = "s-0", kind: str = "small", seed: int = 0, **changes: Any
    ) -> StandIn:
        """An endpoint to the protocol inside the test, with drawn times; it counts what it is sent."""
        one = StandIn(name, endpoint_profile(kind, **changes), seed)
        await one.start()
        return one

    async def listen(self, listener: Any) -> Any:
        """Starts a listener of the test's own kind."""
        self.servers.append(await listener.start())
        return listener

    async def register(self, service: Any, name: str, entry: Any, ttl_ms: int = 60_000) -> HttpResponse:
        """A lease at the list service."""
        path = f"/registry/instances/{name}?ttl_ms={ttl_ms}"
        return await call(service.port, "PUT", path, entry if isinstance(entry, dict) else entry.entry(name))

    async def kill(self, *programs: Program, number: int = signal.SIGKILL) -> None:
        for one in programs:
            one.send_signal(number)
        for one in programs:
            await one.wait_exit()

    async def restart(self, program: Program, number: int = signal.SIGKILL) -> Program:
        """Ended by a signal and started anew, with its ports, folder and file."""
        await self.kill(program, number=number)
        program.start()
        if program.admin_port:
            await program.wait_ready()
        else:
            await program.wait_logged("listening")
        return program

    def close(self) -> None:
        for one in self.programs:
            one.process.kill()
        for one in self.programs:
            one.process.wait()
        with contextlib.suppress(RuntimeError):  # a loop that ended has closed them
            for proxy in self.proxies:
                proxy.close()
            for server in self.servers:
                server.close()
