"""Bounds how long a client may take for a request: its head, and each part of its body."""

from __future__ import annotations

import asyncio
from typing import Protocol

from woadyard.net.request_parser import RequestParser
from woadyard.net.timeouts import MIN_BODY_PROGRESS_BYTES, Timeouts


class RequestReader(Protocol):
    """The connection whose request is awaited."""

    parser: RequestParser
    is_reading_paused: bool
    last_read_s: float  # on the event loop's clock

    def request_timed_out(self) -> None:
        """The request, or the next part of its body, did not arrive in time."""

    def upload_stalled(self) -> None:
        """The endpoint accepts nothing more of the body."""


class RequestTimer:
    """Runs while a request is awaited.

    Further bytes of a head do not extend it: a client that sends them one by one would never time
    out.
    """

    __slots__ = (
        "awaiting_since_s", "handle", "is_in_pause", "last_checked_size", "loop", "moved_s", "reader",
        "timeouts",
    )  # fmt: skip

    def __init__(self, loop: asyncio.AbstractEventLoop, timeouts: Timeouts, reader: RequestReader) -> None:
        self.loop, self.timeouts, self.reader = loop, timeouts, reader
        self.handle: asyncio.TimerHandle | None = None
        self.awaiting_since_s = 0.0  # on the event loop's clock, while it runs
        self.moved_s = 0.0  # when the endpoint was last seen not to hold up the body
        self.last_checked_size = 0  # of the body
        self.is_in_pause = False  # the last check let the body pause for longer

    @property
    def is_running(self) -> bool:
        return self.handle is not None

    def set_running(self, is_awaiting: bool) -> None:
        """Start the timer if a request is awaited and it does not run, or stop it."""
        if is_awaiting and self.handle is None:
            self.last_checked_size = 0
            self.awaiting_since_s = self.moved_s = self.loop.time()
            self.is_in_pause = False
            self.handle = self.loop.call_later(self.timeouts.request_s, self._check)
        elif not is_awaiting and self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def close(self) -> None:
        """Break the reference cycle with the connection."""
        self.set_running(False)
        del self.reader

    def _may_pause(self) -> bool:
        """Whether the client may be between two parts of a body of which enough came before."""
        if self.is_in_pause or not (self.reader.parser.in_body and self.last_checked_size):
            return False
        return self.loop.time() < self.reader.last_read_s + self.timeouts.body_pause_s

    def _check(self) -> None:
        self.handle = None
        parser, is_paused = self.reader.parser, self.reader.is_reading_paused
        new_bytes = parser.body_size - self.last_checked_size
        if not (parser.in_body and (is_paused or new_bytes >= MIN_BODY_PROGRESS_BYTES)):
            if self._may_pause():
                self.is_in_pause = True
                pause_end_s = self.reader.last_read_s + self.timeouts.body_pause_s
                self.handle = self.loop.call_at(pause_end_s, self._check)
            else:
                self.reader.request_timed_out()
            return
        self.is_in_pause = False
        # While reading is paused, the endpoint holds up the body, which is its own failure.
        now_s = self.loop.time()
        if new_bytes or not is_paused:
            self.moved_s = now_s
        self.last_checked_size = parser.body_size
        self.handle = self.loop.call_later(self.timeouts.body_s, self._check)
        if now_s >= self.moved_s + self.timeouts.upload_stall_s:
            self.reader.upload_stalled()
