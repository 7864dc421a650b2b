"""The test harness leaves no process of a failed or hung test behind, and the proxy injects its faults."""

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
# Times out at once: SIGALRM is the signal that the time limit of a test uses.
HANG = "os.kill(os.getpid(), signal.SIGALRM); await asyncio.Event().wait()"


@pytest.mark.parametrize("ending", ["assert False", HANG], ids=["fails", "hangs"])
async def test_an_aborted_test_leaves_no_process(tmp_path: Path, ending: str) -> None:
    (tmp_path / "test_sample.py").write_text(SAMPLE.replace("{ending}", ending))
    arguments = ["-c", "pyproject.toml", "-p", "no:cacheprovider", str(tmp_path)]
    run = await asyncio.to_thread(
        subprocess.run, [sys.executable, "-m", "pytest", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    assert run.returncode == 1 and "1 failed" in run.stdout
    (line,) = (line for line in run.stdout.splitlines() if line.startswith("pids "))
    assert not [pid for pid in line.split()[1:] if Path("/proc", pid).exists()]


async def is_reachable(proxy: FaultProxy, within_s: float = 60.0) -> bool:
    """Whether a request through the proxy gets its response."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
            writer.write(b"GET /page HTTP/1.1\r\n\r\n")
            return b"200" in await reader.readline()
    except (OSError, TimeoutError):
        return False


async def test_each_fault_takes_effect_and_ends(lab: Lab) -> None:
    endpoint = await lab.endpoint()
    proxy = await lab.proxy(endpoint)
    faults: list[tuple[str, dict[str, Any], int]] = [  # and how many requests arrive
        (DROP, {}, 0), (DROP, {"direction": THERE}, 0), (DROP, {"direction": HERE}, 1),
        (RESET, {}, 0), (CUT, {}, 0),
    ]  # fmt: skip
    for mode, changes, arriving in faults:
        before = len(endpoint.received)
        proxy.set_fault(mode, **changes)
        if arriving:
            pending = asyncio.ensure_future(is_reachable(proxy))
            await endpoint.request_arrived.acquire()
            pending.cancel()
        else:
            assert not await is_reachable(proxy, 0.2 if mode == DROP else 60.0)
        assert len(endpoint.received) == before + arriving, (mode, changes)
        proxy.set_fault(PASS)
        assert await is_reachable(proxy)
        await endpoint.request_arrived.acquire()
    loop = asyncio.get_running_loop()
    for fault in (Fault(DELAY, (0.1, 0.2)), Fault(rate_bytes_per_s=200.0)):
        proxy.set_fault(fault)
        began = loop.time()
        assert await is_reachable(proxy) and loop.time() - began >= 0.1


async def test_bytes_after_dropped_ones_on_a_connection_are_dropped_too(lab: Lab) -> None:
    endpoint: Endpoint = await lab.endpoint()
    proxy = await lab.proxy(endpoint)
    _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    proxy.set_fault(DROP)
    writer.write(b"GET /lost HTTP/1.1\r\n")
    while not proxy.dropped_chunks:
        await asyncio.sleep(0.01)
    proxy.set_fault(PASS)
    writer.write(b"\r\nGET /after HTTP/1.1\r\n\r\n")
    assert await is_reachable(proxy) and [message.start_line.split()[1] for message in endpoint.received] == [
        "/page"
    ]


async def test_a_random_schedule_depends_on_its_seed_and_ends_without_faults() -> None:
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
def test_an_invalid_fault_is_rejected(bad: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        Fault(**{"mode": PASS, "direction": BOTH, **bad})
