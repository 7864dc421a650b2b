"""Numbers of the names that travel on the sockets, and the settings in force."""

from __future__ import annotations

from dataclasses import replace
from math import nan
from typing import Any

from woadyard.interface import (
    BUSY,
    ERROR_RATE,
    HELD,
    KEYED,
    LATENCY_MS,
    SERVED_RATE,
    WAITING,
    Locality,
    RequestClass,
    Settings,
)

# Load-report names on the socket; those of the settings may differ.
REPORT_FIELD_NAMES = {
    "inflight": HELD,
    "queue": WAITING,
    "util": BUSY,
    "latency_ms": LATENCY_MS,
    "qps": SERVED_RATE,
    "eps": ERROR_RATE,
}


class NameIndex:
    """Numbers of the names that travel on the sockets."""

    def __init__(self, raw: dict[str, Any], settings: Settings, classes: dict[str, int]) -> None:
        self.classes = classes  # those in force; calls under way may be of others
        self.tenants = {str(entry["name"]): n for n, entry in enumerate(raw.get("accounts", ()))}
        self.zones = {str(name): n for n, name in enumerate(raw.get("zones", ()))}
        self.machine_types = {str(name): n for n, name in enumerate(raw.get("kinds", ()))}
        self.needs_idempotency_key = [cls.effect == KEYED for cls in settings.classes]
        self.report_positions = {name: at for at, name in enumerate(settings.report_fields)}

    def parse_report(self, raw: bytes) -> list[float] | None:
        """A load report in the settings' order; what can't be read is left out."""
        if not raw or not self.report_positions:
            return None
        values = [nan] * len(self.report_positions)
        for part in raw.split(b","):
            name, _, value = part.decode("latin-1").strip().partition("=")
            at = self.report_positions.get(REPORT_FIELD_NAMES.get(name, name))
            if at is not None:
                try:
                    values[at] = float(value)
                except ValueError:
                    continue
        return values


# On sockets what discovery has counts as told 6 s after it could be reached, whatever
# became of the calls to it, so no longer period counts: of this one the waits are parts.
# A watch dies in 2.5 s and two calls more may fail.
MAX_POLL_PERIOD_US = 3_000_000


class ActiveSettings:
    """The settings in force; `settle` puts others in their place, whole."""

    settings: Settings
    name_index: NameIndex
    drain_grace_us: int
    locality: Locality | None

    def __init__(self, shares_verdicts: bool) -> None:
        self.shares_verdicts = shares_verdicts
        self.class_numbers: dict[tuple[str, RequestClass], int] = {}  # of each class there ever was

    def update(self, raw: dict[str, Any], parsed: Settings, locality: Locality | None) -> None:
        """A class keeps its number while it stays as it is; a changed one is a new
        one, so that calls under way keep theirs."""
        named = [(str(entry["name"]), cls) for entry, cls in zip(raw["classes"], parsed.classes, strict=True)]
        for one in named:
            self.class_numbers.setdefault(one, len(self.class_numbers))
        force = {name: self.class_numbers[name, cls] for name, cls in named}
        self.settings = replace(
            parsed,
            classes=tuple(cls for _, cls in self.class_numbers),
            retired=frozenset(self.class_numbers.values()) - frozenset(force.values()),
            shares_verdicts=self.shares_verdicts,
            locality=locality,
            ask_within_us=min(parsed.ask_within_us, MAX_POLL_PERIOD_US),
        )
        self.locality = locality
        self.name_index = NameIndex(raw, self.settings, force)
        self.drain_grace_us = int(raw.get("invariants", {}).get("drain-grace-us", 0))
