"""Many hollow sidecars in one process: the product's control side at its true periods, no data path.

`python -m benchmarks.scale.hollow` is started by `benchmarks.scale.world`, takes orders as lines
on stdin and ends with it. Each sidecar has a watch (`Discovery`), reports (`Reporter`) and its
endpoint's lease (`Lease`), all of the product; lists are decoded and named, and not taken up by
the policy module, which is the data path's. One attempt a second keeps its reports filled."""

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

from benchmarks.scale import messages, names
from benchmarks.scale.messages import HollowPlan, Order, Reply, Tally
from benchmarks.scale.meter import Lag, used
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
    """The stand-in endpoints' lease, counted."""

    def __init__(self, plan: HollowPlan, entry: dict[str, Any], tally: Tally) -> None:
        super().__init__(plan.writer, lambda: entry, plan.ttl_ms)
        self.tally = tally

    async def _call(self, method: str, tail: str, body: Any = None) -> bool:
        done = await super()._call(method, tail, body)
        self.tally.renewed += done
        self.tally.unrenewed += not done
        return done


class CountedReporter(Reporter):
    """The product's reporter, counted."""

    tally: Tally
    sent_at_s: dict[int, float]

    async def _send_report(self, report_timeout_s: float, final: bool = False) -> bool:
        began = self.sent_at_s[self.spans.last_report_number + 1] = time.monotonic()
        done = await super()._send_report(report_timeout_s, final)
        self.tally.sent += 1
        if done:
            self.tally.calls_s.append(round(time.monotonic() - began, 5))
        else:  # its rows go with the next report, under a new number
            self.tally.failed += 1
        return done

    def record_acknowledged(self, numbers: Any) -> None:
        for n in numbers:
            if (began := self.sent_at_s.pop(n, None)) is not None:
                self.tally.acks_s.append(round(time.monotonic() - began, 5))


class HollowSidecar:
    def __init__(self, n: int, plan: HollowPlan, tally: Tally) -> None:
        self.number, self.plan, self.tally = n, plan, tally
        self.rng = random.Random(plan.seed * 1_000_003 + n)
        self.list_services = plan.replicas[names.region(n)] if plan.regional else ",".join(plan.replicas)
        self.received_versions: list[tuple[float, int]] = []
        self.version = self.attempts = 0
        self.attempts_stopped = False  # no more attempts; what there were is reported
        self.discovery = self._new_discovery()
        self.lease = CountedLease(plan, names.entry(n), tally)
        self.lease_task: asyncio.Task[None] | None = None
        orders = AuditHandlers(
            self._full_list_received,
            lambda: self.discovery.restart_watch(),
            lambda out: None,
            lambda out: None,
        )
        self.reporter = CountedReporter(
            AuditSettings(self.list_services), names.sidecar(n), BUILD, lambda: self.discovery.latest_term,
            orders, self.rng,
        )  # fmt: skip
        self.reporter.tally, self.reporter.sent_at_s = tally, {}
        orders.reports_acknowledged = self.reporter.record_acknowledged

    def _new_discovery(self) -> Discovery:
        loop = asyncio.get_running_loop()
        return Discovery(loop, self.list_services, INSTANCES_PATH, True, self._list_received, self.rng)

    def _list_received(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.version = version
        self.received_versions.append((time.monotonic(), version))
        self.reporter.list_applied(now_us(), LIST_DELTA, version, entries)

    def _full_list_received(self, raw: bytes) -> bool:
        try:
            told = LIST_DECODER.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"no list: {error}") from None
        return self.discovery.receive(told)

    def restart_watch(self) -> None:
        """Its watch anew, and without a list, as of a process that starts."""
        self.discovery.close()
        self.version = 0
        self.discovery = self._new_discovery()
        self.discovery.set_watch(True)

    def start_lease(self, wait_s: float) -> None:
        async def start_lease() -> None:
            await asyncio.sleep(wait_s)
            await self.lease.keep()

        self.lease_task = asyncio.get_running_loop().create_task(start_lease())

    async def deregister(self) -> bool:
        if self.lease_task is not None:
            self.lease_task.cancel()
        return await self.lease.leave()

    async def run_reports(self) -> None:
        """Reports, and an attempt each second to report on."""
        await asyncio.sleep(self.rng.uniform(0.0, ATTEMPT_INTERVAL_S))
        self.reporter.open()
        while not self.attempts_stopped:
            self.attempts += 1
            self.reporter.attempt_started(now_us(), Send(self.attempts, 1, 0))
            self.reporter.spans.record_attempt_end(self.attempts, 1, True)
            await asyncio.sleep(ATTEMPT_INTERVAL_S)

    def in_force_at_s(self, version: int) -> float:
        return next((at for at, held in self.received_versions if held >= version), -1.0)


