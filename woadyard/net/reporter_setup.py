"""Ties the audit's reporter to the parts of the process."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Any

import msgspec

import woadyard
from woadyard.audit import AuditSettings
from woadyard.audit.position import token
from woadyard.errors import PeerError
from woadyard.interface import Split
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.experiment_arms import ExperimentArms
from woadyard.net.experiment_counts import ExperimentCounts
from woadyard.net.experiment_participant import ExperimentParticipant
from woadyard.net.list_stream import LIST_DECODER
from woadyard.net.reporter import AuditHandlers, Reporter
from woadyard.net.server import Server

HOLD_CHECK_INTERVAL_S = 0.25  # at whether an experiment holds


def create_reporter(
    settings: AuditSettings, name: str, driver: Driver, discovery: Discovery, server: Server
) -> Reporter:
    """To be made before the driver starts, so that its first settings are told."""

    def listed(raw: bytes) -> bool:
        try:
            told = LIST_DECODER.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"no list: {error}") from None
        return discovery.receive(told)

    def shut_out(out: bool) -> None:
        server.is_shut_out = out

    orders = AuditHandlers(listed, discovery.restart_watch, shut_out, driver.ignore_verdicts)
    trials = create_experiment_participant(driver, orders)
    # Not the seed's chance: processes of one file must not report in step.
    reporter = Reporter(
        settings, name, token(woadyard.__version__), lambda: discovery.latest_term, orders, random.Random()
    )
    driver.add_observer(reporter)
    trials.on_hold = lambda: reporter.set_experiment(0)
    driver.attempts.on_unsent = reporter.attempt_unsent
    return reporter


def create_experiment_participant(driver: Driver, orders: AuditHandlers) -> ExperimentParticipant:
    """Experiments go by the audit's reports and answers; with none of them nothing is split."""

    def tell(split: Split | None) -> None:
        driver.dispatch(driver.balancer.split, split)

    arms = ExperimentArms(tell)
    counts = ExperimentCounts(arms.assigned_arm, on_list_applied=arms.list_applied)
    trials = ExperimentParticipant(counts, arms.follow_directive, driver.now())

    def look() -> None:
        trials.hold_if_overdue(driver.now())
        if trials.hold_deadline_us() is not None:
            driver.loop.call_later(HOLD_CHECK_INTERVAL_S, look)

    def follow(told: Any) -> int:
        looks = trials.hold_deadline_us() is not None
        revision = trials.apply_directive(told, driver.now())
        if not looks:
            look()
        return revision

    def acked(numbers: Collection[int]) -> None:
        trials.service_responded(driver.now())
        counts.reports_acknowledged(numbers)

    orders.apply_experiment, orders.reports_acknowledged = follow, acked
    orders.collect_evidence = lambda: counts.report(driver.now())
    driver.add_observer(counts)
    return trials
