"""Ties the audit's reporter to the parts of the process."""

from __future__ import annotations

import random

import msgspec

import woadyard
from woadyard.audit import AuditSettings
from woadyard.audit.position import token
from woadyard.errors import PeerError
from woadyard.net.discovery import LISTS, Discovery
from woadyard.net.driver import Driver
from woadyard.net.reporter import Orders, Reporter
from woadyard.net.server import Server


def reporter_of(
    settings: AuditSettings, name: str, driver: Driver, discovery: Discovery, server: Server
) -> Reporter:
    """To be made before the driver starts, so that its first settings are told."""

    def listed(raw: bytes) -> bool:
        try:
            told = LISTS.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"no list: {error}") from None
        return discovery.take(told)

    def shut_out(out: bool) -> None:
        server.shut_out = out

    orders = Orders(listed, discovery.again, shut_out, driver.distrust)
    # Not the seed's chance: processes of one file must not report in step.
    reporter = Reporter(
        settings, name, token(woadyard.__version__), lambda: discovery.telling, orders, random.Random()
    )
    driver.observe(reporter)
    driver.attempts.unsent = reporter.unsent
    return reporter
