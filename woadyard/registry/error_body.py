"""How the list service says no, in JSON; those who call it read it by the same struct."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """`writer` (HOST:PORT) is told where another process writes: the call belongs there."""

    error: str
    remedy: str = ""
    writer: str | None = None


def read_error_body(body: bytes) -> ErrorBody:
    """Of any answer that is not 200; one that is no refusal is quoted."""
    try:
        return msgspec.json.decode(body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ErrorBody(body[:200].decode(errors="replace").strip())
