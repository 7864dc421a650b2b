"""Tests of the audit's routes: invalid reports, and a service whose clock is wrong."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec

from tests.sockets import run_test
from tests.test_registry import call_registry
from woadyard.audit import Position, Report, SpanRecorder
from woadyard.registry.http import serve
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

REPORT = "/registry/audit/report"
HERE = Position("aa", 1, 1, "s", build="b")


def test_invalid_old_and_repeated_reports_count_nothing_twice_with_a_wrong_clock(tmp_path: Path) -> None:
    async def main() -> None:
        registry = Registry(Journal(tmp_path), clock_us=lambda: time.time_ns() // 1000 - 5_000_000)
        registry.become_leader()
        listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(serve(registry, "127.0.0.1", 0, listening.set_result))
        port = await listening

        async def post(raw: bytes) -> tuple[int, Any]:
            return await call_registry(port, "POST", REPORT, raw)

        def report_attempt(recorder: SpanRecorder, at_ms: int) -> Report:
            recorder.record_attempt(at_ms * 1000, at_ms, 1)
            return recorder.build_report(at_ms * 1000)

        old, new = SpanRecorder("n1", "a", 0, HERE), SpanRecorder("n1", "b", 0, HERE)
        reports = [
            report_attempt(old, 10),
            report_attempt(old, 20),
            report_attempt(new, 5),
            report_attempt(new, 15),
        ]
        first = msgspec.json.encode(reports[0])
        invalid = [b"", b"[" * 100_000, b"{}", b"\xff", first[:-9], first.replace(b'"n":1', b'"n":-1')]
        invalid += [first.replace(HERE.to_text().encode(), b"a.b"), first.replace(b"[0,", b"[1e400,")]
        for invalid_report in invalid:
            status, text = await post(invalid_report)
            assert status == 400 and "remedy" in text, (invalid_report[:60], text)
        assert registry.log_state.applied_index == 1, "none of them is in the log"
        for n in (3, 1, 0, 3, 2, 1, 2):  # the old run's arrive late, and most of them twice
            status, answer = await post(msgspec.json.encode(reports[n]))
            assert status == 200 and reports[n].n in answer["acks"]
        sums = (await call_registry(port, "GET", "/registry/audit/acted?build=b"))[1]["sidecars"]
        assert sums == {"n1": {"attempts": 4, "refusals": 0, "unsent": 0}}
        # The current time is after its last report.
        assert (await call_registry(port, "GET", "/registry/audit/at?name=n1"))[1]["state"] == "gap"
        for query in (
            "acted",
            "acted?generation=x",
            "acted?colour=red",
            "at",
            "out-of-use",
            "out-of-use?term=1",
        ):
            assert (await call_registry(port, "GET", f"/registry/audit/{query}"))[0] == 400
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_test(main())
