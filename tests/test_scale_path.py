"""The measuring modules of benchmarks/scale at tiny sizes: checks what they count, not any speed."""

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
from benchmarks.scale.chain import Chain, EventLimitError
from benchmarks.scale.points import Point
from tests.lab import _kill_with_parent
from woadyard.errors import ConfigError
from woadyard.policy.balancer import MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST

SECOND = 1_000_000


def read_values(path: Path, role: str, phase: str, size: float) -> dict[str, float]:
    """The points' values by metric; fails if there are none or a metric occurs twice."""
    matching = [
        point
        for point in points.read_points([path])
        if (point.role, point.phase, point.size) == (role, phase, size)
    ]
    values = {point.metric: point.value for point in matching}
    assert len(values) == len(matching) > 0, f"no points of {role} {phase} {size}, or some twice"
    return values


def test_sidecar_and_endpoints_answer_all_requests_of_the_open_loop_client(tmp_path: Path) -> None:
    out = tmp_path / "capacity" / "path.jsonl"
    latency.measure(out, [3], 1, ("arcs",), seconds=1.0, warm_s=0.3, rate=60.0)
    values = read_values(out, "path", "arcs", 3)
    assert values["through_requests"] > 20 and values["direct_requests"] > 20, "both arms were sent to"
    assert values["through_not_200"] == values["direct_not_200"] == 0
    assert values["connections_open"] >= 1, "the sidecar keeps its connections"
    assert values["decision_s"] > 0.0 and values["cpu_s_per_request"] > 0.0 and values["rss_bytes"] > 0
    assert values["added_p99_s"] == pytest.approx(values["through_p99_s"] - values["direct_p99_s"])
    one = next(one for one in points.read_points([out]) if one.metric == "added_p99_s")
    assert one.size_unit == "entries" and one.turn == 1 and one.driver_lag_p99_ms > 0.0
    assert one.is_void == (one.driver_lag_p99_ms > points.MAX_DRIVER_LAG_P99_MS)


def _reset_sigint() -> None:
    _kill_with_parent()
    # The tests may run as a shell's background job, which ignores SIGINT, and children inherit that.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def test_an_interrupted_latency_run_leaves_no_process_and_no_file(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "benchmarks.scale.latency", "--sizes", "3", "--turns", "1"]
    command += ["--out", str(tmp_path / "out" / "path.jsonl"), "--phases", "inner"]
    folder = tmp_path / "temporary"
    folder.mkdir()
    with subprocess.Popen(
        command, stderr=subprocess.PIPE, text=True, env={**os.environ, "TMPDIR": str(folder)},
        start_new_session=True, preexec_fn=_reset_sigint,
    ) as process:  # fmt: skip
        assert process.stderr is not None
        assert any("all are up" in line for line in process.stderr)
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        assert process.wait() != 0
        while True:  # bounded by the test's time limit
            try:
                os.killpg(process.pid, 0)
            except ProcessLookupError:
                break
            time.sleep(0.02)
    assert list(folder.iterdir()) == []


@pytest.mark.parametrize("phase", retries.CHAIN_PHASES)
def test_retries_down_a_chain_stay_within_the_budget_of_each_tier(phase: str) -> None:
    depth, width, rate, seconds = 4, 2, 5.0, 8.0
    chain = Chain(retries.SETTINGS, depth, width, retries.fate_for(phase), 400_000)
    counts = chain.run(rate, seconds, retries.DEADLINE_US, 1)
    first_requests = counts.requests_by_tier[0].total()
    assert counts.succeeded + counts.failed == first_requests, "each request has one answer"
    assert counts.failed > 0 and counts.succeeded > 0
    totals = [counter.total() for counter in counts.requests_by_tier] + [counts.last_tier_attempts.total()]
    # Rejections cost no retry token, so with `full` the number of attempts is the only bound.
    budgeted = totals[:-1] if phase == "full" else totals
    for above, below in pairwise(budgeted):
        assert below <= above * (1 + RETRY_TOKENS_PER_REQUEST) + width * MAX_RETRY_TOKENS
    assert counts.last_tier_attempts.total() <= first_requests * retries.MAX_ATTEMPTS**depth
    if phase == "hang":
        assert len(set(totals[1:])) == 1, "no time is left for another attempt, at any tier"


def test_a_chain_that_exceeds_its_event_limit_raises() -> None:
    chain = Chain(retries.SETTINGS, 2, 2, retries.fate_for("error"), 500)
    with pytest.raises(EventLimitError):
        chain.run(20.0, 8.0, retries.DEADLINE_US, 1)


