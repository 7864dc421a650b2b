"""The book `plans`: which weights are in force, and the one plan that is on its way.

A plan is proposed, judged, and let out by stages. The book is the gate: it begins no plan without
a verdict for that very plan, trace and list that is young enough and `better` or `harmless`, or
one that was forced, with a reason. There is never a second plan under way. Revisions only grow; a
plan that is halted gives way to a new revision with the old weights, so that whoever had the plan
sees that something newer stands. Pure: times are the records'.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

import msgspec

from woadyard.errors import LogEntryError, PlanError
from woadyard.registry.state_machine import LogEntry
from woadyard.whatif.weights import validate_weights

PROPOSED, JUDGED, ROLLING = "proposed", "judged", "rolling"
DONE, HALTED, WITHDRAWN = "done", "halted", "withdrawn"
ACCEPTED_VERDICTS = frozenset(("better", "harmless"))
MAX_CLOSED_PLANS = 64
# Forecasts that fail widen the intervals of those that follow; those that hold narrow them again.
WIDEN_FACTOR, NARROW_FACTOR, MAX_WIDENING = 1.5, 0.9, 5.0
HASH_SPACE = 1 << 52  # of the hashes of sidecars; a JSON number holds them


class PlanVerdict(msgspec.Struct, frozen=True):
    """A verdict and what it is for: digests of the plan, the traces and the list. `figures`: name
    to value, low, high and recorded."""

    state: str
    reason: str
    plan: str
    trace: str
    list: str
    at: int
    age_us: int
    figures: dict[str, tuple[float, float, float, float]] = {}


class Plan(msgspec.Struct):
    revision: int
    weights: dict[str, float]
    digest: str
    by: str
    stages: list[float]
    state: str = PROPOSED
    verdict: PlanVerdict | None = None
    forced: str = ""
    stage: int = -1
    cut: int = -1  # sidecars whose hash is up to this have the plan
    since: int = 0  # when the stage began
    why: str = ""  # it was halted or withdrawn
    errors: dict[str, float] = {}  # measured less forecast


class WeightsInForce(msgspec.Struct):
    """The weights in force; revision 0: none were ever set."""

    revision: int = 0
    weights: dict[str, float] = {}


class _Snapshot(msgspec.Struct, forbid_unknown_fields=True):
    next: int
    force: WeightsInForce
    active: Plan | None
    history: list[Plan]
    widen: float
    dropped: int


class PlansState:
    name = "plans"

    def __init__(self) -> None:
        self.next_revision = 1
        self.in_force = WeightsInForce()
        self.active: Plan | None = None
        self.history: list[Plan] = []
        self.widening = 1.0
        self.dropped_plans = 0  # plans that the history no longer has

    # --- What sidecars are told ---------------------------------------------------

    def directive(self, sidecar: str) -> dict[str, Any]:
        """The revision and weights that this sidecar is to act on."""
        plan = self.active
        if plan is not None and plan.state == ROLLING and sidecar_hash(plan.revision, sidecar) <= plan.cut:
            return {"revision": plan.revision, "weights": plan.weights}
        return {"revision": self.in_force.revision, "weights": self.in_force.weights}

    # --- The log --------------------------------------------------------------------

    def check(self, record: LogEntry) -> None:
        op = record.get("op")
        if op == "propose":
            self._check_proposal(record)
            return
        plan = self.active
        if plan is None or record.get("revision") != plan.revision:
            raise LogEntryError(f"no plan {record.get('revision')} is under way", "see GET /registry/plans")
        match op:
            case "judge":
                self._require_state(plan, PROPOSED, JUDGED)
                self._check_verdict(plan, record)
            case "force":
                self._require_state(plan, PROPOSED, JUDGED)
                if not isinstance(record.get("reason"), str) or not record["reason"].strip():
                    raise LogEntryError("a plan is forced only with a reason", "say why in `reason`")
            case "begin":
                self._require_state(plan, PROPOSED, JUDGED)
                self._check_gate(plan, record)
                _read_cutoff(record)
            case "stage":
                self._require_state(plan, ROLLING)
                if record.get("stage") != plan.stage + 1 or plan.stage + 1 >= len(plan.stages):
                    raise LogEntryError(f"stage {record.get('stage')} does not follow {plan.stage}")
                _read_cutoff(record)
            case "done":
                self._require_state(plan, ROLLING)
                if plan.stage != len(plan.stages) - 1:
                    raise LogEntryError(f"the plan is done after stage {len(plan.stages) - 1}")
            case "halt":
                self._require_state(plan, ROLLING)
            case "withdraw" | "again":
                self._require_state(plan, PROPOSED, JUDGED)
            case _:
                raise LogEntryError(f"no record of plans: {op!r}")

    @staticmethod
    def _require_state(plan: Plan, *states: str) -> None:
        if plan.state not in states:
            raise LogEntryError(f"plan {plan.revision} is {plan.state}")

    def _check_proposal(self, record: LogEntry) -> None:
        if self.active is not None:
            what = f"plan {self.active.revision} is {self.active.state}: there is one plan at a time"
            raise LogEntryError(what, "wait for it, withdraw it, or halt it")
        try:
            validate_weights(record.get("weights"))
            stages = msgspec.convert(record.get("stages"), list[float])
        except (PlanError, msgspec.ValidationError) as error:
            raise LogEntryError(f"no plan: {error}") from None
        rising = all(low < high for low, high in zip([0.0, *stages], stages, strict=False))
        if not stages or len(stages) > 16 or not rising or stages[-1] != 1.0:
            raise LogEntryError("stages rise from above 0 to 1")

    @staticmethod
    def _check_verdict(plan: Plan, record: LogEntry) -> None:
        verdict = _read_verdict(record)
        if verdict.plan != plan.digest:
            raise LogEntryError("the verdict is for another plan", "have this plan judged")

    @staticmethod
    def _check_gate(plan: Plan, record: LogEntry) -> None:
        """The gate."""
        if plan.forced:
            return
        verdict, remedy = plan.verdict, "have the plan judged again, or force it with a reason"
        if verdict is None:
            raise LogEntryError("the plan has no verdict", remedy)
        if verdict.state not in ACCEPTED_VERDICTS:
            raise LogEntryError(f"the verdict is {verdict.state}: {verdict.reason}", remedy)
        if not isinstance(record.get("list"), str) or record["list"] != verdict.list:
            raise LogEntryError("the verdict is for another list", remedy)
        if int(record.get("at", 0)) - verdict.at > verdict.age_us:
            raise LogEntryError("the verdict is too old", remedy)

    def apply(self, record: LogEntry) -> bool:
        op = record["op"]
        if op == "propose":
            weights = validate_weights(record["weights"])
            self.active = Plan(
                self.next_revision,
                weights,
                plan_digest(weights),
                str(record.get("by", "")),
                list(record["stages"]),
            )
            self.next_revision += 1
            return True
        plan = self.active
        assert plan is not None
        match op:
            case "judge":
                plan.verdict, plan.state = _read_verdict(record), JUDGED
            case "again":
                plan.verdict, plan.state = None, PROPOSED
            case "force":
                plan.forced = str(record["reason"]).strip()
            case "begin" | "stage":
                plan.state, plan.stage = ROLLING, plan.stage + 1
                plan.cut, plan.since = _read_cutoff(record), int(record.get("at", 0))
            case "done":
                self.in_force = WeightsInForce(plan.revision, plan.weights)
                self._close(plan, DONE, record)
            case "halt":
                # A newer revision with the old weights, for those that have the plan and all others.
                self.in_force = WeightsInForce(self.next_revision, self.in_force.weights)
                self.next_revision += 1
                self._close(plan, HALTED, record)
            case "withdraw":
                self._close(plan, WITHDRAWN, record)
        return True

    def _close(self, plan: Plan, state: str, record: LogEntry) -> None:
        plan.state, plan.why = state, str(record.get("reason", ""))[:1000]
        plan.errors = {str(k): float(v) for k, v in dict(record.get("errors") or {}).items()}
        if state != WITHDRAWN and plan.errors:
            step = WIDEN_FACTOR if record.get("wrong") else NARROW_FACTOR
            self.widening = min(MAX_WIDENING, max(1.0, self.widening * step))
        self.active = None
        self.history.append(plan)
        while len(self.history) > MAX_CLOSED_PLANS:
            del self.history[0]
            self.dropped_plans += 1

    def dump(self) -> Any:
        dump = _Snapshot(
            self.next_revision, self.in_force, self.active, self.history, self.widening, self.dropped_plans
        )
        return msgspec.to_builtins(dump)

    def load(self, raw: Any) -> None:
        try:
            told = msgspec.convert(raw, _Snapshot)
        except msgspec.ValidationError as error:
            raise LogEntryError(f"no dump of plans: {error}") from None
        self.next_revision, self.in_force, self.active = told.next, told.force, told.active
        self.history, self.widening, self.dropped_plans = told.history, told.widen, told.dropped


def sidecar_hash(revision: int, sidecar: str) -> int:
    """The sidecar's hash, by which stages choose: another one for each plan."""
    raw = f"{revision}:{sidecar}".encode()
    return int.from_bytes(blake2b(raw, digest_size=8).digest(), "big") % HASH_SPACE


def cutoff_hash(revision: int, sidecars: list[str], share: float) -> int:
    """The hash up to which `share` of these sidecars have the plan, one at least; all of any at 1."""
    if share >= 1.0 or not sidecars:
        return HASH_SPACE
    spots = sorted(sidecar_hash(revision, one) for one in sidecars)
    return spots[max(1, min(len(spots), round(share * len(spots)))) - 1]


def plan_digest(weights: dict[str, float]) -> str:
    raw = msgspec.json.encode(dict(sorted(weights.items())))
    return blake2b(raw, digest_size=16).hexdigest()


def _read_cutoff(record: LogEntry) -> int:
    cut = record.get("cut")
    if type(cut) is not int or not 0 <= cut <= HASH_SPACE:
        raise LogEntryError(f"no cut of the sidecars: {cut!r}")
    return cut


def _read_verdict(record: LogEntry) -> PlanVerdict:
    try:
        return msgspec.convert(record.get("verdict"), PlanVerdict)
    except msgspec.ValidationError as error:
        raise LogEntryError(f"no verdict: {error}") from None
