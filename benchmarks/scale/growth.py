"""How the list service's log and state grow, and what that costs: `python -m benchmarks.scale.growth`.

Roles: `log`, bytes of one record (a renewal, a change of the list, a report of the audit alone and
among 20) and the time that writing it takes; `snapshot`, how long the loop stands still for one,
and its bytes; `recovery`, from the start of a process until it serves, out of its own files (a
snapshot and the longest log) and as a replica with nothing, that takes the state whole; `told`,
bytes that a sidecar is told over the wire: the list whole, and a zone's endpoints that drain. The
state's shapes are those of benchmarks/scale/state.py.
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
RECORDS, SNAPSHOTS, BATCH = 40, 3, 20
RECOVERY_S, TOLD_S = 60.0, 30.0
LEASE_MS, DRAINS_AT_ONCE, LINE_MOST = 3_600_000, 8, 16 * 1024 * 1024


@dataclass
class PointRecorder:
    """Writes the points of one size and turn."""

    out: Path
    run: str
    size: int
    turn: int
    max_rows: int = MAX_ROWS  # of the audit's ledger

    def add(self, role: str, phase: str, found: Mapping[str, float], note: str = "") -> None:
        made = [
            Point(
                self.run, role, phase, self.size, metric,
                "s" if metric.endswith("_s") else "share" if metric.endswith("_share") else "bytes",
                float(value), "endpoints", self.turn, load=usage.load_1min(), note=note,
            )
            for metric, value in found.items()
        ]  # fmt: skip
        points.append_points(self.out, made)
        for point in made:
            usage.print_point(point)


def record_cost(registry: Registry, make: Callable[[int], LogEntry]) -> dict[str, float]:
    """Of `RECORDS` records, median: bytes in the log, and time from the call until it is on disk."""
    sizes, times = list[int](), list[float]()
    for n in range(RECORDS):
        record, before = make(n), registry.journal.log_bytes
        began = time.perf_counter()
        registry.append_entry(record)
        took = time.perf_counter() - began
        if registry.journal.log_bytes > before:  # no snapshot came in between
            sizes.append(registry.journal.log_bytes - before)
            times.append(took)
    return {"bytes_per_record": statistics.median(sizes), "commit_p50_s": statistics.median(times)}


def log(notes: PointRecorder, registry: Registry) -> None:
    listed = endpoint_lists.list_entries(notes.size)
    known = [one["instanceId"] for one in listed]
    fleet = [state.spoken(registry, name) for name in known[: max(BATCH, 1)]]

    def renewal(n: int) -> LogEntry:
        return {"op": RENEW, "id": known[n % len(known)]}

    def change(n: int) -> LogEntry:
        entry = {**listed[n % len(listed)], "lifecycle": "draining", "weight": 1.0 - n / 1_000}
        return {"op": PUT, "entry": entry, "ttl_us": state.TTL_US}

    def told(n: int, many: int) -> LogEntry:
        """What each has to tell on an ordinary second: its open span went on."""
        some = []
        for spans in fleet[:many]:
            spans.record_attempt(n * 1_000_000, n, 1)
            spans.record_attempt_end(n, 1, True)
            some.append(spans.build_report(n * 1_000_000 + 500))
        for spans in fleet[:many]:
            spans.acknowledge([spans.last_report_number])
        return state.reports(some)

    notes.add("log", "renewal", record_cost(registry, renewal))
    notes.add("log", "change", record_cost(registry, change))
    notes.add("log", "report", record_cost(registry, lambda n: told(n + 1, 1)))
    many = min(BATCH, len(fleet))
    cost = record_cost(registry, lambda n: told(n + 101, many))
    each = {"bytes_per_report": cost["bytes_per_record"] / many, "commit_p50_s": cost["commit_p50_s"]}
    notes.add("log", f"reports_by_{many}", each)


def snapshot(notes: PointRecorder, registry: Registry, shape: str) -> None:
    times = []
    for _ in range(SNAPSHOTS):
        began = time.perf_counter()
        registry.journal.write_snapshot(registry.log_state)  # as after a write: the loop does nothing else
        times.append(time.perf_counter() - began)
    size = registry.journal.snapshot_bytes
    still = {"still_p50_s": statistics.median(times), "still_most_s": max(times), "bytes": size}
    notes.add("snapshot", shape, still)
    began = time.perf_counter()
    told = msgspec.json.encode(
        registry.entries_or_snapshot_after(0, EMPTY_CHAIN, "")
    )  # as a replica with nothing is answered
    still = {"still_p50_s": time.perf_counter() - began, "bytes": len(told)}
    notes.add("snapshot", f"{shape}_for_a_replica", still)


async def prepared(notes: PointRecorder, folder: Path, shape: str) -> None:
    """The files of a service with that state, after what is measured of it in this process."""
    with TemporaryDirectory() as aside:
        registry = state.made(Path(aside), notes.size, shape, notes.max_rows)
        if shape == state.SHAPES[0]:
            log(notes, registry)
        snapshot(notes, registry, shape)
        if registry.due_timer is not None:
            registry.due_timer.cancel()
    registry = state.made(folder, notes.size, shape, notes.max_rows)
    length = state.lengthen(registry, notes.size)
    if registry.due_timer is not None:
        registry.due_timer.cancel()
    files = {"log_bytes": length, "snapshot_bytes": registry.journal.snapshot_bytes}
    notes.add("recovery", shape, files)


async def recovery(notes: PointRecorder, lab: Lab, shape: str) -> Program | None:
    """The service out of its files, and a replica of it; the former, where it came up."""
    began = time.perf_counter()
    writer = await lab.service("writer")
    notes.add("recovery", shape, {"own_log_s": time.perf_counter() - began})
    began = time.perf_counter()
    replica = await lab.service("replica", writer)
    try:
        async with asyncio.timeout(RECOVERY_S):
            await replica.wait_logged("following")
        took = time.perf_counter() - began
        notes.add("recovery", shape, {"replica_s": took, "replica_reached_share": 1.0})
    except TimeoutError:
        notes.add("recovery", shape, {"replica_reached_share": 0.0}, f"not within {RECOVERY_S:g} s")
    await lab.kill(replica)
    return writer


async def told(notes: PointRecorder, lab: Lab, service: Program) -> None:
    """Bytes on a watch, as they come: first the list whole, then a zone that drains."""
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port, limit=LINE_MOST)
    with closing(writer):
        writer.write(
            f"GET {INSTANCES_PATH}?watch=1&from=0 HTTP/1.1\r\nHost: list.service.local\r\n\r\n".encode()
        )
        whole = len(await reader.readuntil(b"\r\n\r\n")) + len(await reader.readline())
        whole += len(await reader.readline())  # behind the chunk's length
        drains = [
            one for one in endpoint_lists.list_entries(notes.size) if one["zone"] == endpoint_lists.ZONES[0]
        ]
        version = notes.size + len(drains)  # each put is one
        began = time.perf_counter()
        watched = asyncio.ensure_future(until(reader, f'"generation":{version},'.encode()))
        for at in range(0, len(drains), DRAINS_AT_ONCE):
            some = [{**one, "lifecycle": "draining"} for one in drains[at : at + DRAINS_AT_ONCE]]
            await asyncio.gather(*(lab.register(service, one["instanceId"], one, LEASE_MS) for one in some))
        got = await watched
        took = time.perf_counter() - began
    notes.add("told", "whole", {"bytes_per_sidecar": whole})
    notes.add("told", "zone", {"bytes_per_sidecar": got, "took_s": took})


async def until(reader: asyncio.StreamReader, mark: bytes) -> int:
    """Bytes up to the end of the line with `mark` in it."""
    got = 0
    async with asyncio.timeout(TOLD_S):
        while True:
            line = await reader.readline()
            assert line, "the watch ended"
            got += len(line)
            if mark in line:
                return got


async def one_size(notes: PointRecorder) -> None:
    for shape in state.SHAPES:
        with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
            await prepared(notes, lab.folder / "writer" / "data", shape)
            service = await recovery(notes, lab, shape)
            if service is not None and shape == state.SHAPES[0]:
                await told(notes, lab, service)


async def empty(out: Path, run: str, turn: int) -> None:
    """What a process takes to start with nothing to read: part of each recovery."""
    with TemporaryDirectory() as folder, closing(Lab(Path(folder))) as lab:
        began = time.perf_counter()
        await lab.service("writer")
        took = time.perf_counter() - began
    PointRecorder(out, run, 0, turn).add("recovery", "empty", {"own_log_s": took})


def measure(
    out: Path = OUT, sizes: Sequence[int] = SIZES, turns: int = TURNS, max_rows: int = MAX_ROWS
) -> None:
    """Appends the points of each turn and size as they are measured."""
    run = usage.run_name()
    for turn in range(1, turns + 1):
        asyncio.run(empty(out, run, turn))
        for size in sizes:
            asyncio.run(one_size(PointRecorder(out, run, size, turn, max_rows)))


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.growth", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="endpoints")
    parser.add_argument("--turns", type=int, default=TURNS)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns)


if __name__ == "__main__":
    main()