def test_a_chain_over_the_depth_limit_is_rejected_before_it_runs(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="1100 tiers"):
        retries.measure(tmp_path / "retries.jsonl", [100, 1_100], 1)
    assert not list(tmp_path.iterdir())


def test_retry_points_are_written_for_each_rate_and_depth(tmp_path: Path) -> None:
    out = tmp_path / "retries.jsonl"
    retries.measure(out, [1, 3], 1, rates=[10.0], phases=["error"])
    single_tier = read_values(out, "budget", "error", 10.0)
    assert 1.0 <= single_tier["attempts_steady"] <= single_tier["attempts_peak"] <= retries.MAX_ATTEMPTS
    three_tiers = read_values(out, "retries", "error", 3)
    assert three_tiers["worst_product"] == pytest.approx(single_tier["attempts_steady"] ** 3)
    assert three_tiers["last_for_first_steady"] >= 1.0


def test_log_and_snapshot_sizes_follow_their_contents(tmp_path: Path) -> None:
    out, size = tmp_path / "growth.jsonl", 20
    growth.measure(out, [size], 1, max_rows=size * 40)
    renewal, change = read_values(out, "log", "renewal", size), read_values(out, "log", "change", size)
    report, batch = read_values(out, "log", "report", size), read_values(out, "log", "reports_by_20", size)
    assert 0 < renewal["bytes_per_record"] < change["bytes_per_record"]
    assert 0 < batch["bytes_per_report"] < report["bytes_per_record"], "a batch shares the frame"
    lists_snapshot, whole_snapshot = (
        read_values(out, "snapshot", "lists", size),
        read_values(out, "snapshot", "whole", size),
    )
    assert 0 < lists_snapshot["bytes"] < whole_snapshot["bytes"]
    for shape in ("lists", "whole"):
        recovered = read_values(out, "recovery", shape, size)
        assert recovered["replica_reached_share"] == 1.0 and recovered["own_log_s"] > 0.0
    entry_bytes = sum(len(msgspec.json.encode(entry)) for entry in endpoint_lists.list_entries(size))
    assert read_values(out, "told", "whole", size)["bytes_per_sidecar"] > entry_bytes
    assert read_values(out, "told", "zone", size)["bytes_per_sidecar"] > entry_bytes / 10


def test_gossip_and_limit_leases_are_measured_by_fleet_size(tmp_path: Path) -> None:
    out, size = tmp_path / "exchange.jsonl", 12
    exchange.measure(out, [size], 1, seconds=4.0, spread_s=0.2)
    quiet, accusing = read_values(out, "gossip", "quiet", size), read_values(out, "gossip", "accusing", size)
    assert 0 < quiet["bytes_per_sidecar_and_second"] < accusing["bytes_per_sidecar_and_second"]
    news = read_values(out, "gossip", "news", size)
    assert 0 < news["p50_rounds"] <= news["p99_rounds"] <= news["last_rounds"]
    limit_values = read_values(out, "limits", "quiet", size)
    assert limit_values["holders_without_share_count"] == 0 and limit_values["messages_rate"] > 0
    assert limit_values["cpu_per_lease_s"] > 0.0


def test_names_and_entries_are_distinct_and_as_long_as_real_ones() -> None:
    known_names = endpoint_lists.instance_ids(1_100)
    assert len(set(known_names)) == 1_100 and {len(one) for one in known_names} == {len("s-5be2a07c")}
    listed_entries = endpoint_lists.list_entries(1_100)
    assert len({one["hostPort"] for one in listed_entries}) == 1_100
    assert Counter(one["zone"] for one in listed_entries) == dict.fromkeys(endpoint_lists.ZONES, 110)
    assert len(set(endpoint_lists.REGIONS.values())) == 3


def test_a_point_of_a_late_driver_is_void_and_shown_as_such(capsys: pytest.CaptureFixture[str]) -> None:
    from benchmarks.scale import usage

    late_point = Point("r", "path", "inner", 9, "added_p99_s", "s", 0.1, "entries", driver_lag_p99_ms=50.1)
    usage.print_point(late_point)
    assert "VOID" in capsys.readouterr().err


async def test_a_blocked_event_loop_is_measured_as_lag() -> None:
    from benchmarks.scale import usage

    lag = usage.LoopMeter()
    await asyncio.sleep(0.02)
    time.sleep(0.3)  # the delay that must be measured
    await asyncio.sleep(0.02)
    assert lag.stop()[0] > points.MAX_DRIVER_LAG_P99_MS
