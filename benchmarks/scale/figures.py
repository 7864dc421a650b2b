"""Derives points from the measurements of a phase: messages, bytes, CPU time and memory of each role."""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.scale.phases import BEGIN, LEASES, RESTART, WRITER, ZONE, PhaseResult
from benchmarks.scale.points import Point
from benchmarks.scale.world import DELAYS_MS, World

NO_DELAY = "no delay between zones"
DELAY = (
    f"delays between the writer's region and the others {' and '.join(filter(None, DELAYS_MS))} ms each way"
)
OWN_BYTES = "HTTP heads and bodies"


@dataclass(frozen=True)
class Figure:
    """One value of a role, before it becomes a point."""

    role: str
    metric: str
    unit: str
    value: float
    note: str = ""


def phase_points(run: str, turn: int, world: World, measured: PhaseResult) -> list[Point]:
    """Return the points of a phase."""
    return [
        Point(
            run, figure.role, measured.phase, world.size, figure.metric, figure.unit,
            round(figure.value, 6), turn=turn,
            driver_lag_p99_ms=round(measured.driver_lag_ms, 1), driver_cpu=round(measured.driver_cpu, 3),
            load=round(measured.load_1min, 2), note=figure.note,
        )
        for figure in phase_figures(world, measured)
    ]  # fmt: skip


def phase_figures(world: World, measured: PhaseResult) -> Iterator[Figure]:
    """Yield the figures of all roles."""
    yield from service_figures(world, measured)
    yield from control_figures(world, measured)
    yield from report_figures(measured)
    yield from lease_figures(measured)
    yield from list_figures(world, measured)


# --- Roles ----------------------------------------------------------------------------


def service_figures(world: World, measured: PhaseResult) -> Iterator[Figure]:
    """Yield the figures of the leader and the mean of its followers.

    The bytes that a process sends are taken from what the others received from it.
    """
    replicas = [f"replica-{n}" for n in range(len(world.followers))]
    ports = {replica.port for replica in world.followers}
    received: dict[str, float] = {name: _bytes_read(measured, name) for name in ("writer", *replicas)}
    from_replicas = sum(_flow_counts(measured, "bytes_in", ports))
    to_replicas = sum(_flow_counts(measured, "bytes_out", ports))
    to_writer = sum(_flow_counts(measured, "bytes_out", {world.leader.port}))
    from_writer = sum(_flow_counts(measured, "bytes_in", {world.leader.port}))
    writer_to_replicas = sum(received[name] for name in replicas) - to_replicas
    replicas_to_writer = received["writer"] - to_writer
    if received["writer"]:
        yield from _process_figures(measured, "writer", ["writer"])
        yield Figure("writer", "bytes_in_per_s", "bytes/s", received["writer"] / measured.duration_s)
        sent_bytes = writer_to_replicas + from_writer
        note = "what sidecars and replicas took of it"
        yield Figure("writer", "bytes_out_per_s", "bytes/s", sent_bytes / measured.duration_s, note)
        entries = _metric_increase(measured, "writer", "registry_applied")
        yield Figure("writer", "records_per_s", "messages/s", entries / measured.duration_s)
        calls = _registry_reads(measured, "writer") + sum(tally.sent for tally in measured.tallies)
        calls += sum(_flow_counts(measured, "connections", {world.leader.port}))
        yield Figure("writer", "messages_per_s", "messages/s", calls / measured.duration_s, "calls taken")
    yield from _process_figures(measured, "replica", replicas)
    replica_seconds = len(replicas) * measured.duration_s
    yield Figure(
        "replica", "bytes_in_per_s", "bytes/s", sum(received[name] for name in replicas) / replica_seconds
    )
    sent_bytes, note = from_replicas + max(0.0, replicas_to_writer), "what sidecars and the writer took of it"
    yield Figure("replica", "bytes_out_per_s", "bytes/s", sent_bytes / replica_seconds, note)
    accepted = sum(_flow_counts(measured, "connections", ports))
    yield Figure("replica", "messages_per_s", "messages/s", accepted / replica_seconds, "calls taken")


