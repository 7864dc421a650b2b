"""Records what the driver sees, whole requests in a bounded ring; the door serves it in pieces.

Off without `record` in the configuration. The hot path only fills one small record a request;
they are encoded together, and never past the bound of memory.
"""

from __future__ import annotations

import threading
import time
import uuid
from typing import Annotated, Any
from urllib.parse import parse_qs

import msgspec

from woadyard.errors import ConfigError
from woadyard.interface import Arrival, Outcome, Send, Settings
from woadyard.policy import splitmix64
from woadyard.whatif.ring import TraceRing
from woadyard.whatif.trace import (
    PENDING,
    ListApplied,
    Record,
    RecordedAttempt,
    RecordedRequest,
    RecordingStarted,
    SettingsApplied,
    StateRecord,
    WeightsApplied,
)

# Requests encoded together; what a request under way takes in memory, and its part of the bound.
BATCH_SIZE = 32
BYTES_PER_OPEN_REQUEST = 1024
OPEN_REQUESTS_DIVISOR = 4
HASH_RANGE = 1 << 64


class RecordSettings(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """The file's `record`: memory that the recording may take, and the share of requests kept."""

    memory_kb: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)] = 4096
    sample: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 1.0


def read_record(raw: Any) -> RecordSettings | None:
    """The file's `record`; None without it, ConfigError where it is none."""
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, RecordSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(f"record: {error}") from None


def has_no_attempt_in_flight(asked: RecordedRequest) -> bool:
    """Whether no attempt of it is out."""
    return PENDING not in [one.outcome for one in asked.tries]


class Recorder:
    """An `Observer`. The ring is read on the door's thread, so it is held by a lock; the loop
    takes that once a request."""

    def __init__(self, settings: RecordSettings, sidecar: str, seed: int, now: int) -> None:
        bound = settings.memory_kb * 1024
        self.max_open_requests = max(BATCH_SIZE, bound // OPEN_REQUESTS_DIVISOR // BYTES_PER_OPEN_REQUEST)
        self.ring = TraceRing(bound - self.max_open_requests * BYTES_PER_OPEN_REQUEST)
        self.sample_threshold = int(settings.sample * HASH_RANGE)
        self.incarnation = uuid.uuid4().hex
        self.open_requests: dict[int, RecordedRequest] = {}
        self.batch: list[Record] = []
        self.lock = threading.Lock()
        self.skipped = 0  # requests that found no room while they were under way
        wall_us = time.time_ns() // 1000
        self._add_state_record(
            RecordingStarted(sidecar, self.incarnation, seed, now, wall_us, settings.sample)
        )

    # --- What the driver tells ----------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        rid = event.request
        if self.sample_threshold < HASH_RANGE and splitmix64(rid) >= self.sample_threshold:
            return
        if len(self.open_requests) >= self.max_open_requests:
            self.skipped += 1
            return
        self.open_requests[rid] = RecordedRequest(
            now, rid, event.cls, event.expires, event.tenant, event.key, event.work_us, event.repeated,
            event.home, [],
        )  # fmt: skip

    def attempt_started(self, now: int, action: Send) -> bytes:
        if (asked := self.open_requests.get(action.request)) is not None:
            asked.tries.append(RecordedAttempt(now, action.endpoint))
        return b""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        asked = self.open_requests.get(event.request)
        if asked is None or event.copy >= len(asked.tries):
            return
        tried = asked.tries[event.copy]
        tried.outcome, tried.delay, tried.report = event.outcome, event.delay_us, event.report
        if asked.status != PENDING and has_no_attempt_in_flight(asked):
            self._complete_request(asked)

    def request_answered(self, now: int, request: int, status: int) -> None:
        if (asked := self.open_requests.get(request)) is not None:
            asked.status, asked.answered = status, now
            if has_no_attempt_in_flight(asked):
                self._complete_request(asked)

    def request_refused(self, now: int, request: int) -> None:
        """`answered` follows, with the status."""

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self._add_state_record(ListApplied(now, mode, version, raw))

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        names = [str(one["name"]) for one in raw["classes"]]
        tenants = [str(one["name"]) for one in raw.get("accounts", ())]
        zones, kinds = ([str(one) for one in raw.get(part, ())] for part in ("zones", "kinds"))
        self._add_state_record(SettingsApplied(now, settings, names, tenants, zones, kinds))

    def weights_applied(self, now: int, revision: int, factors: dict[str, float]) -> None:
        """A plan's weights are in use."""
        self._add_state_record(WeightsApplied(now, revision, factors))

    # --- The ring -----------------------------------------------------------------

    def _complete_request(self, asked: RecordedRequest) -> None:
        del self.open_requests[asked.request]
        with self.lock:
            self.batch.append(asked)
            if len(self.batch) >= BATCH_SIZE:
                self._flush_batch()

    def _add_state_record(self, record: StateRecord) -> None:
        with self.lock:
            self._flush_batch()  # what came before stands before
            self.ring.add([record], record)

    def _flush_batch(self) -> None:
        if self.batch:
            batch, self.batch = self.batch, []
            self.ring.add(batch)

    def encode_piece(self, query: str) -> bytes:
        """What the door's `GET /_trace?from=OFFSET&incarnation=ID` answers, msgpack (`Piece`). An
        offset of another incarnation begins anew."""
        asked = parse_qs(query)
        start = asked.get("from", ["0"])[0]
        same = asked.get("incarnation", [self.incarnation])[0] == self.incarnation
        with self.lock:
            self._flush_batch()
            offset = int(start) if same and start.isdecimal() and len(start) < 20 else 0
            return msgspec.msgpack.encode(self.ring.read_piece(self.incarnation, offset))
