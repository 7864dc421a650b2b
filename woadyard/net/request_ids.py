"""The ids of requests that are running or may have run, so that none runs twice.

The processes of a sidecar share them in a file, as a client may send an id again to the other one.
A table of fixed size: a flood of ids takes no more memory, and ids of requests that never left for an
endpoint are not kept at all. Times are in µs on the system's monotonic clock.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
import struct
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from xxhash import xxh3_64_intdigest

LOG = logging.getLogger(__name__)
# After its end a request is remembered for this long, and for as long as its client may wait.
RETENTION_US = 30_000_000
# A running one is, for as long as it may take to receive and to serve it.
MAX_RUNNING_US = 930_000_000
# An entry is the hash of an id and the time until which it is remembered. An id is in one of the
# entries of its set.
ENTRY_COUNT, SET_SIZE = 16_384, 8
SET = struct.Struct(f"<{2 * SET_SIZE}Q")
ENTRY = struct.Struct("<2Q")


@dataclass(slots=True, frozen=True)
class EntryPosition:
    """Where an id is in the table, or would be entered, and whether it is there and remembered."""

    offset: int
    is_known: bool


class FileLock:
    """An exclusive lock between processes; the system releases it however its holder ends."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def __enter__(self) -> None:
        fcntl.flock(self.descriptor, fcntl.LOCK_EX)

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        fcntl.flock(self.descriptor, fcntl.LOCK_UN)


class RequestIds:
    """Remembers ids; the one that is to be forgotten first makes room for a new one."""

    def __init__(self, entry_count: int = ENTRY_COUNT) -> None:
        self.set_count = entry_count // SET_SIZE
        self.table = memoryview(bytearray(entry_count * ENTRY.size))
        self.lock: AbstractContextManager[None] = nullcontext()  # held for each use of the table

    def share(self, path: Path) -> None:
        """Use the table in this file, together with the other processes that do.

        Where the file can't be used, the table stays in the memory of this process.
        """
        size = len(self.table)
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            lock = FileLock(descriptor)
            with lock:
                if os.fstat(descriptor).st_size != size:
                    os.ftruncate(descriptor, size)
                table = mmap.mmap(descriptor, size)
        except (OSError, ValueError) as error:
            LOG.warning("request ids are not shared", extra={"error": str(error)})
            return
        self.table, self.lock = memoryview(table), lock

    def claim(self, request_id: bytes, now: int) -> bool:
        """Remember a request that is about to run; False if the id is remembered already."""
        with self.lock:
            position = self._find(request_id, now)
            if not position.is_known:
                ENTRY.pack_into(self.table, position.offset, self._hash(request_id), now + MAX_RUNNING_US)
        return not position.is_known

    def is_known(self, request_id: bytes, now: int) -> bool:
        """Whether the id is remembered."""
        with self.lock:
            return self._find(request_id, now).is_known

    def keep(self, request_id: bytes, now: int, expires_us: int) -> None:
        """The request has ended and may have run; `expires_us` is when its client stops waiting."""
        until_us = max(now + RETENTION_US, min(expires_us, now + MAX_RUNNING_US))
        with self.lock:
            position = self._find(request_id, now)
            ENTRY.pack_into(self.table, position.offset, self._hash(request_id), until_us)

    def release(self, request_id: bytes, now: int) -> None:
        """Forget a request that has ended without a byte of it sent to an endpoint."""
        with self.lock:
            position = self._find(request_id, now)
            if position.is_known:
                ENTRY.pack_into(self.table, position.offset, 0, 0)

    @staticmethod
    def _hash(request_id: bytes) -> int:
        return xxh3_64_intdigest(request_id) or 1

    def _find(self, request_id: bytes, now: int) -> EntryPosition:
        """Return the position of the id, or of the entry of its set that is forgotten first."""
        wanted = self._hash(request_id)
        offset = wanted % self.set_count * SET.size
        values = SET.unpack_from(self.table, offset)
        first, earliest_us = 0, MAX_RUNNING_US + now + 1
        for index in range(SET_SIZE):
            id_hash, until_us = values[2 * index], values[2 * index + 1]
            # A time beyond that was set before the system's last start.
            is_valid = now < until_us <= now + MAX_RUNNING_US
            if id_hash == wanted and is_valid:
                return EntryPosition(offset + index * ENTRY.size, True)
            remembered_until_us = until_us if is_valid else 0
            if remembered_until_us < earliest_us:
                first, earliest_us = index, remembered_until_us
        return EntryPosition(offset + first * ENTRY.size, False)
