"""Ties the audit's reporter to the parts of the process."""

from __future__ import annotations

import random
from typing import Any

import msgspec

import woadyard
from woadyard.audit import AuditSettings
from woadyard.audit.position import token
from woadyard.errors import PeerError
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.reporter import Orders, Reporter
from woadyard.net.server import Server


class Plan(msgspec.Struct):
    """Proposed weights: factors of the list's, by instance id; the largest of them counts as 1."""

    revision: int
    weights: dict[str, float]


def reporter_of(
    settings: AuditSettings, name: str, driver: Driver, discovery: Discovery, server: Server
) -> Reporter:
    """To be made before the driver starts, so that its first settings are told."""

    def shut_out(out: bool) -> None:
        server.shut_out = out

    def plan(told: Any) -> int:
        try:
            read = msgspec.convert(told, Plan)
        except msgspec.ValidationError as error:
            raise PeerError(f"no plan: {error}") from None
        most = max(read.weights.values(), default=1.0)
        if not all(0.0 < weight <= most < float("inf") for weight in read.weights.values()):
            raise PeerError(f"plan {read.revision} has a weight that is not above 0")
        driver.weigh({name: weight / most for name, weight in read.weights.items()})
        return read.revision

    orders = Orders(discovery.line, discovery.again, shut_out, driver.distrust, plan)
    # Not the seed's chance: processes of one file must not report in step.
    reporter = Reporter(
        settings, name, token(woadyard.__version__), lambda: discovery.telling, orders, random.Random()
    )
    driver.observe(reporter)
    driver.attempts.unsent = reporter.unsent
    return reporter
