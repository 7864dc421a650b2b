"""CPU time and memory of processes, steal time of the host, event loop lag, and progress messages."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from benchmarks.scale.points import Point

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process so far, in seconds.

    Uses the scheduler's statistics (ns) where the kernel has them, else clock ticks. The former leave
    out threads that have exited; the measured processes have none.
    """
    try:
        threads = list(Path(f"/proc/{pid}/task").iterdir())
        return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9
    except FileNotFoundError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def run_name() -> str:
    """Return the name of a run that starts now: the time in UTC."""
    return datetime.now(UTC).strftime("%Y%m%dT%H%M%S")


def load_1min() -> float:
    """Return the one-minute load average of the machine."""
    return round(os.getloadavg()[0], 2)


def log_progress(text: str) -> None:
    """Print a progress message with the time of day to stderr."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def print_point(point: Point) -> None:
    """Print a measured point to stderr, and whether it is void."""
    void = "  VOID: the driver was the bottleneck" if point.is_void else ""
    series = f"{point.role} {point.phase} at {point.size:g} {point.size_unit}, turn {point.turn}"
    log_progress(f"{series}: {point.metric} {point.value:.6g} {point.unit}{void}")


class StealTime:
    """Measures the share of CPU time that the host of a virtual machine gave to others since the start."""

    def __init__(self) -> None:
        self.start_ticks = self._read_ticks()

    def _read_ticks(self) -> list[int]:
        return [int(ticks) for ticks in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]

    def share(self) -> float:
        """Return the steal time since the start, as a share of all CPU time."""
        elapsed = [
            current - start for current, start in zip(self._read_ticks(), self.start_ticks, strict=True)
        ]
        return elapsed[7] / max(1, sum(elapsed))


class LoopMeter:
    """Measures this process's event loop lag, by a task due every `INTERVAL_S`, and its CPU share."""

    INTERVAL_S = 0.005

    def __init__(self) -> None:
        self.lag_us = HdrHistogram(1, 60_000_000, 3)
        self.start_s, self.start_cpu_s = time.perf_counter(), time.process_time()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            due_s = time.perf_counter() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            self.lag_us.record_value(max(1, int((time.perf_counter() - due_s) * 1e6)))

    def stop(self) -> tuple[float, float]:
        """Stop measuring; return the p99 of the lag in ms and the share of a core that this process used."""
        self.task.cancel()
        share = (time.process_time() - self.start_cpu_s) / (time.perf_counter() - self.start_s)
        return self.lag_us.get_value_at_percentile(99.0) / 1e3, share
