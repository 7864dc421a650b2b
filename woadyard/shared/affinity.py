"""A key's home among the endpoints: the same at every sidecar, by rendezvous hashing.

Each endpoint scores the key with a hash of both and the highest wins (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that an
endpoint that leaves moves its own keys alone, spread over the others, and one
that comes takes only those it wins. Sidecars agree as far as their lists and
the verdicts they share do; no table of keys is kept or sent.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# Homes remembered, so that a key often seen is hashed once for a list.
MAX_CACHED_KEYS = 10_000


class Affinity:
    def __init__(self) -> None:
        self.endpoints: frozenset[int] = frozenset()
        self.cached_homes: dict[bytes, int] = {}

    def set_endpoints(self, endpoints: Iterable[int]) -> None:
        """The endpoints that may be a home from now on, by number."""
        if (now := frozenset(endpoints)) != self.endpoints:
            self.endpoints = now
            self.cached_homes.clear()

    def home(self, key: bytes) -> int | None:
        """The endpoint of this key; None where there is none."""
        if not self.endpoints:
            return None
        if key not in self.cached_homes:
            if len(self.cached_homes) >= MAX_CACHED_KEYS:
                del self.cached_homes[next(iter(self.cached_homes))]
            self.cached_homes[key] = max(self.endpoints, key=lambda number: (_score(key, number), number))
        return self.cached_homes[key]


def _score(key: bytes, number: int) -> int:
    return xxhash.xxh3_64_intdigest(key, seed=number)
