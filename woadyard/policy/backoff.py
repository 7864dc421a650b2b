"""When discovery is called: at the start, and again after a call that failed.

Copies that lost discovery together must not call it together, and a discovery that is crowded must get
fewer calls than it can serve: it works through calls that nobody waits for any more (docs/findings/
discovery-crowd.md). The membership lease keeps the rule on drains meanwhile, so a wait costs service only.

Parts are of `Settings.ask_within_us`, the time that discovery may go unasked.
"""

from woadyard.policy.state import TIMER_WATCH, Context

# The first call comes within this part (one that takes over starts for itself), and no later than this.
START_SHARE, TAKE_OVER_SHARE, MAX_START_US = 0.25, 0.02, 2_000_000
# The next one within this part, doubled by failures in a row up to the last.
RETRY_SHARE, MAX_RETRY_SHARE = 0.1, 0.4
# After a call that took over the first part to fail, in a crowd or an outage: within the second, and the
# third of its beginning.
SLOW_CALL_SHARE, MAX_SLOW_RETRY_SHARE, SLOW_RETRY_END_SHARE = 0.15, 0.85, 1.5
# Many copies may go on doubling: up to so long a window for each copy of the tier.
CROWD_US_PER_SIDECAR = 250_000


class DiscoveryBackoff:
    """Paces this copy's calls to discovery."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.fast_failures = 0  # calls that failed at once, in a row
        self.slow_failures = 1  # calls that took long to fail, in a row; the start counts as one
        self.call_began_us = 0  # when the latest call began

    def start(self, alone: bool) -> None:
        """The first call, while the lease on the list from before the start lasts."""
        part = START_SHARE if alone else TAKE_OVER_SHARE
        self._call_within(min(part, MAX_START_US / self.ctx.settings.ask_within_us))

    def list_received(self) -> None:
        """Discovery told a list."""
        self.fast_failures = self.slow_failures = 0

    def call_failed(self, now: int) -> None:
        """A call failed, or the watch ended: call again."""
        took = (now - self.call_began_us) / self.ctx.settings.ask_within_us
        if (
            took > SLOW_CALL_SHARE and self.fast_failures + self.slow_failures
        ):  # and no watch that had told a list
            self.fast_failures, self.slow_failures = 0, self.slow_failures + 1
            # The larger of two draws: more of the copies wait, and all are still spread.
            self._call_within(max(self._slow_share(took), self._crowd_share()), 0.5)
        else:
            self._call_within(min(MAX_RETRY_SHARE, RETRY_SHARE * 2.0**self.fast_failures))
            self.fast_failures += 1

    def _slow_share(self, took: float) -> float:
        most = min(MAX_SLOW_RETRY_SHARE, max(RETRY_SHARE, SLOW_RETRY_END_SHARE - took))
        return min(most, RETRY_SHARE * 2.0**self.slow_failures)

    def _crowd_share(self) -> float:
        most = self.ctx.settings.instances * CROWD_US_PER_SIDECAR / self.ctx.settings.ask_within_us
        return min(most, RETRY_SHARE * 2.0**self.slow_failures)

    def _call_within(self, part: float, power: float = 1.0) -> None:
        if (s := self.ctx.settings).asks_discovery:
            self.ctx.set_timer(TIMER_WATCH, 0, int(part * s.ask_within_us * self.ctx.rng.random() ** power))
