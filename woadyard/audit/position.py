"""Where a sidecar stands: the versions of all that it decides by."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

import msgspec

from woadyard.errors import PeerError

POSITION_HEADER = b"X-Acted-On"
REPORT_PATH = "/registry/audit/report"
_FIELD = re.compile(r"[A-Za-z0-9_-]{0,40}")


class Position(msgspec.Struct, frozen=True):
    """The list (log, writer's term, generation), settings (a digest), plan, experiment, program.

    Term 0 and an empty lineage: the list's service tells none. Revision 0: no plan, no experiment.
    """

    lineage: str = ""
    term: int = 0
    generation: int = 0
    settings: str = ""
    plan: int = 0
    experiment: int = 0
    build: str = ""

    def to_text(self) -> str:
        """As in the header and in reports: the fields with points between."""
        return (
            f"{self.lineage}.{self.term}.{self.generation}.{self.settings}"
            f".{self.plan}.{self.experiment}.{self.build}"
        )

    def header_line(self) -> bytes:
        return b"%b: %b\r\n" % (POSITION_HEADER, self.to_text().encode())

    def is_older_than(self, head: Position) -> bool:
        """Whether the list here is older than the head's, or of another log. Settings and build
        have no order, and a plan's stages give each sidecar a head of its own."""
        if self.lineage != head.lineage:
            return True
        return (self.term, self.generation) < (head.term, head.generation)


def parse_position(text: str) -> Position:
    """PeerError on what `Position.text` never wrote."""
    fields = text.split(".")
    if len(fields) != 7 or not all(_FIELD.fullmatch(one) for one in fields):
        raise PeerError(f"no position: {text[:80]!r}")
    lineage, term, generation, settings, plan, experiment, build = fields
    numbers = [term, generation, plan, experiment]
    if not all(one.isascii() and one.isdecimal() and len(one) < 19 for one in numbers):
        raise PeerError(f"no position: {text[:80]!r}")
    return Position(lineage, int(term), int(generation), settings, int(plan), int(experiment), build)


def settings_digest(raw: Any) -> str:
    """Of settings as JSON values: the same for the same settings, however they are laid out."""
    told = json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(told, digest_size=4).hexdigest()


def sanitize_field(text: str) -> str:
    """A text as it may stand in a position."""
    return re.sub(r"[^A-Za-z0-9_-]", "-", text)[:40]
