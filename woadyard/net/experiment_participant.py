"""What a sidecar does of an experiment: follows its directive, and holds when cut off.

Pure: times are the caller's µs. With no word of the service for the directive's `hold_ms` it sends
all to the control arm and counts nothing, by itself, until it is told again: a decision may have
been made that it can't know of.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from woadyard.experiment.messages import Directive, read_directive
from woadyard.net.experiment_counts import ExperimentCounts

# Puts the arms in force by which the module chooses from now on; None: no experiment.
ApplySplit = Callable[[Directive | None], None]


class ExperimentParticipant:
    """`revision` is the one acted on; 0 with none, and while it holds."""

    def __init__(self, counts: ExperimentCounts, split: ApplySplit, now: int) -> None:
        self.counts, self.apply_split = counts, split
        self.directive: Directive | None = None
        self.revision = 0
        self.last_response_us = now
        self.on_hold: Callable[[], None] = lambda: None  # it begins to hold

    def apply_directive(self, raw: Any, now: int) -> int:
        """A directive of the service; PeerError, and nothing changed, where it is none."""
        told = read_directive(raw)
        self.last_response_us = now
        self.directive = told if told.arms else None
        self._apply(self.directive)
        self.revision = told.revision
        return self.revision

    def service_responded(self, now: int) -> None:
        """The service answered."""
        self.last_response_us = now

    def hold_deadline_us(self) -> int | None:
        """When it holds if nothing is heard; None where there is nothing to hold."""
        if self.directive is None or not self.revision:
            return None
        return self.last_response_us + self.directive.hold_ms * 1000

    def hold_if_overdue(self, now: int) -> bool:
        """True where it begins to hold now."""
        due = self.hold_deadline_us()
        if due is None or now < due or self.directive is None:
            return False
        self._apply(msgspec.structs.replace(self.directive, serve=self.directive.control))
        self.revision = 0
        self.on_hold()
        return True

    def _apply(self, directive: Directive | None) -> None:
        self.counts.set_directive(directive)
        self.apply_split(directive)
