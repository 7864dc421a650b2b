"""One sidecar's replica of the shared state, and the merge of entries received from peers.

Each entry belongs to its origin, the one process that wrote it, and has a sequence number
of that origin. The version vector (the highest sequence number merged, by origin) shows
which entries a peer lacks, so merges are commutative and idempotent and need no common clock
(Parker et al., "Detection of Mutual Inconsistency in Distributed Systems", 1983; push-pull
as in Demers et al., 1987).

Messages carry ages instead of times: the receiver adds the whole round trip to an entry's
age, which is therefore never underestimated, whatever the clock skew. An entry older than
its TTL counts as absent.

Times are µs of the caller's monotonic clock. A message is validated as a whole before any
of it is merged.
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
MAX_ENTRIES_PER_ORIGIN = 4_096
MAX_ORIGINS = 2_048
# No origin publishes so many entries between two exchanges. A larger step is forged, and would
# hide all entries of the origin until its sequence number has reached that value.
MAX_SEQ_STEP = 1_000_000
MAX_SEQ = 1 << 52


class GossipMessageError(PeerError):
    """A peer sent an invalid gossip message; none of it was merged."""


@dataclass(slots=True, frozen=True)
class SharedEntry:
    """One value that one process shares with all sidecars."""

    origin: str  # SIDECAR@TOKEN: one process of one sidecar
    seq: int  # of the origin, from 1
    kind: str
    key: str
    value: Any  # JSON; None if the origin withdrew it
    ttl_us: int  # an older entry counts as absent
    created_us: int  # on this process's clock, never later than the true time

    @property
    def sidecar(self) -> str:
        """Name of the sidecar, the same over restarts."""
        return self.origin.rpartition("@")[0]


class SharedStore:
    """Entries by origin, kind and key; `bounds_us` has the longest TTL of each kind."""

    def __init__(self, own_origin: str, bounds_us: dict[str, int]) -> None:
        self.own_origin, self.bounds_us = own_origin, bounds_us
        self.entries: dict[str, dict[tuple[str, str], SharedEntry]] = {own_origin: {}}
        self.vector: dict[str, int] = {own_origin: 0}

    def publish(self, now: int, kind: str, key: str, value: Any) -> None:
        """Publish an entry of this process, or withdraw it if the value is None."""
        self.vector[self.own_origin] += 1
        entry = SharedEntry(
            self.own_origin, self.vector[self.own_origin], kind, key, value, self.bounds_us[kind], now
        )
        self._put(entry)

    def _put(self, entry: SharedEntry) -> None:
        origin_entries = self.entries.setdefault(entry.origin, {})
        origin_entries[entry.kind, entry.key] = entry
        if len(origin_entries) > MAX_ENTRIES_PER_ORIGIN:  # drop the one published first
            oldest = min(origin_entries, key=lambda kind_and_key: origin_entries[kind_and_key].seq)
            del origin_entries[oldest]

    def fresh_entries(self, now: int, kind: str) -> Iterable[SharedEntry]:
        """Yield the entries of a kind that are neither expired nor withdrawn."""
        for origin_entries in self.entries.values():
            for entry in origin_entries.values():
                if entry.kind == kind and entry.value is not None and now - entry.created_us <= entry.ttl_us:
                    yield entry

    def expire(self, now: int) -> None:
        """Remove entries older than twice the longest TTL, and origins without entries.

        An origin stays in the version vector for the longest TTL after its entries have expired,
        as peers may still send them.
        """
        for origin, origin_entries in list(self.entries.items()):
            for kind_and_key, entry in list(origin_entries.items()):
                if now - entry.created_us > 2 * max(self.bounds_us.values()):
                    del origin_entries[kind_and_key]
            if not origin_entries and origin != self.own_origin:
                del self.entries[origin], self.vector[origin]

    # --- Exchange ---------------------------------------------------------------------

    def missing_entries(self, now: int, peer_vector: dict[str, int], max_bytes: int) -> list[list[Any]]:
        """Return the entries that a peer with this vector lacks, each as a JSON list, about
        `max_bytes` in all. An origin's entries are in the order of their sequence numbers, so
        after a truncated response the peer's own vector says where to continue."""
        rows: list[list[Any]] = []
        size = 0
        for origin, origin_entries in self.entries.items():
            merged_seq = peer_vector.get(origin, 0)
            for entry in sorted(origin_entries.values(), key=lambda stored: stored.seq):
                if entry.seq <= merged_seq or now - entry.created_us > entry.ttl_us:
                    continue
                row = [
                    origin,
                    entry.seq,
                    entry.kind,
                    entry.key,
                    entry.value,
                    entry.ttl_us,
                    now - entry.created_us,
                ]
                size += len(json.dumps(row)) + 2
                if size > max_bytes:
                    return rows
                rows.append(row)
        return rows

    def is_behind(self, peer_vector: dict[str, int]) -> bool:
        """Return whether a peer with this vector has entries that this store lacks."""
        return any(seq > self.vector.get(origin, 0) for origin, seq in peer_vector.items())

    def merge(self, now: int, rows: object, round_trip_us: int, known_sidecars: Collection[str]) -> int:
        """Merge the entries of a peer's response and return how many of them were new.

        `round_trip_us` is the time from the request to the response's last byte. Entries of
        sidecars not in `known_sidecars` are skipped, and may be received again later. Raises
        GossipMessageError, with nothing changed, if an entry is invalid.
        """
        entries = [self._decode_entry(now, row, round_trip_us) for row in _check_rows(rows)]
        new_count = 0
        for entry in entries:
            if entry.origin == self.own_origin:
                self._raise_own_sequence(entry.seq)
            elif entry.sidecar in known_sidecars and entry.seq > self.vector.get(entry.origin, 0):
                self.vector[entry.origin] = entry.seq
                self._put(entry)
                new_count += 1
        return new_count

    def _raise_own_sequence(self, seq: int) -> None:
        """Republish all own entries above `seq` if this process has not issued that number yet.

        A peer that merged a forged entry ignores this origin's entries up to its number.
        """
        if seq > self.vector[self.own_origin]:
            for kind_and_key, entry in sorted(
                self.entries[self.own_origin].items(), key=lambda pair: pair[1].seq
            ):
                seq += 1
                self.entries[self.own_origin][kind_and_key] = replace(entry, seq=seq)
            self.vector[self.own_origin] = seq

    def _decode_entry(self, now: int, row: object, round_trip_us: int) -> SharedEntry:
        if not isinstance(row, list) or len(row) != 7:
            raise GossipMessageError("an entry is not a list of 7 elements")
        origin, seq, kind, key, value, ttl_us, age_us = row
        if not _is_name(origin) or not _is_name(key) or kind not in KINDS:
            raise GossipMessageError("an entry's origin, kind or key is invalid")
        if not all(type(number) is int and number >= 0 for number in (seq, ttl_us, age_us)):
            raise GossipMessageError("an entry's seq, ttl_us or age_us is not a non-negative integer")
        merged_seq = self.vector.get(origin)
        if seq > MAX_SEQ or (merged_seq is not None and seq > merged_seq + MAX_SEQ_STEP):
            raise GossipMessageError(f"{origin!r} can't have reached sequence number {seq}")
        if merged_seq is None and len(self.vector) >= MAX_ORIGINS:
            raise GossipMessageError("too many origins")
        if ttl_us > self.bounds_us[kind] or age_us > ttl_us:
            raise GossipMessageError(f"{origin!r} has an entry with too long a TTL, or an expired one")
        if len(json.dumps(value)) > MAX_VALUE_CHARS:
            raise GossipMessageError("an entry's value is too large")
        return SharedEntry(origin, seq, kind, key, value, ttl_us, now - age_us - round_trip_us)

    # --- Persistence over restarts ------------------------------------------------------

    def dump(self, now: int) -> dict[str, Any]:
        """Return all unexpired entries for a file; the clock of `now` must continue over restarts."""
        return {"at": now, "entries": self.missing_entries(now, {}, 1 << 62)}

    def load(self, now: int, raw: dict[str, Any]) -> int:
        """Merge the state saved by an earlier process, aged by the time since then.

        Raises GossipMessageError if the state is invalid or was saved before a reboot.
        """
        saved_us = raw.get("at") if isinstance(raw, dict) else None
        if type(saved_us) is not int or saved_us > now:
            raise GossipMessageError("the saved state has no time, or one in the future")
        rows = _check_rows(raw.get("entries"))
        sidecars = {str(row[0]).rpartition("@")[0] for row in rows if isinstance(row, list) and row}
        return self.merge(now, rows, now - saved_us, sidecars)


def _is_name(text: object) -> bool:
    return isinstance(text, str) and 0 < len(text) <= MAX_NAME_CHARS


def _check_rows(raw: object) -> list[object]:
    if not isinstance(raw, list):
        raise GossipMessageError("entries is not a list")
    return raw


def read_vector(raw: object) -> dict[str, int]:
    """Validate a peer's version vector; GossipMessageError if it is invalid."""
    if not isinstance(raw, dict) or len(raw) > MAX_ORIGINS:
        raise GossipMessageError("vector is not an object, or has too many origins")
    if not all(_is_name(name) and type(seq) is int and 0 <= seq <= MAX_SEQ for name, seq in raw.items()):
        raise GossipMessageError("vector has an invalid origin or sequence number")
    return raw
