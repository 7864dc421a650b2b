"""Tracks how far each follower's log matches the leader's, and so which entries are committed.

With each poll a follower proves by the running hash up to which index its log matches. Pure: times
are s of the caller's clock.
"""

from __future__ import annotations

# Followers poll at least each second; one silent for longer than this is not waited for.
FOLLOWER_TIMEOUT_S = 5.0
MAX_FOLLOWERS = 64


class ReplicationProgress:
    """The match index of each follower. `required_followers` of them have to hold an entry before it is
    committed; 0 stands for all that follow at present, so that a leader without followers, or one whose
    followers died, still commits."""

    def __init__(self, required_followers: int = 0) -> None:
        self.required_followers = required_followers
        self.committed_index = 0  # never decreases
        self.followers: dict[str, tuple[int, float]] = {}  # by name: match index, and time of the poll

    def record_match(self, follower: str, index: int, now: float) -> None:
        self.followers[follower] = (index, now)
        if len(self.followers) > MAX_FOLLOWERS:
            del self.followers[min(self.followers, key=lambda name: self.followers[name][1])]

    def advance_commit(self, applied: int, now: float) -> int:
        """Returns the index up to which the required replicas hold the log."""
        match_indexes = sorted(
            (index for index, at in self.followers.values() if now - at <= FOLLOWER_TIMEOUT_S), reverse=True
        )
        if self.required_followers == 0:
            committed = match_indexes[-1] if match_indexes else applied
        else:
            committed = (
                match_indexes[self.required_followers - 1]
                if len(match_indexes) >= self.required_followers
                else 0
            )
        self.committed_index = max(self.committed_index, committed)
        return self.committed_index
