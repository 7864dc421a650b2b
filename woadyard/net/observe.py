"""Those that watch what the driver does: the audit, a recording, evidence of an experiment.

The driver has one `Observer` or none. Each method is called on the loop, at the moment it tells
of, and must neither block nor fail; times are the driver's µs.
"""

from __future__ import annotations

from typing import Any, Protocol

from woadyard.interface import Arrival, Outcome, Send, Settings


class Observer(Protocol):
    def taken(self, now: int, event: Arrival) -> None:
        """A request was taken."""

    def sent(self, now: int, action: Send) -> bytes:
        """An attempt starts; returns header lines to add to it, each with its CRLF, or none."""

    def ended(self, now: int, event: Outcome) -> None:
        """An attempt ended."""

    def answered(self, now: int, request: int, status: int) -> None:
        """The request has its final answer (0: its caller left)."""

    def refused(self, now: int, request: int) -> None:
        """The module refused the request; `answered` follows."""

    def listed(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""

    def retuned(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        """Settings were put in force (first at the start)."""


class Listener(Protocol):
    """Told only of lists, once the module was."""

    def listed(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""


class Observers:
    """Several as one, told in their order."""

    def __init__(self, *all_: Observer) -> None:
        self.all = all_

    def taken(self, now: int, event: Arrival) -> None:
        for one in self.all:
            one.taken(now, event)

    def sent(self, now: int, action: Send) -> bytes:
        return b"".join([one.sent(now, action) for one in self.all])

    def ended(self, now: int, event: Outcome) -> None:
        for one in self.all:
            one.ended(now, event)

    def answered(self, now: int, request: int, status: int) -> None:
        for one in self.all:
            one.answered(now, request, status)

    def refused(self, now: int, request: int) -> None:
        for one in self.all:
            one.refused(now, request)

    def listed(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        for one in self.all:
            one.listed(now, mode, version, raw)

    def retuned(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        for one in self.all:
            one.retuned(now, settings, raw)
