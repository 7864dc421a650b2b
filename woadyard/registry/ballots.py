"""A member's ballot on disk: its term and its vote, which a restart must not forget."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

import msgspec

from woadyard.errors import StateError
from woadyard.registry.election import Ballot
from woadyard.registry.log import replace_file

HEAD = struct.Struct(">II")  # length and CRC-32 of the JSON behind it, as of a log's records


class BallotError(StateError):
    """The file is damaged: which way this process voted is not known."""

    remedy = (
        "move the folder away and start this process with an empty one: it takes the log from the "
        "others, and votes again once it has it"
    )


class Ballots:
    """The file `ballot` beside the log."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "ballot"

    def read(self) -> Ballot:
        """A new member's where there is no file yet."""
        if not self.path.exists():
            return Ballot()
        data = self.path.read_bytes()
        payload = data[HEAD.size :]
        if len(data) < HEAD.size or HEAD.unpack_from(data) != (len(payload), zlib.crc32(payload)):
            raise BallotError(f"{self.path} is damaged")
        try:
            return msgspec.json.decode(payload, type=Ballot)
        except msgspec.DecodeError as error:
            raise BallotError(f"{self.path} holds no ballot: {error}") from None

    def write(self, ballot: Ballot) -> None:
        """On disk when it returns; OSError where the disk refuses it."""
        payload = msgspec.json.encode(ballot)
        replace_file(self.path, HEAD.pack(len(payload), zlib.crc32(payload)) + payload)
