"""The membership lease: what renews it, what ends it, and that every send needs it."""

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
from woadyard.net.discovery import Discovery
from woadyard.net.list_stream import Stream, StreamFailure
from woadyard.policy import Balancer
from woadyard.policy.lease import (
    ADDRESS_CHANGE_BINDING_US,
    BINDING_US,
    LEASE_US,
    RESPONSE_LEASE_US,
    MembershipLease,
)

HEARTBEAT = b"1\r\n\n\r\n"


def leased(now: int = 0) -> MembershipLease:
    lease = MembershipLease()
    lease.start(now, True, True, False)
    lease.confirm(now)
    return lease


def balancer_of(size: int = 8, stage: int = 0) -> Balancer:
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True, stage=stage))
    balancer.start(0, True, True)
    balancer.members(0, LIST_FULL, ready_entries(size))
    return balancer


def test_a_lease_that_is_not_renewed_ends_before_a_change_could_bind() -> None:
    lease = leased()
    assert lease.allows(LEASE_US - 1, 0) and not lease.allows(LEASE_US, 0)
    lease.confirm(4 * SECOND)
    assert lease.allows(4 * SECOND + LEASE_US - 1, 0)
    assert LEASE_US + 150 * MS < BINDING_US


def test_an_answer_stands_in_for_the_list_for_a_while_but_not_after_silence_or_a_move() -> None:
    lease = leased()
    late = LEASE_US + SECOND
    assert lease.allows(late, late - RESPONSE_LEASE_US + 1)
    assert not lease.allows(late, late - RESPONSE_LEASE_US)
    lease.silent()
    assert not lease.allows(late, late - 1)
    lease.confirm(late)
    lease.moved(late)
    assert not lease.allows(late + ADDRESS_CHANGE_BINDING_US, late + ADDRESS_CHANGE_BINDING_US - 1)


def test_a_new_address_shortens_the_lease_and_only_a_list_of_it_lifts_that() -> None:
    lease = leased()
    lease.moved(SECOND)
    assert not lease.allows(SECOND + ADDRESS_CHANGE_BINDING_US - 150 * MS, 0)
    lease.unreachable(SECOND)
    assert lease.expires_us < SECOND + ADDRESS_CHANGE_BINDING_US
    lease.confirm(2 * SECOND)
    assert lease.expires_us == 2 * SECOND + LEASE_US


def test_a_discovery_that_nobody_serves_binds_nothing_while_it_is_away() -> None:
    balancer = balancer_of()
    driver = Client(balancer)
    for second in range(1, 60):
        balancer.unreachable(second * SECOND, second * SECOND)
        assert driver.serve(second * SECOND + 500 * MS, 5 * MS)
    _, actions = driver.submit(59 * SECOND + LEASE_US)
    assert [type(one) for one in actions] == [Refuse]


def test_behind_the_entry_a_request_waits_for_the_lease() -> None:
    balancer = balancer_of(stage=1)
    rid, actions = Client(balancer).submit(10 * SECOND)
    assert not sends(actions) and rid in balancer.requests
    (timer,) = actions
    balancer.members(10 * SECOND + MS, LIST_FULL, ready_entries(8))
    assert sends(balancer.timer(10 * SECOND + 5 * MS, timer.token))  # type: ignore[union-attr]


def test_the_guard_and_the_first_byte_both_heed_the_lease() -> None:
    """A connection that comes up after the lease ended is not written to."""
    balancer = balancer_of()
    rid = 1
    at = LEASE_US - 100 * MS
    (sent,) = sends(balancer.request(at, Arrival(rid, 0, at + SECOND)))
    assert sent.start_by == LEASE_US
    request = balancer.requests[rid]
    other = next(one for one in balancer.endpoints.values() if one.id != sent.endpoint)
    assert not balancer._send(LEASE_US, request, other)
    balancer.outcome(LEASE_US, Outcome(rid, 0, sent.endpoint, MOOT, 100 * MS))
    assert rid not in balancer.requests, "refused: it never ran"


def test_an_endpoint_put_back_gets_its_first_request_only_under_a_lease() -> None:
    balancer = balancer_of(2)
    driver = Client(balancer)
    balancer.detach(SECOND, 100)
    balancer.attach(SECOND, 100)
    balancer.membership.trial_due_us[100] = 0
    _, actions = driver.submit(LEASE_US)
    assert not sends(actions)


