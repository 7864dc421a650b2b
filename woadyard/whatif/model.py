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
from woadyard.whatif.observations import Column, cold_start_spans, count_in_flight
from woadyard.whatif.workload import Workload

Floats = NDArray[np.float64]

QUANTILE_COUNT = 129
# Attempts of one class at one endpoint that make a distribution of their own.
MIN_SAMPLES = 40
# Slots are believed where they fit this much better than none.
MIN_FIT_GAIN = 0.02
BURST_SPAN_US = 200_000  # failures are looked at in spans so long
COLD_START_PARTS = 4
# Classes whose service goes with the hinted work at least so closely are scaled by it.
MIN_WORK_CORRELATION = 0.3


class FailureBurst(msgspec.Struct, frozen=True):
    """A span in which most attempts at an endpoint failed; `delay` µs until they did."""

    start: int
    end: int
    outcome: int
    delay: int


class WorkScaling(msgspec.Struct, frozen=True):
    """How service of one class goes with the hinted work: (work / usual) ** power."""

    power: float = 0.0
    usual: float = 1.0


class EndpointModel(msgspec.Struct, frozen=True):
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
    failed: FailureBurst  # such a failure's outcome and delay
    bursts: list[FailureBurst]
    cold: list[float]  # service times' multiple over the parts of its cold start
    boot: int
    warm: int  # when its cold start is over


class FleetModel(msgspec.Struct, frozen=True):
    endpoints: list[EndpointModel]
    works: list[WorkScaling]  # by class
    away_us: dict[str, float]  # "zone>zone" to the network's delay more than the least


class AttemptTable:
    """All attempts of a scene in columns."""

    def __init__(self, scene: Workload) -> None:
        rows, reports = [], scene.index_by_number
        for side_at, side in enumerate(scene.recordings):
            for asked in side.trace.requests:
                for one in asked.tries:
                    if (place := reports.get(one.endpoint)) is not None:
                        at = one.at + side.clock_shift_us
                        rows.append((at, place, one.outcome, one.delay, asked.cls, asked.work_us, side_at))
        table = np.asarray(sorted(rows), dtype=np.int64).reshape(-1, 7)
        self.at, self.endpoint, self.outcome, self.delay, self.cls, self.work, self.recording = table.T
        self.scale = 1.0 / min(side.trace.started.sample for side in scene.recordings)
        self.in_flight = np.zeros(len(table), dtype=np.int64)
        for place in range(len(scene.endpoints)):
            here = self.endpoint == place
            self.in_flight[here] = count_in_flight(self.at[here], (self.at + self.delay)[here]) * self.scale
        self.succeeded = self.outcome == OK


def fit_queue(found: Column, ratio: Floats) -> tuple[int, float]:
    """Slots (0: none seen) and slowing with each other in service, from service times over the
    unloaded one by the number found in flight; least squares over the means by number."""
    most = int(found.max(initial=0))
    if len(found) < MIN_SAMPLES or most < 2:
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
        if base > 0 and left < best[0] * (1.0 - MIN_FIT_GAIN if slots else 1.0):
            best = (left, slots, float(grows / base))
    return best[1], best[2]


def service_quantiles(values: Floats) -> list[float]:
    return [float(one) for one in np.quantile(values, np.linspace(0.0, 1.0, QUANTILE_COUNT))]


def fit_work_scaling(sample: AttemptTable, classes: int) -> list[WorkScaling]:
    works = []
    for cls in range(classes):
        here = sample.succeeded & (sample.cls == cls) & (sample.work > 0) & (sample.delay > 0)
        work = WorkScaling()
        if here.sum() >= MIN_SAMPLES and np.ptp(sample.work[here]) > 0:
            x, y = np.log(sample.work[here]), np.log(sample.delay[here])
            if np.ptp(y) > 0 and np.corrcoef(x, y)[0, 1] > MIN_WORK_CORRELATION:
                work = WorkScaling(float(np.polyfit(x, y, 1)[0]), float(np.exp(x.mean())))
        works.append(work)
    return works


