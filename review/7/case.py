"""An endpoint hangs for a while in the middle of large answers, and goes on with them after it."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass, field
from pathlib import Path

from clients import KEYED, UNSAFE, Clients, config
from world import (
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    CaseError,
    Discovery,
    Endpoint,
    Record,
    Request,
    Sidecar,
    free_port,
    now_s,
    read_body,
    read_head,
    response,
    run_case,
)

PIECE, PIECES, PIECE_S = 10_000, 100, 0.1  # an answer of 1 MB, given within 10 s
LARGE_ANSWERS = 12
HANG_AFTER_S, HANG_S = 8.0, 15.0  # from the first large request on
PATIENCE_S = 60.0  # how long a client waits for the rest of an answer that has begun


@dataclass
class Hang:
    """Whether the endpoint of this name answers now; what it has in work goes on afterwards."""

    at: str = ""
    is_over: asyncio.Event = field(default_factory=asyncio.Event)

    async def answer(self, endpoint: Endpoint, request: Request, writer: asyncio.StreamWriter) -> None:
        await self.pause(endpoint, 0.05)
        if request.target != f"/{KEYED}":
            writer.write(response(200, f"{endpoint.name} served {request.id}".encode()))
            return
        body = request.id.encode() * (PIECE * PIECES // len(request.id))
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
        for start in range(0, len(body), PIECE):
            await self.pause(endpoint, PIECE_S)
            writer.write(body[start : start + PIECE])
            await writer.drain()
        endpoint.record("given whole", at=endpoint.name, id=request.id)

    async def pause(self, endpoint: Endpoint, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if endpoint.name == self.at:
            await self.is_over.wait()


@dataclass
class LargeAnswer:
    """What a client got of one large answer: a head, so many bytes, and whether they were whole."""

    id: str
    status: int = 0
    is_whole: bool = False
    why: str = ""


async def fetch_large(record: Record, port: int, result: LargeAnswer) -> None:
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            try:
                writer.write(Clients(record, port).encode(KEYED, result.id, b"", 6000))
                record("sent", id=result.id, cls=KEYED)
                if (head := await read_head(reader)) is not None:
                    result.status = int(head[1].split(" ")[1])
                    record("answer begins", id=result.id, status=result.status)
                    body = await read_body(reader, head[2])
                    result.is_whole = body == result.id.encode() * (len(body) // len(result.id))
                    result.why = "whole" if result.is_whole else "another answer"
            except (OSError, asyncio.IncompleteReadError) as error:
                result.why = f"{type(error).__name__} {getattr(error, 'partial', b'')[:0]!r}"
    record("answer ends", id=result.id, status=result.status, why=result.why)
    writer.close()


async def case(record: Record, folder: Path) -> int:
    hang = Hang()
    endpoints = [Endpoint(f"s-{n}", record, hang.answer) for n in range(10)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, [endpoint.entry for endpoint in endpoints])
    await discovery.start()
    sidecar = Sidecar(record, config("n1", free_port(), discovery.address, discovery.whole()), folder)
    answers = [LargeAnswer(secrets.token_hex(8)) for _ in range(LARGE_ANSWERS)]
    try:
        await sidecar.start()
        await sidecar.wait_ready()
        clients = Clients(record, sidecar.port)
        start_s = now_s()
        large = [asyncio.ensure_future(fetch_large(record, sidecar.port, answer)) for answer in answers]
        await asyncio.sleep(HANG_AFTER_S)
        hanging = max(endpoints, key=lambda e: sum(r.target == f"/{KEYED}" for r in e.requests))
        if TROUBLE:
            record("hangs", at=hanging.name)
            hang.at = hanging.name
        while now_s() < start_s + HANG_AFTER_S + HANG_S:
            clients.begin(UNSAFE)
            await asyncio.sleep(0.2)
        record("goes on", at=hanging.name)
        hang.is_over.set()
        await asyncio.gather(*large)
        await clients.finish()
    finally:
        await sidecar.end()
    begun = [answer for answer in answers if answer.status == 200]
    cut = [answer for answer in begun if not answer.is_whole]
    for answer in cut:
        record("broken", rule="lost", id=answer.id, why=answer.why)
    print(f"large answers begun {len(begun)}, cut off by the sidecar: {len(cut)}")
    if len(begun) < LARGE_ANSWERS:
        raise CaseError("not all large answers began")
    return BROKEN if cut else HELD


run_case(case)