Step = tuple[str, int]
STEPS = ("beat", "list", "failed", "refused", "silent", "moved", "ask")


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 4_000)), max_size=60), st.booleans())
def test_whatever_happens_no_send_rests_on_a_list_that_could_be_bound(steps: list[Step], known: bool) -> None:
    """Against a second reckoning: the last moment at which discovery confirmed the list, was known to be
    away, or the endpoint had answered."""
    balancer = Balancer(1, replace(SETTINGS, asks_discovery=True))
    balancer.start(0, True, True)
    balancer.members(0, LIST_CACHED if known else LIST_FULL, ready_entries(6))
    driver, now = Client(balancer), 1
    confirmed, away, moved = (None if known else 0), None, None
    answered: dict[int, int] = {}
    for step, wait in steps:
        now += wait * MS
        if step in ("beat", "list"):
            confirmed, away, moved = now, None, None
            answered.clear()
            balancer.confirmed(now) if step == "beat" else balancer.members(now, LIST_FULL, ready_entries(6))
        elif step == "failed":
            balancer.members(now, LIST_FAILED, [])
        elif step == "refused":
            balancer.unreachable(now, now)
            away = now
        elif step == "silent":
            balancer.silent(now)
        elif step == "moved":
            balancer.moved(now)
            moved = now
        else:
            rid, actions = driver.submit(now)
            for sent in sends(actions)[:1]:
                assert confirmed is not None or away is not None, "by a list from before the start"
                since = max(answered.get(sent.endpoint, 0), confirmed or 0, away or 0)
                assert now < since + BINDING_US
                if moved is not None:
                    assert now < max(moved, away or 0) + ADDRESS_CHANGE_BINDING_US
                if now >= max(confirmed or 0, away or 0) + BINDING_US:
                    assert now < answered[sent.endpoint] + RESPONSE_LEASE_US
                answered[sent.endpoint] = now
                balancer.outcome(now + MS, Outcome(rid, 0, sent.endpoint, OK, MS, over=True))
                now += MS


def expires_s(chain: SimulatedSidecar) -> float:
    return chain.driver.balancer.ctx.lease.expires_us / 1e6


def beating(chain: SimulatedSidecar) -> Stream:
    """The watch of a chain that has told its list."""
    chain.seconds_until_list()
    stream = chain.discovery.stream
    assert stream is not None
    return stream


@pytest.mark.parametrize("period_s", [0.0, 3.0])
def test_each_heartbeat_of_the_watch_renews_the_lease(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    stream = beating(chain)
    for _ in range(10):
        chain.advance_to(chain.now + 2.0)
        stream.data_received(HEARTBEAT)
        assert expires_s(chain) == pytest.approx(chain.now + LEASE_US / 1e6, abs=1e-3)


@pytest.mark.parametrize("piece", [b"1\r\n \r\n", b"2\r\n{\n\r\n", b""])
def test_bytes_that_are_no_whole_line_renew_nothing(monkeypatch: pytest.MonkeyPatch, piece: bytes) -> None:
    chain = SimulatedSidecar(monkeypatch, 3.0)
    stream = beating(chain)
    before = expires_s(chain)
    chain.advance_to(chain.now + 1.0)
    if piece:
        stream.data_received(piece)
    assert expires_s(chain) == before


def test_heartbeats_before_the_list_renew_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    chain = SimulatedSidecar(monkeypatch, 3.0)
    beating(chain)
    before = expires_s(chain)
    chain.outcomes = [no_response]
    chain.discovery.set_watch(True)
    chain.advance_to(chain.now + 0.1)
    assert chain.discovery.stream is not None
    chain.discovery.stream.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + HEARTBEAT)
    assert expires_s(chain) == before


@pytest.mark.parametrize("period_s", [0.0, 3.0, 10.0])
@pytest.mark.parametrize("path", ["reset", "silent", "again", "moved", "replaced", "retuned", "stopped"])
@pytest.mark.parametrize("then", [status_503, connection_reset, connect_timeout, no_response])
def test_on_every_path_on_which_a_watch_is_lost_the_lease_ends(
    monkeypatch: pytest.MonkeyPatch, period_s: float, path: str, then: object
) -> None:
    """And the calls that follow fail: none of them renews it."""
    chain = SimulatedSidecar(monkeypatch, period_s)
    stream = beating(chain)
    lost = chain.now
    chain.outcomes = [then] * 1000  # type: ignore[list-item]
    match path:
        case "reset":
            stream.connection_lost(ConnectionResetError())
        case "again":
            chain.discovery.restart_watch()
        case "moved":
            chain.discovery.change_address("127.0.0.1:2")
        case "replaced":
            chain.discovery.set_watch(True)
        case "retuned":
            stream.connection_lost(ConnectionResetError())
            chain.discovery.set_push_mode(not chain.discovery.uses_push)
        case "stopped":
            chain.discovery.set_watch(False)
    chain.advance_to(lost + 20.0)
    bound = (ADDRESS_CHANGE_BINDING_US if path == "moved" else BINDING_US) / 1e6
    assert expires_s(chain) < lost + bound
    assert chain.driver.balancer.ctx.lease.responses_extend is (path not in ("silent", "moved"))


@pytest.mark.parametrize("replicas", [1, 2])
async def test_only_a_single_address_that_refuses_connections_proves_that_discovery_is_away(
    replicas: int,
) -> None:
    away: list[float] = []
    loop = asyncio.get_running_loop()
    address = ",".join(f"127.0.0.1:{free_port()}" for _ in range(replicas))
    discovery = Discovery(loop, address, "/list", False, lambda *_: None, Random(1))
    discovery.on_unreachable = away.append
    stream = Stream(discovery, "/list", True)
    await discovery._connect(stream)
    assert stream.failure is StreamFailure.REFUSED
    assert away == ([stream.started_at_s] if replicas == 1 else [])
