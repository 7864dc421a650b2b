"""A request in progress, its attempts, and which further attempts are allowed."""

from woadyard.interface import KEYED, SAFE, SCOPE_ALL, SCOPE_ZONE, Arrival, Settings
from woadyard.policy.arms import assign_arm
from woadyard.policy.state import Context, Endpoint


class Attempt:
    """One attempt of a request at an endpoint."""

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint, self.sent_us = endpoint, now
        self.is_in_flight, self.is_transferring, self.never_ran = True, False, False

    def set_transferring(self, now: int, active: bool) -> None:
        """Record that body bytes are being transferred, or no longer.

        Meanwhile no response is due: the request is incomplete, or its response has started.
        """
        if self.is_transferring != active:
            self.is_transferring = active
            self.endpoint.transferring += 1 if active else -1
            self.endpoint.last_activity_us = now


class Request:
    """A request from its arrival until its final response; times in µs."""

    def __init__(self, now: int, event: Arrival, ctx: Context) -> None:
        self.id, self.arrived_us, self.expires_us = event.request, now, event.expires
        self.class_index, self.cls, self.tenant = event.cls, ctx.settings.classes[event.cls], event.tenant
        self.key = event.key if self.cls.sequential else 0
        self.home, self.affinity = event.home, event.affinity
        self.attempts: list[Attempt] = []
        # response_started_us: when a response that is streamed to the client started; 0 = not yet
        self.is_body_pending, self.is_body_consumed, self.response_started_us = event.loading, False, 0
        self.classify(ctx)

    def classify(self, ctx: Context) -> None:
        """Derive what settings and experiment determine, on arrival and when they change."""
        self.class_tenant = self.class_index * ctx.tenant_count + min(self.tenant, ctx.tenant_count - 1)
        self.arm = assign_arm(ctx.split, self.affinity, self.id)

    def useful_until_us(self) -> int:
        """Time after which a response is past the deadline or the aim of the class."""
        return min(self.expires_us, self.arrived_us + self.cls.aim_us)

    def has_in_flight(self) -> bool:
        return any(attempt.is_in_flight for attempt in self.attempts)

    def first_possible_run(self) -> Attempt | None:
        """Return the earliest attempt that may have run or may be running."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)

    def in_scope(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint would recognize a repeat by its key."""
        first = self.first_possible_run()
        if first is None or self.cls.scope == SCOPE_ALL:
            return True
        is_zone_scope = self.cls.scope == SCOPE_ZONE
        return endpoint.zone == first.endpoint.zone if is_zone_scope else endpoint.cell == first.endpoint.cell

    def may_attempt(self, now: int, settings: Settings) -> bool:
        """Whether a further attempt is allowed, whichever endpoint it goes to."""
        if len(self.attempts) >= settings.max_attempts or self.response_started_us or self.is_body_consumed:
            return False
        return now < self.start_by_us() and (settings.second_copies or not self.has_in_flight())

    def start_by_us(self) -> int:
        """Time before which a further attempt must start, however long its connection takes to open."""
        first = self.first_possible_run()
        if first is None or self.cls.effect == SAFE:
            return self.expires_us
        return min(self.expires_us, first.sent_us + self.cls.window_us) if self.cls.effect == KEYED else 0

    def is_retry_harmless(self) -> bool:
        """Whether a retry by the client itself is certain to have no second effect."""
        recognized = self.cls.effect == SAFE or (self.cls.effect == KEYED and self.cls.scope == SCOPE_ALL)
        return recognized or self.first_possible_run() is None
