"""The sidecar's counts for an experiment: by assigned arm, class and time. Pure, times in µs.

Sums grow and are told again until the service has them for good, so that no loss, repetition or
order of reports changes what is counted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

import msgspec

from woadyard.experiment.messages import ROWS_MOST, Directive, Evidence, Row
from woadyard.interface import Arrival, Outcome, Send, Settings

FAILED_STATUS = 500  # this status and those above
# The arm (its index) that a request is assigned to, as the module draws it; None: none.
AssignArm = Callable[[Arrival], int | None]
ListCallback = Callable[[int, list[dict[str, Any]]], None]


@dataclass(slots=True)
class SlotCounts:
    """Sums of one arm, class and slot. `told` is the first report with the present ones, 0: none."""

    number: int
    revision: int
    started_us: int
    arm: str
    cls: str
    completed: int = 0
    good: int = 0
    failed: int = 0
    slow: int = 0
    assigned: int = 0
    first_report: int = 0

    def row(self, now: int) -> Row:
        age_ms = max(now - self.started_us, 0) // 1000
        sums = self.completed, self.good, self.failed, self.slow, self.assigned
        return Row(self.number, self.revision, age_ms, self.arm, self.cls, *sums)


class ExperimentCounts:
    """An observer of the driver. `report` is called once for each report of the audit, which are
    numbered from 1, and `acked` with the numbers that the service has for good."""

    def __init__(
        self, assign_arm: AssignArm, zone: str = "", on_list_applied: ListCallback = lambda mode, raw: None
    ) -> None:
        self.assign_arm, self.zone, self.on_list_applied = assign_arm, zone, on_list_applied
        self.directive: Directive | None = None  # None: nothing is counted
        self.settings: Settings | None = None
        self.slot_counts: dict[tuple[int, int, int, int], SlotCounts] = {}  # by revision, slot, arm, class
        self.open_requests: dict[int, tuple[tuple[int, int, int, int], int]] = {}  # by request: cell, since
        self.report_number = self.last_slot_number = self.dropped = 0

    def set_directive(self, directive: Directive | None) -> None:
        """From now on requests are counted by this one; those under way stay with theirs."""
        counts = directive is not None and directive.arms and directive.serve is None
        self.directive = directive if counts else None

    # --- What the driver tells --------------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        told = self.directive
        if told is None or (arm := self.assign_arm(event)) is None:
            return
        key = told.revision, now // (told.slot_ms * 1000), arm, event.cls
        cell = self._find_or_add_slot(key, told)
        if cell is None:
            self.dropped += 1
            return
        cell.assigned += 1
        cell.first_report = 0
        self.open_requests[event.request] = key, now

    def request_answered(self, now: int, request: int, status: int) -> None:
        found = self.open_requests.pop(request, None)
        if found is None or self.settings is None:
            return
        key, since = found
        cell = self.slot_counts.get(key)
        if cell is None:
            return  # its directive is long gone
        aim_us = self.settings.classes[key[3]].aim_us
        failed, slow = status >= FAILED_STATUS, now - since > aim_us
        cell.completed += 1
        cell.good += not failed and not slow and status != 0
        cell.failed += failed
        cell.slow += slow
        cell.first_report = 0

    def _find_or_add_slot(self, key: tuple[int, int, int, int], told: Directive) -> SlotCounts | None:
        cell = self.slot_counts.get(key)
        if cell is None and len(self.slot_counts) < ROWS_MOST:
            self.last_slot_number += 1
            cls = str(key[3])
            began = key[1] * told.slot_ms * 1000
            cell = self.slot_counts[key] = SlotCounts(
                self.last_slot_number, told.revision, began, told.arms[key[2]].name, cls
            )
        return cell

    def attempt_started(self, now: int, action: Send) -> bytes:
        return b""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        pass

    def request_refused(self, now: int, request: int) -> None:
        pass

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self.on_list_applied(mode, raw)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self.settings = settings

    # --- Reports ----------------------------------------------------------------------

    def report(self, now: int) -> dict[str, Any] | None:
        """What goes with the next report; None where there is nothing to tell."""
        self.report_number += 1
        if not self.slot_counts:
            return None
        for cell in self.slot_counts.values():
            cell.first_report = cell.first_report or self.report_number
        rows = [cell.row(now) for cell in self.slot_counts.values()]
        told = Evidence(min(row.k for row in rows), rows, self.zone, self.dropped)
        raw: dict[str, Any] = msgspec.to_builtins(told)
        return raw

    def reports_acknowledged(self, numbers: Collection[int]) -> None:
        """Cells that are over, all of them with the service for good, go."""
        latest = max(numbers, default=0)
        busy = {key for key, _ in self.open_requests.values()}
        newest = max((key[1] for key in self.slot_counts), default=0)
        for key, cell in list(self.slot_counts.items()):
            if 0 < cell.first_report <= latest and key not in busy and key[1] < newest:
                del self.slot_counts[key]
