"""Tracks how far each follower's log matches the leader's, and so which entries are committed.

With each poll a follower proves by the running hash up to which index its log matches. Pure: times
are s of the caller's clock.
"""

from __future__ import annotations

# Followers poll at least each second; one silent for longer than this is not waited for.
REPLICA_TIMEOUT_S = 5.0
MAX_REPLICAS = 64


class ReplicationProgress:
    """The match index of each follower. `required_replicas` of them have to hold an entry before it is
    committed; 0 stands for all that follow at present, so that a leader without followers, or one whose
    followers died, still commits."""

    def __init__(self, required_replicas: int = 0) -> None:
        self.required_replicas = required_replicas
        self.committed_index = 0  # never decreases
        self.replicas: dict[str, tuple[int, float]] = {}  # by name: match index, and time of the poll

    def record_match(self, replica: str, index: int, now: float) -> None:
        self.replicas[replica] = (index, now)
        if len(self.replicas) > MAX_REPLICAS:
            del self.replicas[min(self.replicas, key=lambda name: self.replicas[name][1])]

    def advance_commit(self, applied: int, now: float) -> int:
        """Returns the index up to which the required replicas hold the log."""
        match_indexes = sorted(
            (index for index, at in self.replicas.values() if now - at <= REPLICA_TIMEOUT_S), reverse=True
        )
        if self.required_replicas == 0:
            committed = match_indexes[-1] if match_indexes else applied
        else:
            committed = (
                match_indexes[self.required_replicas - 1]
                if len(match_indexes) >= self.required_replicas
                else 0
            )
        self.committed_index = max(self.committed_index, committed)
        return self.committed_index
