"""One request under way, its attempts, and which repeats of it are allowed."""

from woadyard.interface import KEYED, SAFE, SCOPE_ALL, SCOPE_ZONE, Arrival, Settings
from woadyard.policy.arms import arm_of
from woadyard.policy.state import Context, Endpoint


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
    def __init__(self, now: int, event: Arrival, ctx: Context) -> None:
        self.id, self.arrived, self.expires = event.request, now, event.expires
        self.kind, self.cls, self.tenant = event.cls, ctx.s.classes[event.cls], event.tenant
        self.key = event.key if self.cls.sequential else 0
        self.home, self.affinity = event.home, event.affinity
        self.attempts: list[Attempt] = []
        self.loading, self.spent, self.streaming = event.loading, False, 0  # body; when the answer began
        self.settle(ctx)

    def settle(self, ctx: Context) -> None:
        """What follows from settings and experiment, which may be new: sort by class and tenant, and arm."""
        self.sort = self.kind * ctx.tenants + min(self.tenant, ctx.tenants - 1)
        self.arm = arm_of(ctx.split, self.affinity, self.id)

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
        zone = self.cls.scope == SCOPE_ZONE
        return endpoint.zone == maybe.endpoint.zone if zone else endpoint.cell == maybe.endpoint.cell

    def may_repeat(self, now: int, settings: Settings) -> bool:
        """Whether a further attempt is allowed at all, wherever it goes."""
        if len(self.attempts) >= settings.max_attempts or self.streaming or self.spent:
            return False
        return now < self.start_by() and (settings.second_copies or not self.outstanding())

    def start_by(self) -> int:
        """A further attempt begins before this, however late its connection comes up."""
        maybe = self.first_maybe()
        if maybe is None or self.cls.effect == SAFE:
            return self.expires
        return min(self.expires, maybe.sent + self.cls.window_us) if self.cls.effect == KEYED else 0

    def harmless(self) -> bool:
        """Whether a client's own repeat is sure to do no harm."""
        everywhere = self.cls.effect == SAFE or (self.cls.effect == KEYED and self.cls.scope == SCOPE_ALL)
        return everywhere or self.first_maybe() is None
