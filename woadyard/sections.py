"""Parts of a configuration or of a peer's word, checked whole against a struct."""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

from woadyard.errors import ConfigError

T = TypeVar("T", bound=msgspec.Struct)


def read_section(raw: object, kind: type[T], name: str) -> T | None:
    """The section `name` of a configuration as a `kind`; None where it is absent (None).
    ConfigError says on one line what is wrong, and at which key."""
    if raw is None:
        return None
    try:
        return msgspec.convert(_finite(raw, name), kind)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        raise ConfigError(f"{name}{where.rstrip('`')}: {what}") from None


def _finite(raw: object, name: str) -> object:
    """JSON of Python's reader may hold numbers that no figure can be."""
    values: Any = raw.values() if isinstance(raw, dict) else raw if isinstance(raw, list) else ()
    if isinstance(raw, float) and not math.isfinite(raw):
        raise ConfigError(f"{name}: no number: {raw}")
    for value in values:
        _finite(value, name)
    return raw
