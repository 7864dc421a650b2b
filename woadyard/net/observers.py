"""Those that watch what the driver does: the audit, a recording, evidence of an experiment.

The driver has one `Observer` or none. Each method is called on the loop, at the moment it tells
of, and must neither block nor fail; times are the driver's µs.
"""

from __future__ import annotations

from typing import Any, Protocol

from woadyard.interface import Arrival, Outcome, Send, Settings


class Observer(Protocol):
    def request_accepted(self, now: int, event: Arrival) -> None:
        """A request was taken."""

    def attempt_started(self, now: int, action: Send) -> bytes:
        """An attempt starts; returns header lines to add to it, each with its CRLF, or none."""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        """An attempt ended."""

    def request_answered(self, now: int, request: int, status: int) -> None:
        """The request has its final answer (0: its caller left)."""

    def request_refused(self, now: int, request: int) -> None:
        """The module refused the request; `answered` follows."""

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        """Settings were put in force (first at the start)."""


class ListListener(Protocol):
    """Told only of lists, once the module was."""

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list was put to use."""


class ObserverGroup:
    """Several as one, told in their order."""

    def __init__(self, *all_: Observer) -> None:
        self.observers = all_

    def request_accepted(self, now: int, event: Arrival) -> None:
        for one in self.observers:
            one.request_accepted(now, event)

    def attempt_started(self, now: int, action: Send) -> bytes:
        return b"".join([one.attempt_started(now, action) for one in self.observers])

    def attempt_ended(self, now: int, event: Outcome) -> None:
        for one in self.observers:
            one.attempt_ended(now, event)

    def request_answered(self, now: int, request: int, status: int) -> None:
        for one in self.observers:
            one.request_answered(now, request, status)

    def request_refused(self, now: int, request: int) -> None:
        for one in self.observers:
            one.request_refused(now, request)

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        for one in self.observers:
            one.list_applied(now, mode, version, raw)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        for one in self.observers:
            one.settings_applied(now, settings, raw)
