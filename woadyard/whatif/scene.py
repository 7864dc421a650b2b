"""Several sidecars' traces side by side: one clock, one numbering of the endpoints."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

from woadyard.errors import TraceError
from woadyard.interface import DRAINING, GONE, READY, Entry, Settings
from woadyard.net.state import endpoint_number
from woadyard.whatif.trace import Asked, Listed, Retuned, Trace
from woadyard.whatif.weights import Weights, resolve_factors

# Scenes begin this far from 0, so that an endpoint started before has a time above 0: 0 is long ago.
LEAD_US = 3_600_000_000
PHASES = {"ready": READY, "draining": DRAINING, "gone": GONE}


class Side:
    """One sidecar of a scene. `shift` is added to its clock."""

    def __init__(self, trace: Trace, shift: int) -> None:
        self.trace, self.shift = trace, shift
        self.name = trace.started.sidecar
        self.tuned = [one for one in trace.changes if isinstance(one, Retuned)]
        if not self.tuned:
            raise TraceError(f"{self.name}: the trace has no settings")
        self.tuned_at = [one.at for one in self.tuned]
        self.zone = self.tuned[0].zones[self.settings.zone] if self.tuned[0].zones else ""
        self.numbers: dict[str, int] = {}

    @property
    def settings(self) -> Settings:
        return self.tuned[0].settings

    def settings_at(self, at: int) -> Settings:
        return self.tuned[max(0, bisect_right(self.tuned_at, at) - 1)].settings

    def aim(self, asked: Asked) -> int:
        """Within how many µs its answer counts as good."""
        cls = self.settings_at(asked.at).classes[asked.cls]
        return cls.aim_us + int(cls.aim_stretch * asked.work_us)

    def boot(self, raw: dict[str, Any]) -> int:
        """When the endpoint started, on the scene's clock; 0 long ago."""
        started_us = int(raw.get("startedAtMs", 0)) * 1000
        if started_us <= 0:
            return 0
        return max(0, started_us - self.trace.wall_offset + self.shift)

    def entry(self, raw: dict[str, Any]) -> Entry:
        """As the driver tells the module of a listed endpoint."""
        name = str(raw["instanceId"])
        number = self.numbers.setdefault(name, endpoint_number(name))
        zones, kinds = self.tuned[0].zones, self.tuned[0].kinds
        zone, kind = raw.get("zone", ""), raw.get("machineType", "")
        return Entry(
            number,
            PHASES[raw["lifecycle"]],
            self.boot(raw),
            float(raw.get("weight", 1.0)),
            int(raw.get("cell", 0)),
            zones.index(zone) if zone in zones else 0,
            kinds.index(kind) if kind in kinds else 0,
        )


class Scene:
    """All sides, and each endpoint that a list named: its name, machine type and zone by its place."""

    def __init__(self, traces: Sequence[Trace]) -> None:
        if not traces:
            raise TraceError("there is no trace")
        traces = sorted(traces, key=lambda one: (one.started.sidecar, one.started.incarnation))
        origin = min(one.requests[0].at + one.wall_offset for one in traces)
        self.sides = [Side(one, one.wall_offset - origin + LEAD_US) for one in traces]
        self.endpoints: list[str] = []
        self.kinds: list[str] = []
        self.zones: list[str] = []
        self.places: dict[int, int] = {}  # by the module's number
        self.listed: dict[str, dict[str, Any]] = {}  # the latest entry of each
        for side in self.sides:
            for change in side.trace.changes:
                if isinstance(change, Listed):
                    for raw in change.entries:
                        self._place(raw)
        # All of them were recording: outside of it, what one endpoint had under way is not known.
        self.start = max(one.trace.requests[0].at + one.shift for one in self.sides)
        self.end = min(one.trace.requests[-1].at + one.shift for one in self.sides)
        if self.end <= self.start:
            raise TraceError("the traces have no time in common")
        self.digest = blake2b("".join(one.digest for one in traces).encode(), digest_size=16).hexdigest()

    def _place(self, raw: dict[str, Any]) -> None:
        name = str(raw["instanceId"])
        number = endpoint_number(name)
        self.listed[name] = raw
        if number not in self.places:
            self.places[number] = len(self.endpoints)
            self.endpoints.append(name)
            self.kinds.append(str(raw.get("machineType", "")))
            self.zones.append(str(raw.get("zone", "")))

    def place_of(self, name: str) -> int:
        return self.places[endpoint_number(name)]

    def factors(self, weights: Weights) -> dict[int, float]:
        """A plan's factors by the module's number."""
        found = resolve_factors(weights, zip(self.endpoints, self.kinds, self.zones, strict=True))
        return {endpoint_number(name): value for name, value in found.items()}
