"""Controller of plans, run by the list service's leader: evaluates proposals and advances rollouts.

It keeps no state of its own that a decision depends on: it reads the plans' state machine, the
audit's ledger and the sidecars' traces. After a restart or a change of the leader the rollout goes
on at the stage in the replicated state.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import sys
import tempfile
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from woadyard.audit.ledger import AuditState
from woadyard.audit.position import parse_position
from woadyard.audit.queries import live_runs
from woadyard.errors import LogEntryError, StateError, TraceError, WoadyardError
from woadyard.lists import EndpointListState
from woadyard.registry.service import Registry
from woadyard.whatif.measure import measure_stage
from woadyard.whatif.plans import PROPOSED, ROLLING, Plan, PlansState, plan_digest
from woadyard.whatif.rollout import Measurement, RolloutStep, next_step, updated_sidecars
from woadyard.whatif.settings import PlansSettings, Rules
from woadyard.whatif.trace_fetcher import TraceFetcher, fetch_traces

LOG = logging.getLogger(__name__)
MAX_MEASURED_SIDECARS = 20  # sidecars of a stage whose traces are fetched and measured
VERDICT_FIGURES = ("aim", "p50", "p99", "refused", "failed")


class StudyResult(msgspec.Struct):
    """The fields that the controller reads from the output of `python -m woadyard.whatif`.

    `error` is set, and the rest empty, if the study failed.
    """

    verdict: dict[str, str] = {}
    forecast: dict[str, Any] = {}
    trace: str = ""
    error: str = ""


def list_digest(registry: Registry) -> str:
    """Return a digest of the listed endpoints' ids, states, machine types, locations and weights."""
    entries = registry.state_machine(EndpointListState).entries.values()
    fields = ("instanceId", "lifecycle", "machineType", "zone", "cell", "weight")
    rows = sorted([str(entry.get(field, "")) for field in fields] for entry in entries)
    return blake2b(msgspec.json.encode(rows), digest_size=16).hexdigest()


def applied_revisions(registry: Registry) -> dict[str, int]:
    """Return the plan revision that each live sidecar has applied, according to the audit's ledger.

    Of several live processes with one sidecar name the one that reported last counts.
    """
    if AuditState.name not in registry.state_machines:
        return {}
    runs = sorted(live_runs(registry.state_machine(AuditState)), key=lambda run: run.heard_at)
    return {run.name: parse_position(run.position).plan for run in runs if run.position}


class PlanController:
    """Evaluates the proposed plan and advances its rollout while this process is the leader."""

    def __init__(self, registry: Registry, settings: PlansSettings) -> None:
        self.registry, self.settings = registry, settings
        self.fetchers = {name: TraceFetcher(address) for name, address in settings.doors.items()}
        self.rng = random.Random()
        self.last_reason = ""  # of the latest rollout step; logged when it changes

    @property
    def plans(self) -> PlansState:
        return self.registry.state_machine(PlansState)

    async def run(self) -> None:
        """Check the plan under way every `every_ms`; runs until cancelled."""
        while True:
            await asyncio.sleep(self.settings.every_ms / 1000)
            plan = self.plans.active
            if not self.registry.is_leader or plan is None:
                continue
            try:
                if plan.state == PROPOSED:
                    await self._evaluate(plan)
                elif plan.state == ROLLING:
                    await self._advance_rollout(plan)
            except (LogEntryError, StateError) as error:
                LOG.warning("plans: the log entry was not written", extra=error.fields())
            except Exception:
                LOG.exception("plans: unexpected error")

    # --- Evaluation ----------------------------------------------------------------

    async def _evaluate(self, plan: Plan) -> None:
        digest = list_digest(self.registry)
        rules = msgspec.structs.replace(
            self.settings.rules, widen=min(10.0, self.settings.rules.widen * self.plans.widening)
        )
        try:
            study = await self._run_study(plan, rules)
        except WoadyardError as error:
            study = StudyResult(error=str(error))
        if study.error:
            study.verdict = {"state": "cannot tell", "reason": study.error}
        figures = study.forecast.get("figures", {})
        verdict = {
            "plan": plan_digest(plan.weights), "trace": study.trace, "list": digest,
            "at": self.registry.clock_us(), "age_us": int(rules.age_s * 1e6),
            "figures": {
                name: [figures[name][field] for field in ("value", "low", "high", "recorded")]
                for name in VERDICT_FIGURES if name in figures
            },
            **study.verdict,
        }  # fmt: skip
        LOG.info("plan evaluated", extra={"revision": plan.revision, **study.verdict})
        if self.plans.active is plan and plan.state == PROPOSED:
            self._append_entry({"op": "judge", "revision": plan.revision, "verdict": verdict})

    async def _run_study(self, plan: Plan, rules: Rules) -> StudyResult:
        """Fetch the traces and replay them with the plan's weights in a process of its own.

        Raises TraceError if the process takes too long or ends without a result.
        """
        await fetch_traces(self.fetchers, self.rng)
        with tempfile.TemporaryDirectory(prefix="whatif-") as folder:
            for number, name in enumerate(sorted(self.fetchers)):
                if data := self.fetchers[name].data:
                    (Path(folder) / f"{number:04d}.trace").write_bytes(data)
            request = {"weights": plan.weights, "rules": msgspec.to_builtins(rules)}
            (Path(folder) / "ask.json").write_bytes(msgspec.json.encode(request))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard.whatif", folder,
                stdout=asyncio.subprocess.PIPE,
                env={**os.environ, "TMPDIR": folder},  # a killed study leaves its files there
            )  # fmt: skip
            try:
                async with asyncio.timeout(self.settings.study_s):
                    output, _ = await process.communicate()
            except TimeoutError:
                raise TraceError(f"the study took more than {self.settings.study_s:g} s") from None
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
        try:
            return msgspec.json.decode(output, type=StudyResult)
        except msgspec.DecodeError:
            raise TraceError(f"the study exited without a result, status {process.returncode}") from None

    # --- Rollout ----------------------------------------------------------------------

    async def _advance_rollout(self, plan: Plan) -> None:
        applied, rules, measurement = applied_revisions(self.registry), self.settings.rules, Measurement()
        # A stage younger than the window has too few requests to judge by: no trace is fetched.
        if self.registry.clock_us() - plan.since >= rules.window_s * 1e6:
            recording = [name for name in updated_sidecars(plan, applied) if name in self.fetchers]
            fetchers = {name: self.fetchers[name] for name in recording[:MAX_MEASURED_SIDECARS]}
            traces = await fetch_traces(fetchers, self.rng)
            if len(traces) == len(fetchers):
                # In a thread, as some ten thousand requests per trace would block the event loop.
                measurement = await asyncio.to_thread(
                    measure_stage, list(traces.values()), plan.revision, rules.confidence
                )
        if self.plans.active is not plan or plan.state != ROLLING:
            return  # an operator closed the plan meanwhile
        self._apply_step(plan, next_step(self.registry.clock_us(), plan, applied, measurement, rules))

    def _apply_step(self, plan: Plan, step: RolloutStep) -> None:
        if step.reason != self.last_reason:
            self.last_reason = step.reason
            LOG.info("rollout", extra={"revision": plan.revision, "stage": plan.stage, "why": step.reason})
        if step.entry is not None:
            self._append_entry(step.entry)
            LOG.info(
                "rollout step written to the log", extra={"revision": plan.revision, "op": step.entry["op"]}
            )

    def _append_entry(self, entry: dict[str, Any]) -> None:
        self.registry.append_entry({"book": PlansState.name, **entry})
