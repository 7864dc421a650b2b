"""A soak test: real sidecars under random, overlapping faults, checked against the rules.

`python -m tests.soak --seeds 1 2 3 --sidecars 24 --seconds 30` runs once for each seed and prints the
violations; short runs are part of the other tests (tests/test_soak.py). The faults: discovery that is down,
overloaded, silent, delayed or resets its watches; endpoints that drain, fail, hang, reset, are slow or
reject; sidecars that are killed, terminated by SIGTERM (and killed at the earliest time after it), paused,
and pointed at another address of discovery; clients that disconnect; answers and requests of any size and
pace; in some runs a crowd.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.lab import Lab, Program, address
from tests.soak_judge import SentRequest, find_violations
from tests.soak_world import Directory, DiscoveryFault, DiscoveryListener, EndpointFault, Record, SoakEndpoint
from tests.sockets import SETTINGS, http_request, read_body, read_head

DEADLINE_MS = 1_500  # the longest, by the settings
DEADLINES_MS = (300, 800, DEADLINE_MS)
# After SIGTERM: when SIGKILL comes, and from when on requests count that it cuts off.
KILL_AFTER_S, COUNTED_AFTER_S = DEADLINE_MS / 1000 + 0.7, 0.75
EXIT_SLACK_S = 0.1  # an exit is noticed so late
# In series with a SIGTERM.
SIGNAL_SERIES = ((), (signal.SIGTERM,), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP))
UPLOAD_SHARE, UPLOAD_BYTES = 0.04, (70_000, 3_000_000)
CROWD_EVERY, CROWD_SOCKETS, CROWD_CLIENTS = 3, 256, 300  # of the seeds
CLASSES = [
    {"name": "page", "aim-us": 500_000, "deadline-us": DEADLINE_MS * 1000, "repeat": "retryable"},
    {
        "name": "put", "aim-us": 500_000, "deadline-us": DEADLINE_MS * 1000, "repeat": "dedup",
        "dedup-scope": "cell", "repeat-window-us": 1_000_000,
    },
    {"name": "pay", "aim-us": 500_000, "deadline-us": DEADLINE_MS * 1000, "repeat": "fragile"},
]  # fmt: skip
INVARIANTS = {"drain-grace-us": 250_000, "ask-within-us": 3_000_000}
SITE = {**SETTINGS, "classes": CLASSES, "discovery": "ask", "invariants": INVARIANTS, "stage": 0}
# A client's pause between requests, and the share of requests that it drops by disconnecting.
CLIENT_PAUSE_S, DISCONNECT_SHARE, CLIENTS_PER_SIDECAR = 0.04, 0.03, 4
SIDECAR_PAUSE_S = 0.15
CLIENT_TIMEOUT_S = 60.0
# A client sends its next request on another connection once an answer takes longer than this.
BUSY_AFTER_S = 3.0
ENDPOINT_HANG_S, BETWEEN_HANGS_S = (6.8, 22.0), 3.0  # it gives what is due in between


@dataclass
class DownInterval:
    """When no process of a sidecar ran. Requests sent between the two first times have to be answered."""

    counted_from_s: float
    start_s: float
    end_s: float = float("inf")
    signalled_s: float = float("inf")  # when SIGTERM was sent

    def excuses(self, request: SentRequest) -> bool:
        """Whether a request may be unanswered for it."""
        overlaps = self.start_s - EXIT_SLACK_S <= request.finished_s and request.sent_s <= self.end_s + 1.0
        return overlaps and not self.counted_from_s < request.sent_s < self.start_s - EXIT_SLACK_S

    def closes_before(self, request: SentRequest) -> bool:
        """Whether the process was closing its connections when the request ended."""
        return self.signalled_s <= request.finished_s <= self.start_s


@dataclass
class SidecarProcess:
    """A sidecar, its discovery listeners, and the intervals in which the test had it stopped."""

    program: Program
    discovery_listeners: list[DiscoveryListener]
    config: Path
    is_under_fault: bool = False
    down_intervals: list[DownInterval] = field(default_factory=list)


class SoakRun:
    """One run: real sidecars with simulated discovery, endpoints and clients, under random faults."""

    def __init__(self, lab: Lab, seed: int, sidecars: int, seconds: float) -> None:
        self.lab, self.rng, self.sidecars, self.seconds = lab, random.Random(seed), sidecars, seconds
        self.record = Record()
        self.directory = Directory(self.record)
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.sidecar_processes: list[SidecarProcess] = []
        self.sent_requests: list[SentRequest] = []
        self.faults = Counter[str]()
        self.is_ending = False
        self.late_answers: set[asyncio.Task[bool]] = set()  # that clients await on other connections
        self.is_crowded = seed % CROWD_EVERY == 0

    async def run(self) -> list[str]:
        """Runs to the end; returns one line for each violation."""
        for _ in range(max(6, self.sidecars // 2)):
            await self._add_endpoint()
        await asyncio.gather(*(self._start_sidecar(number) for number in range(self.sidecars)))
        clients = [
            asyncio.ensure_future(self._run_client(sidecar, n))
            for sidecar in self.sidecar_processes
            for n in range(CLIENTS_PER_SIDECAR)
        ]
        await self._inject_faults()
        self.directory.set_fault(DiscoveryFault.FAIR)
        for endpoint in self.endpoints.values():
            endpoint.fault_shares.clear()
        await asyncio.sleep(2.0)
        self.is_ending = True
        await asyncio.gather(*clients)
        await asyncio.gather(*self.late_answers)
        intervals = {sidecar.program.name: sidecar.down_intervals for sidecar in self.sidecar_processes}
        for request in self.sent_requests:
            request.sidecar_was_down = any(each.excuses(request) for each in intervals[request.sidecar])
            request.is_before_exit = any(each.closes_before(request) for each in intervals[request.sidecar])
        return [*find_violations(self.record, self.sent_requests), *await self._sidecar_findings()]

    async def _start_sidecar(self, number: int) -> None:
        name = f"n{number}"
        listeners = [DiscoveryListener(self.directory, name) for _ in range(2)]
        for listener in listeners:
            await self.lab.listen(listener)
        entries = list(self.directory.entries.values())
        limits = {"sockets": CROWD_SOCKETS if self.is_crowded else 1024}
        program = await self.lab.sidecar(name, entries, listeners[0], settings=SITE, limits=limits)
        self.sidecar_processes.append(SidecarProcess(program, listeners, program.folder / "config.json"))

    async def _add_endpoint(self) -> None:
        name = f"s-{len(self.endpoints)}"
        endpoint = SoakEndpoint(name, self.record, self.rng.randrange(2**32))
        await self.lab.listen(endpoint)
        self.endpoints[name] = endpoint
        await self.directory.put(name, endpoint.entry())

    async def _inject_faults(self) -> None:
        actions: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._change_discovery_fault, self._reset_watches, self._replace_endpoint, self._replace_endpoint,
            self._add_endpoint_fault, self._add_endpoint_fault, self._kill_sidecar, self._terminate_sidecar,
            self._pause_sidecar, self._change_discovery_address, self._slow_down_reads, self._hang_endpoint,
            self._hang_endpoint,
        ]  # fmt: skip
        if self.is_crowded:
            actions.append(self._send_crowd)
        tasks: set[asyncio.Task[None]] = set()
        end_s = time.monotonic() + self.seconds
        while time.monotonic() < end_s:
            action = self.rng.choice(actions)
            self.faults[action.__name__.strip("_")] += 1
            tasks.add(asyncio.ensure_future(action()))
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)

    async def _change_discovery_fault(self) -> None:
        self.directory.set_fault(self.rng.choice(list(DiscoveryFault)))

    async def _reset_watches(self) -> None:
        self.directory.reset_watches()

    async def _replace_endpoint(self) -> None:
        """Drains one endpoint and adds another."""
        candidates = [name for name in self.endpoints if name not in self.record.changes]
        name = self.rng.choice(candidates)
        self.endpoints[name].serves_until_s = time.monotonic() + self.rng.uniform(0.0, 2.0)
        await self.directory.drain(name)
        await self._add_endpoint()

    async def _add_endpoint_fault(self) -> None:
        endpoint = self.rng.choice(list(self.endpoints.values()))
        endpoint.fault_shares[self.rng.choice(list(EndpointFault))] = self.rng.uniform(0.0, 0.15)

    async def _hang_endpoint(self) -> None:
        """An endpoint gives and takes nothing for a while, and goes on with what it has in work."""
        now_s = time.monotonic()
        awake = [each for each in self.endpoints.values() if each.hangs_until_s + BETWEEN_HANGS_S < now_s]
        if len(awake) > 3 / 4 * len(self.endpoints):
            busiest = max(awake, key=lambda each: each.answers_in_work)
            busiest.hangs_until_s = now_s + self.rng.uniform(*ENDPOINT_HANG_S)

    async def _slow_down_reads(self) -> None:
        self.rng.choice(list(self.endpoints.values())).read_pause_s = self.rng.uniform(0.0, 0.5)

    async def _send_crowd(self) -> None:
        """Idle clients fill the descriptors of a sidecar for a while."""
        if (sidecar := self._pick_sidecar()) is None:
            return
        writers = []
        with contextlib.suppress(OSError):
            for _ in range(CROWD_CLIENTS):
                writers.append((await asyncio.open_connection("127.0.0.1", sidecar.program.port))[1])
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        for writer in writers:
            writer.transport.abort()

    def _pick_sidecar(self) -> SidecarProcess | None:
        idle = [sidecar for sidecar in self.sidecar_processes if not sidecar.is_under_fault]
        return self.rng.choice(idle) if idle else None

    @contextlib.contextmanager
    def _under_fault(self, sidecar: SidecarProcess) -> Any:
        sidecar.is_under_fault = True
        try:
            yield
        finally:
            sidecar.is_under_fault = False

    async def _kill_sidecar(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate_sidecar(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: int) -> None:
        if (sidecar := self._pick_sidecar()) is None:
            return
        with self._under_fault(sidecar):
            if number == signal.SIGTERM:
                down = await self._terminate(sidecar.program, self.rng.choice(SIGNAL_SERIES))
            else:
                down = DownInterval(float("inf"), time.monotonic())
                await self.lab.kill(sidecar.program, number=number)
            sidecar.down_intervals.append(down)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            self._save_last_list(sidecar)
            sidecar.program.start()
            await sidecar.program.wait_ready()
            down.end_s = time.monotonic()

    async def _terminate(self, program: Program, more_signals: tuple[signal.Signals, ...]) -> DownInterval:
        """Sends SIGTERM, more signals, and SIGKILL at the earliest time; returns when the process ended."""
        program.signal_process(signal.SIGTERM)
        signalled_s = time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(KILL_AFTER_S):
                for number in more_signals:
                    await asyncio.sleep(self.rng.uniform(0.0, 0.4))
                    program.signal_process(number)
                await program.wait_exit()
                return DownInterval(0.0, time.monotonic(), signalled_s=signalled_s)
        self.faults["killed after SIGTERM"] += 1
        down = DownInterval(signalled_s + COUNTED_AFTER_S, time.monotonic(), signalled_s=signalled_s)
        await self.lab.kill(program)
        return down

    def _save_last_list(self, sidecar: SidecarProcess) -> None:
        """Lets the next process start from the list that the last one received."""
        name = sidecar.program.name
        self.record.moves = [
            move for move in self.record.moves if move[1] != name
        ]  # it can't have handled the signal
        if (last_list := self.directory.last_lists.get(name)) is None:
            return
        raw = json.loads(sidecar.config.read_text())
        raw["known"] = {"generation": last_list[0], "reset": True, "instances": last_list[1]}
        sidecar.config.write_text(json.dumps(raw))

    async def _pause_sidecar(self) -> None:
        if (sidecar := self._pick_sidecar()) is None:
            return
        with self._under_fault(sidecar):
            sidecar.program.signal_process(signal.SIGSTOP)
            await asyncio.sleep(SIDECAR_PAUSE_S)
            sidecar.program.signal_process(signal.SIGCONT)

    async def _change_discovery_address(self) -> None:
        """Reloads a configuration with another address of discovery."""
        if (sidecar := self._pick_sidecar()) is None:
            return
        with self._under_fault(sidecar):
            raw = json.loads(sidecar.config.read_text())
            addresses = [address(listener) for listener in sidecar.discovery_listeners]
            raw["discovery"] = addresses[1 - addresses.index(raw["discovery"])]
            sidecar.config.write_text(json.dumps(raw))
            sidecar.program.signal_process(signal.SIGHUP)
            self.record.moves.append((time.monotonic(), sidecar.program.name))

    async def _run_client(self, sidecar: SidecarProcess, number: int) -> None:
        """Sends sequential requests on a connection that is reused as long as the sidecar keeps it open."""
        rng, count = random.Random(f"{sidecar.program.name}-{number}"), 0
        while not self.is_ending:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.program.port)
                is_first, is_open = True, True
                while is_open and not self.is_ending:
                    count += 1
                    cls = rng.choice(("page", "put", "pay"))
                    request = SentRequest(
                        f"{sidecar.program.name}-{number}-{count}", sidecar.program.name, cls, is_first
                    )
                    request.is_in_crowd = self.is_crowded
                    answer = asyncio.ensure_future(self._send_request(request, sidecar, rng, reader, writer))
                    await asyncio.wait([answer], timeout=BUSY_AFTER_S)
                    if not answer.done():
                        self.late_answers.add(answer)
                        break
                    is_open = answer.result()
                    is_first = False
                    await asyncio.sleep(CLIENT_PAUSE_S * rng.uniform(0.5, 1.5))
                else:
                    writer.close()
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def _send_request(
        self,
        request: SentRequest,
        sidecar: SidecarProcess,
        rng: random.Random,
        reader: Any,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a request and records its outcome; returns whether the connection stays open."""
        self.sent_requests.append(request)
        request.sent_s, request.deadline_ms = time.monotonic(), rng.choice(DEADLINES_MS)
        is_large = request.cls != "page" and rng.random() < UPLOAD_SHARE
        body = b"" if request.cls == "page" else b"x" * (rng.randint(*UPLOAD_BYTES) if is_large else 1)
        writer.transport.set_write_buffer_limits(0)
        writer.write(http_request(request.cls, body, deadline_ms=request.deadline_ms, rid=request.request_id))
        timeout_s = rng.uniform(0.0, 0.2) if rng.random() < DISCONNECT_SHARE else CLIENT_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                await writer.drain()
                request.sent_s = time.monotonic()
                head = await read_head(reader)
                request.head_s = time.monotonic()
                request.body = await read_body(reader, head)
                request.response_s, request.status = time.monotonic(), int(head.start_line.split()[1])
                return head.headers.get("connection", "") != "close"
        except TimeoutError:
            request.client_disconnected = timeout_s < 1.0
            request.disconnected_s = time.monotonic()
        except (OSError, asyncio.IncompleteReadError) as error:
            request.is_truncated = True
            request.got_no_bytes = isinstance(error, asyncio.IncompleteReadError) and not error.partial
        finally:
            request.finished_s = time.monotonic()
        writer.transport.abort()
        return False

    async def _sidecar_findings(self) -> list[str]:
        """Returns violations counted by the sidecars' own checks, and log events that must not occur."""
        violations = []
        for sidecar in self.sidecar_processes:
            text = await sidecar.program.metrics()
            for line in text.splitlines():
                if line.startswith("woadyard_invariant_violations_total") and not line.endswith(" 0.0"):
                    violations.append(f"{sidecar.program.name}: {line}")
            for event in sidecar.program.events():
                if (
                    event in ("unhandled exception in the balancer", "invariant violated")
                    or "Traceback" in event
                ):
                    violations.append(f"{sidecar.program.name} logged: {event}")
        return violations


async def play(folder: Path, seed: int, sidecars: int, seconds: float) -> tuple[list[str], SoakRun]:
    """Executes one run; returns its violations and the run."""
    lab = Lab(folder)
    try:
        soak = SoakRun(lab, seed, sidecars, seconds)
        return await soak.run(), soak
    finally:
        lab.close()


def main() -> int:
    parser = argparse.ArgumentParser(description="A soak test of real sidecars.")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--sidecars", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as folder:
            violations, soak = asyncio.run(play(Path(folder), seed, options.sidecars, options.seconds))
        statuses = Counter(request.status for request in soak.sent_requests)
        print(
            f"seed {seed}: {len(soak.sent_requests)} requests, statuses {dict(statuses)}, {dict(soak.faults)}"
        )
        slow = [each for each in soak.sent_requests if each.response_s > each.sent_s + ENDPOINT_HANG_S[0]]
        print(f"answers that came whole though their endpoint hung: {len(slow)}")
        print("\n".join(violations[:20]) or "no violations", flush=True)
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
