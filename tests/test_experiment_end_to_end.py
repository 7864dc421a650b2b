"""End-to-end tests of experiments with the real programs: API request, traffic split, evidence."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.lab import POLL_INTERVAL_S, Lab, Program, call
from tests.sockets import Endpoint, Message, Writer, http_response
from woadyard.standins import DROP, PASS

PATH = "/registry/experiments/types"
DRAFT = {
    "plan": {
        "arms": ["old", "new"], "control": "old", "minimum_s": 1, "minimum_tried": 100,
        "smallest_difference": 0.05, "maximum_s": 3600, "missing_share": 0.5,
    },
    "match": {"old": {"machineType": "small"}, "new": {"machineType": "large"}},
    "hold_ms": 1500, "slot_ms": 200,
}  # fmt: skip


async def fail_every_fourth(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(500 if len(endpoint.received) % 4 == 0 else 200))


class ExperimentScenario:
    """A list service, two sidecars under load, and endpoints of two types; the old type fails more."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.tasks = lab, [asyncio.create_task(asyncio.sleep(0))]

    async def open(self) -> None:
        lab = self.lab
        self.old_endpoints = [await lab.endpoint(fail_every_fourth) for _ in range(2)]
        self.new_endpoints = [await lab.endpoint() for _ in range(2)]
        self.service = await lab.service()
        for number, listed_endpoint in enumerate(self.old_endpoints):
            await lab.register(self.service, f"o-{number}", listed_endpoint.entry(f"o-{number}"))
        for number, listed_endpoint in enumerate(self.new_endpoints):
            await lab.register(
                self.service, f"n-{number}", listed_endpoint.entry(f"n-{number}", machineType="large")
            )
        self.report_proxy = await lab.proxy(self.service)
        self.sidecars = [
            await self._sidecar(f"s{number}", self.service if number else self.report_proxy)
            for number in range(2)
        ]

    async def _sidecar(self, name: str, report_target: Any) -> Program:
        audit = {"service": f"127.0.0.1:{report_target.port}", "every-ms": 200}
        program = await self.lab.sidecar(name, discovery=self.service, audit=audit)
        load = program.run_load(4, 0.01, cls="pay", headers=f"X-Caller: {name}\r\n")
        self.tasks.append(asyncio.create_task(load))
        return program

    def received_count(self, endpoints: list[Endpoint], client: str = "") -> int:
        return sum(
            client in ("", request.headers["x-caller"])
            for endpoint in endpoints
            for request in endpoint.received
        )

    async def post(self, step: str = "", body: Any = None) -> Any:
        response = await call(self.service.port, "POST", PATH + step, body)
        assert response.status == 200, response.text
        return response.json

    async def wait_for_state(self, *states: str) -> dict[str, Any]:
        """Return the summary of the experiment once it is in one of these states."""
        while (summary := (await call(self.service.port, "GET", PATH)).json)["state"] not in states:
            await asyncio.sleep(POLL_INTERVAL_S)
        return dict(summary)

    async def wait_for_requests(self, endpoints: list[Endpoint], count: int, client: str = "") -> None:
        goal = self.received_count(endpoints, client) + count
        while self.received_count(endpoints, client) < goal:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


@pytest.mark.timeout(120)
async def test_winner_gets_all_traffic_and_a_disconnected_sidecar_serves_control(lab: Lab) -> None:
    scenario = ExperimentScenario(lab)
    try:
        await scenario.open()
        await scenario.post("", DRAFT)
        await scenario.wait_for_requests(scenario.old_endpoints, 1)
        assert (await scenario.wait_for_state("draft"))["tried"] == {}  # nothing is counted before the start
        await scenario.post("/start")
        summary = await scenario.wait_for_state("applied")
        assert summary["decision"]["state"] == "winner" and summary["decision"]["winner"] == "new"
        assert min(summary["tried"].values()) >= 100
        assert (await scenario.service.wait_logged("experiment applied"))["after_ms"] == summary[
            "applied_after_ms"
        ]
        # Requests in flight at the decision complete.
        await scenario.wait_for_requests(scenario.new_endpoints, 20)
        before = [scenario.received_count(scenario.old_endpoints, name) for name in ("s0", "s1")]
        await scenario.wait_for_requests(scenario.new_endpoints, 200)
        assert before == [scenario.received_count(scenario.old_endpoints, name) for name in ("s0", "s1")]

        scenario.report_proxy.set_fault(DROP)  # the reports of the first sidecar
        await scenario.wait_for_requests(scenario.old_endpoints, 20, "s0")
        assert scenario.received_count(scenario.old_endpoints, "s1") == before[1]
        scenario.report_proxy.set_fault(PASS)
        await scenario.post("/close")
        # Both types serve both sidecars again.
        await scenario.wait_for_requests(scenario.old_endpoints, 20, "s1")
        await scenario.wait_for_requests(scenario.new_endpoints, 20, "s0")
    finally:
        scenario.close()


async def test_reports_have_no_evidence_without_an_experiment(lab: Lab) -> None:
    scenario = ExperimentScenario(lab)
    try:
        await scenario.open()
        await scenario.wait_for_requests(scenario.old_endpoints, 50)
        await scenario.wait_for_requests(scenario.new_endpoints, 50)
        revisions = {
            request.headers["x-acted-on"].split(".")[5]
            for endpoint in scenario.old_endpoints
            for request in endpoint.received
        }
        assert revisions == {"0"}
        assert (await call(scenario.service.port, "GET", "/registry/experiments")).json["revision"] == 0
    finally:
        scenario.close()
