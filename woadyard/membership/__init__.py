"""Which endpoints there are, where the list itself may be wrong."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

# Takes one list (version, whether it is whole, entries); PeerError if it is bad.
ListHandler = Callable[[int, bool, list[dict[str, Any]]], None]
