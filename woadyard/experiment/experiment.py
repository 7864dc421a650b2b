"""One experiment: its plan, state, evidence and decision, and the directive that follows from them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from woadyard.errors import PlanError
from woadyard.experiment.evidence_totals import EvidenceTotals
from woadyard.experiment.messages import Arm, Directive, Match
from woadyard.experiment.plan import Plan
from woadyard.experiment.states import Decision, State, transition


class Draft(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The definition of an experiment as an operator submits it; raises `PlanError` if it is invalid."""

    plan: Plan
    match: dict[str, Match]  # by arm
    salt: str = ""  # empty: the name of the experiment
    # Without a response of the service for so long, a sidecar sends all requests to control.
    hold_ms: int = 30_000
    slot_ms: int = 60_000  # length of the time slots that requests are counted by

    def __post_init__(self) -> None:
        if set(self.match) != set(self.plan.arms):
            raise PlanError("`match` must have the plan's arms as its keys", "give the endpoints of each arm")
        if math.isinf(self.plan.maximum_s):
            raise PlanError("an experiment needs a finite maximum_s")
        if not 1000 <= self.hold_ms <= 3_600_000 or not 100 <= self.slot_ms <= 600_000:
            raise PlanError("hold_ms must be within 1,000 to 3,600,000 and slot_ms within 100 to 600,000")


@dataclass
class Experiment:
    """An experiment as kept by the state machine.

    Times are in ms by the leader's clock; `share_history` has each set of shares with the time
    from which it applies.
    """

    name: str
    draft: Draft
    state: State = State.DRAFT
    started_ms: int = 0
    share_history: list[tuple[int, tuple[float, ...]]] = field(default_factory=list)
    evidence: EvidenceTotals | None = None
    decision: Decision | None = None
    decided_ms: int = 0
    applied_ms: int | None = None  # when all serving sidecars had applied the decision

    def start(self, now_ms: int) -> None:
        self.state = transition(self.state, State.RUNNING)
        self.started_ms, self.evidence = now_ms, EvidenceTotals(self.draft.slot_ms)
        self.share_history = [(now_ms, self.draft.plan.shares)]

    def reshare(self, now_ms: int, shares: Any) -> None:
        new_shares = self.draft.plan.normalized_shares(shares)
        if self.state is not State.RUNNING:
            raise PlanError(
                f"the experiment is {self.state}: its shares can be changed only while it is running"
            )
        self.share_history.append((now_ms, new_shares))

    def decide(self, now_ms: int, decision: Decision) -> None:
        """End the experiment; raises `PlanError` if it already has a decision."""
        self.state = transition(self.state, decision.state)
        self.decision, self.decided_ms = decision, now_ms

    def mark_applied(self, now_ms: int) -> None:
        self.state = transition(self.state, State.APPLIED)
        self.applied_ms = now_ms

    def close(self) -> None:
        """Discard the evidence; the decision is kept."""
        self.state = transition(self.state, State.CLOSED)
        self.evidence = None

    def directive(self, revision: int) -> Directive:
        """Return the directive for sidecars; it has no arms before the start and after the close."""
        if self.state in (State.DRAFT, State.CLOSED):
            return Directive(revision)
        plan, draft = self.draft.plan, self.draft
        serve = None if self.decision is None else self.decision.serving_arm(plan.control)
        shares = self.share_history[-1][1]
        if serve is not None:
            shares = tuple(float(name == serve) for name in plan.arms)
        names_and_shares = zip(plan.arms, shares, strict=True)
        arms = tuple(Arm(name, share, draft.match[name]) for name, share in names_and_shares)
        salt = draft.salt or self.name
        return Directive(revision, salt, arms, plan.control, serve, draft.hold_ms, draft.slot_ms)

    def summary(self) -> dict[str, Any]:
        """Return all but the cells of the evidence, for operators."""
        applied_after_ms = None if self.applied_ms is None else self.applied_ms - self.decided_ms
        return {
            "name": self.name,
            "state": self.state,
            "started": self.started_ms,
            "decided": self.decided_ms,
            "applied": self.applied_ms,
            "applied_after_ms": applied_after_ms,
            "decision": self.decision,
            "tried": self.evidence.tried_by_arm() if self.evidence else {},
            "left_out": self.evidence.excluded if self.evidence else {},
            "plan": self.draft.plan,
        }

    def dump(self) -> dict[str, Any]:
        raw: dict[str, Any] = msgspec.to_builtins(
            {
                "name": self.name,
                "draft": self.draft,
                "state": self.state,
                "started": self.started_ms,
                "shares": self.share_history,
                "decision": self.decision,
                "decided": self.decided_ms,
                "applied": self.applied_ms,
            }
        )
        return {**raw, "evidence": self.evidence.dump() if self.evidence else None}

    @classmethod
    def load(cls, raw: dict[str, Any]) -> Experiment:
        """Decode the result of `dump`.

        Raises KeyError, TypeError, ValueError or PlanError on other input.
        """
        return cls(
            str(raw["name"]),
            msgspec.convert(raw["draft"], Draft),
            State(raw["state"]),
            int(raw["started"]),
            msgspec.convert(raw["shares"], list[tuple[int, tuple[float, ...]]]),
            EvidenceTotals.load(raw["evidence"]) if raw["evidence"] is not None else None,
            msgspec.convert(raw["decision"], Decision | None),
            int(raw["decided"]),
            None if raw["applied"] is None else int(raw["applied"]),
        )
