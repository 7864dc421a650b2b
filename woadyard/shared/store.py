"""What one sidecar holds of the shared state, and how it merges what peers tell.

Each entry belongs to its origin, the one process that wrote it, and carries
that origin's sequence number. The version vector (per origin, the highest
number merged) says what a peer lacks, so merges commute, repeat without harm
and need no clock in common (Parker et al., "Detection of Mutual Inconsistency
in Distributed Systems", 1983; push-pull as in Demers et al., 1987).

Ages travel, times do not: an entry is told with its age, and the receiver adds
the whole round trip that brought it. Its age is so never taken for less than
it is, whatever the clocks say, and past its bound it counts as absent.

Times are µs on the caller's monotonic clock. All of a message is checked
before any of it is merged.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import Any

from woadyard.errors import PeerError

VERDICT = "verdict"
KINDS = (VERDICT,)
MAX_NAME_CHARS, MAX_VALUE_CHARS = 128, 256  # characters of a name or key; of a value as JSON
MAX_ENTRIES_PER_ORIGIN = 4_096  # of one origin
MAX_ORIGINS = 2_048
# No origin writes so much between two tellings: a larger step is a lie, which
# would hide all that the origin writes until it has counted up to there.
MAX_SEQ_STEP = 1_000_000
MAX_SEQ = 1 << 52


class GossipMessageError(PeerError):
    """What a peer sent is no telling; nothing of it was merged."""


@dataclass(slots=True, frozen=True)
class SharedEntry:
    origin: str  # NAME@TOKEN: one process of one sidecar
    seq: int  # of the origin, from 1
    kind: str
    key: str
    value: Any  # JSON; None where the origin took it back
    ttl_us: int  # its bound: older, it counts as absent
    created_us: int  # on the holder's clock, never later than it truly was

    @property
    def sidecar(self) -> str:
        """The sidecar's, the same over restarts."""
        return self.origin.rpartition("@")[0]


