"""The audit with processes and faults: what it counted is what endpoints saw, and who is shut out."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import Counter
from pathlib import Path
from typing import Any

from tests.audit_fleet import Fleet, Member
from tests.faults import DROP
from tests.sockets import run_test
from tests.test_registry import call_registry

SECONDS = float(os.environ.get("AUDIT_FAULT_S", "8"))  # of faults; by hand it is run for longer
SLACK_MS = 100  # between an endpoint's clock and the service's estimate of a sidecar's


async def quiet(fleet: Fleet) -> None:
    """Traffic ends, and all that is under way."""
    fleet.traffic = False
    await asyncio.sleep(0.5)


async def settled(fleet: Fleet, which: int = 0) -> None:
    """What endpoints counted is the ledger's, in the end and exactly."""
    await quiet(fleet)

    async def same() -> bool:
        return await fleet.ledger(which) == fleet.counted

    try:
        async with asyncio.timeout(20):
            await fleet.until(same)
    except TimeoutError:
        assert await fleet.ledger(which) == fleet.counted


def test_over_any_faults_of_links_the_ledger_counts_what_the_endpoints_counted(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            await fleet.disturb(SECONDS)
            await settled(fleet)
            assert len({position for _, position in fleet.counted}) > 3 and fleet.counted.total() > 100
            for one in fleet.members:
                gaps = (await fleet.told(f"gaps?name={one.name}"))["gaps"]
                assert len(gaps) == 1 and gaps[0][1] is None  # only what is not reported yet

    run_test(main())


def test_what_kills_of_sidecars_lose_lies_in_gaps_that_the_ledger_declares(tmp_path: Path) -> None:
    async def killing(fleet: Fleet, victims: list[Member]) -> None:
        for one in victims:
            await asyncio.sleep(SECONDS / 4)
            await fleet.kill(one.process)
            await asyncio.sleep(0.3)
            await fleet.start(one)

    async def main() -> None:
        async with Fleet(tmp_path, seed=2) as fleet:
            await asyncio.gather(fleet.disturb(SECONDS), killing(fleet, fleet.members[:2]))
            await asyncio.sleep(2)
            for one in fleet.members:
                one.fault("report")
            await quiet(fleet)
            outside: Counter[tuple[str, str]] = Counter()
            gaps: dict[str, list[Any]] = {}

            async def whole() -> bool:
                outside.clear()
                for one in fleet.members:
                    gaps[one.name] = (await fleet.told(f"gaps?name={one.name}"))["gaps"]
                for at, name, position in fleet.arrivals:
                    bounds = [(a - SLACK_MS, b + SLACK_MS) for a, b in gaps[name] if b is not None]
                    outside[name, position] += not any(a <= at <= b for a, b in bounds)
                ledger = await fleet.ledger()
                return all(outside[key] <= ledger[key] <= fleet.counted[key] for key in fleet.counted)

            await fleet.until(whole)
            assert [len(gaps[one.name]) for one in fleet.members] == [2, 2, 1, 1, 1]
            exact = await fleet.ledger()
            assert all(
                exact[key] == fleet.counted[key] for key in fleet.counted if key[0] in ("n2", "n3", "n4")
            )

    run_test(main())


def test_a_writer_killed_under_reports_loses_nothing_it_acked_and_counts_nothing_twice(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            for _ in range(3):
                await fleet.change()
                await asyncio.sleep(0.5)
            await fleet.kill(fleet.services[0])
            await asyncio.sleep(0.5)
            await fleet.kill(fleet.services[1])
            await fleet.serve(1)  # without --follow: it writes from now on
            for _ in range(3):
                await fleet.change(which=1)
                await asyncio.sleep(0.5)
            await settled(fleet, which=1)
            told = await fleet.told("out-of-use?generation=6", which=1)  # 7 and on by the new writer
            assert told["out_of_use"], told

    run_test(main())


def test_one_whose_watch_is_dropped_is_brought_up_by_its_report(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            one = fleet.members[0]
            one.fault("watch", DROP)
            changed, generation = time.time_ns() // 1_000_000, await fleet.change()

            async def acted() -> list[Any]:
                spans = (await fleet.told(f"acted?generation={generation}"))["spans"]
                return [span for span in spans if span["name"] == one.name]

            span = (await fleet.until(acted))[0]
            assert 1400 < span["from"] - changed < 1500 + 2000  # behind-ms, and 2 s
            assert await fleet.state(one.name) == "current"
            log = (fleet.folder / one.name / "log").read_text()
            assert "the list comes with the audit's answer" in log

    run_test(main())


def test_one_whose_bring_ups_fail_is_shut_out_with_its_lease_and_comes_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            one, seq = fleet.members[0], 0

            async def hold(name: str, ttl_ms: int) -> tuple[int, Any]:
                nonlocal seq
                seq += 1
                call = {"seq": seq, "limit": 10, "of": ["7"], "keeps": {}}
                target = f"/registry/shares/{name}?ttl_ms={ttl_ms}"
                return await call_registry(fleet.ports[0], "POST", target, json.dumps(call).encode())

            async def is_out() -> bool:
                return await fleet.state(one.name) == "shut out"

            one.fault("watch", DROP)
            one.fault("report", deaf=True)
            await fleet.change()
            while not await is_out():
                renewed = await hold("n0@x", 4000)  # until it may not
                if renewed[0] == 200:  # it may be shut out between the look and the call
                    granted = renewed
                await asyncio.sleep(0.05)
            assert granted[1]["grants"] == {"7": 10}
            assert (await hold("n0@x", 4000))[0] == 409
            assert (await hold("n1@x", 60_000))[1]["grants"] == {"7": 0}, "its lease runs still"
            while (await hold("n1@x", 60_000))[1]["grants"] != {"7": 10}:
                await asyncio.sleep(0.1)
            assert one.answers.keys() == {200}, "it can't be told, so it serves on"
            one.fault("report")

            async def is_current() -> bool:
                return await fleet.state(one.name) == "current"

            await fleet.until(is_current)
            log = fleet.folder / one.name / "log"
            while "let in again" not in log.read_text():
                await asyncio.sleep(0.05)
            assert one.answers[503] > 0, "told, it turned requests away meanwhile"
            assert await fleet.health(one) == 200 and (await hold("n0@x", 4000))[0] == 200
            assert [other.answers.keys() for other in fleet.members[1:]] == [{200}] * 4

    run_test(main())


def test_where_most_are_behind_the_fleet_is_held_and_no_request_is_refused(tmp_path: Path) -> None:
    async def main() -> None:
        async with Fleet(tmp_path) as fleet:
            frozen = fleet.members[:3]
            for one in frozen:
                one.fault("watch", DROP)
                one.fault("report", deaf=True)
            await fleet.change()

            async def held() -> bool:
                return bool((await fleet.told("behind"))["held"])

            async def free() -> bool:
                return not await held() and not (await fleet.told("behind"))["behind"]

            await fleet.until(held)
            await asyncio.sleep(6)  # shut-out-ms
            assert await held()
            for one in frozen:
                one.fault("watch")
                one.fault("report")
            await fleet.until(free)
            assert [one.answers.keys() for one in fleet.members] == [{200}] * 5
            log = (fleet.folder / "service-0.log").read_text()
            assert "held: too many" in log and "sidecar shut out" not in log

    run_test(main())
