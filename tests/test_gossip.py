"""Sidecar processes that share verdicts: partitions, peers that lie, restarts."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import pytest

from tests.lab import Lab, Program
from tests.sockets import SETTINGS, Endpoint, Message, Writer, http_response
from woadyard.errors import ConfigError
from woadyard.net.gossip import INSTANCES_PATH
from woadyard.net.state import endpoint_number
from woadyard.shared.settings import read_shared
from woadyard.standins import DROP, PASS

BOUND_MS = 1_500


async def fails(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(500))


async def serves(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    await asyncio.sleep(0.01)  # so that requests overlap and both groups are drawn from
    writer.write(http_response())


async def sharing(
    lab: Lab, name: str, peers: Any, endpoints: Any = (), discovery: Any = 0, settings: Any = SETTINGS,
    **more: Any,
) -> tuple[Program, str, int]:  # fmt: skip
    """A sidecar that shares state, the name it has there, and its port for that."""
    shared = {"listen": "127.0.0.1:0", "peers": f"127.0.0.1:{peers.port}", "interval-ms": 50,
              "verdict-bound-ms": BOUND_MS, "eject-share": 0.7, **more}  # fmt: skip
    one = await lab.sidecar(name, endpoints, discovery, shared=shared, settings=settings)
    line = await one.wait_logged("sharing state")
    return one, line["as"], line["port"]


async def list_peer(lab: Lab, registry: Program, origin: str, port: int) -> None:
    await lab.register(registry, origin, {"hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"})


async def known(lab: Lab, *bad: str) -> dict[str, dict[str, Any]]:
    """List entries of a good endpoint and of bad ones, by name."""
    found = {"good": await lab.endpoint(serves), **{name: await lab.endpoint(fails) for name in bad}}
    return {name: one.entry(name) for name, one in found.items()}


async def test_five_processes_one_parted_use_nothing_past_the_bound_and_converge(lab: Lab) -> None:
    """The one parted away has its peers from a list of its own, through proxies."""
    ends = await known(lab, "bad1", "bad2")
    lists = [await lab.service(name) for name in ("inside", "outside")]
    accuser, *three = [
        await sharing(lab, f"n{n}", lists[0], [ends["good"], ends["bad1"]] if n == 0 else [*ends.values()])
        for n in range(4)
    ]
    parted = await sharing(lab, "n4", lists[1], [*ends.values()])
    links = [await lab.proxy(parted[2])]
    await list_peer(lab, lists[0], parted[1], links[0].port)
    for _, origin, port in (accuser, *three):
        links.append(await lab.proxy(port))
        await list_peer(lab, lists[1], origin, links[-1].port)
    loads = [asyncio.ensure_future(one.run_load()) for one, _, _ in (accuser, parted)]

    async def lowered(inside: int, at_parted: int) -> None:
        for one, _, _ in three:
            await one.wait_metric(f"woadyard_endpoints_lowered {inside}.0")
        await parted[0].wait_metric(f"woadyard_endpoints_lowered {at_parted}.0")

    await lowered(2, 1)  # bad1 by two, bad2 by the one that will be parted
    for fault, inside, at_parted in ((DROP, 1, 0), (PASS, 2, 1)):
        for link in links:
            link.fault(fault)
        await lowered(inside, at_parted)
    for load in loads:
        load.cancel()


OLD = [["n9@1", 1, "verdict", str(endpoint_number("bad1")), "ejected", BOUND_MS * 1000, BOUND_MS * 1001]]


@pytest.mark.parametrize(
    "lie",
    [b"\x00garbage", b"[" * 20_000, b'{"entries": 7}', b"x" * 100_000, json.dumps({"entries": OLD}).encode()],
    ids=["garbage", "deep", "no list", "huge", "old"],
)
async def test_a_peer_that_lies_gets_a_log_line_and_changes_nothing(lab: Lab, lie: bytes) -> None:
    async def lies(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(200, lie))

    registry = await lab.service()
    await list_peer(lab, registry, "n9@1", (await lab.endpoint(lies)).port)
    one, _, gossip = await sharing(lab, "n0", registry, [*(await known(lab, "bad1")).values()])
    await one.wait_logged("a peer's telling refused", peer="n9@1", level="WARNING")
    await one.wait_metric("woadyard_endpoints_lowered 0.0")
    back = await lab.call(gossip, "POST", "/_gossip", {"from": "n9@1", "vector": {"n9@1": -1}})
    assert back.status == 400


async def test_what_was_shared_outlives_a_restart_within_its_bound(lab: Lab) -> None:
    registry, ends = await lab.service(), [*(await known(lab, "bad1")).values()]
    long = {"verdict-bound-ms": 60_000}
    first, origin, _ = await sharing(lab, "n0", registry, ends, **long)
    second, _, _ = await sharing(lab, "n1", registry, ends, **long)
    load = asyncio.ensure_future(first.run_load())
    await second.wait_metric("woadyard_endpoints_lowered 1.0")
    load.cancel()
    kept = second.folder / "woadyard-n1.shared"
    while not kept.exists() or origin not in kept.read_text():
        await asyncio.sleep(0.02)
    await lab.kill(first)
    await lab.restart(second)
    await second.wait_metric("woadyard_endpoints_lowered 1.0")


class Counting:
    """Holds each request for a moment and notes how many it held at once, of all
    sidecars and of those that are not killed."""

    def __init__(self) -> None:
        self.now, self.most = Counter[str](), {True: 0, False: 0}

    async def hold(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name = message.headers["x-request-id"].partition("-")[0]
        self.now[name] += 1
        for but_killed in (True, False):
            held = self.now.total() - (self.now["n0"] if but_killed else 0)
            self.most[but_killed] = max(self.most[but_killed], held)
        await asyncio.sleep(0.03)
        self.now[name] -= 1
        writer.write(http_response())


async def test_a_limit_holds_over_all_and_a_killed_ones_share_returns_after_its_lease(lab: Lab) -> None:
    limit, page = 6, {**SETTINGS["classes"][0], "aim-us": 1_000_000, "deadline-us": 1_500_000}
    more = {
        "limit": limit,
        "limit-floor": 0,
        "limit-lease-ms": 3_000,
        "settings": {**SETTINGS, "classes": [page]},
    }
    registry, held = await lab.service(), Counting()
    ends, three, loads = [await lab.endpoint(held.hold)], [], []
    for n in range(3):  # the first holds all of it when the others come
        one, _, _ = await sharing(lab, f"n{n}", registry, ends, **more)
        loads.append(asyncio.ensure_future(one.run_load(12)))
        three.append(one)
    await registry.wait_metric("registry_holders 3.0")
    for one in three:
        await one.wait_metric("woadyard_shares 2.0")
    await lab.kill(three[0])
    assert held.most[False] == limit
    held.most[True] = 0
    while True:
        most = held.most[True]  # before the lease is seen to last
        if "\nregistry_holders 3.0\n" not in await registry.metrics():
            break
        assert most <= limit - limit // 3, "the killed one's share is nobody's yet"
        await asyncio.sleep(0.02)
    while held.most[True] < limit:
        await asyncio.sleep(0.02)
    assert held.most[True] == limit
    for load in loads:
        load.cancel()


async def test_a_session_goes_to_one_endpoint_from_any_sidecar_and_moves_when_that_leaves(lab: Lab) -> None:
    registry, peers = await lab.service(), await lab.service("peers")
    found = {f"s-{n}": await lab.endpoint() for n in range(4)}
    for name, one in found.items():
        await lab.register(registry, name, one.entry(name))
    more = {"discovery": registry, "affinity-header": "X-Session"}
    two = [(await sharing(lab, f"n{n}", peers, **more))[0] for n in (0, 1)]

    async def homes(version: int) -> list[str]:
        """Of 20 sessions, each asked for at both sidecars."""
        names = []
        for one in two:
            await one.wait_metric(f"woadyard_list_version {version}.0")
        for session in range(20):
            for endpoint in found.values():
                endpoint.received.clear()
            for one in two:
                back = await one.request(
                    rid=f"a{session}-{version}-{one.name}", headers=f"X-Session: u{session}\r\n"
                )
                assert back.start_line.split()[1] == "200"
            (name,) = (name for name, endpoint in found.items() if endpoint.received)
            names.append(name)
        return names

    before = await homes(4)
    assert len(set(before)) == 4
    assert (await lab.call(registry.port, "DELETE", f"{INSTANCES_PATH}/s-2")).status == 200
    after = await homes(5)
    assert all(was == now for was, now in zip(before, after, strict=True) if was != "s-2")
    assert "s-2" not in after


@pytest.mark.parametrize(
    "bad",
    [
        7, {}, {"listen": "127.0.0.1:0"}, {"listen": "127.0.0.1:0", "peers": "127.0.0.1:1", "other": 1},
        *({"listen": "127.0.0.1:0", "peers": "127.0.0.1:1", key: value}
          for key, value in (("affinity-header", "a b"), ("limit", -1), ("limit", 1.5), ("interval-ms", 0),
                             ("eject-share", 1.1), ("verdict-bound-ms", "5"),
                             ("interval-ms", float("nan")), ("verdict-bound-ms", True))),
    ],
)  # fmt: skip
def test_bad_settings_are_turned_down_with_a_line(bad: Any) -> None:
    with pytest.raises(ConfigError, match=r"^shared"):
        read_shared(bad)
