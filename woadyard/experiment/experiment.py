"""One experiment in the book: its plan, where it stands, its evidence, its decision."""

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
    """What an operator sends to begin an experiment."""

    plan: Plan
    match: dict[str, Match]  # by arm
    salt: str = ""  # none: the experiment's name
    hold_ms: int = 30_000
    slot_ms: int = 60_000

    def __post_init__(self) -> None:
        if set(self.match) != set(self.plan.arms):
            raise PlanError(
                "`match` does not name the plan's arms", "say for each arm which endpoints it has"
            )
        if math.isinf(self.plan.maximum_s):
            raise PlanError("an experiment needs a maximum_s")
        if not 1000 <= self.hold_ms <= 3_600_000 or not 100 <= self.slot_ms <= 600_000:
            raise PlanError("hold_ms is 1,000 to 3,600,000 and slot_ms 100 to 600,000")


@dataclass
class Experiment:
    """Times are the writer's ms; `shares` have since when they hold."""

    name: str
    draft: Draft
    state: State = State.DRAFT
    started_ms: int = 0
    share_history: list[tuple[int, tuple[float, ...]]] = field(default_factory=list)
    evidence: EvidenceTotals | None = None
    decision: Decision | None = None
    decided_ms: int = 0
    applied_ms: int | None = None  # when every serving sidecar acted on the decision

    def start(self, at: int) -> None:
        self.state = transition(self.state, State.RUNNING)
        self.started_ms, self.evidence = at, EvidenceTotals(self.draft.slot_ms)
        self.share_history = [(at, self.draft.plan.shares)]

    def reshare(self, at: int, shares: Any) -> None:
        told = self.draft.plan.normalized_shares(shares)
        if self.state is not State.RUNNING:
            raise PlanError(f"an experiment that is {self.state} has no shares to change")
        self.share_history.append((at, told))

    def decide(self, at: int, decision: Decision) -> None:
        """Once: `step` refuses a second end."""
        self.state = transition(self.state, decision.state)
        self.decision, self.decided_ms = decision, at

    def mark_applied(self, at: int) -> None:
        self.state = transition(self.state, State.APPLIED)
        self.applied_ms = at

    def close(self) -> None:
        """Its evidence goes; its decision stays on record."""
        self.state = transition(self.state, State.CLOSED)
        self.evidence = None

    def directive(self, revision: int) -> Directive:
        """What sidecars do by it; without arms before its start and after its close."""
        if self.state in (State.DRAFT, State.CLOSED):
            return Directive(revision)
        plan, draft = self.draft.plan, self.draft
        serve = None if self.decision is None else self.decision.serving_arm(plan.control)
        shares = self.share_history[-1][1]
        if serve is not None:
            shares = tuple(float(name == serve) for name in plan.arms)
        pairs = zip(plan.arms, shares, strict=True)
        arms = tuple(Arm(name, share, draft.match[name]) for name, share in pairs)
        salt = draft.salt or self.name
        return Directive(revision, salt, arms, plan.control, serve, draft.hold_ms, draft.slot_ms)

    def summary(self) -> dict[str, Any]:
        """For operators: all but the cells."""
        took = None if self.applied_ms is None else self.applied_ms - self.decided_ms
        return {
            "name": self.name,
            "state": self.state,
            "started": self.started_ms,
            "decided": self.decided_ms,
            "applied": self.applied_ms,
            "applied_after_ms": took,
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
        """What `dump` gave; KeyError, TypeError, ValueError or PlanError on anything else."""
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
