"""A plan from its proposal to the end of its rollout, with real processes and injected faults."""

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
    # Wide bounds, as the test machine may be slow; the effects of the plans here are far larger.
    "check-aim": 0.15, "check-p99": 3.0, "check-endpoint": 0.3, "harm": 0.01, "harm-time": 1.0,
    "thin-most": 1.0, "floor-share": 0.1, "floor-time": 1.0, "window-s": 2, "measured-least": 40,
    "age-s": 120,
}  # fmt: skip
GOOD_WEIGHTS, BAD_WEIGHTS = {"machineType=slow": 0.1}, {"machineType=quick": 0.02}
MEAN_SERVICE_TIME_S = {"quick": 0.02, "slow": 0.3}
RECORDING_S = 5.0


class Fleet:
    """Four endpoints, three sidecars that record traces, and a list service with plans.

    The proxies `audit_proxies` are between each sidecar and the service's audit, `admin_proxies`
    between the service and each sidecar's admin listener.
    """

    def __init__(self, lab: Lab) -> None:
        self.lab, self.all_endpoints_slow = lab, False
        self.sidecars: list[Program] = []
        self.audit_proxies: dict[str, FaultProxy] = {}
        self.admin_proxies: dict[str, FaultProxy] = {}
        self.applied: dict[str, int] = {}  # plan revision in each sidecar's latest attempt
        self.rng = random.Random(4)

    def request_handler(self, machine_type: str) -> Any:
        async def handle(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            name = message.headers["x-request-id"].partition("-")[0]
            self.applied[name] = int(message.headers["x-acted-on"].split(".")[4])
            mean_s = MEAN_SERVICE_TIME_S["slow" if self.all_endpoints_slow else machine_type]
            await asyncio.sleep(mean_s * self.rng.uniform(0.7, 1.3))
            writer.write(http_response())

        return handle

    async def start(self) -> None:
        port = self.lab.free_port()
        for number in range(3):
            self.audit_proxies[f"n{number}"] = await self.lab.proxy(port)
        entries = []
        for number, machine_type in enumerate(["quick", "quick", "slow", "slow"]):
            endpoint = await self.lab.endpoint(self.request_handler(machine_type))
            entries.append(endpoint.entry(f"e{number}", machineType=machine_type, cell=number))
        settings = {**SETTINGS, "classes": CLASSES, "kinds": ["quick", "slow"]}
        for name, audit_proxy in self.audit_proxies.items():
            audit = {"service": f"127.0.0.1:{audit_proxy.port}", "every-ms": 200}
            sidecar = await self.lab.sidecar(
                name, discovery=port, wait_until_ready=False, audit=audit, record={"memory-kb": 2048},
                settings=settings,
                known={"generation": 0, "reset": True, "instances": entries},
            )  # fmt: skip
            self.sidecars.append(sidecar)
            self.admin_proxies[name] = await self.lab.proxy(sidecar.admin_port)
        settings_file = self.lab.folder / "plans.json"
        doors = {name: f"127.0.0.1:{proxy.port}" for name, proxy in self.admin_proxies.items()}
        settings_file.write_text(json.dumps({"doors": doors, "rules": RULES, "every-ms": 200}))
        self.service = await self.lab.service("list", None, "--plans", str(settings_file), port=port)
        for entry in entries:
            await self.lab.register(self.service, entry["instanceId"], entry)
        for sidecar in self.sidecars:
            await sidecar.wait_ready()

    # --- Operations of an operator -------------------------------------------------

    async def get_plans(self) -> Any:
        return (await self.lab.call(self.service.port, "GET", "/registry/plans")).json

    async def post(self, path: str, body: Any = None) -> Any:
        return await self.lab.call(self.service.port, "POST", f"/registry/plans{path}", body)

    async def propose(self, weights: dict[str, float], stages: list[float]) -> tuple[int, dict[str, Any]]:
        """Propose a plan and return its revision and verdict.

        The verdict is `cannot tell` if the machine was so loaded that the replay does not reproduce
        the trace; the plan is then withdrawn and proposed again, to be evaluated with newer traces.
        """
        while True:
            response = await self.post("", {"weights": weights, "stages": stages})
            assert response.status == 200, response
            while not (active := (await self.get_plans())["active"])["verdict"]:
                await asyncio.sleep(0.1)
            if active["verdict"]["state"] != "cannot tell":
                return active["revision"], active["verdict"]
            assert (await self.post(f"/{active['revision']}/withdraw")).status == 200

    async def wait_closed(self, revision: int) -> dict[str, Any]:
        while True:
            for plan in (await self.get_plans())["history"]:
                if plan["revision"] == revision:
                    return dict(plan)
            await asyncio.sleep(0.1)

    async def wait_stage(self, number: int) -> None:
        while ((await self.get_plans())["active"] or {}).get("stage", -1) < number:
            await asyncio.sleep(0.05)

    async def wait_applied(self, revision: int) -> None:
        """Wait until the attempts that the endpoints receive show the revision for every sidecar.

        This does not rely on the audit.
        """
        while set(self.applied.values()) != {revision}:
            await asyncio.sleep(0.05)


async def generate_load(fleet: Fleet, rate: float = 20.0) -> None:
    """Send requests to each sidecar as a Poisson process of `rate` per second, until cancelled."""

    async def send_request(sidecar: Program, rid: str) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            writer.write(http_request(rid=rid, deadline_ms=3000))
            await read_message(reader)
            writer.close()

    async def run_client(sidecar: Program, rng: random.Random) -> None:
        tasks, number = set(), 0
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            task = asyncio.create_task(send_request(sidecar, f"{sidecar.name}-{(number := number + 1)}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    await asyncio.gather(*(run_client(program, random.Random(n)) for n, program in enumerate(fleet.sidecars)))


@contextlib.asynccontextmanager
async def fleet_under_load(lab: Lab) -> AsyncIterator[Fleet]:
    fleet = Fleet(lab)
    await fleet.start()
    load = asyncio.create_task(generate_load(fleet))
    await asyncio.sleep(RECORDING_S)
    try:
        yield fleet
    finally:
        load.cancel()


@pytest.mark.asyncio
async def test_bad_plan_is_rejected_and_good_one_rolled_out_despite_network_and_service_faults(
    lab: Lab,
) -> None:
    async with fleet_under_load(lab) as fleet:
        faults = asyncio.create_task(inject_admin_faults(fleet))
        bad, verdict = await fleet.propose(BAD_WEIGHTS, [1.0])
        assert verdict["state"] in ("worse", "breaks a rule"), verdict
        rejected = await fleet.post(f"/{bad}/go")
        assert (
            rejected.status == 400 and verdict["state"] in rejected.json["error"] and rejected.json["remedy"]
        )
        assert (await fleet.post(f"/{bad}/withdraw")).status == 200
        good, verdict = await fleet.propose(GOOD_WEIGHTS, [0.3, 1.0])
        assert verdict["state"] in ("better", "harmless"), verdict
        faults.cancel()
        for admin_proxy in fleet.admin_proxies.values():
            admin_proxy.set_fault(PASS)
        # The sidecars are cut off from the audit: they have the old weights and the first stage waits.
        for audit_proxy in fleet.audit_proxies.values():
            audit_proxy.set_fault(DROP)
            audit_proxy.abort_connections()
        assert (await fleet.post(f"/{good}/go")).status == 200
        await fleet.wait_stage(0)
        await lab.kill(fleet.service)
        assert (await restart_service(fleet))["active"]["stage"] == 0
        assert (await fleet.post("", {"weights": GOOD_WEIGHTS})).status == 400  # one plan at a time
        for audit_proxy in fleet.audit_proxies.values():
            audit_proxy.set_fault(PASS)
            audit_proxy.abort_connections()
        await fleet.wait_stage(1)
        await lab.kill(fleet.service)  # the rollout goes on at the second stage
        plans = await restart_service(fleet)
        assert (plans["active"] or plans["history"][-1])["stage"] == 1
        closed = await fleet.wait_closed(good)
        assert closed["state"] == "done" and "aim" in closed["errors"], closed
        await fleet.wait_applied(good)


async def restart_service(fleet: Fleet) -> Any:
    fleet.service.start()
    await fleet.service.wait_logged("listening")
    return await fleet.get_plans()


async def inject_admin_faults(fleet: Fleet) -> None:
    """Cut and reset the connections to the admin listeners at random, until cancelled."""
    while True:
        for proxy in fleet.admin_proxies.values():
            proxy.set_fault(fleet.rng.choice((PASS, PASS, CUT, RESET)))
        await asyncio.sleep(0.05)


@pytest.mark.asyncio
async def test_wrong_forecast_halts_the_first_stage_and_restores_the_old_weights(lab: Lab) -> None:
    """The endpoints become slow after the evaluation, so that the forecast is wrong."""
    async with fleet_under_load(lab) as fleet:
        revision, verdict = await fleet.propose(GOOD_WEIGHTS, [0.3, 1.0])
        assert verdict["state"] in ("better", "harmless"), verdict
        fleet.all_endpoints_slow = True
        assert (await fleet.post(f"/{revision}/go")).status == 200
        started_s = time.monotonic()
        closed = await fleet.wait_closed(revision)
        assert closed["state"] == "halted" and closed["stage"] == 0 and closed["why"], closed
        plans = await fleet.get_plans()
        assert plans["force"] == {"revision": revision + 1, "weights": {}} and plans["widen"] > 1.0
        await fleet.wait_applied(revision + 1)
        print(f"halted and restored after {time.monotonic() - started_s:.1f} s")
