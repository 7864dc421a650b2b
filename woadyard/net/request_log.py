"""Log lines on requests, attempts and client connections that did not end well, by request id.

Each kind of line is an event of its own, so that one that is frequent leaves the others their rate.
"""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Any

from woadyard.interface import OK
from woadyard.net.message import Attempt, Call
from woadyard.ops.metrics import OUTCOMES

LOG = logging.getLogger(__name__)


class FailureReason(StrEnum):
    """Why a request ended without a response of an endpoint, besides the reasons of the balancer."""

    DEADLINE = "its deadline has passed"
    PROCESS_EXIT = "the process is about to end"
    FAULT = "a fault of the balancer"
    CLIENT_LEFT = "its client has disconnected"


class CloseReason(StrEnum):
    """Why a client connection is closed."""

    CLIENT_LEFT = "the client has disconnected"
    REQUEST_TIMEOUT = "the request did not arrive in time"
    LAST_RESPONSE = "the response was the last one"
    SOCKET_LIMIT = "the socket limit is reached"
    IDLE = "idle for too long"
    SHUTDOWN = "the process is shutting down"
    STALLED = "the client does not read, or does not close"
    CUT_SHORT = "a streamed response ended before its end"


# Closing for these reasons is part of the ordinary life of a connection that serves no request.
ORDINARY_CLOSES = frozenset(
    (CloseReason.CLIENT_LEFT, CloseReason.IDLE, CloseReason.LAST_RESPONSE, CloseReason.SHUTDOWN)
)


def log_attempt_ended(attempt: Attempt, outcome: int, address: str, now: int) -> None:
    """Log an attempt that was not served, and how much of its response had arrived by now (µs)."""
    if outcome == OK or not LOG.isEnabledFor(logging.INFO):
        return
    progress = attempt.progress
    fields: dict[str, Any] = {
        **_request_fields(attempt.call),
        "attempt": attempt.index,
        "endpoint": address,
        "after_ms": (now - attempt.sent_us) // 1000,
        "written": attempt.was_written,
    }
    if progress.status:
        framing = "chunked" if progress.is_chunked else "length" if progress.length is not None else "close"
        fields |= {
            "status": progress.status,
            "framing": framing,
            "streamed": progress.is_streamed,
            "body_bytes": progress.body_bytes,
            "quiet_ms": (now - (progress.last_part_us or progress.head_us)) // 1000,
        }
    LOG.info(f"attempt ended: {OUTCOMES[outcome]}", extra=fields)


def log_attempt_repeated(attempt: Attempt, address: str) -> None:
    """Log an attempt that is not the first of its request."""
    outcome = attempt.call.attempts[attempt.index - 1].outcome
    after = "in flight" if outcome is None else OUTCOMES[outcome]
    fields = {**_request_fields(attempt.call), "attempt": attempt.index, "endpoint": address, "after": after}
    LOG.info("request attempted again", extra=fields)


def log_request_ended(call: Call, status: int, reason: str) -> None:
    """Log a request that gets this status, or 0 for none, in place of an endpoint's response."""
    fields = {**_request_fields(call), "status": status, "why": reason, "attempts": len(call.attempts)}
    LOG.info("request refused" if status == 503 else "request failed", extra=fields)


def log_connection_closed(call: Call | None, reason: CloseReason) -> None:
    """Log that a client connection is closed, with the request that it serves, if any."""
    level = logging.DEBUG if reason in ORDINARY_CLOSES and call is None else logging.INFO
    if LOG.isEnabledFor(level):
        fields = _request_fields(call) if call is not None else {}
        LOG.log(level, "client connection closed", extra={**fields, "why": reason})


def _request_fields(call: Call) -> dict[str, Any]:
    path = call.method_and_target.partition(b"/")[2].partition(b"?")[0]
    return {
        "request": call.request_id.decode("latin-1"),
        "class": path.partition(b"/")[0].decode("latin-1"),
    }
