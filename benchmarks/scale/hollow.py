"""Many hollow sidecars in one process: the control plane at its real intervals, without a data path.

`python -m benchmarks.scale.hollow` is started by `benchmarks.scale.world`, reads orders as lines
from stdin and ends when stdin ends. Each sidecar runs the product's watch (`Discovery`), reports
(`Reporter`) and lease of its endpoint (`Lease`). Lists are decoded and reported, but not applied to
the policy module, which belongs to the data path. One attempt a second gives it data to report."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import random
import signal
import sys
import time
from typing import Any

import msgspec
import uvloop

from benchmarks.scale import fleet_names, messages
from benchmarks.scale.messages import HollowPlan, Order, Reply, Tally
from benchmarks.scale.meter import LoopLag, process_usage
from benchmarks.scale.traffic import Traffic, count_traffic
from woadyard.audit import AuditSettings
from woadyard.errors import PeerError
from woadyard.interface import LIST_DELTA, Send
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery
from woadyard.net.list_stream import LIST_DECODER
from woadyard.net.reporter import AuditHandlers, Reporter, now_us
from woadyard.standins.lease import Lease

ATTEMPT_INTERVAL_S, POLL_INTERVAL_S = 1.0, 0.005
BUILD = "0-1-0"


class CountedLease(Lease):
    """The stand-in endpoints' lease, with counts of its calls."""

    def __init__(self, plan: HollowPlan, entry: dict[str, Any], tally: Tally) -> None:
        super().__init__(plan.writer, lambda: entry, plan.ttl_ms)
        self.tally = tally

    async def _call(self, method: str, tail: str, body: Any = None) -> bool:
        succeeded = await super()._call(method, tail, body)
        self.tally.renewed += succeeded
        self.tally.unrenewed += not succeeded
        return succeeded


class CountedReporter(Reporter):
    """The product's reporter, with counts and durations of its calls."""

    tally: Tally
    sent_at_s: dict[int, float]

    async def _send_report(self, report_timeout_s: float, final: bool = False) -> bool:
        started_at_s = self.sent_at_s[self.spans.last_report_number + 1] = time.monotonic()
        accepted = await super()._send_report(report_timeout_s, final)
        self.tally.sent += 1
        if accepted:
            self.tally.calls_s.append(round(time.monotonic() - started_at_s, 5))
        else:  # its rows are sent again in the next report, under a new number
            self.tally.failed += 1
        return accepted

    def record_acknowledged(self, numbers: Any) -> None:
        for number in numbers:
            if (report_sent_at_s := self.sent_at_s.pop(number, None)) is not None:
                self.tally.acks_s.append(round(time.monotonic() - report_sent_at_s, 5))


class HollowSidecar:
    """A sidecar's watch, reports and endpoint lease, without listeners."""

    def __init__(self, number: int, plan: HollowPlan, tally: Tally) -> None:
        self.number, self.plan, self.tally = number, plan, tally
        self.rng = random.Random(plan.seed * 1_000_003 + number)
        self.list_services = (
            plan.replicas[fleet_names.region_index(number)] if plan.regional else ",".join(plan.replicas)
        )
        self.received_versions: list[tuple[float, int]] = []
        self.version = self.attempts = 0
        self.attempts_stopped = False  # no more attempts are recorded; earlier ones are still reported
        self.discovery = self._new_discovery()
        self.lease = CountedLease(plan, fleet_names.list_entry(number), tally)
        self.lease_task: asyncio.Task[None] | None = None
        handlers = AuditHandlers(
            self._full_list_received,
            lambda: self.discovery.restart_watch(),
            lambda out: None,
            lambda out: None,
        )
        self.reporter = CountedReporter(
            AuditSettings(self.list_services), fleet_names.sidecar_name(number), BUILD,
            lambda: self.discovery.latest_term, handlers, self.rng,
        )  # fmt: skip
        self.reporter.tally, self.reporter.sent_at_s = tally, {}
        handlers.reports_acknowledged = self.reporter.record_acknowledged

    def _new_discovery(self) -> Discovery:
        loop = asyncio.get_running_loop()
        return Discovery(loop, self.list_services, INSTANCES_PATH, True, self._list_received, self.rng)

    def _list_received(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        self.version = version
        self.received_versions.append((time.monotonic(), version))
        self.reporter.list_applied(now_us(), LIST_DELTA, version, entries)

    def _full_list_received(self, raw: bytes) -> bool:
        try:
            message = LIST_DECODER.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"the body is no valid list: {error}") from None
        return self.discovery.receive(message)

    def restart_watch(self) -> None:
        """Opens a new watch without a list, as a sidecar process does at its start."""
        self.discovery.close()
        self.version = 0
        self.discovery = self._new_discovery()
        self.discovery.set_watch(True)

    def start_lease(self, delay_s: float) -> None:
        async def start_lease() -> None:
            await asyncio.sleep(delay_s)
            await self.lease.keep_registered()

        self.lease_task = asyncio.get_running_loop().create_task(start_lease())

    async def deregister(self) -> bool:
        if self.lease_task is not None:
            self.lease_task.cancel()
        return await self.lease.unregister()

    async def run_reports(self) -> None:
        """Sends reports, and records one attempt per second to report on."""
        await asyncio.sleep(self.rng.uniform(0.0, ATTEMPT_INTERVAL_S))
        self.reporter.open()
        while not self.attempts_stopped:
            self.attempts += 1
            self.reporter.attempt_started(now_us(), Send(self.attempts, 1, 0))
            self.reporter.spans.record_attempt_end(self.attempts, 1, True)
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    def in_force_at_s(self, version: int) -> float:
        """When this version or a later one was received; -1 if it was not."""
        return next(
            (
                received_at_s
                for received_at_s, received_version in self.received_versions
                if received_version >= version
            ),
            -1.0,
        )


