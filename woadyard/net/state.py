"""What operators took out, and which ids were ever listed.

It is shared by the processes of one sidecar and outlives each of them, through
one small file in `$TMPDIR`: written aside and renamed, so that no reader sees
half of it, and read, changed and written under a lock.
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

# Names that are remembered, the latest: guards memory where endpoints come and go.
MAX_LISTED_NAMES = 50_000
LOG = logging.getLogger(__name__)
# How often the file is looked at: well within the grace of a drain.
SYNC_INTERVAL_S = 0.05


def endpoint_number(instance: str) -> int:
    """From the name alone, so that all sidecars sort and group alike, and do
    so after a restart; 64 bits, so that two hardly ever meet."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=8).digest(), "big")


def _texts(raw: object) -> dict[str, None]:
    if not isinstance(raw, list) or not all(isinstance(one, str) for one in raw):
        raise ValueError("no list of names")
    return dict.fromkeys(raw)


class Bans:
    """Safe to use from any thread. What it holds in memory binds at once; the
    file follows. `changed` is told each endpoint that went out or came back."""

    def __init__(self, path: Path | None, changed: Callable[[int, bool], None]) -> None:
        self.path, self.on_change = path, changed
        self.lock = threading.Lock()
        self.listed: dict[str, None] = {}  # the oldest first
        self.banned: dict[str, None] = {}
        self.banned_numbers: set[int] = set()  # numbers of those banned
        self.has_unsaved = False
        self.last_signature: tuple[int, int, int] | None = None  # the file as it was last read
        self.last_error = ""  # the last error that was logged
        self.sync()

    def add_listed(self, instances: Iterable[str]) -> None:
        """These were listed: the next look saves it."""
        with self.lock:
            for instance in instances:
                if instance not in self.listed:
                    self.listed[instance] = None
                    self.has_unsaved = True
            while len(self.listed) > MAX_LISTED_NAMES:
                del self.listed[next(iter(self.listed))]

    def detach(self, instance: str) -> bool:
        """Take it out; False where no list ever named it."""
        return self._set(instance, True)

    def attach(self, instance: str) -> bool:
        return self._set(instance, False)

    def _set(self, instance: str, out: bool) -> bool:
        self.sync()  # the other process may have heard of it first
        with self.lock:
            if instance not in self.listed:
                return False
            self._apply({**self.banned, instance: None} if out else self._without(instance))
            if self.path is not None:
                self._locked(self._write)
        return True

    def _without(self, instance: str) -> dict[str, None]:
        return {name: None for name in self.banned if name != instance}

    def sync(self) -> None:
        """Take over what another process wrote, and save what is new here."""
        with self.lock:
            if self.path is None or (self._signature() == self.last_signature and not self.has_unsaved):
                return
            self._locked(self._exchange)

    def _signature(self) -> tuple[int, int, int] | None:
        assert self.path is not None
        try:
            stat = os.stat(self.path)
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def _locked(self, act: Callable[[], None]) -> None:
        """A state that can't be kept stops nothing: what is in memory holds."""
        assert self.path is not None
        try:
            with open(self.path.with_suffix(".lock"), "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                act()
        except OSError as error:
            if str(error) != self.last_error:  # once for each cause
                self.last_error = str(error)
                LOG.warning("state is not kept", extra={"error": str(error)})

    def _exchange(self) -> None:
        self._read()
        if self.has_unsaved:
            self._write()

    def _read(self) -> None:
        """A file that can't be read says nothing; the next change writes it anew."""
        assert self.path is not None
        self.last_signature = self._signature()
        try:
            raw = json.loads(self.path.read_bytes())
            listed, banned = _texts(raw["listed"]), _texts(raw["banned"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            LOG.warning("state is not read", extra={"error": f"{type(error).__name__}: {error}"})
            return
        self.has_unsaved |= not self.listed.keys() <= listed.keys()
        self.listed = {**listed, **self.listed}
        self._apply(banned)

    def _apply(self, banned: dict[str, None]) -> None:
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
        aside = self.path.with_suffix(".new")
        aside.write_text(json.dumps({"banned": list(self.banned), "listed": list(self.listed)}))
        os.replace(aside, self.path)
        self.last_signature, self.has_unsaved = self._signature(), False


class ProcessSlots:
    """Tells whether a second process of this sidecar runs. Each holds a lock for
    as long as it lives, which the system takes back however it ends."""

    def __init__(self, path: Path, changed: Callable[[bool], None]) -> None:
        self.paths = [path.with_suffix(f".seat{n}") for n in (0, 1)]
        self.on_change = changed
        self.is_alone = True
        self.lock_file: IO[str] | None = None
        self.other_path: Path | None = None

    def poll(self) -> None:
        try:
            if self.lock_file is None:
                self._sit()
            alone = self.other_path is None or not self._taken(self.other_path)
        except OSError:
            return  # no folder to meet in
        if alone != self.is_alone:
            self.is_alone = alone
            self.on_change(alone)

    def _sit(self) -> None:
        for path, other in (self.paths, self.paths[::-1]):
            seat = open(path, "w")  # noqa: SIM115 - held until the process ends
            try:
                fcntl.flock(seat, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                seat.close()
                continue
            self.lock_file, self.other_path = seat, other
            return

    @staticmethod
    def _taken(path: Path) -> bool:
        with open(path, "w") as seat:
            try:
                fcntl.flock(seat, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return True
        return False
