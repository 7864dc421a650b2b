"""What the audit costs: on the wire and at the service, in the ledger, and on the hot path.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.audit
[reports] [ledger] [path]`, all parts where none is named. `reports`: a list service as a
process and `REPORTERS` reporters here, a change of the list each second, `RATE` attempts a
second each; bytes are those of HTTP heads and bodies, both ways. `ledger`: a day of reports with
a change a minute, and the questions over it. `path`: two sidecar processes of one build, one
with `audit`, the same load in turns; the median of the CPU time's ratios.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from benchmarks.metrics_cost import load
from benchmarks.whatif_cost import REQUESTS, TURNS, cpu_s, launch_sidecar
from tests.process import free_port
from tests.sockets import Endpoint, FakeDiscovery
from tests.test_registry import register, service
from woadyard.audit import AuditSettings, Position, Spans
from woadyard.audit.ledger import AuditState
from woadyard.audit.questions import out_of_use, version_of, who_acted
from woadyard.interface import LIST_DELTA, Send
from woadyard.net import fetch, reporter
from woadyard.net.reporter import AuditHandlers, Reporter, now_us

REPORTERS, RATE, WARM_S, SECONDS = 200, 10, 3, 20
SIDECARS, MINUTES = 200, 24 * 60


class Wire:
    """Bytes of each call and the time it took, by a client that counts."""

    def __init__(self) -> None:
        self.bytes, self.ms = 0, HdrHistogram(1, 60_000_000, 3)
        self.real, self.failed = fetch.fetch, 0

    async def fetch(self, at: tuple[str, int], method: str, target: str, body: bytes, **more: Any) -> Any:
        began = time.perf_counter()
        try:
            return await self.real(at, method, target, body, **more)
        except fetch.FetchError:
            self.failed += 1
            raise
        finally:
            self.ms.record_value(int((time.perf_counter() - began) * 1e6))

    def count(self) -> None:
        """Bytes at the transport, of all exchanges from now on."""
        made, got = fetch._Exchange.__init__, fetch._Exchange.data_received

        def sent(exchange: fetch._Exchange, request: bytes, most: int) -> None:
            self.bytes += len(request)
            made(exchange, request, most)

        def received(exchange: fetch._Exchange, data: bytes) -> None:
            self.bytes += len(data)
            got(exchange, data)

        vars_ = {"__init__": sent, "data_received": received}
        for name, method in vars_.items():
            setattr(fetch._Exchange, name, method)
        setattr(reporter, "fetch", self.fetch)  # noqa: B010 - the module's name, not an attribute


async def reports() -> dict[str, Any]:
    with TemporaryDirectory() as folder:
        port = free_port()
        process = await service(Path(folder), port)
        told = (await register(port, "s-0"))[1]
        wire = Wire()
        wire.count()
        orders = AuditHandlers(lambda raw: True, lambda: None, lambda out: None, lambda names: None)
        settings = AuditSettings(f"127.0.0.1:{port}")
        named = told["lineage"], told["term"]
        fleet = [
            Reporter(settings, f"n{n}", "0-1-0", lambda: named, orders, random.Random(n))
            for n in range(REPORTERS)
        ]
        for one in fleet:
            one.list_applied(now_us(), LIST_DELTA, told["generation"], [])
            one.open()
        for second in range(WARM_S + SECONDS):
            if second == WARM_S:
                wire.bytes, wire.failed, cpu = 0, 0, cpu_s(process.pid)
                wire.ms.reset()
                began = time.perf_counter()
            told = (await register(port, f"s-{second + 1}"))[1]
            for one in fleet:
                one.list_applied(now_us(), LIST_DELTA, told["generation"], [])
            for tick in range(RATE):
                await asyncio.sleep(1.0 / RATE)
                for one in fleet:
                    one.attempt_started(now_us(), Send(second * RATE + tick, 1, 0))
                    one.spans.ended(second * RATE + tick, 1, True)
        took = time.perf_counter() - began
        used = cpu_s(process.pid) - cpu
        for one in fleet:
            assert one.task is not None
            one.task.cancel()
        process.kill()
        await process.wait()
    return {
        "reporters": REPORTERS, "seconds": round(took, 1), "reports": wire.ms.get_total_count(),
        "failed": wire.failed, "bytes_a_second_and_sidecar": round(wire.bytes / took / REPORTERS),
        "service_cpu_share": round(used / took, 3),
        **{f"p{p}_ms": wire.ms.get_value_at_percentile(p) / 1e3 for p in (50, 99, 100)},
    }  # fmt: skip


def ledger() -> dict[str, Any]:
    book, at = AuditState(), 0
    fleet = [Spans(f"n{n}", "run", 0, Position("log", 1, 0, "s", build="b")) for n in range(SIDECARS)]
    began = time.perf_counter()
    for minute in range(MINUTES):
        at = minute * 60_000_000
        batch = []
        for n, spans in enumerate(fleet):
            spans.act(at, Position("log", 1, minute + 1, "s", build="b"))
            for request in range(3):
                spans.attempt(at + request, request, 1)
                spans.ended(request, 1, True)
            batch.append(spans.report(at + n))
        book.apply({"op": "reports", "reports": msgspec.to_builtins(batch), "at": at})
        for spans in fleet:
            spans.acked(book.runs[f"{spans.name}@run"].taken)
    applied = time.perf_counter() - began
    times: dict[str, float] = {}
    asked: dict[str, Callable[[], object]] = {
        "who_acted_ms": lambda: who_acted(book, version_of({"generation": str(MINUTES - 9)})),
        "out_of_use_ms": lambda: out_of_use(book, Position("log", 1, MINUTES - 9)),
        "dump_ms": lambda: json.dumps(book.dump()),  # as a snapshot does
    }
    for name, ask in asked.items():
        turns = []
        for _ in range(5):
            began = time.perf_counter()
            ask()
            turns.append((time.perf_counter() - began) * 1e3)
        times[name] = round(statistics.median(turns), 1)
    found = who_acted(book, version_of({"generation": str(MINUTES - 9)}))
    return {
        "sidecars": SIDECARS, "minutes": MINUTES, "rows": sum(run.size for run in book.runs.values()),
        "compacted": book.compacted, "dump_mb": round(len(msgspec.json.encode(book.dump())) / 1e6, 2),
        "us_a_report": round(applied / SIDECARS / MINUTES * 1e6, 1), "sidecars_found": len(found["sidecars"]),
        **times,
    }  # fmt: skip


async def path() -> dict[str, Any]:
    endpoint, registry = Endpoint(), FakeDiscovery()
    found: dict[str, list[float]] = {"off": [], "on": []}
    with TemporaryDirectory() as name:
        async with await endpoint.start(), await registry.start():
            port = free_port()
            lists = await service(Path(name) / "data", port)
            audit = {"audit": {"service": f"127.0.0.1:{port}"}}
            running = {
                kind: await launch_sidecar(Path(name) / kind, registry, endpoint, **changes)
                for kind, changes in {"off": {}, "on": audit}.items()
            }
            for turn in range(TURNS + 1):
                for kind in random.Random(turn).sample(list(found), len(found)):
                    process, port = running[kind]
                    endpoint.received.clear()
                    before = cpu_s(process.pid)
                    await load(port, REQUESTS)
                    if turn:  # the first warms up
                        found[kind].append((cpu_s(process.pid) - before) / REQUESTS * 1e6)
            for process in [lists, *(process for process, _ in running.values())]:
                process.terminate()
                await process.wait()
    ratios = [on / off - 1 for on, off in zip(found["on"], found["off"], strict=True)]
    return {
        "cpu_us_a_request": {kind: round(statistics.median(each), 1) for kind, each in found.items()},
        "over_off_median": round(statistics.median(ratios), 4),
        "quartiles": [round(one, 3) for one in statistics.quantiles(ratios, n=4)],
    }


def main() -> None:
    import uvloop

    parts = sys.argv[1:] or ["reports", "ledger", "path"]
    for part in parts:
        told = ledger() if part == "ledger" else uvloop.run({"reports": reports, "path": path}[part]())
        print(json.dumps({"part": part, **told}), flush=True)


if __name__ == "__main__":
    main()
