"""Maps a key to its home endpoint, the same at every sidecar, by rendezvous hashing.

The home is the endpoint with the highest hash of key and endpoint (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Removing an
endpoint therefore moves only its own keys, spread over the others, and adding one
moves only the keys for which it scores highest. Sidecars agree as far as their lists
and shared verdicts agree; no table of keys is stored or sent.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

MAX_CACHED_KEYS = 10_000  # a frequent key is hashed only once per list


class Affinity:
    """Homes of keys among the current endpoints, with a bounded cache."""

    def __init__(self) -> None:
        self.endpoints: frozenset[int] = frozenset()
        self.cached_homes: dict[bytes, int] = {}

    def set_endpoints(self, endpoints: Iterable[int]) -> None:
        """Set the numbers of the endpoints that may be a home from now on."""
        if (candidates := frozenset(endpoints)) != self.endpoints:
            self.endpoints = candidates
            self.cached_homes.clear()

    def home(self, key: bytes) -> int | None:
        """Return the home of this key; None if there are no endpoints."""
        if not self.endpoints:
            return None
        if key not in self.cached_homes:
            if len(self.cached_homes) >= MAX_CACHED_KEYS:
                del self.cached_homes[next(iter(self.cached_homes))]
            self.cached_homes[key] = max(self.endpoints, key=lambda number: (_score(key, number), number))
        return self.cached_homes[key]


def _score(key: bytes, number: int) -> int:
    return xxhash.xxh3_64_intdigest(key, seed=number)
