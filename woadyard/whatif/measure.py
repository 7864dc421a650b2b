"""Measures the requests of a stage's sidecars since each applied the plan, from their recordings.

Times come from each sidecar's own clock and its own record of when the weights were applied, so no
clocks of different machines are compared. Does not import numpy, because the list service runs
this in its own process.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

from woadyard.whatif.rollout import Measurement
from woadyard.whatif.trace import (
    ANSWERED,
    FAILED,
    REFUSED,
    RecordedRequest,
    Trace,
    WeightsApplied,
    classify_status,
)
from woadyard.whatif.workload import SidecarRecording


def wilson_interval(successes: int, total: int, z: float) -> tuple[float, float, float]:
    """Return the share of successes and its score interval (Wilson 1927)."""
    if not total:
        return 0.0, 0.0, 1.0
    share, correction = successes / total, z * z / total
    center = (share + correction / 2) / (1 + correction)
    half_width = z * sqrt(share * (1 - share) / total + correction / (4 * total)) / (1 + correction)
    return share, max(0.0, center - half_width), min(1.0, center + half_width)


def quantile_interval(values: list[int], quantile: float, z: float) -> tuple[float, float, float]:
    """Return a quantile and its confidence interval from order statistics (binomial ranks)."""
    values = sorted(values)
    last, half_width = len(values) - 1, z * sqrt(quantile * (1 - quantile) * len(values))
    rank, low_rank, high_rank = (
        quantile * last,
        quantile * len(values) - half_width,
        quantile * len(values) + half_width,
    )
    interval = (values[min(last, max(0, round(bound)))] for bound in (rank, low_rank, high_rank))
    value, lower, upper = interval
    return float(value), float(lower), float(upper) if high_rank <= last else float("inf")


def requests_under_revision(trace: Trace, revision: int) -> tuple[int, list[RecordedRequest]]:
    """Return the requests since the revision was applied and, first, how long that was in µs of the
    sidecar's own clock, up to the last of them."""
    applied_us = next(
        (
            record.at
            for record in trace.changes
            if isinstance(record, WeightsApplied) and record.revision == revision
        ),
        None,
    )
    if applied_us is None:
        return 0, []
    stage_requests = [record for record in trace.requests if record.at >= applied_us and record.status]
    return (stage_requests[-1].at - applied_us, stage_requests) if stage_requests else (0, [])


def measure_stage(traces: Iterable[Trace], revision: int, confidence: float) -> Measurement:
    z = NormalDist().inv_cdf(0.5 + confidence / 2)
    spans_us, within_aim, latencies_us, result_counts = [], 0, [], [0, 0, 0]
    for trace in traces:
        recording = SidecarRecording(trace, 0)
        span_us, stage_requests = requests_under_revision(trace, revision)
        spans_us.append(span_us)
        for request in stage_requests:
            result, latency_us = classify_status(request.status), request.answered - request.at
            result_counts[result] += 1
            if result == ANSWERED:
                latencies_us.append(latency_us)
                within_aim += latency_us <= recording.request_aim_us(request)
    total = sum(result_counts)
    if not spans_us or not total:
        return Measurement()
    figures = {"aim": wilson_interval(within_aim, total, z)}
    figures["refused"] = wilson_interval(result_counts[REFUSED], total, z)
    figures["failed"] = wilson_interval(result_counts[FAILED], total, z)
    if latencies_us:
        figures["p50"], figures["p99"] = (
            quantile_interval(latencies_us, 0.5, z),
            quantile_interval(latencies_us, 0.99, z),
        )
    return Measurement(min(spans_us), total, figures)
