"""Pairs of endpoints are taken out, one call at each process of a sidecar that is being replaced."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from functools import partial
from math import inf
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
    read_body,
    read_head,
    run_case,
    serve_after,
)

GRACE_S, SLACK_S = 0.25, 0.05
WATCHED_S = 6.0  # how long requests go on after the first calls
PAIRS = [("s-1", "s-2"), ("s-3", "s-4"), ("s-5", "s-6")]


async def call(record: Record, console: int, method: str, path: str, body: str = "") -> int:
    """One call of an operator; returns its status."""
    reader, writer = await asyncio.open_connection(HOST, console)
    raw = f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{console}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    writer.write(raw.encode())
    if (head := await read_head(reader)) is None:
        raise CaseError(f"no answer to {path}")
    text = await read_body(reader, head[2], to_end=True)
    writer.close()
    status = int(head[1].split(" ")[1])
    if path != "/_ready" or status == 200:
        record("console", port=console, call=f"{path} {body}", status=status, text=text.decode().strip())
    return status


async def wait_yes(record: Record, console: int) -> None:
    """Wait for the yes of a process, due within 6 s."""
    end_s = now_s() + 6.0
    while now_s() < end_s:
        try:
            if await call(record, console, "GET", "/_ready") == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise CaseError("no yes within 6 s")


async def case(record: Record, folder: Path) -> int:
    endpoints = [Endpoint(f"s-{n}", record, partial(serve_after, 0.05)) for n in range(9)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, [endpoint.entry for endpoint in endpoints])
    await discovery.start()
    listener = socket.create_server((HOST, 0), backlog=1024)  # the platform holds it
    os.set_inheritable(listener.fileno(), True)
    port = listener.getsockname()[1]

    async def start_process(console: int) -> Sidecar:
        environ = {"LB_ACCEPT_FD": str(listener.fileno()), "LB_CONSOLE": f"{HOST}:{console}"}
        configuration = config("n1", port, discovery.address, discovery.whole(), console=f"{HOST}:{console}")
        process = Sidecar(record, configuration, folder, **environ)
        await process.start(pass_fds=(listener.fileno(),))
        processes.append(process)
        return process

    processes: list[Sidecar] = []
    yes_s: dict[str, float] = {}  # by endpoint: when both calls of its pair were answered
    consoles = [free_port(), free_port()]
    try:
        elder = await start_process(consoles[0])
        await wait_yes(record, consoles[0])
        clients = Clients(record, port)
        load = asyncio.ensure_future(clients.load(40.0, 3.0))
        await load
        if TROUBLE:
            await start_process(consoles[1])
            await wait_yes(record, consoles[1])
        else:
            consoles[1] = consoles[0]
        load = asyncio.ensure_future(clients.load(40.0, WATCHED_S))
        for pair in PAIRS:
            calls = [
                call(record, console, "POST", "/_endpoints/detach", name)
                for console, name in zip(consoles, pair, strict=True)
            ]
            if (answers := await asyncio.gather(*calls)) != [200, 200]:
                raise CaseError(f"the calls were answered {answers}")
            yes_s |= dict.fromkeys(pair, now_s())
        if TROUBLE:
            elder.signal(signal.SIGTERM)
        await load
        await clients.finish()
    finally:
        for process in processes:
            await process.end()
        listener.close()
    late = [
        (endpoint.name, request)
        for endpoint in endpoints
        for request in endpoint.requests
        if request.first_byte_s > yes_s.get(endpoint.name, inf) + GRACE_S + SLACK_S
    ]
    for name, request in late:
        after_yes = f"{request.first_byte_s - yes_s[name]:.3f}"
        record("broken", rule="drain", at=name, id=request.id, after_yes=after_yes)
    served = sum(sent.status == 200 for sent in clients.sent)
    print(f"requests {len(clients.sent)}, served {served}; sent to one of six endpoints that were taken out,")
    print(f"more than 0.3 s after the yes: {len(late)}, at {sorted({name for name, _ in late})}")
    if served < len(clients.sent) / 4:
        raise CaseError("too little was served to tell anything")
    return BROKEN if late else HELD


run_case(case)
