"""How far the replicas' logs are known to reach: what a promoted one is sure to hold.

A replica proves by the running hash, with each poll, up to which index its log is the
writer's. Pure: times are s of the caller's clock.
"""

from __future__ import annotations

# A replica polls at least each second; one silent for longer than this is not waited for.
SILENT_S = 5.0
REPLICAS_MOST = 64


class Copies:
    """`needed` is how many replicas have to hold a record before it counts as held. 0:
    each that follows by now, so that a lone writer, or one whose replicas died, goes on."""

    def __init__(self, needed: int = 0) -> None:
        self.needed = needed
        self.index = 0  # held by then, never less again
        self.replicas: dict[str, tuple[int, float]] = {}  # by name: proven index, and when

    def proven(self, replica: str, index: int, now: float) -> None:
        self.replicas[replica] = (index, now)
        if len(self.replicas) > REPLICAS_MOST:
            del self.replicas[min(self.replicas, key=lambda one: self.replicas[one][1])]

    def held(self, applied: int, now: float) -> int:
        """The index up to which records are held by as many as have to."""
        found = sorted((index for index, at in self.replicas.values() if now - at <= SILENT_S), reverse=True)
        if self.needed == 0:
            reach = found[-1] if found else applied
        else:
            reach = found[self.needed - 1] if len(found) >= self.needed else 0
        self.index = max(self.index, reach)
        return self.index
