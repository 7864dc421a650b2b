"""Reads one section of a configuration into a struct and checks it as a whole."""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

from woadyard.errors import ConfigError

T = TypeVar("T", bound=msgspec.Struct)


def read_section(raw: object, struct_type: type[T], name: str) -> T | None:
    """Convert the configuration section `name` to `struct_type`; None if it is absent (None).

    Raises ConfigError with one line that names the invalid key.
    """
    if raw is None:
        return None
    try:
        return msgspec.convert(_require_finite(raw, name), struct_type)
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(" - at `$")
        raise ConfigError(f"{name}{location.rstrip('`')}: {problem}") from None


def _require_finite(raw: object, name: str) -> object:
    """Return `raw`; ConfigError if it contains NaN or an infinity, which Python's JSON reader accepts."""
    values: Any = raw.values() if isinstance(raw, dict) else raw if isinstance(raw, list) else ()
    if isinstance(raw, float) and not math.isfinite(raw):
        raise ConfigError(f"{name}: must be a finite number, got {raw}")
    for value in values:
        _require_finite(value, name)
    return raw
