"""The last records of a log with the running hash behind each: what followers are matched by."""

from __future__ import annotations

from collections import deque
from typing import Any

from woadyard.registry.replicated_state import EMPTY_CHAIN

MAX_ENTRIES, MAX_BYTES = 4_096, 4 * 1024 * 1024  # records, and their JSON, for replicas that follow


class LogTail:
    """`start` is the index before the first record kept, `chain` the hash there."""

    def __init__(self, max_entries: int = MAX_ENTRIES, max_bytes: int = MAX_BYTES) -> None:
        self.max_entries, self.max_bytes = max_entries, max_bytes
        self.entries: deque[tuple[dict[str, Any], str, int]] = deque()
        self.reset(0, EMPTY_CHAIN)

    def reset(self, index: int, chain: str) -> None:
        """Nothing is kept up to `index`."""
        self.start_index, self.start_chain, self.total_bytes = index, chain, 0
        self.entries.clear()

    def add_entry(self, record: dict[str, Any], chain: str, size: int) -> None:
        """A record, the hash behind it and the bytes of its JSON."""
        self.entries.append((record, chain, size))
        self.total_bytes += size
        while len(self.entries) > self.max_entries or self.total_bytes > self.max_bytes:
            _, self.start_chain, size = self.entries.popleft()
            self.start_index += 1
            self.total_bytes -= size

    def chain_at(self, index: int) -> str | None:
        """The hash behind record `index`; None where that is not kept."""
        if index == self.start_index:
            return self.start_chain
        at = index - self.start_index - 1
        return self.entries[at][1] if 0 <= at < len(self.entries) else None

    def entries_after(self, index: int, max_entries: int) -> list[dict[str, Any]]:
        """The first `most` records past `index`, which is one that `chain_at` knows."""
        first = index - self.start_index
        return [self.entries[at][0] for at in range(first, min(len(self.entries), first + max_entries))]

    def chain_marks(self) -> list[tuple[int, str]]:
        """Each index kept and its hash, from the last to the first."""
        found = [(self.start_index + at + 1, chain) for at, (_, chain, _) in enumerate(self.entries)]
        return [*reversed(found), (self.start_index, self.start_chain)]
