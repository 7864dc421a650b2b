"""Counts a sidecar's requests for an experiment by assigned arm, request class and time slot.

The counts are cumulative and are sent again until the service has acknowledged them as durable, so
that lost, repeated or reordered reports do not change the totals. Pure: no I/O; times are in µs.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

import msgspec

from woadyard.experiment.messages import MAX_ROWS, Directive, Evidence, Row
from woadyard.interface import Arrival, Outcome, Send, Settings

FAILED_STATUS = 500  # this status and above count as failures
# Returns the index of the arm that the balancer assigns to a request; None if there is none.
AssignArm = Callable[[Arrival], int | None]
ListCallback = Callable[[int, list[dict[str, Any]]], None]


@dataclass(slots=True)
class SlotCounts:
    """Counts of one arm, request class and time slot.

    `first_report` is the number of the first report with the current counts, 0 if there is none yet.
    """

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
    """Observer of the driver that counts requests by arm.

    `report` is called once for each audit report, which are numbered from 1, and
    `reports_acknowledged` with the numbers of the reports that the service has made durable.
    """

    def __init__(
        self, assign_arm: AssignArm, zone: str = "", on_list_applied: ListCallback = lambda mode, raw: None
    ) -> None:
        self.assign_arm, self.zone, self.on_list_applied = assign_arm, zone, on_list_applied
        self.directive: Directive | None = None  # None: counting is off
        self.settings: Settings | None = None
        self.slot_counts: dict[tuple[int, int, int, int], SlotCounts] = {}  # by revision, slot, arm, class
        # Slot key and time of arrival by request.
        self.open_requests: dict[int, tuple[tuple[int, int, int, int], int]] = {}
        self.report_number = self.last_slot_number = self.dropped = 0

    def set_directive(self, directive: Directive | None) -> None:
        """Count new requests under this directive; those in flight stay with theirs."""
        is_counted = directive is not None and directive.arms and directive.serve is None
        self.directive = directive if is_counted else None

    # --- Events from the driver -------------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        in_force = self.directive
        if in_force is None or (arm := self.assign_arm(event)) is None:
            return
        key = in_force.revision, now // (in_force.slot_ms * 1000), arm, event.cls
        counts = self._find_or_add_slot(key, in_force)
        if counts is None:
            self.dropped += 1
            return
        counts.assigned += 1
        counts.first_report = 0
        self.open_requests[event.request] = key, now

    def request_answered(self, now: int, request: int, status: int) -> None:
        open_request = self.open_requests.pop(request, None)
        if open_request is None or self.settings is None:
            return
        key, arrived_us = open_request
        counts = self.slot_counts.get(key)
        if counts is None:
            return  # the slot was removed
        aim_us = self.settings.classes[key[3]].aim_us
        failed, slow = status >= FAILED_STATUS, now - arrived_us > aim_us
        counts.completed += 1
        counts.good += not failed and not slow and status != 0
        counts.failed += failed
        counts.slow += slow
        counts.first_report = 0

    def _find_or_add_slot(self, key: tuple[int, int, int, int], directive: Directive) -> SlotCounts | None:
        counts = self.slot_counts.get(key)
        if counts is None and len(self.slot_counts) < MAX_ROWS:
            self.last_slot_number += 1
            cls = str(key[3])
            started_us = key[1] * directive.slot_ms * 1000
            counts = self.slot_counts[key] = SlotCounts(
                self.last_slot_number, directive.revision, started_us, directive.arms[key[2]].name, cls
            )
        return counts

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
        """Return the evidence for the next report; None if nothing was counted."""
        self.report_number += 1
        if not self.slot_counts:
            return None
        for counts in self.slot_counts.values():
            counts.first_report = counts.first_report or self.report_number
        rows = [counts.row(now) for counts in self.slot_counts.values()]
        evidence = Evidence(min(row.k for row in rows), rows, self.zone, self.dropped)
        raw: dict[str, Any] = msgspec.to_builtins(evidence)
        return raw

    def reports_acknowledged(self, numbers: Collection[int]) -> None:
        """Remove the slots that have ended and whose final counts the service has made durable."""
        latest = max(numbers, default=0)
        busy = {key for key, _ in self.open_requests.values()}
        newest = max((key[1] for key in self.slot_counts), default=0)
        for key, counts in list(self.slot_counts.items()):
            if 0 < counts.first_report <= latest and key not in busy and key[1] < newest:
                del self.slot_counts[key]
