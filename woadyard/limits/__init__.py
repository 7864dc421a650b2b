"""Leased shares of limits, as a state machine of the log.

`Ledger` computes the shares, `LimitsState` is the state machine; both are pure.
`woadyard.limits.service` has the HTTP call of the list service. The sidecar's side is
`woadyard.shared.limit_lease.LimitLease`.
"""

from woadyard.limits.ledger import Ledger
from woadyard.limits.state import HOLD, LimitsState

__all__ = ["HOLD", "Ledger", "LimitsState"]
