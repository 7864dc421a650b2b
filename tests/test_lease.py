"""Tests of the membership lease: what renews it, what ends it, and that every send requires it."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.helpers import MS, SECOND, SETTINGS, Client, ready_entries, sends
from tests.process import free_port
from tests.test_discovery_failures import (
    SimulatedSidecar,
    connect_timeout,
    connection_reset,
    no_response,
    status_503,
)
from woadyard.interface import LIST_CACHED, LIST_FAILED, LIST_FULL, MOOT, OK, Arrival, Outcome, Refuse
from woadyard.net.discovery import UNCONFIRMED_MESSAGE, Discovery
from woadyard.net.list_stream import Stream, StreamFailure
from woadyard.policy import Balancer
from woadyard.policy.lease import (
    ADDRESS_CHANGE_BINDING_US,
    BINDING_US,
    LEASE_US,
    MembershipLease,
)

HEARTBEAT = b"1\r\n\n\r\n"


def confirmed_lease(now: int = 0) -> MembershipLease:
    lease = MembershipLease()
    lease.start(now, True, True, False)
    lease.confirm(now)
    return lease


def watching_balancer(size: int = 8, stage: int = 0) -> Balancer:
    """A balancer that received its list at 0, from a discovery whose watch has heartbeats."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, stage=stage))
    balancer.start(0, True, True)
    balancer.members(0, LIST_FULL, ready_entries(size))
    return balancer


def test_a_lease_that_is_not_renewed_expires_before_a_change_can_bind() -> None:
    lease = confirmed_lease()
    assert lease.is_valid(LEASE_US - 1) and not lease.is_valid(LEASE_US)
    lease.confirm(4 * SECOND)
    assert lease.is_valid(4 * SECOND + LEASE_US - 1)
    assert LEASE_US + 150 * MS < BINDING_US


def test_a_new_address_shortens_the_lease_until_a_list_comes_from_it() -> None:
    lease = confirmed_lease()
    lease.moved(SECOND)
    assert not lease.is_valid(SECOND + ADDRESS_CHANGE_BINDING_US - 150 * MS)
    lease.unreachable(SECOND)
    assert lease.expires_us < SECOND + ADDRESS_CHANGE_BINDING_US
    lease.confirm(2 * SECOND)
    assert lease.expires_us == 2 * SECOND + LEASE_US


def test_no_change_binds_while_nothing_listens_at_discoverys_address() -> None:
    balancer = watching_balancer()
    client = Client(balancer)
    for second in range(1, 60):
        balancer.unreachable(second * SECOND, second * SECOND)
        assert client.serve(second * SECOND + 500 * MS, 5 * MS)
    _, actions = client.submit(59 * SECOND + LEASE_US)
    assert [type(action) for action in actions] == [Refuse]


def test_behind_the_entry_tier_a_request_waits_for_the_lease() -> None:
    balancer = watching_balancer(stage=1)
    request_id, actions = Client(balancer).submit(10 * SECOND)
    assert not sends(actions) and request_id in balancer.requests
    (timer,) = actions
    balancer.members(10 * SECOND + MS, LIST_FULL, ready_entries(8))
    assert sends(balancer.timer(10 * SECOND + 5 * MS, timer.token))  # type: ignore[union-attr]


def test_the_send_guard_and_the_first_byte_both_require_the_lease() -> None:
    """Nothing is written to a connection that opens after the lease has expired."""
    balancer = watching_balancer()
    request_id = 1
    now = LEASE_US - 100 * MS
    (sent,) = sends(balancer.request(now, Arrival(request_id, 0, now + SECOND)))
    assert sent.start_by == LEASE_US
    request = balancer.requests[request_id]
    other = next(known for known in balancer.endpoints.values() if known.id != sent.endpoint)
    assert not balancer._send(LEASE_US, request, other)
    balancer.outcome(LEASE_US, Outcome(request_id, 0, sent.endpoint, MOOT, 100 * MS))
    assert request_id not in balancer.requests, "rejected: it never ran"


def test_an_attached_endpoint_gets_its_trial_only_under_a_lease() -> None:
    balancer = watching_balancer(2)
    client = Client(balancer)
    balancer.detach(SECOND, 100)
    balancer.attach(SECOND, 100)
    balancer.membership.trial_due_us[100] = 0
    _, actions = client.submit(LEASE_US)
    assert not sends(actions)


