"""A plan's weights at the sidecar: resolved for each list anew, and told to the driver."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Annotated, Any

import msgspec

from woadyard.errors import PeerError, PlanError
from woadyard.interface import LIST_DELTA, LIST_FAILED
from woadyard.whatif.weights import check_weights, resolve

LOG = logging.getLogger(__name__)
RevisionListener = Callable[[int, dict[str, float]], None]


class PlanDirective(msgspec.Struct):
    """What is to be acted on; no weights: all endpoints alike."""

    revision: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    weights: dict[str, float] = {}


class PlannedWeights:
    """Hears of lists and directives. `weigh` takes factors by instance id; `told` hears which
    revision is in use with which weights."""

    def __init__(self, weigh: Callable[[Mapping[str, float]], None], told: RevisionListener) -> None:
        self.set_factors, self.on_revision_changed = weigh, told
        self.revision = 0
        self.weights: dict[str, float] = {}
        self.entries: dict[str, tuple[str, str, str]] = {}

    def apply_directive(self, directive: Any) -> int:
        """A directive of the list service; the revision acted on from now on. PeerError where it is
        none, and nothing of it is used."""
        try:
            told = msgspec.convert(directive, PlanDirective)
            weights = check_weights(told.weights) if told.weights else {}
        except (msgspec.ValidationError, PlanError) as error:
            raise PeerError(f"no plan: {error}") from None
        if told.revision != self.revision:
            self.revision, self.weights = told.revision, weights
            self._apply()
            LOG.info("plan in use", extra={"revision": told.revision, "weights": len(weights)})
            self.on_revision_changed(told.revision, weights)
        return self.revision

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""
        if mode == LIST_FAILED:
            return
        if mode != LIST_DELTA:
            self.entries = {}
        for one in raw:
            name = str(one["instanceId"])
            self.entries[name] = name, str(one.get("machineType", "")), str(one.get("zone", ""))
            if one.get("lifecycle") == "gone":
                del self.entries[name]
        if self.weights:
            self._apply()

    def _apply(self) -> None:
        self.set_factors(resolve(self.weights, self.entries.values()) if self.weights else {})
