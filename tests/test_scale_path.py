"""The measurers of benchmarks/scale at tiny sizes: what they count, not how fast anything is."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from itertools import pairwise
from pathlib import Path

import msgspec
import pytest

from benchmarks.scale import endpoint_lists, exchange, growth, latency, points, retries
from benchmarks.scale.chain import Chain, TooManyError
from benchmarks.scale.points import Point
from tests.lab import _kill_with_parent
from woadyard.errors import ConfigError
from woadyard.policy.balancer import MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST

SECOND = 1_000_000


def found(path: Path, role: str, phase: str, size: float) -> dict[str, float]:
    """Values by metric; each once."""
    some = [
        one for one in points.read_points([path]) if (one.role, one.phase, one.size) == (role, phase, size)
    ]
    values = {one.metric: one.value for one in some}
    assert len(values) == len(some) > 0, f"no points of {role} {phase} {size}, or some twice"
    return values


def test_a_sidecar_and_its_endpoints_answer_all_that_the_open_loop_sends(tmp_path: Path) -> None:
    out = tmp_path / "capacity" / "path.jsonl"
    latency.measure(out, [3], 1, ("arcs",), seconds=1.0, warm_s=0.3, rate=60.0)
    told = found(out, "path", "arcs", 3)
    assert told["through_requests"] > 20 and told["direct_requests"] > 20, "both arms were sent to"
    assert told["through_not_200"] == told["direct_not_200"] == 0
    assert told["connections_open"] >= 1, "the sidecar keeps its connections"
    assert told["decision_s"] > 0.0 and told["cpu_s_per_request"] > 0.0 and told["rss_bytes"] > 0
    assert told["added_p99_s"] == pytest.approx(told["through_p99_s"] - told["direct_p99_s"])
    one = next(one for one in points.read_points([out]) if one.metric == "added_p99_s")
    assert one.size_unit == "entries" and one.turn == 1 and one.driver_lag_p99_ms > 0.0
    assert one.is_void == (one.driver_lag_p99_ms > points.MAX_DRIVER_LAG_P99_MS)


def _as_from_a_terminal() -> None:
    _kill_with_parent()
    # A shell's background job ignores it, and what it starts would: the tests may be such a job.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def test_interrupted_it_leaves_no_process_and_no_file(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "benchmarks.scale.latency", "--sizes", "3", "--turns", "1"]
    command += ["--out", str(tmp_path / "out" / "path.jsonl"), "--phases", "inner"]
    folder = tmp_path / "temporary"
    folder.mkdir()
    with subprocess.Popen(
        command, stderr=subprocess.PIPE, text=True, env={**os.environ, "TMPDIR": str(folder)},
        start_new_session=True, preexec_fn=_as_from_a_terminal,
    ) as process:  # fmt: skip
        assert process.stderr is not None
        assert any("all are up" in line for line in process.stderr)
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        assert process.wait() != 0
        while True:  # the test's time limit bounds it
            try:
                os.killpg(process.pid, 0)
            except ProcessLookupError:
                break
            time.sleep(0.02)
    assert list(folder.iterdir()) == []


@pytest.mark.parametrize("phase", retries.CHAIN_PHASES)
def test_retries_down_a_chain_stay_within_the_budget_of_each_tier(phase: str) -> None:
    depth, wide, rate, seconds = 4, 2, 5.0, 8.0
    chain = Chain(retries.SETTINGS, depth, wide, retries.failing(phase), 400_000)
    counts = chain.run(rate, seconds, retries.DEADLINE_US, 1)
    first = counts.taken[0].total()
    assert counts.good + counts.failed == first, "each request has one answer"
    assert counts.failed > 0 and counts.good > 0
    asked = [one.total() for one in counts.taken] + [counts.last.total()]
    # What is turned away for good costs no token: there the number of attempts is the bound.
    budgeted = asked[:-1] if phase == "full" else asked
    for above, below in pairwise(budgeted):
        assert below <= above * (1 + RETRY_TOKENS_PER_REQUEST) + wide * MAX_RETRY_TOKENS
    assert counts.last.total() <= first * retries.ATTEMPTS**depth
    if phase == "hang":
        assert len(set(asked[1:])) == 1, "no time is left for another attempt, at any tier"


def test_a_chain_that_makes_too_many_events_says_so() -> None:
    chain = Chain(retries.SETTINGS, 2, 2, retries.failing("error"), 500)
    with pytest.raises(TooManyError):
        chain.run(20.0, 8.0, retries.DEADLINE_US, 1)


def test_a_chain_deeper_than_any_is_refused_before_it_is_run(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="1100 tiers"):
        retries.measure(tmp_path / "retries.jsonl", [100, 1_100], 1)
    assert not list(tmp_path.iterdir())


def test_the_retry_budgets_points_have_each_rate_and_depth(tmp_path: Path) -> None:
    out = tmp_path / "retries.jsonl"
    retries.measure(out, [1, 3], 1, rates=[10.0], phases=["error"])
    alone = found(out, "budget", "error", 10.0)
    assert 1.0 <= alone["attempts_steady"] <= alone["attempts_peak"] <= retries.ATTEMPTS
    deep = found(out, "retries", "error", 3)
    assert deep["worst_product"] == pytest.approx(alone["attempts_steady"] ** 3)
    assert deep["last_for_first_steady"] >= 1.0


def test_the_log_grows_by_what_its_records_hold(tmp_path: Path) -> None:
    out, size = tmp_path / "growth.jsonl", 20
    growth.measure(out, [size], 1, max_rows=size * 40)
    renewal, change = found(out, "log", "renewal", size), found(out, "log", "change", size)
    report, many = found(out, "log", "report", size), found(out, "log", "reports_by_20", size)
    assert 0 < renewal["bytes_per_record"] < change["bytes_per_record"]
    assert 0 < many["bytes_per_report"] < report["bytes_per_record"], "a batch shares the frame"
    lists, whole = found(out, "snapshot", "lists", size), found(out, "snapshot", "whole", size)
    assert 0 < lists["bytes"] < whole["bytes"]
    for shape in ("lists", "whole"):
        back = found(out, "recovery", shape, size)
        assert back["replica_reached_share"] == 1.0 and back["own_log_s"] > 0.0
    listed = sum(len(msgspec.json.encode(one)) for one in endpoint_lists.list_entries(size))
    assert found(out, "told", "whole", size)["bytes_per_sidecar"] > listed
    assert found(out, "told", "zone", size)["bytes_per_sidecar"] > listed / 10


def test_gossip_and_leases_are_counted_by_the_sidecars(tmp_path: Path) -> None:
    out, size = tmp_path / "exchange.jsonl", 12
    exchange.measure(out, [size], 1, seconds=4.0, spread_s=0.2)
    quiet, accusing = found(out, "gossip", "quiet", size), found(out, "gossip", "accusing", size)
    assert 0 < quiet["bytes_per_sidecar_and_second"] < accusing["bytes_per_sidecar_and_second"]
    news = found(out, "gossip", "news", size)
    assert 0 < news["p50_rounds"] <= news["p99_rounds"] <= news["last_rounds"]
    held = found(out, "limits", "quiet", size)
    assert held["holders_without_share_count"] == 0 and held["messages_rate"] > 0
    assert held["cpu_per_lease_s"] > 0.0


def test_names_and_entries_are_distinct_and_as_long_as_real_ones() -> None:
    known = endpoint_lists.instance_ids(1_100)
    assert len(set(known)) == 1_100 and {len(one) for one in known} == {len("s-5be2a07c")}
    listed = endpoint_lists.list_entries(1_100)
    assert len({one["hostPort"] for one in listed}) == 1_100
    assert Counter(one["zone"] for one in listed) == dict.fromkeys(endpoint_lists.ZONES, 110)
    assert len(set(endpoint_lists.REGIONS.values())) == 3


def test_a_point_of_a_late_driver_is_void_and_shown_as_such(capsys: pytest.CaptureFixture[str]) -> None:
    from benchmarks.scale import usage

    late = Point("r", "path", "inner", 9, "added_p99_s", "s", 0.1, "entries", driver_lag_p99_ms=50.1)
    usage.print_point(late)
    assert "VOID" in capsys.readouterr().err


async def test_a_loop_that_is_held_up_is_seen_to_lag() -> None:
    from benchmarks.scale import usage

    lag = usage.LoopMeter()
    await asyncio.sleep(0.02)
    time.sleep(0.3)  # it is what the measurer has to see
    await asyncio.sleep(0.02)
    assert lag.stop()[0] > points.MAX_DRIVER_LAG_P99_MS
