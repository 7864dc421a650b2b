"""Every decision of woadyard: `Balancer` (balancer.py), and what it is made of."""

from woadyard.policy.balancer import Balancer
from woadyard.policy.endpoint import Latency, mix

__all__ = ["Balancer", "Latency", "mix"]
