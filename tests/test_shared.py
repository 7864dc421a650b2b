"""Shared state, pure: merging, bounds on staleness, lies, and what verdicts do."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.interface import COLD, DEGRADED, EJECTED
from woadyard.policy import splitmix64
from woadyard.shared.affinity import Affinity
from woadyard.shared.store import KINDS, VERDICT, GossipMessageError, SharedEntry, SharedStore, read_vector
from woadyard.shared.verdicts import TRUST_ACCUSED, TRUST_EJECTED, trust_factors

BOUND = 1_000
BOUNDS = dict.fromkeys(KINDS, BOUND)
WHO = strategies.integers(0, 3)
KNOWN = {f"n{n}" for n in range(4)}


class Gossiping(RuleBasedStateMachine):
    """Four sidecars on clocks set apart, told whole or cut short, late, twice, and
    restarted, against a model of who wrote what when."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.born = [0] * 4  # how often each was started
        self.stores = [SharedStore(f"n{n}@0", BOUNDS) for n in range(4)]
        self.written: dict[tuple[str, str], tuple[Any, int]] = {}  # (origin, key): value, when
        self.when: dict[tuple[str, int], int] = {}  # (origin, seq)
        self.late: list[tuple[int, int, list[list[Any]]]] = []  # to whom, asked when, told

    def clock(self, who: int) -> int:
        return self.now + 2_000_000 * who  # ±2 s and more between them

    @rule(who=WHO, key=strategies.sampled_from("12"), value=strategies.sampled_from([EJECTED, None]))
    def writes(self, who: int, key: str, value: str | None) -> None:
        store = self.stores[who]
        store.publish(self.clock(who), VERDICT, key, value)
        self.written[store.origin, key] = (value, self.now)
        self.when[store.origin, store.vector[store.origin]] = self.now

    @rule(
        who=WHO,
        peer=WHO,
        most=strategies.sampled_from([90, 1 << 20]),
        trip=strategies.sampled_from([0, 400, 900]),
    )
    def asks(self, who: int, peer: int, most: int, trip: int) -> None:
        self.tell(who, peer, most, trip)

    def tell(self, who: int, peer: int, most: int = 1 << 20, trip: int = 0) -> None:
        told = self.stores[peer].missing_entries(self.clock(peer), dict(self.stores[who].vector), most)
        rows = json.loads(json.dumps(told))
        asked, self.now = self.now, self.now + trip
        self.late.append((who, asked, rows))
        self.stores[who].merge(self.clock(who), rows, trip, KNOWN)

    @rule(at=strategies.integers(0, 20))
    def hears_it_again(self, at: int) -> None:
        """A telling that was long on its way; its trip is as long as that."""
        if self.late:
            who, asked, rows = self.late[at % len(self.late)]
            self.stores[who].merge(self.clock(who), rows, self.now - asked, KNOWN)

    @rule(step=strategies.sampled_from([1, 150, 700]))
    def time_passes(self, step: int) -> None:
        self.now += step
        for who, store in enumerate(self.stores):
            store.expire(self.clock(who))

    @rule(who=WHO)
    def restarts(self, who: int) -> None:
        self.born[who] += 1
        old, self.stores[who] = self.stores[who], SharedStore(f"n{who}@{self.born[who]}", BOUNDS)
        self.stores[who].load(self.clock(who), json.loads(json.dumps(old.dump(self.clock(who)))))

    def view(self, who: int) -> dict[tuple[str, str], Any]:
        found = self.stores[who].fresh_entries(self.clock(who), VERDICT)
        return {(one.origin, one.key): one.value for one in found}

    @invariant()
    def nothing_is_used_past_its_bound(self) -> None:
        for who, store in enumerate(self.stores):
            for one in store.fresh_entries(self.clock(who), VERDICT):
                assert self.now - self.when[one.origin, one.seq] <= BOUND

    @rule()
    def all_converge(self) -> None:
        for _ in range(3):  # a chain forth and back reaches all
            for who in (*range(4), *reversed(range(4))):
                for peer in (who - 1, who + 1):
                    if 0 <= peer < 4:
                        self.tell(who, peer)
        views = [self.view(who) for who in range(4)]
        assert all(view == views[0] for view in views)
        for who, store in enumerate(self.stores):
            for (origin, key), (value, at) in self.written.items():
                if origin == store.origin and value is not None and self.now - at <= BOUND:
                    assert views[who][origin, key] == value


TestGossiping = Gossiping.TestCase
TestGossiping.settings = settings(max_examples=300, stateful_step_count=25, deadline=None)


def row(**changes: Any) -> list[Any]:
    parts = {"origin": "n1@0", "seq": 1, "kind": VERDICT, "key": "7", "value": EJECTED, "ttl": 9, "age": 0}
    return list({**parts, **changes}.values())


