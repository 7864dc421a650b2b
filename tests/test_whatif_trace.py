"""A recording is bounded, holds whole requests, and survives what happens to its bytes."""

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


def entry(name: str, lifecycle: str = "ready") -> dict[str, object]:
    return {"instanceId": name, "lifecycle": lifecycle, "hostPort": "127.0.0.1:1", "startedAtMs": 0}


def recorder(memory_kb: int = 4096, sample: float = 1.0) -> Recorder:
    made = Recorder(RecordSettings(memory_kb, sample), "n1", 7, 1_000)
    made.settings_applied(1_000, SETTINGS, {"classes": []})
    made.list_applied(1_000, LIST_FULL, 1, [entry("a"), entry("b")])
    return made


def serve(made: Recorder, rid: int, at: int) -> None:
    """One request, reset at its first endpoint and answered by its second."""
    made.request_accepted(at, Arrival(rid, 0, at + 1_000_000))
    for copy, outcome in enumerate((RESET, OK)):
        made.attempt_started(at + copy * 10, Send(rid, 5, 1_000))
        made.attempt_ended(at + copy * 10 + 9, Outcome(rid, copy, 5, outcome, 9, copy == 1))
    made.request_answered(at + 20, rid, 200)


def fetch(made: Recorder, data: bytes = b"", start: int = 0) -> tuple[bytes, int]:
    while True:
        raw = made.encode_piece(f"from={start}&incarnation={made.incarnation}")
        piece: TracePiece = msgspec.msgpack.decode(raw, type=TracePiece)
        data, start = data + piece.data, piece.next
        if piece.next == piece.end:
            return data, start


def test_whole_requests_come_back_in_order_and_a_fetch_goes_on_where_it_was() -> None:
    made = recorder()
    for rid in range(100):
        serve(made, rid, 2_000 + rid)
    made.request_accepted(9_000, Arrival(200, 0, 10_000))  # under way: no half of it is told
    data, start = fetch(made)
    made.request_answered(9_100, 200, 503)
    data, _ = fetch(made, data, start)
    trace = read_trace(data)
    assert [one.request for one in trace.requests] == [*range(100), 200]
    assert [(one.outcome, one.delay) for one in trace.requests[0].tries] == [(RESET, 9), (OK, 9)]
    assert trace.started.sidecar == "n1" and len(trace.changes) == 2 and trace.dropped_bytes == 0
    assert isinstance(trace.changes[0], SettingsApplied) and trace.changes[0].settings == SETTINGS


def test_the_bound_on_memory_holds_and_the_state_outlives_what_made_room() -> None:
    made = recorder(memory_kb=64)
    for rid in range(5_000):
        serve(made, rid, 2_000 + rid)
        if rid == 100:
            made.list_applied(3_000, LIST_DELTA, 2, [entry("a", "gone"), entry("c")])
        used = (
            made.ring.size_bytes
            + len(made.ring.base_state.data)
            + made.max_open_requests * BYTES_PER_OPEN_REQUEST
        )
        assert used <= 64 * 1024
    trace = read_trace(fetch(made)[0])
    assert 0 < len(trace.requests) < 5_000 and trace.requests[-1].request == 4_999
    (listed,) = [one for one in trace.changes if isinstance(one, ListApplied)]
    assert listed.mode == LIST_FULL and {one["instanceId"] for one in listed.entries} == {"b", "c"}


def test_requests_without_end_take_no_more_than_their_part_and_are_counted() -> None:
    made = recorder(memory_kb=64)
    for rid in range(1_000):
        made.request_accepted(2_000, Arrival(rid, 0, 3_000))
    assert (
        len(made.open_requests) == made.max_open_requests and made.skipped == 1_000 - made.max_open_requests
    )


def test_a_sample_holds_its_share_of_whole_requests() -> None:
    made = recorder(sample=0.25)
    for rid in range(4_000):
        serve(made, rid, 2_000 + rid)
    kept = read_trace(fetch(made)[0]).requests
    assert 800 < len(kept) < 1_200 and all(len(one.tries) == 2 for one in kept)


def _torn(data: bytes, rng: random.Random) -> bytes:
    return data[: rng.randrange(len(data) // 2, len(data))]


def _flipped(data: bytes, rng: random.Random) -> bytes:
    at = rng.randrange(len(data) // 2, len(data))
    return data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]


def _garbage(data: bytes, rng: random.Random) -> bytes:
    return data + rng.randbytes(500)


@pytest.mark.parametrize("harm", [_torn, _flipped, _garbage])
def test_a_damaged_tail_is_dropped_and_said(harm: object) -> None:
    made = recorder()
    for rid in range(2_000):
        serve(made, rid, 2_000 + rid)
    whole, _ = fetch(made)
    for seed in range(20):
        trace: Trace = read_trace(harm(whole, random.Random(seed)))  # type: ignore[operator]
        assert trace.dropped_bytes > 0 and trace.requests
        assert [one.request for one in trace.requests] == list(range(len(trace.requests)))
    for nothing in (b"", random.Random(1).randbytes(4_000), whole[:40]):
        with pytest.raises(TraceError) as failed:
            read_trace(nothing)
        assert failed.value.remedy
