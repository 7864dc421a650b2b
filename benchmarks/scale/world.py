"""The fleet of one size: list service, real sidecars and endpoints, and the processes of hollow ones.

All of it are children that end with this process: the real ones by the kernel's word, the hollow
ones as their stdin ends. `World` is left by `async with`, after which none is there any more."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import resource
import sys
import time
from collections.abc import AsyncIterator, Coroutine, Iterator
from itertools import pairwise
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from benchmarks.scale import fleet_names, talk
from benchmarks.scale.talk import Order, Plan, Reply, Tally
from tests.lab import Lab, Program
from tests.sockets import SETTINGS
from woadyard.errors import StateError
from woadyard.lists.service import INSTANCES_PATH

HOLLOW_MOST = 110  # in one process
REAL, ENDPOINTS, REPLICAS = 3, 3, 2
TTL_MS = 10_000  # of the endpoints' leases, renewed three times in it
# Each way between the writer's region and each region, as of three continents.
DELAYS_MS = ("", "40,50", "85,100")
DESCRIPTORS = 8192  # at the list service: all watches, reports and leases at once, and room
LOAD_PAUSE_S = 0.05
REAL_FROM, CHANGED = 1_000_000, 2_000_000  # places of endpoints that are no hollow sidecar's
CALL_S, START_S, END_S = 5.0, 60.0, 5.0
ASKED_MOST = 3
LINE_MOST = 1 << 28
METRIC = re.compile(r"^(\w+)(\{[^}]*\})? (\S+)$", re.MULTILINE)


def descriptors() -> str:
    """Raises the soft limit of this process and its children as far as needed; "" where it is enough."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    if wanted < DESCRIPTORS:
        return (
            f"the hard limit of descriptors is {hard}, {DESCRIPTORS} are wanted: large sizes may fail by it"
        )
    return ""


