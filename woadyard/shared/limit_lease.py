"""A holder's side of its shares of a limit; the ledger that grants them is `woadyard.limits`.

A holder counts its lease from when it asked, the ledger from when it granted, so the
holder stops first, whatever the network delays and whatever the clocks say.

Pure: times are µs of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping


class LimitLease:
    """The holder's side: what it may use, and until when by its own clock."""

    def __init__(self, margin_us: int) -> None:
        self.margin_us = margin_us  # what is started by the end still runs for so long
        self.caps: dict[str, int] = {}
        self.expires_us = 0
        self.seq = 0

    def next_request(self, now: int, used: Mapping[str, int]) -> tuple[int, dict[str, int]]:
        """Number and `keeps` of the next call; `used` is what is in flight now."""
        self.seq += 1
        caps = self.usable_caps(now)
        keys = caps.keys() | used.keys()
        return self.seq, {key: most for key in keys if (most := max(caps.get(key, 0), used.get(key, 0)))}

    def apply_grants(self, asked: int, ttl_us: int, grants: Mapping[str, int]) -> None:
        """The answer to the call sent at `asked`."""
        self.caps, self.expires_us = dict(grants), asked + ttl_us - self.margin_us

    def usable_caps(self, now: int) -> dict[str, int]:
        return self.caps if now < self.expires_us else {}
