"""A model of the endpoints, fitted to a scene: service times, queues, cold starts, failures.

An endpoint is taken for a queue with some number of slots, first come first served (M/G/c in
Kendall's notation, arrivals as the replay brings them): an attempt that finds `n` others waits
while `n` is at least the slots, and its own service slows with those that run beside it. Slots
and slowing are fitted per machine type over what the trace reached; service times are the
empirical quantiles of attempts that did not wait. What the trace cannot tell is marked: an
endpoint with few samples goes by its type, and loads past `reach` are extrapolated.
"""

from __future__ import annotations

from collections import defaultdict
from math import inf

import msgspec
import numpy as np
from numpy.typing import NDArray
from scipy.optimize import nnls

from woadyard.interface import ERROR, FULL, NO_CONNECT, OK, RESET, TIMEOUT
from woadyard.whatif.facts import Column, cold_spans, inflight
from woadyard.whatif.scene import Scene

Floats = NDArray[np.float64]

QUANTILES = 129
# Attempts of one class at one endpoint that make a distribution of their own.
FEW = 40
# Slots are believed where they fit this much better than none.
GAIN = 0.02
SLOT_US = 200_000  # failures are looked at in spans so long
COLD_PARTS = 4
# Classes whose service goes with the hinted work at least so closely are scaled by it.
WORK_CLOSE = 0.3


class Burst(msgspec.Struct, frozen=True):
    """A span in which most attempts at an endpoint failed; `delay` µs until they did."""

    start: int
    end: int
    outcome: int
    delay: int


class Work(msgspec.Struct, frozen=True):
    """How service of one class goes with the hinted work: (work / usual) ** power."""

    power: float = 0.0
    usual: float = 1.0


class Endpoint(msgspec.Struct, frozen=True):
    """One endpoint. Times in µs; `slots` 0: no bound was seen; `most` 0: it never turned away."""

    zone: str
    slots: int
    slow: float
    quantiles: list[list[float]]  # by class
    thin: list[bool]  # by class: too few samples of its own
    most: int
    turned: float  # share turned away at `most` and above
    reach: int  # others in flight that the trace saw at its type
    chance: float  # of a failure outside of bursts
    failed: Burst  # such a failure's outcome and delay
    bursts: list[Burst]
    cold: list[float]  # service times' multiple over the parts of its cold start
    boot: int
    warm: int  # when its cold start is over


class Model(msgspec.Struct, frozen=True):
    endpoints: list[Endpoint]
    works: list[Work]  # by class
    away_us: dict[str, float]  # "zone>zone" to the network's delay more than the least


class Sample:
    """All attempts of a scene in columns."""

    def __init__(self, scene: Scene) -> None:
        rows, reports = [], scene.places
        for side_at, side in enumerate(scene.sides):
            for asked in side.trace.requests:
                for one in asked.tries:
                    if (place := reports.get(one.endpoint)) is not None:
                        at = one.at + side.shift
                        rows.append((at, place, one.outcome, one.delay, asked.cls, asked.work_us, side_at))
        table = np.asarray(sorted(rows), dtype=np.int64).reshape(-1, 7)
        self.at, self.place, self.outcome, self.delay, self.cls, self.work, self.side = table.T
        self.scale = 1.0 / min(side.trace.started.sample for side in scene.sides)
        self.found = np.zeros(len(table), dtype=np.int64)
        for place in range(len(scene.endpoints)):
            here = self.place == place
            self.found[here] = inflight(self.at[here], (self.at + self.delay)[here]) * self.scale
        self.ok = self.outcome == OK


def fit_queue(found: Column, ratio: Floats) -> tuple[int, float]:
    """Slots (0: none seen) and slowing with each other in service, from service times over the
    unloaded one by the number found in flight; least squares over the means by number."""
    most = int(found.max(initial=0))
    if len(found) < FEW or most < 2:
        return 0, 0.0
    counts = np.bincount(found).astype(float)
    heard = counts > 0
    means = np.bincount(found, weights=ratio)[heard] / counts[heard]
    number, weight = np.arange(len(counts))[heard].astype(float), np.sqrt(counts[heard])
    best = (inf, 0, 0.0)
    for slots in [0, *range(1, min(most, 256) + 1)]:
        queue = 1.0 + np.maximum(0.0, number + 1 - slots) / slots if slots else np.ones_like(number)
        beside = np.minimum(number, slots - 1) if slots else number
        (base, grows), left = nnls(np.stack([queue, queue * beside], 1) * weight[:, None], means * weight)
        if base > 0 and left < best[0] * (1.0 - GAIN if slots else 1.0):
            best = (left, slots, float(grows / base))
    return best[1], best[2]


