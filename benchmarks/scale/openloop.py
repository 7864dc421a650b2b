"""An open-loop client as a process of its own: `python -m benchmarks.scale.openloop PLAN`.

PLAN is JSON (`LoadPlan`). Requests are sent to all arms at once at random times (exponential gaps,
fixed seed), whether or not earlier ones have a response. Latency counts from the scheduled time, so
that a late driver increases latencies instead of lowering the rate; its lateness is reported too. It
waits with `select`, which is precise to the microsecond, while event loops round to the millisecond.
It prints one JSON line each: `warm` when the measured part begins, `sent` when all requests are sent,
and `measured` with the figures.
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
MAX_CONNECTIONS_PER_ARM = 256  # beyond it a request is not sent and counts as "unsent"
INITIAL_CONNECTIONS = 16  # for each arm, opened before the first request
DRAIN_TIMEOUT_S = 5.0  # for responses after the last request
STATUS_SERVED = "200"
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
REQUEST = (
    b"GET /page?obj=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %d-%d\r\nX-Class: page\r\n"
    b"X-Deadline-Ms: 4000\r\nX-Way: %b\r\nAccept: application/json\r\nUser-Agent: open-loop\r\n\r\n"
)


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load to generate."""

    seed: int
    rate: float  # requests a second to each arm
    warm_s: float
    seconds: float
    arms: dict[str, list[int]]  # ports of each arm, used in rotation


class Connection:
    """A keep-alive connection that carries one request at a time."""

    def __init__(self, arm: Arm, port: int) -> None:
        self.arm, self.due_s = arm, 0.0  # due_s: scheduled time of the request in flight; 0 if idle
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

    def send(self, due_s: float) -> None:
        self.due_s, self.has_begun = due_s, False
        self.socket.send(REQUEST % (self.arm.number, self.arm.client.next_id(), self.arm.name))

    def receive(self) -> bool:
        """Reads available data; returns whether the connection stays open."""
        try:
            data = self.socket.recv(65536)
            if data:
                self.parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            data = b""
        if not self.is_complete:
            if not data and self.due_s:
                due_s, self.due_s = self.due_s, 0.0
                # A close of an idle connection can cross a request in flight: HTTP lets the client resend it.
                self.arm.resend(due_s) if self.served_count and not self.has_begun else self.arm.record_end(
                    due_s, "lost"
                )
            return bool(data)
        self.is_complete, due_s, self.due_s = False, self.due_s, 0.0
        self.served_count += 1
        self.arm.record_end(due_s, str(self.parser.get_status_code()))
        return bool(self.parser.should_keep_alive())


class Arm:
    """A target of the load: its connections and results."""

    def __init__(self, number: int, name: str, ports: list[int], client: OpenLoopClient) -> None:
        self.number, self.ports, self.client = number, ports, client
        self.name = name.encode()
        self.idle: list[Connection] = []
        self.opened = self.sent = self.in_flight = self.resent = 0
        self.results = Counter[str]()  # by status; "lost" if the connection failed, "unsent" if none was free
        self.latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)

    def open(self) -> Connection:
        connection = Connection(self, self.ports[self.opened % len(self.ports)])
        self.opened += 1
        self.client.add_connection(connection)
        return connection

    def send(self, due_s: float) -> None:
        is_measured = due_s >= self.client.measured_from_s
        self.sent += is_measured
        if not self.idle and len(self.client.connections) >= MAX_CONNECTIONS_PER_ARM * len(self.client.arms):
            self.results["unsent"] += is_measured
            return
        self.in_flight += 1
        if self.idle:
            connection = self.idle.pop()
            try:
                connection.send(due_s)
                return
            except OSError:
                connection.due_s = 0.0  # its close is read later
        self._send_on_new_connection(due_s)

    def resend(self, due_s: float) -> None:
        self.resent += due_s >= self.client.measured_from_s
        self._send_on_new_connection(due_s)

    def _send_on_new_connection(self, due_s: float) -> None:
        """Sends on a new connection, which has served no request before."""
        try:
            self.open().send(due_s)
        except OSError:
            self.record_end(due_s, "lost")

    def record_end(self, due_s: float, result: str) -> None:
        self.in_flight -= 1
        if due_s >= self.client.measured_from_s:
            self.results[result] += 1
            if result == STATUS_SERVED:  # fast failures must not lower the latencies
                self.latencies_us.record_value(max(1, int((time.perf_counter() - due_s) * 1e6)))


