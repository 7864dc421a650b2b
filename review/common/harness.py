"""Runs one case: starts the project's programs by the deploy file, records events, ends all it started."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common.http import Response, call

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
# As the deployment in `huurtoets-prod.toml`: classes, ceilings and invariants, with one zone.
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "quick-check", "aim-us": 800_000, "deadline-us": 2_000_000, "repeat": "fragile"},
        {
            "name": "full-report", "aim-us": 2_500_000, "deadline-us": 6_000_000, "repeat": "dedup",
            "dedup-scope": "cell", "repeat-window-us": 10_000_000,
        },
    ],
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 4, "max-streams": 1,
        "conn-idle-us": 60_000_000, "connect-timeout-us": 250_000, "retry-after": True,
    },
    "invariants": {
        "answer-slack-us": 20_000, "ask-within-us": 10_000_000, "cold-share": 0.32, "cold-us": 8_800_000,
        "drain-grace-us": 250_000, "overload-for-us": 1_500_000, "tip-multiple": 3.0,
    },
    "load-report": {"fields": [], "how": "silent"},
    "zones": ["ams"], "kinds": ["intake-std", "intake-fast"], "discovery": "ask", "stage": 0,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not be run as planned; it says nothing about the rule."""


def free_port() -> int:
    """Return a free port that the system gives to nobody else for a minute: it has a closed connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)), listener.accept()[0]:
            return port


def end_with_parent() -> None:
    """Have the system end this process when the one that started it ends, however it does."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class Program:
    """One process of the project, started by a command of the deploy file."""

    def __init__(self, name: str, command: str, environ: dict[str, str], folder: Path) -> None:
        self.name, self.command, self.environ, self.folder = name, command, environ, folder
        self.port = self.console = 0
        self.start()

    def start(self) -> None:
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], cwd=ROOT, env=self.environ,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent,
            )  # fmt: skip

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)


class Case:
    """The processes, folders and record of one run of a case."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_s = time.monotonic()
        self.scratch = Path(tempfile.mkdtemp(prefix="woadyard-review-"))
        self.record_file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - until `end`
        self.commands = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.programs: list[Program] = []
        self.servers: list[Any] = []

    def record(self, event: str, **fields: Any) -> None:
        """Write one line to the record: the time since the start, the event and its fields."""
        values = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.record_file.write(f"{time.monotonic() - self.started_s:8.3f} {event} {values}\n")

    def _start(self, name: str, command: str, **variables: str) -> Program:
        folder = self.scratch / name
        folder.mkdir(exist_ok=True)
        kept = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        program = Program(name, command, {**kept, "TMPDIR": str(folder), **variables}, self.scratch)
        self.programs.append(program)
        self.record("started", name=name, pid=program.process.pid)
        return program

    async def list_service(self, name: str, *options: str, port: int = 0) -> Program:
        """Start a list service with these options after those of the deploy file; wait until it answers."""
        port = port or free_port()
        data = self.scratch / name / "data"
        listen = f"--listen 127.0.0.1:{port} --data {data}"
        program = self._start(name, " ".join((self.commands["registry"], listen, *options)))
        program.port = port
        await self.until(lambda: self.answers(port, "/registry/term"), f"{name} answers")
        return program

    async def sidecar(self, name: str, discovery: str, settings: Any = None, **sections: Any) -> Program:
        """Start a sidecar and wait until it is ready."""
        port, console = free_port(), free_port()
        raw = {
            "name": name, "listen": f"127.0.0.1:{port}", "console": f"127.0.0.1:{console}",
            "discovery": discovery, "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings or SETTINGS, **sections,
        }  # fmt: skip
        path = self.scratch / f"{name}.json"
        path.write_text(json.dumps(raw))
        program = self._start(name, self.commands["run"], LB_CONFIG=str(path), LB_NAME=name)
        program.port, program.console = port, console
        await self.until(lambda: self.answers(console, "/_ready"), f"{name} is ready")
        return program

    def set_known(self, sidecar: Program, known: Any) -> None:
        """Write the list that the sidecar last held and a new seed into its file, as for a restart."""
        path = self.scratch / f"{sidecar.name}.json"
        raw = {**json.loads(path.read_text()), "known": known, "seed": secrets.token_hex(8)}
        path.write_text(json.dumps(raw))

    async def answers(self, port: int, path: str) -> bool:
        try:
            return (await call(port, "GET", path)).status == 200
        except OSError:
            return False

    async def register(self, service: Program, name: str, port: int, **fields: Any) -> None:
        """List an endpoint, with a lease that outlasts the case."""
        entry = {
            "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "ams", "machineType": "intake-std",
            "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0, **fields,
        }  # fmt: skip
        response = await call(service.port, "PUT", f"/registry/instances/{name}?ttl_ms=600000", entry)
        if response.status != 200:
            raise CannotRunError(f"{name} is not listed: {response.status} {response.body!r}")
        self.record("listed", endpoint=name, port=port)

    async def until(
        self, condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = 30.0, every_s: float = 0.1
    ) -> None:
        """Wait until the condition holds; CannotRunError if it takes too long."""
        limit = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > limit:
                raise CannotRunError(f"not in {limit_s:.0f} s: {what}")
            await asyncio.sleep(every_s)
        self.record("seen", what=what)

    async def wait_until_serving(self, sidecar: Program, service_class: str) -> None:
        """Send requests until one is served: the sidecar has a list then."""

        async def is_served() -> bool:
            return (await self.request(sidecar, service_class, f"warm-{time.monotonic_ns()}")).status == 200

        await self.until(is_served, f"{sidecar.name} serves")

    async def request(
        self, sidecar: Program, service_class: str, request_id: str, deadline_ms: int = 2000
    ) -> Response:
        """Send one request of a class without keys, on a connection of its own; 0 is no answer."""
        headers = {"X-Request-Id": request_id, "X-Class": service_class, "X-Deadline-Ms": str(deadline_ms)}
        try:
            return await call(sidecar.port, "POST", f"/{service_class}", b"", headers, timeout_s=30.0)
        except OSError as error:
            return Response(0, {}, repr(error).encode())

    def end(self) -> None:
        """End every process that was started, and remove the folders."""
        for program in self.programs:
            for number in (signal.SIGCONT, signal.SIGTERM):
                if program.process.poll() is None:
                    program.send_signal(number)
        limit = time.monotonic() + 5.0
        for program in self.programs:
            try:
                program.process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.kill()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print("kept", self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)


def run_case(main: Callable[[Case], Awaitable[list[str]]], folder: Path) -> None:
    """Run a case and exit: `main` returns what broke the rule, nothing if it held."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the processes as well

    async def bounded() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            return await main(case)

    try:
        broken = asyncio.run(bounded())
        status = BROKEN if broken else HELD
    except (Exception, KeyboardInterrupt) as error:
        broken, status = [f"{type(error).__name__}: {error}"], NOT_RUN
    for line in broken[:20]:
        case.record("verdict", line=line)
        print(line)
    word = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status]
    case.record("end", status=status, findings=len(broken), trouble=case.trouble)
    print(f"{word}, {len(broken)} findings, trouble {'on' if case.trouble else 'off'}")
    case.end()
    sys.exit(status)
