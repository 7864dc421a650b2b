"""The `shared` section of the configuration; without it no state is shared."""

from __future__ import annotations

from typing import Annotated

import msgspec

from woadyard.sections import read_section

PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Token = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9-]*\Z")]


class SharedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Where and how sidecars exchange state; docs/ROADMAP.md has the reasons for the defaults."""

    listen: str  # HOST:PORT for peers; port 0 lets the system pick
    peers: str  # HOST:PORT of the list service, replicas separated by commas
    interval_ms: PositiveFloat = 500.0  # between exchanges
    verdict_bound_ms: PositiveFloat = 10_000.0  # an older verdict is ignored
    eject_share: Share = 0.3  # of the listed endpoints whose weight other sidecars' verdicts may lower
    advertise: str | None = None  # HOST:PORT at which peers reach this sidecar, if not `listen`

    affinity_header: Token = ""  # requests with the same value go to one endpoint
    limit: Count = 0  # attempts in flight at one endpoint from all sidecars; 0 = no limit
    limit_floor: Count = 1  # attempts in flight that a sidecar without a share may have
    limit_lease_ms: PositiveFloat = 10_000.0  # duration of a share without renewal

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
    """Read `raw`, the configuration's `shared`; ConfigError if it is invalid."""
    return read_section(raw, SharedSettings, "shared")
