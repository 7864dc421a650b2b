"""The memory that a sidecar process takes for what clients and endpoints send, against its limit."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.lab import Lab, Program
from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
    Reader,
    Writer,
    encode_chunks,
    http_request,
    http_response,
    read_message,
)

CLIENTS, CHUNK_BYTES = 84, 6
BODY = LARGE_BODY[:60_000]
# The least that the platform gives a sidecar, with the most descriptors (TERMS.md).
LEAST_MEMORY = {"memory_mb": 32, "sockets": 1024}
MANY_CLIENTS = 340  # a third of the descriptors
FIELDS = "".join(f"{n % 100}:\r\n" for n in range(12_000))


def peak_memory_mb(program: Program) -> float:
    """Return the largest resident memory of the process so far."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def chunked_request(rid: str) -> bytes:
    head, _, body = http_request("put", BODY, "Transfer-Encoding: chunked\r\n", rid=rid).partition(
        b"\r\n\r\n"
    )
    head = head.replace(b"Content-Length: %d\r\n" % len(body), b"")
    return head + b"\r\n\r\n" + encode_chunks(body, CHUNK_BYTES)


async def connect_all(
    program: Program, count: int = CLIENTS, receive_buffer: int = 0
) -> list[tuple[Reader, Writer]]:
    connections = []
    for _ in range(count):
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", program.port))
        connections.append(await asyncio.open_connection(sock=client, limit=64 * 1024))
    return connections


async def test_request_bodies_in_small_chunks_stay_within_the_memory_limit(lab: Lab) -> None:
    """Guards against a body held as one object for each of its chunks, also after its response."""
    endpoint = await lab.endpoint()
    sidecar = await lab.sidecar(endpoints=[endpoint], limits={"memory_mb": 64, "sockets": 256})
    for n, (reader, writer) in enumerate(await connect_all(sidecar)):
        writer.write(chunked_request(f"r{n}"))
        assert (await read_message(reader)).start_line.split()[1] == "200"
    assert {message.body for message in endpoint.received} == {BODY}
    assert peak_memory_mb(sidecar) < 64


async def test_responses_in_small_chunks_stay_within_the_memory_limit(lab: Lab) -> None:
    """Guards against a response held as one object for each of its chunks until it is complete."""
    waiting = 0
    all_wait = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        nonlocal waiting
        *chunks, last = encode_chunks(BODY, CHUNK_BYTES).partition(b"\r\n0\r\n")[0].rpartition(b"\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(chunks))
        waiting += 1
        if waiting == CLIENTS:
            all_wait.set()
        await all_wait.wait()
        writer.write(last + b"\r\n0\r\n\r\n")

    endpoint = await lab.endpoint(reply)
    sidecar = await lab.sidecar(endpoints=[endpoint], limits={"memory_mb": 64, "sockets": 256})
    connections = await connect_all(sidecar)
    for n, (_, writer) in enumerate(connections):
        writer.write(http_request(rid=f"r{n}"))
    for reader, _ in connections:
        assert (await read_message(reader)).body == BODY
    assert peak_memory_mb(sidecar) < 64


async def test_heads_of_many_short_fields_stay_within_the_memory_limit(lab: Lab) -> None:
    """Guards against a head held as objects for each of its fields, some thirty times its size."""
    sidecar = await lab.sidecar(limits={"memory_mb": 64, "sockets": 256})
    connections = await connect_all(sidecar)
    for n, (_, writer) in enumerate(connections):
        writer.write(http_request(rid=f"r{n}", headers=FIELDS)[:-2])
    for reader, _ in connections:
        assert (await read_message(reader)).start_line.split()[1] == "408"
    assert peak_memory_mb(sidecar) < 64


async def test_a_sidecar_loads_no_library_for_what_it_does_not_speak(lab: Lab) -> None:
    """Guards against imports that take what the smallest sidecar has for clients (OpenSSL: 5 MB of 32)."""
    sidecar = await lab.sidecar()
    assert "woadyard_requests_total 0.0" in await sidecar.metrics()
    mapped = Path(f"/proc/{sidecar.process.pid}/maps").read_text()
    assert "uvloop" in mapped and "libcrypto" not in mapped


def unfinished_body(n: int) -> bytes:
    return http_request("put", BODY, rid=f"r{n}")[:-1]


def unfinished_head(n: int) -> bytes:
    return http_request(rid=f"r{n}", headers=FIELDS)[:-2]


async def read_slowly(reader: Reader) -> None:
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(2.0)


@pytest.mark.parametrize("request_of", [unfinished_body, unfinished_head])
async def test_requests_that_stop_half_way_stay_within_the_least_memory(
    lab: Lab, request_of: Callable[[int], bytes]
) -> None:
    """Guards against buffers that are bounded for each connection and not for all of them together."""
    endpoint = await lab.endpoint()
    sidecar = await lab.sidecar(endpoints=[endpoint], limits=LEAST_MEMORY)
    connections = await connect_all(sidecar, MANY_CLIENTS)
    for n, (_, writer) in enumerate(connections):
        writer.write(request_of(n))
    good = [await sidecar.request(rid=f"good-{n}") for n in range(20)]
    for reader, _ in connections:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            assert (await read_message(reader)).start_line.split()[1] in ("408", "503")
    assert peak_memory_mb(sidecar) < LEAST_MEMORY["memory_mb"]
    assert {message.body for message in good} == {b"ok"}


async def test_long_responses_that_are_read_slowly_stay_within_the_least_memory(lab: Lab) -> None:
    """Guards against streams that hold a read and a write buffer of 32 KiB each for hundreds of clients."""

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(body=LARGE_BODY * 8))
        await writer.drain()

    endpoints = [await lab.endpoint(reply) for _ in range(4)]
    sidecar = await lab.sidecar(endpoints=endpoints, limits=LEAST_MEMORY)
    connections = await connect_all(sidecar, 150, receive_buffer=4096)
    for n, (_, writer) in enumerate(connections):
        writer.write(http_request(rid=f"r{n}"))
    await asyncio.gather(*(read_slowly(reader) for reader, _ in connections))
    assert peak_memory_mb(sidecar) < LEAST_MEMORY["memory_mb"]
    for _, writer in connections:
        writer.transport.abort()
