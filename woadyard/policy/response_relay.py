"""When a response without a length is passed on before its end, and when one that was is given up.

Whether such a response is long is known only once it is. A long one is in time by its first byte and must
not be cut off while its endpoint may go on with it, after whatever pauses; a short one has to be whole by
its deadline. Times are in µs of one clock.
"""

from dataclasses import dataclass

# Responses over this size are timed by their first byte.
LONG_BODY_BYTES = 64 * 1024
# How long a response is kept, which allows another attempt should it break off.
MAX_HOLD_US = 200_000
# How long before the deadline the beginning of a response is passed on.
RELAY_LEAD_US = 25_000
# After its deadline a response may come for half a second; the rest is a margin for delays.
LATE_RESPONSE_US = 400_000
# An endpoint may hang for 25 s in the middle of its work and go on; the rest is a margin for delays.
MAX_SILENCE_US = 30_000_000
# The largest bodies have 32 MB, which a client takes at 64 kB a second; the rest is for hangs.
MAX_RESPONSE_US = 900_000_000  # after its head


@dataclass(slots=True)
class ResponseProgress:
    """What has arrived of the response to an attempt; a time of 0 means not yet."""

    status: int = 0  # 0 until the head is complete
    length: int | None = None  # of the body, where the head tells it
    is_chunked: bool = False
    is_streamed: bool = False  # passed on to the client as it comes
    is_reading_paused: bool = False  # the client does not take what has come
    body_bytes: int = 0
    head_us: int = 0
    last_part_us: int = 0  # of the body
    resumed_us: int = 0  # when reading was last resumed after a pause

    @property
    def has_unknown_length(self) -> bool:
        """Whether it is a response to pass on whose size its head does not tell."""
        return self.status == 200 and self.length is None

    @property
    def is_long(self) -> bool:
        """Whether it is known to be long by now."""
        return max(self.length or 0, self.body_bytes) > LONG_BODY_BYTES

    def silent_since_us(self, now: int) -> int:
        """Return since when the endpoint has given nothing, though it could have."""
        if self.is_reading_paused:
            return now
        return max(self.head_us, self.last_part_us, self.resumed_us)


def relay_due_us(progress: ResponseProgress, expires_us: int) -> int:
    """Return from when on a response without a length is passed on, if it is not whole by then."""
    return min(progress.head_us + MAX_HOLD_US, expires_us - RELAY_LEAD_US)


def give_up_due_us(progress: ResponseProgress, expires_us: int, now: int) -> int:
    """Return when a response that is passed on is given up, unless more of it arrives until then.

    One that may be long may be late, and is waited for while its endpoint may hang and go on.
    """
    late_us = expires_us + LATE_RESPONSE_US
    if progress.length is not None and not progress.is_long:
        return late_us
    silence_end_us = progress.silent_since_us(now) + MAX_SILENCE_US
    return max(late_us, min(silence_end_us, progress.head_us + MAX_RESPONSE_US))
