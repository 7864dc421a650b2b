"""Capped exponential backoff with full jitter.

The delay before the n-th attempt in a row is uniform between 0 and
min(max_s, initial_s * 2**n), so that clients that failed together do not retry
in step (M. Brooker, "Exponential Backoff And Jitter", 2015). Times in seconds.
"""

from __future__ import annotations

import random


class Backoff:
    """Draws the delays between consecutive retries."""

    def __init__(self, rng: random.Random, initial_s: float, max_s: float) -> None:
        self.rng, self.initial_s, self.max_s = rng, initial_s, max_s
        self.ceiling_s = initial_s

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt and double the ceiling of the one after it."""
        delay_s = self.rng.uniform(0.0, self.ceiling_s)
        self.ceiling_s = min(self.max_s, 2.0 * self.ceiling_s)
        return delay_s

    def reset(self) -> None:
        """Start over from the initial delay after a success."""
        self.ceiling_s = self.initial_s
