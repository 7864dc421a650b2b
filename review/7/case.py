"""Endpoints that answer some requests twice, the second answer some milliseconds late."""

from __future__ import annotations

import asyncio
import contextlib
import random
from functools import partial
from pathlib import Path

from clients import Clients, config
from world import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Discovery,
    Endpoint,
    Record,
    Request,
    Sidecar,
    free_port,
    response,
    run_case,
)

TWICE_SHARE, LATE_S = 0.1, (0.002, 0.01)


Writer = asyncio.StreamWriter


async def answer(rng: random.Random, endpoint: Endpoint, request: Request, writer: Writer) -> None:
    """Answer after 20 to 60 ms, and in trouble one request in ten a second time."""
    await asyncio.sleep(rng.uniform(0.02, 0.06))
    raw = response(200, f"{endpoint.name} served {request.id}".encode())
    writer.write(raw)
    await writer.drain()
    if TROUBLE and rng.random() < TWICE_SHARE:
        loop = asyncio.get_running_loop()
        loop.call_later(rng.uniform(*LATE_S), answer_again, endpoint, request, writer, raw)


def answer_again(endpoint: Endpoint, request: Request, writer: Writer, raw: bytes) -> None:
    with contextlib.suppress(OSError):
        if not writer.is_closing():
            endpoint.record("second answer", at=endpoint.name, id=request.id)
            writer.write(raw)


async def case(record: Record, folder: Path) -> int:
    rng = random.Random(7)
    endpoints = [Endpoint(f"s-{n}", record, partial(answer, rng)) for n in range(4)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, [endpoint.entry for endpoint in endpoints])
    await discovery.start()
    sidecar = Sidecar(record, config("n1", free_port(), discovery.address, discovery.whole()), folder)
    try:
        await sidecar.start()
        await sidecar.wait_ready()
        clients = Clients(record, sidecar.port)
        await clients.load(40.0, 30.0)
        await clients.finish()
    finally:
        await sidecar.end()
    served = [sent for sent in clients.sent if sent.status == 200]
    foreign = [sent for sent in served if not sent.body.endswith(f" served {sent.id}".encode())]
    for sent in foreign:
        record("broken", rule="lost", id=sent.id, served_with=sent.body)
    print(f"requests {len(clients.sent)}, served {len(served)}, with the answer of another: {len(foreign)}")
    if len(served) < len(clients.sent) / 4:
        raise CaseError("too little was served to tell anything")
    return BROKEN if foreign else HELD


run_case(case)
