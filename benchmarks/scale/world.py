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

from benchmarks.scale import messages, names
from benchmarks.scale.messages import HollowPlan, Order, Reply, Tally
from tests.lab import Lab, Program
from tests.sockets import SETTINGS
from woadyard.errors import StateError
from woadyard.lists.service import INSTANCES_PATH

MAX_HOLLOW_PER_PROCESS = 110  # in one process
REAL_SIDECARS, REAL_ENDPOINTS, FOLLOWERS = 3, 3, 2
LEASE_TTL_MS = 10_000  # of the endpoints' leases, renewed three times in it
# Each way between the writer's region and each region, as of three continents.
DELAYS_MS = ("", "40,50", "85,100")
WANTED_DESCRIPTORS = 8192  # at the list service: all watches, reports and leases at once, and room
LOAD_PAUSE_S = 0.05
# Numbers of the endpoints that belong to no hollow sidecar.
FIRST_REAL_ENDPOINT, CHANGED_ENDPOINT = 1_000_000, 2_000_000
CALL_TIMEOUT_S, START_TIMEOUT_S, STOP_TIMEOUT_S = 5.0, 60.0, 5.0
MAX_VERSION_READS = 3
MAX_LINE_BYTES = 1 << 28
METRIC_PATTERN = re.compile(r"^(\w+)(\{[^}]*\})? (\S+)$", re.MULTILINE)


