"""Entries, settings and requests for tests of one balancer; no endpoint is modelled."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from woadyard.interface import (
    LIST_FULL,
    OK,
    READY,
    SAFE,
    Action,
    Arrival,
    Entry,
    Outcome,
    RequestClass,
    Send,
    Settings,
)
from woadyard.policy import Balancer

MS = 1_000
SECOND = 1_000_000
PAGE = RequestClass(effect=SAFE, aim_us=200 * MS, deadline_us=SECOND)
PATIENT = RequestClass(effect=SAFE, aim_us=2_500 * MS, deadline_us=6 * SECOND)
SETTINGS = Settings(
    classes=(PAGE,),
    can_cancel=True,
    second_copies=True,
    max_attempts=3,
    cold_share=0.2,
    cold_us=20 * SECOND,
    tip_multiple=3.0,
)


def ready_entries(size: int, boot: int = 0) -> list[Entry]:
    """Entries of endpoints 100, 101, ..., in cells of four and in two zones."""
    return [Entry(100 + n, READY, boot, 1.0, n // 4, n % 2, 0) for n in range(size)]


def started_balancer(
    size: int = 8, seed: int = 1, settings: Settings = SETTINGS, **changes: object
) -> Balancer:
    balancer = Balancer(seed, replace(settings, **changes))  # type: ignore[arg-type]
    balancer.start(0)
    balancer.members(0, LIST_FULL, ready_entries(size))
    return balancer


def sends(actions: Iterable[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


class Client:
    """Sends numbered requests to one balancer."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.last_id = 0

    def submit(self, now: int, cls: int = 0, tenant: int = 0, key: int = 0) -> tuple[int, list[Action]]:
        """Send a request and return its id and the balancer's actions."""
        self.last_id += 1
        expires = now + self.balancer.settings.classes[cls].deadline_us
        return self.last_id, self.balancer.request(now, Arrival(self.last_id, cls, expires, tenant, key))

    def serve(self, now: int, delay_us: int, cls: int = 0) -> bool:
        """Send a request that succeeds after the delay. Return False if the balancer did not send it."""
        request_id, actions = self.submit(now, cls)
        if not (sent := sends(actions)):
            return False
        done = Outcome(request_id, 0, sent[0].endpoint, OK, delay_us, over=True)
        self.balancer.outcome(now + delay_us, done)
        return True


def left_endpoint(client: Client) -> int:
    """Return an endpoint of the left group, to which a single request in flight always goes."""
    return client.balancer.ring.groups[0][0][0].id
