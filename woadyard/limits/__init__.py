"""Shares of limits that sidecars hold, as a book of the log.

`Ledger` is the arithmetic, `LimitsBook` the book; both are pure. `woadyard.limits.service`
has the call for the list service. A sidecar's own side is `woadyard.shared.limit_lease.LimitLease`.
"""

from woadyard.limits.ledger import Ledger
from woadyard.limits.state import HOLD, LimitsState

__all__ = ["HOLD", "Ledger", "LimitsState"]
