"""Who is behind, brought up, shut out and taken back; and that a fault of the service is no one's."""

from __future__ import annotations

from woadyard.audit import Position
from woadyard.audit.straggler import Fleet, HeadHistory, StragglerRules, TrackedRun

RULES = StragglerRules(behind_ms=6000, shut_out_ms=15_000, bring_ups=50, shut_out_share=0.1)


def fleet_of(size: int) -> Fleet:
    fleet = Fleet(RULES)
    for n in range(size):
        fleet.record_report(f"n{n}", 0, 0)
    return fleet


def states(fleet: Fleet) -> list[str]:
    return [one.state for one in fleet.tracked_runs.values()]


def drive(fleet: Fleet, lags: dict[str, int], since: int, until: int) -> list[str]:
    """Reports each second of all, those in `lags` behind since then; the states of the last of them."""
    seen = [""]
    for now in range(since, until, 1000):
        for key in list(fleet.tracked_runs):
            one = fleet.record_report(key, now - lags[key] if key in lags else 0, now)
            one.begin_bring_up()
            if key in lags and one.state != seen[-1]:
                seen.append(one.state)
    return seen[1:]


def test_one_behind_is_brought_up_then_shut_out_and_comes_back_after_two_reports_at_the_head() -> None:
    fleet = fleet_of(5)
    assert drive(fleet, {"n4": 0}, 1000, 30_000) == ["current", "brought up", "shut out"]
    assert states(fleet)[:4] == ["current"] * 4
    assert fleet.record_report("n4", 0, 31_000).state == "shut out"
    assert (
        fleet.record_report("n4", 4000, 32_000).state == "shut out"
    )  # near is not enough twice in a row ...
    assert fleet.record_report("n4", 0, 33_000).state == "shut out"  # ... and a step back counts anew
    assert fleet.record_report("n4", 0, 34_000).state == "current"


def test_one_that_its_bring_up_mends_is_current_at_once() -> None:
    one = TrackedRun()
    one.record_report(6500, 6500, RULES)
    assert one.state == "behind" and one.begin_bring_up() and one.state == "brought up"
    one.record_report(3500, 7000, RULES)
    assert one.state == "brought up"  # hysteresis: not until half of behind-ms
    one.record_report(0, 8000, RULES)
    assert one.state == "current" and not one.begin_bring_up()


def test_where_more_than_the_share_are_behind_the_fleet_is_held_and_nobody_is_shut_out() -> None:
    fleet = fleet_of(5)
    seen = drive(fleet, {f"n{n}": 0 for n in range(3)}, 1000, 60_000)
    assert "shut out" not in seen and fleet.is_held
    seen = drive(fleet, {"n0": 0}, 60_000, 80_000)  # two came back: the third's fault is its own
    assert not fleet.is_held and seen[-1] == "shut out"
    drive(fleet, {"n0": 0, "n1": 80_000, "n2": 80_000}, 80_000, 100_000)
    assert fleet.is_held and "shut out" not in states(fleet)  # nor does anybody stay so


def test_a_second_one_that_is_mended_at_once_lets_nobody_go() -> None:
    fleet = fleet_of(5)
    drive(fleet, {"n0": 0}, 1000, 30_000)
    fleet.record_report("n1", 6500, 30_500).begin_bring_up()
    fleet.record_report("n1", 0, 31_000)
    assert states(fleet)[:2] == ["shut out", "current"] and not fleet.is_held


def test_silence_shuts_nobody_out() -> None:
    fleet = fleet_of(3)
    fleet.record_report("n0", 7000, 7000).begin_bring_up()
    fleet.update_hold(600_000)
    assert states(fleet)[0] == "brought up" and not fleet.is_held


def test_a_position_is_behind_since_a_newer_list_came_however_many_follow() -> None:
    heads = HeadHistory()
    for generation in range(1, 11):
        heads.record_head(Position("log", 1, generation), generation * 1000)
    assert heads.replaced_for_ms(Position("log", 1, 10), 20_000) == 0
    assert heads.replaced_for_ms(Position("log", 1, 4), 20_000) == 15_000
    assert heads.replaced_for_ms(Position("log", 1, 9), 10_500) == 500
    heads.record_head(Position("log", 2, 9), 21_000)  # a new writer, with fewer changes than the old one had
    assert heads.replaced_for_ms(Position("log", 1, 10), 22_000) == 1000
    assert heads.replaced_for_ms(Position("other", 9, 99), 22_000) == 21_000
