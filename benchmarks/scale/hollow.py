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

from benchmarks.scale import fleet_names, talk
from benchmarks.scale.meter import LoopLag, process_usage
from benchmarks.scale.talk import Order, Plan, Reply, Tally
from benchmarks.scale.traffic import Traffic, count
from woadyard.audit import AuditSettings
from woadyard.errors import PeerError
from woadyard.interface import LIST_DELTA, Send
from woadyard.lists.service import INSTANCES_PATH
from woadyard.net.discovery import Discovery
from woadyard.net.list_stream import LIST_DECODER
from woadyard.net.reporter import AuditHandlers, Reporter, now_us
from woadyard.standins.lease import Lease

ATTEMPT_S, LOOK_S = 1.0, 0.005
BUILD = "0-1-0"


class Renewals(Lease):
    """The stand-in endpoints' lease, counted."""

    def __init__(self, plan: Plan, entry: dict[str, Any], tally: Tally) -> None:
        super().__init__(plan.writer, lambda: entry, plan.ttl_ms)
        self.tally = tally

    async def _call(self, method: str, tail: str, body: Any = None) -> bool:
        done = await super()._call(method, tail, body)
        self.tally.renewed += done
        self.tally.unrenewed += not done
        return done


class Reports(Reporter):
    """The product's reporter, counted."""

    tally: Tally
    first_sent: dict[int, float]

    async def _send_report(self, report_timeout_s: float, final: bool = False) -> bool:
        began = self.first_sent[self.spans.last_report_number + 1] = time.monotonic()
        done = await super()._send_report(report_timeout_s, final)
        self.tally.sent += 1
        if done:
            self.tally.calls_s.append(round(time.monotonic() - began, 5))
        else:  # its rows go with the next report, under a new number
            self.tally.failed += 1
        return done

    def acked(self, numbers: Any) -> None:
        for n in numbers:
            if (began := self.first_sent.pop(n, None)) is not None:
                self.tally.acks_s.append(round(time.monotonic() - began, 5))


class Sidecar:
    def __init__(self, n: int, plan: Plan, tally: Tally) -> None:
        self.n, self.plan, self.tally = n, plan, tally
        self.rng = random.Random(plan.seed * 1_000_003 + n)
        self.service = (
            plan.replicas[fleet_names.region_index(n)] if plan.regional else ",".join(plan.replicas)
        )
        self.heard: list[tuple[float, int]] = []
        self.version = self.attempts = 0
        self.still = False  # no more attempts; what there were is reported
        self.discovery = self._discovery()
        self.lease = Renewals(plan, fleet_names.list_entry(n), tally)
        self.keeping: asyncio.Task[None] | None = None
        orders = AuditHandlers(
            self._whole, lambda: self.discovery.restart_watch(), lambda out: None, lambda out: None
        )
        self.reporter = Reports(
            AuditSettings(self.service), fleet_names.sidecar_name(n), BUILD,
            lambda: self.discovery.latest_term, orders, self.rng,
        )  # fmt: skip
        self.reporter.tally, self.reporter.first_sent = tally, {}
        orders.reports_acknowledged = self.reporter.acked

    def _discovery(self) -> Discovery:
        loop = asyncio.get_running_loop()
        return Discovery(loop, self.service, INSTANCES_PATH, True, self._listen, self.rng)

    def _listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.version = version
        self.heard.append((time.monotonic(), version))
        self.reporter.list_applied(now_us(), LIST_DELTA, version, entries)

    def _whole(self, raw: bytes) -> bool:
        try:
            told = LIST_DECODER.decode(raw)
        except msgspec.DecodeError as error:
            raise PeerError(f"no list: {error}") from None
        return self.discovery.receive(told)

    def begin(self) -> None:
        """Its watch anew, and without a list, as of a process that starts."""
        self.discovery.close()
        self.version = 0
        self.discovery = self._discovery()
        self.discovery.set_watch(True)

    def keep(self, wait_s: float) -> None:
        async def keep() -> None:
            await asyncio.sleep(wait_s)
            await self.lease.keep_registered()

        self.keeping = asyncio.get_running_loop().create_task(keep())

    async def leave(self) -> bool:
        if self.keeping is not None:
            self.keeping.cancel()
        return await self.lease.unregister()

    async def report(self) -> None:
        """Reports, and an attempt each second to report on."""
        await asyncio.sleep(self.rng.uniform(0.0, ATTEMPT_S))
        self.reporter.open()
        while not self.still:
            self.attempts += 1
            self.reporter.attempt_started(now_us(), Send(self.attempts, 1, 0))
            self.reporter.spans.record_attempt_end(self.attempts, 1, True)
            await asyncio.sleep(ATTEMPT_S)

    def in_force(self, version: int) -> float:
        return next((at for at, held in self.heard if held >= version), -1.0)


