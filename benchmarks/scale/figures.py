"""Points out of what a phase measured: per role its messages, bytes, processor time and memory."""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.scale.phases import BEGIN, LEASES, RESTART, WRITER, ZONE, Measured
from benchmarks.scale.points import Point
from benchmarks.scale.world import DELAYS_MS, World

NO_DELAY = "no delay between zones"
DELAY = (
    f"delays between the writer's region and the others {' and '.join(filter(None, DELAYS_MS))} ms each way"
)
OWN_BYTES = "HTTP heads and bodies"


@dataclass(frozen=True)
class Figure:
    role: str
    metric: str
    unit: str
    value: float
    note: str = ""


def phase_points(run: str, turn: int, world: World, found: Measured) -> list[Point]:
    return [
        Point(
            run, one.role, found.phase, world.size, one.metric, one.unit, round(one.value, 6), turn=turn,
            driver_lag_p99_ms=round(found.driver_lag_ms, 1), driver_cpu=round(found.driver_cpu, 3),
            load=round(found.load, 2), note=one.note,
        )
        for one in figures(world, found)
    ]  # fmt: skip


def figures(world: World, found: Measured) -> Iterator[Figure]:
    yield from services(world, found)
    yield from control(world, found)
    yield from reports(found)
    yield from leases(found)
    yield from lists(world, found)


# --- Roles ----------------------------------------------------------------------------


def services(world: World, found: Measured) -> Iterator[Figure]:
    """The writer, and the replicas' mean. Bytes out of one are what the others took from it."""
    replicas = [f"replica-{n}" for n in range(len(world.replicas))]
    ports = {one.port for one in world.replicas}
    read: dict[str, float] = {name: _grown(found, name) for name in ("writer", *replicas)}
    from_replicas = sum(_flows(found, "bytes_in", ports))
    to_replicas = sum(_flows(found, "bytes_out", ports))
    to_writer = sum(_flows(found, "bytes_out", {world.writer.port}))
    from_writer = sum(_flows(found, "bytes_in", {world.writer.port}))
    between_back = sum(read[name] for name in replicas) - to_replicas
    between_there = read["writer"] - to_writer
    if read["writer"]:
        yield from _process(found, "writer", ["writer"])
        yield Figure("writer", "bytes_in_per_s", "bytes/s", read["writer"] / found.seconds)
        out = between_back + from_writer
        told = "what sidecars and replicas took of it"
        yield Figure("writer", "bytes_out_per_s", "bytes/s", out / found.seconds, told)
        records = _counted(found, "writer", "registry_applied")
        yield Figure("writer", "records_per_s", "messages/s", records / found.seconds)
        calls = _reads(found, "writer") + sum(one.sent for one in found.tallies)
        calls += sum(_flows(found, "connections", {world.writer.port}))
        yield Figure("writer", "messages_per_s", "messages/s", calls / found.seconds, "calls taken")
    yield from _process(found, "replica", replicas)
    each = len(replicas) * found.seconds
    yield Figure("replica", "bytes_in_per_s", "bytes/s", sum(read[name] for name in replicas) / each)
    out, told = from_replicas + max(0.0, between_there), "what sidecars and the writer took of it"
    yield Figure("replica", "bytes_out_per_s", "bytes/s", out / each, told)
    taken = sum(_flows(found, "connections", ports))
    yield Figure("replica", "messages_per_s", "messages/s", taken / each, "calls taken")


def _process(found: Measured, role: str, names: Sequence[str]) -> Iterator[Figure]:
    """CPU and memory, the mean of the processes; of the peak, the greatest."""
    there = [name for name in names if name in found.before and name in found.after]
    if not there:
        return
    cpu = statistics.fmean(found.after[one].cpu_s - found.before[one].cpu_s for one in there)
    yield Figure(role, "cpu_s_per_s", "s/s", cpu / found.seconds)
    if peaks := [found.peaks[one] for one in there if one in found.peaks]:
        yield Figure(role, "cpu_peak_s_per_s", "s/s", max(peaks), "within one second")
    yield Figure(role, "rss_bytes", "bytes", statistics.fmean(found.after[one].rss_bytes for one in there))


