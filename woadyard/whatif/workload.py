"""The recorded workload: several sidecars' traces on one clock, with one numbering of endpoints."""

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

# A workload starts at this time rather than at 0, so that an endpoint started shortly before has a
# start time above 0; a start time of 0 means long ago.
CLOCK_START_US = 3_600_000_000
LIFECYCLES = {"ready": READY, "draining": DRAINING, "gone": GONE}


class SidecarRecording:
    """One sidecar's part of a workload. `clock_shift_us` converts its clock to the workload's."""

    def __init__(self, trace: Trace, clock_shift_us: int) -> None:
        self.trace, self.clock_shift_us = trace, clock_shift_us
        self.name = trace.started.sidecar
        self.settings_changes = [change for change in trace.changes if isinstance(change, SettingsApplied)]
        if not self.settings_changes:
            raise TraceError(f"{self.name}: the trace has no settings")
        self.settings_times = [change.at for change in self.settings_changes]
        self.zone = (
            self.settings_changes[0].zones[self.settings.zone] if self.settings_changes[0].zones else ""
        )
        self.endpoint_numbers: dict[str, int] = {}

    @property
    def settings(self) -> Settings:
        return self.settings_changes[0].settings

    def settings_at(self, at: int) -> Settings:
        return self.settings_changes[max(0, bisect_right(self.settings_times, at) - 1)].settings

    def request_aim_us(self, request: RecordedRequest) -> int:
        """The latency target of a request: a response within so many µs counts as good."""
        cls = self.settings_at(request.at).classes[request.cls]
        return cls.aim_us + int(cls.aim_stretch * request.work_us)

    def boot_time(self, raw: dict[str, Any]) -> int:
        """When the endpoint started, in µs of the workload's clock; 0 if long ago or unknown."""
        started_us = int(raw.get("startedAtMs", 0)) * 1000
        if started_us <= 0:
            return 0
        return max(0, started_us - self.trace.wall_offset_us + self.clock_shift_us)

    def parse_entry(self, raw: dict[str, Any]) -> Entry:
        """Converts a listed endpoint to the `Entry` that the driver passes to the balancer."""
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
    """All recordings, and each listed endpoint with its name, machine type and zone by its index."""

    def __init__(self, traces: Sequence[Trace]) -> None:
        if not traces:
            raise TraceError("no traces were given")
        traces = sorted(traces, key=lambda recorded: (recorded.started.sidecar, recorded.started.incarnation))
        first_request_us = min(recorded.requests[0].at + recorded.wall_offset_us for recorded in traces)
        self.recordings = [
            SidecarRecording(recorded, recorded.wall_offset_us - first_request_us + CLOCK_START_US)
            for recorded in traces
        ]
        self.endpoints: list[str] = []
        self.machine_types: list[str] = []
        self.zones: list[str] = []
        self.index_by_number: dict[int, int] = {}  # by the balancer's endpoint number
        self.latest_entries: dict[str, dict[str, Any]] = {}  # by instance id
        for recording in self.recordings:
            for change in recording.trace.changes:
                if isinstance(change, ListApplied):
                    for raw in change.entries:
                        self._add_endpoint(raw)
        # All sidecars were recording in this span; outside it an endpoint's requests in flight are unknown.
        self.start = max(side.trace.requests[0].at + side.clock_shift_us for side in self.recordings)
        self.end = min(side.trace.requests[-1].at + side.clock_shift_us for side in self.recordings)
        if self.end <= self.start:
            raise TraceError("the traces do not overlap in time")
        self.digest = blake2b(
            "".join(recorded.digest for recorded in traces).encode(), digest_size=16
        ).hexdigest()

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
        """A plan's factors by the balancer's endpoint number."""
        factors = resolve_factors(weights, zip(self.endpoints, self.machine_types, self.zones, strict=True))
        return {endpoint_number(name): value for name, value in factors.items()}