Step = tuple[str, int]
STEPS = ("beat", "list", "failed", "refused", "moved", "ask")


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 4_000)), max_size=60), st.booleans())
def test_no_send_uses_a_list_whose_changes_may_bind(steps: list[Step], known: bool) -> None:
    """Checked against a second implementation, by the last time at which discovery confirmed the list or was
    known to be unreachable. Responses of endpoints count for nothing."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True))
    balancer.start(0, True, True)
    balancer.members(0, LIST_CACHED if known else LIST_FULL, ready_entries(6))
    client, now = Client(balancer), 1
    confirmed, refused_at, moved = (None if known else 0), None, None
    for step, wait_ms in steps:
        now += wait_ms * MS
        if step in ("beat", "list"):
            confirmed, refused_at, moved = now, None, None
            balancer.confirmed(now) if step == "beat" else balancer.members(now, LIST_FULL, ready_entries(6))
        elif step == "failed":
            balancer.members(now, LIST_FAILED, [])
        elif step == "refused":
            balancer.unreachable(now, now)
            refused_at = now
        elif step == "moved":
            balancer.moved(now)
            moved = now
        else:
            request_id, actions = client.submit(now)
            for sent in sends(actions)[:1]:
                assert confirmed is not None or refused_at is not None, "a cached list has no lease"
                assert now < max(confirmed or 0, refused_at or 0) + BINDING_US
                if moved is not None:
                    assert now < max(moved, refused_at or 0) + ADDRESS_CHANGE_BINDING_US
                balancer.outcome(now + MS, Outcome(request_id, 0, sent.endpoint, OK, MS, over=True))
                now += MS


def expires_s(sidecar: SimulatedSidecar) -> float:
    return sidecar.driver.balancer.ctx.lease.expires_us / 1e6


def open_watch(sidecar: SimulatedSidecar) -> Stream:
    """Let the sidecar receive its list and return its watch."""
    sidecar.seconds_until_list()
    stream = sidecar.discovery.stream
    assert stream is not None
    return stream


@pytest.mark.parametrize("period_s", [0.0, 3.0])
def test_each_heartbeat_of_the_watch_renews_the_lease(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    stream = open_watch(sidecar)
    for _ in range(10):
        sidecar.advance_to(sidecar.now + 2.0)
        stream.data_received(HEARTBEAT)
        assert expires_s(sidecar) == pytest.approx(sidecar.now + LEASE_US / 1e6, abs=1e-3)


@pytest.mark.parametrize("piece", [b"1\r\n \r\n", b"2\r\n{\n\r\n", b""])
def test_an_incomplete_line_renews_nothing(monkeypatch: pytest.MonkeyPatch, piece: bytes) -> None:
    sidecar = SimulatedSidecar(monkeypatch, 3.0)
    stream = open_watch(sidecar)
    before = expires_s(sidecar)
    sidecar.advance_to(sidecar.now + 1.0)
    if piece:
        stream.data_received(piece)
    assert expires_s(sidecar) == before


def test_the_end_of_a_watch_renews_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against sends on a list that changed before discovery closed the watch instead of sending it.
    sidecar = SimulatedSidecar(monkeypatch, 3.0)
    stream = open_watch(sidecar)
    before = expires_s(sidecar)
    sidecar.advance_to(sidecar.now + 1.0)
    stream.connection_lost(None)
    assert expires_s(sidecar) == before


def test_heartbeats_before_the_list_renew_nothing(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, 3.0)
    open_watch(sidecar)
    before = expires_s(sidecar)
    sidecar.outcomes = [no_response]
    sidecar.discovery.set_watch(True)
    sidecar.advance_to(sidecar.now + 0.1)
    assert sidecar.discovery.stream is not None
    sidecar.discovery.stream.data_received(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + HEARTBEAT
    )
    assert expires_s(sidecar) == before
    for _ in range(4):
        sidecar.advance_to(sidecar.now + 2.0)
        sidecar.discovery.stream.data_received(HEARTBEAT)
    assert caplog.messages.count(UNCONFIRMED_MESSAGE) == 1, "logged, once"


@pytest.mark.parametrize("period_s", [0.0, 3.0, 10.0])
@pytest.mark.parametrize("path", ["reset", "silent", "again", "moved", "replaced", "retuned", "stopped"])
@pytest.mark.parametrize("then", [status_503, connection_reset, connect_timeout, no_response])
def test_the_lease_expires_however_the_watch_is_lost(
    monkeypatch: pytest.MonkeyPatch, period_s: float, path: str, then: object
) -> None:
    """The calls that follow fail, and none of them renews it."""
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    stream = open_watch(sidecar)
    lost_s = sidecar.now
    sidecar.outcomes = [then] * 1000  # type: ignore[list-item]
    match path:
        case "reset":
            stream.connection_lost(ConnectionResetError())
        case "again":
            sidecar.discovery.restart_watch()
        case "moved":
            sidecar.discovery.change_address("127.0.0.1:2")
        case "replaced":
            sidecar.discovery.set_watch(True)
        case "retuned":
            stream.connection_lost(ConnectionResetError())
            sidecar.discovery.set_push_mode(not sidecar.discovery.uses_push)
        case "stopped":
            sidecar.discovery.set_watch(False)
    sidecar.advance_to(lost_s + 20.0)
    bound = (ADDRESS_CHANGE_BINDING_US if path == "moved" else BINDING_US) / 1e6
    assert expires_s(sidecar) < lost_s + bound


@pytest.mark.parametrize("replicas", [1, 2])
async def test_only_a_single_address_that_refuses_connections_proves_discovery_unreachable(
    replicas: int,
) -> None:
    reported: list[float] = []
    loop = asyncio.get_running_loop()
    address = ",".join(f"127.0.0.1:{free_port()}" for _ in range(replicas))
    discovery = Discovery(loop, address, "/list", False, lambda *_: None, Random(1))
    discovery.on_unreachable = reported.append
    stream = Stream(discovery, "/list", True)
    await discovery._connect(stream)
    assert stream.failure is StreamFailure.REFUSED
    assert reported == ([stream.started_at_s] if replicas == 1 else [])
