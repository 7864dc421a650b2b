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

FAILED = 500  # this status and those above
# The arm (its index) that a request is assigned to, as the module draws it; None: none.
Assigned = Callable[[Arrival], int | None]
Lists = Callable[[int, list[dict[str, Any]]], None]


@dataclass(slots=True)
class Cell:
    """Sums of one arm, class and slot. `told` is the first report with the present ones, 0: none."""

    k: int
    revision: int
    began: int
    arm: str
    cls: str
    tried: int = 0
    good: int = 0
    failed: int = 0
    slow: int = 0
    drawn: int = 0
    told: int = 0

    def row(self, now: int) -> Row:
        age_ms = max(now - self.began, 0) // 1000
        sums = self.tried, self.good, self.failed, self.slow, self.drawn
        return Row(self.k, self.revision, age_ms, self.arm, self.cls, *sums)


class EvidenceCounts:
    """An observer of the driver. `report` is called once for each report of the audit, which are
    numbered from 1, and `acked` with the numbers that the service has for good."""

    def __init__(self, assigned: Assigned, zone: str = "", lists: Lists = lambda mode, raw: None) -> None:
        self.assigned, self.zone, self.lists = assigned, zone, lists
        self.directive: Directive | None = None  # None: nothing is counted
        self.settings: Settings | None = None
        self.cells: dict[tuple[int, int, int, int], Cell] = {}  # by revision, slot, arm, class
        self.open: dict[int, tuple[tuple[int, int, int, int], int]] = {}  # by request: cell, since
        self.n = self.k = self.dropped = 0

    def follow(self, directive: Directive | None) -> None:
        """From now on requests are counted by this one; those under way stay with theirs."""
        counts = directive is not None and directive.arms and directive.serve is None
        self.directive = directive if counts else None

    # --- What the driver tells --------------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        told = self.directive
        if told is None or (arm := self.assigned(event)) is None:
            return
        key = told.revision, now // (told.slot_ms * 1000), arm, event.cls
        cell = self._cell(key, told)
        if cell is None:
            self.dropped += 1
            return
        cell.drawn += 1
        cell.told = 0
        self.open[event.request] = key, now

    def request_answered(self, now: int, request: int, status: int) -> None:
        found = self.open.pop(request, None)
        if found is None or self.settings is None:
            return
        key, since = found
        cell = self.cells.get(key)
        if cell is None:
            return  # its directive is long gone
        aim_us = self.settings.classes[key[3]].aim_us
        failed, slow = status >= FAILED, now - since > aim_us
        cell.tried += 1
        cell.good += not failed and not slow and status != 0
        cell.failed += failed
        cell.slow += slow
        cell.told = 0

    def _cell(self, key: tuple[int, int, int, int], told: Directive) -> Cell | None:
        cell = self.cells.get(key)
        if cell is None and len(self.cells) < ROWS_MOST:
            self.k += 1
            cls = str(key[3])
            began = key[1] * told.slot_ms * 1000
            cell = self.cells[key] = Cell(self.k, told.revision, began, told.arms[key[2]].name, cls)
        return cell

    def attempt_started(self, now: int, action: Send) -> bytes:
        return b""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        pass

    def request_refused(self, now: int, request: int) -> None:
        pass

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self.lists(mode, raw)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self.settings = settings

    # --- Reports ----------------------------------------------------------------------

    def report(self, now: int) -> dict[str, Any] | None:
        """What goes with the next report; None where there is nothing to tell."""
        self.n += 1
        if not self.cells:
            return None
        for cell in self.cells.values():
            cell.told = cell.told or self.n
        rows = [cell.row(now) for cell in self.cells.values()]
        told = Evidence(min(row.k for row in rows), rows, self.zone, self.dropped)
        raw: dict[str, Any] = msgspec.to_builtins(told)
        return raw

    def acked(self, numbers: Collection[int]) -> None:
        """Cells that are over, all of them with the service for good, go."""
        latest = max(numbers, default=0)
        busy = {key for key, _ in self.open.values()}
        newest = max((key[1] for key in self.cells), default=0)
        for key, cell in list(self.cells.items()):
            if 0 < cell.told <= latest and key not in busy and key[1] < newest:
                del self.cells[key]
