"""A model of the endpoints, fitted to a recorded workload: service times, queues, cold starts, failures.

An endpoint is modelled as a first-come, first-served queue with a number of slots (M/G/c in
Kendall's notation, with the arrivals of the replay): an attempt that finds `n` others in flight
waits while `n` is at least the number of slots, and its own service slows down with the number of
attempts served at the same time. Slots and slowdown are fitted per machine type over the loads
that the trace covers; service times are the empirical quantiles of attempts that did not queue.
What the trace does not cover is marked: an endpoint with few samples uses the fit of its machine
type, and loads above `reach` are extrapolated.
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
# Attempts of one class at one endpoint needed to fit a separate distribution.
MIN_SAMPLES = 40
# A slot count is accepted only if it reduces the residual by at least this share.
MIN_FIT_GAIN = 0.02
BURST_SPAN_US = 200_000  # length of the spans in which failures are counted
COLD_START_PARTS = 4
# Service times are scaled by the hinted work only above this correlation of their logarithms.
MIN_WORK_CORRELATION = 0.3


class FailureBurst(msgspec.Struct, frozen=True):
    """A span in which at least half of an endpoint's attempts failed, typically after `delay` µs."""

    start: int
    end: int
    outcome: int
    delay: int


class WorkScaling(msgspec.Struct, frozen=True):
    """Factor on the service time of one class by its hinted work: (work / usual) ** power."""

    power: float = 0.0
    usual: float = 1.0


class EndpointModel(msgspec.Struct, frozen=True):
    """One endpoint. Times in µs; `slots` is 0 if no limit was observed, `most` is 0 if it never
    rejected an attempt."""

    zone: str
    slots: int
    slow: float  # relative slowdown per other attempt in service
    quantiles: list[list[float]]  # by class
    thin: list[bool]  # by class: whether the endpoint has too few samples of its own
    most: int  # attempts in flight from which it rejects
    turned: float  # share rejected at `most` attempts in flight and above
    reach: int  # other attempts in flight that the trace covers for its machine type
    chance: float  # probability of a failure outside bursts
    failed: FailureBurst  # outcome and delay of a failure outside bursts
    bursts: list[FailureBurst]
    cold: list[float]  # service time multiples over the parts of its cold start
    boot: int  # when its cold start begins
    warm: int  # when its cold start ends


class FleetModel(msgspec.Struct, frozen=True):
    """The models of all endpoints and what they have in common."""

    endpoints: list[EndpointModel]
    works: list[WorkScaling]  # by class
    away_us: dict[str, float]  # "zone>zone" to the network delay in excess of the smallest


class AttemptTable:
    """All attempts of a recorded workload, one array per column."""

    def __init__(self, workload: Workload) -> None:
        rows, endpoint_indexes = [], workload.index_by_number
        for recording_index, sidecar in enumerate(workload.recordings):
            for request in sidecar.trace.requests:
                for attempt in request.tries:
                    if (position := endpoint_indexes.get(attempt.endpoint)) is not None:
                        start_us = attempt.at + sidecar.clock_shift_us
                        rows.append(
                            (
                                start_us,
                                position,
                                attempt.outcome,
                                attempt.delay,
                                request.cls,
                                request.work_us,
                                recording_index,
                            )
                        )
        table = np.asarray(sorted(rows), dtype=np.int64).reshape(-1, 7)
        self.at, self.position, self.outcome, self.delay, self.cls, self.work, self.recording = table.T
        self.scale = 1.0 / min(sidecar.trace.started.sample for sidecar in workload.recordings)
        self.in_flight = np.zeros(len(table), dtype=np.int64)
        for position in range(len(workload.endpoints)):
            at_endpoint = self.position == position
            self.in_flight[at_endpoint] = (
                count_in_flight(self.at[at_endpoint], (self.at + self.delay)[at_endpoint]) * self.scale
            )
        self.succeeded = self.outcome == OK


