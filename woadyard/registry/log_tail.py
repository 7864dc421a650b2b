"""The most recent log entries with the running hash after each, to match followers' logs against."""

from __future__ import annotations

from collections import deque
from typing import Any

from woadyard.registry.replicated_state import EMPTY_CHAIN

MAX_ENTRIES, MAX_BYTES = 4_096, 4 * 1024 * 1024  # kept in memory for followers


class LogTail:
    """`start_index` is the index before the first entry kept, `start_chain` the running hash there."""

    def __init__(self, max_entries: int = MAX_ENTRIES, max_bytes: int = MAX_BYTES) -> None:
        self.max_entries, self.max_bytes = max_entries, max_bytes
        self.entries: deque[tuple[dict[str, Any], str, int]] = deque()
        self.reset(0, EMPTY_CHAIN)

    def reset(self, index: int, chain: str) -> None:
        """Discard everything; the next entry follows `index`, where the running hash is `chain`."""
        self.start_index, self.start_chain, self.total_bytes = index, chain, 0
        self.entries.clear()

    def add_entry(self, entry: dict[str, Any], chain: str, size: int) -> None:
        """Add an entry, the running hash after it and the size of its JSON in bytes."""
        self.entries.append((entry, chain, size))
        self.total_bytes += size
        while len(self.entries) > self.max_entries or self.total_bytes > self.max_bytes:
            _, self.start_chain, size = self.entries.popleft()
            self.start_index += 1
            self.total_bytes -= size

    def chain_at(self, index: int) -> str | None:
        """Return the running hash after entry `index`, or None if it is no longer kept."""
        if index == self.start_index:
            return self.start_chain
        offset = index - self.start_index - 1
        return self.entries[offset][1] if 0 <= offset < len(self.entries) else None

    def entries_after(self, index: int, max_entries: int) -> list[dict[str, Any]]:
        """Return up to `max_entries` entries after `index`, for which `chain_at` must return a hash."""
        first = index - self.start_index
        return [
            self.entries[offset][0] for offset in range(first, min(len(self.entries), first + max_entries))
        ]

    def chain_marks(self) -> list[tuple[int, str]]:
        """Return each kept index with its running hash, newest first."""
        marks = [(self.start_index + offset + 1, chain) for offset, (_, chain, _) in enumerate(self.entries)]
        return [*reversed(marks), (self.start_index, self.start_chain)]
