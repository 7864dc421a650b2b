"""Factors that lower endpoints' weights: other sidecars' verdicts and a plan's weights."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from woadyard.net.state import endpoint_number
from woadyard.ops.metrics import NullMetrics
from woadyard.shared.affinity import Affinity
from woadyard.shared.store import SharedEntry
from woadyard.shared.verdicts import TRUST_ACCUSED, trust_factors

LOG = logging.getLogger(__name__)


class SharedState:
    """The driver's view of the state that is shared with other sidecars."""

    def __init__(self, name: str, eject_share: float) -> None:
        self.name, self.eject_share = name, eject_share
        self.publish: Callable[[int, str | None], None] = lambda endpoint, state: None
        self.verdict_entries: list[SharedEntry] = []
        self.ignored_sidecars: frozenset[str] = frozenset()  # names whose verdicts do not count
        self.factors: dict[int, float] = {}  # below 1, by endpoint number
        self.affinity = Affinity()
        # Sends this sidecar's limits to the balancer again.
        self.announce_limits: Callable[[], None] = lambda: None

    def update_factors(self, ready: set[int], metrics: NullMetrics) -> dict[int, float]:
        """Recompute the factors below 1 from the other sidecars' verdicts, by endpoint number."""
        entries = [entry for entry in self.verdict_entries if entry.sidecar not in self.ignored_sidecars]
        factors = trust_factors(entries, self.name, ready, self.eject_share)
        if factors != self.factors:
            self.factors = factors
            metrics.set_lowered_endpoints(len(factors))
            LOG.info("others' verdicts", extra={"lowered": len(factors), "of": len(ready)})
        # The verdict of one sidecar leaves a key at its home endpoint; those of two move it,
        # on all sidecars alike.
        self.affinity.set_endpoints(number for number in ready if factors.get(number, 1.0) >= TRUST_ACCUSED)
        return factors


class WeightFactors:
    """Combines all factors into one for each endpoint."""

    def __init__(self, shared: SharedState | None, metrics: NullMetrics) -> None:
        self.shared, self.metrics = shared, metrics
        self.planned_factors: dict[int, float] = {}  # below 1, by endpoint number

    def set_planned(self, factors: Mapping[str, float]) -> None:
        """Set a plan's factors by instance id, each in (0, 1]; instances not named have 1."""
        self.planned_factors = {
            endpoint_number(name): factor for name, factor in factors.items() if factor < 1.0
        }

    def combined(self, ready: set[int]) -> dict[int, float]:
        """The product of all factors by endpoint number, where it may be below 1."""
        factors = {} if self.shared is None else self.shared.update_factors(ready, self.metrics)
        if not self.planned_factors:
            return factors
        numbers = self.planned_factors.keys() | factors.keys()
        return {
            number: self.planned_factors.get(number, 1.0) * factors.get(number, 1.0) for number in numbers
        }
