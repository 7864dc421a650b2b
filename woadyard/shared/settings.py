"""The `shared` part of the configuration: absent, nothing is shared."""

from __future__ import annotations

from typing import Annotated

import msgspec

from woadyard.sections import read_section

PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Token = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9-]*\Z")]


class SharedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Where and how sidecars exchange state. The defaults' reasons are in docs/ROADMAP.md:
    measured convergence and its margin."""

    listen: str  # HOST:PORT for peers; port 0 lets the system pick
    peers: str  # the list service that names the peers, replicas with commas between
    interval_ms: PositiveFloat = 500.0  # between two exchanges
    verdict_bound_ms: PositiveFloat = 10_000.0  # a verdict older counts as absent
    eject_share: Share = 0.3  # of the list that others' verdicts may lower
    advertise: str | None = None  # HOST:PORT at which peers reach this one, where it is not `listen`

    affinity_header: Token = ""  # requests alike in it go to one endpoint
    limit: Count = 0  # attempts out at one endpoint from all sidecars; 0 = no limit
    limit_floor: Count = 1  # from each sidecar without a share
    limit_lease_ms: PositiveFloat = 10_000.0  # a share is held for so long without renewal

    @property
    def interval_s(self) -> float:
        return self.interval_ms / 1e3

    @property
    def lease_s(self) -> float:
        return self.limit_lease_ms / 1e3

    @property
    def bounds_us(self) -> dict[str, int]:
        return {"verdict": int(self.verdict_bound_ms * 1e3)}


def read_shared(raw: object) -> SharedSettings | None:
    """The settings in `raw`, the file's `shared`; ConfigError if they are bad."""
    return read_section(raw, SharedSettings, "shared")