def fit_queue(in_flight: Column, slowdown_ratio: Floats) -> tuple[int, float]:
    """Return the number of slots (0: no limit observed) and the slowdown per other attempt in service.

    Least-squares fit over the mean ratio of the service time to the unloaded service time at each
    number of attempts in flight."""
    max_in_flight = int(in_flight.max(initial=0))
    if len(in_flight) < MIN_SAMPLES or max_in_flight < 2:
        return 0, 0.0
    counts = np.bincount(in_flight).astype(float)
    is_observed = counts > 0
    means = np.bincount(in_flight, weights=slowdown_ratio)[is_observed] / counts[is_observed]
    levels, sqrt_counts = np.arange(len(counts))[is_observed].astype(float), np.sqrt(counts[is_observed])
    best = (inf, 0, 0.0)
    for slots in [0, *range(1, min(max_in_flight, 256) + 1)]:
        queueing_factor = 1.0 + np.maximum(0.0, levels + 1 - slots) / slots if slots else np.ones_like(levels)
        concurrent = np.minimum(levels, slots - 1) if slots else levels
        (base, slope), residual = nnls(
            np.stack([queueing_factor, queueing_factor * concurrent], 1) * sqrt_counts[:, None],
            means * sqrt_counts,
        )
        if base > 0 and residual < best[0] * (1.0 - MIN_FIT_GAIN if slots else 1.0):
            best = (residual, slots, float(slope / base))
    return best[1], best[2]


def service_quantiles(values: Floats) -> list[float]:
    return [float(value) for value in np.quantile(values, np.linspace(0.0, 1.0, QUANTILE_COUNT))]


def fit_work_scaling(attempts: AttemptTable, class_count: int) -> list[WorkScaling]:
    scalings = []
    for cls in range(class_count):
        is_usable = attempts.succeeded & (attempts.cls == cls) & (attempts.work > 0) & (attempts.delay > 0)
        scaling = WorkScaling()
        if is_usable.sum() >= MIN_SAMPLES and np.ptp(attempts.work[is_usable]) > 0:
            log_work, log_delay = np.log(attempts.work[is_usable]), np.log(attempts.delay[is_usable])
            if np.ptp(log_delay) > 0 and np.corrcoef(log_work, log_delay)[0, 1] > MIN_WORK_CORRELATION:
                scaling = WorkScaling(
                    float(np.polyfit(log_work, log_delay, 1)[0]), float(np.exp(log_work.mean()))
                )
        scalings.append(scaling)
    return scalings


def fit_network_delays(workload: Workload, attempts: AttemptTable) -> dict[str, float]:
    """Return the network delay in µs of each zone pair: how much longer an endpoint's fast responses
    take from a zone than from the zone where they are the fastest."""
    excess_delays: dict[str, list[float]] = defaultdict(list)
    sidecar_zones = [sidecar.zone for sidecar in workload.recordings]
    if len(set(sidecar_zones)) < 2:
        return {}
    origin_index = np.asarray([sorted(set(sidecar_zones)).index(zone) for zone in sidecar_zones])[
        attempts.recording
    ]
    for position, zone in enumerate(workload.zones):
        quick_delays = {}
        for zone_index, origin_zone in enumerate(sorted(set(sidecar_zones))):
            is_from_origin = (
                attempts.succeeded & (attempts.position == position) & (origin_index == zone_index)
            )
            if is_from_origin.sum() >= MIN_SAMPLES:
                quick_delays[origin_zone] = float(np.quantile(attempts.delay[is_from_origin], 0.1))
        for origin_zone, quick_delay in quick_delays.items():
            excess_delays[f"{origin_zone}>{zone}"].append(quick_delay - min(quick_delays.values()))
    return {zone_pair: float(np.median(excess)) for zone_pair, excess in excess_delays.items()}