class HollowFleet:
    """The process's sidecars; executes the driver's orders on them."""

    def __init__(self, plan: HollowPlan, traffic: Traffic) -> None:
        self.plan, self.traffic, self.tally, self.lag = plan, traffic, Tally(), LoopLag()
        self.initial_rss = process_usage(os.getpid()).rss_bytes
        self.sidecars = [
            HollowSidecar(number, plan, self.tally) for number in range(plan.first, plan.first + plan.count)
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.start_task(self.lag.watch())
        self._reset_counts()

    def start_task(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def execute(self, order: Order) -> Reply:
        if order.do == messages.REGISTER:
            return Reply(await self._register_all())
        if order.do == messages.START_WATCH:
            for sidecar in self.sidecars:
                sidecar.discovery.set_watch(True)
        elif order.do == messages.START_REPORTS:
            for sidecar in self.sidecars:
                self.start_task(sidecar.run_reports())
        elif order.do == messages.RESTART_WATCH:
            for sidecar in self.sidecars:
                sidecar.restart_watch()
        elif order.do == messages.DEREGISTER:
            return Reply(
                sum(
                    await asyncio.gather(
                        *(sidecar.deregister() for sidecar in self._sidecars_in_zone(order.zone))
                    )
                )
            )
        elif order.do == messages.REREGISTER:
            for sidecar in self._sidecars_in_zone(order.zone):
                sidecar.start_lease(0.0)
        elif order.do == messages.STOP_ATTEMPTS:
            for sidecar in self.sidecars:
                sidecar.attempts_stopped = True
            return Reply(sum(sidecar.attempts for sidecar in self.sidecars))
        elif order.do == messages.WAIT_FOR_VERSION:
            return Reply(await self._wait_for_version(order.version, order.within_s))
        elif order.do == messages.RESET_COUNTS:
            self._reset_counts()
        elif order.do == messages.COLLECT_TALLY:
            return Reply(tally=self._collect_tally(order.versions))
        return Reply(len(self.sidecars))

    def _sidecars_in_zone(self, zone: int) -> list[HollowSidecar]:
        return [sidecar for sidecar in self.sidecars if sidecar.number % len(fleet_names.ZONES) == zone]

    async def _register_all(self) -> int:
        """Registers all endpoints, spread over a third of the lease like endpoints started at any time."""
        renewal_interval_s = self.plan.ttl_ms / 3000
        for sidecar in self.sidecars:
            sidecar.start_lease(sidecar.rng.uniform(0.0, renewal_interval_s))
        await asyncio.sleep(renewal_interval_s)
        return len(self.sidecars)

    async def _wait_for_version(self, version: int, timeout_s: float) -> int:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while any(sidecar.version < version for sidecar in self.sidecars):
                    await asyncio.sleep(POLL_INTERVAL_S)
        return sum(sidecar.version >= version for sidecar in self.sidecars)

    def _reset_counts(self) -> None:
        self.reset_at_s, self.reset_cpu_s = time.monotonic(), time.process_time()
        self.lag.clear()
        self.traffic.clear()
        tally = self.tally
        tally.sent = tally.failed = tally.renewed = tally.unrenewed = 0
        tally.calls_s, tally.acks_s = [], []
        for sidecar in self.sidecars:
            sidecar.received_versions.clear()

    def _collect_tally(self, versions: list[int]) -> Tally:
        tally = self.tally
        tally.seconds, tally.cpu_s = (
            time.monotonic() - self.reset_at_s,
            time.process_time() - self.reset_cpu_s,
        )
        tally.rss, tally.lag_p99_ms = (
            process_usage(os.getpid()).rss_bytes - self.initial_rss,
            self.lag.p99_ms(),
        )
        tally.flows = self.traffic.snapshot()
        tally.heard = [[sidecar.in_force_at_s(version) for sidecar in self.sidecars] for version in versions]
        return tally


async def run() -> None:
    """Runs until the STOP order, or until stdin ends because the driver has ended."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGINT, lambda: None)  # the driver receives it too and stops this process
    order_reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(order_reader), sys.stdin)
    if not (line := await order_reader.readline()):
        return
    fleet = HollowFleet(msgspec.json.decode(line, type=HollowPlan), count_traffic(loop))
    while line := await order_reader.readline():
        order: Order = msgspec.json.decode(line, type=Order)
        if order.do == messages.STOP:
            break
        sys.stdout.buffer.write(msgspec.json.encode(await fleet.execute(order)) + b"\n")
        sys.stdout.buffer.flush()
    os._exit(0)  # no state to save; aborting hundreds of calls would only log errors


def main() -> None:
    logging.getLogger("woadyard").setLevel(logging.ERROR)  # each sidecar would log every outage
    with contextlib.suppress(BrokenPipeError):
        uvloop.run(run())


if __name__ == "__main__":
    main()
