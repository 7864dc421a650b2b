"""The holder's side of a lease on shares of limits; the ledger that grants them is in `woadyard.limits`.

A holder measures its lease from the time of its request, the ledger from the time of the
grant, so the holder stops first, whatever the network delay or clock skew.

Pure: times are µs of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping


class LimitLease:
    """Caps by resource that a holder may use, and when they expire by its own clock."""

    def __init__(self, margin_us: int) -> None:
        self.margin_us = margin_us  # an attempt started just before the end may run this long
        self.caps: dict[str, int] = {}
        self.expires_us = 0
        self.seq = 0

    def next_request(self, now: int, in_flight: Mapping[str, int]) -> tuple[int, dict[str, int]]:
        """Return sequence number and `keeps` (units that must stay granted, by key) of the next request."""
        self.seq += 1
        caps = self.usable_caps(now)
        keys = caps.keys() | in_flight.keys()
        return self.seq, {
            key: units for key in keys if (units := max(caps.get(key, 0), in_flight.get(key, 0)))
        }

    def apply_grants(self, requested_us: int, ttl_us: int, grants: Mapping[str, int]) -> None:
        """Apply the response to the request sent at `requested_us`."""
        self.caps, self.expires_us = dict(grants), requested_us + ttl_us - self.margin_us

    def usable_caps(self, now: int) -> dict[str, int]:
        """Return the caps in force; empty once the lease has expired."""
        return self.caps if now < self.expires_us else {}