def fit_network_delays(scene: Workload, sample: AttemptTable) -> dict[str, float]:
    """Network delays between zones: how much longer an endpoint's quick answers take from there
    than from where they are the quickest."""
    more: dict[str, list[float]] = defaultdict(list)
    zones = [side.zone for side in scene.recordings]
    if len(set(zones)) < 2:
        return {}
    origin = np.asarray([sorted(set(zones)).index(zone) for zone in zones])[sample.recording]
    for place, zone in enumerate(scene.zones):
        quick = {}
        for number, name in enumerate(sorted(set(zones))):
            here = sample.succeeded & (sample.endpoint == place) & (origin == number)
            if here.sum() >= MIN_SAMPLES:
                quick[name] = float(np.quantile(sample.delay[here], 0.1))
        for name, value in quick.items():
            more[f"{name}>{zone}"].append(value - min(quick.values()))
    return {pair: float(np.median(values)) for pair, values in more.items()}


def fit_bursts(at: Column, outcome: Column, delay: Column) -> tuple[list[FailureBurst], float, FailureBurst]:
    """Spans of failures, the chance of one outside of them, and what such a one is like."""
    failed = np.isin(outcome, (ERROR, RESET, NO_CONNECT, TIMEOUT))
    if not failed.any():
        return [], 0.0, FailureBurst(0, 0, ERROR, 0)
    span = at // BURST_SPAN_US
    bursts: list[FailureBurst] = []
    inside = np.zeros(len(at), dtype=bool)
    for number in np.unique(span[failed]):
        here = span == number
        bad = here & failed
        if bad.sum() >= 2 and 2 * bad.sum() >= here.sum():
            inside |= here
            what, wait = typical_failure(outcome[bad], delay[bad])
            start = int(number) * BURST_SPAN_US
            if bursts and bursts[-1].end >= start - BURST_SPAN_US and bursts[-1].outcome == what:
                bursts[-1] = FailureBurst(bursts[-1].start, start + BURST_SPAN_US, what, bursts[-1].delay)
            else:
                bursts.append(FailureBurst(start, start + BURST_SPAN_US, what, wait))
    lone = failed & ~inside
    chance = float(lone.sum() / max(1, (~inside).sum()))
    what, wait = typical_failure(outcome[lone], delay[lone]) if lone.any() else (ERROR, 0)
    return bursts, chance, FailureBurst(0, 0, what, wait)


def typical_failure(outcome: Column, delay: Column) -> tuple[int, int]:
    what = int(np.bincount(outcome).argmax())
    return what, int(np.median(delay[outcome == what]))


class MachineTypeFit:
    """What all endpoints of one machine type have in common."""

    def __init__(self, sample: AttemptTable, service: Floats, here: NDArray[np.bool_], classes: int) -> None:
        good = here & sample.succeeded
        self.reach = int(np.quantile(sample.in_flight[good], 0.995)) if good.any() else 0
        found = sample.in_flight[good]
        calm = found <= np.quantile(found, 0.3) if good.any() else found > 0
        base = [service[good][calm & (sample.cls[good] == cls)] for cls in range(classes)]
        usual = np.asarray([one.mean() if len(one) else service[good].mean() for one in base])
        ratio = service / np.maximum(1.0, usual[sample.cls])
        self.slots, self.slowdown = fit_queue(found, ratio[good])
        beside = np.minimum(sample.in_flight, self.slots - 1) if self.slots else sample.in_flight
        self.unloaded_service = service / (
            1.0 + self.slowdown * beside
        )  # service times as if nothing ran beside
        self.unqueued = sample.succeeded & (sample.in_flight < self.slots) if self.slots else sample.succeeded
        self.pooled_service = [
            self.unloaded_service[here & self.unqueued & (sample.cls == cls)] for cls in range(classes)
        ]
        full = here & (sample.outcome == FULL)
        self.reject_threshold, self.reject_share = 0, 0.0
        if full.sum() >= 3:
            self.reject_threshold = max(1, int(np.quantile(sample.in_flight[full], 0.1)))
            over = here & (sample.in_flight >= self.reject_threshold)
            self.reject_share = float((sample.outcome[over] == FULL).mean()) if over.any() else 1.0


