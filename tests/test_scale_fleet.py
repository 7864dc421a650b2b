"""The scale run's driver: hollow sidecars with a real leader and followers. Checks no speeds."""

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
from benchmarks.scale import control, figures, messages, phases, points
from benchmarks.scale.fleet_names import REGIONS, ZONES, list_entry, region_index, sidecar_name, zone_name
from benchmarks.scale.phases import CHANGE, WRITER
from benchmarks.scale.world import World
from woadyard.net.endpoint_table import PHASES

ROOT = Path(__file__).parent.parent
SIZE, TTL_MS = 40, 3000


async def attempts_in_ledger(world: World) -> int:
    """The hollow sidecars' attempts in the leader's audit ledger."""
    ledger_json = json.loads(await world.call(world.leader, "GET", "/registry/audit/acted?build=0-1-0"))
    hollow = {sidecar_name(n) for n in range(world.hollow_count)}
    return sum(span["attempts"] - span["unsent"] for span in ledger_json["spans"] if span["name"] in hollow)


async def test_every_sidecar_receives_each_change_and_no_report_is_lost(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real_count=1, ttl_ms=TTL_MS) as world:
        await phases.start_fleet(world)
        assert (
            await world.listed_hollow_ids(world.followers[0])
            <= world.hollow_ids
            == await world.listed_hollow_ids(world.leader)
        )
        await phases.start_reports(world)
        result = await phases.measure_phase(world, CHANGE, phases.change_periodically, 2.0)
        assert [one.version > 0 for one in result.list_changes] == [True, True]
        for tally in result.tallies:  # in force at every sidecar, and in the order of the changes
            assert all(0 < first <= second for first, second in zip(*tally.heard, strict=True))
        measured_points = figures.phase_points("run", 1, world, result)
        by_metric = {(one.role, one.metric): one for one in measured_points}
        assert by_metric["lists", "told_share"].value == 1.0 and by_metric["leases", "missing"].value == 0
        assert {"writer", "replica", "control", "sidecar", "audit"} <= {role for role, _ in by_metric}
        assert by_metric["control", "lists_bytes_in_per_s"].value > 0
        points.append_points(tmp_path / "points.jsonl", measured_points)
        assert list(points.read_points([tmp_path / "points.jsonl"])) == measured_points
        late_points = figures.phase_points("run", 1, world, replace(result, driver_lag_ms=50.1))
        assert all(one.is_void for one in late_points)

        changes = await phases.drain_zone(world, 1.0)
        assert [one.label for one in changes] == ["gone", "back"] and changes[0].version < changes[1].version
        assert await world.listed_hollow_ids(world.leader) == world.hollow_ids

        attempts = sum(one.count for one in await world.order_all(messages.STOP_ATTEMPTS))
        while await attempts_in_ledger(world) < attempts:
            await asyncio.sleep(0.05)
        assert await attempts_in_ledger(world) == attempts


async def test_a_killed_leader_accepts_no_change_and_its_list_survives_a_restart(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real_count=0, ttl_ms=TTL_MS) as world:
        await phases.start_fleet(world)
        version_before = await world.list_version()
        result = await phases.measure_phase(world, WRITER, phases.kill_leader, 2.0)
        assert [one.version for one in result.list_changes] == [0, 0] and result.missing_endpoints == 0
        list_metrics = {
            one.metric: one.value
            for one in figures.phase_points("run", 1, world, result)
            if one.role == "lists"
        }
        assert list_metrics == {"told_share": 0.0}
        (restart_change,) = await phases.restart_leader(world, 1.0)
        assert restart_change.version > version_before
        assert await world.wait_for_version(restart_change.version, 30.0) == world.hollow_count
        assert await world.listed_hollow_ids(world.leader) == world.hollow_ids


async def test_other_regions_receive_a_change_after_the_delay_of_their_link(tmp_path: Path) -> None:
    async with World(tmp_path, SIZE, real_count=0, ttl_ms=TTL_MS, regional=True) as world:
        await phases.start_fleet(world)
        (change,) = await phases.change_periodically(world, 1.0)
        (tally,) = await world.collect_tallies([change.version])
    earliest_s = [
        min(
            received_at_s
            for number, received_at_s in enumerate(tally.heard[0])
            if region_index(number) == region_number
        )
        for region_number in range(3)
    ]
    assert len(REGIONS) == 3
    assert (
        earliest_s[0] > change.requested_at_s
        and earliest_s[1] > change.requested_at_s + 0.040
        and earliest_s[2] > change.requested_at_s + 0.085
    )


def children(pid: int) -> list[int]:
    child_pids = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(child_pid) for child_pid in child_pids]


async def test_an_interrupt_leaves_no_process_and_no_file(tmp_path: Path) -> None:
    out = tmp_path / "points.jsonl"
    arguments = ["-m", "benchmarks.scale", "run", "control", "quiet", "--sizes", str(SIZE), "--out", str(out)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    )  # fmt: skip
    assert process.stderr is not None
    while b"quiet" not in await process.stderr.readline():
        assert process.returncode is None
    started_pids = children(process.pid)
    assert len(started_pids) > 6  # leader, followers, endpoints, real sidecars and processes of hollow ones
    process.send_signal(signal.SIGINT)
    _, error_output = await process.communicate()
    assert process.returncode == 130 and b"interrupted; the points" in error_output
    assert not [pid for pid in started_pids if Path("/proc", str(pid)).exists()]
    assert list(tmp_path.iterdir()) == []


def test_invalid_parts_sizes_and_commands_are_rejected(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in (["run", "nothing"], ["run", "--sizes", "1"], ["run", "--sizes", "a"], ["walk"]):
        with pytest.raises(SystemExit):
            command.main(arguments)
    assert "invalid choice: 'nothing'" in capsys.readouterr().err


def test_named_phases_and_options_are_passed_to_the_part(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls: list[tuple[object, ...]] = []
    monkeypatch.setattr(control, "measure", lambda *arguments: calls.append(arguments))
    out = tmp_path / "x.jsonl"
    assert command.main(["run", "control", "quiet", "zone", "--sizes", "20,30", "--out", str(out)]) == 0
    assert command.main(["run", "control", "--turns", "2"]) == 0
    assert calls == [
        (out, [20, 30], 1, ("quiet", "zone")),
        (Path("docs/capacity/control.jsonl"), [100, 200, 400, 700, 1100], 2),
    ]


def test_each_part_has_default_sizes_of_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[tuple[object, ...]] = []
    for part in command.PARTS:
        monkeypatch.setattr(command.load_module(part), "measure", lambda *arguments: calls.append(arguments))
    assert command.main(["run"]) == 0
    assert len(calls) == len(command.PARTS)
    sizes = {str(out): list(sizes) for out, sizes, _ in calls}  # type: ignore[call-overload]
    assert sizes["docs/capacity/control.jsonl"] == [100, 200, 400, 700, 1100]
    assert sizes["docs/capacity/path.jsonl"] == [9, 60, 1100]
    assert max(sizes["docs/capacity/retries.jsonl"]) == 26


def test_entries_are_distinct_and_valid_for_the_product() -> None:
    assert len({list_entry(number)["instanceId"] for number in range(1100)}) == 1100
    assert sorted({zone_name(number) for number in range(1100)}) == sorted(ZONES) and len(ZONES) == 10
    assert all(list_entry(number)["lifecycle"] in PHASES for number in range(1100))
