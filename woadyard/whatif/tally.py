"""Facts counted by blocks of time: all that a forecast needs of a replay, and small."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from woadyard.whatif.observations import Column, Observations
from woadyard.whatif.trace import ANSWERED, FAILED, REFUSED

Floats = NDArray[np.float64]

# Latencies are counted in bins a fiftieth apart, from 50 µs to over a minute.
MIN_BIN_US, BIN_LOG_STEP, BIN_COUNT = 50.0, 0.02, 720


@dataclass(frozen=True)
class TallyLayout:
    """The blocks and groups that tallies of one forecast share; times in µs."""

    start: int
    block_us: int
    blocks: int
    classes: int
    tenants: int
    endpoint_limits: tuple[int, ...]  # by endpoint, 0: none known
    tip_window_us: int  # the span in which a cold endpoint is tipped over


@dataclass(frozen=True)
class Tally:
    """Counts by block. Groups are: all, then each class, then each tenant."""

    count: Column  # [group, block]
    good: Column  # answered within the aim
    refused: Column
    failed: Column
    latency: Column  # [class + 1, block, bin], of answered ones
    sends: Column  # [endpoint, block]
    crossed: Column  # [block]
    fresh: Column  # [block]
    thin: Column  # [block]
    peak: Column  # [endpoint]
    over_limit: Column  # [endpoint, block] attempts that found the limit reached
    cold_peak: Column  # [endpoint] most attempts in one span while it was starting
    digest: str


def latency_bins(took: Column) -> Column:
    at = np.log(np.maximum(1, took) / MIN_BIN_US) / BIN_LOG_STEP
    return np.asarray(np.clip(at, 0, BIN_COUNT - 1), dtype=np.int64)


def build_tally(facts: Observations, frame: TallyLayout) -> Tally:
    asked, tried = facts.requests, facts.attempts
    blocks, endpoints = frame.blocks, len(frame.endpoint_limits)
    inside, block = _blocks(asked.at, frame)
    cls, tenant = asked.cls[inside], np.minimum(asked.tenant[inside], max(0, frame.tenants - 1))
    end, took = asked.result[inside], asked.latency_us[inside]
    good = (end == ANSWERED) & (took <= asked.aim_us[inside])
    answered = end == ANSWERED

    def groups(which: NDArray[np.bool_]) -> Column:
        parts = [_count((block[which],), (blocks,))[None]]
        parts.append(_count((cls[which], block[which]), (frame.classes, blocks)))
        if frame.tenants:
            parts.append(_count((tenant[which], block[which]), (frame.tenants, blocks)))
        return np.concatenate(parts)

    latency = np.zeros((frame.classes + 1, blocks, BIN_COUNT), dtype=np.int64)
    where = (cls[answered], block[answered], latency_bins(took[answered]))
    latency[1:] = _count(where, (frame.classes, blocks, BIN_COUNT))
    latency[0] = latency[1:].sum(axis=0)

    within, slot = _blocks(tried.at, frame)
    place, found = tried.endpoint[within], tried.in_flight[within]
    limits = np.asarray(frame.endpoint_limits, dtype=np.int64)
    full = (limits[place] > 0) & (found >= limits[place])
    peak = np.zeros(endpoints, dtype=np.int64)
    np.maximum.at(peak, place, found + 1)
    return Tally(
        count=groups(np.ones(len(cls), dtype=bool)),
        good=groups(good),
        refused=groups(end == REFUSED),
        failed=groups(end == FAILED),
        latency=latency,
        sends=_count((place, slot), (endpoints, blocks)),
        crossed=_sum(slot, tried.crossed[within], blocks),
        fresh=_sum(slot, tried.fresh[within], blocks),
        thin=_sum(slot, tried.thin[within], blocks),
        peak=peak,
        over_limit=_count((place[full], slot[full]), (endpoints, blocks)),
        cold_peak=cold_start_peaks(facts, frame),
        digest=facts.digest(),
    )


def cold_start_peaks(facts: Observations, frame: TallyLayout) -> Column:
    """For each endpoint the most attempts in one tipping span while it was starting."""
    tried = facts.attempts
    found = np.zeros(len(frame.endpoint_limits), dtype=np.int64)
    for place in np.unique(tried.endpoint[tried.cold > 0]):
        at = np.sort(tried.at[(tried.endpoint == place) & (tried.cold > 0)])
        found[place] = int((np.searchsorted(at, at + frame.tip_window_us) - np.arange(len(at))).max())
    return found


def _blocks(at: Column, frame: TallyLayout) -> tuple[NDArray[np.bool_], Column]:
    block = (at - frame.start) // frame.block_us
    inside = (at >= frame.start) & (block < frame.blocks)
    return inside, block[inside]


def _count(where: Sequence[Column], shape: tuple[int, ...]) -> Column:
    flat = np.ravel_multi_index(tuple(where), shape)
    return np.asarray(np.bincount(flat, minlength=int(np.prod(shape))).reshape(shape), dtype=np.int64)


def _sum(slot: Column, values: Column, blocks: int) -> Column:
    return np.asarray(np.bincount(slot, weights=values, minlength=blocks), dtype=np.int64)


def histogram_quantile(counts: Floats, q: float) -> Floats:
    """The q-quantile in µs of histograms in the last axis; 0 where nothing was counted."""
    total = counts.cumsum(axis=-1)
    rank = q * total[..., -1:]
    at = np.minimum((total < rank).sum(axis=-1), BIN_COUNT - 1)
    here = np.take_along_axis(counts, at[..., None], -1)[..., 0]
    before = np.take_along_axis(total, at[..., None], -1)[..., 0] - here
    part = np.where(here > 0, (rank[..., 0] - before) / np.maximum(here, 1e-12), 0.0)
    value = MIN_BIN_US * np.exp((at + np.clip(part, 0.0, 1.0)) * BIN_LOG_STEP)
    return np.where(total[..., -1] > 0, value, 0.0)
