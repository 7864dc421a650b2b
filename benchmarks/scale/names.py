"""Names, zones and list entries of the fleet: as long as real ones."""

from __future__ import annotations

import hashlib
from typing import Any

# Ten zones in three regions.
ZONES = (
    "eu-central-1a", "eu-central-1b", "eu-central-1c", "eu-central-1d",
    "us-east-1a", "us-east-1b", "us-east-1c",
    "ap-south-1a", "ap-south-1b", "ap-south-1c",
)  # fmt: skip
SERVICES = 130
REGIONS = tuple(dict.fromkeys(one[:-2] for one in ZONES))


def zone(n: int) -> str:
    return ZONES[n % len(ZONES)]


def region(n: int) -> int:
    """Its place among the regions."""
    return REGIONS.index(zone(n)[:-2])


def service(n: int) -> str:
    return f"booking-quotes-{n % SERVICES:03d}"


def instance(n: int) -> str:
    """Such as `s-5be2a07c`."""
    return f"s-{hashlib.blake2b(b'%d' % n, digest_size=4).hexdigest()}"


def sidecar(n: int) -> str:
    return f"{service(n)}-{instance(n)}"


def entry(n: int, **changes: Any) -> dict[str, Any]:
    """The list entry of a hollow sidecar's endpoint. It is told as draining: nothing listens
    at its address, and the real sidecars beside it are to send nothing there."""
    return {
        "instanceId": instance(n), "hostPort": f"127.{64 + n % 64}.{n // 64 % 256}.{n % 64 + 100}:18443",
        "service": service(n), "zone": zone(n), "machineType": "c7-standard-8", "cell": n % 16,
        "lifecycle": "draining", "weight": 1.0, "startedAtMs": 1_796_000_000_000 + n, **changes,
    }  # fmt: skip
