"""What a running sidecar records comes whole through the door, over a link that is cut and reset."""

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
from woadyard.whatif import doors
from woadyard.whatif.doors import Door
from woadyard.whatif.trace import read_trace

ASKED = 400


async def big_or_small(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(body=b"x" * random.Random(len(endpoint.received)).randrange(10)))


def test_a_recording_comes_whole_through_a_link_that_is_cut_and_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(doors, "TRIES_MOST", 1_000)

    async def test() -> None:
        endpoints, registry = [Endpoint(big_or_small) for _ in range(3)], FakeDiscovery()
        for one in (*endpoints, registry):
            await one.start()
        door, port = free_port(), free_port()
        environ = {
            **sidecar_environ(tmp_path, registry, *endpoints, record={"memory-kb": 1024}),
            "LB_CONSOLE": f"127.0.0.1:{door}", "LB_LISTEN": f"127.0.0.1:{port}",
        }  # fmt: skip
        raw = json.loads(Path(environ["LB_CONFIG"]).read_text())
        raw["known"]["instances"] = [one.entry(f"s-{n}") for n, one in enumerate(endpoints)]
        Path(environ["LB_CONFIG"]).write_text(json.dumps(raw))
        process = await start_sidecar(environ)
        try:
            await wait_until_ready(door)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for number in range(ASKED):
                writer.write(http_request(rid=f"r{number}"))
                await read_message(reader)
            proxy = FaultProxy(target=door)
            await proxy.start()
            fetched, chance, ended = Door(f"127.0.0.1:{proxy.port}"), random.Random(3), asyncio.Event()

            async def trouble() -> None:
                while not ended.is_set():
                    proxy.fault(chance.choice((PASS, CUT, RESET)))
                    await asyncio.sleep(0.03)

            troubled = asyncio.create_task(trouble())
            async with aiohttp.ClientSession() as session:
                trace = read_trace(await fetched.pull(session, chance))
            ended.set()
            await troubled
            assert [one.request for one in trace.requests] == list(range(1, ASKED + 1))
            assert all(one.status == 200 and one.tries[-1].outcome == OK for one in trace.requests)
            assert sum(len(one.tries) for one in trace.requests) == sum(
                len(one.received) for one in endpoints
            )
            assert trace.started.sidecar == "n1" and trace.dropped_bytes == 0
        finally:
            process.kill()
            await process.wait()

    run_test(test())


def test_a_door_that_is_gone_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(doors, "TRIES_MOST", 2)

    async def test() -> None:
        async with aiohttp.ClientSession() as session:
            with pytest.raises(PeerError) as failed:
                await Door(f"127.0.0.1:{free_port()}").pull(session, random.Random(1))
        assert failed.value.remedy

    run_test(test())
