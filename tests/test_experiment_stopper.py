"""Tests of the stopping rule: decisions, error rates, guardrails, and which rows are counted."""

import random
from collections.abc import Callable, Iterable
from typing import Any

import numpy as np
import pytest

from woadyard.errors import LogEntryError, PlanError, WoadyardError
from woadyard.experiment import Decision, Plan, State, Stopper

Row = tuple[str, int, float, str, int, int]


def generate_rows(
    seed: int, good: dict[str, float], seconds: int = 200, tried: int = 100, key: int = 1
) -> list[Row]:
    """One row per arm and second; the `key` requests of a key have the same outcome."""
    rng = np.random.default_rng(seed)
    cells = [(second, arm) for second in range(seconds) for arm in good]
    return [
        ("one", number, float(second), arm, tried, int(rng.binomial(tried // key, good[arm])) * key)
        for number, (second, arm) in enumerate(cells)
    ]


def run_until_final(rows: Iterable[Row], plan: Plan | None = None) -> Decision:
    """Look after every row; return the final decision, or that of the last look."""
    stopper = Stopper(plan or Plan())
    decision = stopper.decide(0.0)
    for row in rows:
        stopper.add(*row)
        decision = stopper.decide(row[2])
        if decision.is_final:
            break
    return decision


def test_winner_is_the_better_arm_and_its_interval_covers_the_true_difference() -> None:
    for arms, winner in (({"a": 0.85, "b": 0.92}, "b"), ({"a": 0.92, "b": 0.85}, "a")):
        decision = run_until_final(generate_rows(1, arms))
        assert (decision.state, decision.winner) == (State.WINNER, winner)
        assert decision.interval[0] < arms["b"] - arms["a"] < decision.interval[1]


def test_equal_arms_end_without_a_winner() -> None:
    assert run_until_final(generate_rows(1, {"a": 0.9, "b": 0.9})).state is State.NO_DIFFERENCE
    assert run_until_final(generate_rows(1, {"a": 1.0, "b": 1.0})).state is State.NO_DIFFERENCE
    assert run_until_final(generate_rows(1, {"a": 0.9, "b": 0.9}, seconds=3)).state is State.RUNNING


def test_false_winners_are_rare_with_correlated_keys_and_a_look_after_every_row() -> None:
    winners = [
        run_until_final(generate_rows(seed, {"a": 0.9, "b": 0.9}, 100, 60, key=3)).winner
        for seed in range(150)
    ]
    # 0.05 of 150 is 7.5; benchmarks/experiment.py over 10,000 runs shows a rate of about 0.02.
    assert sum(winner is not None for winner in winners) <= 12


def test_winner_of_three_arms_is_the_best_of_all() -> None:
    three = Plan(arms=("a", "b", "c"))
    assert run_until_final(generate_rows(1, {"a": 0.9, "b": 0.9, "c": 0.95}), three).winner == "c"
    assert run_until_final(generate_rows(1, {"a": 0.95, "b": 0.9, "c": 0.9}), three).winner == "a"
    assert run_until_final(generate_rows(1, {"a": 0.9, "b": 0.9, "c": 0.9}), three).winner is None


def test_change_of_shares_during_a_fault_does_not_bias_the_comparison() -> None:
    # In total b looks far better, as it had most of its requests before the fault (Simpson's paradox).
    rng = np.random.default_rng(1)
    stopper = Stopper(Plan(shares=(0.2, 0.8)))
    stopper.reshare(100.0, (0.8, 0.2))
    for second in range(200):
        is_second_half = second >= 100
        for number, (arm, tried) in enumerate(
            {"a": 160 if is_second_half else 40, "b": 40 if is_second_half else 160}.items()
        ):
            good = rng.binomial(tried, 0.5 if is_second_half else 0.95)
            stopper.add("one", 2 * second + number, second, arm, tried, good)
    decision = stopper.decide(200.0)
    assert decision.winner is None and decision.state is not State.INVALID
    assert decision.interval[0] < 0 < decision.interval[1]


@pytest.mark.parametrize("b_tried", [0, 60, 80])
def test_sample_ratio_mismatch_is_invalid_and_has_no_winner(b_tried: int) -> None:
    rows = generate_rows(1, {"a": 0.8, "b": 0.95})
    decision = run_until_final(
        row if row[3] == "a" else (*row[:4], b_tried, int(row[5] * b_tried / 100)) for row in rows
    )
    assert (decision.state, decision.winner) == (State.INVALID, None)


def test_guardrail_metric_stops_a_harmful_arm_before_the_plans_minimum() -> None:
    plan = Plan(minimum_tried=10**6, harm_good=0.1)
    decision = run_until_final(generate_rows(1, {"a": 0.95, "b": 0.0}), plan)
    assert (decision.state, decision.winner, decision.arm) == (State.HARMFUL, None, "b")
    slow_arm_stopper = Stopper(plan)
    for second in range(60):
        slow_arm_stopper.add("one", 2 * second, second, "a", 100, 90, slow=5)
        slow_arm_stopper.add("one", 2 * second + 1, second, "b", 100, 90, slow=30 + second % 3)
    assert slow_arm_stopper.decide(60.0).arm == "b"


def test_decision_does_not_depend_on_order_or_repetition_of_rows() -> None:
    rows = generate_rows(3, {"a": 0.9, "b": 0.91}, 150)
    shuffled = rows + rows[::2]
    random.Random(1).shuffle(shuffled)
    ordered_stopper, shuffled_stopper = Stopper(Plan()), Stopper(Plan())
    for row in rows:
        assert ordered_stopper.add(*row)
    for row in shuffled:
        shuffled_stopper.add(*row)
    assert shuffled_stopper.duplicates == 75 + 75
    ordered_decision, shuffled_decision = ordered_stopper.decide(150.0), shuffled_stopper.decide(150.0)
    assert (ordered_decision.state, ordered_decision.winner, ordered_decision.tried) == (
        shuffled_decision.state,
        shuffled_decision.winner,
        shuffled_decision.tried,
    )
    assert ordered_decision.interval == pytest.approx(shuffled_decision.interval)


def test_late_rows_are_not_a_sample_ratio_mismatch() -> None:
    rows = generate_rows(4, {"a": 0.9, "b": 0.9})
    rng = random.Random(4)
    order = sorted(range(len(rows)), key=lambda index: index + 40 * (rng.random() < 0.2))
    assert run_until_final(rows[index] for index in order).state is State.NO_DIFFERENCE


def test_final_decision_stays_and_time_never_goes_back() -> None:
    stopper = Stopper(Plan())
    for row in generate_rows(1, {"a": 0.8, "b": 0.95}, 60):
        stopper.add(*row)
    final_decision = stopper.decide(60.0)
    for row in generate_rows(2, {"a": 0.95, "b": 0.1}, 100):
        stopper.add("two", *row[1:])
    assert (
        stopper.decide(1e9) is final_decision
        and stopper.decide(-5.0) is final_decision
        and stopper.stop(1e9, "late") is final_decision
    )
    running_stopper = Stopper(Plan(maximum_s=100.0))
    running_stopper.add("one", 1, 0.0, "a", 5, 5)
    assert running_stopper.decide(50.0).at_s == running_stopper.decide(20.0).at_s == 50.0
    assert running_stopper.decide(100.0).state is State.EXPIRED


def test_no_winner_while_evidence_is_missing() -> None:
    stopper = Stopper(Plan())
    for row in generate_rows(1, {"a": 0.8, "b": 0.95}, 60):
        stopper.add(*row)
    assert stopper.decide(60.0, missing=0.2).state is State.RUNNING
    assert stopper.decide(60.0, missing=0.05).winner == "b"


@pytest.mark.parametrize(
    "invalid_fields",
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
def test_invalid_row_is_rejected_with_a_remedy_and_not_counted(invalid_fields: dict[str, Any]) -> None:
    stopper = Stopper(Plan())
    row: dict[str, Any] = {"source": "one", "number": 1, "at_s": 0.0, "arm": "a", "tried": 10, "good": 9}
    with pytest.raises(LogEntryError) as raised:
        stopper.add(**{**row, **invalid_fields})
    assert raised.value.remedy and stopper.tried == [0, 0]
    assert stopper.add(**{**row, "tried": np.int64(10), "good": np.uint8(9), "number": np.int32(1)})
    assert not stopper.add(**row) and stopper.tried == [10, 0]


@pytest.mark.parametrize(
    "create_invalid",
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
def test_invalid_plan_is_rejected(create_invalid: Callable[[], object]) -> None:
    with pytest.raises(PlanError) as raised:
        create_invalid()
    assert isinstance(raised.value, WoadyardError) and raised.value.remedy
