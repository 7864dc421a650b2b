"""Every decision of woadyard: `Balancer` (balancer.py), and what it is made of."""

from woadyard.policy.arms import assign_arm
from woadyard.policy.balancer import Balancer
from woadyard.policy.state import Latency, splitmix64

__all__ = ["Balancer", "Latency", "assign_arm", "splitmix64"]
