"""The size to design for, as `size.toml` holds it: the letter's figures, and what the page assumes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from woadyard.errors import WoadyardError

DEFAULT_PATH = Path(__file__).with_name("size.toml")

Count = Annotated[int, msgspec.Meta(ge=1)]
Above = Annotated[float, msgspec.Meta(gt=0.0)]
Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]


class SizeError(WoadyardError):
    """The file of sizes can't be read, or has a figure that is none."""

    remedy = "give each figure of benchmarks/scale/size.py, and no other, in the unit of its name"


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    sidecars: Count
    endpoints: Count
    services: Count
    calls_per_s: Above
    depth: Count
    regions: Count
    zones: Count
    control_machines: Count


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of a sidecar's control but for the first two: of a call, and of a change of configuration."""

    added_p99_s: Above
    in_force_s: Above
    control_core: Share
    control_rss_bytes: Above
    control_bytes_per_s: Above


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    changes_a_day: Count
    machine_failures_a_day: Count
    restarts_a_day: Count
    racks_a_year: Count
    zone_failures_a_year: Count
    region_splits_a_year: Count
    region_split_s: Above


class Goal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The issue's, of the control plane."""

    writer_core: Share
    relay_core: Share
    report_p99_s: Above
    change_p99_s: Above


class Assumed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Not the letter's: whatever is reckoned from these is marked so on the page."""

    way_s: Above
    burst_changes: Count
    lease_s: Above
    report_s: Above
    gossip_s: Above
    control_cores: Count


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fleet: Fleet
    budget: Budget
    day: Day
    goal: Goal
    assumed: Assumed

    def figures(self) -> dict[str, float]:
        """All figures by name; no two parts have a name in common."""
        parts = (self.fleet, self.budget, self.day, self.goal, self.assumed)
        return {name: float(value) for part in parts for name, value in msgspec.structs.asdict(part).items()}


def read_size(path: Path = DEFAULT_PATH) -> Size:
    """The sizes in the file; SizeError where it can't be read or a figure is none."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Size)
    except OSError as error:
        raise SizeError(f"{path}: {error.strerror or error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SizeError(f"{path}: {error}") from None
