"""Sequential tests of traffic splits: end an experiment by rule, at any look, and no sooner.

    stopper = Stopper(Plan())
    stopper.add(source, number, at_s, "a", tried, good)
    stopper.decide(at_s).winner

`Stopper` needs `scipy`, so it is loaded when first asked for: a sidecar and a list service without
an experiment never do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from woadyard.experiment.plan import Plan
from woadyard.experiment.states import Decision, State

if TYPE_CHECKING:
    from woadyard.experiment.stopper import Stopper

__all__ = ["Decision", "Plan", "State", "Stopper"]


def __getattr__(name: str) -> Any:
    if name != "Stopper":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from woadyard.experiment.stopper import Stopper

    return Stopper
