"""The table of listed endpoints: applies received lists and opens and closes connection pools."""

from __future__ import annotations

from typing import Any

from woadyard.errors import PeerError
from woadyard.interface import DRAINING, GONE, READY, Entry
from woadyard.net.active_settings import ActiveSettings
from woadyard.net.event_dispatcher import now_us
from woadyard.net.state import Bans, endpoint_number
from woadyard.net.upstream import Upstream
from woadyard.net.wallclock import WallClock

PHASES = {"ready": READY, "draining": DRAINING, "gone": GONE}
# Removed endpoints that are remembered, the most recent ones: no list is older than these.
MAX_REMOVED = 4096
# A process may stall for this long between reading its clock and writing to a socket (STANDING.md).
MAX_STALL_US = 150_000


class ListedEndpoint:
    """What the table keeps of one listed endpoint."""

    __slots__ = ("address", "boot_us", "removed_at_us", "started_ms", "zone")

    def __init__(self, address: str, started_ms: int, boot_us: int, zone: str) -> None:
        self.address, self.started_ms, self.boot_us, self.zone = address, started_ms, boot_us, zone
        self.removed_at_us: int | None = None  # when it was listed as draining or gone, or left out


ParsedEntries = list[tuple[Entry, ListedEndpoint]]


class EndpointTable:
    """Listed endpoints by number, with a connection pool for each that is ready.

    Times are microseconds of the driver's clock."""

    def __init__(self, upstream: Upstream, bans: Bans, active_settings: ActiveSettings) -> None:
        self.upstream, self.bans, self.active_settings = upstream, bans, active_settings
        self.wall_clock = WallClock()
        self.by_number: dict[int, ListedEndpoint] = {}
        self.removed: dict[int, tuple[int, int]] = {}  # version that removed it, and its started_ms

    def parse(self, version: int, raw: list[dict[str, Any]]) -> ParsedEntries:
        """Return the list's entries that are not outdated.

        Raises `PeerError` for an invalid entry, before any entry is used."""
        try:
            parsed = [self._parse_entry(raw_entry) for raw_entry in raw]
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise PeerError(f"invalid list entry: {error!r}") from None
        self.bans.add_listed(raw_entry["instanceId"] for raw_entry in raw)
        return [pair for pair in parsed if not self._is_outdated(version, *pair)]

    def apply(self, version: int, is_full: bool, parsed: ParsedEntries) -> None:
        """Update the table from the entries of one list."""
        now = now_us()
        # Bounds memory where endpoints come and go: past the grace nothing may be sent to them.
        removed = [
            (n, known.removed_at_us) for n, known in self.by_number.items() if known.removed_at_us is not None
        ]
        for number, removed_at_us in removed:
            if now >= removed_at_us + self.active_settings.drain_grace_us:
                del self.by_number[number]
        if is_full:  # endpoints that it leaves out are gone
            listed_numbers = {entry.endpoint for entry, _ in parsed}
            for number, listed in self.by_number.items():
                if number not in listed_numbers:
                    self._remove(now, version, number, listed)
        for entry, listed in parsed:
            self._apply_entry(now, version, entry, listed)

    def ready_numbers(self) -> set[int]:
        """Return the numbers of the endpoints that are listed as ready."""
        return {number for number, endpoint in self.by_number.items() if endpoint.removed_at_us is None}

    def address_of(self, endpoint: int) -> str:
        """Return the address of an endpoint, for the log; empty if it is not listed any more."""
        listed = self.by_number.get(endpoint)
        return listed.address if listed is not None else ""

    def may_start(self, endpoint: int, now: int) -> bool:
        """Whether a request may be sent there now: it is ready, or was removed within the grace."""
        known = self.by_number.get(endpoint)
        if known is None or endpoint in self.bans.banned_numbers:
            return False
        return known.removed_at_us is None or now < known.removed_at_us + self._start_grace_us()

    def may_have_started(self, endpoint: int, now: int) -> bool:
        """Whether a request already in flight may have been sent there: the whole grace counts."""
        known = self.by_number.get(endpoint)
        if known is None or endpoint in self.bans.banned_numbers:
            return False
        return known.removed_at_us is None or now < known.removed_at_us + self.active_settings.drain_grace_us

    def _start_grace_us(self) -> int:
        """Return the drain grace less the longest stall of the process before its write."""
        return max(0, self.active_settings.drain_grace_us - MAX_STALL_US)

    def reattach(self, number: int) -> None:
        """Reopen the pool of an endpoint that an operator attached again."""
        if (endpoint := self.by_number.get(number)) is not None and endpoint.removed_at_us is None:
            self._open_pool(number, endpoint)

    def _parse_entry(self, raw: dict[str, Any]) -> tuple[Entry, ListedEndpoint]:
        number = endpoint_number(raw["instanceId"])
        phase = PHASES[raw["lifecycle"]]
        address, started_ms = str(raw.get("hostPort", "")), int(raw.get("startedAtMs", 0))
        if phase == READY:
            host, _, port = address.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise PeerError(f"invalid address: {address}")
        known = self.by_number.get(number)
        # Converted once: a step of the wall clock must not look like a restart of the endpoint.
        is_same_start = known is not None and known.started_ms == started_ms
        boot_us = known.boot_us if known is not None and is_same_start else self._boot_time_us(started_ms)
        name_index = self.active_settings.name_index
        entry = Entry(
            endpoint=number,
            phase=phase,
            boot=boot_us,
            rating=float(raw.get("weight", 1.0)),
            cell=int(raw.get("cell", 0)),
            zone=name_index.zones.get(raw.get("zone", ""), 0),
            kind=name_index.machine_types.get(raw.get("machineType", ""), 0),
        )
        return entry, ListedEndpoint(address, started_ms, boot_us, str(raw.get("zone", "")))

    def _boot_time_us(self, started_ms: int) -> int:
        """Convert a start in wall-clock time to the driver's monotonic clock; 0 where it is unknown."""
        if started_ms <= 0:
            return 0
        return self.wall_clock.start_time_us(now_us(), started_ms * 1000) or 1  # 0 would mean long ago

    def _is_outdated(self, version: int, entry: Entry, listed: ListedEndpoint) -> bool:
        """Whether the entry comes from a list older than the one that removed the same process.

        Such a list must not bring a drained endpoint back."""
        removed_by, started_ms = self.removed.get(entry.endpoint, (version, 0))
        return entry.phase == READY and version < removed_by and listed.started_ms <= started_ms

    def _apply_entry(self, now: int, version: int, entry: Entry, listed: ListedEndpoint) -> None:
        number, known = entry.endpoint, self.by_number.get(entry.endpoint)
        if entry.phase != READY:
            self._remove(now, version, number, known or listed)
            return
        self.removed.pop(number, None)
        self.by_number[number] = listed
        was_ready = known is not None and known.removed_at_us is None
        if (
            known is None
            or not was_ready
            or (known.address, known.started_ms) != (listed.address, listed.started_ms)
        ):
            self._open_pool(number, listed)

    def _open_pool(self, number: int, endpoint: ListedEndpoint) -> None:
        if number not in self.bans.banned_numbers:
            host, _, port = endpoint.address.rpartition(":")
            self.upstream.open_pool(number, host, int(port))

    def _remove(self, now: int, version: int, number: int, endpoint: ListedEndpoint) -> None:
        self.removed[number] = max(version, self.removed.get(number, (0, 0))[0]), endpoint.started_ms
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]
        if endpoint.removed_at_us is None:
            endpoint.removed_at_us = now
            self.upstream.close_pool(number)
