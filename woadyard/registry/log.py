"""The durable state of a member: an append-only log of entries, and snapshots.

Each entry is stored as a frame: its length and CRC-32 (4 bytes each, big-endian), then its JSON
with its log index (`seq`). An entry counts only after it was written and fsynced. A snapshot holds
the whole replicated state; it is written to a temporary file that replaces the previous snapshot,
and the log is then emptied. Recovery reads the snapshot and then the entries after its index. The
log ends at the first frame that is truncated or has a wrong checksum; the rest is dropped with a
log line and never interpreted. The file `seen` holds the greatest term that this process has
observed, even if it has no entry of that term; `id` identifies the process across restarts.
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
    """The files `log`, `snapshot.json`, `seen` and `id` in `folder`.

    A failed write raises OSError, and the state in memory stays as it is on disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log_path, self.snapshot_path = folder / "log", folder / "snapshot.json"
        self.highest_term_path = folder / "seen"
        self.log_bytes = 0  # valid bytes; the remains of a failed write lie beyond them
        self.snapshot_bytes = 0
        self.tail = LogTail()

    def recover(self, state: ReplicatedState) -> None:
        """Load the files into the empty `state`, and truncate a torn tail of the log.

        Raises LogEntryError if an intact entry can't be applied; the files are then left unchanged."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.snapshot_path.exists():
            state.load(_read_json(self.snapshot_path))
            self.snapshot_bytes = self.snapshot_path.stat().st_size
        self.tail.reset(state.applied_index, state.chain)
        valid_bytes = 0
        data = self.log_path.read_bytes() if self.log_path.exists() else b""
        for end, entry in decode_frames(data):
            # After a crash between the snapshot and the emptying of the log, the log may still hold
            # entries of an older term that an installed snapshot has replaced.
            if int(entry["seq"]) > state.applied_index and entry.get("term", 0) >= state.term:
                state.apply(entry)
                self.tail.add_entry(entry, state.chain, end - valid_bytes)
            valid_bytes = end
        if valid_bytes < len(data):
            LOG.warning(
                "torn log record dropped",
                extra={"offset": valid_bytes, "bytes": len(data) - valid_bytes},
            )
            with open(self.log_path, "r+b") as file:
                file.truncate(valid_bytes)
                os.fsync(file.fileno())
        self.log_bytes = valid_bytes

    def append(self, state: ReplicatedState, entry: dict[str, Any]) -> bool:
        """Write the entry, then apply it; return whether readers see a change.

        The write comes first, so that nothing is served that a restart would lose."""
        state.check(entry)  # LogEntryError before anything is written
        entry = {**entry, "seq": state.applied_index + 1}
        payload = json.dumps(entry, separators=(",", ":")).encode()
        self._write(FRAME.pack(len(payload), zlib.crc32(payload)) + payload)
        changed = state.apply(entry)
        self.tail.add_entry(entry, state.chain, len(payload))
        return changed

    def _write(self, frame: bytes) -> None:
        with open(self.log_path, "ab") as file:
            # Recovery reads nothing past the remains of a failed write, so remove them first.
            if file.tell() > self.log_bytes:
                file.truncate(self.log_bytes)
            file.write(frame)
            file.flush()
            os.fsync(file.fileno())
        self.log_bytes += len(frame)

    def write_snapshot(self, state: ReplicatedState) -> None:
        """Replace the snapshot by the current state, then empty the log."""
        content = json.dumps(state.dump()).encode()
        replace_file(self.snapshot_path, content)
        self.snapshot_bytes = len(content)
        with open(self.log_path, "wb") as file:  # the snapshot covers all its entries
            os.fsync(file.fileno())
        self.log_bytes = 0

    def install_snapshot(self, state: ReplicatedState) -> None:
        """Replace this log by a state received from the leader."""
        self.write_snapshot(state)
        self.tail.reset(state.applied_index, state.chain)

    def write_highest_term(self, term: int) -> None:
        """Persist the greatest term that this process has observed."""
        replace_file(self.highest_term_path, str(term).encode())

    def load_member_id(self) -> str:
        """Return the id of the process with this folder; create it on the first start."""
        path = self.folder / "id"
        if not path.exists():
            replace_file(path, secrets.token_hex(8).encode())
        return path.read_text()

    def read_highest_term(self) -> int:
        try:
            return int(self.highest_term_path.read_bytes()) if self.highest_term_path.exists() else 0
        except ValueError:
            raise StateError(f"{self.highest_term_path} contains no valid term") from None


def replace_file(path: Path, content: bytes) -> None:
    """Replace the file atomically and durably; raises OSError if a write fails."""
    temporary = path.with_suffix(".tmp")
    with open(temporary, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _read_json(path: Path) -> Any:
    try:
        return json.loads(path.read_bytes())
    except ValueError as error:
        raise StateError(f"{path} contains no valid JSON: {error}") from None


def decode_frames(data: bytes) -> list[tuple[int, dict[str, Any]]]:
    """Decode the intact frames from the start of `data`; return each entry with its end offset."""
    decoded, offset = [], 0
    while offset + FRAME.size <= len(data):
        length, crc = FRAME.unpack_from(data, offset)
        payload = data[offset + FRAME.size : offset + FRAME.size + length]
        if length > MAX_ENTRY_BYTES or len(payload) < length or zlib.crc32(payload) != crc:
            break
        try:
            entry = json.loads(payload)
        except ValueError:
            break
        if not isinstance(entry, dict) or "seq" not in entry:
            break
        offset += FRAME.size + length
        decoded.append((offset, entry))
    return decoded
