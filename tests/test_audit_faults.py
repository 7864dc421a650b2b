"""Tests of the audit with processes and faults: its counts match the endpoints', and who is shut out."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import Counter
from pathlib import Path
from typing import Any

from tests.audit_fleet import AuditFleet, FleetSidecar
from tests.faults import DROP
from tests.sockets import run_test
from tests.test_registry import call_registry

SECONDS = float(os.environ.get("AUDIT_FAULT_S", "8"))  # of injected faults; longer in manual runs
SHUT_OUT_LOGGED = "shut out by the audit"
SLACK_MS = 100  # between an endpoint's clock and the service's estimate of a sidecar's clock


async def stop_traffic(fleet: AuditFleet) -> None:
    """Stop sending requests, and wait for those in flight."""
    fleet.is_sending = False
    await asyncio.sleep(0.5)


async def assert_counts_agree(fleet: AuditFleet, which: int = 0) -> None:
    """Stop the traffic and wait until the ledger's counts equal those of the endpoints."""
    await stop_traffic(fleet)

    async def counts_agree() -> bool:
        return await fleet.reported_counts(which) == fleet.endpoint_counts

    try:
        async with asyncio.timeout(20):
            await fleet.wait_for(counts_agree)
    except TimeoutError:
        assert await fleet.reported_counts(which) == fleet.endpoint_counts


def test_ledger_counts_equal_the_endpoints_counts_after_random_link_faults(tmp_path: Path) -> None:
    async def main() -> None:
        async with AuditFleet(tmp_path) as fleet:
            await fleet.inject_faults(SECONDS)
            await assert_counts_agree(fleet)
            assert (
                len({position for _, position in fleet.endpoint_counts}) > 3
                and fleet.endpoint_counts.total() > 100
            )
            for sidecar in fleet.sidecars:
                gaps = (await fleet.query_audit(f"gaps?name={sidecar.name}"))["gaps"]
                assert len(gaps) == 1 and gaps[0][1] is None  # only the time since the last report

    run_test(main())


def test_counts_lost_with_killed_sidecars_lie_within_the_gaps_of_the_ledger(tmp_path: Path) -> None:
    async def kill_and_restart(fleet: AuditFleet, victims: list[FleetSidecar]) -> None:
        for sidecar in victims:
            await asyncio.sleep(SECONDS / 4)
            await fleet.kill(sidecar.process)
            await asyncio.sleep(0.3)
            await fleet.start_sidecar(sidecar)

    async def main() -> None:
        async with AuditFleet(tmp_path, seed=2) as fleet:
            await asyncio.gather(fleet.inject_faults(SECONDS), kill_and_restart(fleet, fleet.sidecars[:2]))
            await asyncio.sleep(2)
            for sidecar in fleet.sidecars:
                sidecar.fault("report")
            await stop_traffic(fleet)
            outside_gaps: Counter[tuple[str, str]] = Counter()
            gaps: dict[str, list[Any]] = {}

            async def counts_within_bounds() -> bool:
                outside_gaps.clear()
                for sidecar in fleet.sidecars:
                    gaps[sidecar.name] = (await fleet.query_audit(f"gaps?name={sidecar.name}"))["gaps"]
                for arrival_ms, name, position in fleet.arrivals:
                    bounds = [
                        (start - SLACK_MS, end + SLACK_MS) for start, end in gaps[name] if end is not None
                    ]
                    outside_gaps[name, position] += not any(
                        start <= arrival_ms <= end for start, end in bounds
                    )
                ledger = await fleet.reported_counts()
                return all(
                    outside_gaps[key] <= ledger[key] <= fleet.endpoint_counts[key]
                    for key in fleet.endpoint_counts
                )

            await fleet.wait_for(counts_within_bounds)
            assert [len(gaps[sidecar.name]) for sidecar in fleet.sidecars] == [2, 2, 1, 1, 1]
            reported = await fleet.reported_counts()
            assert all(
                reported[key] == fleet.endpoint_counts[key]
                for key in fleet.endpoint_counts
                if key[0] in ("n2", "n3", "n4")
            )

    run_test(main())


