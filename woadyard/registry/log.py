"""The service's durable state: an append-only log of records, and snapshots.

Each record is a frame: its length and CRC-32 (4 bytes each, big-endian), then
its JSON with the log index it gets (`seq`). Every append is written and
fsynced before it counts. A snapshot is the host whole, written aside and
renamed over the last one, after which the log starts anew; at the start the
snapshot is read, then the records past its index. A frame that is cut short
or whose checksum fails ends the log there: it is dropped, with a log line,
and never read as data. `seen` holds the greatest term that this process was
told of, also where no record of it came; `id` names the process over restarts.
"""

from __future__ import annotations

import json
import logging
import os
import secrets
import struct
import zlib
from pathlib import Path
from typing import Any

from woadyard.errors import StateError
from woadyard.registry.log_tail import LogTail
from woadyard.registry.replicated_state import ReplicatedState

FRAME = struct.Struct(">II")
MAX_ENTRY_BYTES = 16 * 1024 * 1024
LOG = logging.getLogger(__name__)


class Journal:
    """The files in `folder`: `log`, `snapshot.json`, `seen` and `id`. OSError where the
    disk refuses a write; what was in memory then stays as it was on disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log_path, self.snapshot_path = folder / "log", folder / "snapshot.json"
        self.highest_term_path = folder / "seen"
        self.log_bytes = 0  # bytes of the log that count; what a failed write left is past them
        self.snapshot_bytes = 0  # bytes
        self.tail = LogTail()

    def recover(self, host: ReplicatedState) -> None:
        """Bring an empty `host` to what the files hold; a torn tail is cut off the log.
        `LogEntryError` where a whole record can't be applied: the files stay as they are."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.snapshot_path.exists():
            host.load(_read_json(self.snapshot_path))
            self.snapshot_bytes = self.snapshot_path.stat().st_size
        self.tail.reset(host.applied_index, host.chain)
        good = 0
        data = self.log_path.read_bytes() if self.log_path.exists() else b""
        for end, record in decode_frames(data):
            # Behind a state taken whole, what the log still held of an older term counts no more.
            if int(record["seq"]) > host.applied_index and record.get("term", 0) >= host.term:
                host.apply(record)
                self.tail.add_entry(record, host.chain, end - good)
            good = end
        if good < len(data):
            LOG.warning("torn log record dropped", extra={"offset": good, "bytes": len(data) - good})
            with open(self.log_path, "r+b") as file:
                file.truncate(good)
                os.fsync(file.fileno())
        self.log_bytes = good

    def append(self, host: ReplicatedState, record: dict[str, Any]) -> bool:
        """Write the record, then apply it; the write comes first, so that
        nothing is served that a restart would not bring back."""
        host.check(record)  # LogEntryError before anything is written
        record = {**record, "seq": host.applied_index + 1}
        payload = json.dumps(record, separators=(",", ":")).encode()
        self._write(FRAME.pack(len(payload), zlib.crc32(payload)) + payload)
        changed = host.apply(record)
        self.tail.add_entry(record, host.chain, len(payload))
        return changed

    def _write(self, frame: bytes) -> None:
        with open(self.log_path, "ab") as file:
            # Guards what follows: behind a refused write's remains no record is read.
            if file.tell() > self.log_bytes:
                file.truncate(self.log_bytes)
            file.write(frame)
            file.flush()
            os.fsync(file.fileno())
        self.log_bytes += len(frame)

    def write_snapshot(self, host: ReplicatedState) -> None:
        """The host whole beside the last snapshot, renamed over it, and the log emptied."""
        content = json.dumps(host.dump()).encode()
        replace_file(self.snapshot_path, content)
        self.snapshot_bytes = len(content)
        with open(self.log_path, "wb") as file:  # its records are all in the snapshot
            os.fsync(file.fileno())
        self.log_bytes = 0

    def install_snapshot(self, host: ReplicatedState) -> None:
        """The state of another log in this one's place."""
        self.write_snapshot(host)
        self.tail.reset(host.applied_index, host.chain)

    def write_highest_term(self, term: int) -> None:
        """Keep the greatest term told of over a restart."""
        replace_file(self.highest_term_path, str(term).encode())

    def load_member_id(self) -> str:
        """The name of the process with this folder."""
        path = self.folder / "id"
        if not path.exists():
            replace_file(path, secrets.token_hex(8).encode())
        return path.read_text()

    def read_highest_term(self) -> int:
        try:
            return int(self.highest_term_path.read_bytes()) if self.highest_term_path.exists() else 0
        except ValueError:
            raise StateError(f"{self.highest_term_path} holds no term") from None


def replace_file(path: Path, content: bytes) -> None:
    """Written aside, synced, and renamed over what was there; OSError of the disk."""
    aside = path.with_suffix(".tmp")
    with open(aside, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(aside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _read_json(path: Path) -> Any:
    try:
        return json.loads(path.read_bytes())
    except ValueError as error:
        raise StateError(f"{path} holds no JSON: {error}") from None


def decode_frames(data: bytes) -> list[tuple[int, dict[str, Any]]]:
    """The whole frames from the start, each with the offset where it ends."""
    found, at = [], 0
    while at + FRAME.size <= len(data):
        length, crc = FRAME.unpack_from(data, at)
        payload = data[at + FRAME.size : at + FRAME.size + length]
        if length > MAX_ENTRY_BYTES or len(payload) < length or zlib.crc32(payload) != crc:
            break
        try:
            record = json.loads(payload)
        except ValueError:
            break
        if not isinstance(record, dict) or "seq" not in record:
            break
        at += FRAME.size + length
        found.append((at, record))
    return found
