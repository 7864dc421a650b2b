"""What recording costs a sidecar: CPU time a request, with `record` and without.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.whatif_cost`.
Two sidecar processes of one build, one with `record` in its file, get the same load in turns;
the CPU time that the system booked on each is divided by the requests it answered. Callers and
the endpoint are another process's, so that their cost thins nothing out. Turns are short and
their ratios' median is told, as other work on the machine shifts slowly. The recorder alone is
timed too: its calls for one request of one attempt.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import time
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from tests.process import Process, config, free_port, ready, start
from tests.sockets import Endpoint, Registry, read_message, request
from woadyard.interface import OK, Arrival, Outcome, Send
from woadyard.net.recorder import Recorder, RecordSettings

REQUESTS, AT_ONCE, TURNS, ALONE = 1_000, 16, 40, 100_000
IDS = count()
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """By the scheduler's count where there is one (ns), else by the clock's ticks."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except OSError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


async def load(port: int, requests: int) -> None:
    todo = list(range(requests))

    async def caller() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while todo:
            todo.pop()
            writer.write(request(rid=f"r{next(IDS)}"))
            await read_message(reader)
        writer.close()

    await asyncio.gather(*(caller() for _ in range(AT_ONCE)))


def alone(sample: float) -> float:
    """CPU µs of the recorder's calls for one request, without a sidecar around."""
    made = Recorder(RecordSettings(sample=sample), "s", 1, 0)
    told = [
        (Arrival(rid, 0, rid), Send(rid, 1 << 60, 9), Outcome(rid, 0, 1 << 60, OK, 900, True))
        for rid in range(ALONE)
    ]
    began = time.process_time()
    for rid, (arrival, send, outcome) in enumerate(told):
        made.taken(rid, arrival)
        made.sent(rid, send)
        made.answered(rid + 900, rid, 200)
        made.ended(rid + 900, outcome)
    return (time.process_time() - began) / ALONE * 1e6


async def sidecar(
    folder: Path, registry: Registry, endpoint: Endpoint, **changes: Any
) -> tuple[Process, int]:
    folder.mkdir()
    port, door = free_port(), free_port()
    environ = config(folder, registry, endpoint, **changes)
    environ |= {"LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}"}
    process = await start(environ)
    await ready(door)
    return process, port


async def main() -> None:
    endpoint, registry = Endpoint(), Registry()
    with TemporaryDirectory() as name:
        async with await endpoint.start(), await registry.start():
            kinds: dict[str, dict[str, Any]] = {"off": {}, "all": {"record": {}}}
            found: dict[str, list[float]] = {kind: [] for kind in kinds}
            running = {}
            for kind, changes in kinds.items():
                running[kind] = await sidecar(Path(name) / kind, registry, endpoint, **changes)
            rss = {kind: _rss_kb(process.pid) for kind, (process, _) in running.items()}
            for turn in range(TURNS + 1):
                for kind in random.Random(turn).sample(list(kinds), len(kinds)):
                    process, port = running[kind]
                    endpoint.got.clear()
                    before = cpu_s(process.pid)
                    await load(port, REQUESTS)
                    if turn:  # the first warms up
                        found[kind].append((cpu_s(process.pid) - before) / REQUESTS * 1e6)
            after = {kind: _rss_kb(process.pid) for kind, (process, _) in running.items()}
            for process, _ in running.values():
                process.terminate()
                await process.wait()
    for kind, each in found.items():
        ratios = [one / off - 1 for one, off in zip(each, found["off"], strict=True)]
        told = {
            "record": kind, "cpu_us_a_request": round(statistics.median(each), 2),
            "over_off_median": round(statistics.median(ratios), 4),
            "quartiles": [round(one, 3) for one in statistics.quantiles(ratios, n=4)] if any(ratios) else [],
            "rss_kb_at_start": rss[kind], "rss_kb_at_end": after[kind],
        }  # fmt: skip
        print(json.dumps(told))
    for sample in (1.0, 0.1):
        least = min(alone(sample) for _ in range(3))
        print(json.dumps({"recorder_alone_us_a_request": round(least, 2), "sample": sample}))


def _rss_kb(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
