"""Clients send their bodies in small pieces, as chunks, and keep their connections."""

from __future__ import annotations

import asyncio
import secrets
import signal
from functools import partial
from pathlib import Path

from clients import KEYED, Clients, config
from world import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Discovery,
    Endpoint,
    Record,
    Sidecar,
    free_port,
    run_case,
    serve_after,
)

MEMORY_MB, SOCKETS = 64, 256  # a day of the reports has these
CLIENTS = 84  # less than a third of the descriptors
BODY_BYTES, PIECE_BYTES = 60_000, 6


class PieceClients(Clients):
    """Clients that send a body in small pieces, each in a chunk of its own."""

    def encode(self, cls: str, request_id: str, body: bytes, deadline_ms: int) -> bytes:
        raw = super().encode(cls, request_id, body, deadline_ms)
        if not TROUBLE:
            return raw
        head = raw[: -len(body)].replace(
            f"Content-Length: {len(body)}".encode(), b"Transfer-Encoding: chunked"
        )
        pieces = (body[start : start + PIECE_BYTES] for start in range(0, len(body), PIECE_BYTES))
        return head + b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


async def case(record: Record, folder: Path) -> int:
    endpoints = [Endpoint(f"s-{n}", record, partial(serve_after, 0.3)) for n in range(9)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, [endpoint.entry for endpoint in endpoints])
    await discovery.start()
    configuration = config("n1", free_port(), discovery.address, discovery.whole())
    configuration["limits"].update(memory_mb=MEMORY_MB, sockets=SOCKETS)
    sidecar = Sidecar(record, configuration, folder)
    clients = PieceClients(record, sidecar.port)
    peak_kb = 0
    try:
        await sidecar.start()
        await sidecar.wait_ready()
        body = secrets.token_bytes(BODY_BYTES)
        record("memory", kb=sidecar.memory_kb())
        # 40 a second, far fewer than the fleet's 130; each client keeps its connection afterwards.
        ended = []
        for n in range(CLIENTS):
            clients.idle, kept = [], clients.idle
            ended += kept
            clients.begin(KEYED, body=body)
            await asyncio.sleep(0.025)
            peak_kb = max(peak_kb, sidecar.memory_kb())
            record("memory", kb=peak_kb, clients=n + 1)
            if peak_kb > MEMORY_MB * 1024:
                record("killed", by="the platform", kb=peak_kb)
                sidecar.signal(signal.SIGKILL)
                break
        await clients.finish()
    finally:
        await sidecar.end()
    lost = sum(sent.status == 0 for sent in clients.sent)
    print(f"clients {len(clients.sent)}, peak memory {peak_kb / 1024:.1f} MB of {MEMORY_MB} MB", end="")
    print(f", not answered: {lost}")
    if peak_kb > MEMORY_MB * 1024:
        record("broken", rule="crash", memory_kb=peak_kb, lost=lost)
        return BROKEN
    if any(sent.status != 200 for sent in clients.sent):
        raise CaseError("not all were served")
    return HELD


run_case(case)
