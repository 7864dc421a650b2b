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
from woadyard.net.evidence import EvidenceCounts

# Puts the arms in force by which the module chooses from now on; None: no experiment.
Split = Callable[[Directive | None], None]


class Trials:
    """`revision` is the one acted on; 0 with none, and while it holds."""

    def __init__(self, counts: EvidenceCounts, split: Split, now: int) -> None:
        self.counts, self.split = counts, split
        self.directive: Directive | None = None
        self.revision = 0
        self.heard_at = now
        self.held: Callable[[], None] = lambda: None  # it begins to hold

    def follow(self, raw: Any, now: int) -> int:
        """A directive of the service; PeerError, and nothing changed, where it is none."""
        told = read_directive(raw)
        self.heard_at = now
        self.directive = told if told.arms else None
        self._act(self.directive)
        self.revision = told.revision
        return self.revision

    def heard(self, now: int) -> None:
        """The service answered."""
        self.heard_at = now

    def due(self) -> int | None:
        """When it holds if nothing is heard; None where there is nothing to hold."""
        if self.directive is None or not self.revision:
            return None
        return self.heard_at + self.directive.hold_ms * 1000

    def look(self, now: int) -> bool:
        """True where it begins to hold now."""
        due = self.due()
        if due is None or now < due or self.directive is None:
            return False
        self._act(msgspec.structs.replace(self.directive, serve=self.directive.control))
        self.revision = 0
        self.held()
        return True

    def _act(self, directive: Directive | None) -> None:
        self.counts.follow(directive)
        self.split(directive)
