"""Other deployments' settings over loopback sockets: other windows, scopes, effects, deadlines, tenants.

In each, what may have run is repeated only as its class allows, and nothing taken is lost.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from typing import Any

import pytest

from tests.sockets import (
    SETTINGS,
    Endpoint,
    Message,
    Sidecar,
    Writer,
    http_request,
    on_loop,
    run_sidecar,
    serve_ok,
    wait_until,
)
from woadyard.net import server
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.wire import read_settings

EFFECTS = ("retryable", "dedup", "fragile")
NAMES = {"retryable": "page", "dedup": "put", "fragile": "pay"}  # as the tests' requests know them


def a_class(effect: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": NAMES[effect], "aim-us": 2_000_000, "deadline-us": 5_000_000, "repeat": effect,
        "dedup-scope": "all", "repeat-window-us": 60_000_000, **changes,
    }  # fmt: skip


def retuned(
    one: Sidecar, *classes: dict[str, Any], ceilings: dict[str, Any] | None = None, **more: Any
) -> None:
    """As SIGHUP does once the file was checked."""
    raw = {
        **SETTINGS,
        "classes": list(classes),
        "ceilings": {**SETTINGS["ceilings"], **(ceilings or {})},
        **more,
    }
    one.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))


async def settled(one: Sidecar) -> None:
    """Nothing is owed: no call is open, and no attempt out."""
    await wait_until(lambda: not one.driver.calls)
    assert all(not endpoint.inflight for endpoint in one.driver.balancer.endpoints.values())


async def break_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """It may have run."""
    writer.close()


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """No answer, until the connection closes."""


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
@pytest.mark.parametrize("late", [False, True])
@on_loop
async def test_a_repeat_whose_connection_comes_up_past_its_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, scope: str, late: bool
) -> None:
    """The window binds when it is written, not when it was decided."""
    gate, second = asyncio.Event(), Endpoint()
    real = EndpointConnection._create_connection

    async def slow(link: EndpointConnection, host: str, port: int) -> None:
        if port == second.port:
            await gate.wait()
        await real(link, host, port)

    async def moved(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        one.set_list(second.entry("s-9"))  # the only one left
        writer.close()

    monkeypatch.setattr(EndpointConnection, "_create_connection", slow)
    async with run_sidecar(first := Endpoint(moved)) as one:
        listener = await second.start()
        window = 1_000_000 if late else 60_000_000
        retuned(one, a_class("dedup", **{"dedup-scope": scope, "repeat-window-us": window}))
        asked = asyncio.create_task(one.send(http_request("put")))
        await first.request_arrived.acquire()
        ((_, call),) = one.driver.calls.items()
        await wait_until(lambda: asked.done() or len(call.attempts) == 2)
        if late:
            sent = call.attempts[0].sent_us if call.attempts else 0
            await asyncio.sleep(max(0.0, (sent + window - one.driver.now()) / 1e6) + 0.001)
        gate.set()
        back = await asked
        assert len(second.received) == (0 if late else 1)
        assert back.start_line.startswith("HTTP/1.1 200") is not late
        await settled(one)
        listener.close()


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize(
    ("scope", "zone", "cell"), itertools.product(("all", "zone", "cell"), (0, 1), (1, 2))
)
@on_loop
async def test_what_may_have_run_is_repeated_only_within_its_scope(
    effect: str, scope: str, zone: int, cell: int
) -> None:
    zones, second = ["here", "there"], Endpoint()

    async def moved(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        one.set_list(second.entry("s-9", zone=zones[zone], cell=cell))
        writer.close()

    async with run_sidecar(first := Endpoint(moved)) as one:
        listener = await second.start()
        retuned(one, a_class(effect, **{"dedup-scope": scope}), zones=zones)
        back = await one.send(http_request(NAMES[effect]))
        known = {"all": True, "zone": zone == 0, "cell": cell == 1}[scope]
        may = effect == "retryable" or (effect == "dedup" and known)
        assert (len(first.received), len(second.received)) == (1, int(may))
        assert back.start_line.startswith("HTTP/1.1 200") is may
        if may and effect == "dedup":
            assert (
                second.received[0].headers["idempotency-key"] == first.received[0].headers["idempotency-key"]
            )
        await settled(one)
        listener.close()


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
@pytest.mark.parametrize("window_ms", [0, 1, 300])
@on_loop
async def test_past_a_short_window_nothing_is_repeated(scope: str, window_ms: int) -> None:
    async def late(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await asyncio.sleep(window_ms / 1000 + 0.01)
        writer.close()

    endpoints = [Endpoint(late) for _ in range(3)]
    async with run_sidecar(*endpoints) as one:
        retuned(one, a_class("dedup", **{"dedup-scope": scope, "repeat-window-us": window_ms * 1000}))
        await one.send(http_request("put"))
        assert sum(len(endpoint.received) for endpoint in endpoints) == 1
        await settled(one)


@pytest.mark.parametrize(("before", "after"), itertools.permutations(EFFECTS, 2))
@on_loop
async def test_another_effect_holds_for_what_comes_after_it(before: str, after: str) -> None:
    endpoints = [Endpoint(break_off) for _ in range(3)]
    async with run_sidecar(*endpoints) as one:
        for n, effect in enumerate((before, after)):
            retuned(one, a_class(effect, name="page"))
            method = b"GET" if effect == "retryable" else b"POST"
            length = b"" if effect == "retryable" else b"Content-Length: 0\r\n"
            key = b"Idempotency-Key: k\r\n" if effect == "dedup" else b""
            head = b"%b /page?obj=7 HTTP/1.1\r\nHost: b\r\nX-Request-Id: r%d\r\n%b%b\r\n"
            back = await one.send(head % (method, n, length, key))
            assert back.start_line.split()[1] in ("502", "503")
            if effect == "fragile":
                # A 503 would say that a retry is harmless.
                assert back.start_line.startswith("HTTP/1.1 502")
        runs = Counter(message.headers["x-request-id"] for each in endpoints for message in each.received)
        for n, effect in enumerate((before, after)):
            assert 1 <= runs[f"r{n}"] <= (1 if effect == "fragile" else 3)
        await settled(one)


ALL = [a_class(effect) for effect in EFFECTS]
TENANTS = [{"name": f"t-{n}", "allowance-per-s": 1.0 + n % 7} for n in range(200)]


@pytest.mark.parametrize(
    ("classes", "more"),
    [
        ([a_class("retryable")], {}),
        ([a_class("dedup")], {}),
        ([a_class("fragile")], {}),
        ([a_class("fragile"), a_class("fragile", name="put"), a_class("fragile", name="buy")], {}),
        (ALL, {"accounts": TENANTS}),
        (ALL, {"accounts": []}),
        (ALL, {"ceilings": {"max-attempts": 1}}),
        ([a_class(one, **{"deadline-us": 50_000, "aim-us": 25_000}) for one in EFFECTS], {}),
        ([a_class(one, **{"deadline-us": 60_000_000, "aim-us": 30_000_000}) for one in EFFECTS], {}),
    ],
    ids=["safe", "keyed", "unsafe", "all-unsafe", "tenants", "no-tenants", "one-attempt", "50-ms", "60-s"],
)
@on_loop
async def test_nothing_is_lost_or_repeated_against_its_class(
    classes: list[dict[str, Any]], more: dict[str, Any]
) -> None:
    """Endpoints of which some break off, one turns away and one hangs where a time-out is soon."""

    async def not_run(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")

    short = classes[0]["deadline-us"] < 1_000_000
    handlers = [serve_ok, serve_ok, break_off, not_run, hold if short else serve_ok]
    endpoints = [Endpoint(handler) for handler in handlers]
    async with run_sidecar(*endpoints) as one:
        retuned(one, *classes, **more)
        asked, effects = [], {}
        for n, entry in enumerate(itertools.islice(itertools.cycle(classes), 60)):
            rid, effect = f"r{n}", entry["repeat"]
            effects[rid] = effect
            raw = http_request(NAMES[effect], rid=rid, headers=f"X-Tenant: t-{n * 7 % 210}\r\n")
            name = entry["name"]
            raw = raw.replace(f"/{NAMES[effect]}?".encode(), f"/{name}?".encode())
            raw = raw.replace(f"X-Class: {NAMES[effect]}\r\n".encode(), f"X-Class: {name}\r\n".encode())
            raw = raw.replace(
                b"X-Deadline-Ms: 4000\r\n", b"X-Deadline-Ms: %d\r\n" % (entry["deadline-us"] // 1000)
            )
            asked.append(one.send(raw))
        backs = await asyncio.gather(*asked)
        assert {back.start_line.split()[1] for back in backs} <= {"200", "502", "503", "504"}
        assert any(back.start_line.split()[1] == "200" for back in backs)
        runs: Counter[str] = Counter()
        for endpoint in endpoints:
            for message in endpoint.received:
                runs[message.headers["x-request-id"]] += endpoint.handler is not not_run
                assert int(message.headers["x-deadline-ms"]) <= classes[0]["deadline-us"] // 1000
        most = more.get("ceilings", {}).get("max-attempts", 3)
        for rid, count in runs.items():
            assert count <= (1 if effects[rid] == "fragile" else most)
        await settled(one)


@on_loop
async def test_an_id_is_remembered_for_as_long_as_its_request_may_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "REQUEST_ID_RETENTION_S", 0.05)
    endpoint = Endpoint(hold)
    async with run_sidecar(endpoint) as one:
        retuned(one, a_class("fragile", **{"deadline-us": 60_000_000}))
        _, writer = await one.connect()
        writer.write(http_request("pay", deadline_ms=60_000, rid="r1"))
        await endpoint.request_arrived.acquire()
        for _ in range(3):
            await asyncio.sleep(0.06)
            copy = await one.send(http_request("pay", deadline_ms=60_000, rid="r1"))
            assert copy.start_line.startswith("HTTP/1.1 409")
        assert len(endpoint.received) == 1
        writer.close()
        await settled(one)


@on_loop
async def test_ids_of_requests_past_their_time_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "REQUEST_ID_RETENTION_S", 0.05)
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        for n in range(40):
            await one.send(http_request("pay", deadline_ms=30 if n else 60_000, rid=f"r{n}"))
        await asyncio.sleep(0.2)
        await one.send(http_request("pay", rid="last"))
        assert set(one.server.request_ids) == {b"r0", b"last"}
        await settled(one)
