"""A soak test: real sidecars under random, overlapping faults, judged by the rules.

`python -m tests.soak --seeds 1 2 3 --sidecars 24 --seconds 30` plays one day for each seed and prints what
was broken; short days of it run with the other tests (tests/test_soak.py). The faults: discovery that is
down, crowded, silent, late or resets its watches; endpoints that drain, err, hang, reset, are late or turn
away; sidecars killed, ended by SIGTERM, held up, and moved to another address of discovery; clients that
leave.
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

from tests.lab import Lab, Program
from tests.soak_judge import Asked, judge
from tests.soak_world import Directory, Door, Fate, Record, SoakEndpoint, Weather
from tests.sockets import SETTINGS, http_request, read_message

DEADLINE_MS = 1_500
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
PAUSE_S, LEAVES = 0.04, 0.03  # of a client between requests; the share of requests that it leaves
HELD_UP_S = 0.15


@dataclass
class Node:
    """One sidecar, its doors to discovery, and when it was away by the test's own doing."""

    program: Program
    doors: list[Door]
    config: Path
    busy: bool = False  # a fault is acting on it
    away: list[tuple[float, float]] = field(default_factory=list)


class Soak:
    """One day."""

    def __init__(self, lab: Lab, seed: int, sidecars: int, seconds: float) -> None:
        self.lab, self.rng, self.sidecars, self.seconds = lab, random.Random(seed), sidecars, seconds
        self.record = Record()
        self.directory = Directory(self.record)
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.nodes: list[Node] = []
        self.asked: list[Asked] = []
        self.faults = Counter[str]()
        self.ending = False

    async def run(self) -> list[str]:
        """Plays the day; what was broken, a line each."""
        for _ in range(max(6, self.sidecars // 2)):
            await self._join()
        await asyncio.gather(*(self._start(number) for number in range(self.sidecars)))
        clients = [asyncio.ensure_future(self._client(node, n)) for node in self.nodes for n in range(2)]
        await self._trouble()
        self.directory.turn(Weather.FAIR)
        for endpoint in self.endpoints.values():
            endpoint.fates.clear()
        await asyncio.sleep(2.0)
        self.ending = True
        await asyncio.gather(*clients)
        return [*judge(self.record, self.asked), *await self._own_words()]

    async def _start(self, number: int) -> None:
        name = f"n{number}"
        doors = [Door(self.directory, name) for _ in range(2)]
        for door in doors:
            await self.lab.listen(door)
        entries = list(self.directory.entries.values())
        program = await self.lab.sidecar(name, entries, doors[0], settings=SITE)
        self.nodes.append(Node(program, doors, program.folder / "config.json"))

    async def _join(self) -> None:
        name = f"s-{len(self.endpoints)}"
        endpoint = SoakEndpoint(name, self.record, self.rng.randrange(2**32))
        await self.lab.listen(endpoint)
        self.endpoints[name] = endpoint
        await self.directory.put(name, endpoint.entry())

    # --- Faults ---------------------------------------------------------------------

    async def _trouble(self) -> None:
        acts: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._change_weather, self._reset_watches, self._replace, self._replace, self._spoil,
            self._spoil, self._kill, self._terminate, self._hold_up, self._move,
        ]  # fmt: skip
        tasks: set[asyncio.Task[None]] = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            act = self.rng.choice(acts)
            self.faults[act.__name__.strip("_")] += 1
            tasks.add(asyncio.ensure_future(act()))
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)

    async def _change_weather(self) -> None:
        self.directory.turn(self.rng.choice(list(Weather)))

    async def _reset_watches(self) -> None:
        self.directory.reset_watches()

    async def _replace(self) -> None:
        """One endpoint drains, another joins."""
        ready = [name for name in self.endpoints if name not in self.record.changes]
        name = self.rng.choice(ready)
        self.endpoints[name].answers_until = time.monotonic() + self.rng.uniform(0.0, 2.0)
        await self.directory.drain(name)
        await self._join()

    async def _spoil(self) -> None:
        endpoint = self.rng.choice(list(self.endpoints.values()))
        endpoint.fates[self.rng.choice(list(Fate))] = self.rng.uniform(0.0, 0.15)

    def _idle_node(self) -> Node | None:
        free = [node for node in self.nodes if not node.busy]
        return self.rng.choice(free) if free else None

    @contextlib.contextmanager
    def _acting_on(self, node: Node, away: bool) -> Any:
        node.busy, began = True, time.monotonic()
        if away:
            node.away.append((began, float("inf")))
        try:
            yield
        finally:
            node.busy = False
            if away:
                node.away[-1] = (began, time.monotonic())

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: int) -> None:
        if (node := self._idle_node()) is None:
            return
        with self._acting_on(node, away=True):
            await self.lab.kill(node.program, number=number)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            self._keep_known(node)
            node.program.start()
            await node.program.wait_ready()

    def _keep_known(self, node: Node) -> None:
        """The new process starts by the list that the one before it held last."""
        name = node.program.name
        self.record.moves = [move for move in self.record.moves if move[1] != name]  # it saw no signal
        if (held := self.directory.held.get(name)) is None:
            return
        raw = json.loads(node.config.read_text())
        raw["known"] = {"generation": held[0], "reset": True, "instances": held[1]}
        node.config.write_text(json.dumps(raw))

    async def _hold_up(self) -> None:
        if (node := self._idle_node()) is None:
            return
        with self._acting_on(node, away=False):
            node.program.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HELD_UP_S)
            node.program.send_signal(signal.SIGCONT)

    async def _move(self) -> None:
        """A new configuration names another address of discovery."""
        if (node := self._idle_node()) is None:
            return
        with self._acting_on(node, away=False):
            raw = json.loads(node.config.read_text())
            ports = [door.port for door in node.doors]
            now = int(raw["discovery"].rpartition(":")[2])
            raw["discovery"] = f"127.0.0.1:{ports[1 - ports.index(now)]}"
            node.config.write_text(json.dumps(raw))
            node.program.send_signal(signal.SIGHUP)
            self.record.moves.append((time.monotonic(), node.program.name))

    # --- Clients --------------------------------------------------------------------

    async def _client(self, node: Node, number: int) -> None:
        """One request after another on a connection that is kept as long as the sidecar keeps it."""
        rng, count = random.Random(f"{node.program.name}-{number}"), 0
        while not self.ending:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.program.port)
                fresh, kept = True, True
                while kept and not self.ending:
                    count += 1
                    cls = rng.choice(("page", "put", "pay"))
                    asked = Asked(f"{node.program.name}-{number}-{count}", node.program.name, cls, fresh)
                    kept = await self._ask(asked, node, rng, reader, writer)
                    fresh = False
                    await asyncio.sleep(PAUSE_S * rng.uniform(0.5, 1.5))
                writer.close()
            await asyncio.sleep(PAUSE_S)

    async def _ask(
        self, asked: Asked, node: Node, rng: random.Random, reader: Any, writer: asyncio.StreamWriter
    ) -> bool:
        """Whether the connection is kept."""
        self.asked.append(asked)
        asked.sent_at, asked.deadline_ms = time.monotonic(), DEADLINE_MS
        body = b"" if asked.cls == "page" else b"x"
        writer.write(http_request(asked.cls, body, deadline_ms=DEADLINE_MS, rid=asked.request_id))
        leaves_s = rng.uniform(0.0, 0.2) if rng.random() < LEAVES else DEADLINE_MS / 1000 + 3.0
        try:
            async with asyncio.timeout(leaves_s):
                back = await read_message(reader)
                asked.answered_at, asked.status = time.monotonic(), int(back.start_line.split()[1])
                asked.body = back.body.decode()
                return back.headers.get("connection", "") != "close"
        except TimeoutError:
            asked.left = leaves_s < 1.0
            asked.left_at = time.monotonic()
        except (OSError, asyncio.IncompleteReadError) as error:
            asked.cut = True
            asked.unread = isinstance(error, asyncio.IncompleteReadError) and not error.partial
        finally:
            asked.over_at = time.monotonic()
            asked.excused = any(
                began <= asked.over_at and asked.sent_at <= end + 1.0 for began, end in node.away
            )
        writer.transport.abort()
        return False

    async def _own_words(self) -> list[str]:
        """What the sidecars' own checks counted, and what their logs should not say."""
        broken = []
        for node in self.nodes:
            text = await node.program.metrics()
            for line in text.splitlines():
                if line.startswith("woadyard_invariant_violations_total") and not line.endswith(" 0.0"):
                    broken.append(f"{node.program.name}: {line}")
            for event in node.program.events():
                if (
                    event in ("unhandled exception in the balancer", "invariant violated")
                    or "Traceback" in event
                ):
                    broken.append(f"{node.program.name} says: {event}")
        return broken


async def play(folder: Path, seed: int, sidecars: int, seconds: float) -> tuple[list[str], Soak]:
    """One day; what was broken, and the day."""
    lab = Lab(folder)
    try:
        soak = Soak(lab, seed, sidecars, seconds)
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
            broken, soak = asyncio.run(play(Path(folder), seed, options.sidecars, options.seconds))
        statuses = Counter(one.status for one in soak.asked)
        print(f"seed {seed}: {len(soak.asked)} requests, by status {dict(statuses)}, {dict(soak.faults)}")
        print("\n".join(broken[:20]) or "nothing broken", flush=True)
        failed += bool(broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
