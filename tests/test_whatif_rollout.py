"""The whole way, with processes and faults: record, fetch, replay, gate, stages, audit."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from tests.lab import Lab, Program
from tests.sockets import SETTINGS, Endpoint, Message, Writer, http_request, http_response, read_message
from woadyard.standins import CUT, DROP, PASS, RESET, FaultProxy

CLASSES = [{"name": "page", "aim-us": 150_000, "deadline-us": 3_000_000, "repeat": "retryable"}]
RULES = {
    "seeds": 2, "workers": 2, "block-ms": 500, "warm-s": 1, "blocks-least": 4, "requests-least": 100,
    # Wide: the machine that tests run on may be slow. What a plan does here is far wider.
    "check-aim": 0.15, "check-p99": 3.0, "check-endpoint": 0.3, "harm": 0.01, "harm-time": 1.0,
    "thin-most": 1.0, "floor-share": 0.1, "floor-time": 1.0, "window-s": 2, "measured-least": 40,
    "age-s": 120,
}  # fmt: skip
GOOD, BAD = {"machineType=slow": 0.1}, {"machineType=quick": 0.02}
MEAN_S = {"quick": 0.02, "slow": 0.3}
RECORD_S = 5.0


class Fleet:
    """Four endpoints, three sidecars that record, a list service with plans, and callers."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.turned_slow = lab, False
        self.sidecars: list[Program] = []
        self.links: dict[str, FaultProxy] = {}  # each sidecar's to the service's audit
        self.doors: dict[str, FaultProxy] = {}
        self.acted: dict[str, int] = {}  # each sidecar's plan revision, by its latest attempt
        self.rng = random.Random(4)

    def serve(self, kind: str) -> Any:
        async def handle(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            name = message.headers["x-request-id"].partition("-")[0]
            self.acted[name] = int(message.headers["x-acted-on"].split(".")[4])
            mean = MEAN_S["slow" if self.turned_slow else kind]
            await asyncio.sleep(mean * self.rng.uniform(0.7, 1.3))
            writer.write(http_response())

        return handle

    async def open(self) -> None:
        port = self.lab.free_port()
        for number in range(3):
            self.links[f"n{number}"] = await self.lab.proxy(port)
        entries = []
        for number, kind in enumerate(["quick", "quick", "slow", "slow"]):
            endpoint = await self.lab.endpoint(self.serve(kind))
            entries.append(endpoint.entry(f"e{number}", machineType=kind, cell=number))
        settings = {**SETTINGS, "classes": CLASSES, "kinds": ["quick", "slow"]}
        for name, link in self.links.items():
            audit = {"service": f"127.0.0.1:{link.port}", "every-ms": 200}
            sidecar = await self.lab.sidecar(
                name, discovery=port, wait=False, audit=audit, record={"memory-kb": 2048}, settings=settings,
                known={"generation": 0, "reset": True, "instances": entries},
            )  # fmt: skip
            self.sidecars.append(sidecar)
            self.doors[name] = await self.lab.proxy(sidecar.admin_port)
        file = self.lab.folder / "plans.json"
        doors = {name: f"127.0.0.1:{proxy.port}" for name, proxy in self.doors.items()}
        file.write_text(json.dumps({"doors": doors, "rules": RULES, "every-ms": 200}))
        self.service = await self.lab.service("list", None, "--plans", str(file), port=port)
        for entry in entries:
            await self.lab.register(self.service, entry["instanceId"], entry)
        for sidecar in self.sidecars:
            await sidecar.wait_ready()

    # --- What operators do --------------------------------------------------------

    async def plans(self) -> Any:
        return (await self.lab.call(self.service.port, "GET", "/registry/plans")).json

    async def post(self, path: str, body: Any = None) -> Any:
        return await self.lab.call(self.service.port, "POST", f"/registry/plans{path}", body)

    async def judged(self, weights: dict[str, float], stages: list[float]) -> tuple[int, dict[str, Any]]:
        """A plan's verdict. A recording of a loaded machine does not reproduce and tells nothing,
        rightly: the plan is withdrawn then, and judged anew by what was recorded since."""
        while True:
            told = await self.post("", {"weights": weights, "stages": stages})
            assert told.status == 200, told
            while not (active := (await self.plans())["active"])["verdict"]:
                await asyncio.sleep(0.1)
            if active["verdict"]["state"] != "cannot tell":
                return active["revision"], active["verdict"]
            assert (await self.post(f"/{active['revision']}/withdraw")).status == 200

    async def closed(self, revision: int) -> dict[str, Any]:
        while True:
            for plan in (await self.plans())["history"]:
                if plan["revision"] == revision:
                    return dict(plan)
            await asyncio.sleep(0.1)

    async def stage(self, number: int) -> None:
        while ((await self.plans())["active"] or {}).get("stage", -1) < number:
            await asyncio.sleep(0.05)

    async def all_act_on(self, revision: int) -> None:
        """As the endpoints are told with each attempt, the audit aside."""
        while set(self.acted.values()) != {revision}:
            await asyncio.sleep(0.05)


async def call_them(fleet: Fleet, rate: float = 20.0) -> None:
    """Poisson calls at each sidecar, until cancelled."""

    async def one(sidecar: Program, rid: str) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            writer.write(http_request(rid=rid, deadline_ms=3000))
            await read_message(reader)
            writer.close()

    async def caller(sidecar: Program, rng: random.Random) -> None:
        begun, number = set(), 0
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            task = asyncio.create_task(one(sidecar, f"{sidecar.name}-{(number := number + 1)}"))
            begun.add(task)
            task.add_done_callback(begun.discard)

    await asyncio.gather(*(caller(one, random.Random(n)) for n, one in enumerate(fleet.sidecars)))


@contextlib.asynccontextmanager
async def fleet_under_load(lab: Lab) -> AsyncIterator[Fleet]:
    fleet = Fleet(lab)
    await fleet.open()
    load = asyncio.create_task(call_them(fleet))
    await asyncio.sleep(RECORD_S)  # traffic to record
    try:
        yield fleet
    finally:
        load.cancel()


@pytest.mark.asyncio
async def test_a_bad_plan_is_refused_and_a_good_one_goes_out_though_links_and_service_fail(lab: Lab) -> None:
    async with fleet_under_load(lab) as fleet:
        trouble = asyncio.create_task(flap(fleet))
        bad, verdict = await fleet.judged(BAD, [1.0])
        assert verdict["state"] in ("worse", "breaks a rule"), verdict
        refused = await fleet.post(f"/{bad}/go")
        assert refused.status == 400 and verdict["state"] in refused.json["error"] and refused.json["remedy"]
        assert (await fleet.post(f"/{bad}/withdraw")).status == 200
        good, verdict = await fleet.judged(GOOD, [0.3, 1.0])
        assert verdict["state"] in ("better", "harmless"), verdict
        trouble.cancel()
        for proxy in fleet.doors.values():
            proxy.set_fault(PASS)
        # Whom the first stage chose is cut off from the audit: it holds the old plan, the stage waits.
        for link in fleet.links.values():
            link.set_fault(DROP)
            link.abort_connections()
        assert (await fleet.post(f"/{good}/go")).status == 200
        await fleet.stage(0)
        await lab.kill(fleet.service)
        assert (await fleet_restarted(fleet))["active"]["stage"] == 0
        assert (await fleet.post("", {"weights": GOOD})).status == 400  # one at a time
        for link in fleet.links.values():
            link.set_fault(PASS)
            link.abort_connections()
        await fleet.stage(1)
        await lab.kill(fleet.service)  # between stages: it goes on at the second
        told = await fleet_restarted(fleet)
        assert (told["active"] or told["history"][-1])["stage"] == 1
        closed = await fleet.closed(good)
        assert closed["state"] == "done" and "aim" in closed["errors"], closed
        await fleet.all_act_on(good)


async def fleet_restarted(fleet: Fleet) -> Any:
    fleet.service.start()
    await fleet.service.wait_logged("listening")
    return await fleet.plans()


async def flap(fleet: Fleet) -> None:
    """The links to the doors are cut and reset over and over."""
    while True:
        for proxy in fleet.doors.values():
            proxy.set_fault(fleet.rng.choice((PASS, PASS, CUT, RESET)))
        await asyncio.sleep(0.05)


@pytest.mark.asyncio
async def test_a_forecast_made_false_halts_in_the_first_stage_and_the_old_weights_are_back(lab: Lab) -> None:
    async with fleet_under_load(lab) as fleet:
        revision, verdict = await fleet.judged(GOOD, [0.3, 1.0])
        assert verdict["state"] in ("better", "harmless"), verdict
        fleet.turned_slow = True
        assert (await fleet.post(f"/{revision}/go")).status == 200
        began = time.monotonic()
        closed = await fleet.closed(revision)
        assert closed["state"] == "halted" and closed["stage"] == 0 and closed["why"], closed
        told = await fleet.plans()
        assert told["force"] == {"revision": revision + 1, "weights": {}} and told["widen"] > 1.0
        await fleet.all_act_on(revision + 1)
        print(f"halted and back after {time.monotonic() - began:.1f} s")
