"""Watches that resume while the list stays the same, with the list service and a sidecar as processes."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from tests.lab import POLL_INTERVAL_S, Lab, Program, address
from tests.test_membership_lease import ASKING
from tests.test_metrics import samples
from woadyard.standins import DROP


async def heartbeats(sidecar: Program) -> tuple[float, float]:
    """Return how many heartbeats renewed the lease, and how many did not."""
    counts = samples(await sidecar.metrics())
    name = "woadyard_discovery_heartbeats_total{renewed=%s}"
    return counts[name % "yes"], counts[name % "no"]


@pytest.mark.parametrize("path", ["moved", "restarted", "replica silent"])
async def test_the_lease_is_renewed_after_a_watch_resumes_on_an_unchanged_list(lab: Lab, path: str) -> None:
    # Guards against sidecars that refuse every request once discovery moved, restarted or lost a replica.
    endpoint, service = await lab.endpoint(), await lab.service()
    await lab.register(service, "s-0", endpoint)
    proxies = [await lab.proxy(service), await lab.proxy(service)]
    sidecar = await lab.sidecar(discovery=proxies[: 1 + (path == "replica silent")], settings=ASKING)
    await sidecar.wait_metric("woadyard_list_version 1.0")
    connections = sum(proxy.accepted_connections for proxy in proxies)
    match path:
        case "moved":
            config = sidecar.folder / "config.json"
            moved = {**json.loads(config.read_text()), "discovery": address(proxies[1])}
            config.write_text(json.dumps(moved))
            sidecar.signal_process(signal.SIGHUP)
        case "restarted":
            await lab.restart(service)
        case "replica silent":
            max(proxies, key=lambda proxy: proxy.accepted_connections).set_fault(DROP)
    while sum(proxy.accepted_connections for proxy in proxies) == connections:
        await asyncio.sleep(POLL_INTERVAL_S)
    count = sum(await heartbeats(sidecar))
    while sum(counts := await heartbeats(sidecar)) < count + 2:
        await asyncio.sleep(POLL_INTERVAL_S)
    assert counts[1] == 0, "a heartbeat confirmed no list"
    assert (await sidecar.request()).start_line.split()[1] == "200"
