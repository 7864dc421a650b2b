"""The position of a sidecar: the versions of everything that its decisions depend on."""

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
    """Versions of the list (lineage, term and generation), settings, plan, experiment and program.

    `settings` is a digest. An empty lineage and term 0 mean that discovery reported neither.
    `plan` and `experiment` are revisions; 0 means that there is none.
    """

    lineage: str = ""
    term: int = 0
    generation: int = 0
    settings: str = ""
    plan: int = 0
    experiment: int = 0
    build: str = ""

    def to_text(self) -> str:
        """The fields joined by dots, as in the header and in reports."""
        return (
            f"{self.lineage}.{self.term}.{self.generation}.{self.settings}"
            f".{self.plan}.{self.experiment}.{self.build}"
        )

    def header_line(self) -> bytes:
        """The HTTP header line that reports this position to an endpoint."""
        return b"%b: %b\r\n" % (POSITION_HEADER, self.to_text().encode())

    def is_older_than(self, head: Position) -> bool:
        """Whether this list is older than the head's, or belongs to another log.

        Only the list is compared: settings and builds have no order, and the stages of a plan
        give each sidecar a head of its own.
        """
        if self.lineage != head.lineage:
            return True
        return (self.term, self.generation) < (head.term, head.generation)


def parse_position(text: str) -> Position:
    """Parse the output of `Position.to_text`; raises PeerError on any other text."""
    fields = text.split(".")
    if len(fields) != 7 or not all(_FIELD.fullmatch(field) for field in fields):
        raise PeerError(f"malformed position: {text[:80]!r}")
    lineage, term, generation, settings, plan, experiment, build = fields
    numbers = [term, generation, plan, experiment]
    if not all(number.isascii() and number.isdecimal() and len(number) < 19 for number in numbers):
        raise PeerError(f"malformed position: {text[:80]!r}")
    return Position(lineage, int(term), int(generation), settings, int(plan), int(experiment), build)


def settings_digest(raw: Any) -> str:
    """A digest of settings given as JSON values, independent of key order and whitespace."""
    canonical = json.dumps(raw, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.blake2b(canonical, digest_size=4).hexdigest()


def sanitize_field(text: str) -> str:
    """Replace characters that a position field may not contain, and truncate to its length."""
    return re.sub(r"[^A-Za-z0-9_-]", "-", text)[:40]