def fit_bursts(
    starts_us: Column, outcomes: Column, delays_us: Column
) -> tuple[list[FailureBurst], float, FailureBurst]:
    """Return the failure bursts, the probability of a failure outside them, and its typical form."""
    failed = np.isin(outcomes, (ERROR, RESET, NO_CONNECT, TIMEOUT))
    if not failed.any():
        return [], 0.0, FailureBurst(0, 0, ERROR, 0)
    span_numbers = starts_us // BURST_SPAN_US
    bursts: list[FailureBurst] = []
    is_in_burst = np.zeros(len(starts_us), dtype=bool)
    for span_number in np.unique(span_numbers[failed]):
        is_in_span = span_numbers == span_number
        failed_in_span = is_in_span & failed
        if failed_in_span.sum() >= 2 and 2 * failed_in_span.sum() >= is_in_span.sum():
            is_in_burst |= is_in_span
            typical_outcome, typical_delay_us = typical_failure(
                outcomes[failed_in_span], delays_us[failed_in_span]
            )
            start_us = int(span_number) * BURST_SPAN_US
            if (
                bursts
                and bursts[-1].end >= start_us - BURST_SPAN_US
                and bursts[-1].outcome == typical_outcome
            ):
                bursts[-1] = FailureBurst(
                    bursts[-1].start, start_us + BURST_SPAN_US, typical_outcome, bursts[-1].delay
                )
            else:
                bursts.append(
                    FailureBurst(start_us, start_us + BURST_SPAN_US, typical_outcome, typical_delay_us)
                )
    is_isolated = failed & ~is_in_burst
    failure_probability = float(is_isolated.sum() / max(1, (~is_in_burst).sum()))
    typical_outcome, typical_delay_us = (
        typical_failure(outcomes[is_isolated], delays_us[is_isolated]) if is_isolated.any() else (ERROR, 0)
    )
    return bursts, failure_probability, FailureBurst(0, 0, typical_outcome, typical_delay_us)


def typical_failure(outcomes: Column, delays_us: Column) -> tuple[int, int]:
    most_common = int(np.bincount(outcomes).argmax())
    return most_common, int(np.median(delays_us[outcomes == most_common]))


class MachineTypeFit:
    """Parameters shared by all endpoints of one machine type."""

    def __init__(
        self, attempts: AttemptTable, service: Floats, selected: NDArray[np.bool_], class_count: int
    ) -> None:
        served = selected & attempts.succeeded
        self.reach = int(np.quantile(attempts.in_flight[served], 0.995)) if served.any() else 0
        loads = attempts.in_flight[served]
        is_light = loads <= np.quantile(loads, 0.3) if served.any() else loads > 0
        base_service = [
            service[served][is_light & (attempts.cls[served] == cls)] for cls in range(class_count)
        ]
        mean_service = np.asarray(
            [values.mean() if len(values) else service[served].mean() for values in base_service]
        )
        slowdown_ratio = service / np.maximum(1.0, mean_service[attempts.cls])
        self.slots, self.slowdown = fit_queue(loads, slowdown_ratio[served])
        concurrent = np.minimum(attempts.in_flight, self.slots - 1) if self.slots else attempts.in_flight
        # Service times without concurrent attempts.
        self.unloaded_service = service / (1.0 + self.slowdown * concurrent)
        self.unqueued = (
            attempts.succeeded & (attempts.in_flight < self.slots) if self.slots else attempts.succeeded
        )
        self.pooled_service = [
            self.unloaded_service[selected & self.unqueued & (attempts.cls == cls)]
            for cls in range(class_count)
        ]
        rejected = selected & (attempts.outcome == FULL)
        self.reject_threshold, self.reject_share = 0, 0.0
        if rejected.sum() >= 3:
            self.reject_threshold = max(1, int(np.quantile(attempts.in_flight[rejected], 0.1)))
            overloaded = selected & (attempts.in_flight >= self.reject_threshold)
            self.reject_share = (
                float((attempts.outcome[overloaded] == FULL).mean()) if overloaded.any() else 1.0
            )


