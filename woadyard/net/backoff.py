"""Capped exponential backoff with full jitter.

The wait before the n-th try in a row is uniform between 0 and
min(most, first * 2**n), so that peers that failed together do not come back
in step (M. Brooker, "Exponential Backoff And Jitter", 2015). Seconds.
"""

from __future__ import annotations

import random


class Backoff:
    def __init__(self, rng: random.Random, initial_s: float, max_s: float) -> None:
        self.rng, self.initial_s, self.max_s = rng, initial_s, max_s
        self.ceiling_s = initial_s

    def next_delay_s(self) -> float:
        """How long to wait now; the next wait may be twice as long."""
        wait = self.rng.uniform(0.0, self.ceiling_s)
        self.ceiling_s = min(self.max_s, 2.0 * self.ceiling_s)
        return wait

    def reset(self) -> None:
        """It went well: the next failure begins anew."""
        self.ceiling_s = self.initial_s
