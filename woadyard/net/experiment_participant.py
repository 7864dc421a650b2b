"""A sidecar's part in an experiment: applies the directive, and holds when cut off from the service.

Without a response from the service for the directive's `hold_ms` it sends all requests to the
control arm and counts none of them, until it receives a directive again: the experiment may have been
decided in the meantime. Pure: times are µs of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from woadyard.experiment.messages import Directive, read_directive
from woadyard.net.experiment_counts import ExperimentCounts

# Puts a directive in force in the balancer; None ends the experiment.
ApplySplit = Callable[[Directive | None], None]


class ExperimentParticipant:
    """Applies the directives of experiments; `revision` is the one in force, 0 with none and on hold."""

    def __init__(self, counts: ExperimentCounts, apply_split: ApplySplit, now: int) -> None:
        self.counts, self.apply_split = counts, apply_split
        self.directive: Directive | None = None
        self.revision = 0
        self.last_response_us = now
        self.on_hold: Callable[[], None] = lambda: None  # called when the hold begins

    def apply_directive(self, raw: Any, now: int) -> int:
        """Put a directive of the service in force and return its revision.

        Raises PeerError, with nothing changed, if it is invalid.
        """
        received = read_directive(raw)
        self.last_response_us = now
        self.directive = received if received.arms else None
        self._apply(self.directive)
        self.revision = received.revision
        return self.revision

    def service_responded(self, now: int) -> None:
        """Record a response of the service, which postpones the hold."""
        self.last_response_us = now

    def hold_deadline_us(self) -> int | None:
        """Return when the hold begins without a further response; None if there is nothing to hold."""
        if self.directive is None or not self.revision:
            return None
        return self.last_response_us + self.directive.hold_ms * 1000

    def hold_if_overdue(self, now: int) -> bool:
        """Begin to hold if the deadline has passed; True if the hold begins now."""
        deadline_us = self.hold_deadline_us()
        if deadline_us is None or now < deadline_us or self.directive is None:
            return False
        self._apply(msgspec.structs.replace(self.directive, serve=self.directive.control))
        self.revision = 0
        self.on_hold()
        return True

    def _apply(self, directive: Directive | None) -> None:
        self.counts.set_directive(directive)
        self.apply_split(directive)
