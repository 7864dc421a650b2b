"""The states of an experiment and the ways between them."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from woadyard.errors import PlanError


class State(StrEnum):
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


# How an experiment may end; an end is never taken back.
END_STATES = (State.WINNER, State.NO_DIFFERENCE, State.HARMFUL, State.INVALID, State.EXPIRED, State.STOPPED)

_TRANSITIONS: dict[State, tuple[State, ...]] = {
    State.DRAFT: (State.RUNNING, State.CLOSED),
    State.RUNNING: END_STATES,
    **{end: (State.APPLIED,) for end in END_STATES},
    State.APPLIED: (State.CLOSED,),
    State.CLOSED: (),
}


def transition(old: State, new: State) -> State:
    """`new`; `PlanError` where the rules have no way there from `old`."""
    if new not in _TRANSITIONS[old]:
        ways = ", ".join(_TRANSITIONS[old]) or "nothing"
        raise PlanError(f"an experiment that is {old} can't become {new}", f"from here it may become: {ways}")
    return new


class Decision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the evidence says at one look. `state` is `running` or one of `ENDS`."""

    state: State
    winner: str | None  # an arm's name, with `winner` alone
    interval: tuple[float, float]  # share good, the leading arm minus control
    reason: str  # one line
    at_s: float
    arm: str | None = None  # the harmful one
    intervals: dict[str, tuple[float, float]] = {}  # by arm that is not control
    tried: dict[str, int] = {}
    missing: float = 0.0  # share of the fleet's evidence not there at this look

    @property
    def is_final(self) -> bool:
        return self.state is not State.RUNNING

    def serving_arm(self, control: str) -> str:
        """The arm that all traffic goes to after this end."""
        return self.winner or control
