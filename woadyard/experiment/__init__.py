"""Sequential tests of traffic splits, which end an experiment by a stopping rule valid at any look.

    stopper = Stopper(Plan())
    stopper.add(source, number, at_s, "a", tried, good)
    stopper.decide(at_s).winner

`Stopper` needs `scipy`, so it is imported on first use: a sidecar, or a list service without an
experiment, never loads it.
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
