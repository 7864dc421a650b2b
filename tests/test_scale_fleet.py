"""The scale run's driver: hollow sidecars beside a real writer and replicas. Counts and orders, no speeds."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.scale import __main__ as command
from benchmarks.scale import control, figures, phases, points, talk
from benchmarks.scale.fleet_names import REGIONS, ZONES, list_entry, region_index, sidecar_name, zone_name
from benchmarks.scale.phases import CHANGE, WRITER
from benchmarks.scale.world import World
from woadyard.net.endpoint_table import PHASES

ROOT = Path(__file__).parent.parent
SIZE, TTL_MS = 40, 3000


async def ledger(world: World) -> int:
    """Attempts in the writer's ledger, of the hollow sidecars."""
    told = json.loads(await world.call(world.writer, "GET", "/registry/audit/acted?build=0-1-0"))
    hollow = {sidecar_name(n) for n in range(world.hollow)}
    return sum(one["attempts"] - one["unsent"] for one in told["spans"] if one["name"] in hollow)


async def test_all_are_told_of_each_change_and_no_report_is_lost(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real=1, ttl_ms=TTL_MS) as world:
        await phases.begin(world)
        assert await world.listed(world.replicas[0]) <= world.ids == await world.listed(world.writer)
        await phases.report(world)
        found = await phases.measured(world, CHANGE, phases.changes, 2.0)
        assert [one.version > 0 for one in found.asked] == [True, True]
        for tally in found.tallies:  # in force everywhere, and in the changes' order
            assert all(0 < first <= second for first, second in zip(*tally.heard, strict=True))
        made = figures.phase_points("run", 1, world, found)
        told = {(one.role, one.metric): one for one in made}
        assert told["lists", "told_share"].value == 1.0 and told["leases", "missing"].value == 0
        assert {"writer", "replica", "control", "sidecar", "audit"} <= {role for role, _ in told}
        assert told["control", "lists_bytes_in_per_s"].value > 0
        points.append_points(tmp_path / "points.jsonl", made)
        assert list(points.read_points([tmp_path / "points.jsonl"])) == made
        late = figures.phase_points("run", 1, world, replace(found, driver_lag_ms=50.1))
        assert all(one.is_void for one in late)

        gone = await phases.zone(world, 1.0)
        assert [one.what for one in gone] == ["gone", "back"] and gone[0].version < gone[1].version
        assert await world.listed(world.writer) == world.ids

        attempts = sum(one.count for one in await world.all(talk.STILL))
        while await ledger(world) < attempts:
            await asyncio.sleep(0.05)
        assert await ledger(world) == attempts


async def test_a_writer_that_is_killed_takes_no_change_and_its_list_stays(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real=0, ttl_ms=TTL_MS) as world:
        await phases.begin(world)
        before = await world.version()
        found = await phases.measured(world, WRITER, phases.writer_killed, 2.0)
        assert [one.version for one in found.asked] == [0, 0] and found.missing == 0
        told = {
            one.metric: one.value
            for one in figures.phase_points("run", 1, world, found)
            if one.role == "lists"
        }
        assert told == {"told_share": 0.0}
        (back,) = await phases.writer_back(world, 1.0)
        assert back.version > before
        assert await world.until(back.version, 30.0) == world.hollow
        assert await world.listed(world.writer) == world.ids


async def test_other_regions_hear_of_a_change_over_a_link_with_delay(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real=0, ttl_ms=TTL_MS, regional=True) as world:
        await phases.begin(world)
        (change,) = await phases.changes(world, 1.0)
        (tally,) = await world.tell([change.version])
    least = [min(at for n, at in enumerate(tally.heard[0]) if region_index(n) == place) for place in range(3)]
    assert len(REGIONS) == 3
    assert least[0] > change.at and least[1] > change.at + 0.040 and least[2] > change.at + 0.085


def children(pid: int) -> list[int]:
    found = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(one) for one in found]


async def test_an_interrupt_leaves_no_process_and_no_file(tmp_path: Path) -> None:
    out = tmp_path / "points.jsonl"
    words = ["-m", "benchmarks.scale", "run", "control", "quiet", "--sizes", str(SIZE), "--out", str(out)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *words, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )  # fmt: skip
    assert process.stderr is not None
    while b"quiet" not in await process.stderr.readline():
        assert process.returncode is None
    started = children(process.pid)
    assert len(started) > 6  # writer, replicas, endpoints, sidecars and hollow ones
    process.send_signal(signal.SIGINT)
    _, told = await process.communicate()
    assert process.returncode == 130 and b"interrupted; the points" in told
    assert not [pid for pid in started if Path("/proc", str(pid)).exists()]
    assert list(tmp_path.iterdir()) == []


def test_parts_and_sizes_are_checked(capsys: pytest.CaptureFixture[str]) -> None:
    for words in (["run", "nothing"], ["run", "--sizes", "1"], ["run", "--sizes", "a"], ["walk"]):
        with pytest.raises(SystemExit):
            command.main(words)
    assert "invalid choice: 'nothing'" in capsys.readouterr().err


def test_phases_of_control_are_chosen(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    called: list[tuple[object, ...]] = []
    monkeypatch.setattr(control, "measure", lambda *told: called.append(told))
    out = tmp_path / "x.jsonl"
    assert command.main(["run", "control", "quiet", "zone", "--sizes", "20,30", "--out", str(out)]) == 0
    assert command.main(["run", "control", "--turns", "2"]) == 0
    assert called == [
        (out, [20, 30], 1, ("quiet", "zone")),
        (Path("docs/capacity/control.jsonl"), [100, 200, 400, 700, 1100], 2),
    ]


def test_a_part_that_counts_by_something_else_has_sizes_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    called: list[tuple[object, ...]] = []
    for part in command.PARTS:
        monkeypatch.setattr(command.load_module(part), "measure", lambda *told: called.append(told))
    assert command.main(["run"]) == 0
    assert len(called) == len(command.PARTS)
    sizes = {str(out): list(sizes) for out, sizes, _ in called}  # type: ignore[call-overload]
    assert sizes["docs/capacity/control.jsonl"] == [100, 200, 400, 700, 1100]
    assert sizes["docs/capacity/path.jsonl"] == [9, 60, 1100]
    assert max(sizes["docs/capacity/retries.jsonl"]) == 26


def test_entries_are_as_the_product_takes_them() -> None:
    assert len({list_entry(n)["instanceId"] for n in range(1100)}) == 1100
    assert sorted({zone_name(n) for n in range(1100)}) == sorted(ZONES) and len(ZONES) == 10
    assert all(list_entry(n)["lifecycle"] in PHASES for n in range(1100))
