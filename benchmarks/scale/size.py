"""The target size of the system, read from `size.toml`: the requirements and the page's assumptions."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from woadyard.errors import WoadyardError

DEFAULT_PATH = Path(__file__).with_name("size.toml")

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]


class SizeError(WoadyardError):
    """The size file can't be read or holds an invalid value."""

    remedy = "set exactly the fields of benchmarks/scale/size.py, in the units of their names"


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Required numbers of sidecars, endpoints, services and machines, and the rate of requests."""

    sidecars: PositiveInt
    endpoints: PositiveInt
    services: PositiveInt
    calls_per_s: PositiveFloat
    depth: PositiveInt
    regions: PositiveInt
    zones: PositiveInt
    control_machines: PositiveInt


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits: added latency of a request, delay of a configuration change, and control cost of a sidecar."""

    added_p99_s: PositiveFloat
    in_force_s: PositiveFloat
    control_core: Share
    control_rss_bytes: PositiveFloat
    control_bytes_per_s: PositiveFloat


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expected frequency of changes and failures."""

    changes_a_day: PositiveInt
    machine_failures_a_day: PositiveInt
    restarts_a_day: PositiveInt
    racks_a_year: PositiveInt
    zone_failures_a_year: PositiveInt
    region_splits_a_year: PositiveInt
    region_split_s: PositiveFloat


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Goals for the control plane."""

    writer_core: Share
    relay_core: Share
    report_p99_s: PositiveFloat
    change_p99_s: PositiveFloat


class Assumed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assumptions beyond the requirements; the page marks the figures that are derived from them."""

    way_s: PositiveFloat
    burst_changes: PositiveInt
    lease_s: PositiveFloat
    report_s: PositiveFloat
    gossip_s: PositiveFloat
    control_cores: PositiveInt


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of `size.toml`."""

    fleet: Fleet
    budget: Budget
    day: Day
    goal: Goal
    assumed: Assumed

    def figures(self) -> dict[str, float]:
        """Return all values by field name; field names are unique across the sections."""
        sections = (self.fleet, self.budget, self.day, self.goal, self.assumed)
        return {
            name: float(value)
            for section in sections
            for name, value in msgspec.structs.asdict(section).items()
        }


def read_size(path: Path = DEFAULT_PATH) -> Size:
    """Read a size file; raises SizeError if it can't be read or a value is invalid."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Size)
    except OSError as error:
        raise SizeError(f"{path}: {error.strerror or error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SizeError(f"{path}: {error}") from None
