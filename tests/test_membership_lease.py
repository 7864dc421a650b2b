"""Drains that discovery cannot tell of: real processes, and a discovery that turns every call away.

A change binds a sidecar at the latest 6 s after discovery had it, heard or not; the grace of a
drain and the slack of the rules come on top (STANDING.md, PROTOCOL)."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.lab import Lab
from tests.overloaded_registry import OverloadedRegistry
from tests.sockets import SETTINGS, Endpoint, Message, Writer, http_response

BINDING_S, GRACE_S, SLACK_S = 6.0, 0.25, 0.05
INVARIANTS = {"drain-grace-us": 250_000, "ask-within-us": 3_000_000}
ASKING: dict[str, Any] = {**SETTINGS, "discovery": "ask", "invariants": INVARIANTS}
NOT_RUN = http_response(503, b"", "X-Not-Run: 1\r\n")


@dataclass
class Draining:
    """An endpoint that goes on answering for a while after it began to drain, and then turns away."""

    answers_for_s: float
    drained_at: float = float("inf")
    arrived_at: list[float] = field(default_factory=list)

    async def handle(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        now = time.monotonic()
        self.arrived_at.append(now)
        writer.write(http_response() if now < self.drained_at + self.answers_for_s else NOT_RUN)

    def late(self) -> list[float]:
        """Arrivals after the drain bound every sidecar, in seconds after discovery had it."""
        bound = self.drained_at + BINDING_S + GRACE_S + SLACK_S
        return [round(at - self.drained_at, 2) for at in self.arrived_at if at > bound]


async def endpoints(lab: Lab, draining: list[Draining]) -> list[dict[str, Any]]:
    found = [await lab.endpoint(one.handle) for one in draining]
    return [one.entry(f"s-{number}") for number, one in enumerate(found)]


@pytest.mark.parametrize("answers_for_s", [0.0, 2.0])
async def test_no_request_reaches_a_drained_endpoint_though_discovery_turns_all_calls_away(
    lab: Lab, answers_for_s: float
) -> None:
    draining = [Draining(answers_for_s) for _ in range(4)]
    entries = await endpoints(lab, draining)
    registry = await lab.listen(OverloadedRegistry(entries=entries))
    sidecar = await lab.sidecar(endpoints=entries, discovery=registry, settings=ASKING)
    await registry.list_sent.wait()
    load = asyncio.ensure_future(sidecar.load())
    await asyncio.sleep(0.5)
    registry.overload()
    for one in draining:
        one.drained_at = time.monotonic()
    await asyncio.sleep(BINDING_S + 2.5)
    load.cancel()
    assert all(one.arrived_at for one in draining) and registry.rejected
    assert not any(one.late() for one in draining)


async def test_a_process_that_starts_into_the_crowd_sends_nothing_once_the_drain_binds(lab: Lab) -> None:
    draining = [Draining(2.0) for _ in range(4)]
    entries = await endpoints(lab, draining)
    registry = await lab.listen(OverloadedRegistry(is_overloaded=True))
    for one in draining:
        one.drained_at = time.monotonic()
    sidecar = await lab.sidecar(endpoints=entries, discovery=registry, settings=ASKING)
    load = asyncio.ensure_future(sidecar.load())
    await asyncio.sleep(BINDING_S + 2.5)
    load.cancel()
    assert registry.rejected and sidecar.statuses[503]
    assert not any(one.arrived_at for one in draining), "the list from before the start has no lease"
