"""Case 3: sidecars that are told a new address of discovery refuse every request from then on."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.endpoint import Endpoint
from common.harness import Case, Program, run_case
from common.http import Request
from common.link import Link

CLASS, SIDECARS, ENDPOINTS = "quick-check", 3, 3
OLD_OPEN_S, LENGTH_S, PAUSE_S = 1.5, 40.0, 0.1
# STANDING.md: at most one sidecar in ten may reject all that it gets, 15 or more, for 4 s on end.
REJECTED_S, REJECTED_LEAST = 4.0, 15
ATTEMPT = 0  # in place of a status: an endpoint received a request


async def run_client(case: Case, sidecar: Program, until_s: float) -> list[tuple[float, int]]:
    """Send requests one after another; return the time and status of each answer."""
    answers = []
    while time.monotonic() < until_s:
        request_id = f"{sidecar.name}-{len(answers)}"
        response = await case.request(sidecar, CLASS, request_id)
        answers.append((time.monotonic(), response.status))
        case.record("answered", request=request_id, status=response.status)
        await asyncio.sleep(PAUSE_S)
    return answers


def longest_rejection(answers: list[tuple[float, int]], attempts_s: list[float]) -> tuple[float, int]:
    """Return the length in s and the requests of the longest stretch in which all were rejected.

    An answer of any other kind ends a stretch, and so does an attempt that an endpoint received.
    """
    longest, since_s, count = (0.0, 0), 0.0, 0
    for at_s, status in sorted([*answers, *((at_s, ATTEMPT) for at_s in attempts_s)]):
        if status not in (429, 503):
            count = 0
            continue
        since_s, count = (at_s, 1) if not count else (since_s, count + 1)
        longest = max(longest, (at_s - since_s, count))
    return longest


async def main(case: Case) -> list[str]:
    service = await case.list_service("list")
    attempts_s: dict[str, list[float]] = {}  # by sidecar

    def note_attempt(request: Request) -> None:
        sidecar_name = request.headers.get("x-request-id", "").partition("-")[0]
        attempts_s.setdefault(sidecar_name, []).append(time.monotonic())

    for number in range(ENDPOINTS):
        endpoint = Endpoint(case, f"s-{number}")
        endpoint.on_run = note_attempt
        await endpoint.open()
        await case.register(service, endpoint.name, endpoint.port)
    old, new = await Link(service.port).open(), await Link(service.port).open()
    sidecars = [await case.sidecar(f"n{n}", f"127.0.0.1:{old.port}") for n in range(SIDECARS)]
    for sidecar in sidecars:
        await case.wait_until_serving(sidecar, CLASS)
    clients = [
        asyncio.create_task(run_client(case, sidecar, time.monotonic() + LENGTH_S)) for sidecar in sidecars
    ]
    await asyncio.sleep(5.0)
    if case.trouble:
        for sidecar in sidecars:
            path = case.scratch / f"{sidecar.name}.json"
            raw = json.loads(path.read_text())
            path.write_text(json.dumps({**raw, "discovery": f"127.0.0.1:{new.port}"}))
            sidecar.send_signal(signal.SIGHUP)
            case.record("new configuration", sidecar=sidecar.name, discovery=new.port)
        old.stop_listening()
        await asyncio.sleep(OLD_OPEN_S)
        old.close_connections()
        case.record("the old address closes its connections")
    broken = []
    for sidecar, answers in zip(sidecars, await asyncio.gather(*clients), strict=True):
        length_s, count = longest_rejection(answers, attempts_s.get(sidecar.name, []))
        served = sum(status == 200 for _, status in answers)
        case.record("judged", sidecar=sidecar.name, rejected_s=round(length_s, 1), count=count, served=served)
        if length_s >= REJECTED_S and count >= REJECTED_LEAST:
            broken.append(f"{sidecar.name} rejected all of {count} requests for {length_s:.1f} s")
    return broken if len(broken) > SIDECARS / 10 else []


run_case(main, Path(__file__).parent)
