"""The list of endpoints as a state machine of the log, and the calls that read and write it.

`EndpointListState` is pure; `woadyard.lists.service` has its HTTP calls, for the list service only.
"""

from woadyard.lists.state import DROP, EXPIRE, PUT, RENEW, EndpointListState

__all__ = ["DROP", "EXPIRE", "PUT", "RENEW", "EndpointListState"]
