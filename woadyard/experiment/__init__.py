"""Sequential tests of traffic splits: end an experiment by rule, at any look, and no sooner.

Only services and tools import this (it needs `scipy`); a sidecar's counts are in
`woadyard.net.evidence`.
"""

from woadyard.experiment.plan import Plan
from woadyard.experiment.rules import Decision, State
from woadyard.experiment.stopper import Stopper

__all__ = ["Decision", "Plan", "State", "Stopper"]
