"""Several sidecars' traces side by side: one clock, one numbering of the endpoints."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

from woadyard.errors import TraceError
from woadyard.interface import DRAINING, GONE, READY, Entry, Settings
from woadyard.net.state import endpoint_number
from woadyard.whatif.trace import ListApplied, RecordedRequest, SettingsApplied, Trace
from woadyard.whatif.weights import Weights, resolve_factors

# Scenes begin this far from 0, so that an endpoint started before has a time above 0: 0 is long ago.
CLOCK_START_US = 3_600_000_000
LIFECYCLES = {"ready": READY, "draining": DRAINING, "gone": GONE}


class SidecarRecording:
    """One sidecar of a scene. `shift` is added to its clock."""

    def __init__(self, trace: Trace, shift: int) -> None:
        self.trace, self.clock_shift_us = trace, shift
        self.name = trace.started.sidecar
        self.settings_changes = [one for one in trace.changes if isinstance(one, SettingsApplied)]
        if not self.settings_changes:
            raise TraceError(f"{self.name}: the trace has no settings")
        self.settings_times = [one.at for one in self.settings_changes]
        self.zone = (
            self.settings_changes[0].zones[self.settings.zone] if self.settings_changes[0].zones else ""
        )
        self.endpoint_numbers: dict[str, int] = {}

    @property
    def settings(self) -> Settings:
        return self.settings_changes[0].settings

    def settings_at(self, at: int) -> Settings:
        return self.settings_changes[max(0, bisect_right(self.settings_times, at) - 1)].settings

    def aim_us(self, asked: RecordedRequest) -> int:
        """Within how many µs its answer counts as good."""
        cls = self.settings_at(asked.at).classes[asked.cls]
        return cls.aim_us + int(cls.aim_stretch * asked.work_us)

    def boot_time(self, raw: dict[str, Any]) -> int:
        """When the endpoint started, on the scene's clock; 0 long ago."""
        started_us = int(raw.get("startedAtMs", 0)) * 1000
        if started_us <= 0:
            return 0
        return max(0, started_us - self.trace.wall_offset_us + self.clock_shift_us)

    def parse_entry(self, raw: dict[str, Any]) -> Entry:
        """As the driver tells the module of a listed endpoint."""
        name = str(raw["instanceId"])
        number = self.endpoint_numbers.setdefault(name, endpoint_number(name))
        zones, kinds = self.settings_changes[0].zones, self.settings_changes[0].kinds
        zone, kind = raw.get("zone", ""), raw.get("machineType", "")
        return Entry(
            number,
            LIFECYCLES[raw["lifecycle"]],
            self.boot_time(raw),
            float(raw.get("weight", 1.0)),
            int(raw.get("cell", 0)),
            zones.index(zone) if zone in zones else 0,
            kinds.index(kind) if kind in kinds else 0,
        )


class Workload:
    """All sides, and each endpoint that a list named: its name, machine type and zone by its place."""

    def __init__(self, traces: Sequence[Trace]) -> None:
        if not traces:
            raise TraceError("there is no trace")
        traces = sorted(traces, key=lambda one: (one.started.sidecar, one.started.incarnation))
        origin = min(one.requests[0].at + one.wall_offset_us for one in traces)
        self.recordings = [
            SidecarRecording(one, one.wall_offset_us - origin + CLOCK_START_US) for one in traces
        ]
        self.endpoints: list[str] = []
        self.machine_types: list[str] = []
        self.zones: list[str] = []
        self.index_by_number: dict[int, int] = {}  # by the module's number
        self.latest_entries: dict[str, dict[str, Any]] = {}  # the latest entry of each
        for side in self.recordings:
            for change in side.trace.changes:
                if isinstance(change, ListApplied):
                    for raw in change.entries:
                        self._add_endpoint(raw)
        # All of them were recording: outside of it, what one endpoint had under way is not known.
        self.start = max(one.trace.requests[0].at + one.clock_shift_us for one in self.recordings)
        self.end = min(one.trace.requests[-1].at + one.clock_shift_us for one in self.recordings)
        if self.end <= self.start:
            raise TraceError("the traces have no time in common")
        self.digest = blake2b("".join(one.digest for one in traces).encode(), digest_size=16).hexdigest()

    def _add_endpoint(self, raw: dict[str, Any]) -> None:
        name = str(raw["instanceId"])
        number = endpoint_number(name)
        self.latest_entries[name] = raw
        if number not in self.index_by_number:
            self.index_by_number[number] = len(self.endpoints)
            self.endpoints.append(name)
            self.machine_types.append(str(raw.get("machineType", "")))
            self.zones.append(str(raw.get("zone", "")))

    def index_of(self, name: str) -> int:
        return self.index_by_number[endpoint_number(name)]

    def factors_by_number(self, weights: Weights) -> dict[int, float]:
        """A plan's factors by the module's number."""
        found = resolve_factors(weights, zip(self.endpoints, self.machine_types, self.zones, strict=True))
        return {endpoint_number(name): value for name, value in found.items()}
