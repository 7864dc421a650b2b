"""Leases of a budget: shares of a limit whose sum stays within it, over any failure.

One ledger, kept by the list service's writer, grants shares of each resource
(an endpoint's requests in flight) to holders, in the manner of Gray and Cheriton,
"Leases" (1989). A holder counts its lease from when it asked, the ledger from
when it granted, so the holder stops first, whatever the network delays and
whatever the clocks say; only their rates have to agree. A share given back counts
until the holder says it keeps to the smaller one. Gossip could not promise this:
two sides of a partition would each share out the whole.

Pure: times are µs of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from woadyard.errors import LogEntryError


@dataclass
class HolderLease:
    """What one holder may use until `ends`, by resource, as the ledger counts it."""

    expires_at_us: int
    ttl_us: int
    seq: int
    units: dict[str, int]
    grants: dict[str, int] = field(default_factory=dict)  # the answer to its last call


@dataclass
class Ledger:
    """The sum of `units` of a resource over all holdings is at most its limit."""

    holder_leases: dict[str, HolderLease] = field(default_factory=dict)

    def remove_expired(self, at: int) -> None:
        self.holder_leases = {name: one for name, one in self.holder_leases.items() if one.expires_at_us > at}

    def check_sequence(self, at: int, name: str, seq: int) -> None:
        """LogEntryError on a call older than the last: it may tell of less than is used."""
        before = self.holder_leases.get(name)
        if before is not None and before.expires_at_us > at and seq <= before.seq:
            raise LogEntryError(f"call {seq} of {name!r} comes after {before.seq}")

    def extend_all(self, at: int) -> None:
        """The ledger has a new keeper: every lease runs anew."""
        for one in self.holder_leases.values():
            one.expires_at_us = max(one.expires_at_us, at + one.ttl_us)

    def grant_shares(
        self,
        at: int,
        name: str,
        seq: int,
        ttl_us: int,
        limit: int,
        of: Iterable[str],
        keeps: Mapping[str, int],
    ) -> dict[str, int]:
        """Grant `name` its shares of the resources `of`, each of `limit` in all; `keeps`
        is what it may still use at most from when it asked. Returns the grants.
        LogEntryError as `check`, before anything is changed."""
        self.check_sequence(at, name, seq)
        self.remove_expired(at)
        before = self.holder_leases.pop(name, None)
        had = before.units if before is not None else {}
        # No more than it was granted: a larger figure would take from the others.
        units = {key: min(count, had[key]) for key, count in keeps.items() if had.get(key)}
        granted: dict[str, int] = {}
        for key in of:
            granted[key] = self._share(key, limit)
            units[key] = max(units.get(key, 0), granted[key])
        self.holder_leases[name] = HolderLease(at + ttl_us, ttl_us, seq, units, granted)
        return granted

    def _share(self, key: str, limit: int) -> int:
        """An equal part, with what is left over; less while others still use more."""
        rivals = [one.units[key] for one in self.holder_leases.values() if key in one.units]
        fair = limit // (len(rivals) + 1)
        return max(0, limit - sum(max(units, fair) for units in rivals))

    def dump(self) -> dict[str, Any]:
        return {
            name: [one.expires_at_us, one.ttl_us, one.seq, one.units]
            for name, one in self.holder_leases.items()
        }

    @classmethod
    def load(cls, raw: Mapping[str, Any]) -> Ledger:
        holdings = {}
        for name, (ends, ttl_us, seq, units) in raw.items():
            holdings[name] = HolderLease(int(ends), int(ttl_us), int(seq), dict(units))
        return cls(holdings)
