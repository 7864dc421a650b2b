"""The JSON body of the list service's error responses, for the service and its clients."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """`writer` (HOST:PORT) is the leader that the call should be sent to, if another process is."""

    error: str
    remedy: str = ""
    writer: str | None = None


def read_error_body(body: bytes) -> ErrorBody:
    """Decode the body of a response other than 200; if it is not an error body, quote it as the error."""
    try:
        return msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ErrorBody(body[:200].decode(errors="replace").strip())
