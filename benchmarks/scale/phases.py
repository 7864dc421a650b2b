"""What the fleet goes through, each phase measured from its begin to its end."""

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
from benchmarks.scale.meter import Lag, Peaks, Used, used
from benchmarks.scale.world import World, background_task
from woadyard.errors import StateError

LEASES, QUIET, CHANGE, BEGIN, ZONE, WRITER, RESTART, REGIONS = PHASES = (
    "leases", "quiet", "change", "begin", "zone", "writer", "restart", "regions",
)  # fmt: skip
PHASE_LENGTHS_S = {
    LEASES: 8.0, QUIET: 12.0, CHANGE: 12.0, BEGIN: 6.0, ZONE: 12.0, WRITER: 12.0, RESTART: 8.0, REGIONS: 8.0,
}  # fmt: skip
REPORTS_SETTLE_S = 4.0  # the first reports and their acknowledgements
IN_FORCE_TIMEOUT_S = 20.0  # for a change to be in force everywhere
CHANGE_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.02
DRAINED_ZONE = 3  # the zone that goes and comes back, by its place


@dataclass
class ListChange:
    """A change: its version (0: not taken), and when it was asked for, s of the steady clock."""

    version: int
    requested_at_s: float
    label: str = "change"


@dataclass
class PhaseResult:
    phase: str
    duration_s: float
    usage_before: dict[str, Used]
    usage_after: dict[str, Used]
    metrics_before: dict[str, dict[str, float]]  # the services' own, by process
    metrics_after: dict[str, dict[str, float]]
    cpu_peaks: dict[str, float]
    tallies: list[Tally]
    list_changes: list[ListChange]
    missing_endpoints: int  # hollow sidecars' endpoints that a replica does not list at the end
    driver_lag_ms: float
    driver_cpu: float
    load_1min: float


PhaseAction = Callable[[World, float], Awaitable[list[ListChange]]]


def log_progress(*words: object) -> None:
    print(time.strftime("%H:%M:%S", time.gmtime()), *words, file=sys.stderr, flush=True)


async def measure_phase(world: World, phase: str, during: PhaseAction, length_s: float) -> PhaseResult:
    """`during` within the phase, which lasts `length_s` or as long as that takes."""
    log_progress(f"size {world.size}: {phase}")
    lag, peaks = Lag(), Peaks(dict(world.pids_by_role()))
    counts = await _metrics_by_role(world)
    await world.order_all(messages.RESET_COUNTS)
    before, began, cpu = _usage_by_role(world), time.monotonic(), time.process_time()
    async with background_task(lag.watch()), background_task(peaks.watch()):
        asked = await during(world, length_s)
        await asyncio.sleep(max(0.0, began + length_s - time.monotonic()))
        after, seconds = _usage_by_role(world), time.monotonic() - began
        driver_cpu = (time.process_time() - cpu) / seconds
    tallies = await world.collect_tallies([one.version for one in asked if one.version])
    found = PhaseResult(
        phase, seconds, before, after, counts, await _metrics_by_role(world), peaks.most, tallies, asked,
        world.hollow_count - len(await world.listed_hollow_ids(world.followers[0])),
        max([lag.p99_ms(), *(one.lag_p99_ms for one in tallies)]),
        max([driver_cpu, *(one.cpu_s / one.seconds for one in tallies)]),
        os.getloadavg()[0],
    )  # fmt: skip
    world.check_processes()
    return found


def _usage_by_role(world: World) -> dict[str, Used]:
    found = {}
    for name, pid in world.pids_by_role():
        with contextlib.suppress(OSError):  # the writer, where it was killed
            found[name] = used(pid)
    return found


async def _metrics_by_role(world: World) -> dict[str, dict[str, float]]:
    found = {"writer": await world.read_metrics(world.leader)}
    for n, one in enumerate(world.followers):
        found[f"replica-{n}"] = await world.read_metrics(one)
    return found


async def start_fleet(world: World) -> None:
    """All registered, watching and, the real ones, serving; the hollow ones report not yet."""
    log_progress(f"size {world.size}: begins")
    await world.order_all(messages.REGISTER)
    if missing := await wait_until_listed(world):
        raise StateError(f"{missing} endpoints not listed in {IN_FORCE_TIMEOUT_S} s", "see the writer's log")
    await world.order_all(messages.START_WATCH)
    version = await world.list_version()
    if (held := await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)) < world.hollow_count:
        raise StateError(
            f"{held} of {world.hollow_count} sidecars got the first list", "see the replicas' logs"
        )
    await world.start_real_sidecars()


