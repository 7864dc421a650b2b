"""The cost of the audit: on the network and at the service, in the audit state, and on the hot path.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.audit
[reports] [ledger] [path]`; without arguments, all parts run.

- `reports`: a list service as a process and `REPORTERS` reporters in this process, with a change
  of the list every second and `ATTEMPTS_PER_S` attempts per second each. The bytes are those of
  HTTP heads and bodies, in both directions.
- `ledger`: a day of reports with a change every minute, and the queries over it.
- `path`: two sidecar processes of one build, one of them with `audit`, under the same load in
  alternating turns; reports the median ratio of their CPU times.
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

from benchmarks.metrics_cost import measure_request_rate
from benchmarks.whatif_cost import REQUESTS, TURNS, cpu_s, launch_sidecar
from tests.process import free_port
from tests.sockets import Endpoint, FakeDiscovery
from tests.test_registry import register_endpoint, start_registry
from woadyard.audit import AuditSettings, Position, SpanRecorder
from woadyard.audit.ledger import AuditState
from woadyard.audit.queries import check_out_of_use, parse_version_filter, spans_acted_on
from woadyard.interface import LIST_DELTA, Send
from woadyard.net import fetch, reporter
from woadyard.net.reporter import AuditHandlers, Reporter, now_us

REPORTERS, ATTEMPTS_PER_S, WARMUP_S, MEASURED_S = 200, 10, 3, 20
SIDECARS, MINUTES = 200, 24 * 60


class CallMeter:
    """Counts the bytes and measures the latency of the HTTP calls made through `woadyard.net.fetch`."""

    def __init__(self) -> None:
        self.wire_bytes, self.latency_us = 0, HdrHistogram(1, 60_000_000, 3)
        self.original_fetch, self.failed_calls = fetch.fetch, 0

    async def fetch(
        self, address: tuple[str, int], method: str, target: str, body: bytes, **options: Any
    ) -> Any:
        start_s = time.perf_counter()
        try:
            return await self.original_fetch(address, method, target, body, **options)
        except fetch.FetchError:
            self.failed_calls += 1
            raise
        finally:
            self.latency_us.record_value(int((time.perf_counter() - start_s) * 1e6))

    def install(self) -> None:
        """Patch the HTTP client so that all later calls are counted, at the transport."""
        original_init, original_data_received = fetch._Exchange.__init__, fetch._Exchange.data_received

        def count_sent(exchange: fetch._Exchange, request: bytes, max_bytes: int) -> None:
            self.wire_bytes += len(request)
            original_init(exchange, request, max_bytes)

        def count_received(exchange: fetch._Exchange, data: bytes) -> None:
            self.wire_bytes += len(data)
            original_data_received(exchange, data)

        methods = {"__init__": count_sent, "data_received": count_received}
        for name, method in methods.items():
            setattr(fetch._Exchange, name, method)
        setattr(reporter, "fetch", self.fetch)  # noqa: B010 - replaces the function that the module imported


async def measure_reports() -> dict[str, Any]:
    with TemporaryDirectory() as folder:
        port = free_port()
        process = await start_registry(Path(folder), port)
        registration = (await register_endpoint(port, "s-0"))[1]
        meter = CallMeter()
        meter.install()
        handlers = AuditHandlers(lambda raw: True, lambda: None, lambda is_out: None, lambda names: None)
        settings = AuditSettings(f"127.0.0.1:{port}")
        lineage_and_term = registration["lineage"], registration["term"]
        reporters = [
            Reporter(settings, f"n{n}", "0-1-0", lambda: lineage_and_term, handlers, random.Random(n))
            for n in range(REPORTERS)
        ]
        for each_reporter in reporters:
            each_reporter.list_applied(now_us(), LIST_DELTA, registration["generation"], [])
            each_reporter.open()
        for second in range(WARMUP_S + MEASURED_S):
            if second == WARMUP_S:
                meter.wire_bytes, meter.failed_calls, cpu_before_s = 0, 0, cpu_s(process.pid)
                meter.latency_us.reset()
                start_s = time.perf_counter()
            registration = (await register_endpoint(port, f"s-{second + 1}"))[1]
            for each_reporter in reporters:
                each_reporter.list_applied(now_us(), LIST_DELTA, registration["generation"], [])
            for tick in range(ATTEMPTS_PER_S):
                await asyncio.sleep(1.0 / ATTEMPTS_PER_S)
                for each_reporter in reporters:
                    each_reporter.attempt_started(now_us(), Send(second * ATTEMPTS_PER_S + tick, 1, 0))
                    each_reporter.spans.record_attempt_end(second * ATTEMPTS_PER_S + tick, 1, True)
        duration_s = time.perf_counter() - start_s
        service_cpu_s = cpu_s(process.pid) - cpu_before_s
        for each_reporter in reporters:
            assert each_reporter.task is not None
            each_reporter.task.cancel()
        process.kill()
        await process.wait()
    return {
        "reporters": REPORTERS, "seconds": round(duration_s, 1),
        "reports": meter.latency_us.get_total_count(),
        "failed": meter.failed_calls,
        "bytes_a_second_and_sidecar": round(meter.wire_bytes / duration_s / REPORTERS),
        "service_cpu_share": round(service_cpu_s / duration_s, 3),
        **{f"p{p}_ms": meter.latency_us.get_value_at_percentile(p) / 1e3 for p in (50, 99, 100)},
    }  # fmt: skip


def measure_ledger() -> dict[str, Any]:
    state, time_us = AuditState(), 0
    recorders = [
        SpanRecorder(f"n{n}", "run", 0, Position("log", 1, 0, "s", build="b")) for n in range(SIDECARS)
    ]
    start_s = time.perf_counter()
    for minute in range(MINUTES):
        time_us = minute * 60_000_000
        batch = []
        for n, recorder in enumerate(recorders):
            recorder.set_position(time_us, Position("log", 1, minute + 1, "s", build="b"))
            for request in range(3):
                recorder.record_attempt(time_us + request, request, 1)
                recorder.record_attempt_end(request, 1, True)
            batch.append(recorder.build_report(time_us + n))
        state.apply({"op": "reports", "reports": msgspec.to_builtins(batch), "at": time_us})
        for recorder in recorders:
            recorder.acknowledge(state.runs[f"{recorder.name}@run"].received_numbers)
    apply_s = time.perf_counter() - start_s
    query_times_ms: dict[str, float] = {}
    queries: dict[str, Callable[[], object]] = {
        "who_acted_ms": lambda: spans_acted_on(state, parse_version_filter({"generation": str(MINUTES - 9)})),
        "out_of_use_ms": lambda: check_out_of_use(state, Position("log", 1, MINUTES - 9)),
        "dump_ms": lambda: json.dumps(state.dump()),  # as for a snapshot
    }
    for name, query in queries.items():
        turn_times_ms = []
        for _ in range(5):
            start_s = time.perf_counter()
            query()
            turn_times_ms.append((time.perf_counter() - start_s) * 1e3)
        query_times_ms[name] = round(statistics.median(turn_times_ms), 1)
    answer = spans_acted_on(state, parse_version_filter({"generation": str(MINUTES - 9)}))
    return {
        "sidecars": SIDECARS, "minutes": MINUTES, "rows": sum(run.row_count for run in state.runs.values()),
        "compacted": state.compacted_rows, "dump_mb": round(len(msgspec.json.encode(state.dump())) / 1e6, 2),
        "us_a_report": round(apply_s / SIDECARS / MINUTES * 1e6, 1),
        "sidecars_found": len(answer["sidecars"]),
        **query_times_ms,
    }  # fmt: skip


async def measure_hot_path() -> dict[str, Any]:
    endpoint, registry = Endpoint(), FakeDiscovery()
    cpu_us_per_request: dict[str, list[float]] = {"off": [], "on": []}
    with TemporaryDirectory() as name:
        async with await endpoint.start(), await registry.start():
            port = free_port()
            list_service = await start_registry(Path(name) / "data", port)
            audit_config = {"audit": {"service": f"127.0.0.1:{port}"}}
            sidecars = {
                kind: await launch_sidecar(Path(name) / kind, registry, endpoint, **changes)
                for kind, changes in {"off": {}, "on": audit_config}.items()
            }
            for turn in range(TURNS + 1):
                for kind in random.Random(turn).sample(list(cpu_us_per_request), len(cpu_us_per_request)):
                    process, sidecar_port = sidecars[kind]
                    endpoint.received.clear()
                    cpu_before = cpu_s(process.pid)
                    await measure_request_rate(sidecar_port, REQUESTS)
                    if turn:  # the first turn is a warm-up
                        cpu_us_per_request[kind].append((cpu_s(process.pid) - cpu_before) / REQUESTS * 1e6)
            for process in [list_service, *(process for process, _ in sidecars.values())]:
                process.terminate()
                await process.wait()
    ratios = [
        with_audit / without_audit - 1
        for with_audit, without_audit in zip(cpu_us_per_request["on"], cpu_us_per_request["off"], strict=True)
    ]
    return {
        "cpu_us_a_request": {
            kind: round(statistics.median(costs), 1) for kind, costs in cpu_us_per_request.items()
        },
        "over_off_median": round(statistics.median(ratios), 4),
        "quartiles": [round(quartile, 3) for quartile in statistics.quantiles(ratios, n=4)],
    }


def main() -> None:
    import uvloop

    parts = sys.argv[1:] or ["reports", "ledger", "path"]
    for part in parts:
        result = (
            measure_ledger()
            if part == "ledger"
            else uvloop.run({"reports": measure_reports, "path": measure_hot_path}[part]())
        )
        print(json.dumps({"part": part, **result}), flush=True)


if __name__ == "__main__":
    main()