def test_killed_leader_loses_no_acknowledged_report_and_nothing_is_counted_twice(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with AuditFleet(tmp_path) as fleet:
            for _ in range(3):
                await fleet.change_list()
                await asyncio.sleep(0.5)
            await fleet.kill(fleet.services[0])
            await asyncio.sleep(0.5)
            await fleet.kill(fleet.services[1])
            await fleet.start_service(1)  # without --follow: it leads from now on
            for _ in range(3):
                await fleet.change_list(which=1)
                await asyncio.sleep(0.5)
            await assert_counts_agree(fleet, which=1)
            # Generations from 7 on are from the new leader.
            answer = await fleet.query_audit("out-of-use?generation=6", which=1)
            assert answer["out_of_use"], answer

    run_test(main())


def test_sidecar_with_a_dropped_watch_gets_the_list_with_the_answer_to_its_report(tmp_path: Path) -> None:
    async def main() -> None:
        async with AuditFleet(tmp_path) as fleet:
            sidecar = fleet.sidecars[0]
            sidecar.fault("watch", DROP)
            changed_ms, generation = time.time_ns() // 1_000_000, await fleet.change_list()

            async def acted() -> list[Any]:
                spans = (await fleet.query_audit(f"acted?generation={generation}"))["spans"]
                return [span for span in spans if span["name"] == sidecar.name]

            span = (await fleet.wait_for(acted))[0]
            assert 1400 < span["from"] - changed_ms < 1500 + 2000  # behind-ms, plus 2 s
            assert await fleet.state(sidecar.name) == "current"
            log = (fleet.folder / sidecar.name / "log").read_text()
            assert "the list comes with the audit's answer" in log

    run_test(main())


def test_sidecar_whose_bring_ups_fail_is_shut_out_with_its_lease_and_readmitted(tmp_path: Path) -> None:
    async def main() -> None:
        async with AuditFleet(tmp_path) as fleet:
            sidecar, seq = fleet.sidecars[0], 0

            async def hold(name: str, ttl_ms: int) -> tuple[int, Any]:
                nonlocal seq
                seq += 1
                call = {"seq": seq, "limit": 10, "of": ["7"], "keeps": {}}
                target = f"/registry/shares/{name}?ttl_ms={ttl_ms}"
                return await call_registry(fleet.ports[0], "POST", target, json.dumps(call).encode())

            async def is_shut_out() -> bool:
                return await fleet.state(sidecar.name) == "shut out"

            sidecar.fault("watch", DROP)
            sidecar.fault("report", deaf=True)
            await fleet.change_list()
            while not await is_shut_out():
                renewed = await hold("n0@x", 4000)  # renewed until it is rejected
                if renewed[0] == 200:  # it may be shut out between the two calls
                    granted = renewed
                await asyncio.sleep(0.05)
            assert granted[1]["grants"] == {"7": 10}
            assert (await hold("n0@x", 4000))[0] == 409
            assert (await hold("n1@x", 60_000))[1]["grants"] == {"7": 0}, (
                "the lease of n0 has not expired yet"
            )
            while (await hold("n1@x", 60_000))[1]["grants"] != {"7": 10}:
                await asyncio.sleep(0.1)
            # Without its watch it serves up to the end of its membership lease.
            log = fleet.folder / sidecar.name / "log"
            assert sidecar.response_counts[200] and not sidecar.rejected_under_lease_s
            assert await fleet.health(sidecar) == 200 and SHUT_OUT_LOGGED not in log.read_text(), (
                "no answer reaches it, so it is not shut out"
            )
            sidecar.fault("report")
            while SHUT_OUT_LOGGED not in log.read_text():
                await asyncio.sleep(0.01)
            informed_s = time.monotonic()

            async def is_current() -> bool:
                return await fleet.state(sidecar.name) == "current"

            await fleet.wait_for(is_current)
            while "shut-out ended" not in log.read_text():
                await asyncio.sleep(0.05)
            rejected = [at_s for at_s in sidecar.rejected_s if at_s > informed_s]
            assert rejected, "once informed, it rejected requests until readmitted"
            assert await fleet.health(sidecar) == 200 and (await hold("n0@x", 4000))[0] == 200
            assert [other.response_counts.keys() for other in fleet.sidecars[1:]] == [{200}] * 4

    run_test(main())


def test_fleet_is_held_and_no_request_rejected_if_most_sidecars_are_behind(tmp_path: Path) -> None:
    async def main() -> None:
        async with AuditFleet(tmp_path) as fleet:
            frozen = fleet.sidecars[:3]
            for sidecar in frozen:
                sidecar.fault("watch", DROP)
                sidecar.fault("report", deaf=True)
            await fleet.change_list()

            async def is_held() -> bool:
                return bool((await fleet.query_audit("behind"))["held"])

            async def all_current() -> bool:
                return not await is_held() and not (await fleet.query_audit("behind"))["behind"]

            await fleet.wait_for(is_held)
            await asyncio.sleep(6)  # shut-out-ms
            assert await is_held()
            for sidecar in frozen:
                sidecar.fault("watch")
                sidecar.fault("report")
            await fleet.wait_for(all_current)
            assert [sidecar.response_counts.keys() for sidecar in fleet.sidecars[3:]] == [{200}] * 2
            # Without their watches the others serve up to the end of their membership leases.
            assert not any(sidecar.rejected_under_lease_s for sidecar in frozen)
            log = (fleet.folder / "service-0.log").read_text()
            assert "held: too many" in log and "sidecar shut out" not in log
            for sidecar in frozen:
                assert SHUT_OUT_LOGGED not in (fleet.folder / sidecar.name / "log").read_text()
                served = sidecar.response_counts[200]
                while sidecar.response_counts[200] == served:
                    await asyncio.sleep(0.05)

    run_test(main())
