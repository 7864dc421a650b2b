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
OTHER_S = 10.0
Lineage = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{0,64}\Z")]
Term = Annotated[int, msgspec.Meta(ge=0, lt=1 << 52)]
TAKE, KEEP, REFUSE = "take", "keep", "refuse"


@dataclass(frozen=True)
class Named:
    """The name of a list."""

    lineage: str = ""
    term: int = 0
    generation: int = 0


class Told(msgspec.Struct):
    """One list as discovery tells it; what else it says is passed over."""

    generation: int
    reset: bool
    instances: list[dict[str, Any]]
    lineage: Lineage = ""
    term: Term = 0
    following: bool = True

    @property
    def name(self) -> Named:
        return Named(self.lineage, self.term, self.generation)


class Held:
    def __init__(self) -> None:
        self.name = Named()
        self.heard = 0.0  # of its lineage, s
        self.trusting = True  # of a first list, whatever its name, from a new address

    def judge(self, told: Named, whole: bool, now: float) -> str:
        """TAKE the list, KEEP the one held (it is newer), or REFUSE, where the replica
        that told it is not to be heard: it is of an older term, or of another log."""
        held = self.name
        if whole and self.trusting:
            return TAKE
        if told.lineage != held.lineage:
            return TAKE if whole and now - self.heard > OTHER_S else REFUSE
        if told.term < held.term:
            return REFUSE
        if told.term == held.term and told.generation < held.generation:
            return KEEP
        return TAKE

    def take(self, told: Named, now: float) -> None:
        """It is held from now on."""
        self.name, self.heard = told, now

    def anew(self, told: Named) -> bool:
        """Whether generations up to now and that of `told` say nothing of each other."""
        return (told.lineage, told.term) != (self.name.lineage, self.name.term)

    def target(self, path: str) -> str:
        """Of a watch that goes on from the list held."""
        held = self.name
        where = f"&term={held.term}&lineage={held.lineage}" if held.lineage else ""
        return f"{path}?watch=1&from={held.generation}{where}"

    def header(self) -> str:
        """Tells a service which term this process has seen: one that was replaced learns of it."""
        return f"X-Term: {self.name.lineage}:{self.name.term}\r\n" if self.name.lineage else ""
