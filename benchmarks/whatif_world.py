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
from woadyard.whatif.facts import Facts
from woadyard.whatif.model import Burst, Endpoint, Model, Work, quantiles
from woadyard.whatif.replay import Live, Replay, Sidecar
from woadyard.whatif.ring import Piece
from woadyard.whatif.scene import LEAD_US, Scene
from woadyard.whatif.trace import ANSWERED, REFUSED, Asked, Listed, Retuned, Started, Trace

SECOND = 1_000_000
KINDS = {"small": 30_000.0, "large": 12_000.0, "old": 60_000.0}  # mean service, µs
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


def truth(kinds: list[str], slowed: dict[int, float] | None = None) -> Model:
    """Gamma service (the second class twice as heavy), slots and a slight slowing by type."""
    spread = np.random.default_rng(1).gamma(4.0, 0.25, 20_000)
    made = []
    for at, kind in enumerate(kinds):
        mean = KINDS[kind] * (slowed or {}).get(at, 1.0)
        none = Burst(0, 0, OK, 0)
        made.append(
            Endpoint(
                "a", SLOTS[kind], 0.02, [quantiles(spread * mean), quantiles(spread * mean * 2)],
                [False, False], 0, 0.0, 1_000, 0.0, none, [], [], 0, 0,
            )
        )  # fmt: skip
    return Model(made, [Work(), Work()], {})


class Watched(Replay):
    """A replay whose sidecars record."""

    def recorders(self, sample: float) -> list[Recorder]:
        made = []
        for sidecar in self.sidecars:
            started = sidecar.side.trace.started
            one = Recorder(RecordSettings(65_536, sample), started.sidecar, started.seed, 0)
            one.ring.kept.clear()
            one.ring.add([msgspec.structs.replace(started, sample=sample)])
            for change in sidecar.side.trace.changes:
                if isinstance(change, Retuned):
                    one.ring.add([change], change)
                elif isinstance(change, Listed):
                    one.list_applied(change.at, change.mode, change.version, change.entries)
            made.append(one)
        self.watch = made
        return made

    def arrive(self, now: int, sidecar: Sidecar, order: int, asked: Asked) -> None:
        event = Arrival(sidecar.next + 1, asked.cls, now + asked.expires - asked.at)
        self.watch[sidecar.number].request_accepted(now - LEAD_US, event)
        super().arrive(now, sidecar, order, asked)

    def send(self, now: int, sidecar: Sidecar, request: int, endpoint: int, timeout: int) -> None:
        self.watch[sidecar.number].attempt_started(now - LEAD_US, Send(request, endpoint, timeout))
        super().send(now, sidecar, request, endpoint, timeout)

    def ended(self, now: int, sidecar: Sidecar, request: int, copy: int, outcome: int, sent: int) -> None:
        live = sidecar.calls.get(request)
        if live is not None and live.out[copy]:
            event = Outcome(request, copy, live.to[copy], outcome, now - sent)
            self.watch[sidecar.number].attempt_ended(now - LEAD_US, event)
            if outcome == OK and live.open:
                self.watch[sidecar.number].request_answered(now - LEAD_US, request, 200)
        super().ended(now, sidecar, request, copy, outcome, sent)

    def final(self, now: int, sidecar: Sidecar, request: int, end: int) -> None:
        live: Live | None = sidecar.calls.get(request)
        if live is not None and live.open:
            self.watch[sidecar.number].request_answered(now - LEAD_US, request, STATUS.get(end, 502))
        super().final(now, sidecar, request, end)


def arrivals(sidecars: int, kinds: list[str], seconds: float, rate: float, seed: int) -> list[Trace]:
    """Poisson requests at each sidecar, a fifth of the second class, before anything was sent."""
    made = []
    for number in range(sidecars):
        rng = random.Random(seed * 1_000 + number)
        at, asked = 0.0, list[Asked]()
        while (at := at + rng.expovariate(rate / SECOND)) < seconds * SECOND:
            cls = int(rng.random() < 0.2)
            due = int(at) + (SECOND if cls == 0 else 2 * SECOND)
            asked.append(Asked(int(at), len(asked) + 1, cls, due, 0, 0, 0, False, None, [], 200, int(at)))
        tuned = Retuned(0, settings(sidecars), ["page", "batch"], [], ["a"], ["small", "large", "old"])
        started = Started(f"s{number}", f"i{number}-{seed}", number, 0, 0, 1.0)
        listed = Listed(0, LIST_FULL, 1, entries(kinds))
        made.append(Trace(started, [tuned, listed], asked, 0, f"{number}-{seed}"))
    return made


def record(
    kinds: list[str],
    *,
    sidecars: int = 3,
    seconds: float = 20.0,
    rate: float = 60.0,
    seed: int = 1,
    weights: dict[str, float] | None = None,
    slowed: dict[int, float] | None = None,
    sample: float = 1.0,
) -> tuple[list[bytes], Facts]:
    """The sidecars' traces, and what really happened."""
    scene = Scene(arrivals(sidecars, kinds, seconds, rate, seed))
    replay = Watched(scene, truth(kinds, slowed), seed + 77, weights or {})
    recorders = replay.recorders(sample)
    facts = replay.run()
    return [whole(one) for one in recorders], facts


def whole(recorder: Recorder) -> bytes:
    data, start = b"", 0
    while True:
        raw = recorder.encode_piece(f"from={start}&incarnation={recorder.incarnation}")
        piece: Piece = msgspec.msgpack.decode(raw, type=Piece)
        data, start = data + piece.data, piece.next
        if piece.next >= piece.end:
            return data
