"""A trace fetched from a running sidecar is complete, though the connection is cut and reset."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

import aiohttp
import pytest

from tests.faults import CUT, PASS, RESET, FaultProxy
from tests.process import free_port, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import (
    Endpoint,
    FakeDiscovery,
    Message,
    Writer,
    http_request,
    http_response,
    read_message,
    run_test,
)
from woadyard.errors import PeerError
from woadyard.interface import OK
from woadyard.whatif import trace_fetcher
from woadyard.whatif.trace import read_trace
from woadyard.whatif.trace_fetcher import TraceFetcher

REQUESTS = 400


async def send_body_of_random_size(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(body=b"x" * random.Random(len(endpoint.received)).randrange(10)))


def test_trace_is_fetched_completely_over_a_connection_that_is_cut_and_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(trace_fetcher, "MAX_FAILED_ATTEMPTS", 1_000)

    async def test() -> None:
        endpoints, registry = [Endpoint(send_body_of_random_size) for _ in range(3)], FakeDiscovery()
        for server in (*endpoints, registry):
            await server.start()
        admin_port, port = free_port(), free_port()
        environ = {
            **sidecar_environ(tmp_path, registry, *endpoints, record={"memory-kb": 1024}),
            "LB_CONSOLE": f"127.0.0.1:{admin_port}", "LB_LISTEN": f"127.0.0.1:{port}",
        }  # fmt: skip
        raw = json.loads(Path(environ["LB_CONFIG"]).read_text())
        raw["known"]["instances"] = [endpoint.entry(f"s-{n}") for n, endpoint in enumerate(endpoints)]
        Path(environ["LB_CONFIG"]).write_text(json.dumps(raw))
        process = await start_sidecar(environ)
        try:
            await wait_until_ready(admin_port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for number in range(REQUESTS):
                writer.write(http_request(rid=f"r{number}"))
                await read_message(reader)
            proxy = FaultProxy(target_port=admin_port)
            await proxy.start()
            fetcher, rng, stop = (TraceFetcher(f"127.0.0.1:{proxy.port}"), random.Random(3), asyncio.Event())

            async def inject_faults() -> None:
                while not stop.is_set():
                    proxy.set_fault(rng.choice((PASS, CUT, RESET)))
                    await asyncio.sleep(0.03)

            faults = asyncio.create_task(inject_faults())
            async with aiohttp.ClientSession() as session:
                trace = read_trace(await fetcher.fetch(session, rng))
            stop.set()
            await faults
            assert [recorded.request for recorded in trace.requests] == list(range(1, REQUESTS + 1))
            assert all(
                recorded.status == 200 and recorded.tries[-1].outcome == OK for recorded in trace.requests
            )
            assert sum(len(recorded.tries) for recorded in trace.requests) == sum(
                len(endpoint.received) for endpoint in endpoints
            )
            assert trace.started.sidecar == "n1" and trace.dropped_bytes == 0
        finally:
            process.kill()
            await process.wait()

    run_test(test())


def test_unreachable_admin_listener_raises_an_error_with_a_remedy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trace_fetcher, "MAX_FAILED_ATTEMPTS", 2)

    async def test() -> None:
        async with aiohttp.ClientSession() as session:
            with pytest.raises(PeerError) as failed:
                await TraceFetcher(f"127.0.0.1:{free_port()}").fetch(session, random.Random(1))
        assert failed.value.remedy

    run_test(test())
