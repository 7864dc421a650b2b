"""The membership lease: how long the endpoint list may be used without contact with discovery.

A change of the list binds a sidecar at the latest `BINDING_US` after discovery had it, received or not
(STANDING.md, "One clock for silence"). Therefore each received list, and each heartbeat of the watch that
delivered it, renews a lease that expires before the next change could bind. Nothing has to detect the loss of
a watch: a lease that is not renewed expires, and without a lease no request is sent. Responses of endpoints
renew nothing, as an endpoint that drains, or is gone from the list, may go on serving.

Times and durations are in microseconds, times by the balancer's clock.
"""

from math import inf

# Time until a change binds: after it was made, and after discovery's new address was published.
BINDING_US, ADDRESS_CHANGE_BINDING_US = 6_000_000, 4_000_000
# Allowance for heartbeats that are read late, and for a process suspended between its clock and its write.
LEASE_MARGIN_US = 500_000
LEASE_US, ADDRESS_CHANGE_LEASE_US = BINDING_US - LEASE_MARGIN_US, ADDRESS_CHANGE_BINDING_US - LEASE_MARGIN_US
# Where lists are pushed, a list cached before the start is assumed to be this old: the time a restart may
# take. Where they are watched it has no lease, as the previous process may have been without contact for any
# time.
CACHED_AGE_US = 3_000_000
# A process that takes over is ready after at most 3 s without a list, and changes bind 2 s after that.
TAKE_OVER_LEASE_US = 4_500_000
# Without heartbeats (the simulator's wire): for how many of the longest intervals between calls to discovery
# the lease lasts after a failed call, and the share of that which is used.
FAILED_CALL_INTERVALS, FAILED_CALL_SHARE = 4, 0.9


class MembershipLease:
    """Until when requests may be sent by the current list; handlers are named after the balancer's events."""

    def __init__(self) -> None:
        self.expires_us: float = inf  # of the list as a whole
        self.has_heartbeats = False  # the host confirms the list as long as its watch lives
        self.renewal_cap_us: float = inf  # renewals without a list do not go past this

    def start(self, now: int, alone: bool, heartbeats: bool, pushed: bool) -> None:
        """The process starts with a list of unknown age, alone or beside the process that it replaces."""
        self.has_heartbeats = heartbeats
        lease_us = TAKE_OVER_LEASE_US
        if alone:
            lease_us = LEASE_US - CACHED_AGE_US if pushed else 0
        self.expires_us = now + lease_us if heartbeats else inf

    def confirm(self, now: int) -> None:
        """Discovery sent a list, or confirmed that nothing has changed since."""
        self.expires_us = now + LEASE_US if self.has_heartbeats else inf
        self.renewal_cap_us = inf

    def unreachable(self, since_us: int) -> None:
        """Nothing listens at discovery's address: no change binds before it is reachable again."""
        if self.has_heartbeats:
            self.expires_us = max(
                self.expires_us,
                min(since_us + LEASE_US, max(self.renewal_cap_us, since_us + ADDRESS_CHANGE_LEASE_US)),
            )

    def call_failed(self, now: int, ask_within_us: int) -> None:
        """A call to discovery failed. With heartbeats this changes nothing: the lease expires by itself."""
        if not self.has_heartbeats:
            self.expires_us = now + int(FAILED_CALL_INTERVALS * FAILED_CALL_SHARE * ask_within_us)

    def moved(self, now: int) -> None:
        """Discovery has a new address: all its changes bind by the time the change of address does."""
        if self.has_heartbeats:
            self.renewal_cap_us = now + ADDRESS_CHANGE_LEASE_US
            self.expires_us = min(self.expires_us, self.renewal_cap_us)

    def is_valid(self, now: int) -> bool:
        """Whether requests may be sent now."""
        return now < self.expires_us
