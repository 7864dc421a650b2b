"""State of a sidecar that outlives its processes.

`Bans` keeps the endpoints that operators detached and the instance ids that were ever
listed, in one small file in `$TMPDIR` that the processes of a sidecar share. The file is
replaced by a rename, so that no reader sees half of it, and read, changed and written
under a lock. `ProcessSlots` detects a second process of the same sidecar.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import threading
from collections.abc import Callable, Iterable
from hashlib import blake2b
from pathlib import Path
from typing import IO

# Latest ids that are remembered: bounds memory where endpoints come and go.
MAX_LISTED_NAMES = 50_000
LOG = logging.getLogger(__name__)
# Interval between checks of the file: well within the grace of a drain.
SYNC_INTERVAL_S = 0.05


def endpoint_number(instance: str) -> int:
    """Return the endpoint's number, a 64-bit hash of its instance id.

    It depends on the id alone, so that all sidecars sort and group endpoints alike, also
    after a restart; with 64 bits a collision is very unlikely.
    """
    return int.from_bytes(blake2b(instance.encode(), digest_size=8).digest(), "big")


def _parse_names(raw: object) -> dict[str, None]:
    if not isinstance(raw, list) or not all(isinstance(name, str) for name in raw):
        raise ValueError("expected a list of names")
    return dict.fromkeys(raw)


class Bans:
    """The endpoints that operators detached; safe to use from any thread.

    A change takes effect in memory at once, and the file follows. Until the file has it, it is
    applied again to whatever another process wrote. `on_change` is called with an endpoint's
    number and True when it is detached, False when it is attached.
    """

    def __init__(self, path: Path | None, on_change: Callable[[int, bool], None]) -> None:
        self.path, self.on_change = path, on_change
        self.lock = threading.Lock()
        self.listed: dict[str, None] = {}  # oldest first
        self.banned: dict[str, None] = {}
        self.banned_numbers: set[int] = set()
        self.unsaved_bans: dict[str, bool] = {}  # changed here: whether the instance is banned
        self.has_unsaved_names = False  # among `listed`
        self.last_signature: tuple[int, int, int] | None = None  # of the file when it was last read
        self.last_error = ""  # the last write error that was logged
        self.sync()

    def add_listed(self, instances: Iterable[str]) -> None:
        """Remember that these instances were listed; the next `sync` saves them."""
        with self.lock:
            for instance in instances:
                if instance not in self.listed:
                    self.listed[instance] = None
                    self.has_unsaved_names = True
            while len(self.listed) > MAX_LISTED_NAMES:
                del self.listed[next(iter(self.listed))]

    def detach(self, instance: str) -> bool:
        """Ban an endpoint; False if no list ever contained it."""
        return self._set_banned(instance, True)

    def attach(self, instance: str) -> bool:
        """Lift an endpoint's ban; False if no list ever contained it."""
        return self._set_banned(instance, False)

    def _set_banned(self, instance: str, is_banned: bool) -> bool:
        self.sync()  # another process may have received a list that names it first
        with self.lock:
            if instance not in self.listed:
                return False
            self.unsaved_bans[instance] = is_banned
            self._apply(self.banned)
            if self.path is not None:
                self._with_file_lock(self._read_and_write)
        return True

    def sync(self) -> None:
        """Apply what another process wrote, and save what is new in this one."""
        with self.lock:
            if self.path is None or not (self._has_unsaved() or self._signature() != self.last_signature):
                return
            self._with_file_lock(self._read_and_write)

    def _has_unsaved(self) -> bool:
        return self.has_unsaved_names or bool(self.unsaved_bans)

    def _signature(self) -> tuple[int, int, int] | None:
        assert self.path is not None
        try:
            stat = os.stat(self.path)
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _with_file_lock(self, action: Callable[[], None]) -> None:
        """Run `action` under the file lock; on an OSError the state in memory stays in effect."""
        assert self.path is not None
        try:
            with open(self.path.with_suffix(".lock"), "w") as lock_file:
                fcntl.flock(lock_file, fcntl.LOCK_EX)
                action()
        except OSError as error:
            if str(error) != self.last_error:  # logged once for each cause
                self.last_error = str(error)
                LOG.warning("state is not kept", extra={"error": str(error)})

    def _read_and_write(self) -> None:
        self._read()
        if self._has_unsaved():
            self._write()

    def _read(self) -> None:
        """Apply the file; one that can't be read is ignored, and the next change replaces it."""
        assert self.path is not None
        self.last_signature = self._signature()
        try:
            raw = json.loads(self.path.read_bytes())
            listed, banned = _parse_names(raw["listed"]), _parse_names(raw["banned"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            LOG.warning("state is not read", extra={"error": f"{type(error).__name__}: {error}"})
            return
        self.has_unsaved_names |= not self.listed.keys() <= listed.keys()
        self.listed = {**listed, **self.listed}
        self._apply(banned)

    def _apply(self, saved: dict[str, None]) -> None:
        """Put the saved bans into effect, with the changes that are not saved yet."""
        lifted = {instance for instance, is_banned in self.unsaved_bans.items() if not is_banned}
        added = [instance for instance, is_banned in self.unsaved_bans.items() if is_banned]
        banned = dict.fromkeys([*(name for name in saved if name not in lifted), *added])
        before, self.banned = self.banned, banned
        for instance in banned:
            if instance not in before:
                self.banned_numbers.add(number := endpoint_number(instance))
                self.on_change(number, True)
        for instance in before:
            if instance not in banned:
                self.banned_numbers.discard(number := endpoint_number(instance))
                self.on_change(number, False)

    def _write(self) -> None:
        assert self.path is not None
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps({"banned": list(self.banned), "listed": list(self.listed)}))
        os.replace(new_path, self.path)
        self.last_signature = self._signature()
        self.has_unsaved_names = False
        self.unsaved_bans.clear()


class ProcessSlots:
    """Detects whether a second process of this sidecar runs, as during an upgrade.

    Each process holds a lock on one of two files for as long as it lives; the system
    releases it however the process ends.
    """

    def __init__(self, path: Path, on_change: Callable[[bool], None]) -> None:
        self.paths = [path.with_suffix(f".seat{n}") for n in (0, 1)]
        self.on_change = on_change
        self.is_alone = True
        self.lock_file: IO[str] | None = None
        self.other_path: Path | None = None

    def poll(self) -> None:
        """Claim a slot if none is held, and call `on_change` if the other process came or went."""
        try:
            if self.lock_file is None:
                self._claim()
            is_alone = self.other_path is None or not self._is_locked(self.other_path)
        except OSError:
            return  # no directory for the lock files
        if is_alone != self.is_alone:
            self.is_alone = is_alone
            self.on_change(is_alone)

    def _claim(self) -> None:
        for path, other_path in (self.paths, self.paths[::-1]):
            file = open(path, "w")  # noqa: SIM115 - held until the process ends
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                file.close()
                continue
            self.lock_file, self.other_path = file, other_path
            return

    @staticmethod
    def _is_locked(path: Path) -> bool:
        with open(path, "w") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return True
        return False