def control(world: World, found: Measured) -> Iterator[Figure]:
    """A hollow sidecar's control side, the mean of all; and the real sidecars, each a process."""
    hollow, note = world.hollow, "each sidecar"
    cpu = sum(one.cpu_s / one.seconds for one in found.tallies)
    yield Figure("control", "cpu_s_per_s", "s/s", cpu / hollow, note)
    yield Figure("control", "rss_bytes", "bytes", sum(one.rss for one in found.tallies) / hollow, note)
    for metric, kind in (("bytes_in", "bytes_in"), ("bytes_out", "bytes_out"), ("messages", "connections")):
        total = sum(_flows(found, kind)) / hollow / found.seconds
        unit = "messages/s" if metric == "messages" else "bytes/s"
        told = f"{note}, calls made" if metric == "messages" else f"{note}, {OWN_BYTES}"
        yield Figure("control", f"{metric}_per_s", unit, total, told)
    for kind in ("lists", "reports", "leases"):
        flows = [flow for one in found.tallies for flow in one.flows if flow.kind == kind]
        for way in ("bytes_in", "bytes_out"):
            total = sum(getattr(flow, way) for flow in flows) / hollow / found.seconds
            yield Figure("control", f"{kind}_{way}_per_s", "bytes/s", total, f"{note}, {OWN_BYTES}")
    real = [name for name in found.after if name.startswith("sidecar-")]
    yield from _process(found, "sidecar", real)


def reports(found: Measured) -> Iterator[Figure]:
    sent = sum(one.sent for one in found.tallies)
    if not sent:
        return
    failed = sum(one.failed for one in found.tallies)
    yield Figure("audit", "reports_per_s", "messages/s", sent / found.seconds)
    yield Figure("audit", "failed_share", "share", failed / sent, f"{failed} of {sent}")
    calls = [took for one in found.tallies for took in one.calls_s]
    acks = [took for one in found.tallies for took in one.acks_s]
    yield from _times("audit", "call", calls)
    yield from _times("audit", "ack", acks)


def leases(found: Measured) -> Iterator[Figure]:
    done = sum(one.renewed for one in found.tallies)
    failed = sum(one.unrenewed for one in found.tallies)
    yield Figure("leases", "renewals_per_s", "messages/s", done / found.seconds)
    if done + failed:
        share = failed / (done + failed)
        yield Figure("leases", "failed_share", "share", share, f"{failed} of {done + failed}")
    if found.phase == LEASES and done:
        cpu = found.after["writer"].cpu_s - found.before["writer"].cpu_s
        note = "nothing else at the writer but its replicas and the real sidecars' reports"
        yield Figure("leases", "writer_cpu_s_per_renewal", "s", cpu / done, note)
    yield Figure("leases", "missing", "count", found.missing, "endpoints, at a replica at the end")


def lists(world: World, found: Measured) -> Iterator[Figure]:
    """A change in force: from when it was asked for until each sidecar held it."""
    if found.phase == WRITER:
        taken = sum(bool(one.version) for one in found.asked)
        told = sum(at >= 0 for one in found.tallies for heard in one.heard for at in heard)
        share = told / (len(found.asked) * world.hollow)
        yield Figure("lists", "told_share", "share", share, f"{taken} of {len(found.asked)} changes taken")
        return
    versions = [one for one in found.asked if one.version]
    times: dict[str, list[float]] = {}
    missed = 0
    for n, one in enumerate(versions):
        for tally in found.tallies:
            times.setdefault(one.what, []).extend(at - one.at for at in tally.heard[n] if at >= 0)
            missed += sum(at < 0 for at in tally.heard[n])
    for what, each in times.items():
        yield from _times("lists", what, each, DELAY if world.regional else NO_DELAY)
    if versions:
        share = 1 - missed / (len(versions) * world.hollow)
        yield Figure("lists", "told_share", "share", share, f"{len(versions)} of {len(found.asked)} taken")
    if found.phase in (BEGIN, ZONE, RESTART):
        took = sum(_flows(found, "bytes_in", kind="lists")) / world.hollow
        yield Figure("lists", "bytes_in", "bytes", took, "each sidecar, within the phase")


# --- Sums -----------------------------------------------------------------------------


def _times(role: str, what: str, times: Sequence[float], note: str = "") -> Iterator[Figure]:
    if times:
        p50, p99, most = (float(one) for one in np.percentile(np.asarray(times), (50, 99, 100)))
        count = f"{len(times)} times" + (f"; {note}" if note else "")
        for name, value in (("p50", p50), ("p99", p99), ("max", most)):
            yield Figure(role, f"{what}_{name}_s", "s", value, count)


def _grown(found: Measured, name: str) -> float:
    """Bytes that a process read; 0 where it was not there all along."""
    if name not in found.before or name not in found.after:
        return 0.0
    return max(0, found.after[name].bytes_read - found.before[name].bytes_read)


def _flows(
    found: Measured, what: str, ports: set[int] | None = None, kind: str | None = None
) -> Iterator[int]:
    for tally in found.tallies:
        for flow in tally.flows:
            if (ports is None or flow.port in ports) and kind in (None, flow.kind):
                yield getattr(flow, what)


def _counted(found: Measured, name: str, metric: str) -> float:
    return found.counts_after[name].get(metric, 0.0) - found.counts_before[name].get(metric, 0.0)


def _reads(found: Measured, name: str) -> float:
    metrics = found.counts_after[name]
    return sum(_counted(found, name, one) for one in metrics if one.startswith("registry_reads_total"))
