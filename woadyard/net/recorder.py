"""Records the driver's requests and state changes in a bounded ring, which the admin listener serves.

Off without `record` in the configuration. The hot path only fills one small record per request;
records are encoded in batches, and memory stays within the configured bound.
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

BATCH_SIZE = 32  # requests encoded together
BYTES_PER_OPEN_REQUEST = 1024  # memory of a request in flight
OPEN_REQUESTS_DIVISOR = 4  # requests in flight may take this fraction of the memory bound
HASH_RANGE = 1 << 64


class RecordSettings(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """The configuration's `record`: the memory bound of the recording, and the share of requests kept."""

    memory_kb: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)] = 4096
    sample: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 1.0


def read_record(raw: Any) -> RecordSettings | None:
    """Read the configuration's `record`; None if it is absent, ConfigError if it is invalid."""
    if raw is None:
        return None
    try:
        return msgspec.convert(raw, RecordSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(f"record: {error}") from None


def has_no_attempt_in_flight(request_record: RecordedRequest) -> bool:
    """Return whether every attempt of the request has its outcome."""
    return PENDING not in [attempt.outcome for attempt in request_record.tries]


class Recorder:
    """Observer of the driver that records its events.

    The ring is read on the admin listener's thread, so a lock guards it; the event loop takes
    the lock once per request.
    """

    def __init__(self, settings: RecordSettings, sidecar: str, seed: int, now: int) -> None:
        memory_bytes = settings.memory_kb * 1024
        self.max_open_requests = max(
            BATCH_SIZE, memory_bytes // OPEN_REQUESTS_DIVISOR // BYTES_PER_OPEN_REQUEST
        )
        self.ring = TraceRing(memory_bytes - self.max_open_requests * BYTES_PER_OPEN_REQUEST)
        self.sample_threshold = int(settings.sample * HASH_RANGE)
        self.incarnation = uuid.uuid4().hex
        self.open_requests: dict[int, RecordedRequest] = {}
        self.batch: list[Record] = []
        self.lock = threading.Lock()
        self.skipped = 0  # requests not recorded, as too many were in flight
        wall_us = time.time_ns() // 1000
        self._add_state_record(
            RecordingStarted(sidecar, self.incarnation, seed, now, wall_us, settings.sample)
        )

    # --- Events from the driver ---------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        request_id = event.request
        if self.sample_threshold < HASH_RANGE and splitmix64(request_id) >= self.sample_threshold:
            return
        if len(self.open_requests) >= self.max_open_requests:
            self.skipped += 1
            return
        self.open_requests[request_id] = RecordedRequest(
            now, request_id, event.cls, event.expires, event.tenant, event.key, event.work_us, event.repeated,
            event.home, [],
        )  # fmt: skip

    def attempt_started(self, now: int, action: Send) -> bytes:
        if (request_record := self.open_requests.get(action.request)) is not None:
            request_record.tries.append(RecordedAttempt(now, action.endpoint))
        return b""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        request_record = self.open_requests.get(event.request)
        if request_record is None or event.copy >= len(request_record.tries):
            return
        attempt = request_record.tries[event.copy]
        attempt.outcome, attempt.delay, attempt.report = event.outcome, event.delay_us, event.report
        if request_record.status != PENDING and has_no_attempt_in_flight(request_record):
            self._complete_request(request_record)

    def request_answered(self, now: int, request: int, status: int) -> None:
        if (request_record := self.open_requests.get(request)) is not None:
            request_record.status, request_record.answered = status, now
            if has_no_attempt_in_flight(request_record):
                self._complete_request(request_record)

    def request_refused(self, now: int, request: int) -> None:
        """Do nothing: `request_answered` follows, with the status."""

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self._add_state_record(ListApplied(now, mode, version, raw))

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        names = [str(request_class["name"]) for request_class in raw["classes"]]
        tenants = [str(account["name"]) for account in raw.get("accounts", ())]
        zones, kinds = ([str(name) for name in raw.get(part, ())] for part in ("zones", "kinds"))
        self._add_state_record(SettingsApplied(now, settings, names, tenants, zones, kinds))

    def weights_applied(self, now: int, revision: int, factors: dict[str, float]) -> None:
        """Record that a plan's weights are in force."""
        self._add_state_record(WeightsApplied(now, revision, factors))

    # --- Ring ---------------------------------------------------------------------

    def _complete_request(self, request_record: RecordedRequest) -> None:
        del self.open_requests[request_record.request]
        with self.lock:
            self.batch.append(request_record)
            if len(self.batch) >= BATCH_SIZE:
                self._flush_batch()

    def _add_state_record(self, record: StateRecord) -> None:
        with self.lock:
            self._flush_batch()  # keeps the records in order
            self.ring.add([record], record)

    def _flush_batch(self) -> None:
        if self.batch:
            batch, self.batch = self.batch, []
            self.ring.add(batch)

    def encode_piece(self, query: str) -> bytes:
        """Return the response to `GET /_trace?from=OFFSET&incarnation=ID`, a `Piece` as msgpack.

        An offset of another incarnation is ignored: the piece starts at 0.
        """
        parameters = parse_qs(query)
        start = parameters.get("from", ["0"])[0]
        is_same_run = parameters.get("incarnation", [self.incarnation])[0] == self.incarnation
        with self.lock:
            self._flush_batch()
            offset = int(start) if is_same_run and start.isdecimal() and len(start) < 20 else 0
            return msgspec.msgpack.encode(self.ring.read_piece(self.incarnation, offset))
