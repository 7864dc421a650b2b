"""Leases of a budget: never more than the limit in use, over kills, delays and skew."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.errors import LogEntryError
from woadyard.limits import Ledger
from woadyard.shared.limit_lease import LimitLease

LIMIT, TTL = 10, 1_000
WHO = strategies.integers(0, 3)


class Holders(RuleBasedStateMachine):
    """Four holders, their calls and answers late, lost or overtaken; killed and started
    anew; a ledger that restarts. Each uses all that it believes it may."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.ledger = Ledger()
        self.leases = [LimitLease(0) for _ in range(4)]
        self.names = [f"n{n}" for n in range(4)]
        self.calls: list[tuple[int, LimitLease, str, int, int, dict[str, int]]] = []
        self.answers: list[tuple[LimitLease, int, int, dict[str, int]]] = []

    def clock(self, who: int) -> int:
        return self.now + 2_000_000 * who

    @rule(who=WHO)
    def asks(self, who: int) -> None:
        seq, keeps = self.leases[who].next_request(self.clock(who), {})
        self.calls.append((who, self.leases[who], self.names[who], self.clock(who), seq, keeps))

    @rule(at=strategies.integers(0, 9), lost=strategies.booleans())
    def grants(self, at: int, lost: bool) -> None:
        if self.calls:
            _, lease, name, asked, seq, keeps = self.calls.pop(at % len(self.calls))
            try:
                granted = self.ledger.grant_shares(self.now, name, seq, TTL, LIMIT, ["e"], keeps)
            except LogEntryError:
                return
            if not lost:
                self.answers.append((lease, asked, seq, granted))

    @rule(at=strategies.integers(0, 9))
    def hears(self, at: int) -> None:
        if self.answers:
            lease, asked, seq, granted = self.answers.pop(at % len(self.answers))
            if seq == lease.seq:  # a call is given up before the next is made
                lease.apply_grants(asked, TTL, granted)

    @rule(who=WHO)
    def renews(self, who: int) -> None:
        self.asks(who)
        self.grants(len(self.calls) - 1, False)
        self.hears(len(self.answers) - 1)

    @rule(who=WHO)
    def killed(self, who: int) -> None:
        self.leases[who] = LimitLease(0)
        self.names[who] += "'"

    @rule(step=strategies.sampled_from([1, 300, 700]))
    def time_passes(self, step: int) -> None:
        self.now += step

    @rule()
    def the_ledger_restarts(self) -> None:
        self.ledger = Ledger.load(self.ledger.dump())
        self.ledger.extend_all(self.now)

    @invariant()
    def never_more_than_the_limit(self) -> None:
        used = sum(one.usable_caps(self.clock(who)).get("e", 0) for who, one in enumerate(self.leases))
        assert used <= LIMIT
        assert sum(one.units.get("e", 0) for one in self.ledger.holder_leases.values()) <= LIMIT


TestHolders = Holders.TestCase
TestHolders.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)


def renew(ledger: Ledger, lease: LimitLease, name: str, now: int) -> int:
    seq, keeps = lease.next_request(now, {})
    lease.apply_grants(now, TTL, ledger.grant_shares(now, name, seq, TTL, LIMIT, ["e"], keeps))
    return lease.usable_caps(now).get("e", 0)


def test_shares_even_out_within_two_renewals_and_one_killed_gives_back_after_its_lease() -> None:
    ledger, first, second = Ledger(), LimitLease(0), LimitLease(0)
    assert renew(ledger, first, "n1", 0) == LIMIT
    assert renew(ledger, second, "n2", 1) == 0, "all is held"
    renew(ledger, first, "n1", 300)
    renew(ledger, first, "n1", 600)  # it says that it keeps to the smaller share
    assert renew(ledger, second, "n2", 601) == LIMIT / 2
    # the first is killed; its last renewal was at 600
    assert renew(ledger, second, "n2", 600 + TTL - 1) == LIMIT / 2, "never before its lease ran out"
    assert renew(ledger, second, "n2", 600 + TTL) == LIMIT


def test_what_is_in_flight_counts_as_kept_and_the_end_leaves_time_for_it() -> None:
    ledger, lease = Ledger(), LimitLease(margin_us=400)
    lease.apply_grants(0, TTL, ledger.grant_shares(0, "n1", 1, TTL, LIMIT, ["e"], {}))
    assert lease.usable_caps(599) == {"e": LIMIT} and lease.usable_caps(600) == {}
    lease.seq = 1
    assert lease.next_request(700, {"e": 3}) == (2, {"e": 3})
    ledger.grant_shares(700, "n1", 2, TTL, LIMIT, [], {"e": 3})
    assert ledger.grant_shares(701, "n2", 1, TTL, LIMIT, ["e"], {}) == {"e": LIMIT - 5}


@pytest.mark.parametrize("seq", [1, 2])
def test_a_call_that_was_overtaken_is_turned_down(seq: int) -> None:
    ledger = Ledger()
    ledger.grant_shares(0, "n1", 2, TTL, LIMIT, ["e"], {})
    before = ledger.dump()
    with pytest.raises(LogEntryError):
        ledger.grant_shares(1, "n1", seq, TTL, LIMIT, [], {})
    assert ledger.dump() == before
