"""Entries as long as real ones: names, zones and addresses of the size that is designed for."""

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
ENDPOINTS_PER_CELL = 4  # endpoints that share one
FIRST_START_MS = 1_764_000_000_000  # long ago: none is cold


def instance_ids(size: int) -> list[str]:
    """Distinct, the same in each run."""
    rng, found = random.Random(27), dict[str, None]()
    while len(found) < size:
        found[f"s-{rng.getrandbits(32):08x}"] = None
    return list(found)


def host_port(at: int, ports: list[int] | None) -> str:
    return f"127.0.0.1:{ports[at % len(ports)]}" if ports else f"10.12.{130 + at // 200}.{at % 200}:7070"


def list_entries(size: int, ports: list[int] | None = None) -> list[dict[str, Any]]:
    """A list of `size` endpoints, spread over the zones. With `ports` they stand on this machine, on
    these in turns; without, at addresses that are as long as real ones and are never called."""
    return [
        {
            "instanceId": name, "hostPort": host_port(n, ports),
            "zone": ZONES[n % len(ZONES)], "machineType": "c7g-2xlarge", "cell": n // ENDPOINTS_PER_CELL,
            "lifecycle": "ready", "weight": 1.0, "startedAtMs": FIRST_START_MS + n,
        }
        for n, name in enumerate(instance_ids(size))
    ]  # fmt: skip
