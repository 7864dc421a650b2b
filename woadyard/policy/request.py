"""One request under way, its attempts, and which repeats of it are allowed."""

from woadyard.interface import KEYED, SAFE, SCOPE_ALL, SCOPE_ZONE, Arrival, Settings
from woadyard.policy.arms import assign_arm
from woadyard.policy.state import Context, Endpoint


class Attempt:
    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint, self.sent_us = endpoint, now
        self.is_in_flight, self.is_transferring, self.never_ran = True, False, False

    def set_transferring(self, now: int, on: bool) -> None:
        """Its bytes are on their way, or no longer: none is owed to a body still coming, nor a second one."""
        if self.is_transferring != on:
            self.is_transferring = on
            self.endpoint.transferring += 1 if on else -1
            self.endpoint.last_activity_us = now


class Request:
    def __init__(self, now: int, event: Arrival, ctx: Context) -> None:
        self.id, self.arrived_us, self.expires_us = event.request, now, event.expires
        self.class_index, self.cls, self.tenant = event.cls, ctx.settings.classes[event.cls], event.tenant
        self.key = event.key if self.cls.sequential else 0
        self.home, self.affinity = event.home, event.affinity
        self.attempts: list[Attempt] = []
        self.is_body_pending, self.is_body_consumed, self.response_started_us = (
            event.loading,
            False,
            0,
        )  # body; when the answer began
        self.classify(ctx)

    def classify(self, ctx: Context) -> None:
        """What follows from settings and experiment, which may be new: sort by class and tenant, and arm."""
        self.class_tenant = self.class_index * ctx.tenant_count + min(self.tenant, ctx.tenant_count - 1)
        self.arm = assign_arm(ctx.split, self.affinity, self.id)

    def useful_until_us(self) -> int:
        """Past this an answer is worth nothing, or comes too late."""
        return min(self.expires_us, self.arrived_us + self.cls.aim_us)

    def has_in_flight(self) -> bool:
        return any(attempt.is_in_flight for attempt in self.attempts)

    def first_possible_run(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def in_scope(self, endpoint: Endpoint) -> bool:
        """Whether a repeat is known there: a key's endpoints remember it."""
        maybe = self.first_possible_run()
        if maybe is None or self.cls.scope == SCOPE_ALL:
            return True
        zone = self.cls.scope == SCOPE_ZONE
        return endpoint.zone == maybe.endpoint.zone if zone else endpoint.cell == maybe.endpoint.cell

    def may_attempt(self, now: int, settings: Settings) -> bool:
        """Whether a further attempt is allowed at all, wherever it goes."""
        if len(self.attempts) >= settings.max_attempts or self.response_started_us or self.is_body_consumed:
            return False
        return now < self.start_by_us() and (settings.second_copies or not self.has_in_flight())

    def start_by_us(self) -> int:
        """A further attempt begins before this, however late its connection comes up."""
        maybe = self.first_possible_run()
        if maybe is None or self.cls.effect == SAFE:
            return self.expires_us
        return min(self.expires_us, maybe.sent_us + self.cls.window_us) if self.cls.effect == KEYED else 0

    def is_retry_harmless(self) -> bool:
        """Whether a client's own repeat is sure to do no harm."""
        everywhere = self.cls.effect == SAFE or (self.cls.effect == KEYED and self.cls.scope == SCOPE_ALL)
        return everywhere or self.first_possible_run() is None
