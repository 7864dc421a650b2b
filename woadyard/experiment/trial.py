"""One experiment in the book: its plan, where it stands, its evidence, its decision."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from woadyard.errors import PlanError
from woadyard.experiment.cells import Cells
from woadyard.experiment.messages import Arm, Directive, Match
from woadyard.experiment.plan import Plan
from woadyard.experiment.rules import Decision, State, step


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
class Trial:
    """Times are the writer's ms; `shares` have since when they hold."""

    name: str
    draft: Draft
    state: State = State.DRAFT
    started: int = 0
    shares: list[tuple[int, tuple[float, ...]]] = field(default_factory=list)
    evidence: Cells | None = None
    decision: Decision | None = None
    decided: int = 0
    applied: int | None = None  # when every serving sidecar acted on the decision

    def start(self, at: int) -> None:
        self.state = step(self.state, State.RUNNING)
        self.started, self.evidence = at, Cells(self.draft.slot_ms)
        self.shares = [(at, self.draft.plan.shares)]

    def reshare(self, at: int, shares: Any) -> None:
        told = self.draft.plan.share_list(shares)
        if self.state is not State.RUNNING:
            raise PlanError(f"an experiment that is {self.state} has no shares to change")
        self.shares.append((at, told))

    def decide(self, at: int, decision: Decision) -> None:
        """Once: `step` refuses a second end."""
        self.state = step(self.state, decision.state)
        self.decision, self.decided = decision, at

    def apply(self, at: int) -> None:
        self.state = step(self.state, State.APPLIED)
        self.applied = at

    def close(self) -> None:
        """Its evidence goes; its decision stays on record."""
        self.state = step(self.state, State.CLOSED)
        self.evidence = None

    def directive(self, revision: int) -> Directive:
        """What sidecars do by it; without arms before its start and after its close."""
        if self.state in (State.DRAFT, State.CLOSED):
            return Directive(revision)
        plan, draft = self.draft.plan, self.draft
        serve = None if self.decision is None else self.decision.serves(plan.control)
        shares = self.shares[-1][1]
        if serve is not None:
            shares = tuple(float(name == serve) for name in plan.arms)
        pairs = zip(plan.arms, shares, strict=True)
        arms = tuple(Arm(name, share, draft.match[name]) for name, share in pairs)
        salt = draft.salt or self.name
        return Directive(revision, salt, arms, plan.control, serve, draft.hold_ms, draft.slot_ms)

    def told(self) -> dict[str, Any]:
        """For operators: all but the cells."""
        took = None if self.applied is None else self.applied - self.decided
        return {
            "name": self.name,
            "state": self.state,
            "started": self.started,
            "decided": self.decided,
            "applied": self.applied,
            "applied_after_ms": took,
            "decision": self.decision,
            "tried": self.evidence.tried() if self.evidence else {},
            "left_out": self.evidence.left_out if self.evidence else {},
            "plan": self.draft.plan,
        }

    def dump(self) -> dict[str, Any]:
        raw: dict[str, Any] = msgspec.to_builtins(
            {
                "name": self.name,
                "draft": self.draft,
                "state": self.state,
                "started": self.started,
                "shares": self.shares,
                "decision": self.decision,
                "decided": self.decided,
                "applied": self.applied,
            }
        )
        return {**raw, "evidence": self.evidence.dump() if self.evidence else None}

    @classmethod
    def load(cls, raw: dict[str, Any]) -> Trial:
        """What `dump` gave; KeyError, TypeError, ValueError or PlanError on anything else."""
        return cls(
            str(raw["name"]),
            msgspec.convert(raw["draft"], Draft),
            State(raw["state"]),
            int(raw["started"]),
            msgspec.convert(raw["shares"], list[tuple[int, tuple[float, ...]]]),
            Cells.load(raw["evidence"]) if raw["evidence"] is not None else None,
            msgspec.convert(raw["decision"], Decision | None),
            int(raw["decided"]),
            None if raw["applied"] is None else int(raw["applied"]),
        )
