"""The settings in force, and the index numbers of the names that are used on the sockets."""

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

# Load-report field names on the socket, which may differ from those in the settings.
REPORT_FIELD_NAMES = {
    "inflight": HELD,
    "queue": WAITING,
    "util": BUSY,
    "latency_ms": LATENCY_MS,
    "qps": SERVED_RATE,
    "eps": ERROR_RATE,
}


class NameIndex:
    """Index numbers of the classes, tenants, zones, machine types and report fields, by name."""

    def __init__(self, raw: dict[str, Any], settings: Settings, classes: dict[str, int]) -> None:
        self.classes = classes  # those in force; requests in flight may be of retired ones
        self.tenants = {str(entry["name"]): n for n, entry in enumerate(raw.get("accounts", ()))}
        self.zones = {str(name): n for n, name in enumerate(raw.get("zones", ()))}
        self.machine_types = {str(name): n for n, name in enumerate(raw.get("kinds", ()))}
        self.needs_idempotency_key = [cls.effect == KEYED for cls in settings.classes]
        self.report_positions = {name: position for position, name in enumerate(settings.report_fields)}

    def parse_report(self, raw: bytes) -> list[float] | None:
        """Return the values of a load report in the settings' order; unreadable ones are NaN."""
        if not raw or not self.report_positions:
            return None
        values = [nan] * len(self.report_positions)
        for part in raw.split(b","):
            name, _, value = part.decode("latin-1").strip().partition("=")
            position = self.report_positions.get(REPORT_FIELD_NAMES.get(name, name))
            if position is not None:
                try:
                    values[position] = float(value)
                except ValueError:
                    continue
        return values


# On sockets a change binds 6 s after discovery could be reached, whatever became of the calls to it, so
# a longer polling period has no effect. The waits are fractions of this one: a watch is detected as dead
# within 2.5 s, which leaves time for two more calls to fail.
MAX_POLL_PERIOD_US = 3_000_000


class ActiveSettings:
    """The settings in force; `update` replaces them as a whole."""

    settings: Settings
    name_index: NameIndex
    drain_grace_us: int
    locality: Locality | None

    def __init__(self, shares_verdicts: bool) -> None:
        self.shares_verdicts = shares_verdicts
        self.class_numbers: dict[tuple[str, RequestClass], int] = {}  # of every class since the start

    def update(self, raw: dict[str, Any], parsed: Settings, locality: Locality | None) -> None:
        """Put new settings in force.

        A class keeps its number while its definition is unchanged; a changed one gets a new number, so
        that requests in flight keep the class that they started with."""
        named_classes = [
            (str(entry["name"]), cls) for entry, cls in zip(raw["classes"], parsed.classes, strict=True)
        ]
        for named_class in named_classes:
            self.class_numbers.setdefault(named_class, len(self.class_numbers))
        active = {name: self.class_numbers[name, cls] for name, cls in named_classes}
        self.settings = replace(
            parsed,
            classes=tuple(cls for _, cls in self.class_numbers),
            retired=frozenset(self.class_numbers.values()) - frozenset(active.values()),
            shares_verdicts=self.shares_verdicts,
            locality=locality,
            ask_within_us=min(parsed.ask_within_us, MAX_POLL_PERIOD_US),
        )
        self.locality = locality
        self.name_index = NameIndex(raw, self.settings, active)
        self.drain_grace_us = int(raw.get("invariants", {}).get("drain-grace-us", 0))
