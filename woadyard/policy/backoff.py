"""When discovery is called: at the start, and again after a call that failed.

Sidecars that lost discovery together must not call it together, and an overloaded discovery must get fewer
calls than it can serve, because it works through calls that nobody waits for any more
(docs/findings/discovery-crowd.md). The membership lease keeps the rule on drains in the meantime, so a delay
costs availability only.

Shares are of `Settings.ask_within_us`, the longest time that discovery may go without a call.
"""

from woadyard.policy.state import TIMER_WATCH, Context

# The first call is made within the first share, or the second for a process that takes over, which does not
# start together with others; and no later than `MAX_START_US`.
START_SHARE, TAKE_OVER_SHARE, MAX_START_US = 0.25, 0.02, 2_000_000
# The next call after a failed one is made within this share, doubled by each failure in a row up to the cap.
RETRY_SHARE, MAX_RETRY_SHARE = 0.1, 0.4
# A call that took longer than the first share to fail met an overload or an outage: the next one is made
# within the second, and within the third of the failed call's start.
SLOW_CALL_SHARE, MAX_SLOW_RETRY_SHARE, SLOW_RETRY_END_SHARE = 0.15, 0.85, 1.5
# A large tier may go on doubling, up to this window for each of its sidecars.
CROWD_US_PER_SIDECAR = 250_000
# Of the share, whatever the number of failures: far beyond each cap, and a float can't hold 2**1024.
MAX_DOUBLINGS = 32


def _doubled_share(failures: int) -> float:
    return float(RETRY_SHARE * 2.0 ** min(failures, MAX_DOUBLINGS))


class DiscoveryBackoff:
    """Paces this sidecar's calls to discovery."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.fast_failures = 0  # consecutive calls that failed at once
        self.slow_failures = 1  # consecutive calls that took long to fail; the start counts as one
        self.call_began_us = 0  # the latest call

    def start(self, alone: bool) -> None:
        """Schedule the first call, within the lease on the list from before the start."""
        share = START_SHARE if alone else TAKE_OVER_SHARE
        self._call_within(min(share, MAX_START_US / self.ctx.settings.ask_within_us))

    def list_received(self) -> None:
        """Reset the backoff."""
        self.fast_failures = self.slow_failures = 0

    def call_failed(self, now: int) -> None:
        """A call failed or the watch ended: schedule the next call."""
        call_share = (now - self.call_began_us) / self.ctx.settings.ask_within_us
        # Without failures so far, it was a watch that had delivered a list.
        if call_share > SLOW_CALL_SHARE and self.fast_failures + self.slow_failures:
            self.fast_failures, self.slow_failures = 0, self.slow_failures + 1
            # The larger of two draws: most sidecars wait longer, and all are still spread out.
            self._call_within(max(self._slow_share(call_share), self._crowd_share()), 0.5)
        else:
            self._call_within(min(MAX_RETRY_SHARE, _doubled_share(self.fast_failures)))
            self.fast_failures += 1

    def _slow_share(self, call_share: float) -> float:
        max_share = min(MAX_SLOW_RETRY_SHARE, max(RETRY_SHARE, SLOW_RETRY_END_SHARE - call_share))
        return min(max_share, _doubled_share(self.slow_failures))

    def _crowd_share(self) -> float:
        max_share = self.ctx.settings.instances * CROWD_US_PER_SIDECAR / self.ctx.settings.ask_within_us
        return min(max_share, _doubled_share(self.slow_failures))

    def _call_within(self, share: float, power: float = 1.0) -> None:
        if (settings := self.ctx.settings).asks_discovery:
            self.ctx.set_timer(
                TIMER_WATCH, 0, int(share * settings.ask_within_us * self.ctx.rng.random() ** power)
            )
