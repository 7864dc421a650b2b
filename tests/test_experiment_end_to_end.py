"""An experiment's way through the real programs: from a call to the traffic, and back as evidence."""

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


async def fails_each_fourth(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(500 if len(endpoint.received) % 4 == 0 else 200))


class Scene:
    """A list service, sidecars under load, and endpoints of two types; the old type fails more."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.tasks = lab, [asyncio.create_task(asyncio.sleep(0))]

    async def open(self) -> None:
        lab = self.lab
        self.old = [await lab.endpoint(fails_each_fourth) for _ in range(2)]
        self.new = [await lab.endpoint() for _ in range(2)]
        self.service = await lab.service()
        for n, one in enumerate(self.old):
            await lab.register(self.service, f"o-{n}", one.entry(f"o-{n}"))
        for n, one in enumerate(self.new):
            await lab.register(self.service, f"n-{n}", one.entry(f"n-{n}", machineType="large"))
        self.link = await lab.proxy(self.service)
        self.sidecars = [await self._sidecar(f"s{n}", self.service if n else self.link) for n in range(2)]

    async def _sidecar(self, name: str, reports: Any) -> Program:
        audit = {"service": f"127.0.0.1:{reports.port}", "every-ms": 200}
        one = await self.lab.sidecar(name, discovery=self.service, audit=audit)
        load = one.run_load(4, 0.01, cls="pay", headers=f"X-Caller: {name}\r\n")
        self.tasks.append(asyncio.create_task(load))
        return one

    def got(self, which: list[Endpoint], caller: str = "") -> int:
        return sum(caller in ("", one.headers["x-caller"]) for at in which for one in at.received)

    async def write(self, step: str = "", body: Any = None) -> Any:
        back = await call(self.service.port, "POST", PATH + step, body)
        assert back.status == 200, back.text
        return back.json

    async def told(self, *states: str) -> dict[str, Any]:
        """The experiment, once it is in one of these states."""
        while (told := (await call(self.service.port, "GET", PATH)).json)["state"] not in states:
            await asyncio.sleep(POLL_INTERVAL_S)
        return dict(told)

    async def more(self, which: list[Endpoint], count: int, caller: str = "") -> None:
        goal = self.got(which, caller) + count
        while self.got(which, caller) < goal:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


@pytest.mark.timeout(120)
async def test_winner_takes_all_and_a_sidecar_cut_off_falls_to_control(lab: Lab) -> None:
    scene = Scene(lab)
    try:
        await scene.open()
        await scene.write("", DRAFT)
        await scene.more(scene.old, 1)
        assert (await scene.told("draft"))["tried"] == {}  # nothing is counted before the start
        await scene.write("/start")
        told = await scene.told("applied")
        assert told["decision"]["state"] == "winner" and told["decision"]["winner"] == "new"
        assert min(told["tried"].values()) >= 100
        assert (await scene.service.wait_logged("experiment applied"))["after_ms"] == told["applied_after_ms"]
        await scene.more(scene.new, 20)  # what was under way is over
        before = [scene.got(scene.old, name) for name in ("s0", "s1")]
        await scene.more(scene.new, 200)
        assert before == [scene.got(scene.old, name) for name in ("s0", "s1")]

        scene.link.set_fault(DROP)  # of the first sidecar's reports
        await scene.more(scene.old, 20, "s0")
        assert scene.got(scene.old, "s1") == before[1]
        scene.link.set_fault(PASS)
        await scene.write("/close")
        await scene.more(scene.old, 20, "s1")  # both types serve all again
        await scene.more(scene.new, 20, "s0")
    finally:
        scene.close()


async def test_without_an_experiment_reports_hold_no_evidence(lab: Lab) -> None:
    scene = Scene(lab)
    try:
        await scene.open()
        await scene.more(scene.old, 50)
        await scene.more(scene.new, 50)
        acted = {one.headers["x-acted-on"].split(".")[5] for at in scene.old for one in at.received}
        assert acted == {"0"}
        assert (await call(scene.service.port, "GET", "/registry/experiments")).json["revision"] == 0
    finally:
        scene.close()
