"""The owner of processes and proxies: nothing is left of a test that fails or hangs; the proxy's faults."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.lab import Lab
from tests.sockets import Endpoint
from woadyard.errors import ConfigError
from woadyard.standins import (
    BOTH,
    CUT,
    DELAY,
    DROP,
    HERE,
    PASS,
    RESET,
    THERE,
    Fault,
    FaultProxy,
    play_schedule,
    random_schedule,
)

ROOT = Path(__file__).parent.parent
SAMPLE = """
import asyncio, os, signal
from tests.conftest import lab

async def test_sample(lab):
    service = await lab.service()
    sidecar = await lab.sidecar("n1", [await lab.endpoint()], service)
    await lab.proxy(service)
    print("pids", service.process.pid, sidecar.process.pid)
    {ending}
"""
# Its time is up at once: the signal is the one that the limit comes with.
HANG = "os.kill(os.getpid(), signal.SIGALRM); await asyncio.Event().wait()"


@pytest.mark.parametrize("ending", ["assert False", HANG], ids=["fails", "hangs"])
async def test_a_test_that_ends_midway_leaves_no_process(tmp_path: Path, ending: str) -> None:
    (tmp_path / "test_sample.py").write_text(SAMPLE.replace("{ending}", ending))
    words = ["-c", "pyproject.toml", "-p", "no:cacheprovider", str(tmp_path)]
    run = await asyncio.to_thread(
        subprocess.run, [sys.executable, "-m", "pytest", *words], cwd=ROOT, capture_output=True, text=True
    )
    assert run.returncode == 1 and "1 failed" in run.stdout
    (line,) = (line for line in run.stdout.splitlines() if line.startswith("pids "))
    assert not [pid for pid in line.split()[1:] if Path("/proc", pid).exists()]


async def passes(proxy: FaultProxy, within_s: float = 60.0) -> bool:
    """Whether a request through the proxy gets its answer."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
            writer.write(b"GET /page HTTP/1.1\r\n\r\n")
            return b"200" in await reader.readline()
    except (OSError, TimeoutError):
        return False


async def test_each_fault_and_back(lab: Lab) -> None:
    endpoint = await lab.endpoint()
    proxy = await lab.proxy(endpoint)
    faults: list[tuple[str, dict[str, Any], int]] = [  # and what the endpoint gets of a request
        (DROP, {}, 0), (DROP, {"direction": THERE}, 0), (DROP, {"direction": HERE}, 1),
        (RESET, {}, 0), (CUT, {}, 0),
    ]  # fmt: skip
    for mode, changes, arrive in faults:
        before = len(endpoint.received)
        proxy.set_fault(mode, **changes)
        if arrive:
            asked = asyncio.ensure_future(passes(proxy))
            await endpoint.request_arrived.acquire()
            asked.cancel()
        else:
            assert not await passes(proxy, 0.2 if mode == DROP else 60.0)
        assert len(endpoint.received) == before + arrive, (mode, changes)
        proxy.set_fault(PASS)
        assert await passes(proxy)
        await endpoint.request_arrived.acquire()
    loop = asyncio.get_running_loop()
    for fault in (Fault(DELAY, (0.1, 0.2)), Fault(rate_bytes_per_s=200.0)):
        proxy.set_fault(fault)
        began = loop.time()
        assert await passes(proxy) and loop.time() - began >= 0.1


async def test_what_comes_after_lost_bytes_on_a_connection_is_lost_too(lab: Lab) -> None:
    endpoint: Endpoint = await lab.endpoint()
    proxy = await lab.proxy(endpoint)
    _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    proxy.set_fault(DROP)
    writer.write(b"GET /lost HTTP/1.1\r\n")
    while not proxy.dropped_chunks:
        await asyncio.sleep(0.01)
    proxy.set_fault(PASS)
    writer.write(b"\r\nGET /after HTTP/1.1\r\n\r\n")
    assert await passes(proxy) and [one.start_line.split()[1] for one in endpoint.received] == ["/page"]


async def test_a_drawn_schedule_is_its_seeds_and_ends_healed() -> None:
    links = [f"l{n}" for n in range(3)]
    assert (
        random_schedule(7, links, 20.0) == random_schedule(7, links, 20.0) != random_schedule(8, links, 20.0)
    )
    proxies = {link: FaultProxy() for link in links}
    await play_schedule(random_schedule(7, links, 0.05, 0.01), proxies)
    assert {proxy.current_fault for proxy in proxies.values()} == {Fault()}


@pytest.mark.parametrize(
    "bad", [{"mode": "melt"}, {"direction": "up"}, {"delay_s": (2.0, 1.0)}, {"rate_bytes_per_s": -1.0}]
)
def test_a_fault_that_is_none_is_refused(bad: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        Fault(**{"mode": PASS, "direction": BOTH, **bad})
