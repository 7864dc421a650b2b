"""Tests of how runs fall behind, are brought up, shut out and readmitted, and when the fleet is held."""

from __future__ import annotations

import pytest

from woadyard.audit import Position
from woadyard.audit.straggler import Fleet, HeadHistory, StragglerRules, TrackedRun

RULES = StragglerRules(behind_ms=6000, shut_out_ms=15_000, bring_ups=50, shut_out_share=0.1)


def fleet_of(size: int) -> Fleet:
    """A fleet in which every run has reported once, at the head."""
    fleet = Fleet(RULES)
    for n in range(size):
        fleet.record_report(f"n{n}", 0, 0)
    return fleet


def states(fleet: Fleet) -> list[str]:
    return [run.state for run in fleet.tracked_runs.values()]


def drive(fleet: Fleet, lags: dict[str, int], from_ms: int, until_ms: int) -> list[str]:
    """One report of each run per second; those in `lags` are behind since the time given there.

    Returns the states that the runs in `lags` went through.
    """
    states_seen = [""]
    for now_ms in range(from_ms, until_ms, 1000):
        for key in list(fleet.tracked_runs):
            run = fleet.record_report(key, now_ms - lags[key] if key in lags else 0, now_ms)
            run.begin_bring_up()
            if key in lags and run.state != states_seen[-1]:
                states_seen.append(run.state)
    return states_seen[1:]


def test_run_behind_is_brought_up_then_shut_out_and_readmitted_after_two_reports_at_the_head() -> None:
    fleet = fleet_of(5)
    assert drive(fleet, {"n4": 0}, 1000, 30_000) == ["current", "brought up", "shut out"]
    assert states(fleet)[:4] == ["current"] * 4
    assert fleet.record_report("n4", 0, 31_000).state == "shut out"
    assert fleet.record_report("n4", 4000, 32_000).state == "shut out"  # over half of behind-ms: not current
    assert fleet.record_report("n4", 0, 33_000).state == "shut out"  # the count starts again
    assert fleet.record_report("n4", 0, 34_000).state == "current"


def test_run_that_recovers_after_its_bring_up_is_current_at_once() -> None:
    run = TrackedRun()
    run.record_report(6500, 6500, RULES)
    assert run.state == "behind" and run.begin_bring_up() and run.state == "brought up"
    run.record_report(3500, 7000, RULES)
    assert run.state == "brought up"  # hysteresis: only below half of behind-ms
    run.record_report(0, 8000, RULES)
    assert run.state == "current" and not run.begin_bring_up()


def test_fleet_is_held_and_nobody_shut_out_if_more_than_the_share_are_behind() -> None:
    fleet = fleet_of(5)
    states_seen = drive(fleet, {f"n{n}": 0 for n in range(3)}, 1000, 60_000)
    assert "shut out" not in states_seen and fleet.is_held
    states_seen = drive(fleet, {"n0": 0}, 60_000, 80_000)  # two recovered: the third is itself at fault
    assert not fleet.is_held and states_seen[-1] == "shut out"
    drive(fleet, {"n0": 0, "n1": 80_000, "n2": 80_000}, 80_000, 100_000)
    assert fleet.is_held and "shut out" not in states(fleet)  # and the shut-out is lifted


@pytest.mark.parametrize("others_report_ms", [None, 7_800])
def test_no_run_is_shut_out_before_the_others_have_reported(others_report_ms: int | None) -> None:
    # Guards against a shut-out on part of a round of reports, which the hold would take back.
    rules = StragglerRules(behind_ms=1_500, shut_out_ms=6_000, bring_ups=100)
    fleet = Fleet(rules, fleet_of(5).tracked_runs)
    drive(fleet, {f"n{n}": 0 for n in range(3)}, 1_000, 2_000)  # their last reports but those of n1
    shut_out_ms = None
    for now_ms in range(2_000, 20_000, 1_000):
        if others_report_ms is not None and now_ms - 1_000 < others_report_ms <= now_ms:
            for key in ("n0", "n2"):  # sent the list just now: they may recover yet
                fleet.record_report(key, others_report_ms, others_report_ms).begin_bring_up()
        for key in ("n1", "n3", "n4"):
            fleet.record_report(key, now_ms if key == "n1" else 0, now_ms).begin_bring_up()
        if shut_out_ms is None and "shut out" in states(fleet):
            shut_out_ms = now_ms
    if others_report_ms is None:  # runs that are silent protect nobody for ever
        assert shut_out_ms == 1_000 + rules.silent_ms + 1_000
    else:
        assert shut_out_ms is None and fleet.is_held


def test_second_run_that_recovers_at_once_releases_no_shut_out() -> None:
    fleet = fleet_of(5)
    drive(fleet, {"n0": 0}, 1000, 30_000)
    fleet.record_report("n1", 6500, 30_500).begin_bring_up()
    fleet.record_report("n1", 0, 31_000)
    assert states(fleet)[:2] == ["shut out", "current"] and not fleet.is_held


def test_silent_run_is_not_shut_out() -> None:
    fleet = fleet_of(3)
    fleet.record_report("n0", 7000, 7000).begin_bring_up()
    fleet.update_hold(600_000)
    assert states(fleet)[0] == "brought up" and not fleet.is_held


def test_position_is_outdated_since_the_first_newer_list() -> None:
    heads = HeadHistory()
    for generation in range(1, 11):
        heads.record_head(Position("log", 1, generation), generation * 1000)
    assert heads.replaced_for_ms(Position("log", 1, 10), 20_000) == 0
    assert heads.replaced_for_ms(Position("log", 1, 4), 20_000) == 15_000
    assert heads.replaced_for_ms(Position("log", 1, 9), 10_500) == 500
    heads.record_head(Position("log", 2, 9), 21_000)  # a new leader, with fewer changes than the old one
    assert heads.replaced_for_ms(Position("log", 1, 10), 22_000) == 1000
    assert heads.replaced_for_ms(Position("other", 9, 99), 22_000) == 21_000
