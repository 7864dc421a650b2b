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

MAX_LATENCY_US = 60_000_000
MAX_CONNECTIONS_PER_ARM = 256  # of an arm; a request that finds none free is not sent, and said to be so
INITIAL_CONNECTIONS = 16  # opened to each arm before the first request
DRAIN_TIMEOUT_S = 5.0  # for answers after the last request
STATUS_SERVED = "200"
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
REQUEST = (
    b"GET /page?obj=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %d-%d\r\nX-Class: page\r\n"
    b"X-Deadline-Ms: 4000\r\nX-Way: %b\r\nAccept: application/json\r\nUser-Agent: open-loop\r\n\r\n"
)


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seed: int
    rate: float  # requests a second, each arm
    warm_s: float
    seconds: float
    arms: dict[str, list[int]]  # ports of each, taken in turns


class Connection:
    """One keep-alive connection, one request at a time."""

    def __init__(self, arm: Arm, port: int) -> None:
        self.arm, self.due_s = arm, 0.0  # due: of the request under way; 0 while idle
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=2.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.parser = httptools.HttpResponseParser(self)
        self.is_complete = self.has_begun = False
        self.served_count = 0

    def on_message_begin(self) -> None:
        self.has_begun = True

    def on_message_complete(self) -> None:
        self.is_complete = True

    def send(self, due: float) -> None:
        self.due_s, self.has_begun = due, False
        self.socket.send(REQUEST % (self.arm.number, self.arm.client.next_id(), self.arm.name))

    def receive(self) -> bool:
        """Takes what came; whether the connection goes on."""
        try:
            data = self.socket.recv(65536)
            if data:
                self.parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            data = b""
        if not self.is_complete:
            if not data and self.due_s:
                due, self.due_s = self.due_s, 0.0
                # A close between requests may cross one, which is then sent once more, by the protocol.
                self.arm.resend(due) if self.served_count and not self.has_begun else self.arm.record_end(
                    due, "lost"
                )
            return bool(data)
        self.is_complete, due, self.due_s = False, self.due_s, 0.0
        self.served_count += 1
        self.arm.record_end(due, str(self.parser.get_status_code()))
        return bool(self.parser.should_keep_alive())


class Arm:
    def __init__(self, number: int, name: str, ports: list[int], caller: OpenLoopClient) -> None:
        self.number, self.ports, self.client = number, ports, caller
        self.name = name.encode()
        self.idle: list[Connection] = []
        self.opened = self.sent = self.in_flight = self.resent = 0
        self.results = Counter[str]()  # statuses; "lost" with its connection, "unsent" for want of one
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)

    def open(self) -> Connection:
        made = Connection(self, self.ports[self.opened % len(self.ports)])
        self.opened += 1
        self.client.register(made)
        return made

    def send(self, due: float) -> None:
        counts = due >= self.client.measured_from_s
        self.sent += counts
        if not self.idle and len(self.client.connections) >= MAX_CONNECTIONS_PER_ARM * len(self.client.arms):
            self.results["unsent"] += counts
            return
        self.in_flight += 1
        if self.idle:
            one = self.idle.pop()
            try:
                one.send(due)
                return
            except OSError:
                one.due_s = 0.0  # its end is read later
        self._send_on_new_connection(due)

    def resend(self, due: float) -> None:
        self.resent += due >= self.client.measured_from_s
        self._send_on_new_connection(due)

    def _send_on_new_connection(self, due: float) -> None:
        """On a new connection, which serves no other before it."""
        try:
            self.open().send(due)
        except OSError:
            self.record_end(due, "lost")

    def record_end(self, due: float, result: str) -> None:
        self.in_flight -= 1
        if due >= self.client.measured_from_s:
            self.results[result] += 1
            if result == STATUS_SERVED:  # what failed at once must not look quick
                self.latencies_us.record_value(max(1, int((time.perf_counter() - due) * 1e6)))


class OpenLoopClient:
    def __init__(self, plan: LoadPlan) -> None:
        self.plan, self.last_id = plan, 0
        self.connections: dict[int, Connection] = {}
        self.epoll = select.epoll()
        self.lag_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.measured_from_s = float("inf")
        self.arms = [Arm(n, *pair, self) for n, pair in enumerate(plan.arms.items())]

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def register(self, one: Connection) -> None:
        self.connections[one.socket.fileno()] = one
        self.epoll.register(one.socket.fileno(), select.EPOLLIN)

    def receive_responses(self, wait_s: float) -> None:
        """Takes answers; waits for one no longer than this."""
        select.select([self.epoll.fileno()], [], [], max(0.0, wait_s))
        for fd, _ in self.epoll.poll(0):
            one = self.connections[fd]
            if one.receive():
                if not one.due_s:
                    one.arm.idle.append(one)
                continue
            if one in one.arm.idle:
                one.arm.idle.remove(one)
            del self.connections[fd]
            self.epoll.unregister(fd)
            one.socket.close()

    def due_times(self, number: int, began: float, ends: float) -> Iterator[tuple[float, int]]:
        rng, at = random.Random(f"{self.plan.seed}-{number}"), began
        while (at := at + rng.expovariate(self.plan.rate)) < ends:
            yield at, number

    def run(self) -> dict[str, Any]:
        for arm in self.arms:
            arm.idle += [arm.open() for _ in range(INITIAL_CONNECTIONS)]
        began = time.perf_counter()
        self.measured_from_s = began + self.plan.warm_s
        ends = self.measured_from_s + self.plan.seconds
        warm, cpu = False, 0.0
        each = heapq.merge(*(self.due_times(n, began, ends) for n in range(len(self.arms))))
        for fired, (due, number) in enumerate(each):
            if not warm and due >= self.measured_from_s:
                while time.perf_counter() < self.measured_from_s:
                    self.receive_responses(self.measured_from_s - time.perf_counter())
                warm, cpu = True, time.process_time()
                print(json.dumps({"event": "warm"}), flush=True)
            while (left := due - time.perf_counter()) > 0:
                self.receive_responses(left)
            if warm:
                self.lag_us.record_value(max(1, int(-left * 1e6)))
            self.arms[number].send(due)
            if fired % 8 == 0:  # also where it is behind its times
                self.receive_responses(0.0)
        share = (time.process_time() - cpu) / self.plan.seconds
        print(json.dumps({"event": "sent"}), flush=True)
        drained = time.perf_counter() + DRAIN_TIMEOUT_S
        while any(arm.in_flight for arm in self.arms) and (left := drained - time.perf_counter()) > 0:
            self.receive_responses(left)
        return {
            "lag_p99_ms": self.lag_us.get_value_at_percentile(99.0) / 1e3, "cpu": share,
            "arms": {name: arm_results(arm) for name, arm in zip(self.plan.arms, self.arms, strict=True)},
        }  # fmt: skip


def arm_results(arm: Arm) -> dict[str, Any]:
    answered = {f"p{q:g}_s": arm.latencies_us.get_value_at_percentile(q) / 1e6 for q in QUANTILES}
    return {
        "sent": arm.sent, "results": dict(arm.results), "unanswered": arm.in_flight,
        "opened": arm.opened, "resent": arm.resent, **answered,
    }  # fmt: skip


def main() -> None:
    plan: LoadPlan = msgspec.json.decode(sys.argv[1], type=LoadPlan)
    caller = OpenLoopClient(plan)
    gc.disable()  # the driver must not be the limit
    print(json.dumps({"event": "measured", **caller.run()}), flush=True)


if __name__ == "__main__":
    main()
