"""Starts sidecars as processes of their own, and calls them."""

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
    """A server, by its address."""

    @property
    def host(self) -> str: ...
    @property
    def port(self) -> int: ...


def sidecar_environ(
    tmp_path: Path, registry: HasPort, *endpoints: Endpoint, **changes: Any
) -> dict[str, str]:
    """Write a configuration file with these changes; return the environment that names it."""
    raw = {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f",
        "discovery": f"{registry.host}:{registry.port}",
        "limits": {"sockets": 1024}, "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [endpoint.entry() for endpoint in endpoints]},
        **changes,
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(tmp_path)}


Process = asyncio.subprocess.Process


async def start_sidecar(environ: dict[str, str], *inherited: int) -> Process:
    """Start a sidecar that inherits these descriptors."""
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", env=environ, stdout=pipe, stderr=pipe, pass_fds=inherited
    )


def free_port() -> int:
    """Return a port that the system assigns to nobody else for a minute.

    A connection of it is still in TIME_WAIT; binding the port by its number is possible.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)), listener.accept()[0]:
            return port


async def connect_when_open(port: int) -> tuple[Reader, Writer]:
    """Connect as soon as something listens on the port."""
    while True:
        with contextlib.suppress(ConnectionError):
            return await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.01)


async def http_call(port: int, method: str, path: str, body: str = "") -> Message:
    """Send one request, to the admin listener for instance, as soon as it listens."""
    reader, writer = await connect_when_open(port)
    writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    response = await read_message(reader)
    writer.close()
    return response


async def wait_until_ready(port: int) -> None:
    """Wait until the admin listener at this port reports the sidecar ready."""
    while not (await http_call(port, "GET", "/_ready")).start_line.startswith("HTTP/1.1 200"):
        await asyncio.sleep(0.01)


async def start_ready_sidecar(
    folder: Path, registry: FakeDiscovery, *endpoints: Endpoint
) -> tuple[Process, int, int]:
    """Start a sidecar and wait until it is ready; return it, its port and its admin port."""
    port, admin_port = free_port(), free_port()
    environ = {
        **sidecar_environ(folder, registry, *endpoints),
        "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{admin_port}",
    }  # fmt: skip
    process = await start_sidecar(environ)
    await wait_until_ready(admin_port)
    return process, port, admin_port
