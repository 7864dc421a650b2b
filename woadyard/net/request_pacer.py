"""Paces the requests of one connection that are answered at once, for the sake of all other connections.

A request that an endpoint serves takes its time there; one that is rejected takes only this process's
own, and a client that sends such requests without a pause would have all of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# After so many immediate responses a connection pauses for this long, which bounds them to 400 a second.
MAX_IMMEDIATE_RESPONSES, PAUSE_S = 4, 0.01
# Read at once while a head is expected, and parsed beyond the request being served: a few dozen requests.
MAX_HEAD_READ_BYTES, MAX_READ_AHEAD_BYTES = 4 * 1024, 8 * 1024


class RequestPacer:
    """Counts the immediate responses of one connection; `on_resume` is called when a pause ends."""

    __slots__ = ("immediate_responses", "loop", "timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.immediate_responses = 0  # since the last pause, or the last response that was not immediate
        self.timer: asyncio.TimerHandle | None = None  # runs during a pause

    @property
    def is_paused(self) -> bool:
        return self.timer is not None

    def response_sent(self, is_immediate: bool, on_resume: Callable[[], None]) -> None:
        """Count a response, and pause if there were too many immediate ones."""
        self.immediate_responses = self.immediate_responses + 1 if is_immediate else 0
        if self.immediate_responses >= MAX_IMMEDIATE_RESPONSES and self.timer is None:
            self.timer = self.loop.call_later(PAUSE_S, self._resume, on_resume)

    def close(self) -> None:
        """End the pause for good."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _resume(self, on_resume: Callable[[], None]) -> None:
        self.timer, self.immediate_responses = None, 0
        on_resume()
