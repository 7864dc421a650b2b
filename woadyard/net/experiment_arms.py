"""An experiment's arms at the sidecar: which listed endpoints are whose, told to the module."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash

from woadyard.experiment.messages import Directive
from woadyard.interface import LIST_DELTA, LIST_FAILED, Arrival, Split
from woadyard.net.state import endpoint_number
from woadyard.policy import assign_arm


class ExperimentArms:
    """Hears of lists and directives; `tell` puts a split in force at the module, None: none."""

    def __init__(self, tell: Callable[[Split | None], None]) -> None:
        self.apply_split = tell
        self.directive: Directive | None = None
        self.split: Split | None = None
        self.entries: dict[int, dict[str, Any]] = {}

    def follow_directive(self, directive: Directive | None) -> None:
        self.directive = directive
        self._apply()

    def assigned_arm(self, event: Arrival) -> int | None:
        return None if self.split is None else assign_arm(self.split, event.affinity, event.request)

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""
        if mode == LIST_FAILED:
            return
        if mode != LIST_DELTA:
            self.entries = {}
        for one in raw:
            number = endpoint_number(one["instanceId"])
            if one["lifecycle"] == "gone":
                self.entries.pop(number, None)
            else:
                self.entries[number] = one
        if self.directive is not None:
            self._apply()

    def _apply(self) -> None:
        told = self.directive
        if told is None:
            if self.split is not None:
                self.split = None
                self.apply_split(None)
            return
        names = [arm.name for arm in told.arms]
        found: dict[int, int] = {}
        for number, entry in self.entries.items():
            arm = next((index for index, one in enumerate(told.arms) if one.match.of(entry)), None)
            if arm is not None:
                found[number] = arm
        shares = tuple(arm.share for arm in told.arms)
        if told.serve is not None:
            shares = tuple(float(name == told.serve) for name in names)
        salt = xxhash.xxh3_64_intdigest(told.salt.encode())
        self.split = Split(told.revision, salt, shares, names.index(told.control), found)
        self.apply_split(self.split)
