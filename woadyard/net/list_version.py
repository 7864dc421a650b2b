"""Which list of discovery is held, and which one told may take its place. Pure.

A list is named by its lineage (which log wrote it), its term (which writer) and its
generation. The greater term is the newer list, whatever its generation; within one
term the greater generation is. Discovery that knows neither lineage nor term tells
generations alone: they count as of one lineage and term, both empty.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

# A list of another log is taken once nothing was heard of the one held for so long: the
# service began anew. Two services side by side would else take turns in every sidecar.
OTHER_LINEAGE_AFTER_S = 10.0
Lineage = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}\Z")]
Term = Annotated[int, msgspec.Meta(ge=0, lt=1 << 52)]
TAKE, KEEP, REFUSE = "take", "keep", "refuse"


@dataclass(frozen=True)
class ListVersion:
    """The name of a list."""

    lineage: str = ""
    term: int = 0
    generation: int = 0


class ListMessage(msgspec.Struct):
    """One list as discovery tells it; what else it says is passed over."""

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
    def __init__(self) -> None:
        self.version = ListVersion()
        self.lineage_seen_s = 0.0  # of its lineage, s
        self.accepts_any_full_list = True  # of a first list, whatever its name, from a new address

    def evaluate(self, candidate: ListVersion, is_full: bool, now_s: float) -> str:
        """TAKE the list, KEEP the one held (it is newer), or REFUSE, where the replica
        that told it is not to be heard: it is of an older term, or of another log."""
        held = self.version
        if is_full and self.accepts_any_full_list:
            return TAKE
        if candidate.lineage != held.lineage:
            return TAKE if is_full and now_s - self.lineage_seen_s > OTHER_LINEAGE_AFTER_S else REFUSE
        if candidate.term < held.term:
            return REFUSE
        if candidate.term == held.term and candidate.generation < held.generation:
            return KEEP
        return TAKE

    def replace(self, replacement: ListVersion, now_s: float) -> None:
        """It is held from now on."""
        self.version, self.lineage_seen_s = replacement, now_s

    def resets_generations(self, candidate: ListVersion) -> bool:
        """Whether generations up to now and that of `told` say nothing of each other."""
        return (candidate.lineage, candidate.term) != (self.version.lineage, self.version.term)

    def watch_target(self, path: str) -> str:
        """Of a watch that goes on from the list held."""
        held = self.version
        where = f"&term={held.term}&lineage={held.lineage}" if held.lineage else ""
        return f"{path}?watch=1&from={held.generation}{where}"

    def term_header(self) -> str:
        """Tells a service which term this process has seen: one that was replaced learns of it."""
        return f"X-Term: {self.version.lineage}:{self.version.term}\r\n" if self.version.lineage else ""
