"""Since when a client may have written the last byte of a streamed body.

Its deadline runs from that byte, which the sidecar reads late where the endpoint accepts the body
slowly: what the client has written waits in the buffers of both systems.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# How often the socket is looked at during an upload.
CHECK_INTERVAL_S = 0.05
# What a client may have written and this process not read: the largest buffers that Linux gives a
# sender and a receiver by default.
MAX_UNREAD_BYTES = 4 * 1024 * 1024 + 512 * 1024


@dataclass(slots=True, frozen=True)
class Sample:
    """How much of the body had been read at a time (µs)."""

    now_us: int
    body_size: int


class UploadClock:
    """Keeps how much was read when, for as long as the client was ahead of this process."""

    def __init__(self) -> None:
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
        while self.samples and end - self.samples[0].body_size > MAX_UNREAD_BYTES:
            self.samples.popleft()

    def may_be_complete_since_us(self, now_us: int) -> int:
        """Return the earliest time at which the client may have written the last byte."""
        return self.samples[0].now_us if self.samples else now_us
