"""Measures how the list service's log and state grow: `python -m benchmarks.scale.growth`.

Roles: `log`, the bytes of a log entry (a renewal, a change of the list, an audit report alone and in a batch
of 20) and the time that it takes to append it; `snapshot`, its bytes and how long it blocks the event loop;
`recovery`, the time from the start of a process until it serves, either from its own files (a snapshot and
the longest log) or as a follower without data, which receives the whole state; `told`, the bytes that a
sidecar receives over the wire: the whole list, and the changes when a zone's endpoints start draining. The
shapes of the state are those of benchmarks/scale/state.py.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from benchmarks.scale import endpoint_lists, points, state, usage
from benchmarks.scale.points import Point
from tests.lab import Lab, Program
from woadyard.audit.ledger import MAX_ROWS
from woadyard.lists.service import INSTANCES_PATH
from woadyard.lists.state import PUT, RENEW
from woadyard.registry.replicated_state import EMPTY_CHAIN
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

OUT = Path("docs/capacity/growth.jsonl")
SIZES, TURNS = (100, 200, 400, 700, 1_100), 1
ENTRY_COUNT, SNAPSHOT_COUNT, REPORT_BATCH = 40, 3, 20
RECOVERY_TIMEOUT_S, WATCH_TIMEOUT_S = 60.0, 30.0
LEASE_MS, CONCURRENT_DRAINS, MAX_LINE_BYTES = 3_600_000, 8, 16 * 1024 * 1024


@dataclass
class PointRecorder:
    """Appends the points of one size and turn to a file."""

    out: Path
    run: str
    size: int
    turn: int
    max_rows: int = MAX_ROWS  # of the audit ledger

    def add(self, role: str, phase: str, values: Mapping[str, float], note: str = "") -> None:
        """Append and print a point for each metric; the unit follows from the metric's name."""
        recorded = [
            Point(
                self.run, role, phase, self.size, metric,
                "s" if metric.endswith("_s") else "share" if metric.endswith("_share") else "bytes",
                float(value), "endpoints", self.turn, load=usage.load_1min(), note=note,
            )
            for metric, value in values.items()
        ]  # fmt: skip
        points.append_points(self.out, recorded)
        for point in recorded:
            usage.print_point(point)


def entry_cost(registry: Registry, make_entry: Callable[[int], LogEntry]) -> dict[str, float]:
    """Return the median size of `ENTRY_COUNT` log entries and the median time until one is on disk."""
    sizes, times_s = list[int](), list[float]()
    for n in range(ENTRY_COUNT):
        entry, bytes_before = make_entry(n), registry.journal.log_bytes
        start_s = time.perf_counter()
        registry.append_entry(entry)
        duration_s = time.perf_counter() - start_s
        if registry.journal.log_bytes > bytes_before:  # no snapshot has truncated the log
            sizes.append(registry.journal.log_bytes - bytes_before)
            times_s.append(duration_s)
    return {"bytes_per_record": statistics.median(sizes), "commit_p50_s": statistics.median(times_s)}


def measure_log(recorder: PointRecorder, registry: Registry) -> None:
    """Measure the cost of log entries: renewals, list changes and audit reports."""
    listed = endpoint_lists.list_entries(recorder.size)
    ids = [endpoint["instanceId"] for endpoint in listed]
    span_recorders = [state.new_span_recorder(registry, name) for name in ids[: max(REPORT_BATCH, 1)]]

    def renewal(n: int) -> LogEntry:
        return {"op": RENEW, "id": ids[n % len(ids)]}

    def change(n: int) -> LogEntry:
        entry = {**listed[n % len(listed)], "lifecycle": "draining", "weight": 1.0 - n / 1_000}
        return {"op": PUT, "entry": entry, "ttl_us": state.TTL_US}

    def report_batch(n: int, count: int) -> LogEntry:
        """The reports of `count` sidecars in an ordinary second: the open span of each continues."""
        batch = []
        for spans in span_recorders[:count]:
            spans.record_attempt(n * 1_000_000, n, 1)
            spans.record_attempt_end(n, 1, True)
            batch.append(spans.build_report(n * 1_000_000 + 500))
        for spans in span_recorders[:count]:
            spans.acknowledge([spans.last_report_number])
        return state.reports_entry(batch)

    recorder.add("log", "renewal", entry_cost(registry, renewal))
    recorder.add("log", "change", entry_cost(registry, change))
    recorder.add("log", "report", entry_cost(registry, lambda n: report_batch(n + 1, 1)))
    batch_size = min(REPORT_BATCH, len(span_recorders))
    cost = entry_cost(registry, lambda n: report_batch(n + 101, batch_size))
    per_report = {
        "bytes_per_report": cost["bytes_per_record"] / batch_size,
        "commit_p50_s": cost["commit_p50_s"],
    }
    recorder.add("log", f"reports_by_{batch_size}", per_report)


def measure_snapshot(recorder: PointRecorder, registry: Registry, shape: str) -> None:
    """Measure the size of a snapshot and how long it blocks the event loop."""
    times_s = []
    for _ in range(SNAPSHOT_COUNT):
        start_s = time.perf_counter()
        registry.journal.write_snapshot(registry.log_state)  # blocks the event loop, as after a write
        times_s.append(time.perf_counter() - start_s)
    size = registry.journal.snapshot_bytes
    pause = {"still_p50_s": statistics.median(times_s), "still_most_s": max(times_s), "bytes": size}
    recorder.add("snapshot", shape, pause)
    start_s = time.perf_counter()
    response = msgspec.json.encode(
        registry.entries_or_snapshot_after(0, EMPTY_CHAIN, "")
    )  # the response to a follower without data
    pause = {"still_p50_s": time.perf_counter() - start_s, "bytes": len(response)}
    recorder.add("snapshot", f"{shape}_for_a_replica", pause)


