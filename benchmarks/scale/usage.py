"""What a process uses, as the system books it: processor time of all its threads, and memory."""

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
    """Processor time of all threads of a process so far, s; by the scheduler's count (ns) where there
    is one, else by the clock's ticks. A thread that ended is missed by the first: none here does."""
    try:
        threads = list(Path(f"/proc/{pid}/task").iterdir())
        return sum(int((one / "schedstat").read_text().split()[0]) for one in threads) / 1e9
    except FileNotFoundError:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Resident memory of a process now."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def run_name() -> str:
    """Of one call of a measurer: its start, UTC."""
    return datetime.now(UTC).strftime("%Y%m%dT%H%M%S")


def load_1min() -> float:
    return round(os.getloadavg()[0], 2)


def log_progress(text: str) -> None:
    """Progress, for who waits."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def print_point(point: Point) -> None:
    """A point as it was measured, and whether it counts."""
    void = "  VOID: the driver was the limit" if point.is_void else ""
    at = f"{point.role} {point.phase} at {point.size:g} {point.size_unit}, turn {point.turn}"
    log_progress(f"{at}: {point.metric} {point.value:.6g} {point.unit}{void}")


class StealTime:
    """The part of the cores' time that the host of a virtual machine gave to others, since the begin."""

    def __init__(self) -> None:
        self.start_ticks = self._read_ticks()

    def _read_ticks(self) -> list[int]:
        return [int(one) for one in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]

    def share(self) -> float:
        spent = [now - then for now, then in zip(self._read_ticks(), self.start_ticks, strict=True)]
        return spent[7] / max(1, sum(spent))


class LoopMeter:
    """How late the loop of this process comes: a task that wants to run each `EVERY_S`."""

    INTERVAL_S = 0.005

    def __init__(self) -> None:
        self.lag_us = HdrHistogram(1, 60_000_000, 3)
        self.start_s, self.start_cpu_s = time.perf_counter(), time.process_time()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            due = time.perf_counter() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            self.lag_us.record_value(max(1, int((time.perf_counter() - due) * 1e6)))

    def stop(self) -> tuple[float, float]:
        """Lag p99, ms, and this process's share of a core since the begin."""
        self.task.cancel()
        share = (time.process_time() - self.start_cpu_s) / (time.perf_counter() - self.start_s)
        return self.lag_us.get_value_at_percentile(99.0) / 1e3, share
