"""How far the replicas' logs are known to reach: what a promoted one is sure to hold.

A replica proves by the running hash, with each poll, up to which index its log is the
writer's. Pure: times are s of the caller's clock.
"""

from __future__ import annotations

# A replica polls at least each second; one silent for longer than this is not waited for.
REPLICA_TIMEOUT_S = 5.0
MAX_REPLICAS = 64


class ReplicationProgress:
    """`needed` is how many replicas have to hold a record before it counts as held. 0:
    each that follows by now, so that a lone writer, or one whose replicas died, goes on."""

    def __init__(self, needed: int = 0) -> None:
        self.required_replicas = needed
        self.committed_index = 0  # held by then, never less again
        self.replicas: dict[str, tuple[int, float]] = {}  # by name: proven index, and when

    def record_match(self, replica: str, index: int, now: float) -> None:
        self.replicas[replica] = (index, now)
        if len(self.replicas) > MAX_REPLICAS:
            del self.replicas[min(self.replicas, key=lambda one: self.replicas[one][1])]

    def advance_commit(self, applied: int, now: float) -> int:
        """The index up to which records are held by as many as have to."""
        found = sorted(
            (index for index, at in self.replicas.values() if now - at <= REPLICA_TIMEOUT_S), reverse=True
        )
        if self.required_replicas == 0:
            reach = found[-1] if found else applied
        else:
            reach = found[self.required_replicas - 1] if len(found) >= self.required_replicas else 0
        self.committed_index = max(self.committed_index, reach)
        return self.committed_index
