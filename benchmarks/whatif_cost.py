"""What recording costs a sidecar: CPU time a request, with it and without.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.whatif_cost`.
One process of sidecar, endpoint and callers serves turns with the recorder and without; what the
pairs differ by, at the median, is set against the CPU time that the system books on a sidecar's
process for a request. The recorder alone is timed too: its calls for a request of one attempt.
"""

from __future__ import annotations

import json
import os
import random
import statistics
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from benchmarks.metrics_cost import measure_request_rate
from tests.process import Process, free_port, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import Endpoint, FakeDiscovery, run_sidecar
from woadyard.interface import OK, Arrival, Outcome, Send
from woadyard.net.recorder import Recorder, RecordSettings

REQUESTS, TURNS, ALONE = 500, 60, 100_000
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """By the scheduler's count where there is one (ns), else by the clock's ticks."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except OSError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


def recorder_cpu_us(sample: float) -> float:
    """CPU µs of the recorder's calls for one request, without a sidecar around."""
    made = Recorder(RecordSettings(sample=sample), "s", 1, 0)
    told = [
        (Arrival(rid, 0, rid), Send(rid, 1 << 60, 9), Outcome(rid, 0, 1 << 60, OK, 900, True))
        for rid in range(ALONE)
    ]
    began = time.process_time()
    for rid, (arrival, send, outcome) in enumerate(told):
        made.request_accepted(rid, arrival)
        made.attempt_started(rid, send)
        made.request_answered(rid + 900, rid, 200)
        made.attempt_ended(rid + 900, outcome)
    return (time.process_time() - began) / ALONE * 1e6


async def launch_sidecar(
    folder: Path, registry: FakeDiscovery, endpoint: Endpoint, **changes: Any
) -> tuple[Process, int]:
    folder.mkdir()
    port, door = free_port(), free_port()
    environ = sidecar_environ(folder, registry, endpoint, **changes)
    environ |= {"LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}"}
    process = await start_sidecar(environ)
    await wait_until_ready(door)
    return process, port


async def measure_sidecar_process() -> tuple[float, dict[str, Any]]:
    """CPU µs a request of a sidecar's process without `record`, and memory with and without."""
    endpoint, registry, memory = Endpoint(), FakeDiscovery(), {}
    with TemporaryDirectory() as name:
        async with await endpoint.start(), await registry.start():
            parts: dict[str, dict[str, Any]] = {"record": {"record": {}}, "off": {}}
            for kind, changes in parts.items():
                process, port = await launch_sidecar(Path(name) / kind, registry, endpoint, **changes)
                memory[f"rss_kb_{kind}"] = _rss_kb(process.pid)
                await measure_request_rate(port, REQUESTS)
                before = cpu_s(process.pid)
                await measure_request_rate(port, 4 * REQUESTS)
                took = (cpu_s(process.pid) - before) / (4 * REQUESTS) * 1e6
                memory[f"rss_kb_{kind}_after"] = _rss_kb(process.pid)
                process.terminate()
                await process.wait()
    return took, memory


async def measure_recording_cost() -> list[float]:
    """What recording adds to a request, CPU µs, in each pair of turns of one process."""
    recorder, added = Recorder(RecordSettings(), "s", 1, 0), []
    async with run_sidecar(Endpoint()) as one:
        await measure_request_rate(one.port, REQUESTS)
        for turn in range(TURNS):
            took: dict[bool, float] = {}
            for on in random.Random(turn).sample((False, True), 2):
                one.driver.observer = recorder if on else None
                before = time.process_time()
                await measure_request_rate(one.port, REQUESTS)
                took[on] = (time.process_time() - before) / REQUESTS * 1e6
            added.append(took[True] - took[False])
    return added


async def main() -> None:
    base, memory = await measure_sidecar_process()
    added = await measure_recording_cost()
    low, middle, high = statistics.quantiles(added, n=4)
    told = {
        "sidecar_us_a_request": round(base, 1), "recording_adds_us": round(middle, 2),
        "quartiles_us": [round(low, 2), round(high, 2)], "ratio": round(middle / base, 4), **memory,
        "recorder_alone_us": round(min(recorder_cpu_us(1.0) for _ in range(3)), 2),
        "recorder_alone_a_tenth_us": round(min(recorder_cpu_us(0.1) for _ in range(3)), 2),
        "load_1min": os.getloadavg()[0],
    }  # fmt: skip
    print(json.dumps(told))


def _rss_kb(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))


if __name__ == "__main__":
    import uvloop

    uvloop.run(main())
