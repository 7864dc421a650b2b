"""The fault proxy, under the name that older tests know."""

from woadyard.standins import CUT, DROP, PASS, RESET, FaultProxy

__all__ = ["CUT", "DROP", "PASS", "RESET", "FaultProxy"]
