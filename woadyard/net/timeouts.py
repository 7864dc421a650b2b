"""Timeouts of client connections."""

from __future__ import annotations

from dataclasses import dataclass

from woadyard.policy.response_relay import MAX_SILENCE_US


@dataclass(slots=True)
class Timeouts:
    """Durations in seconds."""

    # For a whole request, from the connection's start or the request's first byte. Anyone
    # may connect; a connection without a request has to be closed within 3 s.
    request_s: float = 2.5
    # After that, `MIN_BODY_PROGRESS_BYTES` of the body have to arrive in each such interval.
    body_s: float = 1.5
    # Where less arrived, a body may pause for this long: peers that stop are owed an error within 3 s.
    body_pause_s: float = 2.25
    # An endpoint that takes nothing of a body for this long has failed.
    upload_stall_s: float = MAX_SILENCE_US / 1e6
    # A client may take nothing of its responses for this long. At 64 kB a second its system tells
    # of what it has taken about every 12 s.
    stall_s: float = 20.0
    # For an idle connection between requests: clients reuse theirs well within this time.
    idle_s: float = 5.0
    # At the socket limit, connections whose request has been awaited for this long are closed
    # first: no connection may be closed sooner.
    overload_request_s: float = 2.0
    # For a rejected connection to read its 4xx before it is aborted.
    linger_s: float = 1.0
    # The same at the socket limit.
    overload_linger_s: float = 0.1


# Clients send 64 kB per second.
MIN_BODY_PROGRESS_BYTES = 16 * 1024
# For a streamed body to arrive; the request's own deadline runs from its last byte.
MAX_UPLOAD_US = 900_000_000
