"""Tests that a recording is bounded in memory, holds whole requests and survives damaged bytes."""

from __future__ import annotations

import random

import msgspec
import pytest

from woadyard.errors import TraceError
from woadyard.interface import (
    LIST_DELTA,
    LIST_FULL,
    OK,
    RESET,
    Arrival,
    Outcome,
    RequestClass,
    Send,
    Settings,
)
from woadyard.net.recorder import BYTES_PER_OPEN_REQUEST, Recorder, RecordSettings
from woadyard.whatif.ring import TracePiece
from woadyard.whatif.trace import ListApplied, SettingsApplied, Trace, read_trace

SETTINGS = Settings(classes=(RequestClass(),))


def list_entry(name: str, lifecycle: str = "ready") -> dict[str, object]:
    return {"instanceId": name, "lifecycle": lifecycle, "hostPort": "127.0.0.1:1", "startedAtMs": 0}


def make_recorder(memory_kb: int = 4096, sample: float = 1.0) -> Recorder:
    recorder = Recorder(RecordSettings(memory_kb, sample), "n1", 7, 1_000)
    recorder.settings_applied(1_000, SETTINGS, {"classes": []})
    recorder.list_applied(1_000, LIST_FULL, 1, [list_entry("a"), list_entry("b")])
    return recorder


def record_retried_request(recorder: Recorder, request_id: int, accepted_us: int) -> None:
    """Records a request whose first attempt is reset and whose second attempt succeeds."""
    recorder.request_accepted(accepted_us, Arrival(request_id, 0, accepted_us + 1_000_000))
    for attempt_index, outcome in enumerate((RESET, OK)):
        recorder.attempt_started(accepted_us + attempt_index * 10, Send(request_id, 5, 1_000))
        recorder.attempt_ended(
            accepted_us + attempt_index * 10 + 9,
            Outcome(request_id, attempt_index, 5, outcome, 9, attempt_index == 1),
        )
    recorder.request_answered(accepted_us + 20, request_id, 200)


def fetch(recorder: Recorder, data: bytes = b"", start: int = 0) -> tuple[bytes, int]:
    while True:
        encoded = recorder.encode_piece(f"from={start}&incarnation={recorder.incarnation}")
        piece: TracePiece = msgspec.msgpack.decode(encoded, type=TracePiece)
        data, start = data + piece.data, piece.next
        if piece.next == piece.end:
            return data, start


def test_whole_requests_are_read_in_order_and_a_fetch_resumes_at_its_offset() -> None:
    recorder = make_recorder()
    for request_id in range(100):
        record_retried_request(recorder, request_id, 2_000 + request_id)
    recorder.request_accepted(9_000, Arrival(200, 0, 10_000))  # still in flight, so not part of the trace
    data, start = fetch(recorder)
    recorder.request_answered(9_100, 200, 503)
    data, _ = fetch(recorder, data, start)
    trace = read_trace(data)
    assert [recorded.request for recorded in trace.requests] == [*range(100), 200]
    assert [(attempt.outcome, attempt.delay) for attempt in trace.requests[0].tries] == [(RESET, 9), (OK, 9)]
    assert trace.started.sidecar == "n1" and len(trace.changes) == 2 and trace.dropped_bytes == 0
    assert isinstance(trace.changes[0], SettingsApplied) and trace.changes[0].settings == SETTINGS


def test_memory_stays_bounded_and_the_state_survives_the_eviction_of_its_records() -> None:
    recorder = make_recorder(memory_kb=64)
    for request_id in range(5_000):
        record_retried_request(recorder, request_id, 2_000 + request_id)
        if request_id == 100:
            recorder.list_applied(3_000, LIST_DELTA, 2, [list_entry("a", "gone"), list_entry("c")])
        used_bytes = (
            recorder.ring.size_bytes
            + len(recorder.ring.base_state.data)
            + recorder.max_open_requests * BYTES_PER_OPEN_REQUEST
        )
        assert used_bytes <= 64 * 1024
    trace = read_trace(fetch(recorder)[0])
    assert 0 < len(trace.requests) < 5_000 and trace.requests[-1].request == 4_999
    (listed,) = [change for change in trace.changes if isinstance(change, ListApplied)]
    assert listed.mode == LIST_FULL and {entry["instanceId"] for entry in listed.entries} == {"b", "c"}


def test_open_requests_are_bounded_and_those_beyond_the_bound_are_counted() -> None:
    recorder = make_recorder(memory_kb=64)
    for request_id in range(1_000):
        recorder.request_accepted(2_000, Arrival(request_id, 0, 3_000))
    assert (
        len(recorder.open_requests) == recorder.max_open_requests
        and recorder.skipped == 1_000 - recorder.max_open_requests
    )


def test_a_sample_holds_its_fraction_of_whole_requests() -> None:
    recorder = make_recorder(sample=0.25)
    for request_id in range(4_000):
        record_retried_request(recorder, request_id, 2_000 + request_id)
    sampled = read_trace(fetch(recorder)[0]).requests
    assert 800 < len(sampled) < 1_200 and all(len(request.tries) == 2 for request in sampled)


def _truncate(data: bytes, rng: random.Random) -> bytes:
    return data[: rng.randrange(len(data) // 2, len(data))]


def _flip_bit(data: bytes, rng: random.Random) -> bytes:
    position = rng.randrange(len(data) // 2, len(data))
    return data[:position] + bytes([data[position] ^ 0x40]) + data[position + 1 :]


def _append_garbage(data: bytes, rng: random.Random) -> bytes:
    return data + rng.randbytes(500)


@pytest.mark.parametrize("damage", [_truncate, _flip_bit, _append_garbage])
def test_a_damaged_tail_is_dropped_and_reported(damage: object) -> None:
    recorder = make_recorder()
    for request_id in range(2_000):
        record_retried_request(recorder, request_id, 2_000 + request_id)
    intact, _ = fetch(recorder)
    for seed in range(20):
        trace: Trace = read_trace(damage(intact, random.Random(seed)))  # type: ignore[operator]
        assert trace.dropped_bytes > 0 and trace.requests
        assert [recorded.request for recorded in trace.requests] == list(range(len(trace.requests)))
    for unusable in (b"", random.Random(1).randbytes(4_000), intact[:40]):
        with pytest.raises(TraceError) as raised:
            read_trace(unusable)
        assert raised.value.remedy