class SharedStore:
    """Entries by origin, kind and key. `bounds` gives each kind's longest life, µs."""

    def __init__(self, me: str, bounds: dict[str, int]) -> None:
        self.origin, self.bounds_us = me, bounds
        self.entries: dict[str, dict[tuple[str, str], SharedEntry]] = {me: {}}
        self.vector: dict[str, int] = {me: 0}

    def publish(self, now: int, kind: str, key: str, value: Any) -> None:
        """Write an own entry, or (value None) take it back."""
        self.vector[self.origin] += 1
        entry = SharedEntry(
            self.origin, self.vector[self.origin], kind, key, value, self.bounds_us[kind], now
        )
        self._put(entry)

    def _put(self, entry: SharedEntry) -> None:
        held = self.entries.setdefault(entry.origin, {})
        held[entry.kind, entry.key] = entry
        if len(held) > MAX_ENTRIES_PER_ORIGIN:  # the one written longest ago gives way
            oldest = min(held, key=lambda at: held[at].seq)
            del held[oldest]

    def fresh_entries(self, now: int, kind: str) -> Iterable[SharedEntry]:
        """The entries of a kind within their bounds, but those taken back."""
        for held in self.entries.values():
            for entry in held.values():
                if entry.kind == kind and entry.value is not None and now - entry.created_us <= entry.ttl_us:
                    yield entry

    def expire(self, now: int) -> None:
        """Forget what is past its bound. An origin's place in the vector stays as long
        as others may still tell of it, which is the longest bound."""
        for origin, held in list(self.entries.items()):
            for at, entry in list(held.items()):
                if now - entry.created_us > 2 * max(self.bounds_us.values()):
                    del held[at]
            if not held and origin != self.origin:
                del self.entries[origin], self.vector[origin]

    # --- Telling ----------------------------------------------------------------------

    def missing_entries(self, now: int, theirs: dict[str, int], most: int) -> list[list[Any]]:
        """The entries a peer with the vector `theirs` lacks, each as a JSON list, some
        `most` bytes in all. Each origin's come in its order, so that a peer told a part
        knows by its own vector where to go on."""
        told: list[list[Any]] = []
        size = 0
        for origin, held in self.entries.items():
            since = theirs.get(origin, 0)
            for one in sorted(held.values(), key=lambda entry: entry.seq):
                if one.seq <= since or now - one.created_us > one.ttl_us:
                    continue
                row = [origin, one.seq, one.kind, one.key, one.value, one.ttl_us, now - one.created_us]
                size += len(json.dumps(row)) + 2
                if size > most:
                    return told
                told.append(row)
        return told

    def is_behind(self, theirs: dict[str, int]) -> bool:
        """Whether a peer with this vector may tell something new."""
        return any(seq > self.vector.get(origin, 0) for origin, seq in theirs.items())

    def merge(self, now: int, rows: object, trip_us: int, known: Collection[str]) -> int:
        """Take a peer's telling that took `trip_us` from the call to its last byte;
        `known` are the names of the sidecars there are. Returns how many entries were
        new; `TellingError` leaves everything as it was. Entries past their bound, and
        of sidecars that no list names yet, are left out and may come again."""
        entries = [self._decode_entry(now, row, trip_us) for row in _check_rows(rows)]
        new = 0
        for entry in entries:
            if entry.origin == self.origin:
                self._raise_own_sequence(entry.seq)
            elif entry.sidecar in known and entry.seq > self.vector.get(entry.origin, 0):
                self.vector[entry.origin] = entry.seq
                self._put(entry)
                new += 1
        return new

    def _raise_own_sequence(self, seq: int) -> None:
        """Somebody makes this process say what it never did: whoever believed that
        takes what it does say only from there on, so it says it again."""
        if seq > self.vector[self.origin]:
            for at, entry in sorted(self.entries[self.origin].items(), key=lambda pair: pair[1].seq):
                seq += 1
                self.entries[self.origin][at] = replace(entry, seq=seq)
            self.vector[self.origin] = seq

    def _decode_entry(self, now: int, row: object, trip_us: int) -> SharedEntry:
        if not isinstance(row, list) or len(row) != 7:
            raise GossipMessageError("an entry has other than 7 parts")
        origin, seq, kind, key, value, ttl_us, age_us = row
        if not _is_name(origin) or not _is_name(key) or kind not in KINDS:
            raise GossipMessageError("an entry's origin, kind or key is none")
        if not all(type(number) is int and number >= 0 for number in (seq, ttl_us, age_us)):
            raise GossipMessageError("an entry's number is none")
        before = self.vector.get(origin)
        if seq > MAX_SEQ or (before is not None and seq > before + MAX_SEQ_STEP):
            raise GossipMessageError(f"{origin!r} can't be at {seq}")
        if before is None and len(self.vector) >= MAX_ORIGINS:
            raise GossipMessageError("too many origins")
        if ttl_us > self.bounds_us[kind] or age_us > ttl_us:
            raise GossipMessageError(f"{origin!r} tells of what is past its bound")
        if len(json.dumps(value)) > MAX_VALUE_CHARS:
            raise GossipMessageError("an entry's value is too large")
        return SharedEntry(origin, seq, kind, key, value, ttl_us, now - age_us - trip_us)

    # --- Over a restart -----------------------------------------------------------------

    def dump(self, now: int) -> dict[str, Any]:
        """All that is fresh, to be kept in a file; `now` on a clock that goes on."""
        return {"at": now, "entries": self.missing_entries(now, {}, 1 << 62)}

    def load(self, now: int, raw: dict[str, Any]) -> int:
        """What an earlier process of this sidecar knew, older by the time since then.
        `TellingError` where the file is none, or of another boot."""
        at = raw.get("at") if isinstance(raw, dict) else None
        if type(at) is not int or at > now:
            raise GossipMessageError("the state kept has no time, or one to come")
        rows = _check_rows(raw.get("entries"))
        names = {str(row[0]).rpartition("@")[0] for row in rows if isinstance(row, list) and row}
        return self.merge(now, rows, now - at, names)


def _is_name(text: object) -> bool:
    return isinstance(text, str) and 0 < len(text) <= MAX_NAME_CHARS


def _check_rows(raw: object) -> list[object]:
    if not isinstance(raw, list):
        raise GossipMessageError("entries is no list")
    return raw


def read_vector(raw: object) -> dict[str, int]:
    """A peer's version vector; `TellingError` on anything else."""
    if not isinstance(raw, dict) or len(raw) > MAX_ORIGINS:
        raise GossipMessageError("vector is none")
    if not all(_is_name(name) and type(seq) is int and 0 <= seq <= MAX_SEQ for name, seq in raw.items()):
        raise GossipMessageError("vector has a part that is none")
    return raw
