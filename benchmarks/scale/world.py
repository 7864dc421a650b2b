"""A fleet of one size: the list service, real sidecars and endpoints, and processes of hollow sidecars.

All are child processes and end with this process: the real ones by the parent-death signal, the
hollow ones when their stdin reaches its end. Leaving `async with World(...)` stops all of them."""

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

from benchmarks.scale import fleet_names, messages
from benchmarks.scale.messages import HollowPlan, Order, Reply, Tally
from tests.lab import Lab, Program
from tests.sockets import SETTINGS
from woadyard.errors import StateError
from woadyard.lists.service import INSTANCES_PATH

MAX_HOLLOW_PER_PROCESS = 110
REAL_SIDECARS, REAL_ENDPOINTS, FOLLOWERS = 3, 3, 2
LEASE_TTL_MS = 10_000  # an endpoint renews its lease three times within it
# One-way delays between the leader's region and each region, as between three continents.
DELAYS_MS = ("", "40,50", "85,100")
WANTED_DESCRIPTORS = 8192  # a list service's watches, reports and leases at the same time, with a reserve
LOAD_PAUSE_S = 0.05
# Numbers of the endpoints that belong to no hollow sidecar.
FIRST_REAL_ENDPOINT, CHANGED_ENDPOINT = 1_000_000, 2_000_000
CALL_TIMEOUT_S, START_TIMEOUT_S, STOP_TIMEOUT_S = 5.0, 60.0, 5.0
MAX_VERSION_READS = 3
MAX_LINE_BYTES = 1 << 28
METRIC_PATTERN = re.compile(r"^(\w+)(\{[^}]*\})? (\S+)$", re.MULTILINE)


