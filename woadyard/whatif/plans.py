"""The state machine `plans`: the weights in force and the one plan under way.

A plan is proposed, evaluated and rolled out in stages. The state machine is the gate of the rollout:
a plan begins only with a recent verdict `better` or `harmless` for the same weights and the same
endpoint list, or after an operator forced it and gave a reason. At most one plan is under way.

Revisions only grow. A halted plan is replaced by a new revision with the previous weights, so that
the sidecars that applied it see a newer revision. The state depends on log entries only; times are
taken from them.
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
# A wrong forecast widens the intervals of later ones; a correct forecast narrows them again.
WIDEN_FACTOR, NARROW_FACTOR, MAX_WIDENING = 1.5, 0.9, 5.0
HASH_SPACE = 1 << 52  # sidecar hashes are exact as JSON numbers (below 2**53)


class PlanVerdict(msgspec.Struct, frozen=True):
    """A verdict with the digests of the plan, the traces and the endpoint list it applies to.

    `at` is in µs and `age_us` is how long the verdict is valid from then. `figures` maps a name to
    (forecast value, low, high, recorded value).
    """

    state: str
    reason: str
    plan: str
    trace: str
    list: str
    at: int
    age_us: int
    figures: dict[str, tuple[float, float, float, float]] = {}


class Plan(msgspec.Struct):
    """A proposed set of weights and the progress of its evaluation and rollout.

    `stages` are the growing shares of the sidecars that get the weights; `stage` is an index into
    them, -1 before the rollout.
    """

    revision: int
    weights: dict[str, float]
    digest: str
    by: str
    stages: list[float]
    state: str = PROPOSED
    verdict: PlanVerdict | None = None
    forced: str = ""  # the reason, if an operator forced the plan
    stage: int = -1
    cut: int = -1  # sidecars with a hash up to this one get the plan
    since: int = 0  # start of the stage, µs
    why: str = ""  # why it was halted or withdrawn
    errors: dict[str, float] = {}  # measured minus forecast value, by figure


class WeightsInForce(msgspec.Struct):
    """The weights in force; revision 0 if none were ever set."""

    revision: int = 0
    weights: dict[str, float] = {}


class _Snapshot(msgspec.Struct, forbid_unknown_fields=True):
    """The stored form of `PlansState`."""

    next: int
    force: WeightsInForce
    active: Plan | None
    history: list[Plan]
    widen: float
    dropped: int


class PlansState:
    """The replicated state of plans.

    `widening` is the factor by which forecast intervals are widened. `history` holds the latest
    closed plans; `dropped_plans` counts the older ones that were removed from it.
    """

    name = "plans"

    def __init__(self) -> None:
        self.next_revision = 1
        self.in_force = WeightsInForce()
        self.active: Plan | None = None
        self.history: list[Plan] = []
        self.widening = 1.0
        self.dropped_plans = 0

    # --- Directives for sidecars ---------------------------------------------------

    def directive(self, sidecar: str) -> dict[str, Any]:
        """Return the revision and weights that this sidecar has to apply."""
        plan = self.active
        if plan is not None and plan.state == ROLLING and sidecar_hash(plan.revision, sidecar) <= plan.cut:
            return {"revision": plan.revision, "weights": plan.weights}
        return {"revision": self.in_force.revision, "weights": self.in_force.weights}

    # --- Log entries ----------------------------------------------------------------

    def check(self, entry: LogEntry) -> None:
        """Raise `LogEntryError` if the entry can't be applied to the current state."""
        op = entry.get("op")
        if op == "propose":
            self._check_proposal(entry)
            return
        plan = self.active
        if plan is None or entry.get("revision") != plan.revision:
            raise LogEntryError(f"plan {entry.get('revision')} is not under way", "see GET /registry/plans")
        match op:
            case "judge":
                self._require_state(plan, PROPOSED, JUDGED)
                self._check_verdict(plan, entry)
            case "force":
                self._require_state(plan, PROPOSED, JUDGED)
                if not isinstance(entry.get("reason"), str) or not entry["reason"].strip():
                    raise LogEntryError(
                        "forcing a plan requires a reason", "set `reason` to a non-empty text"
                    )
            case "begin":
                self._require_state(plan, PROPOSED, JUDGED)
                self._check_gate(plan, entry)
                _read_cutoff(entry)
            case "stage":
                self._require_state(plan, ROLLING)
                if entry.get("stage") != plan.stage + 1 or plan.stage + 1 >= len(plan.stages):
                    raise LogEntryError(f"stage {entry.get('stage')} does not follow stage {plan.stage}")
                _read_cutoff(entry)
            case "done":
                self._require_state(plan, ROLLING)
                if plan.stage != len(plan.stages) - 1:
                    raise LogEntryError(f"the plan is done after stage {len(plan.stages) - 1}")
            case "halt":
                self._require_state(plan, ROLLING)
            case "withdraw" | "again":
                self._require_state(plan, PROPOSED, JUDGED)
            case _:
                raise LogEntryError(f"unknown operation of plans: {op!r}")

    @staticmethod
    def _require_state(plan: Plan, *states: str) -> None:
        if plan.state not in states:
            raise LogEntryError(f"plan {plan.revision} is {plan.state}")

    def _check_proposal(self, entry: LogEntry) -> None:
        if self.active is not None:
            message = f"plan {self.active.revision} is {self.active.state}: there is one plan at a time"
            raise LogEntryError(message, "wait until it is done, withdraw it or halt it")
        try:
            validate_weights(entry.get("weights"))
            stages = msgspec.convert(entry.get("stages"), list[float])
        except (PlanError, msgspec.ValidationError) as error:
            raise LogEntryError(f"invalid plan: {error}") from None
        is_rising = all(low < high for low, high in zip([0.0, *stages], stages, strict=False))
        if not stages or len(stages) > 16 or not is_rising or stages[-1] != 1.0:
            raise LogEntryError("stages must be 1 to 16 shares that rise from above 0 to 1")

    @staticmethod
    def _check_verdict(plan: Plan, entry: LogEntry) -> None:
        verdict = _read_verdict(entry)
        if verdict.plan != plan.digest:
            raise LogEntryError("the verdict is for another plan", "evaluate this plan")

    @staticmethod
    def _check_gate(plan: Plan, entry: LogEntry) -> None:
        """Raise `LogEntryError` unless the plan was forced or has a passing, current verdict."""
        if plan.forced:
            return
        verdict, remedy = plan.verdict, "evaluate the plan again, or force it with a reason"
        if verdict is None:
            raise LogEntryError("the plan has no verdict", remedy)
        if verdict.state not in ACCEPTED_VERDICTS:
            raise LogEntryError(f"the verdict is {verdict.state}: {verdict.reason}", remedy)
        if not isinstance(entry.get("list"), str) or entry["list"] != verdict.list:
            raise LogEntryError("the verdict is for another list of endpoints", remedy)
        if int(entry.get("at", 0)) - verdict.at > verdict.age_us:
            raise LogEntryError("the verdict is too old", remedy)

    def apply(self, entry: LogEntry) -> bool:
        """Apply an entry that passed `check`; return True, as readers see every change."""
        op = entry["op"]
        if op == "propose":
            weights = validate_weights(entry["weights"])
            self.active = Plan(
                self.next_revision,
                weights,
                plan_digest(weights),
                str(entry.get("by", "")),
                list(entry["stages"]),
            )
            self.next_revision += 1
            return True
        plan = self.active
        assert plan is not None
        match op:
            case "judge":
                plan.verdict, plan.state = _read_verdict(entry), JUDGED
            case "again":
                plan.verdict, plan.state = None, PROPOSED
            case "force":
                plan.forced = str(entry["reason"]).strip()
            case "begin" | "stage":
                plan.state, plan.stage = ROLLING, plan.stage + 1
                plan.cut, plan.since = _read_cutoff(entry), int(entry.get("at", 0))
            case "done":
                self.in_force = WeightsInForce(plan.revision, plan.weights)
                self._close(plan, DONE, entry)
            case "halt":
                # A new revision with the previous weights: sidecars with the plan have to replace it.
                self.in_force = WeightsInForce(self.next_revision, self.in_force.weights)
                self.next_revision += 1
                self._close(plan, HALTED, entry)
            case "withdraw":
                self._close(plan, WITHDRAWN, entry)
        return True

    def _close(self, plan: Plan, state: str, entry: LogEntry) -> None:
        plan.state, plan.why = state, str(entry.get("reason", ""))[:1000]
        plan.errors = {str(name): float(error) for name, error in dict(entry.get("errors") or {}).items()}
        if state != WITHDRAWN and plan.errors:
            factor = WIDEN_FACTOR if entry.get("wrong") else NARROW_FACTOR
            self.widening = min(MAX_WIDENING, max(1.0, self.widening * factor))
        self.active = None
        self.history.append(plan)
        while len(self.history) > MAX_CLOSED_PLANS:
            del self.history[0]
            self.dropped_plans += 1

    def dump(self) -> Any:
        """Return the state as JSON values, for a snapshot or `GET /registry/plans`."""
        snapshot = _Snapshot(
            self.next_revision, self.in_force, self.active, self.history, self.widening, self.dropped_plans
        )
        return msgspec.to_builtins(snapshot)

    def load(self, raw: Any) -> None:
        """Replace the state by a snapshot; raise `LogEntryError`, with no change, if it is invalid."""
        try:
            snapshot = msgspec.convert(raw, _Snapshot)
        except msgspec.ValidationError as error:
            raise LogEntryError(f"invalid snapshot of plans: {error}") from None
        self.next_revision, self.in_force, self.active = snapshot.next, snapshot.force, snapshot.active
        self.history, self.widening, self.dropped_plans = snapshot.history, snapshot.widen, snapshot.dropped


