"""Leases on shares of a limit: never more than the limit in use, over kills, delays and clock skew."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.errors import LogEntryError
from woadyard.limits import Ledger
from woadyard.shared.limit_lease import LimitLease

LIMIT, TTL = 10, 1_000
HOLDERS = strategies.integers(0, 3)


class LimitLeaseMachine(RuleBasedStateMachine):
    """Four holders whose requests and responses are delayed, lost or overtaken, and which are
    killed and restarted; a ledger that restarts. Each holder uses all that its lease allows."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.ledger = Ledger()
        self.leases = [LimitLease(0) for _ in range(4)]
        self.names = [f"n{n}" for n in range(4)]
        self.requests: list[tuple[int, LimitLease, str, int, int, dict[str, int]]] = []
        self.responses: list[tuple[LimitLease, int, int, dict[str, int]]] = []

    def clock(self, index: int) -> int:
        return self.now + 2_000_000 * index

    @rule(index=HOLDERS)
    def send_request(self, index: int) -> None:
        seq, keeps = self.leases[index].next_request(self.clock(index), {})
        self.requests.append((index, self.leases[index], self.names[index], self.clock(index), seq, keeps))

    @rule(at=strategies.integers(0, 9), is_lost=strategies.booleans())
    def grant(self, at: int, is_lost: bool) -> None:
        if self.requests:
            _, lease, name, requested_us, seq, keeps = self.requests.pop(at % len(self.requests))
            try:
                granted = self.ledger.grant_shares(self.now, name, seq, TTL, LIMIT, ["e"], keeps)
            except LogEntryError:
                return
            if not is_lost:
                self.responses.append((lease, requested_us, seq, granted))

    @rule(at=strategies.integers(0, 9))
    def receive_response(self, at: int) -> None:
        if self.responses:
            lease, requested_us, seq, granted = self.responses.pop(at % len(self.responses))
            if seq == lease.seq:  # a request is abandoned before the next is sent
                lease.apply_grants(requested_us, TTL, granted)

    @rule(index=HOLDERS)
    def renew(self, index: int) -> None:
        self.send_request(index)
        self.grant(len(self.requests) - 1, False)
        self.receive_response(len(self.responses) - 1)

    @rule(index=HOLDERS)
    def kill(self, index: int) -> None:
        self.leases[index] = LimitLease(0)
        self.names[index] += "'"

    @rule(step=strategies.sampled_from([1, 300, 700]))
    def advance_time(self, step: int) -> None:
        self.now += step

    @rule()
    def restart_ledger(self) -> None:
        self.ledger = Ledger.load(self.ledger.dump())
        self.ledger.extend_all(self.now)

    @invariant()
    def limit_is_never_exceeded(self) -> None:
        used = sum(
            lease.usable_caps(self.clock(index)).get("e", 0) for index, lease in enumerate(self.leases)
        )
        assert used <= LIMIT
        assert sum(holding.units.get("e", 0) for holding in self.ledger.holder_leases.values()) <= LIMIT


TestLimitLeases = LimitLeaseMachine.TestCase
TestLimitLeases.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)


def renew(ledger: Ledger, lease: LimitLease, name: str, now: int) -> int:
    seq, keeps = lease.next_request(now, {})
    lease.apply_grants(now, TTL, ledger.grant_shares(now, name, seq, TTL, LIMIT, ["e"], keeps))
    return lease.usable_caps(now).get("e", 0)


def test_shares_even_out_within_two_renewals_and_a_killed_holders_share_is_free_after_its_lease() -> None:
    ledger, first, second = Ledger(), LimitLease(0), LimitLease(0)
    assert renew(ledger, first, "n1", 0) == LIMIT
    assert renew(ledger, second, "n2", 1) == 0, "the first holds the whole limit"
    renew(ledger, first, "n1", 300)
    renew(ledger, first, "n1", 600)  # confirms that it uses only the smaller share
    assert renew(ledger, second, "n2", 601) == LIMIT / 2
    # The first is killed; its last renewal was at 600.
    assert renew(ledger, second, "n2", 600 + TTL - 1) == LIMIT / 2, "not before its lease has expired"
    assert renew(ledger, second, "n2", 600 + TTL) == LIMIT


def test_attempts_in_flight_count_as_kept_and_the_margin_leaves_time_for_them() -> None:
    ledger, lease = Ledger(), LimitLease(margin_us=400)
    lease.apply_grants(0, TTL, ledger.grant_shares(0, "n1", 1, TTL, LIMIT, ["e"], {}))
    assert lease.usable_caps(599) == {"e": LIMIT} and lease.usable_caps(600) == {}
    lease.seq = 1
    assert lease.next_request(700, {"e": 3}) == (2, {"e": 3})
    ledger.grant_shares(700, "n1", 2, TTL, LIMIT, [], {"e": 3})
    assert ledger.grant_shares(701, "n2", 1, TTL, LIMIT, ["e"], {}) == {"e": LIMIT - 5}


@pytest.mark.parametrize("seq", [1, 2])
def test_overtaken_request_is_rejected(seq: int) -> None:
    ledger = Ledger()
    ledger.grant_shares(0, "n1", 2, TTL, LIMIT, ["e"], {})
    before = ledger.dump()
    with pytest.raises(LogEntryError):
        ledger.grant_shares(1, "n1", seq, TTL, LIMIT, [], {})
    assert ledger.dump() == before
