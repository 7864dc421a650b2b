"""The fault proxy of `woadyard.standins`, under the module name that some tests import."""

from woadyard.standins import CUT, DROP, PASS, RESET, FaultProxy

__all__ = ["CUT", "DROP", "PASS", "RESET", "FaultProxy"]