def fit_model(scene: Workload) -> FleetModel:
    sample = AttemptTable(scene)
    classes = max(len(side.settings.classes) for side in scene.recordings)
    works, away = fit_work_scaling(sample, classes), fit_network_delays(scene, sample)
    service = sample.delay.astype(float)
    for side_at, side in enumerate(scene.recordings):
        for place, zone in enumerate(scene.zones):
            if more := away.get(f"{side.zone}>{zone}", 0.0):
                service[(sample.recording == side_at) & (sample.endpoint == place)] -= more
    power = np.asarray([work.power for work in works])[sample.cls]
    usual = np.asarray([work.usual for work in works])[sample.cls]
    service = np.maximum(1.0, service) / (np.maximum(1, sample.work) / usual) ** power
    spans = cold_start_spans(scene)
    cold = np.zeros(len(service), dtype=bool)
    for place, (start, end) in spans.items():
        cold |= (sample.endpoint == place) & (sample.at >= start) & (sample.at < end)
    everywhere = np.ones(len(service), dtype=bool)
    fleet = MachineTypeFit(sample, service, everywhere & ~cold, classes)
    types = {}
    for kind in set(scene.machine_types):
        here = (
            np.isin(sample.endpoint, [at for at, one in enumerate(scene.machine_types) if one == kind])
            & ~cold
        )
        types[kind] = (
            MachineTypeFit(sample, service, here, classes)
            if (here & sample.succeeded).sum() >= MIN_SAMPLES
            else fleet
        )
    made = [
        _fit_endpoint(
            scene, sample, place, types[scene.machine_types[place]], fleet, cold, spans.get(place, (0, 0))
        )
        for place in range(len(scene.endpoints))
    ]
    return FleetModel(made, works, away)


def _fit_endpoint(
    scene: Workload,
    sample: AttemptTable,
    place: int,
    kind: MachineTypeFit,
    fleet: MachineTypeFit,
    cold: NDArray[np.bool_],
    span: tuple[int, int],
) -> EndpointModel:
    here = sample.endpoint == place
    mine, thin = [], []
    for cls, pooled in enumerate(kind.pooled_service):
        own = kind.unloaded_service[here & ~cold & kind.unqueued & (sample.cls == cls)]
        thin.append(len(own) < MIN_SAMPLES)
        # A class seldom seen goes by its type, then by the fleet, then by whatever was served.
        last = fleet.unloaded_service[sample.succeeded]
        values = next(
            (one for one in (own, pooled, fleet.pooled_service[cls]) if len(one) >= MIN_SAMPLES), last
        )
        mine.append(service_quantiles(values if len(values) else np.asarray([1_000.0])))
    bursts, chance, failed = fit_bursts(sample.at[here], sample.outcome[here], sample.delay[here])
    seen = here & cold & sample.succeeded
    return EndpointModel(
        zone=scene.zones[place],
        slots=kind.slots,
        slow=kind.slowdown,
        quantiles=mine,
        thin=thin,
        most=kind.reject_threshold,
        turned=kind.reject_share,
        reach=kind.reach,
        chance=chance,
        failed=failed,
        bursts=bursts,
        cold=fit_cold_start(sample, kind, seen, span, mine),
        boot=span[0],
        warm=span[1],
    )


def fit_cold_start(
    sample: AttemptTable,
    kind: MachineTypeFit,
    here: NDArray[np.bool_],
    span: tuple[int, int],
    warm: list[list[float]],
) -> list[float]:
    """Service times' multiple over the parts of a cold start; empty where the trace saw too little."""
    start, end = span
    if here.sum() < MIN_SAMPLES or end <= start:
        return []
    usual = np.asarray([np.mean(one) for one in warm])
    ratio = kind.unloaded_service[here] / usual[sample.cls[here]]
    part = np.minimum(COLD_START_PARTS - 1, (sample.at[here] - start) * COLD_START_PARTS // (end - start))
    found, last = [], 1.0
    for number in reversed(range(COLD_START_PARTS)):
        seen = ratio[part == number]
        last = max(1.0, float(seen.mean())) if len(seen) >= MIN_SAMPLES // COLD_START_PARTS else last
        found.append(last)
    return found[::-1]
