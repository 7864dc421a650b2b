"""The states of an experiment, the transitions between them, and the decision that ends it."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from woadyard.errors import PlanError


class State(StrEnum):
    """The state of an experiment; the values are stored and sent."""

    DRAFT = "draft"
    RUNNING = "running"
    WINNER = "winner"
    NO_DIFFERENCE = "no difference"
    HARMFUL = "harmful arm"
    INVALID = "invalid"
    EXPIRED = "expired"
    STOPPED = "stopped by operator"
    APPLIED = "applied"
    CLOSED = "closed"


# The outcomes of an experiment; an outcome is final.
END_STATES = (State.WINNER, State.NO_DIFFERENCE, State.HARMFUL, State.INVALID, State.EXPIRED, State.STOPPED)

_TRANSITIONS: dict[State, tuple[State, ...]] = {
    State.DRAFT: (State.RUNNING, State.CLOSED),
    State.RUNNING: END_STATES,
    **{end: (State.APPLIED,) for end in END_STATES},
    State.APPLIED: (State.CLOSED,),
    State.CLOSED: (),
}


def transition(old: State, new: State) -> State:
    """Return `new`; raises `PlanError` if there is no transition to it from `old`."""
    if new not in _TRANSITIONS[old]:
        next_states = ", ".join(_TRANSITIONS[old]) or "nothing"
        raise PlanError(
            f"an experiment that is {old} can't become {new}", f"from here it can become: {next_states}"
        )
    return new


class Decision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The result of one look at the evidence; `state` is `running` or one of `END_STATES`."""

    state: State
    winner: str | None  # name of the winning arm, only in state `winner`
    # Of the difference in the share of good requests, leading arm minus control.
    interval: tuple[float, float]
    reason: str  # one line of text
    at_s: float
    arm: str | None = None  # name of the harmful arm
    intervals: dict[str, tuple[float, float]] = {}  # by arm other than control
    tried: dict[str, int] = {}
    missing: float = 0.0  # share of the fleet's evidence missing at this look

    @property
    def is_final(self) -> bool:
        return self.state is not State.RUNNING

    def serving_arm(self, control: str) -> str:
        """Return the arm that gets all traffic after this decision."""
        return self.winner or control