@pytest.mark.parametrize(
    "bad",
    [
        7, [], row()[:6], row(origin=""), row(origin="n" * 200), row(seq=-1), row(seq="1"), row(seq=True),
        row(seq=1 << 60), row(kind="other"), row(kind=[]), row(key=5), row(ttl=BOUND + 1), row(age=10),
        row(age=1.5), row(value="x" * 300), row(origin="n2@0", seq=3_000_000),
    ],
)  # fmt: skip
def test_a_lie_is_turned_down_whole_and_changes_nothing(bad: Any) -> None:
    store = SharedStore("n0@0", BOUNDS)
    store.merge(0, [row(origin="n2@0")], 0, KNOWN)
    before = store.dump(5), dict(store.vector)
    with pytest.raises(GossipMessageError):
        store.merge(5, [row(), bad], 0, KNOWN)
    assert (store.dump(5), store.vector) == before


@pytest.mark.parametrize("bad", [None, [], {"n1@0": -1}, {"n1@0": 1.0}, {"": 1}, {"n1@0": 1 << 60}])
def test_a_vector_that_is_none_is_turned_down(bad: Any) -> None:
    with pytest.raises(GossipMessageError):
        read_vector(bad)


def test_who_no_list_names_is_left_out_and_may_come_again() -> None:
    store = SharedStore("n0@0", BOUNDS)
    assert store.merge(0, [row()], 0, {"n0"}) == 0
    assert store.merge(0, [row()], 0, KNOWN) == 1


def test_a_process_outbids_what_it_is_made_to_say() -> None:
    store, peer = SharedStore("n0@0", BOUNDS), SharedStore("n1@0", BOUNDS)
    store.publish(0, VERDICT, "7", DEGRADED)
    peer.merge(0, [row(origin="n0@0", seq=500, value=EJECTED)], 0, KNOWN)  # somebody's lie
    store.merge(1, peer.missing_entries(1, store.vector, 1 << 20), 0, KNOWN)
    peer.merge(2, store.missing_entries(2, peer.vector, 1 << 20), 0, KNOWN)
    assert [one.value for one in peer.fresh_entries(2, VERDICT)] == [DEGRADED]


def verdict(name: str, number: int, state: str = EJECTED) -> SharedEntry:
    return SharedEntry(f"{name}@0", 1, VERDICT, str(number), state, BOUND, 0)


def test_one_word_halves_two_eject_and_ones_own_does_not_count_here() -> None:
    told = [verdict("n1", 1), verdict("n2", 1), verdict("n1", 2), verdict("n2", 3, COLD), verdict("n0", 4)]
    assert trust_factors(told, "n0", range(10), 1.0) == {1: TRUST_EJECTED, 2: TRUST_ACCUSED, 3: TRUST_ACCUSED}
    twice = [verdict("n1", 1), SharedEntry("n1@9", 1, VERDICT, "1", EJECTED, BOUND, 0)]
    assert trust_factors(twice, "n0", range(10), 1.0) == {1: TRUST_ACCUSED}, "two processes of one sidecar"


def test_a_confused_sidecar_lowers_no_more_than_the_share() -> None:
    told = [verdict("n1", n) for n in range(10)] + [verdict("n2", 9), verdict("n3", 9, "nonsense")]
    assert trust_factors(told, "n0", range(10), 0.3) == {9: TRUST_EJECTED, 0: TRUST_ACCUSED, 1: TRUST_ACCUSED}
    assert trust_factors(told, "n0", range(3), 0.3) == {}


def test_a_telling_cut_short_goes_on_where_it_ended() -> None:
    store, peer = SharedStore("n0@0", BOUNDS), SharedStore("n1@0", BOUNDS)
    for key in ("1", "2", "3", "1"):
        store.publish(0, VERDICT, key, EJECTED)
    for count in (1, 2, 3, 3):
        peer.merge(0, store.missing_entries(0, peer.vector, 70), 0, KNOWN)
        assert len(list(peer.fresh_entries(0, VERDICT))) == count
    assert not peer.is_behind(store.vector)
    old = [row(origin="n0@0", seq=1, key="2", value=None)]
    assert peer.merge(0, old, 0, KNOWN) == 0 and len(list(peer.fresh_entries(0, VERDICT))) == 3


def test_a_keys_home_is_the_same_everywhere_and_only_a_leavers_keys_move() -> None:
    keys, numbers = [b"k%d" % n for n in range(3_000)], [splitmix64(n) for n in range(20)]
    here, there = Affinity(), Affinity()
    assert here.home(b"k") is None
    here.set_endpoints(numbers)
    there.set_endpoints(reversed(numbers))
    before = [here.home(key) for key in keys]
    assert before == [there.home(key) for key in keys]
    assert set(before) == set(numbers)
    assert max(before.count(one) for one in numbers) < 2 * len(keys) / len(numbers)
    here.set_endpoints(numbers[1:])
    after = [here.home(key) for key in keys]
    moved = {was for was, now in zip(before, after, strict=True) if was != now}
    assert moved == {numbers[0]}
    assert len({now for was, now in zip(before, after, strict=True) if was == numbers[0]}) > 10
