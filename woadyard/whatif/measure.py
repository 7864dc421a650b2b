"""What a stage's sidecars saw since each acts on the plan, from their own recordings.

By each sidecar's own clock and its own word of when the weights came in use: no two machines'
clocks are compared. Needs no numpy: the list service computes it in its own process.
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


def wilson_interval(good: int, of: int, z: float) -> tuple[float, float, float]:
    """A share and its score interval (Wilson 1927)."""
    if not of:
        return 0.0, 0.0, 1.0
    share, more = good / of, z * z / of
    middle = (share + more / 2) / (1 + more)
    half = z * sqrt(share * (1 - share) / of + more / (4 * of)) / (1 + more)
    return share, max(0.0, middle - half), min(1.0, middle + half)


def quantile_interval(values: list[int], q: float, z: float) -> tuple[float, float, float]:
    """A quantile and the order statistics about it (binomial ranks)."""
    values = sorted(values)
    last, half = len(values) - 1, z * sqrt(q * (1 - q) * len(values))
    at, low, high = q * last, q * len(values) - half, q * len(values) + half
    picked = (values[min(last, max(0, round(one)))] for one in (at, low, high))
    value, least, most = picked
    return float(value), float(least), float(most) if high <= last else float("inf")


def requests_under_revision(trace: Trace, revision: int) -> tuple[int, list[RecordedRequest]]:
    """How long the sidecar has acted on the revision, by its own clock, and the requests it took."""
    began = next(
        (one.at for one in trace.changes if isinstance(one, WeightsApplied) and one.revision == revision),
        None,
    )
    if began is None:
        return 0, []
    asked = [one for one in trace.requests if one.at >= began and one.status]
    return (asked[-1].at - began, asked) if asked else (0, [])


def measure_stage(traces: Iterable[Trace], revision: int, confidence: float) -> Measurement:
    z = NormalDist().inv_cdf(0.5 + confidence / 2)
    spans, good, took, ends = [], 0, [], [0, 0, 0]
    for trace in traces:
        side = SidecarRecording(trace, 0)
        span, asked = requests_under_revision(trace, revision)
        spans.append(span)
        for one in asked:
            end, time = classify_status(one.status), one.answered - one.at
            ends[end] += 1
            if end == ANSWERED:
                took.append(time)
                good += time <= side.aim_us(one)
    of = sum(ends)
    if not spans or not of:
        return Measurement()
    figures = {"aim": wilson_interval(good, of, z)}
    figures["refused"] = wilson_interval(ends[REFUSED], of, z)
    figures["failed"] = wilson_interval(ends[FAILED], of, z)
    if took:
        figures["p50"], figures["p99"] = quantile_interval(took, 0.5, z), quantile_interval(took, 0.99, z)
    return Measurement(min(spans), of, figures)
