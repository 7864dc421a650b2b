"""Case 3: a sidecar keeps what a cut-off writer told it, and counts as acting on the later decision."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.endpoint import Endpoint
from common.harness import CannotRunError, Case, Program, free_port, run_case
from common.http import call
from common.link import Link

CLASS, PATH = "quick-check", "/registry/experiments/types"
DRAFT = {
    "plan": {"arms": ["old", "new"], "control": "old", "minimum_s": 3000, "maximum_s": 86400},
    "match": {"old": {"machineType": "intake-std"}, "new": {"machineType": "intake-fast"}},
}
CUT_S, JUDGED = 6.0, 60


class Members:
    """Three members that elect the writer; the links between them can be cut."""

    def __init__(self, case: Case) -> None:
        self.case, self.links, self.members = case, dict[tuple[int, int], Link](), list[Program]()

    async def open(self) -> None:
        ports = [free_port() for _ in range(3)]
        for source, target in ((a, b) for a in range(3) for b in range(3) if a != b):
            self.links[source, target] = await Link(ports[target]).open()
        starts = (self._start(number, port) for number, port in enumerate(ports))
        self.members = list(await asyncio.gather(*starts))
        await self.case.until(self.has_leader, "a writer is elected")

    async def _start(self, number: int, port: int) -> Program:
        peers = ",".join(
            f"127.0.0.1:{link.port}" for (source, _), link in self.links.items() if source == number
        )
        return await self.case.list_service(f"m{number}", "--elect", "--peers", peers, port=port)

    async def leader(self, *apart_from: int) -> int | None:
        for number, member in enumerate(self.members):
            if number not in apart_from:
                status = (await call(member.port, "GET", "/registry/term")).json
                if status["leads"]:
                    return number
        return None

    async def has_leader(self, *apart_from: int) -> bool:
        return await self.leader(*apart_from) is not None

    def cut(self, number: int, others: list[Link], is_cut: bool) -> None:
        """Cut a member off the other two, with `others`, or mend all these links."""
        ends = [link for pair, link in self.links.items() if number in pair]
        for link in ends + others:
            link.is_cut = is_cut
        self.case.record("cut" if is_cut else "mended", member=f"m{number}", links=len(ends + others))


async def start_sidecars(case: Case, members: Members, leader: int) -> tuple[list[Program], list[Link]]:
    """Start one sidecar in the zone of the writer and one in another zone, each reporting in its zone.

    Return them, and the first one's links to the other members.
    """
    others = [member for number, member in enumerate(members.members) if number != leader]
    own = members.members[leader]
    far_links = [await Link(member.port).open() for member in others]
    lists = [f"127.0.0.1:{each.port}" for each in (own, *far_links)]
    near = await case.sidecar("near", ",".join(lists), audit={"service": f"127.0.0.1:{own.port}"})
    lists = [f"127.0.0.1:{member.port}" for member in others]
    far = await case.sidecar("far", ",".join(lists), audit={"service": ",".join(lists)})
    return [near, far], far_links


async def main(case: Case) -> list[str]:
    members = Members(case)
    await members.open()
    leader = await members.leader()
    assert leader is not None
    endpoints = {}
    for name, machine_type in (("o-1", "intake-std"), ("o-2", "intake-std"), ("w-1", "intake-fast"),
                               ("w-2", "intake-fast")):  # fmt: skip
        endpoints[name] = Endpoint(case, name)
        await endpoints[name].open()
        await case.register(members.members[leader], name, endpoints[name].port, machineType=machine_type)
    sidecars, far_links = await start_sidecars(case, members, leader)

    async def operate(number: int, step: str, body: object = b"") -> int:
        response = await call(members.members[number].port, "POST", PATH + step, body)
        case.record("operator", call=step or "/", member=f"m{number}", status=response.status,
                    body=response.body.decode()[:300])  # fmt: skip
        return response.status

    if (await operate(leader, "", DRAFT), await operate(leader, "/start")) != (200, 200):
        raise CannotRunError("the experiment did not start")
    for sidecar in sidecars:
        await case.wait_until_serving(sidecar, CLASS)
    await asyncio.sleep(3.0)

    writer: int | None = leader
    cut_at = time.monotonic()
    if case.trouble:
        members.cut(leader, far_links, True)
    status = await operate(leader, "/shares", [0.05, 0.95])
    if case.trouble:
        await case.until(lambda: members.has_leader(leader), "another writer is elected", CUT_S)
        writer = await members.leader(leader)
    elif status != 200:
        raise CannotRunError("the shares were not changed")
    if writer is None or await operate(writer, "/stop?why=review") != 200:
        raise CannotRunError("the experiment was not stopped")
    if case.trouble:
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        members.cut(leader, far_links, False)

    async def is_applied() -> bool:
        return (await call(members.members[writer].port, "GET", PATH)).json["state"] == "applied"

    await case.until(is_applied, "the experiment is `applied`")
    summary = (await call(members.members[writer].port, "GET", PATH)).json
    case.record(
        "experiment", state=summary["state"], decision=summary["decision"], not_yet=summary["not_yet"]
    )
    broken = []
    for sidecar in sidecars:
        await case.wait_until_serving(sidecar, CLASS)
        served: dict[str, int] = {}
        for number in range(JUDGED):
            response = await case.request(sidecar, CLASS, f"{sidecar.name}-judged-{number}")
            name = response.body.decode() if response.status == 200 else str(response.status)
            served[name] = served.get(name, 0) + 1
        case.record("judged", sidecar=sidecar.name, served=served)
        if astray := sum(count for name, count in served.items() if name.startswith("w")):
            broken.append(f"{sidecar.name}: {astray} of {JUDGED} requests went to `new` after `applied`")
    return broken


run_case(main, Path(__file__).parent)
