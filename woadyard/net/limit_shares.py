"""Leases this process's shares of the endpoint limits, renews them, and passes the caps to the balancer.

Without a lease (before the first grant, or when the service is down for longer than the
lease lasts) this process may have `limit_floor` attempts in flight at each endpoint. With a
floor above 0 a fleet without its list service keeps serving, and may exceed the limit by
that much for each sidecar that is cut off.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from woadyard.net.registry_client import RegistryClient
from woadyard.shared.limit_lease import LimitLease
from woadyard.shared.settings import SharedSettings

SHARES_PATH = "/registry/shares/"
LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class LimitHooks:
    """Callbacks into the load balancer; all are called on its event loop."""

    preferred_endpoints: Callable[[], list[int]]  # that this process sends to
    in_flight_counts: Callable[[], dict[int, int]]  # attempts by endpoint
    longest_deadline_us: Callable[[], int]  # the longest time that an attempt started now may run
    apply_limits: Callable[[dict[int, int], int], None]  # caps by endpoint, and the cap of all others


class LimitShares:
    """Holds and renews the lease of this process's shares; `holder` names the process at the list service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: SharedSettings,
        holder: str,
        hooks: LimitHooks,
        rng: random.Random,
    ) -> None:
        self.loop, self.settings, self.holder, self.hooks = loop, settings, holder, hooks
        self.lease = LimitLease(hooks.longest_deadline_us())
        self.requested_us = 0
        self.registry = RegistryClient(settings.peers, rng)
        self.task: asyncio.Task[None] | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        self.announce_caps()
        self.task = self.loop.create_task(
            self.registry.write_periodically(
                self.settings.lease_s / 3.0, self._build_renewal, self._apply_grants
            )
        )

    def announce_caps(self) -> None:
        """Pass the current caps to the balancer; repeated after each list, which may add endpoints."""
        caps = {int(key): cap for key, cap in self.lease.usable_caps(_now_us()).items()}
        floor = self.settings.limit_floor
        self.hooks.apply_limits({number: max(floor, cap) for number, cap in caps.items()}, floor)

    def _build_renewal(self) -> tuple[str, str, dict[str, Any]]:
        self.requested_us = _now_us()
        self.lease.margin_us = self.hooks.longest_deadline_us()
        in_flight = {str(number): count for number, count in self.hooks.in_flight_counts().items()}
        seq, keeps = self.lease.next_request(self.requested_us, in_flight)
        target = f"{SHARES_PATH}{quote(self.holder, safe='')}?ttl_ms={self.settings.lease_s * 1e3:.0f}"
        endpoints = [str(number) for number in self.hooks.preferred_endpoints()]
        return "POST", target, {"seq": seq, "limit": self.settings.limit, "of": endpoints, "keeps": keeps}

    def _apply_grants(self, response: dict[str, Any]) -> None:
        grants = {str(int(key)): int(count) for key, count in response["grants"].items()}
        if not self.lease.caps and grants:
            LOG.info("limit shares granted", extra={"of": len(grants), "limit": self.settings.limit})
        self.lease.apply_grants(self.requested_us, int(self.settings.lease_s * 1e6), grants)
        self.announce_caps()
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        self.expiry_timer = self.loop.call_later(
            max(0.0, (self.lease.expires_us - _now_us()) / 1e6) + 0.001, self._lease_expired
        )

    def _lease_expired(self) -> None:
        LOG.warning("shares lapsed", extra={"floor": self.settings.limit_floor})
        self.lease.caps = {}
        self.announce_caps()


def _now_us() -> int:
    return time.monotonic_ns() // 1000