def quantiles(values: Floats) -> list[float]:
    return [float(one) for one in np.quantile(values, np.linspace(0.0, 1.0, QUANTILES))]


def fit_work(sample: Sample, classes: int) -> list[Work]:
    works = []
    for cls in range(classes):
        here = sample.ok & (sample.cls == cls) & (sample.work > 0) & (sample.delay > 0)
        work = Work()
        if here.sum() >= FEW and np.ptp(sample.work[here]) > 0:
            x, y = np.log(sample.work[here]), np.log(sample.delay[here])
            if np.ptp(y) > 0 and np.corrcoef(x, y)[0, 1] > WORK_CLOSE:
                work = Work(float(np.polyfit(x, y, 1)[0]), float(np.exp(x.mean())))
        works.append(work)
    return works


def fit_away(scene: Scene, sample: Sample) -> dict[str, float]:
    """Network delays between zones: how much longer an endpoint's quick answers take from there
    than from where they are the quickest."""
    more: dict[str, list[float]] = defaultdict(list)
    zones = [side.zone for side in scene.sides]
    if len(set(zones)) < 2:
        return {}
    origin = np.asarray([sorted(set(zones)).index(zone) for zone in zones])[sample.side]
    for place, zone in enumerate(scene.zones):
        quick = {}
        for number, name in enumerate(sorted(set(zones))):
            here = sample.ok & (sample.place == place) & (origin == number)
            if here.sum() >= FEW:
                quick[name] = float(np.quantile(sample.delay[here], 0.1))
        for name, value in quick.items():
            more[f"{name}>{zone}"].append(value - min(quick.values()))
    return {pair: float(np.median(values)) for pair, values in more.items()}


def fit_bursts(at: Column, outcome: Column, delay: Column) -> tuple[list[Burst], float, Burst]:
    """Spans of failures, the chance of one outside of them, and what such a one is like."""
    failed = np.isin(outcome, (ERROR, RESET, NO_CONNECT, TIMEOUT))
    if not failed.any():
        return [], 0.0, Burst(0, 0, ERROR, 0)
    span = at // SLOT_US
    bursts: list[Burst] = []
    inside = np.zeros(len(at), dtype=bool)
    for number in np.unique(span[failed]):
        here = span == number
        bad = here & failed
        if bad.sum() >= 2 and 2 * bad.sum() >= here.sum():
            inside |= here
            what, wait = typical(outcome[bad], delay[bad])
            start = int(number) * SLOT_US
            if bursts and bursts[-1].end >= start - SLOT_US and bursts[-1].outcome == what:
                bursts[-1] = Burst(bursts[-1].start, start + SLOT_US, what, bursts[-1].delay)
            else:
                bursts.append(Burst(start, start + SLOT_US, what, wait))
    lone = failed & ~inside
    chance = float(lone.sum() / max(1, (~inside).sum()))
    what, wait = typical(outcome[lone], delay[lone]) if lone.any() else (ERROR, 0)
    return bursts, chance, Burst(0, 0, what, wait)


def typical(outcome: Column, delay: Column) -> tuple[int, int]:
    what = int(np.bincount(outcome).argmax())
    return what, int(np.median(delay[outcome == what]))


class Type:
    """What all endpoints of one machine type have in common."""

    def __init__(self, sample: Sample, service: Floats, here: NDArray[np.bool_], classes: int) -> None:
        good = here & sample.ok
        self.reach = int(np.quantile(sample.found[good], 0.995)) if good.any() else 0
        found = sample.found[good]
        calm = found <= np.quantile(found, 0.3) if good.any() else found > 0
        base = [service[good][calm & (sample.cls[good] == cls)] for cls in range(classes)]
        usual = np.asarray([one.mean() if len(one) else service[good].mean() for one in base])
        ratio = service / np.maximum(1.0, usual[sample.cls])
        self.slots, self.slow = fit_queue(found, ratio[good])
        beside = np.minimum(sample.found, self.slots - 1) if self.slots else sample.found
        self.alone = service / (1.0 + self.slow * beside)  # service times as if nothing ran beside
        self.unqueued = sample.ok & (sample.found < self.slots) if self.slots else sample.ok
        self.pooled = [self.alone[here & self.unqueued & (sample.cls == cls)] for cls in range(classes)]
        full = here & (sample.outcome == FULL)
        self.most, self.turned = 0, 0.0
        if full.sum() >= 3:
            self.most = max(1, int(np.quantile(sample.found[full], 0.1)))
            over = here & (sample.found >= self.most)
            self.turned = float((sample.outcome[over] == FULL).mean()) if over.any() else 1.0


