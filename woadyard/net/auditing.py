"""Ties the audit's reporter to the parts of the process."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Any

import msgspec

import woadyard
from woadyard.audit import AuditSettings
from woadyard.audit.position import sanitize_field
from woadyard.errors import PeerError
from woadyard.interface import Split
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.evidence import EvidenceCounts
from woadyard.net.experiment_arms import ExperimentArms
from woadyard.net.list_stream import LIST_DECODER
from woadyard.net.reporter import Orders, Reporter
from woadyard.net.server import Server
from woadyard.net.trials import Trials

LOOK_S = 0.25  # at whether an experiment holds


def reporter_of(
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

    orders = Orders(listed, discovery.restart_watch, shut_out, driver.ignore_verdicts)
    trials = trials_of(driver, orders)
    # Not the seed's chance: processes of one file must not report in step.
    reporter = Reporter(
        settings,
        name,
        sanitize_field(woadyard.__version__),
        lambda: discovery.latest_term,
        orders,
        random.Random(),
    )
    driver.add_observer(reporter)
    trials.held = lambda: reporter.experiment(0)
    driver.attempts.on_unsent = reporter.unsent
    return reporter


def trials_of(driver: Driver, orders: Orders) -> Trials:
    """Experiments go by the audit's reports and answers; with none of them nothing is split."""

    def tell(split: Split | None) -> None:
        driver.dispatch(driver.balancer.split, split)

    arms = ExperimentArms(tell)
    counts = EvidenceCounts(arms.assigned_arm, lists=arms.list_applied)
    trials = Trials(counts, arms.follow_directive, driver.now())

    def look() -> None:
        trials.look(driver.now())
        if trials.due() is not None:
            driver.loop.call_later(LOOK_S, look)

    def follow(told: Any) -> int:
        looks = trials.due() is not None
        revision = trials.follow(told, driver.now())
        if not looks:
            look()
        return revision

    def acked(numbers: Collection[int]) -> None:
        trials.heard(driver.now())
        counts.acked(numbers)

    orders.experiment, orders.acked = follow, acked
    orders.evidence = lambda: counts.report(driver.now())
    driver.add_observer(counts)
    return trials
