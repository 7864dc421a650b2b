"""A small world with known truth: sidecars' recordings as the real recorder would make them.

The truth is a `Model` made by hand, played by the replay itself with a recorder on each sidecar;
what is fitted to the recordings can so be held against it. Seeded, and quick: no process is run.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import numpy as np

from woadyard.interface import LIST_FULL, OK, SAFE, Arrival, Outcome, RequestClass, Send, Settings
from woadyard.net.recorder import Recorder, RecordSettings
from woadyard.whatif.model import EndpointModel, FailureBurst, FleetModel, WorkScaling, service_quantiles
from woadyard.whatif.observations import Observations
from woadyard.whatif.replay import Replay, SimulatedRequest, SimulatedSidecar
from woadyard.whatif.ring import TracePiece
from woadyard.whatif.trace import (
    ANSWERED,
    REFUSED,
    ListApplied,
    RecordedRequest,
    RecordingStarted,
    SettingsApplied,
    Trace,
)
from woadyard.whatif.workload import CLOCK_START_US, Workload

SECOND = 1_000_000
SERVICE_MEAN_US = {"small": 30_000.0, "large": 12_000.0, "old": 60_000.0}  # mean service, µs
SLOTS = {"small": 8, "large": 16, "old": 4}
STATUS = {ANSWERED: 200, REFUSED: 503}


def settings(sidecars: int = 3) -> Settings:
    page = RequestClass(effect=SAFE, aim_us=100_000, deadline_us=SECOND)
    batch = RequestClass(effect=SAFE, aim_us=300_000, deadline_us=2 * SECOND)
    return Settings(
        classes=(page, batch), instances=sidecars, max_attempts=3, can_cancel=True, idle_us=30 * SECOND
    )


def entries(kinds: list[str]) -> list[dict[str, Any]]:
    return [
        {
            "instanceId": f"e{at}", "lifecycle": "ready", "hostPort": f"127.0.0.1:{9000 + at}",
            "startedAtMs": 0, "zone": "a", "machineType": kind, "cell": at,
        }
        for at, kind in enumerate(kinds)
    ]  # fmt: skip


def true_model(kinds: list[str], slowed: dict[int, float] | None = None) -> FleetModel:
    """Gamma service (the second class twice as heavy), slots and a slight slowing by type."""
    spread = np.random.default_rng(1).gamma(4.0, 0.25, 20_000)
    made = []
    for at, kind in enumerate(kinds):
        mean = SERVICE_MEAN_US[kind] * (slowed or {}).get(at, 1.0)
        none = FailureBurst(0, 0, OK, 0)
        made.append(
            EndpointModel(
                "a", SLOTS[kind], 0.02,
                [service_quantiles(spread * mean), service_quantiles(spread * mean * 2)],
                [False, False], 0, 0.0, 1_000, 0.0, none, [], [], 0, 0,
            )
        )  # fmt: skip
    return FleetModel(made, [WorkScaling(), WorkScaling()], {})


class RecordingReplay(Replay):
    """A replay whose sidecars record."""

    def recorders(self, sample: float) -> list[Recorder]:
        made = []
        for sidecar in self.sidecars:
            started = sidecar.recording.trace.started
            one = Recorder(RecordSettings(65_536, sample), started.sidecar, started.seed, 0)
            one.ring.frames.clear()
            one.ring.add([msgspec.structs.replace(started, sample=sample)])
            for change in sidecar.recording.trace.changes:
                if isinstance(change, SettingsApplied):
                    one.ring.add([change], change)
                elif isinstance(change, ListApplied):
                    one.list_applied(change.at, change.mode, change.version, change.entries)
            made.append(one)
        self.active_recorders = made
        return made

    def on_arrival(self, now: int, sidecar: SimulatedSidecar, order: int, asked: RecordedRequest) -> None:
        event = Arrival(sidecar.last_request_id + 1, asked.cls, now + asked.expires - asked.at)
        self.active_recorders[sidecar.number].request_accepted(now - CLOCK_START_US, event)
        super().on_arrival(now, sidecar, order, asked)

    def start_attempt(
        self, now: int, sidecar: SimulatedSidecar, request: int, endpoint: int, timeout: int
    ) -> None:
        self.active_recorders[sidecar.number].attempt_started(
            now - CLOCK_START_US, Send(request, endpoint, timeout)
        )
        super().start_attempt(now, sidecar, request, endpoint, timeout)

    def end_attempt(
        self, now: int, sidecar: SimulatedSidecar, request: int, copy: int, outcome: int, sent: int
    ) -> None:
        live = sidecar.requests.get(request)
        if live is not None and live.in_flight[copy]:
            event = Outcome(request, copy, live.endpoints[copy], outcome, now - sent)
            self.active_recorders[sidecar.number].attempt_ended(now - CLOCK_START_US, event)
            if outcome == OK and live.is_open:
                self.active_recorders[sidecar.number].request_answered(now - CLOCK_START_US, request, 200)
        super().end_attempt(now, sidecar, request, copy, outcome, sent)

    def end_request(self, now: int, sidecar: SimulatedSidecar, request: int, end: int) -> None:
        live: SimulatedRequest | None = sidecar.requests.get(request)
        if live is not None and live.is_open:
            self.active_recorders[sidecar.number].request_answered(
                now - CLOCK_START_US, request, STATUS.get(end, 502)
            )
        super().end_request(now, sidecar, request, end)


def generate_traces(sidecars: int, kinds: list[str], seconds: float, rate: float, seed: int) -> list[Trace]:
    """Poisson requests at each sidecar, a fifth of the second class, before anything was sent."""
    made = []
    for number in range(sidecars):
        rng = random.Random(seed * 1_000 + number)
        at, asked = 0.0, list[RecordedRequest]()
        while (at := at + rng.expovariate(rate / SECOND)) < seconds * SECOND:
            cls = int(rng.random() < 0.2)
            due = int(at) + (SECOND if cls == 0 else 2 * SECOND)
            asked.append(
                RecordedRequest(int(at), len(asked) + 1, cls, due, 0, 0, 0, False, None, [], 200, int(at))
            )
        tuned = SettingsApplied(
            0, settings(sidecars), ["page", "batch"], [], ["a"], ["small", "large", "old"]
        )
        started = RecordingStarted(f"s{number}", f"i{number}-{seed}", number, 0, 0, 1.0)
        listed = ListApplied(0, LIST_FULL, 1, entries(kinds))
        made.append(Trace(started, [tuned, listed], asked, 0, f"{number}-{seed}"))
    return made


def record_traces(
    kinds: list[str],
    *,
    sidecars: int = 3,
    seconds: float = 20.0,
    rate: float = 60.0,
    seed: int = 1,
    weights: dict[str, float] | None = None,
    slowed: dict[int, float] | None = None,
    sample: float = 1.0,
) -> tuple[list[bytes], Observations]:
    """The sidecars' traces, and what really happened."""
    scene = Workload(generate_traces(sidecars, kinds, seconds, rate, seed))
    replay = RecordingReplay(scene, true_model(kinds, slowed), seed + 77, weights or {})
    recorders = replay.recorders(sample)
    facts = replay.run()
    return [fetch_recording(one) for one in recorders], facts


def fetch_recording(recorder: Recorder) -> bytes:
    data, start = b"", 0
    while True:
        raw = recorder.encode_piece(f"from={start}&incarnation={recorder.incarnation}")
        piece: TracePiece = msgspec.msgpack.decode(raw, type=TracePiece)
        data, start = data + piece.data, piece.next
        if piece.next >= piece.end:
            return data
