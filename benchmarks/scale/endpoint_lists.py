"""Synthetic endpoint lists whose names, zones and addresses are as long as real ones."""

from __future__ import annotations

import random
from typing import Any

# Ten zones in three regions.
ZONES = (
    "eu-west-1a", "eu-west-1b", "eu-west-1c", "eu-west-1d",
    "us-east-1a", "us-east-1b", "us-east-1c",
    "ap-south-1a", "ap-south-1b", "ap-south-1c",
)  # fmt: skip
REGIONS = {zone: zone[:-1] for zone in ZONES}
ENDPOINTS_PER_CELL = 4
FIRST_START_MS = 1_764_000_000_000  # long ago, so that no endpoint is in slow start


def instance_ids(size: int) -> list[str]:
    """Return distinct instance ids, the same in each run."""
    rng, ids = random.Random(27), dict[str, None]()
    while len(ids) < size:
        ids[f"s-{rng.getrandbits(32):08x}"] = None
    return list(ids)


def host_port(n: int, ports: list[int] | None) -> str:
    """Return the address of the n-th endpoint: a loopback port, or an address that is never connected to."""
    return f"127.0.0.1:{ports[n % len(ports)]}" if ports else f"10.12.{130 + n // 200}.{n % 200}:7070"


def list_entries(size: int, ports: list[int] | None = None) -> list[dict[str, Any]]:
    """Return a list of `size` endpoints, spread over the zones.

    With `ports` their addresses are these ports of the loopback interface, in rotation; without, they
    are addresses as long as real ones that are never connected to.
    """
    return [
        {
            "instanceId": name, "hostPort": host_port(n, ports),
            "zone": ZONES[n % len(ZONES)], "machineType": "c7g-2xlarge", "cell": n // ENDPOINTS_PER_CELL,
            "lifecycle": "ready", "weight": 1.0, "startedAtMs": FIRST_START_MS + n,
        }
        for n, name in enumerate(instance_ids(size))
    ]  # fmt: skip
