"""An open-loop caller as a process of its own: `python -m benchmarks.scale.openloop PLAN`.

PLAN is JSON (`Plan`). Each arm is sent requests at drawn times (exponential gaps, fixed seed)
whatever comes back, all arms at once; latency counts from the time that was drawn, so that a late
driver makes answers late and not fewer. How late it was is told too. It waits by `select`, whose
waits are to the microsecond, where loops of events round to the millisecond. Says `warm` as the
measured part begins and `measured` with the figures, a line of JSON each.
"""

from __future__ import annotations

import gc
import heapq
import json
import random
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import httptools
import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MOST_US = 60_000_000
CONNECTIONS_MOST = 256  # of an arm; a request that finds none free is not sent, and said to be so
OPEN_FIRST = 16  # opened to each arm before the first request
DRAIN_S = 5.0  # for answers after the last request
SERVED = "200"
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
REQUEST = (
    b"GET /page?obj=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %d-%d\r\nX-Class: page\r\n"
    b"X-Deadline-Ms: 4000\r\nX-Way: %b\r\nAccept: application/json\r\nUser-Agent: open-loop\r\n\r\n"
)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seed: int
    rate: float  # requests a second, each arm
    warm_s: float
    seconds: float
    arms: dict[str, list[int]]  # ports of each, taken in turns


class Connection:
    """One keep-alive connection, one request at a time."""

    def __init__(self, arm: Arm, port: int) -> None:
        self.arm, self.due = arm, 0.0  # due: of the request under way; 0 while idle
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=2.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.parser = httptools.HttpResponseParser(self)
        self.whole = self.begun = False
        self.served = 0

    def on_message_begin(self) -> None:
        self.begun = True

    def on_message_complete(self) -> None:
        self.whole = True

    def send(self, due: float) -> None:
        self.due, self.begun = due, False
        self.socket.send(REQUEST % (self.arm.number, self.arm.caller.next_id(), self.arm.name))

    def read(self) -> bool:
        """Takes what came; whether the connection goes on."""
        try:
            data = self.socket.recv(65536)
            if data:
                self.parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            data = b""
        if not self.whole:
            if not data and self.due:
                due, self.due = self.due, 0.0
                # A close between requests may cross one, which is then sent once more, by the protocol.
                self.arm.crossed(due) if self.served and not self.begun else self.arm.ended(due, "lost")
            return bool(data)
        self.whole, due, self.due = False, self.due, 0.0
        self.served += 1
        self.arm.ended(due, str(self.parser.get_status_code()))
        return bool(self.parser.should_keep_alive())


class Arm:
    def __init__(self, number: int, name: str, ports: list[int], caller: Caller) -> None:
        self.number, self.ports, self.caller = number, ports, caller
        self.name = name.encode()
        self.idle: list[Connection] = []
        self.opened = self.sent = self.under_way = self.resent = 0
        self.results = Counter[str]()  # statuses; "lost" with its connection, "unsent" for want of one
        self.times = HdrHistogram(1, MOST_US, 3)

    def open(self) -> Connection:
        made = Connection(self, self.ports[self.opened % len(self.ports)])
        self.opened += 1
        self.caller.watch(made)
        return made

    def send(self, due: float) -> None:
        counts = due >= self.caller.from_s
        self.sent += counts
        if not self.idle and len(self.caller.connections) >= CONNECTIONS_MOST * len(self.caller.arms):
            self.results["unsent"] += counts
            return
        self.under_way += 1
        if self.idle:
            one = self.idle.pop()
            try:
                one.send(due)
                return
            except OSError:
                one.due = 0.0  # its end is read later
        self._send_anew(due)

    def crossed(self, due: float) -> None:
        self.resent += due >= self.caller.from_s
        self._send_anew(due)

    def _send_anew(self, due: float) -> None:
        """On a new connection, which serves no other before it."""
        try:
            self.open().send(due)
        except OSError:
            self.ended(due, "lost")

    def ended(self, due: float, result: str) -> None:
        self.under_way -= 1
        if due >= self.caller.from_s:
            self.results[result] += 1
            if result == SERVED:  # what failed at once must not look quick
                self.times.record_value(max(1, int((time.perf_counter() - due) * 1e6)))


class Caller:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.ids = plan, 0
        self.connections: dict[int, Connection] = {}
        self.poll = select.epoll()
        self.lag = HdrHistogram(1, MOST_US, 3)
        self.from_s = float("inf")
        self.arms = [Arm(n, *pair, self) for n, pair in enumerate(plan.arms.items())]

    def next_id(self) -> int:
        self.ids += 1
        return self.ids

    def watch(self, one: Connection) -> None:
        self.connections[one.socket.fileno()] = one
        self.poll.register(one.socket.fileno(), select.EPOLLIN)

    def look(self, wait_s: float) -> None:
        """Takes answers; waits for one no longer than this."""
        select.select([self.poll.fileno()], [], [], max(0.0, wait_s))
        for fd, _ in self.poll.poll(0):
            one = self.connections[fd]
            if one.read():
                if not one.due:
                    one.arm.idle.append(one)
                continue
            if one in one.arm.idle:
                one.arm.idle.remove(one)
            del self.connections[fd]
            self.poll.unregister(fd)
            one.socket.close()

    def times(self, number: int, began: float, ends: float) -> Iterator[tuple[float, int]]:
        rng, at = random.Random(f"{self.plan.seed}-{number}"), began
        while (at := at + rng.expovariate(self.plan.rate)) < ends:
            yield at, number

    def run(self) -> dict[str, Any]:
        for arm in self.arms:
            arm.idle += [arm.open() for _ in range(OPEN_FIRST)]
        began = time.perf_counter()
        self.from_s = began + self.plan.warm_s
        ends = self.from_s + self.plan.seconds
        warm, cpu = False, 0.0
        each = heapq.merge(*(self.times(n, began, ends) for n in range(len(self.arms))))
        for fired, (due, number) in enumerate(each):
            if not warm and due >= self.from_s:
                while time.perf_counter() < self.from_s:
                    self.look(self.from_s - time.perf_counter())
                warm, cpu = True, time.process_time()
                print(json.dumps({"event": "warm"}), flush=True)
            while (left := due - time.perf_counter()) > 0:
                self.look(left)
            if warm:
                self.lag.record_value(max(1, int(-left * 1e6)))
            self.arms[number].send(due)
            if fired % 8 == 0:  # also where it is behind its times
                self.look(0.0)
        share = (time.process_time() - cpu) / self.plan.seconds
        print(json.dumps({"event": "sent"}), flush=True)
        drained = time.perf_counter() + DRAIN_S
        while any(arm.under_way for arm in self.arms) and (left := drained - time.perf_counter()) > 0:
            self.look(left)
        return {
            "lag_p99_ms": self.lag.get_value_at_percentile(99.0) / 1e3, "cpu": share,
            "arms": {name: told(arm) for name, arm in zip(self.plan.arms, self.arms, strict=True)},
        }  # fmt: skip


def told(arm: Arm) -> dict[str, Any]:
    answered = {f"p{q:g}_s": arm.times.get_value_at_percentile(q) / 1e6 for q in QUANTILES}
    return {
        "sent": arm.sent, "results": dict(arm.results), "unanswered": arm.under_way,
        "opened": arm.opened, "resent": arm.resent, **answered,
    }  # fmt: skip


def main() -> None:
    plan: Plan = msgspec.json.decode(sys.argv[1], type=Plan)
    caller = Caller(plan)
    gc.disable()  # the driver must not be the limit
    print(json.dumps({"event": "measured", **caller.run()}), flush=True)


if __name__ == "__main__":
    main()
