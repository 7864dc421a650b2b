"""One request under way, its attempts, and which repeats of it are allowed."""

from woadyard.interface import KEYED, SAFE, SCOPE_ALL, SCOPE_ZONE, Arrival, Settings
from woadyard.policy.endpoint import Endpoint


class Attempt:
    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint, self.sent = endpoint, now
        self.out, self.moving, self.never_ran = True, False, False

    def move(self, now: int, on: bool) -> None:
        """Its bytes are on their way, or no longer: none is owed to a body still coming, nor a second one."""
        if self.moving != on:
            self.moving = on
            self.endpoint.moving += 1 if on else -1
            self.endpoint.quiet_since = now


class Request:
    def __init__(self, now: int, event: Arrival, settings: Settings) -> None:
        self.id, self.arrived, self.expires = event.request, now, event.expires
        self.kind, self.cls, self.tenant = event.cls, settings.classes[event.cls], event.tenant
        self.most = settings.max_attempts
        self.settle(max(1, len(settings.tenants)))
        self.key = event.key if self.cls.sequential else 0
        self.home = event.home
        self.attempts: list[Attempt] = []
        self.loading, self.spent = event.loading, False  # the body: not whole, and gone in part
        self.streaming = 0  # when its answer began to be passed on

    def settle(self, tenants: int) -> None:
        self.sort = self.kind * tenants + min(self.tenant, tenants - 1)

    def last_us(self) -> int:
        """Past this an answer is worth nothing, or comes too late."""
        return min(self.expires, self.arrived + self.cls.aim_us)

    def outstanding(self) -> bool:
        return any(attempt.out for attempt in self.attempts)

    def first_maybe(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def in_scope(self, endpoint: Endpoint) -> bool:
        """Whether a repeat is known there: a key's endpoints remember it."""
        maybe = self.first_maybe()
        if maybe is None or self.cls.scope == SCOPE_ALL:
            return True
        if self.cls.scope == SCOPE_ZONE:
            return endpoint.zone == maybe.endpoint.zone
        return endpoint.cell == maybe.endpoint.cell

    def may_repeat(self, now: int, settings: Settings) -> bool:
        """Whether a further attempt is allowed at all, wherever it goes."""
        if len(self.attempts) >= min(self.most, settings.max_attempts) or self.streaming:
            return False
        if self.spent or now >= self.expires or not (settings.second_copies or not self.outstanding()):
            return False
        maybe = self.first_maybe()
        if maybe is None or self.cls.effect == SAFE:
            return True
        return self.cls.effect == KEYED and now - maybe.sent < self.cls.window_us

    def harmless(self) -> bool:
        """Whether a client's own repeat is sure to do no harm."""
        everywhere = self.cls.effect == SAFE or (self.cls.effect == KEYED and self.cls.scope == SCOPE_ALL)
        return everywhere or self.first_maybe() is None
