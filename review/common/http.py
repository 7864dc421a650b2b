"""HTTP/1.1 over asyncio streams, as much of it as the cases need."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any


@dataclass
class Response:
    """An answer that came whole; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


@dataclass
class Request:
    """A request that came whole; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read a head; return the parts of its first line and the headers. Raises EOFError at the end."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0].split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body by its length or chunks; raises IncompleteReadError if it is cut short."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return b"".join(parts)


async def read_request(reader: asyncio.StreamReader) -> Request:
    parts, headers = await read_head(reader)
    return Request(parts[0], parts[1], headers, await read_body(reader, headers))


async def read_response(reader: asyncio.StreamReader) -> Response:
    parts, headers = await read_head(reader)
    return Response(int(parts[1]), headers, await read_body(reader, headers))


def encode_request(
    method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    length = "" if method == "GET" and not body else f"Content-Length: {len(body)}\r\n"
    return f"{method} {target} HTTP/1.1\r\nHost: backend.local\r\n{lines}{length}\r\n".encode() + body


def encode_response(status: int, body: bytes, headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


async def call(
    port: int,
    method: str,
    target: str,
    body: Any = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Response:
    """Send one request on a connection of its own; a body that is no bytes becomes JSON.

    Raises OSError if no whole answer comes in time.
    """
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(encode_request(method, target, raw, headers))
                return await read_response(reader)
            finally:
                writer.close()
    except (EOFError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise OSError(f"no whole answer: {error!r}") from error
