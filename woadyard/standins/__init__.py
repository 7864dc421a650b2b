"""Stand-ins of what surrounds a sidecar: endpoints to the protocol, and a network with faults.

For tests, benchmarks and a first look; nothing that runs in service imports them.
"""

from woadyard.standins.proxy import BOTH, CUT, DELAY, DROP, HERE, PASS, RESET, THERE, Fault, FaultProxy
from woadyard.standins.schedule import Schedule, drawn, play

__all__ = [
    "BOTH",
    "CUT",
    "DELAY",
    "DROP",
    "HERE",
    "PASS",
    "RESET",
    "THERE",
    "Fault",
    "FaultProxy",
    "Schedule",
    "drawn",
    "play",
]
