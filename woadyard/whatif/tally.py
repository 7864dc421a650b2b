"""Tallies: a replay's or recording's observations counted by blocks of time.

A tally holds all that a forecast needs of a replay, in a small size.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from woadyard.whatif.observations import Column, Observations
from woadyard.whatif.trace import ANSWERED, FAILED, REFUSED

Floats = NDArray[np.float64]

# Latency bins are logarithmic, 2% wide, from 50 µs to over a minute.
MIN_BIN_US, BIN_LOG_STEP, BIN_COUNT = 50.0, 0.02, 720


@dataclass(frozen=True)
class TallyLayout:
    """Blocks and groups shared by all tallies of one forecast; times in µs."""

    start: int
    block_us: int
    blocks: int
    classes: int
    tenants: int
    endpoint_limits: tuple[int, ...]  # by endpoint; 0: unknown
    tip_window_us: int  # window in which too many attempts overload a cold endpoint


@dataclass(frozen=True)
class Tally:
    """Counts by block. Groups are: all, then each class, then each tenant."""

    count: Column  # [group, block]
    good: Column  # answered within the aim
    refused: Column
    failed: Column
    latency: Column  # [class + 1, block, bin], of answered requests
    sends: Column  # [endpoint, block]
    crossed: Column  # [block]
    fresh: Column  # [block]
    thin: Column  # [block]
    peak: Column  # [endpoint]
    over_limit: Column  # [endpoint, block], attempts sent while the endpoint was at its limit
    cold_peak: Column  # [endpoint], most attempts in one tip window while it was starting
    digest: str


def latency_bins(latency_us: Column) -> Column:
    position = np.log(np.maximum(1, latency_us) / MIN_BIN_US) / BIN_LOG_STEP
    return np.asarray(np.clip(position, 0, BIN_COUNT - 1), dtype=np.int64)


def build_tally(observations: Observations, layout: TallyLayout) -> Tally:
    request_columns, attempt_columns = observations.requests, observations.attempts
    blocks, endpoint_count = layout.blocks, len(layout.endpoint_limits)
    inside, block = _blocks(request_columns.at, layout)
    cls, tenant = (
        request_columns.cls[inside],
        np.minimum(request_columns.tenant[inside], max(0, layout.tenants - 1)),
    )
    result, latency_us = request_columns.result[inside], request_columns.latency_us[inside]
    good = (result == ANSWERED) & (latency_us <= request_columns.aim_us[inside])
    answered = result == ANSWERED

    def count_by_group(selected: NDArray[np.bool_]) -> Column:
        parts = [_count((block[selected],), (blocks,))[None]]
        parts.append(_count((cls[selected], block[selected]), (layout.classes, blocks)))
        if layout.tenants:
            parts.append(_count((tenant[selected], block[selected]), (layout.tenants, blocks)))
        return np.concatenate(parts)

    latency = np.zeros((layout.classes + 1, blocks, BIN_COUNT), dtype=np.int64)
    bin_index = (cls[answered], block[answered], latency_bins(latency_us[answered]))
    latency[1:] = _count(bin_index, (layout.classes, blocks, BIN_COUNT))
    latency[0] = latency[1:].sum(axis=0)

    attempt_inside, attempt_block = _blocks(attempt_columns.at, layout)
    endpoint_index, in_flight_before = (
        attempt_columns.endpoint[attempt_inside],
        attempt_columns.in_flight[attempt_inside],
    )
    limits = np.asarray(layout.endpoint_limits, dtype=np.int64)
    at_limit = (limits[endpoint_index] > 0) & (in_flight_before >= limits[endpoint_index])
    peak = np.zeros(endpoint_count, dtype=np.int64)
    np.maximum.at(peak, endpoint_index, in_flight_before + 1)
    return Tally(
        count=count_by_group(np.ones(len(cls), dtype=bool)),
        good=count_by_group(good),
        refused=count_by_group(result == REFUSED),
        failed=count_by_group(result == FAILED),
        latency=latency,
        sends=_count((endpoint_index, attempt_block), (endpoint_count, blocks)),
        crossed=_sum(attempt_block, attempt_columns.crossed[attempt_inside], blocks),
        fresh=_sum(attempt_block, attempt_columns.fresh[attempt_inside], blocks),
        thin=_sum(attempt_block, attempt_columns.thin[attempt_inside], blocks),
        peak=peak,
        over_limit=_count((endpoint_index[at_limit], attempt_block[at_limit]), (endpoint_count, blocks)),
        cold_peak=cold_start_peaks(observations, layout),
        digest=observations.digest(),
    )


def cold_start_peaks(observations: Observations, layout: TallyLayout) -> Column:
    """For each endpoint the most attempts in one tip window while it was starting."""
    attempt_columns = observations.attempts
    peaks = np.zeros(len(layout.endpoint_limits), dtype=np.int64)
    for endpoint_index in np.unique(attempt_columns.endpoint[attempt_columns.cold > 0]):
        sent_us = np.sort(
            attempt_columns.at[(attempt_columns.endpoint == endpoint_index) & (attempt_columns.cold > 0)]
        )
        peaks[endpoint_index] = int(
            (np.searchsorted(sent_us, sent_us + layout.tip_window_us) - np.arange(len(sent_us))).max()
        )
    return peaks


def _blocks(times_us: Column, layout: TallyLayout) -> tuple[NDArray[np.bool_], Column]:
    block = (times_us - layout.start) // layout.block_us
    inside = (times_us >= layout.start) & (block < layout.blocks)
    return inside, block[inside]


def _count(indices: Sequence[Column], shape: tuple[int, ...]) -> Column:
    flat = np.ravel_multi_index(tuple(indices), shape)
    return np.asarray(np.bincount(flat, minlength=int(np.prod(shape))).reshape(shape), dtype=np.int64)


def _sum(block: Column, values: Column, blocks: int) -> Column:
    return np.asarray(np.bincount(block, weights=values, minlength=blocks), dtype=np.int64)


def histogram_quantile(counts: Floats, q: float) -> Floats:
    """The q-quantile in µs of the histograms along the last axis; 0 where a histogram is empty."""
    cumulative = counts.cumsum(axis=-1)
    rank = q * cumulative[..., -1:]
    bin_index = np.minimum((cumulative < rank).sum(axis=-1), BIN_COUNT - 1)
    in_bin = np.take_along_axis(counts, bin_index[..., None], -1)[..., 0]
    before_bin = np.take_along_axis(cumulative, bin_index[..., None], -1)[..., 0] - in_bin
    fraction = np.where(in_bin > 0, (rank[..., 0] - before_bin) / np.maximum(in_bin, 1e-12), 0.0)
    value = MIN_BIN_US * np.exp((bin_index + np.clip(fraction, 0.0, 1.0)) * BIN_LOG_STEP)
    return np.where(cumulative[..., -1] > 0, value, 0.0)
