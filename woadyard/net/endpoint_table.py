"""The listed endpoints: what the shell keeps of each, and what a list changes."""

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
# So many endpoints told away are remembered, the latest: no list is that old.
MAX_REMOVED = 4096
# A process may be held up so long between reading its clock and writing (STANDING.md).
MAX_STALL_US = 150_000


class ListedEndpoint:
    """What the shell keeps of one listed endpoint."""

    __slots__ = ("address", "boot_us", "removed_at_us", "started_ms", "zone")

    def __init__(self, address: str, started_ms: int, boot_us: int, zone: str) -> None:
        self.address, self.started_ms, self.boot_us, self.zone = address, started_ms, boot_us, zone
        self.removed_at_us: int | None = None  # told draining or gone


ParsedEntries = list[tuple[Entry, ListedEndpoint]]


class EndpointTable:
    """By endpoint number; pools of connections are opened and closed as lists say."""

    def __init__(self, upstream: Upstream, bans: Bans, active_settings: ActiveSettings) -> None:
        self.upstream, self.bans, self.active_settings = upstream, bans, active_settings
        self.wall_clock = WallClock()
        self.by_number: dict[int, ListedEndpoint] = {}
        self.removed: dict[int, tuple[int, int]] = {}  # told away: by which version, and its start

    def parse(self, version: int, raw: list[dict[str, Any]]) -> ParsedEntries:
        """The list's entries that are not outdated; PeerError before any is used."""
        try:
            read = [self._parse_entry(one) for one in raw]
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise PeerError(f"no entry: {error!r}") from None
        self.bans.add_listed(one["instanceId"] for one in raw)
        return [one for one in read if not self._is_outdated(version, *one)]

    def apply(self, version: int, is_full: bool, parsed: ParsedEntries) -> None:
        now = now_us()
        # Guards memory where endpoints come and go: past the grace nothing may start there.
        left = [(n, one.removed_at_us) for n, one in self.by_number.items() if one.removed_at_us is not None]
        for number, left_at in left:
            if now >= left_at + self.active_settings.drain_grace_us:
                del self.by_number[number]
        if is_full:  # it replaces: what it leaves out is gone
            named = {entry.endpoint for entry, _ in parsed}
            for number, place in self.by_number.items():
                if number not in named:
                    self._remove(now, version, number, place)
        for entry, place in parsed:
            self._apply_entry(now, version, entry, place)

    def ready_numbers(self) -> set[int]:
        return {number for number, place in self.by_number.items() if place.removed_at_us is None}

    def may_start(self, endpoint: int, now: int) -> bool:
        """Whether anything may be sent there now: it is listed, or left within the grace."""
        place = self.by_number.get(endpoint)
        if place is None or endpoint in self.bans.banned_numbers:
            return False
        return place.removed_at_us is None or now < place.removed_at_us + self._start_grace_us()

    def may_have_started(self, endpoint: int, now: int) -> bool:
        """Whether something that is on its way by now may have been: the whole grace counts."""
        place = self.by_number.get(endpoint)
        if place is None or endpoint in self.bans.banned_numbers:
            return False
        return place.removed_at_us is None or now < place.removed_at_us + self.active_settings.drain_grace_us

    def _start_grace_us(self) -> int:
        """What is left of the grace for a process that is held up before its write."""
        return max(0, self.active_settings.drain_grace_us - MAX_STALL_US)

    def reattach(self, number: int) -> None:
        """An operator put it back."""
        if (place := self.by_number.get(number)) is not None and place.removed_at_us is None:
            self._open_pool(number, place)

    def _parse_entry(self, raw: dict[str, Any]) -> tuple[Entry, ListedEndpoint]:
        number = endpoint_number(raw["instanceId"])
        phase = PHASES[raw["lifecycle"]]
        address, started_ms = str(raw.get("hostPort", "")), int(raw.get("startedAtMs", 0))
        if phase == READY:
            host, _, port = address.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise PeerError(f"no address: {address}")
        old = self.by_number.get(number)
        # Converted once: a clock that is set must not feign a restart.
        same = old is not None and old.started_ms == started_ms
        boot = old.boot_us if old is not None and same else self._boot_time_us(started_ms)
        names = self.active_settings.name_index
        entry = Entry(
            endpoint=number,
            phase=phase,
            boot=boot,
            rating=float(raw.get("weight", 1.0)),
            cell=int(raw.get("cell", 0)),
            zone=names.zones.get(raw.get("zone", ""), 0),
            kind=names.machine_types.get(raw.get("machineType", ""), 0),
        )
        return entry, ListedEndpoint(address, started_ms, boot, str(raw.get("zone", "")))

    def _boot_time_us(self, started_ms: int) -> int:
        """Wall time of a start on the module's clock, which is monotonic."""
        if started_ms <= 0:
            return 0
        return self.wall_clock.start_time_us(now_us(), started_ms * 1000) or 1  # 0 would mean long ago

    def _is_outdated(self, version: int, entry: Entry, place: ListedEndpoint) -> bool:
        """Guards drains: a list older than the one that told a process away does
        not bring it back."""
        told_by, started_ms = self.removed.get(entry.endpoint, (version, 0))
        return entry.phase == READY and version < told_by and place.started_ms <= started_ms

    def _apply_entry(self, now: int, version: int, entry: Entry, place: ListedEndpoint) -> None:
        number, old = entry.endpoint, self.by_number.get(entry.endpoint)
        if entry.phase != READY:
            self._remove(now, version, number, old or place)
            return
        self.removed.pop(number, None)
        self.by_number[number] = place
        same = old is not None and old.removed_at_us is None
        if old is None or not same or (old.address, old.started_ms) != (place.address, place.started_ms):
            self._open_pool(number, place)

    def _open_pool(self, number: int, place: ListedEndpoint) -> None:
        if number not in self.bans.banned_numbers:
            host, _, port = place.address.rpartition(":")
            self.upstream.open_pool(number, host, int(port))

    def _remove(self, now: int, version: int, number: int, place: ListedEndpoint) -> None:
        self.removed[number] = max(version, self.removed.get(number, (0, 0))[0]), place.started_ms
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]
        if place.removed_at_us is None:
            place.removed_at_us = now
            self.upstream.close_pool(number)