def raise_descriptor_limit() -> str:
    """Raises the soft limit on open files of this process and its children to `WANTED_DESCRIPTORS`.

    Returns a warning if the hard limit is lower, else ""."""
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
    """A process of hollow sidecars, controlled through its stdin and stdout."""

    def __init__(self, plan: HollowPlan) -> None:
        self.plan = plan
        self.order_lock = asyncio.Lock()

    async def start(self) -> None:
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.scale.hollow", stdin=pipe, stdout=pipe, limit=MAX_LINE_BYTES
        )
        self._write_line(self.plan)

    def _write_line(self, message: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def execute(self, order: Order, timeout_s: float) -> Reply:
        """Returns the reply. Raises StateError if the process has ended or does not reply in time."""
        assert self.process.stdout is not None
        async with self.order_lock:
            try:
                async with asyncio.timeout(timeout_s):
                    self._write_line(order)
                    if not (line := await self.process.stdout.readline()):
                        raise StateError("a process of hollow sidecars ended", "see its output on stderr")
            except TimeoutError:
                raise StateError(
                    f"hollow sidecars did not complete {order.do!r} within {timeout_s} s"
                ) from None
            except ConnectionError as error:
                raise StateError(f"lost the connection to a process of hollow sidecars: {error}") from None
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
    """A fleet of `size` sidecars, of which `real_count` are processes of their own.

    With `regional`, each region's sidecars have a follower of their own, and the followers outside
    the leader's region reach it through a proxy that adds the delay between the regions."""

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
        self.hollow_ids = {fleet_names.instance_id(n) for n in range(self.hollow_count)}
        self.lab = Lab(folder)
        self.hollow_processes: list[HollowProcess] = []
        self.real_sidecars: list[Program] = []
        self.load_tasks: list[asyncio.Task[None]] = []
        self.change_count = 0

    @property
    def hollow_count(self) -> int:
        """The number of hollow sidecars."""
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
        await asyncio.gather(*(process.stop() for process in self.hollow_processes))
        self.lab.close()

    async def _start(self) -> None:
        self.leader = await self.lab.service("writer")
        leader_ports = [
            await self._leader_port_for(n) for n in range(len(DELAYS_MS) if self.regional else FOLLOWERS)
        ]
        self.followers = [await self.lab.service(f"replica-{n}", port) for n, port in enumerate(leader_ports)]
        for follower in self.followers:
            await follower.wait_logged("following")
        for n in range(REAL_ENDPOINTS if self.real_count else 0):
            self._start_endpoint(n)
        await self._start_hollow_processes()

    async def _leader_port_for(self, n: int) -> int:
        """The port at which follower `n` reaches the leader: a proxy's if their regions differ."""
        if not (self.regional and DELAYS_MS[n]):
            return self.leader.port
        arguments = ["woadyard.standins", "proxy", "--target", f"127.0.0.1:{self.leader.port}"]
        arguments += ["--delay-ms", DELAYS_MS[n], "--seed", str(self.seed)]
        proxy = self.lab.run(
            Program(f"link-{n}", self.lab.folder / "links", arguments, dict(self.leader.environ))
        )
        return int((await proxy.wait_logged("listening"))["port"])

    def _start_endpoint(self, n: int) -> None:
        arguments = ["woadyard.standins", "endpoint", "--discovery", f"127.0.0.1:{self.leader.port}"]
        arguments += [
            "--name",
            fleet_names.instance_id(FIRST_REAL_ENDPOINT + n),
            "--zone",
            "here",
            "--ttl-ms",
            str(self.ttl_ms),
        ]
        folder = self.lab.folder / "endpoints"
        self.lab.run(Program(f"e{n}", folder, arguments, dict(self.leader.environ)))

    async def _start_hollow_processes(self) -> None:
        follower_addresses = [f"127.0.0.1:{process.port}" for process in self.followers]
        process_count = -(-self.hollow_count // MAX_HOLLOW_PER_PROCESS)
        boundaries = [self.hollow_count * n // process_count for n in range(process_count + 1)]
        leader_address = f"127.0.0.1:{self.leader.port}"
        for first, last in pairwise(boundaries):
            process = HollowProcess(
                HollowPlan(
                    first,
                    last - first,
                    leader_address,
                    follower_addresses,
                    self.regional,
                    self.ttl_ms,
                    self.seed,
                )
            )
            await process.start()
            self.hollow_processes.append(process)

    async def start_real_sidecars(self) -> None:
        """Starts the real sidecars, each with a light load of its own."""
        for n in range(self.real_count):
            real_sidecar = await self.lab.sidecar(
                f"real-{n}", discovery=self.followers,
                audit={"service": ",".join(f"127.0.0.1:{follower.port}" for follower in self.followers)},
                settings={**SETTINGS, "zones": ["here", *fleet_names.ZONES]},
            )  # fmt: skip
            self.real_sidecars.append(real_sidecar)
            self.load_tasks.append(
                asyncio.get_running_loop().create_task(real_sidecar.run_load(1, LOAD_PAUSE_S))
            )

    # --- Orders to the hollow sidecars ------------------------------------------------

    async def order_all(self, order_name: str, timeout_s: float = 30.0, **fields: Any) -> list[Reply]:
        order = Order(order_name, within_s=timeout_s, **fields)
        return await asyncio.gather(
            *(process.execute(order, timeout_s + 15.0) for process in self.hollow_processes)
        )

    async def collect_tallies(self, versions: list[int]) -> list[Tally]:
        return [
            reply.tally or Tally()
            for reply in await self.order_all(messages.COLLECT_TALLY, versions=versions)
        ]

    async def wait_for_version(self, version: int, timeout_s: float) -> int:
        """The number of hollow sidecars that have the list version, or a later one, within the timeout."""
        return sum(
            reply.count
            for reply in await self.order_all(messages.WAIT_FOR_VERSION, timeout_s, version=version)
        )

    # --- Calls ------------------------------------------------------------------------

    async def call(self, program: Program, method: str, path: str, body: Any = None) -> str:
        """Returns the body of a 200 response, or "" on failure or timeout. Each call opens a connection."""
        url = f"http://127.0.0.1:{program.port}{path}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S), aiohttp.request(method, url, json=body) as response:
                return await response.text() if response.status == 200 else ""
        except (aiohttp.ClientError, TimeoutError):
            return ""

    async def change_list(self) -> tuple[int, float]:
        """Requests a list change from the leader.

        Returns its version (0 if the leader did not accept it) and the time of the request."""
        self.change_count += 1
        changed_entry = fleet_names.list_entry(CHANGED_ENDPOINT, weight=float(self.change_count))
        requested_at_s = time.monotonic()
        response = await self.call(
            self.leader, "PUT", f"{INSTANCES_PATH}/{changed_entry['instanceId']}?ttl_ms=600000", changed_entry
        )
        return (int(json.loads(response)["generation"]) if response else 0), requested_at_s

    async def read_metrics(self, program: Program) -> dict[str, float]:
        """The process's metrics by name and labels; empty if it does not respond."""
        text = await self.call(program, "GET", "/_metrics")
        return {f"{name}{labels}": float(value) for name, labels, value in METRIC_PATTERN.findall(text)}

    async def list_version(self) -> int:
        """The version of the leader's list; 0 if no attempt to read it gets a response."""
        for _ in range(MAX_VERSION_READS):
            if metrics := await self.read_metrics(self.leader):
                return int(metrics["registry_version"])
        return 0

    async def listed_hollow_ids(self, program: Program) -> set[str]:
        """The ids of the hollow sidecars' endpoints that the process lists."""
        response = await self.call(program, "GET", INSTANCES_PATH)
        listed_ids = (
            {entry["instanceId"] for entry in json.loads(response)["instances"]} if response else set()
        )
        return listed_ids & self.hollow_ids

    def pids_by_role(self) -> Iterator[tuple[str, int]]:
        """The process ids of the leader, the followers and the real sidecars, by role."""
        yield "writer", self.leader.process.pid
        for n, follower in enumerate(self.followers):
            yield f"replica-{n}", follower.process.pid
        for n, sidecar in enumerate(self.real_sidecars):
            yield f"sidecar-{n}", sidecar.process.pid

    def check_processes(self) -> None:
        """Raises StateError if a follower or real sidecar has ended."""
        for program in (*self.followers, *self.real_sidecars):
            if program.process.poll() is not None:
                raise StateError(
                    f"{program.name} ended with return code {program.process.returncode}",
                    "see the last line of its log",
                )


@contextlib.asynccontextmanager
async def background_task(coroutine: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Runs the coroutine while the body runs, and cancels it afterwards."""
    task = asyncio.get_running_loop().create_task(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