async def wait_until_listed(world: World) -> int:
    """How many endpoints the writer does not list, once it is none or after `WITHIN_S`."""
    began = time.monotonic()
    while missing := world.hollow_ids - await world.listed_hollow_ids(world.leader):
        if time.monotonic() - began > IN_FORCE_TIMEOUT_S:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return len(missing)


async def start_reports(world: World) -> None:
    await world.order_all(messages.START_REPORTS)
    await asyncio.sleep(REPORTS_SETTLE_S)


# --- What happens within a phase ------------------------------------------------------


async def stay_idle(world: World, length_s: float) -> list[ListChange]:
    return []


async def change_periodically(world: World, length_s: float) -> list[ListChange]:
    """One a second, the last of them early enough to be in force by the end."""
    asked: list[ListChange] = []
    began = time.monotonic()
    for n in range(int(length_s / CHANGE_INTERVAL_S)):
        await asyncio.sleep(max(0.0, began + n * CHANGE_INTERVAL_S - time.monotonic()))
        asked.append(ListChange(*await world.change_list()))
    await world.wait_for_version(max(one.version for one in asked), IN_FORCE_TIMEOUT_S)
    return asked


async def restart_watches(world: World, length_s: float) -> list[ListChange]:
    """All watchers at once, without a list."""
    version, at = await world.list_version(), time.monotonic()
    await world.order_all(messages.RESTART_WATCH)
    await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)
    return [ListChange(version, at, "begin")]


async def drain_zone(world: World, length_s: float) -> list[ListChange]:
    """Its endpoints leave the list at once, and half of the phase later are back at once."""
    began = time.monotonic()
    await world.order_all(messages.DEREGISTER, zone=DRAINED_ZONE)
    gone = ListChange(await world.list_version(), began, "gone")
    await world.wait_for_version(gone.version, IN_FORCE_TIMEOUT_S)
    await asyncio.sleep(max(0.0, began + length_s / 2 - time.monotonic()))
    at = time.monotonic()
    await world.order_all(messages.REREGISTER, zone=DRAINED_ZONE)
    await wait_until_listed(world)  # those that are missing even then are in the figures
    back = ListChange(await world.list_version(), at, "back")
    await world.wait_for_version(back.version, IN_FORCE_TIMEOUT_S)
    return [gone, back]


async def kill_leader(world: World, length_s: float) -> list[ListChange]:
    """Killed at once, and not replaced; a change a second is asked for all the same."""
    world.leader.process.kill()
    await world.leader.wait_exit()
    asked: list[ListChange] = []
    began = time.monotonic()
    for n in range(int(length_s / CHANGE_INTERVAL_S)):
        await asyncio.sleep(max(0.0, began + n * CHANGE_INTERVAL_S - time.monotonic()))
        asked.append(ListChange(*await world.change_list()))
    return asked


async def restart_leader(world: World, length_s: float) -> list[ListChange]:
    """Started on its data; a change is asked for until it is taken."""
    began = time.monotonic()
    world.leader.start()
    while True:
        version, _ = await world.change_list()
        if version:
            break
        if time.monotonic() - began > IN_FORCE_TIMEOUT_S:
            raise StateError("the writer that was started anew takes no change", "see its log")
        await asyncio.sleep(POLL_INTERVAL_S)
    await world.wait_for_version(version, IN_FORCE_TIMEOUT_S)
    return [ListChange(version, began, "restart")]


PHASE_ACTIONS: dict[str, PhaseAction] = {
    LEASES: stay_idle, QUIET: stay_idle, CHANGE: change_periodically, BEGIN: restart_watches,
    ZONE: drain_zone, WRITER: kill_leader, RESTART: restart_leader, REGIONS: change_periodically,
}  # fmt: skip


async def run_phases(world: World, phases: Sequence[str] = PHASES) -> AsyncIterator[PhaseResult]:
    """Those of the phases, in their order."""
    await start_fleet(world)
    reporting = False
    for phase in PHASES:
        if phase not in phases:
            continue
        if phase != LEASES and not reporting:
            reporting = True
            await start_reports(world)
        yield await measure_phase(world, phase, PHASE_ACTIONS[phase], PHASE_LENGTHS_S[phase])
