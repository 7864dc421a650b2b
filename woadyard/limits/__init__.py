"""Shares of limits that sidecars hold, as a book of the log.

`Ledger` is the arithmetic, `LimitsBook` the book; both are pure. `woadyard.limits.service`
has the call for the list service. A sidecar's own side is `woadyard.shared.limit_lease.LimitLease`.
"""

from woadyard.limits.book import HOLD, LimitsBook
from woadyard.limits.ledger import Ledger

__all__ = ["HOLD", "Ledger", "LimitsBook"]
