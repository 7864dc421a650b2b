"""Bytes, connections and reads of a process's outgoing connections, by kind and port of the peer.

Bytes are those given to and got from the sockets (HTTP heads and bodies), without TCP and IP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

FLOW_KINDS = {"Stream": "lists", "_Exchange": "reports", "ResponseHandler": "leases"}


class Flow(msgspec.Struct):
    """All connections of one kind to one port."""

    kind: str
    port: int
    connections: int = 0
    reads: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class Traffic:
    def __init__(self) -> None:
        self.flows: dict[tuple[str, int], Flow] = {}

    def get_flow(self, kind: str, port: int) -> Flow:
        return self.flows.setdefault((kind, port), Flow(kind, port))

    def clear(self) -> None:
        """Counts anew, also on connections that stay open."""
        for one in self.flows.values():
            one.connections = one.reads = one.bytes_in = one.bytes_out = 0

    def snapshot(self) -> list[Flow]:
        return list(self.flows.values())


class CountingTransport:
    """A transport that counts what is written; in all else the transport itself."""

    def __init__(self, real: asyncio.Transport, flow: Flow) -> None:
        self.transport, self.flow = real, flow

    def write(self, data: bytes) -> None:
        self.flow.bytes_out += len(data)
        self.transport.write(data)

    def writelines(self, parts: Any) -> None:
        whole = list(parts)
        self.flow.bytes_out += sum(map(len, whole))
        self.transport.writelines(whole)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class CountingProtocol(asyncio.Protocol):
    """Hands all on to the product's own protocol, with a transport that counts."""

    def __init__(self, inner: asyncio.Protocol, traffic: Traffic) -> None:
        self.inner, self.traffic = inner, traffic
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        real = cast(asyncio.Transport, transport)
        port = int(real.get_extra_info("peername")[1])
        kind = type(self.inner).__name__
        self.flow = self.traffic.get_flow(FLOW_KINDS.get(kind, kind), port)
        self.flow.connections += 1
        self.transport = CountingTransport(real, self.flow)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        self.flow.reads += 1
        self.flow.bytes_in += len(data)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


def count_traffic(loop: asyncio.AbstractEventLoop) -> Traffic:
    """From now on, of all connections that the loop makes."""
    traffic, real = Traffic(), loop.create_connection

    async def create_connection(factory: Callable[[], asyncio.Protocol], *where: Any, **how: Any) -> Any:
        _, made = await real(lambda: CountingProtocol(factory(), traffic), *where, **how)
        return made.transport, made.inner

    setattr(loop, "create_connection", create_connection)  # noqa: B010 - one loop's, not the class's
    return traffic
