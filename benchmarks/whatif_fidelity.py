"""Forecasts held against weight changes that were really made, over sockets, on loopback.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.whatif_fidelity
[--seed N] [--plans FROM:TO]`; `--sum FILE...` sums up the lines of several such runs. Three
sidecars send to six endpoint processes (seeded service times by machine type and class, slots
with a queue, slowing). A span with even weights is recorded; proposals are forecast from it
alone; each is then put in force and measured. With `--simulated` the same is done in simulated
time against endpoints whose truth is a model made by hand: no load of the machine shows in it.
Prints a line a proposal; the sum has the errors, the intervals' coverage and Kendall's tau. The
default seed was not used while the model was built.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import random
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import numpy as np
from scipy.stats import kendalltau

from benchmarks.whatif_world import fetch_recording, record_traces
from tests.sockets import SETTINGS, read_message
from woadyard.net.driver import Driver
from woadyard.net.recorder import Recorder, RecordSettings
from woadyard.net.server import Server
from woadyard.net.upstream import Upstream
from woadyard.whatif.settings import Rules
from woadyard.whatif.study import PlanEvaluator
from woadyard.whatif.tally import histogram_quantile
from woadyard.whatif.weights import resolve_factors
from woadyard.wire import read_settings

KINDS = ["small", "small", "large", "large", "old", "old"]
MEAN_S = {"small": 0.030, "large": 0.012, "old": 0.060}
SLOTS = {"small": 8, "large": 16, "old": 4}
SLOWING, HEAVY = 0.02, 2.0
SIDECARS, RATE, SPAN_S, SETTLE_S = 3, 100.0, 14, 2
PLANS = [
    {"machineType=old": 0.3}, {"machineType=old": 0.1}, {"machineType=large": 0.5},
    {"machineType=small": 0.4}, {"e0": 0.2}, {"machineType=large": 0.25}, {"e2": 0.3},
    {"machineType=small": 0.5, "machineType=large": 0.3}, {"machineType=large": 0.1}, {"e4": 0.2, "e2": 0.5},
]  # fmt: skip


# --- Endpoints ------------------------------------------------------------------------


class Queue:
    """One endpoint: slots with a queue, first come first served."""

    def __init__(self, kind: str, seed: int) -> None:
        self.mean, self.slots = MEAN_S[kind], asyncio.Semaphore(SLOTS[kind])
        self.rng, self.busy = random.Random(seed), 0

    async def visit(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                message = await read_message(reader)
                took = self.rng.gammavariate(4.0, 0.25) * self.mean
                if message.headers.get("x-class") == "batch":
                    took *= HEAVY
                async with self.slots:
                    self.busy += 1
                    await asyncio.sleep(took * (1.0 + SLOWING * (self.busy - 1)))
                    self.busy -= 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()


def serve_endpoint(kind: str, seed: int, listening: socket.socket) -> None:
    import uvloop

    async def run() -> None:
        server = await asyncio.start_server(Queue(kind, seed).visit, sock=listening)
        await server.serve_forever()

    uvloop.run(run())


# --- Callers --------------------------------------------------------------------------


async def drive(ports: list[int], seconds: float, rng: random.Random) -> None:
    """Poisson calls at each sidecar, a fifth of the heavy class, each on its own connection."""
    begun: set[asyncio.Task[None]] = set()

    async def ask(port: int, number: int) -> None:
        cls = "batch" if number % 5 == 0 else "page"
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            rid = rng.getrandbits(64)
            head = f"GET /{cls} HTTP/1.1\r\nHost: b\r\nX-Request-Id: {rid:x}\r\nX-Class: {cls}\r\n"
            writer.write(f"{head}X-Deadline-Ms: 2000\r\n\r\n".encode())
            await read_message(reader)
            writer.close()

    async def caller(port: int) -> None:
        end, number = time.monotonic() + seconds, 0
        due = time.monotonic()
        while (due := due + rng.expovariate(RATE)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(ask(port, number))
            begun.add(task)
            task.add_done_callback(begun.discard)
            number += 1

    await asyncio.gather(*(caller(port) for port in ports))
    await asyncio.gather(*begun)


def call_them(ports: list[int], seconds: float, seed: int) -> None:
    import uvloop

    uvloop.run(drive(ports, seconds, random.Random(seed)))


# --- Sidecars -------------------------------------------------------------------------


def settings(number: int) -> dict[str, Any]:
    classes = [
        {"name": "page", "aim-us": 100_000, "deadline-us": 2_000_000, "repeat": "retryable"},
        {"name": "batch", "aim-us": 250_000, "deadline-us": 2_000_000, "repeat": "retryable"},
    ]
    return {**SETTINGS, "classes": classes, "kinds": list(MEAN_S), "me": number, "instances": SIDECARS,
            "stage": 0}  # fmt: skip


class Sidecar:
    """A sidecar on this process's loop, with its own list of endpoints and recordings."""

    def __init__(self, number: int, entries: list[dict[str, Any]], seed: int) -> None:
        self.number, self.entries, self.seed = number, entries, seed
        self.raw = settings(number)
        self.settings = read_settings(json.dumps(self.raw).encode())
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(loop, Driver.now, 512)
        self.driver = Driver(loop, seed + number, self.settings, self.raw, self.upstream)

    async def open(self) -> int:
        self.driver.start({"generation": 1, "reset": True, "instances": self.entries})
        return await Server(self.driver).listen("127.0.0.1", 0)

    def record(self) -> Recorder:
        """A recording that begins now."""
        now = self.driver.now()
        made = Recorder(RecordSettings(1 << 16, 1.0), f"s{self.number}", self.seed + self.number, now)
        made.settings_applied(now, self.driver.settings, self.raw)
        made.list_applied(now, 0, 1, self.entries)
        self.driver.observer = made
        return made

    def weigh(self, weights: dict[str, float]) -> None:
        entries = [(one["instanceId"], one["machineType"], one["zone"]) for one in self.entries]
        self.driver.set_planned_weights(resolve_factors(weights, entries) if weights else {})


