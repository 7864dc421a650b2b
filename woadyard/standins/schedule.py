"""Fault schedules: which proxy gets which fault and when, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence

from woadyard.standins.proxy import CUT, DELAY, DROP, HERE, PASS, RESET, THERE, Fault, FaultProxy

# Entries of (seconds from the start, name of the proxy, its fault from then on).
Schedule = Sequence[tuple[float, str, Fault]]
DEFAULT_FAULTS = (
    Fault(DROP), Fault(DELAY, (0.1, 3.0)), Fault(CUT), Fault(RESET),
    Fault(DROP, direction=THERE), Fault(DROP, direction=HERE),
)  # fmt: skip


def random_schedule(
    seed: int,
    proxy_names: Sequence[str],
    duration_s: float,
    interval_s: float = 1.0,
    faults: Sequence[Fault] = DEFAULT_FAULTS,
) -> Schedule:
    """Every `interval_s`, give a random proxy a random fault or none; at `duration_s` remove all faults."""
    rng = random.Random(seed)
    times_s = [n * interval_s for n in range(max(1, int(duration_s / interval_s)))]
    steps = [(at_s, rng.choice(proxy_names), rng.choice((Fault(PASS), *faults))) for at_s in times_s]
    return [*steps, *((duration_s, proxy_name, Fault(PASS)) for proxy_name in proxy_names)]


async def play_schedule(schedule: Schedule, proxies: Mapping[str, FaultProxy]) -> None:
    """Set the faults on the proxies at their times; return after the last."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for at_s, proxy_name, fault in schedule:
        await asyncio.sleep(max(0.0, start_s + at_s - loop.time()))
        proxies[proxy_name].set_fault(fault)
