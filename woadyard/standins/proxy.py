"""A fault proxy: a TCP relay that passes, drops, delays, resets, slows or is cut."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace
from typing import Any

from woadyard.errors import ConfigError

PASS, DROP, DELAY, RESET, CUT = MODES = ("pass", "drop", "delay", "reset", "cut")
THERE, HERE, BOTH = WAYS = ("there", "here", "both")  # towards the target, back from it
PIECE = 64 * 1024


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
    way: str = BOTH
    rate: float = 0.0

    def __post_init__(self) -> None:
        low, high = self.delay_s
        if self.mode not in MODES or self.way not in WAYS or not 0 <= low <= high or self.rate < 0:
            raise ConfigError(f"no such fault: {self}", f"modes are {MODES}, ways {WAYS}, times 0 or more")

    def on(self, way: str) -> str:
        """The mode in one direction."""
        return self.mode if self.way in (way, BOTH) else PASS


@dataclass
class FaultProxy:
    """Relays to `target`, a port at the address `towards`, by its present fault."""

    target: int = 0
    towards: str = "127.0.0.1"
    host: str = "127.0.0.1"
    seed: int = 0
    port: int = 0
    taken: int = 0  # connections
    lost: int = 0  # pieces swallowed
    now: Fault = field(default_factory=Fault)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def start(self, port: int = 0) -> asyncio.Server:
        """Listens, on a port that the system picks where none is given."""
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def close(self) -> None:
        """Listens no more and resets what is open; `start(port)` brings it back."""
        self.server.close()
        self.abort()

    def fault(self, mode: str | Fault, **changes: Any) -> None:
        """From now on, in place of what was; connections open are cut where it says so."""
        self.now = replace(mode, **changes) if isinstance(mode, Fault) else Fault(mode, **changes)
        if self.now.mode == CUT:
            self.abort()

    def abort(self) -> None:
        """Resets every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.taken += 1
        if self.now.mode == CUT:
            writer.transport.abort()
            return
        out = None
        self.writers.add(writer)
        # Cancelled only where the loop ends: nobody is left to be told.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            there, out = await asyncio.open_connection(self.towards, self.target)
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
            while data := await source.read(PIECE):
                mode = self.now.on(way)
                if mode == RESET:
                    back.transport.abort()
                    sink.transport.abort()
                gap = gap or mode == DROP
                self.lost += gap
                if mode == DELAY:
                    await asyncio.sleep(self.rng.uniform(*self.now.delay_s))
                if self.now.rate:
                    await asyncio.sleep(len(data) / self.now.rate)
                if not gap:
                    sink.write(data)
                    await sink.drain()
        if not gap and self.now.on(way) != DROP and not sink.transport.is_closing():
            sink.close()