def sidecar_hash(revision: int, sidecar: str) -> int:
    """Return the hash that decides in which stage the sidecar gets the plan; it differs by plan."""
    raw = f"{revision}:{sidecar}".encode()
    return int.from_bytes(blake2b(raw, digest_size=8).digest(), "big") % HASH_SPACE


def cutoff_hash(revision: int, sidecars: list[str], share: float) -> int:
    """Return the highest hash in the given share of these sidecars, rounded to at least one sidecar.

    With a share of 1, or without sidecars, it is above every hash: sidecars that appear later are
    included.
    """
    if share >= 1.0 or not sidecars:
        return HASH_SPACE
    hashes = sorted(sidecar_hash(revision, sidecar) for sidecar in sidecars)
    return hashes[max(1, min(len(hashes), round(share * len(hashes)))) - 1]


def plan_digest(weights: dict[str, float]) -> str:
    """Return a digest of the weights that does not depend on their order."""
    raw = msgspec.json.encode(dict(sorted(weights.items())))
    return blake2b(raw, digest_size=16).hexdigest()


def _read_cutoff(entry: LogEntry) -> int:
    cutoff = entry.get("cut")
    if type(cutoff) is not int or not 0 <= cutoff <= HASH_SPACE:
        raise LogEntryError(f"`cut` is not a hash of sidecars: {cutoff!r}")
    return cutoff


def _read_verdict(entry: LogEntry) -> PlanVerdict:
    try:
        return msgspec.convert(entry.get("verdict"), PlanVerdict)
    except msgspec.ValidationError as error:
        raise LogEntryError(f"invalid verdict: {error}") from None
