"""Since when a client may have written the last byte of a streamed body.

Its deadline runs from that byte, which the sidecar reads late where the endpoint accepts the body
slowly: what the client has written waits in the buffers of both systems.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from woadyard.net.event_dispatcher import now_us
from woadyard.net.request_parser import RequestParser
from woadyard.net.socket_buffers import max_unread_bytes, unread_bytes

# How often the socket is looked at during an upload.
CHECK_INTERVAL_S = 0.05


@dataclass(slots=True, frozen=True)
class Sample:
    """How much of the body had been read at a time (µs)."""

    now_us: int
    body_size: int


class UploadClock:
    """Keeps how much was read when, for as long as the client was ahead of this process.

    `max_unread_bytes` is how much of the body the client may have written and this process not read.
    """

    def __init__(self, max_unread_bytes: int) -> None:
        self.max_unread_bytes = max_unread_bytes
        self.samples: deque[Sample] = deque()

    def observe(self, now_us: int, body_size: int, has_unread: bool, length: int | None) -> None:
        """Record how much was read, of `length` if that is known, and whether more waits in the socket."""
        if not has_unread:
            self.samples.clear()  # the client has not written more
            return
        self.samples.append(Sample(now_us, body_size))
        # Had the client written the last byte by then, it would have been read by now, or more
        # would have waited than can.
        end = body_size if length is None else max(body_size, length)
        while self.samples and end - self.samples[0].body_size > self.max_unread_bytes:
            self.samples.popleft()

    def may_be_complete_since_us(self, now_us: int) -> int:
        """Return the earliest time at which the client may have written the last byte."""
        return self.samples[0].now_us if self.samples else now_us


class UploadDeadline:
    """Ends an upload whose client may have waited for its whole time, though its body is not read yet.

    `is_pending` tells whether the upload still goes on, `on_overdue` ends it.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        parser: RequestParser,
        timeout_us: int,
        is_pending: Callable[[], bool],
        on_overdue: Callable[[], None],
    ) -> None:
        self.transport, self.parser, self.timeout_us = transport, parser, timeout_us
        self.is_pending, self.on_overdue = is_pending, on_overdue
        self.clock = UploadClock(max_unread_bytes(transport.get_extra_info("socket")))

    def expires_us(self, now: int) -> int:
        """Return the earliest time at which the client's time may be over, on the driver's clock."""
        return self.clock.may_be_complete_since_us(now) + self.timeout_us

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Look at the socket periodically from now on."""
        loop.call_later(CHECK_INTERVAL_S, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self.is_pending():
            return
        now, has_unread = now_us(), unread_bytes(self.transport) > 0
        self.clock.observe(now, self.parser.body_size, has_unread, self.parser.content_length)
        if now >= self.expires_us(now):
            self.on_overdue()
        else:
            self.start(loop)
