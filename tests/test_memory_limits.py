"""The memory that a sidecar process takes for what clients and endpoints send, against its limit."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.lab import Lab, Program
from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
    Reader,
    Writer,
    encode_chunks,
    http_request,
    read_message,
)

CLIENTS, CHUNK_BYTES = 84, 6
BODY = LARGE_BODY[:60_000]


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


async def connect_all(program: Program) -> list[tuple[Reader, Writer]]:
    return [await asyncio.open_connection("127.0.0.1", program.port) for _ in range(CLIENTS)]


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
    fields = "".join(f"{n % 100}:\r\n" for n in range(12_000))
    connections = await connect_all(sidecar)
    for n, (_, writer) in enumerate(connections):
        writer.write(http_request(rid=f"r{n}", headers=fields)[:-2])
    for reader, _ in connections:
        assert (await read_message(reader)).start_line.split()[1] == "408"
    assert peak_memory_mb(sidecar) < 64


async def test_a_sidecar_loads_no_library_for_what_it_does_not_speak(lab: Lab) -> None:
    """Guards against imports that take what the smallest sidecar has for clients (OpenSSL: 5 MB of 32)."""
    sidecar = await lab.sidecar()
    assert "woadyard_requests_total 0.0" in await sidecar.metrics()
    mapped = Path(f"/proc/{sidecar.process.pid}/maps").read_text()
    assert "uvloop" in mapped and "libcrypto" not in mapped