async def span(
    sidecars: list[Sidecar], ports: list[int], seed: int, weights: dict[str, float]
) -> list[bytes]:
    """One span under the weights, and its recordings. The callers are a process of their own."""
    for one in sidecars:
        one.weigh(weights)
    recorders = [one.record() for one in sidecars]
    context = multiprocessing.get_context("spawn")
    callers = context.Process(target=call_them, args=(ports, SPAN_S + SETTLE_S + 1.0, seed))
    callers.start()
    while callers.is_alive():
        await asyncio.sleep(0.05)
    return [fetch_recording(one) for one in recorders]


@contextlib.asynccontextmanager
async def fleet(seed: int) -> AsyncIterator[tuple[list[Sidecar], list[int]]]:
    context = multiprocessing.get_context("spawn")
    listening = [socket.create_server(("127.0.0.1", 0)) for _ in KINDS]
    processes = [
        context.Process(target=serve_endpoint, args=(kind, seed * 100 + at, listening[at]))
        for at, kind in enumerate(KINDS)
    ]
    for one in processes:
        one.start()
    entries = [
        {
            "instanceId": f"e{at}", "hostPort": f"127.0.0.1:{listening[at].getsockname()[1]}", "zone": "here",
            "machineType": kind, "cell": at, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
        }
        for at, kind in enumerate(KINDS)
    ]  # fmt: skip
    sidecars = [Sidecar(number, entries, seed) for number in range(SIDECARS)]
    for socket_ in listening:  # they are up once they answer
        reader, writer = await asyncio.open_connection(*socket_.getsockname())
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await read_message(reader)
        writer.close()
    try:
        yield sidecars, [await one.open() for one in sidecars]
    finally:
        for one in processes:
            one.terminate()
            one.join()


# --- The comparison -------------------------------------------------------------------


