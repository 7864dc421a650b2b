"""`GET /_metrics` of the admin listener: Prometheus text that agrees with what was sent."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from tests.process import http_call, start_ready_sidecar
from tests.sockets import Endpoint, FakeDiscovery, http_request, read_message, run_test
from woadyard.ops.metric_types import MetricRegistry

REQUESTS, CONNECTIONS, IDLE_CONNECTIONS = 300, 30, 40


def samples(text: str) -> dict[str, float]:
    """Return the samples by name and labels, as `name{label=value}`."""
    values = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{key}={value}" for key, value in sorted(sample.labels.items()))
            values[f"{sample.name}{{{labels}}}" if labels else sample.name] = sample.value
    return values


async def send_requests(port: int, pending: list[int], bodies: list[bytes]) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while pending:
        writer.write(http_request(rid=f"r{pending.pop()}"))
        bodies.append((await read_message(reader)).body)
    writer.close()


def test_the_counts_agree_with_what_was_sent_under_load_and_idle_connections(tmp_path: Path) -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), FakeDiscovery()
        async with await endpoint.start(), await registry.start():
            process, port, admin_port = await start_ready_sidecar(tmp_path, registry, endpoint)
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(IDLE_CONNECTIONS)]
            pending, bodies = list(range(REQUESTS)), list[bytes]()
            load = asyncio.gather(*(send_requests(port, pending, bodies) for _ in range(CONNECTIONS)))
            while not load.done():  # under load too each response must be whole and in order
                during = samples((await http_call(admin_port, "GET", "/_metrics")).body.decode())
                assert during["woadyard_requests_total"] <= REQUESTS
            await load
            after = samples((await http_call(admin_port, "GET", "/_metrics")).body.decode())
            for _, writer in idle:
                writer.close()
            process.send_signal(signal.SIGTERM)
            await process.wait()
        assert bodies == [b"ok"] * REQUESTS and len(endpoint.received) == REQUESTS
        assert after["woadyard_requests_total"] == REQUESTS
        assert after["woadyard_answers_total{status=200}"] == REQUESTS
        assert after["woadyard_attempts_total"] == REQUESTS and after["woadyard_retries_total"] == 0
        assert after["woadyard_attempt_outcomes_total{outcome=ok}"] == REQUESTS
        assert after["woadyard_request_seconds_count"] == REQUESTS
        assert after["woadyard_list_version"] == 1

    run_test(main())


def test_the_text_is_the_same_as_that_of_the_prometheus_client() -> None:
    bounds, own, registry = (0.1, 1.0), MetricRegistry(), CollectorRegistry()
    counters = own.counter("a_b", "Text", ["x"]), Counter("a_b", "Text", ["x"], registry=registry)
    plain = own.counter("plain", "More"), Counter("plain", "More", registry=registry)
    unused = own.counter("unused", "None", ["x"]), Counter("unused", "None", ["x"], registry=registry)
    gauges = own.gauge("g", "Level"), Gauge("g", "Level", registry=registry)
    histograms = own.histogram("h", "S", bounds), Histogram("h", "S", buckets=bounds, registry=registry)
    for n in range(2):
        counters[n].labels('quo"te\\').inc()
        plain[n].inc(2.5)
        gauges[n].set(7)
        for value in (0.05, 0.1, 0.5, 3.0):
            histograms[n].observe(value)
    assert unused
    times = re.compile(r"(_created\S*) .*")
    assert times.sub(r"\1", own.render()) == times.sub(r"\1", generate_latest(registry).decode())
