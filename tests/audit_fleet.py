"""Five sidecars, the list service's writer and a replica, each control link through a fault proxy."""

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
from pathlib import Path
from typing import Any

from tests.process import Process
from tests.sockets import SETTINGS, Endpoint, Message, Writer, http_request, http_response, read_message
from tests.test_registry import ask
from woadyard.lists.service import INSTANCES_PATH
from woadyard.standins import CUT, DELAY, DROP, HERE, PASS, RESET, FaultProxy

RULES = {"behind-ms": 1500, "shut-out-ms": 6000, "bring-ups": 100}
AUDIT = "/registry/audit"


@dataclass
class Member:
    """One sidecar: its socket, its process, and the links of its watch and its reports."""

    name: str
    listener: socket.socket  # held here, so that its port stays its own over a restart
    links: dict[str, list[FaultProxy]]
    process: Process | None = None
    asks: int = 0
    answers: Counter[int] = field(default_factory=Counter)

    @property
    def port(self) -> int:
        return int(self.listener.getsockname()[1])

    def fault(self, kind: str, mode: str = PASS, delay_s: float = 0.0, deaf: bool = False) -> None:
        for link in self.links[kind]:
            if deaf:
                link.fault(DROP, way=HERE)
            elif delay_s:
                link.fault(DELAY, delay_s=(delay_s, delay_s))
            else:
                link.fault(mode)
            if deaf or mode == DROP:
                for writer in list(link.writers):
                    writer.transport.abort()


