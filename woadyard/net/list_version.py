"""Versions of the endpoint list, and whether a received list may replace the current one. No I/O.

A list is identified by its lineage (the log that produced it), its term (the leader that produced it)
and its generation. The list of the greater term is the newer one, whatever its generation; within one
term, the greater generation is. A discovery service without lineages and terms sends generations only:
they count as one lineage and term, both empty.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec

# A list of another lineage is accepted once the current lineage has been silent for this long, as the
# service then started over. Without the wait, two services side by side would replace each other's list
# in every sidecar by turns.
OTHER_LINEAGE_AFTER_S = 10.0
Lineage = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}\Z")]
Term = Annotated[int, msgspec.Meta(ge=0, lt=1 << 52)]


class ListDecision(Enum):
    """What to do with a received list."""

    TAKE = "replace the current list by it"
    KEEP = "keep the current list, which is newer"
    REFUSE = "use another replica, as it is of an older term or of another lineage"


@dataclass(frozen=True)
class ListVersion:
    """Identifies one version of the endpoint list."""

    lineage: str = ""
    term: int = 0
    generation: int = 0


class ListMessage(msgspec.Struct):
    """One list as discovery sends it, whole or as a delta; unknown fields are ignored."""

    generation: int
    reset: bool
    instances: list[dict[str, Any]]
    lineage: Lineage = ""
    term: Term = 0
    following: bool = True

    @property
    def version(self) -> ListVersion:
        return ListVersion(self.lineage, self.term, self.generation)


class CurrentVersion:
    """The version of the list in use, and the rules by which another one replaces it."""

    def __init__(self) -> None:
        self.version = ListVersion()
        self.lineage_seen_s = 0.0  # when the current lineage was last received
        self.accepts_any_full_list = True  # the first full list from a new address, whatever its version

    def evaluate(self, candidate: ListVersion, is_full: bool, now_s: float) -> ListDecision:
        """Decide what to do with a received list, at a time of the loop in seconds."""
        current = self.version
        if is_full and self.accepts_any_full_list:
            return ListDecision.TAKE
        if candidate.lineage != current.lineage:
            may_replace = is_full and now_s - self.lineage_seen_s > OTHER_LINEAGE_AFTER_S
            return ListDecision.TAKE if may_replace else ListDecision.REFUSE
        if candidate.term < current.term:
            return ListDecision.REFUSE
        if candidate.term == current.term and candidate.generation < current.generation:
            return ListDecision.KEEP
        return ListDecision.TAKE

    def replace(self, replacement: ListVersion, now_s: float) -> None:
        """Record that a list of this version is in use from now on."""
        self.version, self.lineage_seen_s = replacement, now_s

    def resets_generations(self, candidate: ListVersion) -> bool:
        """Whether generations so far can't be compared with that of `candidate`."""
        return (candidate.lineage, candidate.term) != (self.version.lineage, self.version.term)

    def watch_target(self, path: str) -> str:
        """Return the request target of a watch that resumes from the current list."""
        current = self.version
        log_position = f"&term={current.term}&lineage={current.lineage}" if current.lineage else ""
        return f"{path}?watch=1&from={current.generation}{log_position}"

    def term_header(self) -> str:
        """Return the header line with the term seen here, from which a replaced leader learns that it was."""
        return f"X-Term: {self.version.lineage}:{self.version.term}\r\n" if self.version.lineage else ""