def fit(scene: Scene) -> Model:
    sample = Sample(scene)
    classes = max(len(side.settings.classes) for side in scene.sides)
    works, away = fit_work(sample, classes), fit_away(scene, sample)
    service = sample.delay.astype(float)
    for side_at, side in enumerate(scene.sides):
        for place, zone in enumerate(scene.zones):
            if more := away.get(f"{side.zone}>{zone}", 0.0):
                service[(sample.side == side_at) & (sample.place == place)] -= more
    power = np.asarray([work.power for work in works])[sample.cls]
    usual = np.asarray([work.usual for work in works])[sample.cls]
    service = np.maximum(1.0, service) / (np.maximum(1, sample.work) / usual) ** power
    spans = cold_spans(scene)
    cold = np.zeros(len(service), dtype=bool)
    for place, (start, end) in spans.items():
        cold |= (sample.place == place) & (sample.at >= start) & (sample.at < end)
    everywhere = np.ones(len(service), dtype=bool)
    fleet = Type(sample, service, everywhere & ~cold, classes)
    types = {}
    for kind in set(scene.kinds):
        here = np.isin(sample.place, [at for at, one in enumerate(scene.kinds) if one == kind]) & ~cold
        types[kind] = Type(sample, service, here, classes) if (here & sample.ok).sum() >= FEW else fleet
    made = [
        _endpoint(scene, sample, place, types[scene.kinds[place]], fleet, cold, spans.get(place, (0, 0)))
        for place in range(len(scene.endpoints))
    ]
    return Model(made, works, away)


def _endpoint(
    scene: Scene,
    sample: Sample,
    place: int,
    kind: Type,
    fleet: Type,
    cold: NDArray[np.bool_],
    span: tuple[int, int],
) -> Endpoint:
    here = sample.place == place
    mine, thin = [], []
    for cls, pooled in enumerate(kind.pooled):
        own = kind.alone[here & ~cold & kind.unqueued & (sample.cls == cls)]
        thin.append(len(own) < FEW)
        # A class seldom seen goes by its type, then by the fleet, then by whatever was served.
        last = fleet.alone[sample.ok]
        values = next((one for one in (own, pooled, fleet.pooled[cls]) if len(one) >= FEW), last)
        mine.append(quantiles(values if len(values) else np.asarray([1_000.0])))
    bursts, chance, failed = fit_bursts(sample.at[here], sample.outcome[here], sample.delay[here])
    seen = here & cold & sample.ok
    return Endpoint(
        zone=scene.zones[place],
        slots=kind.slots,
        slow=kind.slow,
        quantiles=mine,
        thin=thin,
        most=kind.most,
        turned=kind.turned,
        reach=kind.reach,
        chance=chance,
        failed=failed,
        bursts=bursts,
        cold=fit_cold(sample, kind, seen, span, mine),
        boot=span[0],
        warm=span[1],
    )


def fit_cold(
    sample: Sample, kind: Type, here: NDArray[np.bool_], span: tuple[int, int], warm: list[list[float]]
) -> list[float]:
    """Service times' multiple over the parts of a cold start; empty where the trace saw too little."""
    start, end = span
    if here.sum() < FEW or end <= start:
        return []
    usual = np.asarray([np.mean(one) for one in warm])
    ratio = kind.alone[here] / usual[sample.cls[here]]
    part = np.minimum(COLD_PARTS - 1, (sample.at[here] - start) * COLD_PARTS // (end - start))
    found, last = [], 1.0
    for number in reversed(range(COLD_PARTS)):
        seen = ratio[part == number]
        last = max(1.0, float(seen.mean())) if len(seen) >= FEW // COLD_PARTS else last
        found.append(last)
    return found[::-1]
