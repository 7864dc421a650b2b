"""Faults over time: what each link does and when, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence

from woadyard.standins.proxy import CUT, DELAY, DROP, HERE, PASS, RESET, THERE, Fault, FaultProxy

# Seconds from the start, a link's name, its fault from then on.
Schedule = Sequence[tuple[float, str, Fault]]
DEFAULT_FAULTS = (
    Fault(DROP), Fault(DELAY, (0.1, 3.0)), Fault(CUT), Fault(RESET),
    Fault(DROP, direction=THERE), Fault(DROP, direction=HERE),
)  # fmt: skip


def random_schedule(
    seed: int,
    links: Sequence[str],
    span_s: float,
    every_s: float = 1.0,
    faults: Sequence[Fault] = DEFAULT_FAULTS,
) -> Schedule:
    """Each `every_s` a link drawn at random gets a fault or is healed; at `span_s` all are healed."""
    rng = random.Random(seed)
    moments = [n * every_s for n in range(max(1, int(span_s / every_s)))]
    steps = [(at, rng.choice(links), rng.choice((Fault(PASS), *faults))) for at in moments]
    return [*steps, *((span_s, link, Fault(PASS)) for link in links)]


async def play_schedule(schedule: Schedule, proxies: Mapping[str, FaultProxy]) -> None:
    """Puts the faults on the links at their times; returns after the last."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for at_s, link, fault in schedule:
        await asyncio.sleep(max(0.0, began + at_s - loop.time()))
        proxies[link].set_fault(fault)
