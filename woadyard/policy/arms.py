"""Arms of an experiment: which of them a request is assigned to."""

from bisect import bisect_right
from itertools import accumulate

from woadyard.interface import Split
from woadyard.policy.state import splitmix64


def assign_arm(split: Split | None, affinity: int, request: int) -> int:
    """Drawn by a salted hash of the affinity, or of the request where there is none; 0 with no split. Shares
    are cuts of the hash, one after the other: one that changes moves no more keys than it must."""
    if split is None:
        return 0
    mark = splitmix64(splitmix64(affinity or request) ^ split.salt) / 2.0**64
    return min(bisect_right(list(accumulate(split.shares)), mark), len(split.shares) - 1)