class HollowFleet:
    """The process's sidecars, and the orders that they are given."""

    def __init__(self, plan: HollowPlan, traffic: Traffic) -> None:
        self.plan, self.traffic, self.tally, self.lag = plan, traffic, Tally(), Lag()
        self.initial_rss = used(os.getpid()).rss
        self.sidecars = [
            HollowSidecar(n, plan, self.tally) for n in range(plan.first, plan.first + plan.count)
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.start_task(self.lag.watch())
        self._reset_counts()

    def start_task(self, work: Any) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def execute(self, order: Order) -> Reply:
        if order.do == messages.REGISTER:
            return Reply(await self._register_all())
        if order.do == messages.START_WATCH:
            for one in self.sidecars:
                one.discovery.set_watch(True)
        elif order.do == messages.START_REPORTS:
            for one in self.sidecars:
                self.start_task(one.run_reports())
        elif order.do == messages.RESTART_WATCH:
            for one in self.sidecars:
                one.restart_watch()
        elif order.do == messages.DEREGISTER:
            return Reply(
                sum(await asyncio.gather(*(one.deregister() for one in self._sidecars_in_zone(order.zone))))
            )
        elif order.do == messages.REREGISTER:
            for one in self._sidecars_in_zone(order.zone):
                one.start_lease(0.0)
        elif order.do == messages.STOP_ATTEMPTS:
            for one in self.sidecars:
                one.attempts_stopped = True
            return Reply(sum(one.attempts for one in self.sidecars))
        elif order.do == messages.WAIT_FOR_VERSION:
            return Reply(await self._wait_for_version(order.version, order.within_s))
        elif order.do == messages.RESET_COUNTS:
            self._reset_counts()
        elif order.do == messages.COLLECT_TALLY:
            return Reply(tally=self._collect_tally(order.versions))
        return Reply(len(self.sidecars))

    def _sidecars_in_zone(self, zone: int) -> list[HollowSidecar]:
        return [one for one in self.sidecars if one.number % len(names.ZONES) == zone]

    async def _register_all(self) -> int:
        """Registers all within a third of a lease, as those that started at any time."""
        every_s = self.plan.ttl_ms / 3000
        for one in self.sidecars:
            one.start_lease(one.rng.uniform(0.0, every_s))
        await asyncio.sleep(every_s)
        return len(self.sidecars)

    async def _wait_for_version(self, version: int, within_s: float) -> int:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while any(one.version < version for one in self.sidecars):
                    await asyncio.sleep(POLL_INTERVAL_S)
        return sum(one.version >= version for one in self.sidecars)

    def _reset_counts(self) -> None:
        self.reset_at_s, self.reset_cpu_s = time.monotonic(), time.process_time()
        self.lag.clear()
        self.traffic.clear()
        tally = self.tally
        tally.sent = tally.failed = tally.renewed = tally.unrenewed = 0
        tally.calls_s, tally.acks_s = [], []
        for one in self.sidecars:
            one.received_versions.clear()

    def _collect_tally(self, versions: list[int]) -> Tally:
        tally = self.tally
        tally.seconds, tally.cpu_s = (
            time.monotonic() - self.reset_at_s,
            time.process_time() - self.reset_cpu_s,
        )
        tally.rss, tally.lag_p99_ms = used(os.getpid()).rss - self.initial_rss, self.lag.p99_ms()
        tally.flows = self.traffic.snapshot()
        tally.heard = [[one.in_force_at_s(version) for one in self.sidecars] for version in versions]
        return tally


async def run() -> None:
    """Until END, or until stdin ends: the driver is gone then."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGINT, lambda: None)  # the driver, which gets it too, ends this one
    orders = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    if not (line := await orders.readline()):
        return
    fleet = HollowFleet(msgspec.json.decode(line, type=HollowPlan), count_traffic(loop))
    while line := await orders.readline():
        order: Order = msgspec.json.decode(line, type=Order)
        if order.do == messages.STOP:
            break
        sys.stdout.buffer.write(msgspec.json.encode(await fleet.execute(order)) + b"\n")
        sys.stdout.buffer.flush()
    os._exit(0)  # it keeps no state; to break off calls by the hundred says much, and nothing new


def main() -> None:
    logging.getLogger("woadyard").setLevel(logging.ERROR)  # each sidecar says its outages
    with contextlib.suppress(BrokenPipeError):
        uvloop.run(run())


if __name__ == "__main__":
    main()