def _process_figures(measured: PhaseResult, role: str, names: Sequence[str]) -> Iterator[Figure]:
    """Yield CPU and memory as the mean of the processes, and the greatest CPU peak of any of them."""
    running = [name for name in names if name in measured.usage_before and name in measured.usage_after]
    if not running:
        return
    cpu = statistics.fmean(
        measured.usage_after[process].cpu_s - measured.usage_before[process].cpu_s for process in running
    )
    yield Figure(role, "cpu_s_per_s", "s/s", cpu / measured.duration_s)
    if peaks := [measured.cpu_peaks[process] for process in running if process in measured.cpu_peaks]:
        yield Figure(role, "cpu_peak_s_per_s", "s/s", max(peaks), "within one second")
    yield Figure(
        role,
        "rss_bytes",
        "bytes",
        statistics.fmean(measured.usage_after[process].rss_bytes for process in running),
    )


def control_figures(world: World, measured: PhaseResult) -> Iterator[Figure]:
    """Yield the control cost of a hollow sidecar, as the mean of all, and the cost of the real sidecars."""
    hollow, note = world.hollow_count, "each sidecar"
    cpu = sum(tally.cpu_s / tally.seconds for tally in measured.tallies)
    yield Figure("control", "cpu_s_per_s", "s/s", cpu / hollow, note)
    yield Figure("control", "rss_bytes", "bytes", sum(tally.rss for tally in measured.tallies) / hollow, note)
    for metric, field in (("bytes_in", "bytes_in"), ("bytes_out", "bytes_out"), ("messages", "connections")):
        total = sum(_flow_counts(measured, field)) / hollow / measured.duration_s
        unit = "messages/s" if metric == "messages" else "bytes/s"
        metric_note = f"{note}, calls made" if metric == "messages" else f"{note}, {OWN_BYTES}"
        yield Figure("control", f"{metric}_per_s", unit, total, metric_note)
    for kind in ("lists", "reports", "leases"):
        flows = [flow for tally in measured.tallies for flow in tally.flows if flow.kind == kind]
        for direction in ("bytes_in", "bytes_out"):
            total = sum(getattr(flow, direction) for flow in flows) / hollow / measured.duration_s
            yield Figure("control", f"{kind}_{direction}_per_s", "bytes/s", total, f"{note}, {OWN_BYTES}")
    sidecars = [name for name in measured.usage_after if name.startswith("sidecar-")]
    yield from _process_figures(measured, "sidecar", sidecars)


def report_figures(measured: PhaseResult) -> Iterator[Figure]:
    """Yield the rate, failures and durations of audit reports."""
    sent = sum(tally.sent for tally in measured.tallies)
    if not sent:
        return
    failed = sum(tally.failed for tally in measured.tallies)
    yield Figure("audit", "reports_per_s", "messages/s", sent / measured.duration_s)
    yield Figure("audit", "failed_share", "share", failed / sent, f"{failed} of {sent}")
    call_times_s = [call_s for tally in measured.tallies for call_s in tally.calls_s]
    ack_times_s = [ack_s for tally in measured.tallies for ack_s in tally.acks_s]
    yield from _duration_figures("audit", "call", call_times_s)
    yield from _duration_figures("audit", "ack", ack_times_s)


