"""Checks of the endpoint lists that discovery sends, before they are applied."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

# Applies one list (version, whether it is whole, entries); raises PeerError if the list is invalid.
ListHandler = Callable[[int, bool, list[dict[str, Any]]], None]
