"""An endpoint begins to drain while discovery is crowded, and still answers what it is sent."""

from __future__ import annotations

import asyncio
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
    Sidecar,
    free_port,
    now_s,
    run_case,
    serve_after,
)

CROWDED_S = 10.0
TOLD_AFTER_S, GRACE_S, SLACK_S = 6.0, 0.25, 0.05


async def case(record: Record, folder: Path) -> int:
    endpoints = [Endpoint(f"s-{n}", record, partial(serve_after, 0.08)) for n in range(4)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, [endpoint.entry for endpoint in endpoints])
    await discovery.start()
    sidecar = Sidecar(record, config("n1", free_port(), discovery.address, discovery.whole()), folder)
    try:
        await sidecar.start()
        await sidecar.wait_ready()
        clients = Clients(record, sidecar.port)
        load = asyncio.ensure_future(clients.load(30.0, 5.0 + CROWDED_S))
        await asyncio.sleep(4.0)
        if TROUBLE:
            record("discovery is crowded")
            discovery.is_crowded = True
            discovery.end_watches()
        await asyncio.sleep(0.5)
        draining = max(endpoints, key=lambda endpoint: len(endpoint.requests))
        discovery.change(draining.name, "draining")
        # A watch tells it at once; where none is open, it counts as told 6 s later.
        told_s = now_s() + (0.0 if discovery.watchers else TOLD_AFTER_S)
        if bool(discovery.watchers) == TROUBLE:
            raise CaseError("the watch is open in trouble, or not open without")
        await asyncio.sleep(CROWDED_S - 0.5)
        record("discovery is no longer crowded")
        discovery.is_crowded = False
        await load
        await clients.finish()
    finally:
        await sidecar.end()
    late = [r for r in draining.requests if r.first_byte_s > told_s + GRACE_S + SLACK_S]
    for request in late:
        record("broken", rule="drain", id=request.id, after_told=f"{request.first_byte_s - told_s:.3f}")
    served = sum(sent.status == 200 for sent in clients.sent)
    print(f"requests {len(clients.sent)}, served {served}; sent to {draining.name} more than 0.3 s")
    print(f"after it counted as told: {len(late)}")
    if served < len(clients.sent) / 4:
        raise CaseError("too little was served to tell anything")
    return BROKEN if late else HELD


run_case(case)
