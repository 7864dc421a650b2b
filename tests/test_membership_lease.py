"""Drains while discovery is overloaded: real processes, and a discovery that rejects every call.

A change binds a sidecar at most 6 s after discovery has it, whether it was received or not; the grace
of a drain and the slack of the rules come on top (STANDING.md, PROTOCOL)."""

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
    """An endpoint that serves requests for a while after it began to drain, and then rejects them."""

    serves_for_s: float
    drained_at: float = float("inf")
    arrived_at: list[float] = field(default_factory=list)

    async def handle(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        now = time.monotonic()
        self.arrived_at.append(now)
        writer.write(http_response() if now < self.drained_at + self.serves_for_s else NOT_RUN)

    def late(self) -> list[float]:
        """Return the arrivals after the drain bound every sidecar, in seconds since discovery had it."""
        bound = self.drained_at + BINDING_S + GRACE_S + SLACK_S
        return [round(at_s - self.drained_at, 2) for at_s in self.arrived_at if at_s > bound]


async def endpoints(lab: Lab, draining: list[Draining]) -> list[dict[str, Any]]:
    listeners = [await lab.endpoint(behaviour.handle) for behaviour in draining]
    return [listener.entry(f"s-{number}") for number, listener in enumerate(listeners)]


# 60 s guards against responses that extend the lease: an endpoint that drains may serve on to the end.
@pytest.mark.parametrize("serves_for_s", [0.0, 2.0, 60.0])
async def test_no_request_reaches_a_drained_endpoint_while_discovery_rejects_all_calls(
    lab: Lab, serves_for_s: float
) -> None:
    draining = [Draining(serves_for_s) for _ in range(4)]
    entries = await endpoints(lab, draining)
    registry = await lab.listen(OverloadedRegistry(entries=entries))
    sidecar = await lab.sidecar(endpoints=entries, discovery=registry, settings=ASKING)
    await registry.list_sent.wait()
    load = asyncio.ensure_future(sidecar.run_load())
    await asyncio.sleep(0.5)
    registry.overload()
    for endpoint in draining:
        endpoint.drained_at = time.monotonic()
    await asyncio.sleep(BINDING_S + 2.5)
    load.cancel()
    assert all(endpoint.arrived_at for endpoint in draining) and registry.rejected
    assert not any(endpoint.late() for endpoint in draining)


async def test_process_started_during_an_overload_sends_nothing_once_the_drain_binds(lab: Lab) -> None:
    draining = [Draining(2.0) for _ in range(4)]
    entries = await endpoints(lab, draining)
    registry = await lab.listen(OverloadedRegistry(is_overloaded=True))
    for endpoint in draining:
        endpoint.drained_at = time.monotonic()
    sidecar = await lab.sidecar(endpoints=entries, discovery=registry, settings=ASKING)
    load = asyncio.ensure_future(sidecar.run_load())
    await asyncio.sleep(BINDING_S + 2.5)
    load.cancel()
    assert registry.rejected and sidecar.statuses[503]
    assert not any(endpoint.arrived_at for endpoint in draining), "the configured list grants no lease"
