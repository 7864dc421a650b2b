"""The part `control`: measures the control plane of fleets of several sizes, phase by phase."""

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
from benchmarks.scale.phases import PHASES, REGIONS, log_progress
from benchmarks.scale.points import Point
from benchmarks.scale.world import World, raise_descriptor_limit
from woadyard.errors import StateError

FLEET_TIMEOUT_S = 240.0  # for all phases of one size


async def run_fleet(
    out: Path, size: int, turn: int, run: str, chosen_phases: Sequence[str], regional: bool = False
) -> None:
    """Measures a fleet of one size. Raises StateError if it fails or exceeds `FLEET_TIMEOUT_S`."""
    with TemporaryDirectory(prefix="woadyard-scale-") as folder:
        try:
            async with (
                asyncio.timeout(FLEET_TIMEOUT_S),
                World(Path(folder), size, regional=regional) as world,
            ):
                async for result in phases.run_phases(world, chosen_phases):
                    measured_points = figures.phase_points(run, turn, world, result)
                    points.append_points(out, measured_points)
                    print_phase(result.phase, measured_points)
        except TimeoutError:
            raise StateError(
                f"size {size} timed out", "run one phase alone; check the machine's load"
            ) from None


def print_phase(phase: str, measured_points: Sequence[Point]) -> None:
    """Prints the phase's points, and whether the driver was too late for them to be valid."""
    if measured_points:
        first = measured_points[0]
        lateness = f"the driver's event loops ran {first.driver_lag_p99_ms} ms late (p99)"
        log_progress(
            "VOID" if first.is_void else "fine",
            f"{phase}: {lateness}, {first.driver_cpu} of a core; load {first.load}",
        )
    for point in measured_points:
        log_progress(
            f"  {point.phase:8} {point.role:8} {point.metric:26} {point.value:>14.6g} "
            f"{point.unit}  {point.note}"
        )


async def run_all_sizes(out: Path, sizes: Sequence[int], turns: int, chosen_phases: Sequence[str]) -> None:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    run = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
    for turn in range(1, turns + 1):
        for size in sizes:
            log_progress(f"size {size}, turn {turn}, load {os.getloadavg()[0]:.2f}")
            if single_region_phases := [phase for phase in chosen_phases if phase != REGIONS]:
                await run_fleet(out, size, turn, run, single_region_phases)
            if (
                REGIONS in chosen_phases
            ):  # in a fleet of its own, so that the delaying proxies affect no other phase
                await run_fleet(out, size, turn, run, [REGIONS], regional=True)


def measure(out: Path, sizes: Sequence[int], turns: int, chosen_phases: Sequence[str] = PHASES) -> None:
    """Appends the points to `out`.

    Raises KeyboardInterrupt after SIGINT or SIGTERM, once all processes have ended."""
    if warning := raise_descriptor_limit():
        log_progress("WARNING:", warning)
    try:
        uvloop.run(run_all_sizes(out, sizes, turns, chosen_phases))
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
