"""The phases that a fleet goes through, each measured from its beginning to its end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass

from benchmarks.scale import messages
from benchmarks.scale.messages import Tally
from benchmarks.scale.meter import CpuPeaks, LoopLag, ProcessUsage, process_usage
from benchmarks.scale.world import World, background_task
from woadyard.errors import StateError

LEASES, QUIET, CHANGE, BEGIN, ZONE, WRITER, RESTART, REGIONS = PHASES = (
    "leases", "quiet", "change", "begin", "zone", "writer", "restart", "regions",
)  # fmt: skip
PHASE_LENGTHS_S = {
    LEASES: 8.0, QUIET: 12.0, CHANGE: 12.0, BEGIN: 6.0, ZONE: 12.0, WRITER: 12.0, RESTART: 8.0, REGIONS: 8.0,
}  # fmt: skip
REPORTS_SETTLE_S = 4.0  # covers the first reports and their acknowledgements
IN_FORCE_TIMEOUT_S = 20.0  # limit for a change to reach all sidecars
CHANGE_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.02
DRAINED_ZONE = 3  # index of the zone whose endpoints deregister and register again


@dataclass
class ListChange:
    """A requested list change: its version (0: not accepted) and the request time (monotonic clock, s)."""

    version: int
    requested_at_s: float
    label: str = "change"


@dataclass
class PhaseResult:
    """What was measured during one phase."""

    phase: str
    duration_s: float
    usage_before: dict[str, ProcessUsage]
    usage_after: dict[str, ProcessUsage]
    metrics_before: dict[str, dict[str, float]]  # the list services' metrics, by role
    metrics_after: dict[str, dict[str, float]]
    cpu_peaks: dict[str, float]
    tallies: list[Tally]
    list_changes: list[ListChange]
    missing_endpoints: int  # hollow sidecars' endpoints that a follower does not list at the end
    driver_lag_ms: float
    driver_cpu: float
    load_1min: float


PhaseAction = Callable[[World, float], Awaitable[list[ListChange]]]


def log_progress(*parts: object) -> None:
    print(time.strftime("%H:%M:%S", time.gmtime()), *parts, file=sys.stderr, flush=True)


async def measure_phase(world: World, phase: str, action: PhaseAction, min_duration_s: float) -> PhaseResult:
    """Measures a phase, which runs the action and lasts at least `min_duration_s`."""
    log_progress(f"size {world.size}: {phase}")
    lag, peaks = LoopLag(), CpuPeaks(dict(world.pids_by_role()))
    metrics_before = await _metrics_by_role(world)
    await world.order_all(messages.RESET_COUNTS)
    usage_before, started_at_s, cpu_before_s = _usage_by_role(world), time.monotonic(), time.process_time()
    async with background_task(lag.watch()), background_task(peaks.watch()):
        list_changes = await action(world, min_duration_s)
        await asyncio.sleep(max(0.0, started_at_s + min_duration_s - time.monotonic()))
        usage_after, duration_s = _usage_by_role(world), time.monotonic() - started_at_s
        driver_cpu = (time.process_time() - cpu_before_s) / duration_s
    tallies = await world.collect_tallies([item.version for item in list_changes if item.version])
    result = PhaseResult(
        phase, duration_s, usage_before, usage_after, metrics_before,
        await _metrics_by_role(world), peaks.peak_cpu, tallies, list_changes,
        world.hollow_count - len(await world.listed_hollow_ids(world.followers[0])),
        max([lag.p99_ms(), *(item.lag_p99_ms for item in tallies)]),
        max([driver_cpu, *(item.cpu_s / item.seconds for item in tallies)]),
        os.getloadavg()[0],
    )  # fmt: skip
    world.check_processes()
    return result


def _usage_by_role(world: World) -> dict[str, ProcessUsage]:
    usage_by_role = {}
    for role, pid in world.pids_by_role():
        with contextlib.suppress(OSError):  # the leader has ended in the phase that kills it
            usage_by_role[role] = process_usage(pid)
    return usage_by_role


async def _metrics_by_role(world: World) -> dict[str, dict[str, float]]:
    metrics_by_role = {"writer": await world.read_metrics(world.leader)}
    for n, follower in enumerate(world.followers):
        metrics_by_role[f"replica-{n}"] = await world.read_metrics(follower)
    return metrics_by_role


async def start_fleet(world: World) -> None:
    """Registers all endpoints, starts all watches and the real sidecars; hollow ones do not report yet."""
    log_progress(f"size {world.size}: starting")
    await world.order_all(messages.REGISTER)
    if missing := await wait_until_listed(world):
        raise StateError(
            f"{missing} endpoints not listed after {IN_FORCE_TIMEOUT_S} s", "see the leader's log"
        )
    await world.order_all(messages.START_WATCH)
    version = await world.list_version()
    if (updated := await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)) < world.hollow_count:
        raise StateError(
            f"{updated} of {world.hollow_count} sidecars have the first list", "see the followers' logs"
        )
    await world.start_real_sidecars()


async def wait_until_listed(world: World) -> int:
    """Waits until the leader lists all endpoints; returns how many are missing at the timeout."""
    started_at_s = time.monotonic()
    while missing := world.hollow_ids - await world.listed_hollow_ids(world.leader):
        if time.monotonic() - started_at_s > IN_FORCE_TIMEOUT_S:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return len(missing)


async def start_reports(world: World) -> None:
    await world.order_all(messages.START_REPORTS)
    await asyncio.sleep(REPORTS_SETTLE_S)


# --- Actions within a phase -----------------------------------------------------------


async def stay_idle(world: World, duration_s: float) -> list[ListChange]:
    return []


async def change_periodically(world: World, duration_s: float) -> list[ListChange]:
    """Requests a change every second, the last early enough to be in force by the end."""
    list_changes: list[ListChange] = []
    started_at_s = time.monotonic()
    for n in range(int(duration_s / CHANGE_INTERVAL_S)):
        await asyncio.sleep(max(0.0, started_at_s + n * CHANGE_INTERVAL_S - time.monotonic()))
        list_changes.append(ListChange(*await world.change_list()))
    await world.wait_for_version(max(change.version for change in list_changes), IN_FORCE_TIMEOUT_S)
    return list_changes


async def restart_watches(world: World, duration_s: float) -> list[ListChange]:
    """Restarts the watches of all hollow sidecars at once, without a list."""
    version, started_at_s = await world.list_version(), time.monotonic()
    await world.order_all(messages.RESTART_WATCH)
    await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)
    return [ListChange(version, started_at_s, "begin")]


async def drain_zone(world: World, duration_s: float) -> list[ListChange]:
    """Deregisters all endpoints of a zone at once, and registers them again after half of the phase."""
    started_at_s = time.monotonic()
    await world.order_all(messages.DEREGISTER, zone=DRAINED_ZONE)
    deregistered = ListChange(await world.list_version(), started_at_s, "gone")
    await world.wait_for_version(deregistered.version, IN_FORCE_TIMEOUT_S)
    await asyncio.sleep(max(0.0, started_at_s + duration_s / 2 - time.monotonic()))
    reregistered_at_s = time.monotonic()
    await world.order_all(messages.REREGISTER, zone=DRAINED_ZONE)
    await wait_until_listed(world)  # endpoints still missing then are counted in the result
    reregistered = ListChange(await world.list_version(), reregistered_at_s, "back")
    await world.wait_for_version(reregistered.version, IN_FORCE_TIMEOUT_S)
    return [deregistered, reregistered]


async def kill_leader(world: World, duration_s: float) -> list[ListChange]:
    """Kills the leader without a replacement, and still requests a change every second."""
    world.leader.process.kill()
    await world.leader.wait_exit()
    list_changes: list[ListChange] = []
    started_at_s = time.monotonic()
    for n in range(int(duration_s / CHANGE_INTERVAL_S)):
        await asyncio.sleep(max(0.0, started_at_s + n * CHANGE_INTERVAL_S - time.monotonic()))
        list_changes.append(ListChange(*await world.change_list()))
    return list_changes


async def restart_leader(world: World, duration_s: float) -> list[ListChange]:
    """Starts the leader on its stored data and requests a change until one is accepted."""
    started_at_s = time.monotonic()
    world.leader.start()
    while True:
        version, _ = await world.change_list()
        if version:
            break
        if time.monotonic() - started_at_s > IN_FORCE_TIMEOUT_S:
            raise StateError("the restarted leader accepts no change", "see its log")
        await asyncio.sleep(POLL_INTERVAL_S)
    await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)
    return [ListChange(version, started_at_s, "restart")]


PHASE_ACTIONS: dict[str, PhaseAction] = {
    LEASES: stay_idle, QUIET: stay_idle, CHANGE: change_periodically, BEGIN: restart_watches,
    ZONE: drain_zone, WRITER: kill_leader, RESTART: restart_leader, REGIONS: change_periodically,
}  # fmt: skip


async def run_phases(world: World, phases: Sequence[str] = PHASES) -> AsyncIterator[PhaseResult]:
    """Starts the fleet and measures the chosen phases, in the order of `PHASES`."""
    await start_fleet(world)
    reports_started = False
    for phase in PHASES:
        if phase not in phases:
            continue
        if phase != LEASES and not reports_started:
            reports_started = True
            await start_reports(world)
        yield await measure_phase(world, phase, PHASE_ACTIONS[phase], PHASE_LENGTHS_S[phase])
