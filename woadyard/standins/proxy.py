"""A fault proxy: a TCP relay that can drop, delay, throttle or reset traffic, or refuse connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field, replace
from typing import Any

from woadyard.errors import ConfigError

PASS, DROP, DELAY, RESET, CUT = MODES = ("pass", "drop", "delay", "reset", "cut")
THERE, HERE, BOTH = DIRECTIONS = ("there", "here", "both")  # client to target, target to client, both
CHUNK_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Fault:
    """A network fault that a proxy applies to its connections.

    PASS relays normally. DROP accepts connections and data but relays nothing, like a network
    that loses every packet; once data was dropped on a connection, all later data on it is
    dropped too, since TCP never delivers a stream with a gap. DELAY relays each chunk after a
    random delay within `delay_s`. RESET resets a connection once it sends data. CUT resets
    open connections and each new one. `direction` limits DROP, DELAY and RESET to one
    direction; `rate_bytes_per_s` limits the throughput of both (0: unlimited).
    Raises ConfigError for an unknown mode or direction, or a value out of range.
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
                f"invalid fault: {self}",
                f"modes are {MODES}, directions {DIRECTIONS}; times and rates must be 0 or more",
            )

    def mode_in(self, direction: str) -> str:
        """Return the mode that applies in `direction`."""
        return self.mode if self.direction in (direction, BOTH) else PASS


@dataclass
class FaultProxy:
    """Relays connections to `target_host`:`target_port`, subject to its current fault."""

    target_port: int = 0
    target_host: str = "127.0.0.1"
    host: str = "127.0.0.1"
    seed: int = 0
    port: int = 0
    accepted_connections: int = 0
    dropped_chunks: int = 0
    current_fault: Fault = field(default_factory=Fault)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def start(self, port: int = 0) -> asyncio.Server:
        """Start listening; port 0 lets the operating system choose a free port."""
        self.server = await asyncio.start_server(self._handle_connection, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.server

    def close(self) -> None:
        """Stop listening and reset all open connections; `start(port)` resumes."""
        self.server.close()
        self.abort_connections()

    def set_fault(self, mode: str | Fault, **changes: Any) -> None:
        """Replace the current fault; CUT resets the open connections at once."""
        self.current_fault = replace(mode, **changes) if isinstance(mode, Fault) else Fault(mode, **changes)
        if self.current_fault.mode == CUT:
            self.abort_connections()

    def abort_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _handle_connection(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_connections += 1
        if self.current_fault.mode == CUT:
            client_writer.transport.abort()
            return
        target_writer = None
        self.writers.add(client_writer)
        # Cancellation comes only from the shutdown of the event loop: nothing awaits this task.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(self.target_host, self.target_port)
            self.writers.add(target_writer)
            await asyncio.gather(
                self._relay(THERE, client_reader, target_writer, client_writer),
                self._relay(HERE, target_reader, client_writer, target_writer),
            )
        for writer in filter(None, (client_writer, target_writer)):
            self.writers.discard(writer)
            writer.transport.abort()

    async def _relay(
        self,
        direction: str,
        source_reader: asyncio.StreamReader,
        sink_writer: asyncio.StreamWriter,
        source_writer: asyncio.StreamWriter,
    ) -> None:
        has_gap = False
        with contextlib.suppress(OSError):
            while data := await source_reader.read(CHUNK_BYTES):
                mode = self.current_fault.mode_in(direction)
                if mode == RESET:
                    source_writer.transport.abort()
                    sink_writer.transport.abort()
                has_gap = has_gap or mode == DROP
                self.dropped_chunks += has_gap
                if mode == DELAY:
                    await asyncio.sleep(self.rng.uniform(*self.current_fault.delay_s))
                if self.current_fault.rate_bytes_per_s:
                    await asyncio.sleep(len(data) / self.current_fault.rate_bytes_per_s)
                if not has_gap:
                    sink_writer.write(data)
                    await sink_writer.drain()
        if (
            not has_gap
            and self.current_fault.mode_in(direction) != DROP
            and not sink_writer.transport.is_closing()
        ):
            sink_writer.close()
