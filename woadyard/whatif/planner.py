"""The plans' hand at the writer: has proposals judged, and takes a rollout from stage to stage.

What it decides by is in the book, the audit's ledger and the sidecars' recordings: a service that
is killed, or another that is promoted, goes on at the stage that the book has.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
import tempfile
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from woadyard.audit.ledger import AuditState
from woadyard.audit.position import parse
from woadyard.audit.questions import live
from woadyard.errors import LogEntryError, StateError, TraceError, WoadyardError
from woadyard.lists import EndpointListState
from woadyard.registry.service import Registry
from woadyard.whatif.doors import Door, pull_all
from woadyard.whatif.measure import measure_stage
from woadyard.whatif.plans import PROPOSED, ROLLING, Plan, PlansState, plan_digest
from woadyard.whatif.rollout import Measured, Step, members, step
from woadyard.whatif.settings import PlansSettings, Rules

LOG = logging.getLogger(__name__)
MEASURED_MOST = 20  # sidecars of a stage whose recordings are looked at
SHOWN = ("aim", "p50", "p99", "refused", "failed")


class Told(msgspec.Struct):
    """What the planner reads of a study, or of its refusal."""

    verdict: dict[str, str] = {}
    forecast: dict[str, Any] = {}
    trace: str = ""
    error: str = ""


def list_digest(registry: Registry) -> str:
    """Of the endpoints that the list names: who, where and of what kind."""
    entries = registry.state_machine(EndpointListState).entries.values()
    fields = ("instanceId", "lifecycle", "machineType", "zone", "cell", "weight")
    told = sorted([str(one.get(field, "")) for field in fields] for one in entries)
    return blake2b(msgspec.json.encode(told), digest_size=16).hexdigest()


def acting(registry: Registry) -> dict[str, int]:
    """The plan revision that each live sidecar acts on, by the audit's ledger."""
    if AuditState.name not in registry.state_machines:
        return {}
    runs = sorted(live(registry.state_machine(AuditState)), key=lambda run: run.heard_at)
    return {run.name: parse(run.position).plan for run in runs if run.position}


class Planner:
    def __init__(self, registry: Registry, settings: PlansSettings) -> None:
        self.registry, self.settings = registry, settings
        self.doors = {name: Door(address) for name, address in settings.doors.items()}
        self.rng = random.Random()
        self.why = ""  # what the rollout waits for, for the operator

    @property
    def book(self) -> PlansState:
        return self.registry.state_machine(PlansState)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.settings.every_ms / 1000)
            plan = self.book.active
            if not self.registry.is_leader or plan is None:
                continue
            try:
                if plan.state == PROPOSED:
                    await self._judge(plan)
                elif plan.state == ROLLING:
                    await self._roll(plan)
            except (LogEntryError, StateError) as error:
                LOG.warning("plans: not written", extra=error.fields())
            except Exception:
                LOG.exception("plans: a fault")

    # --- Judging -------------------------------------------------------------------

    async def _judge(self, plan: Plan) -> None:
        digest = list_digest(self.registry)
        rules = msgspec.structs.replace(
            self.settings.rules, widen=min(10.0, self.settings.rules.widen * self.book.widen)
        )
        try:
            told = await self._study(plan, rules)
        except WoadyardError as error:
            told = Told(error=str(error))
        if told.error:
            told.verdict = {"state": "cannot tell", "reason": told.error}
        figures = told.forecast.get("figures", {})
        verdict = {
            "plan": plan_digest(plan.weights), "trace": told.trace, "list": digest,
            "at": self.registry.clock_us(), "age_us": int(rules.age_s * 1e6),
            "figures": {
                name: [figures[name][one] for one in ("value", "low", "high", "recorded")]
                for name in SHOWN if name in figures
            },
            **told.verdict,
        }  # fmt: skip
        LOG.info("plan judged", extra={"revision": plan.revision, **told.verdict})
        if self.book.active is plan and plan.state == PROPOSED:
            self._write({"op": "judge", "revision": plan.revision, "verdict": verdict})

    async def _study(self, plan: Plan, rules: Rules) -> Told:
        await pull_all(self.doors, self.rng)
        with tempfile.TemporaryDirectory(prefix="whatif-") as folder:
            for number, name in enumerate(sorted(self.doors)):
                if data := self.doors[name].data:
                    (Path(folder) / f"{number:04d}.trace").write_bytes(data)
            asked = {"weights": plan.weights, "rules": msgspec.to_builtins(rules)}
            (Path(folder) / "ask.json").write_bytes(msgspec.json.encode(asked))
            tool = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard.whatif", folder, stdout=asyncio.subprocess.PIPE
            )
            try:
                async with asyncio.timeout(self.settings.study_s):
                    out, _ = await tool.communicate()
            except TimeoutError:
                raise TraceError(f"the study took over {self.settings.study_s:g} s") from None
            finally:
                if tool.returncode is None:
                    tool.kill()
                    await tool.wait()
        try:
            return msgspec.json.decode(out, type=Told)
        except msgspec.DecodeError:
            raise TraceError(f"the study ended with status {tool.returncode}") from None

    # --- Rolling out ------------------------------------------------------------------

    async def _roll(self, plan: Plan) -> None:
        told, rules, measured = acting(self.registry), self.settings.rules, Measured()
        if self.registry.clock_us() - plan.since >= rules.window_s * 1e6:  # before that there is too little
            known = [name for name in members(plan, told) if name in self.doors]
            doors = {name: self.doors[name] for name in known[:MEASURED_MOST]}
            traces = await pull_all(doors, self.rng)
            if len(traces) == len(doors):
                # Off the loop: a recording has some ten thousand requests.
                measured = await asyncio.to_thread(
                    measure_stage, list(traces.values()), plan.revision, rules.confidence
                )
        if self.book.active is not plan or plan.state != ROLLING:
            return  # an operator was quicker
        self._take(plan, step(self.registry.clock_us(), plan, told, measured, rules))

    def _take(self, plan: Plan, made: Step) -> None:
        if made.why != self.why:
            self.why = made.why
            LOG.info("rollout", extra={"revision": plan.revision, "stage": plan.stage, "why": made.why})
        if made.record is not None:
            self._write(made.record)
            LOG.info("rollout goes on", extra={"revision": plan.revision, "op": made.record["op"]})

    def _write(self, record: dict[str, Any]) -> None:
        self.registry.append_entry({"book": PlansState.name, **record})
