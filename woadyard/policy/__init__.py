"""Every decision of woadyard: `Balancer` (balancer.py), and what it is made of."""

from woadyard.policy.arms import arm_of
from woadyard.policy.balancer import Balancer
from woadyard.policy.state import Latency, mix

__all__ = ["Balancer", "Latency", "arm_of", "mix"]
