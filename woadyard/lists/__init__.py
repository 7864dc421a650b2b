"""The list of endpoints as a book of the log, and the calls that read and write it.

`ListBook` is pure; `woadyard.lists.service` has its calls, for the list service alone.
"""

from woadyard.lists.state import DROP, EXPIRE, PUT, RENEW, EndpointListState

__all__ = ["DROP", "EXPIRE", "PUT", "RENEW", "EndpointListState"]
