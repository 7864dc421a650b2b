"""Creates the audit reporter and connects it to the discovery client, the driver and the server."""

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
from woadyard.net.experiment_arms import ExperimentArms
from woadyard.net.experiment_counts import ExperimentCounts
from woadyard.net.experiment_participant import ExperimentParticipant
from woadyard.net.list_stream import LIST_DECODER
from woadyard.net.reporter import AuditHandlers, Reporter
from woadyard.net.server import Server

HOLD_CHECK_INTERVAL_S = 0.25  # between checks whether an experiment must hold


def create_reporter(
    settings: AuditSettings, name: str, driver: Driver, discovery: Discovery, server: Server
) -> Reporter:
    """Create the reporter; call before the driver starts, so that its first settings are reported."""

    def apply_list(raw: bytes) -> bool:
        try:
            message = LIST_DECODER.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"invalid list: {error}") from None
        return discovery.receive(message)

    def set_shut_out(shut_out: bool) -> None:
        server.is_shut_out = shut_out

    handlers = AuditHandlers(apply_list, discovery.restart_watch, set_shut_out, driver.ignore_verdicts)
    participant = create_experiment_participant(driver, handlers)
    # Not seeded: processes with the same configuration must not report in step.
    reporter = Reporter(
        settings,
        name,
        sanitize_field(woadyard.__version__),
        lambda: discovery.latest_term,
        handlers,
        random.Random(),
    )
    driver.add_observer(reporter)
    participant.on_hold = lambda: reporter.set_experiment(0)
    driver.attempts.on_unsent = reporter.attempt_unsent
    return reporter


def create_experiment_participant(driver: Driver, handlers: AuditHandlers) -> ExperimentParticipant:
    """Connect experiments to the reporter, whose reports and responses carry their counts and directives."""

    def apply_split(split: Split | None) -> None:
        driver.dispatch(driver.balancer.split, split)

    arms = ExperimentArms(apply_split)
    counts = ExperimentCounts(arms.assigned_arm, on_list_applied=arms.list_applied)
    participant = ExperimentParticipant(counts, arms.follow_directive, driver.now())

    def check_hold() -> None:
        participant.hold_if_overdue(driver.now())
        if participant.hold_deadline_us() is not None:
            driver.loop.call_later(HOLD_CHECK_INTERVAL_S, check_hold)

    def apply_directive(raw: Any) -> int:
        is_checking = participant.hold_deadline_us() is not None
        revision = participant.apply_directive(raw, driver.now())
        if not is_checking:
            check_hold()
        return revision

    def reports_acknowledged(numbers: Collection[int]) -> None:
        participant.service_responded(driver.now())
        counts.reports_acknowledged(numbers)

    handlers.apply_experiment, handlers.reports_acknowledged = apply_directive, reports_acknowledged
    handlers.collect_evidence = lambda: counts.report(driver.now())
    driver.add_observer(counts)
    return participant
