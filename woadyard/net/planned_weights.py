"""Weights of a rollout plan: resolved against each list again, and passed to the driver."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Annotated, Any

import msgspec

from woadyard.errors import PeerError, PlanError
from woadyard.interface import LIST_DELTA, LIST_FAILED
from woadyard.whatif.weights import resolve_factors, validate_weights

LOG = logging.getLogger(__name__)
RevisionListener = Callable[[int, dict[str, float]], None]


class PlanDirective(msgspec.Struct):
    """The plan to apply; without weights all endpoints have the same one."""

    revision: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    weights: dict[str, float] = {}


class PlannedWeights:
    """Applies the plan in force to the current list.

    `set_factors` takes factors by instance id; `on_revision_changed` takes the revision now in
    force and its weights.
    """

    def __init__(
        self, set_factors: Callable[[Mapping[str, float]], None], on_revision_changed: RevisionListener
    ) -> None:
        self.set_factors, self.on_revision_changed = set_factors, on_revision_changed
        self.revision = 0
        self.weights: dict[str, float] = {}
        self.entries: dict[str, tuple[str, str, str]] = {}

    def apply_directive(self, raw: Any) -> int:
        """Apply a directive of the list service and return the revision in force.

        Raises PeerError, with nothing changed, if it is invalid.
        """
        try:
            directive = msgspec.convert(raw, PlanDirective)
            weights = validate_weights(directive.weights) if directive.weights else {}
        except (msgspec.ValidationError, PlanError) as error:
            raise PeerError(f"invalid plan directive: {error}") from None
        if directive.revision != self.revision:
            self.revision, self.weights = directive.revision, weights
            self._apply()
            LOG.info("plan applied", extra={"revision": directive.revision, "weights": len(weights)})
            self.on_revision_changed(directive.revision, weights)
        return self.revision

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """Resolve the weights against a new list."""
        if mode == LIST_FAILED:
            return
        if mode != LIST_DELTA:
            self.entries = {}
        for entry in raw:
            name = str(entry["instanceId"])
            self.entries[name] = name, str(entry.get("machineType", "")), str(entry.get("zone", ""))
            if entry.get("lifecycle") == "gone":
                del self.entries[name]
        if self.weights:
            self._apply()

    def _apply(self) -> None:
        self.set_factors(resolve_factors(self.weights, self.entries.values()) if self.weights else {})
