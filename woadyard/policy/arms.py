"""Assignment of requests to the arms of an experiment."""

from bisect import bisect_right
from itertools import accumulate

from woadyard.interface import Split
from woadyard.policy.state import splitmix64


def assign_arm(split: Split | None, affinity: int, request_id: int) -> int:
    """Return the arm of a request, by a salted hash of its affinity, or of its id where it has none.

    Without a split the arm is 0. Each arm takes one interval of the hash range, in the order of the arms, so
    that a changed share moves no more keys than necessary.
    """
    if split is None:
        return 0
    position = splitmix64(splitmix64(affinity or request_id) ^ split.salt) / 2.0**64
    return min(bisect_right(list(accumulate(split.shares)), position), len(split.shares) - 1)
