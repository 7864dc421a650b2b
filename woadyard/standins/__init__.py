"""Stand-ins for what surrounds a sidecar: simulated endpoints and a fault-injecting network proxy.

For tests, benchmarks and a first look; production code does not import them.
"""

from woadyard.standins.behaviour import KINDS, Behaviour, Manner, manner
from woadyard.standins.endpoint import StandIn
from woadyard.standins.lease import Lease
from woadyard.standins.paced_answer import Framing, PacedAnswer
from woadyard.standins.proxy import BOTH, CUT, DELAY, DROP, HERE, PASS, RESET, THERE, Fault, FaultProxy
from woadyard.standins.schedule import Schedule, play_schedule, random_schedule

__all__ = [
    "BOTH",
    "CUT",
    "DELAY",
    "DROP",
    "HERE",
    "KINDS",
    "PASS",
    "RESET",
    "THERE",
    "Behaviour",
    "Fault",
    "FaultProxy",
    "Framing",
    "Lease",
    "Manner",
    "PacedAnswer",
    "Schedule",
    "StandIn",
    "manner",
    "play_schedule",
    "random_schedule",
]  # fmt: skip