class Fleet:
    """The process's sidecars, and the orders that they are given."""

    def __init__(self, plan: Plan, traffic: Traffic) -> None:
        self.plan, self.traffic, self.tally, self.lag = plan, traffic, Tally(), LoopLag()
        self.rss = process_usage(os.getpid()).rss_bytes
        self.sidecars = [Sidecar(n, plan, self.tally) for n in range(plan.first, plan.first + plan.count)]
        self.tasks: list[asyncio.Task[None]] = []
        self.task(self.lag.watch())
        self._mark()

    def task(self, work: Any) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def obey(self, order: Order) -> Reply:
        if order.do == talk.LEASE:
            return Reply(await self._lease())
        if order.do == talk.WATCH:
            for one in self.sidecars:
                one.discovery.set_watch(True)
        elif order.do == talk.REPORT:
            for one in self.sidecars:
                self.task(one.report())
        elif order.do == talk.BEGIN:
            for one in self.sidecars:
                one.begin()
        elif order.do == talk.LEAVE:
            return Reply(sum(await asyncio.gather(*(one.leave() for one in self._zone(order.zone)))))
        elif order.do == talk.COMEBACK:
            for one in self._zone(order.zone):
                one.keep(0.0)
        elif order.do == talk.STILL:
            for one in self.sidecars:
                one.still = True
            return Reply(sum(one.attempts for one in self.sidecars))
        elif order.do == talk.UNTIL:
            return Reply(await self._until(order.version, order.within_s))
        elif order.do == talk.MARK:
            self._mark()
        elif order.do == talk.TELL:
            return Reply(tally=self._tell(order.versions))
        return Reply(len(self.sidecars))

    def _zone(self, zone: int) -> list[Sidecar]:
        return [one for one in self.sidecars if one.n % len(fleet_names.ZONES) == zone]

    async def _lease(self) -> int:
        """Registers all within a third of a lease, as those that started at any time."""
        every_s = self.plan.ttl_ms / 3000
        for one in self.sidecars:
            one.keep(one.rng.uniform(0.0, every_s))
        await asyncio.sleep(every_s)
        return len(self.sidecars)

    async def _until(self, version: int, within_s: float) -> int:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while any(one.version < version for one in self.sidecars):
                    await asyncio.sleep(LOOK_S)
        return sum(one.version >= version for one in self.sidecars)

    def _mark(self) -> None:
        self.began, self.cpu_s = time.monotonic(), time.process_time()
        self.lag.clear()
        self.traffic.clear()
        tally = self.tally
        tally.sent = tally.failed = tally.renewed = tally.unrenewed = 0
        tally.calls_s, tally.acks_s = [], []
        for one in self.sidecars:
            one.heard.clear()

    def _tell(self, versions: list[int]) -> Tally:
        tally = self.tally
        tally.seconds, tally.cpu_s = time.monotonic() - self.began, time.process_time() - self.cpu_s
        tally.rss, tally.lag_p99_ms = process_usage(os.getpid()).rss_bytes - self.rss, self.lag.p99_ms()
        tally.flows = self.traffic.told()
        tally.heard = [[one.in_force(version) for one in self.sidecars] for version in versions]
        return tally


async def run() -> None:
    """Until END, or until stdin ends: the driver is gone then."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGINT, lambda: None)  # the driver, which gets it too, ends this one
    orders = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    if not (line := await orders.readline()):
        return
    fleet = Fleet(msgspec.json.decode(line, type=Plan), count(loop))
    while line := await orders.readline():
        order: Order = msgspec.json.decode(line, type=Order)
        if order.do == talk.END:
            break
        sys.stdout.buffer.write(msgspec.json.encode(await fleet.obey(order)) + b"\n")
        sys.stdout.buffer.flush()
    os._exit(0)  # it keeps no state; to break off calls by the hundred says much, and nothing new


def main() -> None:
    logging.getLogger("woadyard").setLevel(logging.ERROR)  # each sidecar says its outages
    with contextlib.suppress(BrokenPipeError):
        uvloop.run(run())


if __name__ == "__main__":
    main()
