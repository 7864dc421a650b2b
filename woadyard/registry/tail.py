"""The last records of a log with the running hash behind each: what followers are matched by."""

from __future__ import annotations

from collections import deque
from typing import Any

from woadyard.registry.host import NO_CHAIN

KEPT = 4_096  # records, kept for replicas that follow


class Tail:
    """`start` is the index before the first record kept, `chain` the hash there."""

    def __init__(self, most: int = KEPT) -> None:
        self.most = most
        self.records: deque[tuple[dict[str, Any], str]] = deque()
        self.begin(0, NO_CHAIN)

    def begin(self, index: int, chain: str) -> None:
        """Nothing is kept up to `index`."""
        self.start, self.chain = index, chain
        self.records.clear()

    def add(self, record: dict[str, Any], chain: str) -> None:
        self.records.append((record, chain))
        if len(self.records) > self.most:
            self.start += 1
            self.chain = self.records.popleft()[1]

    def chain_at(self, index: int) -> str | None:
        """The hash behind record `index`; None where that is not kept."""
        if index == self.start:
            return self.chain
        at = index - self.start - 1
        return self.records[at][1] if 0 <= at < len(self.records) else None

    def after(self, index: int, most: int) -> list[dict[str, Any]]:
        """The first `most` records past `index`, which is one that `chain_at` knows."""
        first = index - self.start
        return [self.records[at][0] for at in range(first, min(len(self.records), first + most))]

    def marks(self) -> list[tuple[int, str]]:
        """Each index kept and its hash, from the last to the first."""
        found = [(self.start + at + 1, chain) for at, (_, chain) in enumerate(self.records)]
        return [*reversed(found), (self.start, self.chain)]
