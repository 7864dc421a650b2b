"""Leased shares of a limit: their sum never exceeds the limit, whatever fails.

One ledger, kept by the leader of the list service, grants shares of each resource (the requests in
flight at an endpoint) to holders, as in Gray and Cheriton, "Leases" (1989). A holder counts its
lease from when it sent the request, the ledger from when it granted it. So the holder stops first,
whatever the network delay and the clock offsets; only the clock rates must agree. A reduced share
counts in full until the holder confirms that it keeps to the smaller one. Gossip could not
guarantee this: each side of a partition would distribute the whole limit.

Pure: times are µs of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from woadyard.errors import LogEntryError


@dataclass
class HolderLease:
    """The units of each resource that one holder may use until `expires_at_us`."""

    expires_at_us: int
    ttl_us: int
    seq: int
    units: dict[str, int]
    grants: dict[str, int] = field(default_factory=dict)  # granted by its last request


@dataclass
class Ledger:
    """The leases of all holders; the sum of the `units` of a resource is at most its limit."""

    holder_leases: dict[str, HolderLease] = field(default_factory=dict)

    def remove_expired(self, now_us: int) -> None:
        self.holder_leases = {
            name: lease for name, lease in self.holder_leases.items() if lease.expires_at_us > now_us
        }

    def check_sequence(self, now_us: int, name: str, seq: int) -> None:
        """Raise LogEntryError if a request is older than the last: it may report fewer units than in use."""
        previous = self.holder_leases.get(name)
        if previous is not None and previous.expires_at_us > now_us and seq <= previous.seq:
            raise LogEntryError(f"request {seq} of {name!r} arrived after request {previous.seq}")

    def extend_all(self, now_us: int) -> None:
        """Extend every lease to its full duration, under a new leader."""
        for lease in self.holder_leases.values():
            lease.expires_at_us = max(lease.expires_at_us, now_us + lease.ttl_us)

    def grant_shares(
        self,
        now_us: int,
        name: str,
        seq: int,
        ttl_us: int,
        limit: int,
        resources: Iterable[str],
        keeps: Mapping[str, int],
    ) -> dict[str, int]:
        """Grant `name` its shares of `resources`, each of which has `limit` units in total.

        `keeps` is the most that the holder may still use, from when it sent the request. Returns
        the granted units by resource. Raises LogEntryError as `check_sequence` does, before any
        change."""
        self.check_sequence(now_us, name, seq)
        self.remove_expired(now_us)
        previous = self.holder_leases.pop(name, None)
        previous_units = previous.units if previous is not None else {}
        # At most what it was granted: a larger number would take units from the others.
        units = {
            key: min(count, previous_units[key]) for key, count in keeps.items() if previous_units.get(key)
        }
        granted: dict[str, int] = {}
        for key in resources:
            granted[key] = self._share(key, limit)
            units[key] = max(units.get(key, 0), granted[key])
        self.holder_leases[name] = HolderLease(now_us + ttl_us, ttl_us, seq, units, granted)
        return granted

    def _share(self, key: str, limit: int) -> int:
        """Return an equal share and the remainder; less while other holders still use more."""
        others = [lease.units[key] for lease in self.holder_leases.values() if key in lease.units]
        equal_share = limit // (len(others) + 1)
        return max(0, limit - sum(max(units, equal_share) for units in others))

    def dump(self) -> dict[str, Any]:
        return {
            name: [lease.expires_at_us, lease.ttl_us, lease.seq, lease.units]
            for name, lease in self.holder_leases.items()
        }

    @classmethod
    def load(cls, raw: Mapping[str, Any]) -> Ledger:
        leases = {}
        for name, (expires_at_us, ttl_us, seq, units) in raw.items():
            leases[name] = HolderLease(int(expires_at_us), int(ttl_us), int(seq), dict(units))
        return cls(leases)