async def prepare_state(recorder: PointRecorder, folder: Path, shape: str) -> None:
    """Measure the log and the snapshot of a state in this process, then write its files to `folder`."""
    with TemporaryDirectory() as temporary:
        registry = state.build_registry(Path(temporary), recorder.size, shape, recorder.max_rows)
        if shape == state.SHAPES[0]:
            measure_log(recorder, registry)
        measure_snapshot(recorder, registry, shape)
        if registry.due_timer is not None:
            registry.due_timer.cancel()
    registry = state.build_registry(folder, recorder.size, shape, recorder.max_rows)
    log_bytes = state.fill_log(registry, recorder.size)
    if registry.due_timer is not None:
        registry.due_timer.cancel()
    files = {"log_bytes": log_bytes, "snapshot_bytes": registry.journal.snapshot_bytes}
    recorder.add("recovery", shape, files)


async def measure_recovery(recorder: PointRecorder, lab: Lab, shape: str) -> Program | None:
    """Measure the recovery of a leader from its files and of a follower without data; returns the leader."""
    start_s = time.perf_counter()
    leader = await lab.service("writer")
    recorder.add("recovery", shape, {"own_log_s": time.perf_counter() - start_s})
    start_s = time.perf_counter()
    follower = await lab.service("replica", leader)
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            await follower.wait_logged("following")
        duration_s = time.perf_counter() - start_s
        recorder.add("recovery", shape, {"replica_s": duration_s, "replica_reached_share": 1.0})
    except TimeoutError:
        recorder.add(
            "recovery", shape, {"replica_reached_share": 0.0}, f"not within {RECOVERY_TIMEOUT_S:g} s"
        )
    await lab.kill(follower)
    return leader


async def measure_watch(recorder: PointRecorder, lab: Lab, service: Program) -> None:
    """Measure the bytes that a watch receives: first the whole list, then the draining of a zone."""
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port, limit=MAX_LINE_BYTES)
    with closing(writer):
        writer.write(
            f"GET {INSTANCES_PATH}?watch=1&from=0 HTTP/1.1\r\nHost: list.service.local\r\n\r\n".encode()
        )
        list_bytes = len(await reader.readuntil(b"\r\n\r\n")) + len(await reader.readline())
        list_bytes += len(await reader.readline())  # after the line with the length of the chunk
        zone_entries = [
            entry
            for entry in endpoint_lists.list_entries(recorder.size)
            if entry["zone"] == endpoint_lists.ZONES[0]
        ]
        version = recorder.size + len(zone_entries)  # each put increments it
        start_s = time.perf_counter()
        watch = asyncio.ensure_future(read_until(reader, f'"generation":{version},'.encode()))
        for start in range(0, len(zone_entries), CONCURRENT_DRAINS):
            drained = [
                {**entry, "lifecycle": "draining"}
                for entry in zone_entries[start : start + CONCURRENT_DRAINS]
            ]
            await asyncio.gather(
                *(lab.register(service, entry["instanceId"], entry, LEASE_MS) for entry in drained)
            )
        drain_bytes = await watch
        duration_s = time.perf_counter() - start_s
    recorder.add("told", "whole", {"bytes_per_sidecar": list_bytes})
    recorder.add("told", "zone", {"bytes_per_sidecar": drain_bytes, "took_s": duration_s})


async def read_until(reader: asyncio.StreamReader, mark: bytes) -> int:
    """Read up to the end of the line that contains `mark`; returns the number of bytes."""
    received_bytes = 0
    async with asyncio.timeout(WATCH_TIMEOUT_S):
        while True:
            line = await reader.readline()
            assert line, "the service closed the watch"
            received_bytes += len(line)
            if mark in line:
                return received_bytes


async def measure_size(recorder: PointRecorder) -> None:
    """Measure the state of one size in both shapes."""
    for shape in state.SHAPES:
        with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
            await prepare_state(recorder, lab.folder / "writer" / "data", shape)
            service = await measure_recovery(recorder, lab, shape)
            if service is not None and shape == state.SHAPES[0]:
                await measure_watch(recorder, lab, service)


async def measure_empty_start(out: Path, run: str, turn: int) -> None:
    """Measure how long a process without data takes to start, which is part of each recovery."""
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        start_s = time.perf_counter()
        await lab.service("writer")
        duration_s = time.perf_counter() - start_s
    PointRecorder(out, run, 0, turn).add("recovery", "empty", {"own_log_s": duration_s})


def measure(
    out: Path = OUT, sizes: Sequence[int] = SIZES, turns: int = TURNS, max_rows: int = MAX_ROWS
) -> None:
    """Measure each size in each turn, and append the points as they are measured."""
    run = usage.run_name()
    for turn in range(1, turns + 1):
        asyncio.run(measure_empty_start(out, run, turn))
        for size in sizes:
            asyncio.run(measure_size(PointRecorder(out, run, size, turn, max_rows)))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.growth", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="endpoints")
    parser.add_argument("--turns", type=int, default=TURNS)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns)


if __name__ == "__main__":
    main()