def raise_descriptor_limit() -> str:
    """Raises the soft limit of this process and its children as far as needed; "" where it is enough."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = WANTED_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(WANTED_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    if wanted < WANTED_DESCRIPTORS:
        return (
            f"the hard limit of open files is {hard}, {WANTED_DESCRIPTORS} are needed: "
            "large sizes may fail because of it"
        )
    return ""


class HollowProcess:
    """One process of hollow sidecars."""

    def __init__(self, plan: HollowPlan) -> None:
        self.plan = plan
        self.order_lock = asyncio.Lock()

    async def start(self) -> None:
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.scale.hollow", stdin=pipe, stdout=pipe, limit=MAX_LINE_BYTES
        )
        self._write_line(self.plan)

    def _write_line(self, told: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def execute(self, order: Order, within_s: float) -> Reply:
        """Its answer; StateError where the process is gone, or does not answer in time."""
        assert self.process.stdout is not None
        async with self.order_lock:
            try:
                async with asyncio.timeout(within_s):
                    self._write_line(order)
                    if not (line := await self.process.stdout.readline()):
                        raise StateError("a process of hollow sidecars ended", "see what it wrote to stderr")
            except TimeoutError:
                raise StateError(f"hollow sidecars have not done {order.do!r} in {within_s} s") from None
            except ConnectionError as error:
                raise StateError(f"a process of hollow sidecars is gone: {error}") from None
        return msgspec.json.decode(line, type=Reply)

    async def stop(self) -> None:
        if self.process.returncode is None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
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
        real_count: int = REAL_SIDECARS,
        ttl_ms: int = LEASE_TTL_MS,
        regional: bool = False,
    ) -> None:
        self.size, self.seed, self.ttl_ms = size, seed, ttl_ms
        self.real_count, self.regional = min(real_count, size - 1), regional
        self.hollow_ids = {names.instance(n) for n in range(self.hollow_count)}
        self.lab = Lab(folder)
        self.hollow_processes: list[HollowProcess] = []
        self.real_sidecars: list[Program] = []
        self.load_tasks: list[asyncio.Task[None]] = []
        self.change_count = 0

    @property
    def hollow_count(self) -> int:
        """How many hollow sidecars there are."""
        return self.size - self.real_count

    async def __aenter__(self) -> World:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.load_tasks:
            task.cancel()
        await asyncio.gather(*self.load_tasks, return_exceptions=True)
        await asyncio.gather(*(one.stop() for one in self.hollow_processes))
        self.lab.close()

    async def _start(self) -> None:
        self.leader = await self.lab.service("writer")
        links = [
            await self._leader_port_for(n) for n in range(len(DELAYS_MS) if self.regional else FOLLOWERS)
        ]
        self.followers = [await self.lab.service(f"replica-{n}", one) for n, one in enumerate(links)]
        for one in self.followers:
            await one.wait_logged("following")
        for n in range(REAL_ENDPOINTS if self.real_count else 0):
            self._start_endpoint(n)
        await self._start_hollow_processes()

    async def _leader_port_for(self, n: int) -> int:
        """The port where a replica finds the writer; over a proxy where their regions differ."""
        if not (self.regional and DELAYS_MS[n]):
            return self.leader.port
        words = ["woadyard.standins", "proxy", "--target", f"127.0.0.1:{self.leader.port}"]
        words += ["--delay-ms", DELAYS_MS[n], "--seed", str(self.seed)]
        link = self.lab.run(Program(f"link-{n}", self.lab.folder / "links", words, dict(self.leader.environ)))
        return int((await link.wait_logged("listening"))["port"])

    def _start_endpoint(self, n: int) -> None:
        words = ["woadyard.standins", "endpoint", "--discovery", f"127.0.0.1:{self.leader.port}"]
        words += [
            "--name",
            names.instance(FIRST_REAL_ENDPOINT + n),
            "--zone",
            "here",
            "--ttl-ms",
            str(self.ttl_ms),
        ]
        folder = self.lab.folder / "endpoints"
        self.lab.run(Program(f"e{n}", folder, words, dict(self.leader.environ)))

    async def _start_hollow_processes(self) -> None:
        at = [f"127.0.0.1:{one.port}" for one in self.followers]
        processes = -(-self.hollow_count // MAX_HOLLOW_PER_PROCESS)
        edges = [self.hollow_count * n // processes for n in range(processes + 1)]
        writer = f"127.0.0.1:{self.leader.port}"
        for first, last in pairwise(edges):
            one = HollowProcess(
                HollowPlan(first, last - first, writer, at, self.regional, self.ttl_ms, self.seed)
            )
            await one.start()
            self.hollow_processes.append(one)

    async def start_real_sidecars(self) -> None:
        """The real sidecars, each with a light load of its own."""
        for n in range(self.real_count):
            one = await self.lab.sidecar(
                f"real-{n}", discovery=self.followers,
                audit={"service": ",".join(f"127.0.0.1:{each.port}" for each in self.followers)},
                settings={**SETTINGS, "zones": ["here", *names.ZONES]},
            )  # fmt: skip
            self.real_sidecars.append(one)
            self.load_tasks.append(asyncio.get_running_loop().create_task(one.run_load(1, LOAD_PAUSE_S)))

    # --- Orders to the hollow sidecars ------------------------------------------------

    async def order_all(self, do: str, within_s: float = 30.0, **parts: Any) -> list[Reply]:
        order = Order(do, within_s=within_s, **parts)
        return await asyncio.gather(*(one.execute(order, within_s + 15.0) for one in self.hollow_processes))

    async def collect_tallies(self, versions: list[int]) -> list[Tally]:
        return [
            one.tally or Tally() for one in await self.order_all(messages.COLLECT_TALLY, versions=versions)
        ]

    async def wait_for_version(self, version: int, within_s: float) -> int:
        """How many hollow sidecars hold the version, or a later one, by then."""
        return sum(
            one.count for one in await self.order_all(messages.WAIT_FOR_VERSION, within_s, version=version)
        )

    # --- Calls ------------------------------------------------------------------------

    async def call(self, of: Program, method: str, path: str, told: Any = None) -> str:
        """The body of a 200; "" where there is none in time. No connection is kept for the next call."""
        url = f"http://127.0.0.1:{of.port}{path}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S), aiohttp.request(method, url, json=told) as back:
                return await back.text() if back.status == 200 else ""
        except (aiohttp.ClientError, TimeoutError):
            return ""

    async def change_list(self) -> tuple[int, float]:
        """A change of the list asked for at the writer: its version, 0 where it was not taken; when."""
        self.change_count += 1
        told = names.entry(CHANGED_ENDPOINT, weight=float(self.change_count))
        began = time.monotonic()
        back = await self.call(
            self.leader, "PUT", f"{INSTANCES_PATH}/{told['instanceId']}?ttl_ms=600000", told
        )
        return (int(json.loads(back)["generation"]) if back else 0), began

    async def read_metrics(self, of: Program) -> dict[str, float]:
        """By name and labels; none where it does not answer."""
        text = await self.call(of, "GET", "/_metrics")
        return {f"{name}{labels}": float(value) for name, labels, value in METRIC_PATTERN.findall(text)}

    async def list_version(self) -> int:
        """Of the writer's list; 0 where the writer does not answer, asked more than once."""
        for _ in range(MAX_VERSION_READS):
            if told := await self.read_metrics(self.leader):
                return int(told["registry_version"])
        return 0

    async def listed_hollow_ids(self, of: Program) -> set[str]:
        """The ids of the hollow sidecars' endpoints that are in its list."""
        back = await self.call(of, "GET", INSTANCES_PATH)
        found = {one["instanceId"] for one in json.loads(back)["instances"]} if back else set()
        return found & self.hollow_ids

    def pids_by_role(self) -> Iterator[tuple[str, int]]:
        """By role."""
        yield "writer", self.leader.process.pid
        for n, one in enumerate(self.followers):
            yield f"replica-{n}", one.process.pid
        for n, one in enumerate(self.real_sidecars):
            yield f"sidecar-{n}", one.process.pid

    def check_processes(self) -> None:
        """StateError where a process has ended that should run."""
        for one in (*self.followers, *self.real_sidecars):
            if one.process.poll() is not None:
                raise StateError(f"{one.name} ended with {one.process.returncode}", "see its log's last line")


@contextlib.asynccontextmanager
async def background_task(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """`work`, a coroutine, beside the body and no longer."""
    task = asyncio.get_running_loop().create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
