"""The bound on what all connections hold together, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field

from woadyard.net.memory_budget import (
    ALLOCATOR_OVERHEAD,
    CONNECTION_BYTES,
    MAX_BUFFER_BYTES,
    MEGABYTE,
    MIN_BUFFER_BYTES,
    MIN_CAPACITY_BYTES,
    USED_SHARE,
    MemoryBudget,
)
from woadyard.net.memory_guard import MemoryGuard

LIMIT, BASE = 32 * MEGABYTE, 24 * MEGABYTE


@dataclass(eq=False)
class FakeConnection:
    """A connection that holds so many bytes, of an incomplete request or of something else."""

    held_bytes: int
    last_read_s: float = 0.0
    is_request_incomplete: bool = True
    rejections: list[float] = field(default_factory=list)

    def reject_incomplete(self) -> None:
        self.rejections.append(self.last_read_s)
        self.held_bytes, self.is_request_incomplete = 0, False


def guarded(*clients: FakeConnection, endpoints: int = 0) -> MemoryGuard:
    guard = MemoryGuard([FakeConnection(endpoints)])
    guard.clients = clients
    guard.set_budget(MemoryBudget(LIMIT, BASE), 1024)
    return guard


def test_the_capacity_and_the_connections_together_stay_within_the_limit() -> None:
    budget = MemoryBudget(LIMIT, BASE)
    for count in (0, 100, 341, 700):
        needed = BASE + count * CONNECTION_BYTES + budget.capacity(count) * ALLOCATOR_OVERHEAD
        assert needed <= LIMIT * USED_SHARE
    assert budget.capacity(10_000) == MIN_CAPACITY_BYTES
    assert budget.buffer_bytes(1024) == MIN_BUFFER_BYTES
    assert MemoryBudget(192 * MEGABYTE, BASE).buffer_bytes(256) == MAX_BUFFER_BYTES
    halved = MemoryBudget(2 * LIMIT, BASE, process_share=0.5)
    assert halved.capacity(100) == budget.capacity(100), "two processes share the limit"


def test_the_requests_without_progress_for_the_longest_time_are_rejected_first() -> None:
    """Guards against hundreds of requests that stop half way and take a process over its limit."""
    clients = [FakeConnection(60_000, last_read_s=float(n)) for n in range(100)]
    serving = FakeConnection(60_000, is_request_incomplete=False)
    guard = guarded(*clients, serving)
    capacity = MemoryBudget(LIMIT, BASE).capacity(102)
    guard.bytes_received(60_000)
    assert sum(client.held_bytes for client in (*clients, serving)) <= capacity
    rejected = [client.last_read_s for client in clients if client.rejections]
    assert rejected and rejected == sorted(float(n) for n in range(len(rejected)))
    assert serving.held_bytes and not guard.is_full


def test_what_can_not_be_rejected_fills_the_memory_until_it_is_gone() -> None:
    serving = [FakeConnection(60_000, is_request_incomplete=False) for _ in range(60)]
    guard = guarded(*serving, endpoints=100_000)
    guard.bytes_received(1)
    assert guard.is_full and guard.max_buffered_body(64_000) == MIN_BUFFER_BYTES
    for client in serving:
        client.held_bytes = 0
    guard.bytes_received(MEGABYTE)
    assert not guard.is_full and guard.max_buffered_body(64_000) == 64_000


def test_without_a_limit_nothing_is_rejected() -> None:
    client = FakeConnection(LIMIT)
    guard = MemoryGuard([])
    guard.clients = [client]
    guard.bytes_received(LIMIT)
    assert not client.rejections and not guard.is_full
