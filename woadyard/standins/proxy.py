"""A fault proxy: a TCP relay that passes, drops, delays, resets, slows or is cut."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace
from typing import Any

from woadyard.errors import ConfigError

PASS, DROP, DELAY, RESET, CUT = MODES = ("pass", "drop", "delay", "reset", "cut")
THERE, HERE, BOTH = DIRECTIONS = ("there", "here", "both")  # towards the target, back from it
CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Fault:
    """What a proxy does with connections from a moment on.

    PASS relays. DROP takes connections and bytes and relays none, as a network
    that swallows them; what comes after lost bytes on a connection is lost too,
    as TCP never shows a gap. DELAY relays each piece late by a draw from
    `delay_s`. RESET breaks a connection once it sends something. CUT resets
    those open and turns new ones away. `way` says in which direction DROP,
    DELAY and RESET act; `rate` limits both to so many bytes/s (0: no limit).
    """

    mode: str = PASS
    delay_s: tuple[float, float] = (0.0, 0.0)
    direction: str = BOTH
    rate_bytes_per_s: float = 0.0

    def __post_init__(self) -> None:
        low, high = self.delay_s
        if (
            self.mode not in MODES
            or self.direction not in DIRECTIONS
            or not 0 <= low <= high
            or self.rate_bytes_per_s < 0
        ):
            raise ConfigError(
                f"no such fault: {self}", f"modes are {MODES}, directions {DIRECTIONS}, times 0 or more"
            )

    def mode_in(self, way: str) -> str:
        """The mode in one direction."""
        return self.mode if self.direction in (way, BOTH) else PASS


@dataclass
class FaultProxy:
    """Relays to `target`, a port at the address `towards`, by its present fault."""

    target_port: int = 0
    target_host: str = "127.0.0.1"
    host: str = "127.0.0.1"
    seed: int = 0
    port: int = 0
    accepted_connections: int = 0  # connections
    dropped_chunks: int = 0  # pieces swallowed
    current_fault: Fault = field(default_factory=Fault)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def start(self, port: int = 0) -> asyncio.Server:
        """Listens, on a port that the system picks where none is given."""
        self.server = await asyncio.start_server(self._handle_connection, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def close(self) -> None:
        """Listens no more and resets what is open; `start(port)` brings it back."""
        self.server.close()
        self.abort_connections()

    def set_fault(self, mode: str | Fault, **changes: Any) -> None:
        """From now on, in place of what was; connections open are cut where it says so."""
        self.current_fault = replace(mode, **changes) if isinstance(mode, Fault) else Fault(mode, **changes)
        if self.current_fault.mode == CUT:
            self.abort_connections()

    def abort_connections(self) -> None:
        """Resets every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        if self.current_fault.mode == CUT:
            writer.transport.abort()
            return
        out = None
        self.writers.add(writer)
        # Cancelled only where the loop ends: nobody is left to be told.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            there, out = await asyncio.open_connection(self.target_host, self.target_port)
            self.writers.add(out)
            await asyncio.gather(
                self._relay(THERE, reader, out, writer), self._relay(HERE, there, writer, out)
            )
        for one in filter(None, (writer, out)):
            self.writers.discard(one)
            one.transport.abort()

    async def _relay(
        self, way: str, source: asyncio.StreamReader, sink: asyncio.StreamWriter, back: asyncio.StreamWriter
    ) -> None:
        gap = False
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                mode = self.current_fault.mode_in(way)
                if mode == RESET:
                    back.transport.abort()
                    sink.transport.abort()
                gap = gap or mode == DROP
                self.dropped_chunks += gap
                if mode == DELAY:
                    await asyncio.sleep(self.rng.uniform(*self.current_fault.delay_s))
                if self.current_fault.rate_bytes_per_s:
                    await asyncio.sleep(len(data) / self.current_fault.rate_bytes_per_s)
                if not gap:
                    sink.write(data)
                    await sink.drain()
        if not gap and self.current_fault.mode_in(way) != DROP and not sink.transport.is_closing():
            sink.close()
