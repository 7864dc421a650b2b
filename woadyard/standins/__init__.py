"""Stand-ins of what surrounds a sidecar: endpoints to the protocol, and a network with faults.

For tests, benchmarks and a first look; nothing that runs in service imports them.
"""

from woadyard.standins.behaviour import KINDS, Behaviour, Manner, manner
from woadyard.standins.endpoint import StandIn
from woadyard.standins.lease import Lease
from woadyard.standins.proxy import BOTH, CUT, DELAY, DROP, HERE, PASS, RESET, THERE, Fault, FaultProxy
from woadyard.standins.schedule import Schedule, drawn, play

__all__ = [
    "BOTH", "CUT", "DELAY", "DROP", "HERE", "KINDS", "PASS", "RESET", "THERE", "Behaviour", "Fault",
    "FaultProxy", "Lease", "Manner", "Schedule", "StandIn", "drawn", "manner", "play",
]  # fmt: skip
