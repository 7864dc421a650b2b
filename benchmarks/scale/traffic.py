"""Counts bytes, connections and reads of a process's outgoing connections, by kind and peer port.

Bytes are those written to and read from the sockets (HTTP heads and bodies), without TCP and IP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

# By the name of the protocol class that owns the connection.
FLOW_KINDS = {"Stream": "lists", "_Exchange": "reports", "ResponseHandler": "leases"}


class Flow(msgspec.Struct):
    """Counts of all connections of one kind to one port."""

    kind: str
    port: int
    connections: int = 0
    reads: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class Traffic:
    """The flows of a process, by kind and port."""

    def __init__(self) -> None:
        self.flows: dict[tuple[str, int], Flow] = {}

    def get_flow(self, kind: str, port: int) -> Flow:
        return self.flows.setdefault((kind, port), Flow(kind, port))

    def clear(self) -> None:
        """Resets all counts, also those of connections that stay open."""
        for flow in self.flows.values():
            flow.connections = flow.reads = flow.bytes_in = flow.bytes_out = 0

    def snapshot(self) -> list[Flow]:
        return list(self.flows.values())


class CountingTransport:
    """Wraps a transport and counts the bytes written; all else is passed to the transport."""

    def __init__(self, transport: asyncio.Transport, flow: Flow) -> None:
        self.transport, self.flow = transport, flow

    def write(self, data: bytes) -> None:
        self.flow.bytes_out += len(data)
        self.transport.write(data)

    def writelines(self, chunks: Any) -> None:
        chunk_list = list(chunks)
        self.flow.bytes_out += sum(map(len, chunk_list))
        self.transport.writelines(chunk_list)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class CountingProtocol(asyncio.Protocol):
    """Passes all events to the product's protocol and gives it a counting transport."""

    def __init__(self, inner: asyncio.Protocol, traffic: Traffic) -> None:
        self.inner, self.traffic = inner, traffic
        self.counting_transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        counted_transport = cast(asyncio.Transport, transport)
        port = int(counted_transport.get_extra_info("peername")[1])
        kind = type(self.inner).__name__
        self.flow = self.traffic.get_flow(FLOW_KINDS.get(kind, kind), port)
        self.flow.connections += 1
        self.counting_transport = CountingTransport(counted_transport, self.flow)
        self.inner.connection_made(self.counting_transport)

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
    """Counts the traffic of all connections that the loop opens from now on."""
    traffic, original = Traffic(), loop.create_connection

    async def create_connection(factory: Callable[[], asyncio.Protocol], *args: Any, **kwargs: Any) -> Any:
        _, protocol = await original(lambda: CountingProtocol(factory(), traffic), *args, **kwargs)
        return protocol.counting_transport, protocol.inner

    setattr(loop, "create_connection", create_connection)  # noqa: B010 - on this loop only, not on its class
    return traffic
