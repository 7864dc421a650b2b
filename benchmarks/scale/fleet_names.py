"""Names, zones and list entries of the simulated fleet, as long as real ones."""

from __future__ import annotations

import hashlib
from typing import Any

# Ten zones in three regions.
ZONES = (
    "eu-central-1a", "eu-central-1b", "eu-central-1c", "eu-central-1d",
    "us-east-1a", "us-east-1b", "us-east-1c",
    "ap-south-1a", "ap-south-1b", "ap-south-1c",
)  # fmt: skip
SERVICE_COUNT = 130
REGIONS = tuple(dict.fromkeys(zone[:-2] for zone in ZONES))


def zone_name(n: int) -> str:
    """Return the zone of the n-th sidecar."""
    return ZONES[n % len(ZONES)]


def region_index(n: int) -> int:
    """Return the index in `REGIONS` of the n-th sidecar's region."""
    return REGIONS.index(zone_name(n)[:-2])


def service_name(n: int) -> str:
    """Return the service of the n-th sidecar."""
    return f"booking-quotes-{n % SERVICE_COUNT:03d}"


def instance_id(n: int) -> str:
    """Return the instance id of the n-th sidecar, for example `s-5be2a07c`."""
    return f"s-{hashlib.blake2b(b'%d' % n, digest_size=4).hexdigest()}"


def sidecar_name(n: int) -> str:
    """Return the name of the n-th sidecar: its service and its instance id."""
    return f"{service_name(n)}-{instance_id(n)}"


def list_entry(n: int, **changes: Any) -> dict[str, Any]:
    """Return the list entry of the endpoint beside the n-th hollow sidecar, with `changes` applied.

    It is draining, as nothing listens at its address: real sidecars must send no requests there.
    """
    return {
        "instanceId": instance_id(n), "hostPort": f"127.{64 + n % 64}.{n // 64 % 256}.{n % 64 + 100}:18443",
        "service": service_name(n), "zone": zone_name(n), "machineType": "c7-standard-8", "cell": n % 16,
        "lifecycle": "draining", "weight": 1.0, "startedAtMs": 1_796_000_000_000 + n, **changes,
    }  # fmt: skip
