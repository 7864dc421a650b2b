"""The audit's calls against bad reports, and a service whose clock is off."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec

from tests.sockets import run_test
from tests.test_registry import ask
from woadyard.audit import Position, Report, Spans
from woadyard.registry.http import serve
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

REPORT = "/registry/audit/report"
HERE = Position("aa", 1, 1, "s", build="b")


def test_bad_old_and_repeated_reports_count_nothing_twice_whatever_the_clock_says(tmp_path: Path) -> None:
    async def main() -> None:
        registry = Registry(Journal(tmp_path), clock_us=lambda: time.time_ns() // 1000 - 5_000_000)
        registry.become_leader()
        listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(serve(registry, "127.0.0.1", 0, listening.set_result))
        port = await listening

        async def post(raw: bytes) -> tuple[int, Any]:
            return await ask(port, "POST", REPORT, raw)

        def told(spans: Spans, at_ms: int) -> Report:
            spans.attempt(at_ms * 1000, at_ms, 1)
            return spans.report(at_ms * 1000)

        old, new = Spans("n1", "a", 0, HERE), Spans("n1", "b", 0, HERE)
        reports = [told(old, 10), told(old, 20), told(new, 5), told(new, 15)]
        first = msgspec.json.encode(reports[0])
        bad_ones = [b"", b"[" * 100_000, b"{}", b"\xff", first[:-9], first.replace(b'"n":1', b'"n":-1')]
        bad_ones += [first.replace(HERE.text().encode(), b"a.b"), first.replace(b"[0,", b"[1e400,")]
        for bad in bad_ones:
            status, text = await post(bad)
            assert status == 400 and "remedy" in text, (bad[:60], text)
        assert registry.log_state.applied_index == 1, "nothing of them is in the log"
        for n in (3, 1, 0, 3, 2, 1, 2):  # the old incarnation's come late, and all of them twice
            status, answer = await post(msgspec.json.encode(reports[n]))
            assert status == 200 and reports[n].n in answer["acks"]
        sums = (await ask(port, "GET", "/registry/audit/acted?build=b"))[1]["sidecars"]
        assert sums == {"n1": {"attempts": 4, "refusals": 0, "unsent": 0}}
        assert (await ask(port, "GET", "/registry/audit/at?name=n1"))[1]["state"] == "gap"  # heard until then
        for query in (
            "acted",
            "acted?generation=x",
            "acted?colour=red",
            "at",
            "out-of-use",
            "out-of-use?term=1",
        ):
            assert (await ask(port, "GET", f"/registry/audit/{query}"))[0] == 400
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_test(main())
