"""A plan's weights at the sidecar: resolved for each list anew, and told to the driver."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from woadyard.errors import PlanError
from woadyard.interface import LIST_DELTA, LIST_FAILED
from woadyard.whatif.weights import check_weights, resolve

LOG = logging.getLogger(__name__)
Told = Callable[[int, dict[str, float]], None]


class Weights:
    """Hears of lists and directives. `weigh` takes factors by instance id; `told` hears which
    revision is in use with which weights."""

    def __init__(self, weigh: Callable[[Mapping[str, float]], None], told: Told) -> None:
        self.weigh, self.told = weigh, told
        self.revision = 0
        self.weights: dict[str, float] = {}
        self.entries: dict[str, tuple[str, str, str]] = {}

    def direct(self, directive: Mapping[str, Any]) -> bool:
        """A directive of the list service; what is none, or no news, changes nothing."""
        revision, weights = directive.get("revision"), directive.get("weights")
        if type(revision) is not int or revision < 0 or revision == self.revision:
            return False
        try:
            self.weights = check_weights(weights) if weights else {}
        except PlanError as error:
            LOG.warning("plan not taken", extra={**error.fields(), "revision": revision})
            return False
        self.revision = revision
        self._apply()
        LOG.info("plan in use", extra={"revision": revision, "weights": len(self.weights)})
        self.told(revision, self.weights)
        return True

    def listed(self, mode: int, raw: list[dict[str, Any]]) -> None:
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
        self.weigh(resolve(self.weights, self.entries.values()) if self.weights else {})
