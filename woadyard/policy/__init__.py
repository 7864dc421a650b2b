"""The balancing policy: `Balancer` makes every decision, through the parts it is composed of."""

from woadyard.policy.arms import assign_arm
from woadyard.policy.balancer import Balancer
from woadyard.policy.state import Latency, splitmix64

__all__ = ["Balancer", "Latency", "assign_arm", "splitmix64"]
