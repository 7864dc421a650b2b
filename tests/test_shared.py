"""Shared state without I/O: merging, expiry, invalid messages, and the effect of verdicts."""

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
SIDECARS = strategies.integers(0, 3)
KNOWN = {f"n{n}" for n in range(4)}


class GossipMachine(RuleBasedStateMachine):
    """Four sidecars with clock skew that receive entries whole or truncated, late and twice, and
    are restarted, against a model of what each wrote and when."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.restarts = [0] * 4
        self.stores = [SharedStore(f"n{n}@0", BOUNDS) for n in range(4)]
        self.written: dict[tuple[str, str], tuple[Any, int]] = {}  # value and time by origin and key
        self.written_at: dict[tuple[str, int], int] = {}  # by origin and seq
        self.responses: list[tuple[int, int, list[list[Any]]]] = []  # receiver, time of the request, rows

    def clock(self, index: int) -> int:
        return self.now + 2_000_000 * index  # skew of 2 s and more

    @rule(index=SIDECARS, key=strategies.sampled_from("12"), value=strategies.sampled_from([EJECTED, None]))
    def write(self, index: int, key: str, value: str | None) -> None:
        store = self.stores[index]
        store.publish(self.clock(index), VERDICT, key, value)
        self.written[store.own_origin, key] = (value, self.now)
        self.written_at[store.own_origin, store.vector[store.own_origin]] = self.now

    @rule(
        index=SIDECARS,
        peer=SIDECARS,
        max_bytes=strategies.sampled_from([90, 1 << 20]),
        round_trip=strategies.sampled_from([0, 400, 900]),
    )
    def pull(self, index: int, peer: int, max_bytes: int, round_trip: int) -> None:
        self.exchange(index, peer, max_bytes, round_trip)

    def exchange(self, index: int, peer: int, max_bytes: int = 1 << 20, round_trip: int = 0) -> None:
        entries = self.stores[peer].missing_entries(
            self.clock(peer), dict(self.stores[index].vector), max_bytes
        )
        rows = json.loads(json.dumps(entries))
        requested_us, self.now = self.now, self.now + round_trip
        self.responses.append((index, requested_us, rows))
        self.stores[index].merge(self.clock(index), rows, round_trip, KNOWN)

    @rule(at=strategies.integers(0, 20))
    def receive_again(self, at: int) -> None:
        """Receive an earlier response late, or once more; its round trip has been as long."""
        if self.responses:
            index, requested_us, rows = self.responses[at % len(self.responses)]
            self.stores[index].merge(self.clock(index), rows, self.now - requested_us, KNOWN)

    @rule(step=strategies.sampled_from([1, 150, 700]))
    def advance_time(self, step: int) -> None:
        self.now += step
        for index, store in enumerate(self.stores):
            store.expire(self.clock(index))

    @rule(index=SIDECARS)
    def restart(self, index: int) -> None:
        self.restarts[index] += 1
        old, self.stores[index] = self.stores[index], SharedStore(f"n{index}@{self.restarts[index]}", BOUNDS)
        self.stores[index].load(self.clock(index), json.loads(json.dumps(old.dump(self.clock(index)))))

    def view(self, index: int) -> dict[tuple[str, str], Any]:
        entries = self.stores[index].fresh_entries(self.clock(index), VERDICT)
        return {(entry.origin, entry.key): entry.value for entry in entries}

    @invariant()
    def no_expired_entry_is_used(self) -> None:
        for index, store in enumerate(self.stores):
            for entry in store.fresh_entries(self.clock(index), VERDICT):
                assert self.now - self.written_at[entry.origin, entry.seq] <= BOUND

    @rule()
    def converge(self) -> None:
        for _ in range(3):  # a chain there and back reaches all sidecars
            for index in (*range(4), *reversed(range(4))):
                for peer in (index - 1, index + 1):
                    if 0 <= peer < 4:
                        self.exchange(index, peer)
        views = [self.view(index) for index in range(4)]
        assert all(view == views[0] for view in views)
        for index, store in enumerate(self.stores):
            for (origin, key), (value, written_us) in self.written.items():
                if origin == store.own_origin and value is not None and self.now - written_us <= BOUND:
                    assert views[index][origin, key] == value


TestGossip = GossipMachine.TestCase
TestGossip.settings = settings(max_examples=300, stateful_step_count=25, deadline=None)


def row(**changes: Any) -> list[Any]:
    parts = {"origin": "n1@0", "seq": 1, "kind": VERDICT, "key": "7", "value": EJECTED, "ttl": 9, "age": 0}
    return list({**parts, **changes}.values())


@pytest.mark.parametrize(
    "invalid_row",
    [
        7, [], row()[:6], row(origin=""), row(origin="n" * 200), row(seq=-1), row(seq="1"), row(seq=True),
        row(seq=1 << 60), row(kind="other"), row(kind=[]), row(key=5), row(ttl=BOUND + 1), row(age=10),
        row(age=1.5), row(value="x" * 300), row(origin="n2@0", seq=3_000_000),
    ],
)  # fmt: skip
def test_message_with_an_invalid_entry_is_rejected_whole(invalid_row: Any) -> None:
    store = SharedStore("n0@0", BOUNDS)
    store.merge(0, [row(origin="n2@0")], 0, KNOWN)
    before = store.dump(5), dict(store.vector)
    with pytest.raises(GossipMessageError):
        store.merge(5, [row(), invalid_row], 0, KNOWN)
    assert (store.dump(5), store.vector) == before


@pytest.mark.parametrize("vector", [None, [], {"n1@0": -1}, {"n1@0": 1.0}, {"": 1}, {"n1@0": 1 << 60}])
def test_invalid_vector_is_rejected(vector: Any) -> None:
    with pytest.raises(GossipMessageError):
        read_vector(vector)


def test_entries_of_unlisted_sidecars_are_skipped_until_they_are_listed() -> None:
    store = SharedStore("n0@0", BOUNDS)
    assert store.merge(0, [row()], 0, {"n0"}) == 0
    assert store.merge(0, [row()], 0, KNOWN) == 1


def test_process_republishes_its_entries_above_a_forged_sequence_number() -> None:
    store, peer = SharedStore("n0@0", BOUNDS), SharedStore("n1@0", BOUNDS)
    store.publish(0, VERDICT, "7", DEGRADED)
    peer.merge(0, [row(origin="n0@0", seq=500, value=EJECTED)], 0, KNOWN)  # forged
    store.merge(1, peer.missing_entries(1, store.vector, 1 << 20), 0, KNOWN)
    peer.merge(2, store.missing_entries(2, peer.vector, 1 << 20), 0, KNOWN)
    assert [entry.value for entry in peer.fresh_entries(2, VERDICT)] == [DEGRADED]


def verdict(name: str, number: int, state: str = EJECTED) -> SharedEntry:
    return SharedEntry(f"{name}@0", 1, VERDICT, str(number), state, BOUND, 0)


def test_one_accuser_halves_trust_two_eject_and_own_verdicts_do_not_count() -> None:
    entries = [verdict("n1", 1), verdict("n2", 1), verdict("n1", 2), verdict("n2", 3, COLD), verdict("n0", 4)]
    assert trust_factors(entries, "n0", range(10), 1.0) == {
        1: TRUST_EJECTED,
        2: TRUST_ACCUSED,
        3: TRUST_ACCUSED,
    }
    same_sidecar = [verdict("n1", 1), SharedEntry("n1@9", 1, VERDICT, "1", EJECTED, BOUND, 0)]
    assert trust_factors(same_sidecar, "n0", range(10), 1.0) == {1: TRUST_ACCUSED}, (
        "two processes of one sidecar"
    )


def test_verdicts_lower_no_more_than_the_configured_share() -> None:
    entries = [verdict("n1", n) for n in range(10)] + [verdict("n2", 9), verdict("n3", 9, "nonsense")]
    assert trust_factors(entries, "n0", range(10), 0.3) == {
        9: TRUST_EJECTED,
        0: TRUST_ACCUSED,
        1: TRUST_ACCUSED,
    }
    assert trust_factors(entries, "n0", range(3), 0.3) == {}


def test_truncated_response_continues_where_it_ended() -> None:
    store, peer = SharedStore("n0@0", BOUNDS), SharedStore("n1@0", BOUNDS)
    for key in ("1", "2", "3", "1"):
        store.publish(0, VERDICT, key, EJECTED)
    for count in (1, 2, 3, 3):
        peer.merge(0, store.missing_entries(0, peer.vector, 70), 0, KNOWN)
        assert len(list(peer.fresh_entries(0, VERDICT))) == count
    assert not peer.is_behind(store.vector)
    stale_rows = [row(origin="n0@0", seq=1, key="2", value=None)]
    assert peer.merge(0, stale_rows, 0, KNOWN) == 0 and len(list(peer.fresh_entries(0, VERDICT))) == 3


def test_home_is_the_same_at_all_sidecars_and_only_a_removed_endpoints_keys_move() -> None:
    keys, numbers = [b"k%d" % n for n in range(3_000)], [splitmix64(n) for n in range(20)]
    first, second = Affinity(), Affinity()
    assert first.home(b"k") is None
    first.set_endpoints(numbers)
    second.set_endpoints(reversed(numbers))
    before = [first.home(key) for key in keys]
    assert before == [second.home(key) for key in keys]
    assert set(before) == set(numbers)
    assert max(before.count(number) for number in numbers) < 2 * len(keys) / len(numbers)
    first.set_endpoints(numbers[1:])
    after = [first.home(key) for key in keys]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {numbers[0]}
    assert len({new for old, new in zip(before, after, strict=True) if old == numbers[0]}) > 10
