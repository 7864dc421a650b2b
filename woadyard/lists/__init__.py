"""The list of endpoints as a book of the log, and the calls that read and write it.

`ListBook` is pure; `woadyard.lists.service` has its calls, for the list service alone.
"""

from woadyard.lists.book import DROP, EXPIRE, PUT, RENEW, ListBook

__all__ = ["DROP", "EXPIRE", "PUT", "RENEW", "ListBook"]