class OpenLoopClient:
    """Sends the load of a plan to all arms and collects the results."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan, self.last_id = plan, 0
        self.connections: dict[int, Connection] = {}
        self.poller = select.epoll()
        self.lag_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.measured_from_s = float("inf")
        self.arms = [
            Arm(index, *name_and_ports, self) for index, name_and_ports in enumerate(plan.arms.items())
        ]

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def add_connection(self, connection: Connection) -> None:
        self.connections[connection.socket.fileno()] = connection
        self.poller.register(connection.socket.fileno(), select.EPOLLIN)

    def receive_responses(self, timeout_s: float) -> None:
        """Reads available responses, waiting at most `timeout_s` for the first."""
        select.select([self.poller.fileno()], [], [], max(0.0, timeout_s))
        for descriptor, _ in self.poller.poll(0):
            connection = self.connections[descriptor]
            if connection.receive():
                if not connection.due_s:
                    connection.arm.idle.append(connection)
                continue
            if connection in connection.arm.idle:
                connection.arm.idle.remove(connection)
            del self.connections[descriptor]
            self.poller.unregister(descriptor)
            connection.socket.close()

    def due_times(self, arm_index: int, start_s: float, end_s: float) -> Iterator[tuple[float, int]]:
        rng, due_s = random.Random(f"{self.plan.seed}-{arm_index}"), start_s
        while (due_s := due_s + rng.expovariate(self.plan.rate)) < end_s:
            yield due_s, arm_index

    def run(self) -> dict[str, Any]:
        for arm in self.arms:
            arm.idle += [arm.open() for _ in range(INITIAL_CONNECTIONS)]
        started_at_s = time.perf_counter()
        self.measured_from_s = started_at_s + self.plan.warm_s
        ends_at_s = self.measured_from_s + self.plan.seconds
        is_measuring, cpu_before_s = False, 0.0
        schedule = heapq.merge(*(self.due_times(n, started_at_s, ends_at_s) for n in range(len(self.arms))))
        for sent_count, (due_s, arm_index) in enumerate(schedule):
            if not is_measuring and due_s >= self.measured_from_s:
                while time.perf_counter() < self.measured_from_s:
                    self.receive_responses(self.measured_from_s - time.perf_counter())
                is_measuring, cpu_before_s = True, time.process_time()
                print(json.dumps({"event": "warm"}), flush=True)
            while (remaining_s := due_s - time.perf_counter()) > 0:
                self.receive_responses(remaining_s)
            if is_measuring:
                self.lag_us.record_value(max(1, int(-remaining_s * 1e6)))
            self.arms[arm_index].send(due_s)
            if sent_count % 8 == 0:  # even if it is behind schedule
                self.receive_responses(0.0)
        cpu_share = (time.process_time() - cpu_before_s) / self.plan.seconds
        print(json.dumps({"event": "sent"}), flush=True)
        drain_deadline_s = time.perf_counter() + DRAIN_TIMEOUT_S
        while (
            any(arm.in_flight for arm in self.arms)
            and (remaining_s := drain_deadline_s - time.perf_counter()) > 0
        ):
            self.receive_responses(remaining_s)
        return {
            "lag_p99_ms": self.lag_us.get_value_at_percentile(99.0) / 1e3, "cpu": cpu_share,
            "arms": {name: arm_results(arm) for name, arm in zip(self.plan.arms, self.arms, strict=True)},
        }  # fmt: skip


def arm_results(arm: Arm) -> dict[str, Any]:
    quantiles_s = {f"p{q:g}_s": arm.latencies_us.get_value_at_percentile(q) / 1e6 for q in QUANTILES}
    return {
        "sent": arm.sent, "results": dict(arm.results), "unanswered": arm.in_flight,
        "opened": arm.opened, "resent": arm.resent, **quantiles_s,
    }  # fmt: skip


def main() -> None:
    plan: LoadPlan = msgspec.json.decode(sys.argv[1], type=LoadPlan)
    client = OpenLoopClient(plan)
    gc.disable()  # collector pauses would delay the driver
    print(json.dumps({"event": "measured", **client.run()}), flush=True)


if __name__ == "__main__":
    main()