class Fleet:
    """Started by `async with`; ended, processes and all, however its body ends."""

    def __init__(self, folder: Path, size: int = 5, seed: int = 1, **config: Any) -> None:
        self.folder, self.size, self.rng, self.config = folder, size, random.Random(seed), config
        self.stack = contextlib.AsyncExitStack()
        self.endpoints = [Endpoint(self._serve) for _ in range(3)]
        self.counted: Counter[tuple[str, str]] = Counter()  # by sidecar and position, as endpoints saw
        self.arrivals: list[tuple[int, str, str]] = []  # ms of the wall clock, sidecar, position
        self.ports = [0, 0]  # of writer and replica
        self.services: list[Process | None] = [None, None]
        self.members: list[Member] = []
        self.traffic = True
        self.changes = 0

    async def __aenter__(self) -> Fleet:
        try:
            await self._open()
        except BaseException:  # also where the test ran out of time: no process stays
            await self.stack.aclose()
            raise
        return self

    async def _open(self) -> None:
        self.stack.push_async_callback(self._kill_all)
        (self.folder / "rules.json").write_text(json.dumps(RULES))
        for one in self.endpoints:
            self.stack.callback((await one.start()).close)
        await self.serve(0)
        await self.serve(1, "--follow", f"127.0.0.1:{self.ports[0]}")
        for n, one in enumerate(self.endpoints):
            await self.write("PUT", f"{INSTANCES_PATH}/s-{n}?ttl_ms=600000", one.entry(f"s-{n}"))
        for n in range(self.size):
            links = {kind: [await self._link(port) for port in self.ports] for kind in ("watch", "report")}
            listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            self.stack.callback(listener.close)
            self.members.append(Member(f"n{n}", listener, links))
        await asyncio.gather(*(self.start(member) for member in self.members))
        for member in self.members:
            self.task(self._ask(member))
        while not all(member.answers[200] for member in self.members):
            await asyncio.sleep(0.02)  # their first list has come
        for member in self.members:
            member.answers.clear()

    async def __aexit__(self, *exc: Any) -> None:
        await self.stack.__aexit__(*exc)

    def task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.stack.callback(task.cancel)

    async def _kill_all(self) -> None:
        for process in [*self.services, *(one.process for one in self.members)]:
            if process is not None and process.returncode is None:
                await self.kill(process)

    async def _link(self, port: int) -> FaultProxy:
        link = FaultProxy(target=port)
        self.stack.callback((await link.start()).close)
        return link

    # --- Processes --------------------------------------------------------------------

    async def serve(self, which: int, *more: str) -> None:
        """The service's process, once it listens; what it logs goes into a file."""
        log = self.folder / f"service-{which}.log"
        before = log.read_text().count('"listening"') if log.exists() else 0
        with open(log, "ab") as file:
            self.services[which] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard.registry", "--data", str(self.folder / f"data-{which}"),
                "--listen", "127.0.0.1:0", "--stale-after", "1",
                "--audit-rules", str(self.folder / "rules.json"), *more, stderr=file,
            )  # fmt: skip
        while log.read_text().count('"listening"') == before:
            await asyncio.sleep(0.02)
        said = [json.loads(line) for line in log.read_text().splitlines()]
        self.ports[which] = next(one["port"] for one in reversed(said) if one["event"] == "listening")
        for member in self.members:
            for links in member.links.values():
                links[which].target = self.ports[which]

    async def start(self, one: Member) -> None:
        addresses = {
            kind: ",".join(f"127.0.0.1:{link.port}" for link in links) for kind, links in one.links.items()
        }
        raw = {
            "name": one.name, "listen": "127.0.0.1:0",
            "seed": "8c1f", "settings": SETTINGS, "discovery": addresses["watch"],
            "audit": {"service": addresses["report"], "every-ms": 300, "out-ms": 5000}, **self.config,
        }  # fmt: skip
        folder = self.folder / one.name
        folder.mkdir(exist_ok=True)
        (folder / "config.json").write_text(json.dumps(raw))
        fd = one.listener.fileno()
        environ = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_ACCEPT_FD": str(fd)}
        with open(folder / "log", "ab") as log:
            one.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard", env=environ, stdout=log, stderr=log, pass_fds=(fd,)
            )
        while await self.health(one) != 200:
            await asyncio.sleep(0.02)

    async def kill(self, process: Process | None) -> None:
        assert process is not None
        process.kill()
        await process.wait()

    # --- Traffic and changes ----------------------------------------------------------

    async def _serve(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name, position = message.headers["x-caller"], message.headers["x-acted-on"]
        self.counted[name, position] += 1
        self.arrivals.append((time.time_ns() // 1_000_000, name, position))
        writer.write(http_response())

    async def _ask(self, one: Member) -> None:
        """Requests at the sidecar, about 50 a second, each on a connection of its own."""
        while True:
            await asyncio.sleep(0.02)
            if self.traffic:
                one.asks += 1
                raw = http_request(headers=f"X-Caller: {one.name}\r\n", rid=f"{one.name}-{one.asks}")
                one.answers[await self._call(one, raw)] += 1
                one.answers.pop(0, None)

    async def _call(self, one: Member, raw: bytes) -> int:
        """The answer's status; 0 where there is none, as of a process that was killed."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(6):
                reader, writer = await asyncio.open_connection("127.0.0.1", one.port)
                try:
                    writer.write(raw)
                    return int((await read_message(reader)).start_line.split()[1])
                finally:
                    writer.close()
        return 0

    async def write(self, method: str, target: str, entry: dict[str, Any], which: int = 0) -> int:
        status, told = await ask(self.ports[which], method, target, json.dumps(entry).encode())
        assert status == 200, told
        return int(told["generation"])

    async def change(self, which: int = 0) -> int:
        """A new generation of the list: an endpoint that gets nothing changes its weight."""
        self.changes += 1
        entry = {**self.endpoints[0].entry("s-9"), "lifecycle": "draining", "weight": float(self.changes)}
        return await self.write("PUT", f"{INSTANCES_PATH}/s-9?ttl_ms=600000", entry, which)

    async def disturb(self, seconds: float, kinds: tuple[str, ...] = ("watch", "report")) -> None:
        """Faults on links by chance, each for a second or so, and a change of the list each second;
        all links are whole again at the end."""
        for _ in range(int(seconds)):
            with contextlib.suppress(OSError):
                await self.change()
            for one in self.members:
                kind = self.rng.choice(kinds)
                fault = self.rng.choice(("drop", "cut", "reset", "delay", "deaf", "none"))
                mode = {"drop": DROP, "cut": CUT, "reset": RESET}.get(fault, PASS)
                delay_s = self.rng.uniform(0.1, 3.0) if fault == "delay" else 0.0
                one.fault(kind, mode, delay_s, fault == "deaf")
            await asyncio.sleep(1.0)
        for one in self.members:
            for kind in kinds:
                one.fault(kind)

    # --- The ledger -------------------------------------------------------------------

    async def told(self, what: str, which: int = 0) -> Any:
        _, told = await ask(self.ports[which], "GET", f"{AUDIT}/{what}")
        return told

    async def ledger(self, which: int = 0) -> Counter[tuple[str, str]]:
        """Attempts that reached an endpoint, by sidecar and position, as reported."""
        found: Counter[tuple[str, str]] = Counter()
        for build in {position.rpartition(".")[2] for _, position in self.counted}:
            told = await self.told(f"acted?build={build}", which)
            for span in told["spans"]:
                found[span["name"], span["position"]] += span["attempts"] - span["unsent"]
        return Counter({key: count for key, count in found.items() if count})

    async def until(self, true: Callable[[], Any], every_s: float = 0.05) -> Any:
        """What `true` comes to, once it is anything; the test's own time is the only bound."""
        while not (found := await true()):
            await asyncio.sleep(every_s)
        return found

    async def state(self, name: str) -> str:
        told = await self.told("behind")
        return next((str(one["state"]) for one in told["behind"] if one["name"] == name), "current")

    async def health(self, one: Member) -> int:
        return await self._call(one, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
