"""Assigns the listed endpoints to the arms of an experiment and passes the split to the balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash

from woadyard.experiment.messages import Directive
from woadyard.interface import LIST_DELTA, LIST_FAILED, Arrival, Split
from woadyard.net.state import endpoint_number
from woadyard.policy import assign_arm


class ExperimentArms:
    """Derives the split from the directive and the current list of endpoints.

    `apply_split` is called with each new split, or with None when there is no experiment.
    """

    def __init__(self, apply_split: Callable[[Split | None], None]) -> None:
        self.apply_split = apply_split
        self.directive: Directive | None = None
        self.split: Split | None = None
        self.entries: dict[int, dict[str, Any]] = {}  # raw list entries by endpoint number

    def follow_directive(self, directive: Directive | None) -> None:
        """Replace the directive; None ends the experiment."""
        self.directive = directive
        self._apply()

    def assigned_arm(self, event: Arrival) -> int | None:
        """The arm that a request is assigned to; None without an experiment."""
        return None if self.split is None else assign_arm(self.split, event.affinity, event.request)

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list of endpoints was applied."""
        if mode == LIST_FAILED:
            return
        if mode != LIST_DELTA:
            self.entries = {}
        for entry in raw:
            number = endpoint_number(entry["instanceId"])
            if entry["lifecycle"] == "gone":
                self.entries.pop(number, None)
            else:
                self.entries[number] = entry
        if self.directive is not None:
            self._apply()

    def _apply(self) -> None:
        experiment = self.directive
        if experiment is None:
            if self.split is not None:
                self.split = None
                self.apply_split(None)
            return
        names = [arm.name for arm in experiment.arms]
        arm_by_endpoint: dict[int, int] = {}
        for number, entry in self.entries.items():
            arm_index = next(
                (index for index, candidate in enumerate(experiment.arms) if candidate.match.matches(entry)),
                None,
            )
            if arm_index is not None:
                arm_by_endpoint[number] = arm_index
        shares = tuple(arm.share for arm in experiment.arms)
        if experiment.serve is not None:
            shares = tuple(float(name == experiment.serve) for name in names)
        salt = xxhash.xxh3_64_intdigest(experiment.salt.encode())
        self.split = Split(
            experiment.revision, salt, shares, names.index(experiment.control), arm_by_endpoint
        )
        self.apply_split(self.split)