class Hollows:
    """One process of hollow sidecars."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.turn = asyncio.Lock()

    async def start(self) -> None:
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.scale.hollow", stdin=pipe, stdout=pipe, limit=LINE_MOST
        )
        self._write(self.plan)

    def _write(self, told: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def order(self, order: Order, within_s: float) -> Reply:
        """Its answer; StateError where the process is gone, or does not answer in time."""
        assert self.process.stdout is not None
        async with self.turn:
            try:
                async with asyncio.timeout(within_s):
                    self._write(order)
                    if not (line := await self.process.stdout.readline()):
                        raise StateError("a process of hollow sidecars ended", "see what it wrote to stderr")
            except TimeoutError:
                raise StateError(f"hollow sidecars have not done {order.do!r} in {within_s} s") from None
            except ConnectionError as error:
                raise StateError(f"a process of hollow sidecars is gone: {error}") from None
        return msgspec.json.decode(line, type=Reply)

    async def end(self) -> None:
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(END_S):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class World:
    """`size` sidecars, of which `real` are processes of their own. `regional`: a replica for each
    region's sidecars, and those outside the writer's region follow it over a link with delay."""

    def __init__(
        self,
        folder: Path,
        size: int,
        seed: int = 1,
        real: int = REAL,
        ttl_ms: int = TTL_MS,
        regional: bool = False,
    ) -> None:
        self.size, self.seed, self.ttl_ms = size, seed, ttl_ms
        self.real, self.regional = min(real, size - 1), regional
        self.ids = {fleet_names.instance_id(n) for n in range(self.hollow)}
        self.lab = Lab(folder)
        self.hollows: list[Hollows] = []
        self.sidecars: list[Program] = []
        self.loads: list[asyncio.Task[None]] = []
        self.changes = 0

    @property
    def hollow(self) -> int:
        """How many hollow sidecars there are."""
        return self.size - self.real

    async def __aenter__(self) -> World:
        try:
            async with asyncio.timeout(START_S):
                await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.loads:
            task.cancel()
        await asyncio.gather(*self.loads, return_exceptions=True)
        await asyncio.gather(*(one.end() for one in self.hollows))
        self.lab.close()

    async def _open(self) -> None:
        self.writer = await self.lab.service("writer")
        links = [await self._link(n) for n in range(len(DELAYS_MS) if self.regional else REPLICAS)]
        self.replicas = [await self.lab.service(f"replica-{n}", one) for n, one in enumerate(links)]
        for one in self.replicas:
            await one.wait_logged("following")
        for n in range(ENDPOINTS if self.real else 0):
            self._endpoint(n)
        await self._begin_hollow()

    async def _link(self, n: int) -> int:
        """The port where a replica finds the writer; over a proxy where their regions differ."""
        if not (self.regional and DELAYS_MS[n]):
            return self.writer.port
        words = ["woadyard.standins", "proxy", "--target", f"127.0.0.1:{self.writer.port}"]
        words += ["--delay-ms", DELAYS_MS[n], "--seed", str(self.seed)]
        link = self.lab.run(Program(f"link-{n}", self.lab.folder / "links", words, dict(self.writer.environ)))
        return int((await link.wait_logged("listening"))["port"])

    def _endpoint(self, n: int) -> None:
        words = ["woadyard.standins", "endpoint", "--discovery", f"127.0.0.1:{self.writer.port}"]
        words += [
            "--name",
            fleet_names.instance_id(REAL_FROM + n),
            "--zone",
            "here",
            "--ttl-ms",
            str(self.ttl_ms),
        ]
        folder = self.lab.folder / "endpoints"
        self.lab.run(Program(f"e{n}", folder, words, dict(self.writer.environ)))

    async def _begin_hollow(self) -> None:
        at = [f"127.0.0.1:{one.port}" for one in self.replicas]
        processes = -(-self.hollow // HOLLOW_MOST)
        edges = [self.hollow * n // processes for n in range(processes + 1)]
        writer = f"127.0.0.1:{self.writer.port}"
        for first, last in pairwise(edges):
            one = Hollows(Plan(first, last - first, writer, at, self.regional, self.ttl_ms, self.seed))
            await one.start()
            self.hollows.append(one)

    async def begin_real(self) -> None:
        """The real sidecars, each with a light load of its own."""
        for n in range(self.real):
            one = await self.lab.sidecar(
                f"real-{n}", discovery=self.replicas,
                audit={"service": ",".join(f"127.0.0.1:{each.port}" for each in self.replicas)},
                settings={**SETTINGS, "zones": ["here", *fleet_names.ZONES]},
            )  # fmt: skip
            self.sidecars.append(one)
            self.loads.append(asyncio.get_running_loop().create_task(one.run_load(1, LOAD_PAUSE_S)))

    # --- Orders to the hollow sidecars ------------------------------------------------

    async def all(self, do: str, within_s: float = 30.0, **parts: Any) -> list[Reply]:
        order = Order(do, within_s=within_s, **parts)
        return await asyncio.gather(*(one.order(order, within_s + 15.0) for one in self.hollows))

    async def tell(self, versions: list[int]) -> list[Tally]:
        return [one.tally or Tally() for one in await self.all(talk.TELL, versions=versions)]

    async def until(self, version: int, within_s: float) -> int:
        """How many hollow sidecars hold the version, or a later one, by then."""
        return sum(one.count for one in await self.all(talk.UNTIL, within_s, version=version))

    # --- Calls ------------------------------------------------------------------------

    async def call(self, of: Program, method: str, path: str, told: Any = None) -> str:
        """The body of a 200; "" where there is none in time. No connection is kept for the next call."""
        url = f"http://127.0.0.1:{of.port}{path}"
        try:
            async with asyncio.timeout(CALL_S), aiohttp.request(method, url, json=told) as back:
                return await back.text() if back.status == 200 else ""
        except (aiohttp.ClientError, TimeoutError):
            return ""

    async def change(self) -> tuple[int, float]:
        """A change of the list asked for at the writer: its version, 0 where it was not taken; when."""
        self.changes += 1
        told = fleet_names.list_entry(CHANGED, weight=float(self.changes))
        began = time.monotonic()
        back = await self.call(
            self.writer, "PUT", f"{INSTANCES_PATH}/{told['instanceId']}?ttl_ms=600000", told
        )
        return (int(json.loads(back)["generation"]) if back else 0), began

    async def metrics(self, of: Program) -> dict[str, float]:
        """By name and labels; none where it does not answer."""
        text = await self.call(of, "GET", "/_metrics")
        return {f"{name}{labels}": float(value) for name, labels, value in METRIC.findall(text)}

    async def version(self) -> int:
        """Of the writer's list; 0 where the writer does not answer, asked more than once."""
        for _ in range(ASKED_MOST):
            if told := await self.metrics(self.writer):
                return int(told["registry_version"])
        return 0

    async def listed(self, of: Program) -> set[str]:
        """The ids of the hollow sidecars' endpoints that are in its list."""
        back = await self.call(of, "GET", INSTANCES_PATH)
        found = {one["instanceId"] for one in json.loads(back)["instances"]} if back else set()
        return found & self.ids

    def pids(self) -> Iterator[tuple[str, int]]:
        """By role."""
        yield "writer", self.writer.process.pid
        for n, one in enumerate(self.replicas):
            yield f"replica-{n}", one.process.pid
        for n, one in enumerate(self.sidecars):
            yield f"sidecar-{n}", one.process.pid

    def check(self) -> None:
        """StateError where a process has ended that should run."""
        for one in (*self.replicas, *self.sidecars):
            if one.process.poll() is not None:
                raise StateError(f"{one.name} ended with {one.process.returncode}", "see its log's last line")


@contextlib.asynccontextmanager
async def running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """`work`, a coroutine, beside the body and no longer."""
    task = asyncio.get_running_loop().create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