def compare(work: PlanEvaluator, weights: dict[str, float], data: list[bytes]) -> dict[str, Any]:
    study = work.evaluate(weights)
    told = PlanEvaluator(data, work.rules).recorded_tally
    figures = study.forecast.figures
    aim = float(told.good[0].sum() / told.count[0].sum())
    p99 = float(histogram_quantile(told.latency[0].sum(0).astype(float), 0.99))
    shares = told.sends.sum(1) / told.sends.sum()
    names = [f"share:{name}" for name in work.workload.endpoints]
    errors = [abs(figures[name].value - shares[at]) for at, name in enumerate(names)]
    covered = {
        "aim": figures["aim"].low <= aim <= figures["aim"].high,
        "p99": figures["p99"].low <= p99 <= figures["p99"].high,
    }
    for at, name in enumerate(names):
        covered[name] = bool(figures[name].low <= shares[at] <= figures[name].high)
    return {
        "plan": weights, "verdict": study.verdict.state, "thin": round(study.forecast.thin, 3),
        "aim_forecast": round(figures["aim"].value, 4), "aim": round(aim, 4),
        "p99_ms_forecast": round(figures["p99"].value / 1e3, 1), "p99_ms": round(p99 / 1e3, 1),
        "aim_error": round(figures["aim"].value - aim, 4),
        "p99_error": round(figures["p99"].value / p99 - 1, 3),
        "share_error_most": round(max(errors), 3), "covered": sum(covered.values()), "of": len(covered),
        "not_covered": [name for name, inside in covered.items() if not inside],
    }  # fmt: skip


async def measure(seed: int, plans: list[dict[str, float]]) -> None:
    async with fleet(seed) as (sidecars, ports):
        baseline = await span(sidecars, ports, seed + 2, {})
        measured = [await span(sidecars, ports, seed + 10 + at, plan) for at, plan in enumerate(plans)]
    work = PlanEvaluator(baseline, Rules(window_s=SPAN_S, warm_s=SETTLE_S, workers=4))
    for plan, data in zip(plans, measured, strict=True):
        print(json.dumps({"seed": seed, **compare(work, plan, data)}), flush=True)


def simulate(seed: int, plans: list[dict[str, float]]) -> None:
    span: dict[str, Any] = {"sidecars": SIDECARS, "seconds": float(SPAN_S + SETTLE_S), "rate": RATE}
    baseline, _ = record_traces(KINDS, seed=seed, **span)
    work = PlanEvaluator(baseline, Rules(window_s=SPAN_S, warm_s=SETTLE_S, workers=4))
    for at, plan in enumerate(plans):
        data, _ = record_traces(KINDS, seed=seed + 1 + at, weights=plan, **span)
        print(json.dumps({"seed": seed, "simulated": True, **compare(work, plan, data)}), flush=True)


def sum_up(found: list[dict[str, Any]]) -> dict[str, Any]:
    def tau(of: str) -> float:
        pairs = [one[f"{of}_forecast"] for one in found], [one[of] for one in found]
        return round(float(kendalltau(*pairs).statistic), 3)

    def spread(name: str) -> dict[str, float]:
        values = np.abs([one[name] for one in found])
        return {"mean": round(float(values.mean()), 4), "most": round(float(values.max()), 4)}

    within = {
        "aim": sum(abs(one["aim_error"]) <= 0.01 for one in found),
        "p99": sum(abs(one["p99_error"]) <= 0.2 for one in found),
        "share": sum(one["share_error_most"] <= 0.02 for one in found),
    }
    return {
        "plans": len(found), "aim_error": spread("aim_error"), "p99_error": spread("p99_error"),
        "share_error": spread("share_error_most"), "within_goal": within,
        "coverage": round(sum(one["covered"] for one in found) / sum(one["of"] for one in found), 3),
        "kendall_tau_aim": tau("aim"), "kendall_tau_p99": tau("p99_ms"),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=90210)
    parser.add_argument("--plans", default=f"0:{len(PLANS)}")
    parser.add_argument("--simulated", action="store_true")
    parser.add_argument("--sum", nargs="+", type=Path)
    arguments = parser.parse_args()
    if arguments.sum:
        lines = [line for path in arguments.sum for line in path.read_text().splitlines()]
        print(json.dumps(sum_up([json.loads(line) for line in lines if line.startswith("{")])))
    else:
        first, _, last = arguments.plans.partition(":")
        plans = PLANS[int(first) : int(last)]
        if arguments.simulated:
            simulate(arguments.seed, plans)
        else:
            asyncio.run(measure(arguments.seed, plans))


if __name__ == "__main__":
    main()
