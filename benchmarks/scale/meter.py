"""What a process used, by the system's own counts, and how late a loop comes."""

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
    """Of one process since its start: CPU s, resident bytes, bytes read (also from sockets)."""

    cpu_s: float
    rss_bytes: int
    bytes_read: int


def process_usage(pid: int) -> ProcessUsage:
    """OSError where there is no such process."""
    proc = Path("/proc", str(pid))
    stat = (proc / "stat").read_text().rpartition(")")[2].split()
    rss = int((proc / "statm").read_text().split()[1]) * PAGE_BYTES
    read = int((proc / "io").read_text().split()[1])
    return ProcessUsage((int(stat[11]) + int(stat[12])) / TICKS_PER_S, rss, read)


class LoopLag:
    """How late a loop comes to what was due each `TICK_S`."""

    def __init__(self) -> None:
        self.lag_us = HdrHistogram(1, 600_000_000, 3)

    async def watch(self) -> None:
        """Until cancelled."""
        due = time.monotonic()
        while True:
            due += LAG_INTERVAL_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            late = time.monotonic() - due
            self.lag_us.record_value(max(1, int(late * 1e6)))
            if late > LAG_INTERVAL_S:  # what was missed is one lateness, not many small ones
                due = time.monotonic()

    def p99_ms(self) -> float:
        return float(self.lag_us.get_value_at_percentile(99)) / 1e3

    def clear(self) -> None:
        self.lag_us.reset()


class CpuPeaks:
    """The most CPU that each process took within one second, s/s."""

    def __init__(self, pids: dict[str, int]) -> None:
        self.pids = pids
        self.peak_cpu: dict[str, float] = {}

    async def watch(self) -> None:
        """Until cancelled; a process that is gone is passed over."""
        last = dict(self._cpu_by_name())
        while True:
            began = time.monotonic()
            await asyncio.sleep(PEAK_INTERVAL_S)
            took, now = time.monotonic() - began, dict(self._cpu_by_name())
            for name in now.keys() & last.keys():
                self.peak_cpu[name] = max(self.peak_cpu.get(name, 0.0), (now[name] - last[name]) / took)
            last = now

    def _cpu_by_name(self) -> Iterator[tuple[str, float]]:
        for name, pid in self.pids.items():
            with contextlib.suppress(OSError):
                yield name, process_usage(pid).cpu_s
