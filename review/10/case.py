"""An endpoint begins to drain just after SIGHUP, while discovery's new address is not up yet."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path

from clients import Clients, config
from world import (
    BROKEN,
    HELD,
    HOST,
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

DOWN_S = 8.0 if TROUBLE else 0.0  # the new address refuses connections for so long after the signal
OLD_WATCHES_END_S = 1.5
TOLD_AFTER_SIGNAL_S, GRACE_S, SLACK_S = 4.0, 0.25, 0.05


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
        load = asyncio.ensure_future(clients.load(30.0, 14.0))
        await asyncio.sleep(4.0)
        new_port = free_port()
        discovery.server.close()  # the old address takes no new connections
        if not DOWN_S:
            await discovery.start(new_port)
        sidecar.config["discovery"] = f"{HOST}:{new_port}"
        sidecar.write_config()
        sidecar.signal(signal.SIGHUP)
        signal_s = now_s()
        await asyncio.sleep(0.5)
        draining = max(endpoints, key=lambda endpoint: len(endpoint.requests))
        discovery.change(draining.name, "draining")
        told_s = now_s() if discovery.watchers else signal_s + TOLD_AFTER_SIGNAL_S
        await asyncio.sleep(OLD_WATCHES_END_S - 0.5)
        if DOWN_S:
            discovery.end_watches()
            await asyncio.sleep(DOWN_S - OLD_WATCHES_END_S)
            await discovery.start(new_port)
            record("discovery is up again", at=discovery.address)
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
