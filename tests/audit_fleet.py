"""A fleet of sidecars, the list service's leader and a follower, with a fault proxy on each control link."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from tests.process import Process
from tests.sockets import SETTINGS, Endpoint, Message, Writer, http_request, http_response, read_message
from tests.test_registry import call_registry
from woadyard.lists.service import INSTANCES_PATH
from woadyard.policy.lease import LEASE_US
from woadyard.standins import CUT, DELAY, DROP, HERE, PASS, RESET, FaultProxy

RULES = {"behind-ms": 1500, "shut-out-ms": 6000, "bring-ups": 100}
AUDIT = "/registry/audit"
# What is left of the membership lease at least while heartbeats come, one every 2 s.
MIN_LEASE_S = LEASE_US / 1e6 - 2.0


@dataclass
class FleetSidecar:
    """A sidecar process, its listening socket, and the proxies of its watch and its reports."""

    name: str
    listener: socket.socket  # kept open here, so that a restart gets the same port
    links: dict[str, list[FaultProxy]]
    process: Process | None = None
    request_count: int = 0
    response_counts: Counter[int] = field(default_factory=Counter)
    rejected_s: list[float] = field(default_factory=list)  # when a request got 503; monotonic
    watch_lost_s: float = inf  # when its watch got a fault; monotonic

    @property
    def port(self) -> int:
        return int(self.listener.getsockname()[1])

    def fault(self, kind: str, mode: str = PASS, delay_s: float = 0.0, deaf: bool = False) -> None:
        """Set the fault of the links of `kind`, "watch" or "report".

        `deaf`: the sidecar's messages get through, but nothing comes back to it.
        """
        if kind == "watch" and mode != PASS:
            self.watch_lost_s = time.monotonic()
        for link in self.links[kind]:
            if deaf:
                link.set_fault(DROP, direction=HERE)
            elif delay_s:
                link.set_fault(DELAY, delay_s=(delay_s, delay_s))
            else:
                link.set_fault(mode)
            if deaf or mode == DROP:
                for writer in list(link.writers):
                    writer.transport.abort()

    @property
    def rejected_under_lease_s(self) -> list[float]:
        """The 503s that the loss of its watch does not explain: before the membership lease can expire."""
        return [at_s for at_s in self.rejected_s if at_s < self.watch_lost_s + MIN_LEASE_S]


class AuditFleet:
    """Started by `async with`, which also stops all processes, however its body ends."""

    def __init__(self, folder: Path, size: int = 5, seed: int = 1, **config: Any) -> None:
        self.folder, self.size, self.rng, self.config = folder, size, random.Random(seed), config
        self.stack = contextlib.AsyncExitStack()
        self.endpoints = [Endpoint(self._handle_request) for _ in range(3)]
        self.endpoint_counts: Counter[tuple[str, str]] = Counter()  # requests, by sidecar and position
        self.arrivals: list[tuple[int, str, str]] = []  # wall clock in ms, sidecar, position
        self.ports = [0, 0]  # of leader and follower
        self.services: list[Process | None] = [None, None]
        self.sidecars: list[FleetSidecar] = []
        self.is_sending = True
        self.change_count = 0

    async def __aenter__(self) -> AuditFleet:
        try:
            await self._open()
        except BaseException:  # also on the test's timeout, so that no process is left behind
            await self.stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        self.stack.push_async_callback(self._kill_all)
        (self.folder / "rules.json").write_text(json.dumps(RULES))
        for endpoint in self.endpoints:
            self.stack.callback((await endpoint.start()).close)
        await self.start_service(0)
        await self.start_service(1, "--follow", f"127.0.0.1:{self.ports[0]}")
        for n, endpoint in enumerate(self.endpoints):
            await self.write_entry("PUT", f"{INSTANCES_PATH}/s-{n}?ttl_ms=600000", endpoint.entry(f"s-{n}"))
        for n in range(self.size):
            links = {
                kind: [await self._start_proxy(port) for port in self.ports] for kind in ("watch", "report")
            }
            listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            self.stack.callback(listener.close)
            self.sidecars.append(FleetSidecar(f"n{n}", listener, links))
        await asyncio.gather(*(self.start_sidecar(sidecar) for sidecar in self.sidecars))
        for sidecar in self.sidecars:
            self.add_task(self._send_requests(sidecar))
        while not all(sidecar.response_counts[200] for sidecar in self.sidecars):
            await asyncio.sleep(0.02)  # until each has received its first list
        for sidecar in self.sidecars:
            sidecar.response_counts.clear()
            sidecar.rejected_s.clear()

    async def __aexit__(self, *exc: Any) -> None:
        await self.stack.__aexit__(*exc)

    def add_task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.stack.callback(task.cancel)

    async def _kill_all(self) -> None:
        for process in [*self.services, *(sidecar.process for sidecar in self.sidecars)]:
            if process is not None and process.returncode is None:
                await self.kill(process)

    async def _start_proxy(self, port: int) -> FaultProxy:
        link = FaultProxy(target_port=port)
        self.stack.callback((await link.start()).close)
        return link

    # --- Processes --------------------------------------------------------------------

    async def start_service(self, which: int, *arguments: str) -> None:
        """Start process `which` of the service and wait until it listens; its log goes into a file."""
        log = self.folder / f"service-{which}.log"
        starts_before = log.read_text().count('"listening"') if log.exists() else 0
        with open(log, "ab") as file:
            self.services[which] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard.registry", "--data", str(self.folder / f"data-{which}"),
                "--listen", "127.0.0.1:0", "--stale-after", "1",
                "--audit-rules", str(self.folder / "rules.json"), *arguments, stderr=file,
            )  # fmt: skip
        while log.read_text().count('"listening"') == starts_before:
            await asyncio.sleep(0.02)
        log_entries = [json.loads(line) for line in log.read_text().splitlines()]
        self.ports[which] = next(
            entry["port"] for entry in reversed(log_entries) if entry["event"] == "listening"
        )
        for sidecar in self.sidecars:
            for links in sidecar.links.values():
                links[which].target_port = self.ports[which]

    async def start_sidecar(self, sidecar: FleetSidecar) -> None:
        """Start the sidecar's process and wait until it is ready."""
        addresses = {
            kind: ",".join(f"127.0.0.1:{link.port}" for link in links)
            for kind, links in sidecar.links.items()
        }
        raw = {
            "name": sidecar.name, "listen": "127.0.0.1:0",
            "seed": "8c1f", "settings": SETTINGS, "discovery": addresses["watch"],
            "audit": {"service": addresses["report"], "every-ms": 300, "out-ms": 5000}, **self.config,
        }  # fmt: skip
        folder = self.folder / sidecar.name
        folder.mkdir(exist_ok=True)
        (folder / "config.json").write_text(json.dumps(raw))
        fd = sidecar.listener.fileno()
        environ = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_ACCEPT_FD": str(fd)}
        with open(folder / "log", "ab") as log:
            sidecar.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard", env=environ, stdout=log, stderr=log, pass_fds=(fd,)
            )
        while await self.health(sidecar) != 200:
            await asyncio.sleep(0.02)

    async def kill(self, process: Process | None) -> None:
        assert process is not None
        process.kill()
        await process.wait()

    # --- Traffic and changes ----------------------------------------------------------

    async def _handle_request(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name, position = message.headers["x-caller"], message.headers["x-acted-on"]
        self.endpoint_counts[name, position] += 1
        self.arrivals.append((time.time_ns() // 1_000_000, name, position))
        writer.write(http_response())

    async def _send_requests(self, sidecar: FleetSidecar) -> None:
        """Send the sidecar about 50 requests per second, each on a connection of its own."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_sending:
                sidecar.request_count += 1
                raw = http_request(
                    headers=f"X-Caller: {sidecar.name}\r\n", rid=f"{sidecar.name}-{sidecar.request_count}"
                )
                status = await self._send_request(sidecar, raw)
                sidecar.response_counts[status] += 1
                sidecar.response_counts.pop(0, None)
                if status == 503:
                    sidecar.rejected_s.append(time.monotonic())

    async def _send_request(self, sidecar: FleetSidecar, raw: bytes) -> int:
        """The status of the response; 0 if there is none, as from a killed process."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(6):
                reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
                try:
                    writer.write(raw)
                    return int((await read_message(reader)).start_line.split()[1])
                finally:
                    writer.close()
        return 0

    async def write_entry(self, method: str, target: str, entry: dict[str, Any], which: int = 0) -> int:
        status, answer = await call_registry(self.ports[which], method, target, json.dumps(entry).encode())
        assert status == 200, answer
        return int(answer["generation"])

    async def change_list(self, which: int = 0) -> int:
        """Make a new generation of the list, by the weight of an endpoint that gets no traffic."""
        self.change_count += 1
        entry = {
            **self.endpoints[0].entry("s-9"),
            "lifecycle": "draining",
            "weight": float(self.change_count),
        }
        return await self.write_entry("PUT", f"{INSTANCES_PATH}/s-9?ttl_ms=600000", entry, which)

    async def inject_faults(self, seconds: float, kinds: tuple[str, ...] = ("watch", "report")) -> None:
        """Change the list and set a random fault on a link of each sidecar, every second.

        All links work again at the end.
        """
        for _ in range(int(seconds)):
            with contextlib.suppress(OSError):
                await self.change_list()
            for sidecar in self.sidecars:
                kind = self.rng.choice(kinds)
                fault = self.rng.choice(("drop", "cut", "reset", "delay", "deaf", "none"))
                mode = {"drop": DROP, "cut": CUT, "reset": RESET}.get(fault, PASS)
                delay_s = self.rng.uniform(0.1, 3.0) if fault == "delay" else 0.0
                sidecar.fault(kind, mode, delay_s, fault == "deaf")
            await asyncio.sleep(1.0)
        for sidecar in self.sidecars:
            for kind in kinds:
                sidecar.fault(kind)

    # --- The ledger -------------------------------------------------------------------

    async def query_audit(self, target: str, which: int = 0) -> Any:
        _, answer = await call_registry(self.ports[which], "GET", f"{AUDIT}/{target}")
        return answer

    async def reported_counts(self, which: int = 0) -> Counter[tuple[str, str]]:
        """Attempts that reached an endpoint, by sidecar and position, as reported."""
        counts: Counter[tuple[str, str]] = Counter()
        for build in {position.rpartition(".")[2] for _, position in self.endpoint_counts}:
            answer = await self.query_audit(f"acted?build={build}", which)
            for span in answer["spans"]:
                counts[span["name"], span["position"]] += span["attempts"] - span["unsent"]
        return Counter({key: count for key, count in counts.items() if count})

    async def wait_for(self, condition: Callable[[], Any], every_s: float = 0.05) -> Any:
        """Wait until `condition` returns a true value and return it; only the test's timeout bounds it."""
        while not (result := await condition()):
            await asyncio.sleep(every_s)
        return result

    async def state(self, name: str) -> str:
        """The audit's state of the sidecar."""
        answer = await self.query_audit("behind")
        return next((str(entry["state"]) for entry in answer["behind"] if entry["name"] == name), "current")

    async def health(self, sidecar: FleetSidecar) -> int:
        """The status of the sidecar's readiness check."""
        return await self._send_request(sidecar, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
