"""The part `control`: the fleet's control plane at each size, phase by phase."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory

import uvloop

from benchmarks.scale import figures, phases, points
from benchmarks.scale.phases import PHASES, REGIONS, say
from benchmarks.scale.points import Point
from benchmarks.scale.world import World, descriptors
from woadyard.errors import StateError

MOST_S = 240.0  # one size, whatever happens


async def play(
    out: Path, size: int, turn: int, run: str, chosen: Sequence[str], regional: bool = False
) -> None:
    """One fleet of one size; StateError where it can't be done, or not in `MOST_S`."""
    with TemporaryDirectory(prefix="woadyard-scale-") as folder:
        try:
            async with asyncio.timeout(MOST_S), World(Path(folder), size, regional=regional) as world:
                async for found in phases.play(world, chosen):
                    told = figures.phase_points(run, turn, world, found)
                    points.append_points(out, told)
                    shown(found.phase, told)
        except TimeoutError:
            raise StateError(f"size {size} hangs", "run one phase alone; see the machine's load") from None


def shown(phase: str, told: Sequence[Point]) -> None:
    """The phase's figures, in short; and in full size where they are void."""
    if told:
        one = told[0]
        late = f"the driver's loops came {one.driver_lag_p99_ms} ms late (p99)"
        say(
            "VOID" if one.is_void else "fine", f"{phase}: {late}, {one.driver_cpu} of a core; load {one.load}"
        )
    for one in told:
        say(f"  {one.phase:8} {one.role:8} {one.metric:26} {one.value:>14.6g} {one.unit}  {one.note}")


async def all_sizes(out: Path, sizes: Sequence[int], turns: int, chosen: Sequence[str]) -> None:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    run = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
    for turn in range(1, turns + 1):
        for size in sizes:
            say(f"size {size}, turn {turn}, load {os.getloadavg()[0]:.2f}")
            if near := [one for one in chosen if one != REGIONS]:
                await play(out, size, turn, run, near)
            if REGIONS in chosen:  # a fleet of its own: the links' proxies are in no other figure
                await play(out, size, turn, run, [REGIONS], regional=True)


def measure(out: Path, sizes: Sequence[int], turns: int, chosen: Sequence[str] = PHASES) -> None:
    """Appends the points to `out`. KeyboardInterrupt after SIGINT or SIGTERM, with all ended."""
    if warning := descriptors():
        say("WARNING:", warning)
    try:
        uvloop.run(all_sizes(out, sizes, turns, chosen))
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
