"""The stopper: what ends an experiment, what never does, and what is counted."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import numpy as np
import pytest

from woadyard.errors import LogEntryError, PlanError, WoadyardError
from woadyard.experiment import Decision, Plan, State, Stopper

Row = tuple[str, int, float, str, int, int]


def rows(seed: int, good: dict[str, float], seconds: int = 200, tried: int = 100, key: int = 1) -> list[Row]:
    """One row for each arm each second; `key` requests fare alike."""
    rng = np.random.default_rng(seed)
    cells = [(s, arm) for s in range(seconds) for arm in good]
    return [
        ("one", n, float(s), arm, tried, int(rng.binomial(tried // key, good[arm])) * key)
        for n, (s, arm) in enumerate(cells)
    ]


def played(told: Iterable[Row], plan: Plan | None = None) -> Decision:
    """The end of an experiment that is looked at after every row, or its last look."""
    stopper = Stopper(plan or Plan())
    decision = stopper.decide(0.0)
    for row in told:
        stopper.add(*row)
        decision = stopper.decide(row[2])
        if decision.is_final:
            break
    return decision


def test_names_the_better_arm_either_way_and_its_interval_holds_the_truth() -> None:
    for arms, winner in (({"a": 0.85, "b": 0.92}, "b"), ({"a": 0.92, "b": 0.85}, "a")):
        decision = played(rows(1, arms))
        assert (decision.state, decision.winner) == (State.WINNER, winner)
        assert decision.interval[0] < arms["b"] - arms["a"] < decision.interval[1]


def test_arms_alike_end_without_a_winner() -> None:
    assert played(rows(1, {"a": 0.9, "b": 0.9})).state is State.NO_DIFFERENCE
    assert played(rows(1, {"a": 1.0, "b": 1.0})).state is State.NO_DIFFERENCE
    assert played(rows(1, {"a": 0.9, "b": 0.9}, seconds=3)).state is State.RUNNING


def test_false_winners_stay_rare_with_keys_that_repeat_looked_at_after_every_row() -> None:
    ends = [played(rows(seed, {"a": 0.9, "b": 0.9}, 100, 60, key=3)).winner for seed in range(150)]
    # 0.05 of 150 is 7.5; the benchmark over 10,000 runs says about 0.02.
    assert sum(winner is not None for winner in ends) <= 12


def test_three_arms_need_the_best_of_all() -> None:
    three = Plan(arms=("a", "b", "c"))
    assert played(rows(1, {"a": 0.9, "b": 0.9, "c": 0.95}), three).winner == "c"
    assert played(rows(1, {"a": 0.95, "b": 0.9, "c": 0.9}), three).winner == "a"
    assert played(rows(1, {"a": 0.9, "b": 0.9, "c": 0.9}), three).winner is None


def test_a_trouble_with_a_share_changed_half_way_misleads_nobody() -> None:
    # All told b looks far better: it had most of its requests before the trouble (Simpson).
    rng = np.random.default_rng(1)
    stopper = Stopper(Plan(shares=(0.2, 0.8)))
    stopper.reshare(100.0, (0.8, 0.2))
    for second in range(200):
        late = second >= 100
        for number, (arm, tried) in enumerate({"a": 160 if late else 40, "b": 40 if late else 160}.items()):
            good = rng.binomial(tried, 0.5 if late else 0.95)
            stopper.add("one", 2 * second + number, second, arm, tried, good)
    decision = stopper.decide(200.0)
    assert decision.winner is None and decision.state is not State.INVALID
    assert decision.interval[0] < 0 < decision.interval[1]


@pytest.mark.parametrize("b_tried", [0, 60, 80])
def test_a_mismatch_of_shares_is_invalid_and_names_nobody(b_tried: int) -> None:
    told = rows(1, {"a": 0.8, "b": 0.95})
    decision = played(r if r[3] == "a" else (*r[:4], b_tried, int(r[5] * b_tried / 100)) for r in told)
    assert (decision.state, decision.winner) == (State.INVALID, None)


def test_an_arm_that_fails_is_harmful_before_the_plans_minimum() -> None:
    plan = Plan(minimum_tried=10**6, harm_good=0.1)
    decision = played(rows(1, {"a": 0.95, "b": 0.0}), plan)
    assert (decision.state, decision.winner, decision.arm) == (State.HARMFUL, None, "b")
    slow = Stopper(plan)
    for second in range(60):
        slow.add("one", 2 * second, second, "a", 100, 90, slow=5)
        slow.add("one", 2 * second + 1, second, "b", 100, 90, slow=30 + second % 3)
    assert slow.decide(60.0).arm == "b"


def test_order_and_repetition_change_nothing() -> None:
    told = rows(3, {"a": 0.9, "b": 0.91}, 150)
    twice = told + told[::2]
    random.Random(1).shuffle(twice)
    orderly, other = Stopper(Plan()), Stopper(Plan())
    for row in told:
        assert orderly.add(*row)
    for row in twice:
        other.add(*row)
    assert other.duplicates == 75 + 75
    one, two = orderly.decide(150.0), other.decide(150.0)
    assert (one.state, one.winner, one.tried) == (two.state, two.winner, two.tried)
    assert one.interval == pytest.approx(two.interval)


def test_late_rows_are_no_mismatch() -> None:
    told = rows(4, {"a": 0.9, "b": 0.9})
    rng = random.Random(4)
    late = sorted(range(len(told)), key=lambda n: n + 40 * (rng.random() < 0.2))
    assert played(told[n] for n in late).state is State.NO_DIFFERENCE


def test_an_end_stays_whatever_comes_later_and_time_never_goes_back() -> None:
    stopper = Stopper(Plan())
    for row in rows(1, {"a": 0.8, "b": 0.95}, 60):
        stopper.add(*row)
    end = stopper.decide(60.0)
    for row in rows(2, {"a": 0.95, "b": 0.1}, 100):
        stopper.add("two", *row[1:])
    assert stopper.decide(1e9) is end and stopper.decide(-5.0) is end and stopper.stop(1e9, "late") is end
    open_ = Stopper(Plan(maximum_s=100.0))
    open_.add("one", 1, 0.0, "a", 5, 5)
    assert open_.decide(50.0).at_s == open_.decide(20.0).at_s == 50.0
    assert open_.decide(100.0).state is State.EXPIRED


def test_no_winner_while_evidence_is_missing() -> None:
    stopper = Stopper(Plan())
    for row in rows(1, {"a": 0.8, "b": 0.95}, 60):
        stopper.add(*row)
    assert stopper.decide(60.0, missing=0.2).state is State.RUNNING
    assert stopper.decide(60.0, missing=0.05).winner == "b"


@pytest.mark.parametrize(
    "bad",
    [
        {"arm": "c"},
        {"good": 11},
        {"good": -1},
        {"tried": -1},
        {"tried": 10.5},
        {"number": "x"},
        {"number": -1},
        {"at_s": float("nan")},
        {"failed": 11},
        {"source": []},
    ],
)
def test_a_bad_row_is_refused_with_a_remedy_and_nothing_of_it_counts(bad: dict[str, Any]) -> None:
    stopper = Stopper(Plan())
    row: dict[str, Any] = {"source": "one", "number": 1, "at_s": 0.0, "arm": "a", "tried": 10, "good": 9}
    with pytest.raises(LogEntryError) as told:
        stopper.add(**{**row, **bad})
    assert told.value.remedy and stopper.tried == [0, 0]
    assert stopper.add(**{**row, "tried": np.int64(10), "good": np.uint8(9), "number": np.int32(1)})
    assert not stopper.add(**row) and stopper.tried == [10, 0]


@pytest.mark.parametrize(
    "bad",
    [
        lambda: Plan(arms=("a",)),
        lambda: Plan(arms=("a", "a")),
        lambda: Plan(arms="ab"),  # type: ignore[arg-type]
        lambda: Plan(shares=(0.5, 0.6)),
        lambda: Plan(shares=(1.0, 0.0)),
        lambda: Plan(shares=(1.0,)),
        lambda: Plan(alpha=0.0),
        lambda: Plan(alpha=float("nan")),
        lambda: Plan(smallest_difference=0.0),
        lambda: Plan(control="c"),
        lambda: Plan(maximum_s=1.0),
        lambda: Stopper(Plan()).decide(0.0, missing=2.0),
    ],
)
def test_a_plan_that_breaks_its_rules_is_refused(bad: Callable[[], object]) -> None:
    with pytest.raises(PlanError) as told:
        bad()
    assert isinstance(told.value, WoadyardError) and told.value.remedy