def lease_figures(measured: PhaseResult) -> Iterator[Figure]:
    """Yield the rate, failures and cost of lease renewals."""
    renewals = sum(tally.renewed for tally in measured.tallies)
    failed = sum(tally.unrenewed for tally in measured.tallies)
    yield Figure("leases", "renewals_per_s", "messages/s", renewals / measured.duration_s)
    if renewals + failed:
        share = failed / (renewals + failed)
        yield Figure("leases", "failed_share", "share", share, f"{failed} of {renewals + failed}")
    if measured.phase == LEASES and renewals:
        leader_cpu_s = measured.usage_after["writer"].cpu_s - measured.usage_before["writer"].cpu_s
        note = "nothing else at the writer but its replicas and the real sidecars' reports"
        yield Figure("leases", "writer_cpu_s_per_renewal", "s", leader_cpu_s / renewals, note)
    yield Figure(
        "leases", "missing", "count", measured.missing_endpoints, "endpoints, at a replica at the end"
    )


def list_figures(world: World, measured: PhaseResult) -> Iterator[Figure]:
    """Yield how long changes of the list took from their request until each sidecar had received them."""
    if measured.phase == WRITER:
        accepted = sum(bool(change.version) for change in measured.list_changes)
        received = sum(
            at >= 0 for process_tally in measured.tallies for heard in process_tally.heard for at in heard
        )
        share = received / (len(measured.list_changes) * world.hollow_count)
        yield Figure(
            "lists", "told_share", "share", share, f"{accepted} of {len(measured.list_changes)} changes taken"
        )
        return
    changes = [change for change in measured.list_changes if change.version]
    times_s: dict[str, list[float]] = {}
    missed = 0
    for n, change in enumerate(changes):
        for tally in measured.tallies:
            times_s.setdefault(change.label, []).extend(
                at - change.requested_at_s for at in tally.heard[n] if at >= 0
            )
            missed += sum(at < 0 for at in tally.heard[n])
    for change_kind, durations_s in times_s.items():
        yield from _duration_figures("lists", change_kind, durations_s, DELAY if world.regional else NO_DELAY)
    if changes:
        share = 1 - missed / (len(changes) * world.hollow_count)
        yield Figure(
            "lists", "told_share", "share", share, f"{len(changes)} of {len(measured.list_changes)} taken"
        )
    if measured.phase in (BEGIN, ZONE, RESTART):
        received_bytes = sum(_flow_counts(measured, "bytes_in", kind="lists")) / world.hollow_count
        yield Figure("lists", "bytes_in", "bytes", received_bytes, "each sidecar, within the phase")


# --- Helpers -----------------------------------------------------------------------------


def _duration_figures(role: str, metric: str, times_s: Sequence[float], note: str = "") -> Iterator[Figure]:
    """Yield the median, the 99th percentile and the maximum of durations in seconds."""
    if times_s:
        p50, p99, maximum = (float(number) for number in np.percentile(np.asarray(times_s), (50, 99, 100)))
        times_note = f"{len(times_s)} times" + (f"; {note}" if note else "")
        for quantile, value in (("p50", p50), ("p99", p99), ("max", maximum)):
            yield Figure(role, f"{metric}_{quantile}_s", "s", value, times_note)


def _bytes_read(measured: PhaseResult, name: str) -> float:
    """Return the bytes that a process read; 0 if it did not run for the whole phase."""
    if name not in measured.usage_before or name not in measured.usage_after:
        return 0.0
    return max(0, measured.usage_after[name].bytes_read - measured.usage_before[name].bytes_read)


def _flow_counts(
    measured: PhaseResult, field: str, ports: set[int] | None = None, kind: str | None = None
) -> Iterator[int]:
    """Yield a field of the flows, optionally of these ports or this kind only."""
    for tally in measured.tallies:
        for flow in tally.flows:
            if (ports is None or flow.port in ports) and kind in (None, flow.kind):
                yield getattr(flow, field)


def _metric_increase(measured: PhaseResult, name: str, metric: str) -> float:
    return measured.metrics_after[name].get(metric, 0.0) - measured.metrics_before[name].get(metric, 0.0)


def _registry_reads(measured: PhaseResult, name: str) -> float:
    metrics = measured.metrics_after[name]
    return sum(
        _metric_increase(measured, name, metric)
        for metric in metrics
        if metric.startswith("registry_reads_total")
    )
