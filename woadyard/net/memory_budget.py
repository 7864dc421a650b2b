"""How many bytes of requests and responses all connections may hold together.

It follows from the memory that the process may have, less what it takes without them. Pure
arithmetic: `MemoryGuard` counts what the connections hold and makes room.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

MEGABYTE = 1024 * 1024
# The share of its memory limit that a process uses: the system kills it for the first page beyond.
USED_SHARE = 0.95
# Of a connection, with its socket's state in the event loop, its timers and the objects of a request.
CONNECTION_BYTES = 8_000
# Buffers grow by reallocation, and freed ones are not all of a size that the next ones need.
ALLOCATOR_OVERHEAD = 2.0
MIN_CAPACITY_BYTES = 256 * 1024
USUAL_BASE_BYTES = 26 * MEGABYTE
# Bounds of what one connection reads at once, and may have unwritten before its source is paused.
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 4 * 1024, 32 * 1024


def resident_bytes() -> int:
    """Return the resident memory of this process; the usual one where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return USUAL_BASE_BYTES


@dataclass(slots=True)
class MemoryBudget:
    """What connections may hold in a process with this memory limit."""

    limit_bytes: int
    base_bytes: int  # resident without any connection
    process_share: float = 1.0  # of the limit, where a second process of the sidecar runs

    def capacity(self, connection_count: int) -> int:
        """Return the bytes that so many connections may hold together."""
        available = self.limit_bytes * USED_SHARE * self.process_share - self.base_bytes
        left = available - connection_count * CONNECTION_BYTES
        return max(MIN_CAPACITY_BYTES, int(left / ALLOCATOR_OVERHEAD))

    def buffer_bytes(self, max_sockets: int) -> int:
        """Return how much each of so many connections may read at once, all holding that much."""
        return max(MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, self.capacity(max_sockets) // max_sockets))
