"""Meters of a process's resource usage, from /proc, and of event loop lag."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

TICKS_PER_S, PAGE_BYTES = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
LAG_INTERVAL_S, PEAK_INTERVAL_S = 0.01, 1.0


@dataclass(frozen=True)
class ProcessUsage:
    """Resource usage of one process since its start; `bytes_read` includes reads from sockets."""

    cpu_s: float
    rss_bytes: int
    bytes_read: int


def process_usage(pid: int) -> ProcessUsage:
    """Read the usage of a process; raises OSError if it does not exist."""
    proc = Path("/proc", str(pid))
    stat = (proc / "stat").read_text().rpartition(")")[2].split()
    resident_bytes = int((proc / "statm").read_text().split()[1]) * PAGE_BYTES
    bytes_read = int((proc / "io").read_text().split()[1])
    return ProcessUsage((int(stat[11]) + int(stat[12])) / TICKS_PER_S, resident_bytes, bytes_read)


class LoopLag:
    """Histogram of how late the event loop runs a task that is due every `LAG_INTERVAL_S`."""

    def __init__(self) -> None:
        self.lag_us = HdrHistogram(1, 600_000_000, 3)

    async def watch(self) -> None:
        """Record the lag until cancelled."""
        due_s = time.monotonic()
        while True:
            due_s += LAG_INTERVAL_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            lag_s = time.monotonic() - due_s
            self.lag_us.record_value(max(1, int(lag_s * 1e6)))
            if lag_s > LAG_INTERVAL_S:  # skip the missed intervals: they count as one delay
                due_s = time.monotonic()

    def p99_ms(self) -> float:
        return float(self.lag_us.get_value_at_percentile(99)) / 1e3

    def clear(self) -> None:
        self.lag_us.reset()


class CpuPeaks:
    """Greatest CPU usage of each process within one second, in CPU seconds per second."""

    def __init__(self, pids: dict[str, int]) -> None:
        self.pids = pids
        self.peak_cpu: dict[str, float] = {}

    async def watch(self) -> None:
        """Record the peaks until cancelled; skips processes that have exited."""
        previous = dict(self._cpu_by_name())
        while True:
            start_s = time.monotonic()
            await asyncio.sleep(PEAK_INTERVAL_S)
            elapsed_s, current = time.monotonic() - start_s, dict(self._cpu_by_name())
            for name in current.keys() & previous.keys():
                self.peak_cpu[name] = max(
                    self.peak_cpu.get(name, 0.0), (current[name] - previous[name]) / elapsed_s
                )
            previous = current

    def _cpu_by_name(self) -> Iterator[tuple[str, float]]:
        for name, pid in self.pids.items():
            with contextlib.suppress(OSError):
                yield name, process_usage(pid).cpu_s
