"""Stores a member's ballot, its term and vote, which must survive a restart."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import msgspec

from woadyard.errors import StateError
from woadyard.registry.election import Ballot
from woadyard.registry.log import replace_file

HEADER = struct.Struct(">II")  # length and CRC-32 of the JSON that follows, as for log entries


class BallotError(StateError):
    """The ballot file is damaged, so this process can't tell for whom it has voted."""

    remedy = (
        "move the data folder away and start this process with an empty one: it copies the log from the "
        "other members and votes again once it holds all of it"
    )


class BallotFile:
    """The file `ballot` beside the log."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "ballot"

    def read(self) -> Ballot:
        """Returns an empty ballot where there is no file yet; raises `BallotError` where it is damaged."""
        if not self.path.exists():
            return Ballot()
        data = self.path.read_bytes()
        payload = data[HEADER.size :]
        if len(data) < HEADER.size or HEADER.unpack_from(data) != (len(payload), zlib.crc32(payload)):
            raise BallotError(f"{self.path} is damaged")
        try:
            return msgspec.json.decode(payload, type=Ballot)
        except msgspec.DecodeError as error:
            raise BallotError(f"{self.path} holds no valid ballot: {error}") from None

    def write(self, ballot: Ballot) -> None:
        """Returns once the ballot is on disk; raises OSError where the disk fails."""
        payload = msgspec.json.encode(ballot)
        replace_file(self.path, HEADER.pack(len(payload), zlib.crc32(payload)) + payload)
