"""The real program as a process of its own, and what it is told."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from pathlib import Path
from typing import Any, Protocol

from tests.sockets import SETTINGS, Endpoint, FakeDiscovery, Message, Reader, Writer, read_message


class HasPort(Protocol):
    @property
    def port(self) -> int: ...


def sidecar_environ(
    tmp_path: Path, registry: HasPort, *endpoints: Endpoint, **changes: Any
) -> dict[str, str]:
    raw = {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{registry.port}", "seed": "8c1f",
        "limits": {"sockets": 1024}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [one.entry() for one in endpoints]},
        **changes,
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(tmp_path)}


Process = asyncio.subprocess.Process


async def start_sidecar(environ: dict[str, str], *inherited: int) -> Process:
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", env=environ, stdout=pipe, stderr=pipe, pass_fds=inherited
    )


def free_port() -> int:
    """A port that the system gives nobody else for a minute: a connection of it is
    still in TIME_WAIT, and who binds it by its number may."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        port: int = found.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)), found.accept()[0]:
            return port


async def connect_when_open(port: int) -> tuple[Reader, Writer]:
    """A connection there, as soon as somebody listens."""
    while True:
        with contextlib.suppress(ConnectionError):
            return await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.01)


async def http_call(port: int, method: str, path: str, body: str = "") -> Message:
    """One call at the operators' door, as soon as there is one."""
    reader, writer = await connect_when_open(port)
    writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    back = await read_message(reader)
    writer.close()
    return back


async def wait_until_ready(port: int) -> None:
    while not (await http_call(port, "GET", "/_ready")).start_line.startswith("HTTP/1.1 200"):
        await asyncio.sleep(0.01)


async def start_ready_sidecar(
    folder: Path, registry: FakeDiscovery, *endpoints: Endpoint
) -> tuple[Process, int, int]:
    """A sidecar process with its door, ready; and the ports of both."""
    port, door = free_port(), free_port()
    environ = {
        **sidecar_environ(folder, registry, *endpoints),
        "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}",
    }  # fmt: skip
    process = await start_sidecar(environ)
    await wait_until_ready(door)
    return process, port, door
