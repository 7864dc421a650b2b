"""The last records of a log with the running hash behind each: what followers are matched by."""

from __future__ import annotations

from collections import deque
from typing import Any

from woadyard.registry.host import NO_CHAIN

KEPT, BYTES_KEPT = 4_096, 4 * 1024 * 1024  # records, and their JSON, for replicas that follow


class Tail:
    """`start` is the index before the first record kept, `chain` the hash there."""

    def __init__(self, most: int = KEPT, most_bytes: int = BYTES_KEPT) -> None:
        self.most, self.most_bytes = most, most_bytes
        self.records: deque[tuple[dict[str, Any], str, int]] = deque()
        self.begin(0, NO_CHAIN)

    def begin(self, index: int, chain: str) -> None:
        """Nothing is kept up to `index`."""
        self.start, self.chain, self.size = index, chain, 0
        self.records.clear()

    def add(self, record: dict[str, Any], chain: str, size: int) -> None:
        """A record, the hash behind it and the bytes of its JSON."""
        self.records.append((record, chain, size))
        self.size += size
        while len(self.records) > self.most or self.size > self.most_bytes:
            _, self.chain, size = self.records.popleft()
            self.start += 1
            self.size -= size

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
        found = [(self.start + at + 1, chain) for at, (_, chain, _) in enumerate(self.records)]
        return [*reversed(found), (self.start, self.chain)]
