"""Short runs of the soak test, and tests of its checks."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.soak import play
from tests.soak_judge import SentRequest, drain_deadline_s, find_violations
from tests.soak_world import Arrival, Change, Record, Silence, answer_body
from woadyard.standins import Framing, PacedAnswer


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_short_run_of_overlapping_faults_violates_no_rule(tmp_path: Path, seed: int) -> None:
    violations, soak = await play(tmp_path, seed, sidecars=4, seconds=9.0)
    assert not violations
    assert sum(request.status == 200 for request in soak.sent_requests) > 100


def sent_request(cls: str = "pay", **parts: Any) -> SentRequest:
    return SentRequest("r", "n0", cls, True, sent_s=0.0, deadline_ms=1_000, **parts)


def arrival(at: float, ran: bool = True, deadline_ms: int = 100, size: int = 1, ends: bool = True) -> Arrival:
    answer = PacedAnswer(Framing.CLOSE, (size,), (), ends)
    return Arrival(at, "r", "s-0", deadline_ms, ran, answer, head_s=at, end_s=at)


SERVED: dict[str, Any] = {"status": 200, "body": b"r", "head_s": 0.1, "response_s": 0.1}
LONG_BYTES = 70_000
LONG: dict[str, Any] = {"status": 200, "body": answer_body("r", LONG_BYTES), "head_s": 1.0}


@pytest.mark.parametrize(
    ("sent", "arrivals", "rule"),
    [
        (sent_request(**SERVED), [arrival(0.01)], None),
        (sent_request(**SERVED), [arrival(0.01), arrival(0.02)], "duplicate"),
        (sent_request(**SERVED), [arrival(0.01, ran=False), arrival(0.02)], None),
        (sent_request(status=503, response_s=0.1), [arrival(0.01)], "duplicate"),
        (sent_request("put", **SERVED), [arrival(0.01), arrival(1.4, deadline_ms=0)], "duplicate"),
        (sent_request(**SERVED), [arrival(0.01, deadline_ms=1_500)], "deadline"),
        (sent_request(is_truncated=True), [arrival(0.01)], "lost"),
        (sent_request(is_truncated=True, got_no_bytes=True), [], "lost"),
        (replace(sent_request(is_truncated=True, is_before_exit=True), first_on_connection=False), [], None),
        (replace(sent_request(is_truncated=True), first_on_connection=False), [], "lost"),
        (sent_request(status=504, response_s=1.9), [arrival(0.01)], "lost"),
        (sent_request(client_disconnected=True, disconnected_s=0.1), [arrival(0.6)], "lost"),
        (sent_request(status=200, body=b"other", response_s=0.1), [arrival(0.01)], "lost"),
        (sent_request(**LONG, response_s=1.9), [arrival(0.01, size=LONG_BYTES)], None),
        (sent_request(**LONG, response_s=2.1), [arrival(0.01, size=LONG_BYTES)], "lost"),
        (sent_request(**{**LONG, "head_s": 1.9}, response_s=1.9), [arrival(0.01, size=LONG_BYTES)], "lost"),
        (sent_request(status=504, response_s=1.0), [arrival(0.01, size=LONG_BYTES)], "lost"),
        (sent_request(status=504, response_s=1.0), [arrival(0.01)], None),
        (sent_request(status=504, head_s=1.0, response_s=1.0), [arrival(0.9, size=LONG_BYTES)], None),
        (sent_request(is_truncated=True, head_s=1.0), [arrival(0.01, size=LONG_BYTES)], "lost"),
        (sent_request(is_truncated=True, head_s=1.0, finished_s=1.2), [arrival(0.01, ends=False)], None),
        (sent_request(is_truncated=True, head_s=1.0, finished_s=30.0), [arrival(0.01, ends=False)], None),
        (sent_request(is_truncated=True, head_s=1.0, finished_s=31.0), [arrival(0.01, ends=False)], "lost"),
    ],
)
def test_each_rule_is_checked(sent: SentRequest, arrivals: list[Arrival], rule: str | None) -> None:
    violations = find_violations(Record(arrivals=arrivals), [sent])
    assert [line.partition(":")[0] for line in violations] == ([rule] if rule else [])


def test_a_drain_takes_effect_when_sent_or_6_s_after_discovery_was_reachable() -> None:
    record = Record(changes={"s-0": Change(10.0, "s-0")})
    assert drain_deadline_s(record, "n0", "s-0") == 16.0
    record.outages = [(2.0, 9.0), (12.0, 14.0), (19.0, 21.0), (40.0, 50.0)]
    assert drain_deadline_s(record, "n0", "s-0") == 27.0
    record.drain_sent_s["n0", "s-0"] = 13.0
    assert drain_deadline_s(record, "n0", "s-0") == 13.0
    record.arrivals = [arrival(13.6, deadline_ms=0)]
    late_request = SentRequest("r", "n0", "pay", True, 13.5, 1_000, 13.7, 200, b"r")
    assert not find_violations(record, [late_request])
    record.arrivals = [arrival(13.7, deadline_ms=0)]
    assert [line.partition(":")[0] for line in find_violations(record, [late_request])] == ["drain"]


def test_a_change_missed_by_a_silent_watch_takes_effect_6_s_after_the_silence_began() -> None:
    record = Record(changes={"s-0": Change(14.0, "s-0")}, silences=[Silence(10.0, {"n0"})])
    assert drain_deadline_s(record, "n0", "s-0") == 16.0
    assert drain_deadline_s(record, "n1", "s-0") == 20.0
    record.silences[0].end_s = 13.0
    assert drain_deadline_s(record, "n0", "s-0") == 20.0
