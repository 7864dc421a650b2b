"""Interfaces to observe the driver, for the audit, recordings and evidence of an experiment.

The driver has at most one `Observer`; `ObserverGroup` combines several. The methods are called on
the event loop as each event happens, and must neither block nor raise. Times are the driver's, in µs.
"""

from __future__ import annotations

from typing import Any, Protocol

from woadyard.interface import Arrival, Outcome, Send, Settings


class Observer(Protocol):
    """Receives every request, attempt, list and settings change of the driver."""

    def request_accepted(self, now: int, event: Arrival) -> None:
        """A request was accepted."""

    def attempt_started(self, now: int, action: Send) -> bytes:
        """An attempt starts; returns header lines to add to it, each with its CRLF, or none."""

    def attempt_ended(self, now: int, event: Outcome) -> None:
        """An attempt ended."""

    def request_answered(self, now: int, request: int, status: int) -> None:
        """The request has its final response (status 0: the client disconnected)."""

    def request_refused(self, now: int, request: int) -> None:
        """The balancer rejected the request; `request_answered` follows."""

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        """A list of endpoints was applied."""

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        """Settings were applied, also once at the start."""


class ListListener(Protocol):
    """Receives only the lists, each after the balancer."""

    def list_applied(self, mode: int, raw: list[dict[str, Any]]) -> None:
        """A list of endpoints was applied."""


class ObserverGroup:
    """Combines several observers; they are called in order."""

    def __init__(self, *members: Observer) -> None:
        self.observers = members

    def request_accepted(self, now: int, event: Arrival) -> None:
        for observer in self.observers:
            observer.request_accepted(now, event)

    def attempt_started(self, now: int, action: Send) -> bytes:
        return b"".join([observer.attempt_started(now, action) for observer in self.observers])

    def attempt_ended(self, now: int, event: Outcome) -> None:
        for observer in self.observers:
            observer.attempt_ended(now, event)

    def request_answered(self, now: int, request: int, status: int) -> None:
        for observer in self.observers:
            observer.request_answered(now, request, status)

    def request_refused(self, now: int, request: int) -> None:
        for observer in self.observers:
            observer.request_refused(now, request)

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        for observer in self.observers:
            observer.list_applied(now, mode, version, raw)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        for observer in self.observers:
            observer.settings_applied(now, settings, raw)
