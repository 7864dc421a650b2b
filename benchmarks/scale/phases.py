"""What the fleet goes through, each phase measured from its begin to its end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass

from benchmarks.scale import talk
from benchmarks.scale.meter import CpuPeaks, LoopLag, ProcessUsage, process_usage
from benchmarks.scale.talk import Tally
from benchmarks.scale.world import World, running
from woadyard.errors import StateError

LEASES, QUIET, CHANGE, BEGIN, ZONE, WRITER, RESTART, REGIONS = PHASES = (
    "leases", "quiet", "change", "begin", "zone", "writer", "restart", "regions",
)  # fmt: skip
LENGTHS = {
    LEASES: 8.0, QUIET: 12.0, CHANGE: 12.0, BEGIN: 6.0, ZONE: 12.0, WRITER: 12.0, RESTART: 8.0, REGIONS: 8.0,
}  # fmt: skip
SETTLE_S = 4.0  # the first reports and their acknowledgements
WITHIN_S = 20.0  # for a change to be in force everywhere
CHANGE_S = 1.0
AGAIN_S = 0.02
DRAINED = 3  # the zone that goes and comes back, by its place


@dataclass
class Asked:
    """A change: its version (0: not taken), and when it was asked for, s of the steady clock."""

    version: int
    at: float
    what: str = "change"


@dataclass
class Measured:
    phase: str
    seconds: float
    before: dict[str, ProcessUsage]
    after: dict[str, ProcessUsage]
    counts_before: dict[str, dict[str, float]]  # the services' own, by process
    counts_after: dict[str, dict[str, float]]
    peaks: dict[str, float]
    tallies: list[Tally]
    asked: list[Asked]
    missing: int  # hollow sidecars' endpoints that a replica does not list at the end
    driver_lag_ms: float
    driver_cpu: float
    load: float


During = Callable[[World, float], Awaitable[list[Asked]]]


def say(*words: object) -> None:
    print(time.strftime("%H:%M:%S", time.gmtime()), *words, file=sys.stderr, flush=True)


async def measured(world: World, phase: str, during: During, length_s: float) -> Measured:
    """`during` within the phase, which lasts `length_s` or as long as that takes."""
    say(f"size {world.size}: {phase}")
    lag, peaks = LoopLag(), CpuPeaks(dict(world.pids()))
    counts = await _counts(world)
    await world.all(talk.MARK)
    before, began, cpu = _used(world), time.monotonic(), time.process_time()
    async with running(lag.watch()), running(peaks.watch()):
        asked = await during(world, length_s)
        await asyncio.sleep(max(0.0, began + length_s - time.monotonic()))
        after, seconds = _used(world), time.monotonic() - began
        driver_cpu = (time.process_time() - cpu) / seconds
    tallies = await world.tell([one.version for one in asked if one.version])
    found = Measured(
        phase, seconds, before, after, counts, await _counts(world), peaks.peak_cpu, tallies, asked,
        world.hollow - len(await world.listed(world.replicas[0])),
        max([lag.p99_ms(), *(one.lag_p99_ms for one in tallies)]),
        max([driver_cpu, *(one.cpu_s / one.seconds for one in tallies)]),
        os.getloadavg()[0],
    )  # fmt: skip
    world.check()
    return found


def _used(world: World) -> dict[str, ProcessUsage]:
    found = {}
    for name, pid in world.pids():
        with contextlib.suppress(OSError):  # the writer, where it was killed
            found[name] = process_usage(pid)
    return found


async def _counts(world: World) -> dict[str, dict[str, float]]:
    found = {"writer": await world.metrics(world.writer)}
    for n, one in enumerate(world.replicas):
        found[f"replica-{n}"] = await world.metrics(one)
    return found


async def begin(world: World) -> None:
    """All registered, watching and, the real ones, serving; the hollow ones report not yet."""
    say(f"size {world.size}: begins")
    await world.all(talk.LEASE)
    if missing := await unlisted(world):
        raise StateError(f"{missing} endpoints not listed in {WITHIN_S} s", "see the writer's log")
    await world.all(talk.WATCH)
    version = await world.version()
    if (held := await world.until(version, WITHIN_S)) < world.hollow:
        raise StateError(f"{held} of {world.hollow} sidecars got the first list", "see the replicas' logs")
    await world.begin_real()


async def unlisted(world: World) -> int:
    """How many endpoints the writer does not list, once it is none or after `WITHIN_S`."""
    began = time.monotonic()
    while missing := world.ids - await world.listed(world.writer):
        if time.monotonic() - began > WITHIN_S:
            break
        await asyncio.sleep(AGAIN_S)
    return len(missing)


async def report(world: World) -> None:
    await world.all(talk.REPORT)
    await asyncio.sleep(SETTLE_S)


# --- What happens within a phase ------------------------------------------------------


async def nothing(world: World, length_s: float) -> list[Asked]:
    return []


async def changes(world: World, length_s: float) -> list[Asked]:
    """One a second, the last of them early enough to be in force by the end."""
    asked: list[Asked] = []
    began = time.monotonic()
    for n in range(int(length_s / CHANGE_S)):
        await asyncio.sleep(max(0.0, began + n * CHANGE_S - time.monotonic()))
        asked.append(Asked(*await world.change()))
    await world.until(max(one.version for one in asked), WITHIN_S)
    return asked


async def begin_anew(world: World, length_s: float) -> list[Asked]:
    """All watchers at once, without a list."""
    version, at = await world.version(), time.monotonic()
    await world.all(talk.BEGIN)
    await world.until(version, WITHIN_S)
    return [Asked(version, at, "begin")]


async def zone(world: World, length_s: float) -> list[Asked]:
    """Its endpoints leave the list at once, and half of the phase later are back at once."""
    began = time.monotonic()
    await world.all(talk.LEAVE, zone=DRAINED)
    gone = Asked(await world.version(), began, "gone")
    await world.until(gone.version, WITHIN_S)
    await asyncio.sleep(max(0.0, began + length_s / 2 - time.monotonic()))
    at = time.monotonic()
    await world.all(talk.COMEBACK, zone=DRAINED)
    await unlisted(world)  # those that are missing even then are in the figures
    back = Asked(await world.version(), at, "back")
    await world.until(back.version, WITHIN_S)
    return [gone, back]


async def writer_killed(world: World, length_s: float) -> list[Asked]:
    """Killed at once, and not replaced; a change a second is asked for all the same."""
    world.writer.process.kill()
    await world.writer.wait_exit()
    asked: list[Asked] = []
    began = time.monotonic()
    for n in range(int(length_s / CHANGE_S)):
        await asyncio.sleep(max(0.0, began + n * CHANGE_S - time.monotonic()))
        asked.append(Asked(*await world.change()))
    return asked


async def writer_back(world: World, length_s: float) -> list[Asked]:
    """Started on its data; a change is asked for until it is taken."""
    began = time.monotonic()
    world.writer.start()
    while True:
        version, _ = await world.change()
        if version:
            break
        if time.monotonic() - began > WITHIN_S:
            raise StateError("the writer that was started anew takes no change", "see its log")
        await asyncio.sleep(AGAIN_S)
    await world.until(version, WITHIN_S)
    return [Asked(version, began, "restart")]


DURING: dict[str, During] = {
    LEASES: nothing, QUIET: nothing, CHANGE: changes, BEGIN: begin_anew, ZONE: zone,
    WRITER: writer_killed, RESTART: writer_back, REGIONS: changes,
}  # fmt: skip


async def play(world: World, phases: Sequence[str] = PHASES) -> AsyncIterator[Measured]:
    """Those of the phases, in their order."""
    await begin(world)
    reporting = False
    for phase in PHASES:
        if phase not in phases:
            continue
        if phase != LEASES and not reporting:
            reporting = True
            await report(world)
        yield await measured(world, phase, DURING[phase], LENGTHS[phase])