def fit_model(workload: Workload) -> FleetModel:
    attempts = AttemptTable(workload)
    class_count = max(len(sidecar.settings.classes) for sidecar in workload.recordings)
    scalings, delays = fit_work_scaling(attempts, class_count), fit_network_delays(workload, attempts)
    service = attempts.delay.astype(float)
    for recording_index, sidecar in enumerate(workload.recordings):
        for position, zone in enumerate(workload.zones):
            if extra_delay_us := delays.get(f"{sidecar.zone}>{zone}", 0.0):
                service[(attempts.recording == recording_index) & (attempts.position == position)] -= (
                    extra_delay_us
                )
    exponents = np.asarray([scaling.power for scaling in scalings])[attempts.cls]
    usual_work = np.asarray([scaling.usual for scaling in scalings])[attempts.cls]
    service = np.maximum(1.0, service) / (np.maximum(1, attempts.work) / usual_work) ** exponents
    cold_spans = cold_start_spans(workload)
    is_cold = np.zeros(len(service), dtype=bool)
    for position, (start, end) in cold_spans.items():
        is_cold |= (attempts.position == position) & (attempts.at >= start) & (attempts.at < end)
    everywhere = np.ones(len(service), dtype=bool)
    fleet_fit = MachineTypeFit(attempts, service, everywhere & ~is_cold, class_count)
    fits_by_type = {}
    for machine_type in set(workload.machine_types):
        is_of_type = (
            np.isin(
                attempts.position,
                [
                    index
                    for index, endpoint_type in enumerate(workload.machine_types)
                    if endpoint_type == machine_type
                ],
            )
            & ~is_cold
        )
        fits_by_type[machine_type] = (
            MachineTypeFit(attempts, service, is_of_type, class_count)
            if (is_of_type & attempts.succeeded).sum() >= MIN_SAMPLES
            else fleet_fit
        )
    endpoint_models = [
        _fit_endpoint(
            workload,
            attempts,
            position,
            fits_by_type[workload.machine_types[position]],
            fleet_fit,
            is_cold,
            cold_spans.get(position, (0, 0)),
        )
        for position in range(len(workload.endpoints))
    ]
    return FleetModel(endpoint_models, scalings, delays)


def _fit_endpoint(
    workload: Workload,
    attempts: AttemptTable,
    position: int,
    type_fit: MachineTypeFit,
    fleet_fit: MachineTypeFit,
    is_cold: NDArray[np.bool_],
    cold_span: tuple[int, int],
) -> EndpointModel:
    at_endpoint = attempts.position == position
    class_quantiles, has_few_samples = [], []
    for cls, type_service in enumerate(type_fit.pooled_service):
        own_service = type_fit.unloaded_service[
            at_endpoint & ~is_cold & type_fit.unqueued & (attempts.cls == cls)
        ]
        has_few_samples.append(len(own_service) < MIN_SAMPLES)
        # With too few samples of a class, use the machine type, then the fleet, then all classes.
        fallback = fleet_fit.unloaded_service[attempts.succeeded]
        values = next(
            (
                candidate
                for candidate in (own_service, type_service, fleet_fit.pooled_service[cls])
                if len(candidate) >= MIN_SAMPLES
            ),
            fallback,
        )
        class_quantiles.append(service_quantiles(values if len(values) else np.asarray([1_000.0])))
    bursts, failure_probability, lone_failure = fit_bursts(
        attempts.at[at_endpoint], attempts.outcome[at_endpoint], attempts.delay[at_endpoint]
    )
    is_cold_success = at_endpoint & is_cold & attempts.succeeded
    return EndpointModel(
        zone=workload.zones[position],
        slots=type_fit.slots,
        slow=type_fit.slowdown,
        quantiles=class_quantiles,
        thin=has_few_samples,
        most=type_fit.reject_threshold,
        turned=type_fit.reject_share,
        reach=type_fit.reach,
        chance=failure_probability,
        failed=lone_failure,
        bursts=bursts,
        cold=fit_cold_start(attempts, type_fit, is_cold_success, cold_span, class_quantiles),
        boot=cold_span[0],
        warm=cold_span[1],
    )


def fit_cold_start(
    attempts: AttemptTable,
    type_fit: MachineTypeFit,
    selected: NDArray[np.bool_],
    cold_span: tuple[int, int],
    warm_quantiles: list[list[float]],
) -> list[float]:
    """Return the service time multiples over the parts of a cold start; empty if samples are too few."""
    start, end = cold_span
    if selected.sum() < MIN_SAMPLES or end <= start:
        return []
    mean_service = np.asarray([np.mean(quantiles) for quantiles in warm_quantiles])
    slowdown_ratio = type_fit.unloaded_service[selected] / mean_service[attempts.cls[selected]]
    parts = np.minimum(
        COLD_START_PARTS - 1, (attempts.at[selected] - start) * COLD_START_PARTS // (end - start)
    )
    multiples, multiple = [], 1.0
    for part_index in reversed(range(COLD_START_PARTS)):
        part_ratios = slowdown_ratio[parts == part_index]
        multiple = (
            max(1.0, float(part_ratios.mean()))
            if len(part_ratios) >= MIN_SAMPLES // COLD_START_PARTS
            else multiple
        )
        multiples.append(multiple)
    return multiples[::-1]
