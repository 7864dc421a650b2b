"""Sidecar processes that share verdicts, limits and affinity: partitions, invalid messages, restarts."""

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


async def respond_500(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(500))


async def respond_slowly(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    await asyncio.sleep(0.01)  # so that requests overlap and are spread over both groups of endpoints
    writer.write(http_response())


async def start_sharing_sidecar(
    lab: Lab, name: str, peers: Any, endpoints: Any = (), discovery: Any = 0, settings: Any = SETTINGS,
    **more: Any,
) -> tuple[Program, str, int]:  # fmt: skip
    """Start a sidecar that shares state; return it, its origin and its gossip port."""
    shared = {"listen": "127.0.0.1:0", "peers": f"127.0.0.1:{peers.port}", "interval-ms": 50,
              "verdict-bound-ms": BOUND_MS, "eject-share": 0.7, **more}  # fmt: skip
    program = await lab.sidecar(name, endpoints, discovery, shared=shared, settings=settings)
    line = await program.wait_logged("sharing state")
    return program, line["as"], line["port"]


async def register_peer(lab: Lab, registry: Program, origin: str, port: int) -> None:
    await lab.register(registry, origin, {"hostPort": f"127.0.0.1:{port}", "lifecycle": "ready"})


async def start_endpoints(lab: Lab, *failing: str) -> dict[str, dict[str, Any]]:
    """Start a good endpoint and failing ones; return their list entries by name."""
    endpoints = {
        "good": await lab.endpoint(respond_slowly),
        **{name: await lab.endpoint(respond_500) for name in failing},
    }
    return {name: instance.entry(name) for name, instance in endpoints.items()}


async def test_partitioned_sidecar_drops_expired_verdicts_and_converges_after_healing(lab: Lab) -> None:
    """Four sidecars and a fifth that reaches them only through proxies, which the test cuts and heals."""
    entries = await start_endpoints(lab, "bad1", "bad2")
    services = [await lab.service(name) for name in ("inside", "outside")]
    accuser, *others = [
        await start_sharing_sidecar(
            lab, f"n{n}", services[0], [entries["good"], entries["bad1"]] if n == 0 else [*entries.values()]
        )
        for n in range(4)
    ]
    partitioned = await start_sharing_sidecar(lab, "n4", services[1], [*entries.values()])
    proxies = [await lab.proxy(partitioned[2])]
    await register_peer(lab, services[0], partitioned[1], proxies[0].port)
    for _, origin, port in (accuser, *others):
        proxies.append(await lab.proxy(port))
        await register_peer(lab, services[1], origin, proxies[-1].port)
    loads = [asyncio.ensure_future(sidecar.run_load()) for sidecar, _, _ in (accuser, partitioned)]

    async def wait_for_lowered(inside: int, at_partitioned: int) -> None:
        for sidecar, _, _ in others:
            await sidecar.wait_metric(f"woadyard_endpoints_lowered {inside}.0")
        await partitioned[0].wait_metric(f"woadyard_endpoints_lowered {at_partitioned}.0")

    await wait_for_lowered(2, 1)  # bad1 by two sidecars, bad2 by the one that will be partitioned
    for fault, inside, at_partitioned in ((DROP, 1, 0), (PASS, 2, 1)):
        for tcp_proxy in proxies:
            tcp_proxy.set_fault(fault)
        await wait_for_lowered(inside, at_partitioned)
    for load in loads:
        load.cancel()


EXPIRED = [["n9@1", 1, "verdict", str(endpoint_number("bad1")), "ejected", BOUND_MS * 1000, BOUND_MS * 1001]]


@pytest.mark.parametrize(
    "response",
    [
        b"\x00garbage",
        b"[" * 20_000,
        b'{"entries": 7}',
        b"x" * 100_000,
        json.dumps({"entries": EXPIRED}).encode(),
    ],
    ids=["garbage", "deep", "no list", "huge", "old"],
)
async def test_invalid_gossip_response_is_logged_and_changes_nothing(lab: Lab, response: bytes) -> None:
    async def respond_invalid(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(200, response))

    registry = await lab.service()
    await register_peer(lab, registry, "n9@1", (await lab.endpoint(respond_invalid, host="127.0.0.1")).port)
    sidecar, _, gossip_port = await start_sharing_sidecar(
        lab, "n0", registry, [*(await start_endpoints(lab, "bad1")).values()]
    )
    await sidecar.wait_logged("gossip response rejected", peer="n9@1", level="WARNING")
    await sidecar.wait_metric("woadyard_endpoints_lowered 0.0")
    reply = await lab.call(gossip_port, "POST", "/_gossip", {"from": "n9@1", "vector": {"n9@1": -1}})
    assert reply.status == 400


async def test_shared_verdicts_survive_a_restart_within_their_ttl(lab: Lab) -> None:
    registry, entries = await lab.service(), [*(await start_endpoints(lab, "bad1")).values()]
    settings = {"verdict-bound-ms": 60_000}
    first, origin, _ = await start_sharing_sidecar(lab, "n0", registry, entries, **settings)
    second, _, _ = await start_sharing_sidecar(lab, "n1", registry, entries, **settings)
    load = asyncio.ensure_future(first.run_load())
    await second.wait_metric("woadyard_endpoints_lowered 1.0")
    load.cancel()
    state_file = second.folder / "woadyard-n1.shared"
    while not state_file.exists() or origin not in state_file.read_text():
        await asyncio.sleep(0.02)
    await lab.kill(first)
    await lab.restart(second)
    await second.wait_metric("woadyard_endpoints_lowered 1.0")


class InFlightCounter:
    """Delays each response and records the most requests in flight at once, from all sidecars
    (key False) and from those that are not killed (key True)."""

    def __init__(self) -> None:
        self.in_flight, self.most = Counter[str](), {True: 0, False: 0}

    async def respond(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name = message.headers["x-request-id"].partition("-")[0]
        self.in_flight[name] += 1
        for without_killed in (True, False):
            count = self.in_flight.total() - (self.in_flight["n0"] if without_killed else 0)
            self.most[without_killed] = max(self.most[without_killed], count)
        await asyncio.sleep(0.03)
        self.in_flight[name] -= 1
        writer.write(http_response())


async def test_limit_holds_over_all_sidecars_and_a_killed_sidecars_share_is_reused_after_its_lease(
    lab: Lab,
) -> None:
    limit, request_class = 6, {**SETTINGS["classes"][0], "aim-us": 1_000_000, "deadline-us": 1_500_000}
    more = {
        "limit": limit,
        "limit-floor": 0,
        "limit-lease-ms": 3_000,
        "settings": {**SETTINGS, "classes": [request_class]},
    }
    registry, counter = await lab.service(), InFlightCounter()
    endpoints, sidecars, loads = [await lab.endpoint(counter.respond)], [], []
    for n in range(3):  # the first holds the whole limit when the others start
        sidecar, _, _ = await start_sharing_sidecar(lab, f"n{n}", registry, endpoints, **more)
        loads.append(asyncio.ensure_future(sidecar.run_load(12)))
        sidecars.append(sidecar)
    await registry.wait_metric("registry_holders 3.0")
    for sidecar in sidecars:
        await sidecar.wait_metric("woadyard_shares 2.0")
    await lab.kill(sidecars[0])
    assert counter.most[False] == limit
    counter.most[True] = 0
    while True:
        most = counter.most[True]  # read before the check that the lease still lasts
        if "\nregistry_holders 3.0\n" not in await registry.metrics():
            break
        assert most <= limit - limit // 3, "the killed sidecar's share must not be granted yet"
        await asyncio.sleep(0.02)
    while counter.most[True] < limit:
        await asyncio.sleep(0.02)
    assert counter.most[True] == limit
    for load in loads:
        load.cancel()


async def test_session_has_the_same_endpoint_at_each_sidecar_and_moves_when_it_is_removed(lab: Lab) -> None:
    registry, peers = await lab.service(), await lab.service("peers")
    endpoints = {f"s-{n}": await lab.endpoint() for n in range(4)}
    for name, instance in endpoints.items():
        await lab.register(registry, name, instance.entry(name))
    more = {"discovery": registry, "affinity-header": "X-Session"}
    sidecars = [(await start_sharing_sidecar(lab, f"n{n}", peers, **more))[0] for n in (0, 1)]

    async def homes(version: int) -> list[str]:
        """Return the endpoints of 20 sessions, each sent to both sidecars."""
        names = []
        for sidecar in sidecars:
            await sidecar.wait_metric(f"woadyard_list_version {version}.0")
        for session in range(20):
            for endpoint in endpoints.values():
                endpoint.received.clear()
            for sidecar in sidecars:
                response = await sidecar.request(
                    rid=f"a{session}-{version}-{sidecar.name}", headers=f"X-Session: u{session}\r\n"
                )
                assert response.start_line.split()[1] == "200"
            (name,) = (name for name, endpoint in endpoints.items() if endpoint.received)
            names.append(name)
        return names

    before = await homes(4)
    assert len(set(before)) == 4
    assert (await lab.call(registry.port, "DELETE", f"{INSTANCES_PATH}/s-2")).status == 200
    after = await homes(5)
    assert all(old == new for old, new in zip(before, after, strict=True) if old != "s-2")
    assert "s-2" not in after


@pytest.mark.parametrize(
    "raw",
    [
        7, {}, {"listen": "127.0.0.1:0"}, {"listen": "127.0.0.1:0", "peers": "127.0.0.1:1", "other": 1},
        *({"listen": "127.0.0.1:0", "peers": "127.0.0.1:1", key: value}
          for key, value in (("affinity-header", "a b"), ("limit", -1), ("limit", 1.5), ("interval-ms", 0),
                             ("eject-share", 1.1), ("verdict-bound-ms", "5"),
                             ("interval-ms", float("nan")), ("verdict-bound-ms", True))),
    ],
)  # fmt: skip
def test_invalid_settings_raise_config_error(raw: Any) -> None:
    with pytest.raises(ConfigError, match=r"^shared"):
        read_shared(raw)
