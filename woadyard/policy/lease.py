"""The membership lease: how long a list may be acted on without word from discovery.

A change of the list binds a sidecar at the latest `BINDING_US` after discovery had it, heard or not
(STANDING.md, "One clock for silence"). Each list, and each heartbeat of the watch that told it, therefore
renews a lease that runs out before the next change could bind. Nothing has to notice that a watch was lost:
a lease that is not renewed ends by itself, and without one no request is sent.

Times are those of the module's clock, in microseconds.
"""

from math import inf

# A change counts as told so long after it was made, or after a new address of discovery was named.
BINDING_US, ADDRESS_CHANGE_BINDING_US = 6_000_000, 4_000_000
# Reserve for heartbeats that are read late, and for a process held up between its clock and its write.
LEASE_MARGIN_US = 500_000
LEASE_US, ADDRESS_CHANGE_LEASE_US = BINDING_US - LEASE_MARGIN_US, ADDRESS_CHANGE_BINDING_US - LEASE_MARGIN_US
# Where lists are pushed, one from before the start is taken to be so old: the time that a restart may take.
# Where discovery is asked it has no lease: the process before may have gone without word for any time.
CACHED_AGE_US = 3_000_000
# One that takes over is ready after 3 s at most without a list, and news binds 2 s after it said so.
TAKE_OVER_LEASE_US = 4_500_000
# An endpoint that answered was taking work when it was asked. One that drains may go on for some seconds
# (1.94 s seen, docs/incidents/incident-1.md), so an answer counts for less than the rest of `BINDING_US`.
RESPONSE_LEASE_US = 2_500_000
# Without heartbeats (the simulator's wire): the times that discovery may go unasked after a failed call.
FAILED_CALL_INTERVALS, FAILED_CALL_SHARE = 4, 0.9


class MembershipLease:
    """Until when sends may rest on the list that is held."""

    def __init__(self) -> None:
        self.expires_us: float = inf  # of the list as a whole
        self.has_heartbeats = False  # the host confirms the list as long as its watch lives
        self.responses_extend = True  # an endpoint's own answer may stand in for the list
        self.renewal_cap_us: float = inf  # no renewal without a list goes past this

    def start(self, now: int, alone: bool, heartbeats: bool, pushed: bool) -> None:
        """The process starts, by a list of unknown age, alone or beside the one that it takes over from."""
        self.has_heartbeats = heartbeats
        cached = TAKE_OVER_LEASE_US
        if alone:
            cached = LEASE_US - CACHED_AGE_US if pushed else 0
        self.expires_us = now + cached if heartbeats else inf

    def confirm(self, now: int) -> None:
        """Discovery told a list, or that nothing changed since."""
        self.expires_us = now + LEASE_US if self.has_heartbeats else inf
        self.responses_extend, self.renewal_cap_us = True, inf

    def unreachable(self, since: int) -> None:
        """Nobody listens at discovery's address: no change binds before it can be reached again."""
        if self.has_heartbeats:
            self.expires_us = max(
                self.expires_us,
                min(since + LEASE_US, max(self.renewal_cap_us, since + ADDRESS_CHANGE_LEASE_US)),
            )

    def call_failed(self, now: int, ask_within_us: int) -> None:
        """A call failed. With heartbeats that changes nothing: the lease runs out by itself."""
        if not self.has_heartbeats:
            self.expires_us = now + int(FAILED_CALL_INTERVALS * FAILED_CALL_SHARE * ask_within_us)

    def silent(self) -> None:
        """The watch fell silent: what it misses binds by that moment, whatever endpoints answer."""
        self.responses_extend = False

    def moved(self, now: int) -> None:
        """Discovery has another address: all that it has binds by the time of the change of address."""
        if self.has_heartbeats:
            self.renewal_cap_us = now + ADDRESS_CHANGE_LEASE_US
            self.expires_us = min(self.expires_us, self.renewal_cap_us)
        self.responses_extend = False

    def expiry_us(self, answered_at: int) -> float:
        """Until when an endpoint may be sent to whose latest answer was asked for then (0: none came)."""
        if self.responses_extend and answered_at:
            return max(self.expires_us, answered_at + RESPONSE_LEASE_US)
        return self.expires_us

    def allows(self, now: int, answered_at: int) -> bool:
        """Whether an endpoint may be sent to now."""
        return now < self.expiry_us(answered_at)
