"""The world of a case: a record, endpoints, discovery, clients and the sidecar under test.

Stand-ins listen on loopback addresses, on ports that the system picks, and follow the pages
PROTOCOL, DEPLOY and TERMS; a case changes what its disruption names and nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = time.monotonic()


def now_s() -> float:
    """Seconds since the case began."""
    return time.monotonic() - START_S


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt` in the folder of the case, one line for each event."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - until the end

    def __call__(self, kind: str, /, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now_s():9.4f} {kind} {text}\n")


@dataclass
class Request:
    """One request as an endpoint received it; times in seconds since the case began."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float = 0.0


@contextlib.contextmanager
def closing(writer: asyncio.StreamWriter) -> Iterator[None]:
    """Close a connection at the end; one that the other side has broken is no error."""
    try:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            yield
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[float, str, dict[str, str]] | None:
    """Read a head; return the time of its first byte, its first line and its headers. None at the end."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_s = now_s()
    rest = await reader.readuntil(b"\r\n\r\n")
    lines = (first + rest).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first_byte_s, lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str], to_end: bool = False) -> bytes:
    """Read a body by its length or its chunks; without either, to the end where `to_end` is set."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def response(status: int, body: bytes, *lines: str) -> bytes:
    """Encode a response with a length."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


Answer = Callable[["Endpoint", Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Endpoint:
    """A server of the list. `answer` writes the answer to one request."""

    name: str
    record: Record
    answer: Answer
    port: int = 0
    requests: list[Request] = field(default_factory=list)
    entry: dict[str, Any] = field(default_factory=dict)

    async def start(self, cell: int = 1, zone: str = "ams") -> None:
        self.server = await asyncio.start_server(self._connected, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.entry = {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": zone,
            "machineType": "intake-std",
            "cell": cell,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with closing(writer):
            while (head := await read_head(reader)) is not None:
                first_byte_s, line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                request = Request(
                    headers.get("x-request-id", ""), method, target, headers, body, first_byte_s, now_s()
                )
                self.requests.append(request)
                self.record("run", at=self.name, id=request.id, target=target, first=f"{first_byte_s:.4f}")
                await self.answer(self, request, writer)


async def serve_after(seconds: float, endpoint: Endpoint, request: Request, writer: Any) -> None:
    """Answer 200 after a while, with a body that names the endpoint and the request."""
    await asyncio.sleep(seconds)
    writer.write(response(200, f"{endpoint.name} served {request.id}".encode()))
    await writer.drain()


class Discovery:
    """The discovery service: whole lists, watches with changes, an empty line every 2 s."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.generation = 41
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watchers: dict[asyncio.StreamWriter, None] = {}
        self.is_crowded = False  # calls wait, and fail after `crowded_wait_s` with 503
        self.crowded_wait_s = 1.0
        self.beat_task: asyncio.Task[None] | None = None
        self.calls_s: list[float] = []

    async def start(self, port: int = 0) -> None:
        """Listen; a second call does so at another address, as after a change of address."""
        self.server = await asyncio.start_server(self._connected, HOST, port)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        if self.beat_task is None:
            self.beat_task = asyncio.ensure_future(self._beat())

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, name: str, lifecycle: str) -> None:
        """Change an entry, and tell it on all watches."""
        entry = {**self.entries[name], "lifecycle": lifecycle}
        if lifecycle == "gone":
            del self.entries[name]
        else:
            self.entries[name] = entry
        self.generation += 1
        self.changes.append((self.generation, entry))
        self.record("list", generation=self.generation, id=name, lifecycle=lifecycle)
        told = {"generation": self.generation, "reset": False, "instances": [entry]}
        for writer in list(self.watchers):
            self._tell(writer, told)

    def _tell(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        self._write_line(writer, json.dumps(message).encode())
        self.record("told", generation=message["generation"], whole=message["reset"])

    def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def calls_since(self, time_s: float) -> int:
        """How many calls have come since then."""
        return sum(call_s >= time_s for call_s in self.calls_s)

    def end_watches(self) -> None:
        """Reset all open watches."""
        for writer in list(self.watchers):
            self.record("watch reset")
            writer.transport.abort()
        self.watchers.clear()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in list(self.watchers):
                self._write_line(writer, b"")

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with closing(writer):
            if (head := await read_head(reader)) is not None:
                target = head[1].split(" ")[1]
                self.calls_s.append(now_s())
                self.record("discovery call", target=target, crowded=self.is_crowded)
                if self.is_crowded:
                    await asyncio.sleep(self.crowded_wait_s)
                    writer.write(response(503, b"", "Connection: close"))
                    await writer.drain()
                elif "watch=1" in target:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self._tell(writer, self.whole())
                    self.watchers[writer] = None
                    try:
                        await reader.read()
                    finally:
                        self.watchers.pop(writer, None)
                else:
                    writer.write(response(200, json.dumps(self.whole()).encode(), "Connection: close"))
                    await writer.drain()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Sidecar:
    """The program under test, started by the deploy file's `run` from the root of the repository."""

    def __init__(self, record: Record, config: dict[str, Any], folder: Path, **environ: str) -> None:
        self.record, self.config, self.folder = record, config, folder
        self.config_path = folder / f"config-{config['name']}.json"
        self.log_path = folder / f"log-{config['name']}-{time.monotonic_ns()}.txt"
        self.port = int(config["listen"].rpartition(":")[2])
        self.environ = environ
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file."""
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config))
        os.replace(new_path, self.config_path)

    async def start(self, **options: Any) -> None:
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environ = {
            **os.environ,
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
            **self.environ,
        }
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environ, stdout=log, stderr=log, **options
            )
        self.record("sidecar started", pid=self.process.pid)

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait for a yes of `GET /health/ready`."""
        end_s = now_s() + timeout_s
        while now_s() < end_s and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[1] + " ":
                    self.record("sidecar ready")
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"the sidecar is not ready:\n{self.log_path.read_text()[-2000:]}")

    def signal(self, number: signal.Signals) -> None:
        self.record("signal", number=number.name, pid=self.process.pid)
        self.process.send_signal(number)

    def memory_kb(self) -> int:
        """The resident memory, as the system counts it now; 0 once the process has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    async def end(self) -> None:
        """Kill the process if it runs still, and copy the end of its log to the record."""
        if hasattr(self, "process"):
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()
            for line in self.log_path.read_text(errors="replace").splitlines()[-60:]:
                self.record("sidecar log", line=line)


def run_case(case: Callable[[Record, Path], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Run a case in a temporary folder and exit with its result."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    record("case", name=folder.name, trouble=TROUBLE)

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await case(record, Path(temporary))

    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(bounded())
        except Exception as error:  # whatever it is, the case could not run
            record("error", error=repr(error))
            print(f"could not run: {error!r}")
            result = NOT_RUN
    record("result", exit=result)
    record.file.close()
    sys.exit(result)
