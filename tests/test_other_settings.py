"""Settings of other deployments: other windows, scopes, effects, deadlines and tenants.

In each, requests that may have run are repeated only as their class allows, and none is lost.
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
from woadyard.net import request_ids
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.wire import read_settings

EFFECTS = ("retryable", "dedup", "fragile")
NAMES = {"retryable": "page", "dedup": "put", "fragile": "pay"}  # the class names in the tests' requests


def request_class(effect: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": NAMES[effect], "aim-us": 2_000_000, "deadline-us": 5_000_000, "repeat": effect,
        "dedup-scope": "all", "repeat-window-us": 60_000_000, **changes,
    }  # fmt: skip


def change_settings(
    proxy: Sidecar, *classes: dict[str, Any], ceilings: dict[str, Any] | None = None, **more: Any
) -> None:
    """Change the settings, as SIGHUP does once the file was checked."""
    raw = {
        **SETTINGS,
        "classes": list(classes),
        "ceilings": {**SETTINGS["ceilings"], **(ceilings or {})},
        **more,
    }
    proxy.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))


async def wait_until_settled(proxy: Sidecar) -> None:
    """Wait until no call is left, and no attempt in flight."""
    await wait_until(lambda: not proxy.driver.calls)
    assert all(not endpoint.inflight for endpoint in proxy.driver.balancer.endpoints.values())


async def close_without_response(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Close without a response: the request may have run."""
    writer.close()


async def never_respond(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Never respond, until the connection closes."""


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
@pytest.mark.parametrize("past_window", [False, True])
@on_loop
async def test_a_repeat_whose_connect_ends_past_its_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, scope: str, past_window: bool
) -> None:
    """The window applies when the repeat is written, not when it was decided."""
    may_connect, second = asyncio.Event(), Endpoint()
    original_connect = EndpointConnection._create_connection

    async def delayed_connect(link: EndpointConnection, host: str, port: int) -> None:
        if port == second.port:
            await may_connect.wait()
        await original_connect(link, host, port)

    async def move_and_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        proxy.set_list(second.entry("s-9"))  # the only endpoint left
        writer.close()

    monkeypatch.setattr(EndpointConnection, "_create_connection", delayed_connect)
    async with run_sidecar(first := Endpoint(move_and_close)) as proxy:
        listener = await second.start()
        window = 1_000_000 if past_window else 60_000_000
        change_settings(proxy, request_class("dedup", **{"dedup-scope": scope, "repeat-window-us": window}))
        pending_response = asyncio.create_task(proxy.send(http_request("put")))
        await first.request_arrived.acquire()
        ((_, call),) = proxy.driver.calls.items()
        await wait_until(lambda: pending_response.done() or len(call.attempts) == 2)
        if past_window:
            sent = call.attempts[0].sent_us if call.attempts else 0
            await asyncio.sleep(max(0.0, (sent + window - proxy.driver.now()) / 1e6) + 0.001)
        may_connect.set()
        response = await pending_response
        assert len(second.received) == (0 if past_window else 1)
        assert response.start_line.startswith("HTTP/1.1 200") is not past_window
        await wait_until_settled(proxy)
        listener.close()


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize(
    ("scope", "zone", "cell"), itertools.product(("all", "zone", "cell"), (0, 1), (1, 2))
)
@on_loop
async def test_a_request_that_may_have_run_is_repeated_only_within_its_scope(
    effect: str, scope: str, zone: int, cell: int
) -> None:
    zones, second = ["here", "there"], Endpoint()

    async def move_and_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        proxy.set_list(second.entry("s-9", zone=zones[zone], cell=cell))
        writer.close()

    async with run_sidecar(first := Endpoint(move_and_close)) as proxy:
        listener = await second.start()
        change_settings(proxy, request_class(effect, **{"dedup-scope": scope}), zones=zones)
        response = await proxy.send(http_request(NAMES[effect]))
        in_scope = {"all": True, "zone": zone == 0, "cell": cell == 1}[scope]
        may_repeat = effect == "retryable" or (effect == "dedup" and in_scope)
        assert (len(first.received), len(second.received)) == (1, int(may_repeat))
        assert response.start_line.startswith("HTTP/1.1 200") is may_repeat
        if may_repeat and effect == "dedup":
            assert (
                second.received[0].headers["idempotency-key"] == first.received[0].headers["idempotency-key"]
            )
        await wait_until_settled(proxy)
        listener.close()


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
@pytest.mark.parametrize("window_ms", [0, 1, 300])
@on_loop
async def test_nothing_is_repeated_past_a_short_window(scope: str, window_ms: int) -> None:
    async def close_late(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await asyncio.sleep(window_ms / 1000 + 0.01)
        writer.close()

    endpoints = [Endpoint(close_late) for _ in range(3)]
    async with run_sidecar(*endpoints) as proxy:
        change_settings(
            proxy, request_class("dedup", **{"dedup-scope": scope, "repeat-window-us": window_ms * 1000})
        )
        await proxy.send(http_request("put"))
        assert sum(len(endpoint.received) for endpoint in endpoints) == 1
        await wait_until_settled(proxy)


@pytest.mark.parametrize(("before", "after"), itertools.permutations(EFFECTS, 2))
@on_loop
async def test_a_changed_effect_applies_to_later_requests(before: str, after: str) -> None:
    endpoints = [Endpoint(close_without_response) for _ in range(3)]
    async with run_sidecar(*endpoints) as proxy:
        for n, effect in enumerate((before, after)):
            change_settings(proxy, request_class(effect, name="page"))
            method = b"GET" if effect == "retryable" else b"POST"
            length = b"" if effect == "retryable" else b"Content-Length: 0\r\n"
            key = b"Idempotency-Key: k\r\n" if effect == "dedup" else b""
            head = b"%b /page?obj=7 HTTP/1.1\r\nHost: b\r\nX-Request-Id: r%d\r\n%b%b\r\n"
            response = await proxy.send(head % (method, n, length, key))
            assert response.start_line.split()[1] in ("502", "503")
            if effect == "fragile":
                # A 503 would say that a retry is harmless.
                assert response.start_line.startswith(
                    "HTTP/1.1 502"
                )  # a 503 would say that a retry is harmless
        runs = Counter(
            message.headers["x-request-id"] for endpoint in endpoints for message in endpoint.received
        )
        for n, effect in enumerate((before, after)):
            assert 1 <= runs[f"r{n}"] <= (1 if effect == "fragile" else 3)
        await wait_until_settled(proxy)


ALL = [request_class(effect) for effect in EFFECTS]
TENANTS = [{"name": f"t-{n}", "allowance-per-s": 1.0 + n % 7} for n in range(200)]


@pytest.mark.parametrize(
    ("classes", "more"),
    [
        ([request_class("retryable")], {}),
        ([request_class("dedup")], {}),
        ([request_class("fragile")], {}),
        (
            [
                request_class("fragile"),
                request_class("fragile", name="put"),
                request_class("fragile", name="buy"),
            ],
            {},
        ),
        (ALL, {"accounts": TENANTS}),
        (ALL, {"accounts": []}),
        (ALL, {"ceilings": {"max-attempts": 1}}),
        ([request_class(repeat, **{"deadline-us": 50_000, "aim-us": 25_000}) for repeat in EFFECTS], {}),
        (
            [
                request_class(repeat, **{"deadline-us": 60_000_000, "aim-us": 30_000_000})
                for repeat in EFFECTS
            ],
            {},
        ),
    ],
    ids=["safe", "keyed", "unsafe", "all-unsafe", "tenants", "no-tenants", "one-attempt", "50-ms", "60-s"],
)
@on_loop
async def test_no_request_is_lost_or_repeated_against_its_class(
    classes: list[dict[str, Any]], more: dict[str, Any]
) -> None:
    """Some endpoints close without a response, one rejects, and one hangs where the deadline is short."""

    async def reject_without_running(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")

    has_short_deadline = classes[0]["deadline-us"] < 1_000_000
    handlers = [
        serve_ok,
        serve_ok,
        close_without_response,
        reject_without_running,
        never_respond if has_short_deadline else serve_ok,
    ]
    endpoints = [Endpoint(handler) for handler in handlers]
    async with run_sidecar(*endpoints) as proxy:
        change_settings(proxy, *classes, **more)
        pending_responses, effects = [], {}
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
            pending_responses.append(proxy.send(raw))
        responses = await asyncio.gather(*pending_responses)
        assert {response.start_line.split()[1] for response in responses} <= {"200", "502", "503", "504"}
        assert any(response.start_line.split()[1] == "200" for response in responses)
        runs: Counter[str] = Counter()
        for endpoint in endpoints:
            for message in endpoint.received:
                runs[message.headers["x-request-id"]] += endpoint.handler is not reject_without_running
                assert int(message.headers["x-deadline-ms"]) <= classes[0]["deadline-us"] // 1000
        max_attempts = more.get("ceilings", {}).get("max-attempts", 3)
        for rid, count in runs.items():
            assert count <= (1 if effects[rid] == "fragile" else max_attempts)
        await wait_until_settled(proxy)


@on_loop
async def test_a_request_id_is_remembered_for_as_long_as_its_request_may_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_ids, "RETENTION_US", 50_000)
    endpoint = Endpoint(never_respond)
    async with run_sidecar(endpoint) as proxy:
        change_settings(proxy, request_class("fragile", **{"deadline-us": 60_000_000}))
        _, writer = await proxy.connect()
        writer.write(http_request("pay", deadline_ms=60_000, rid="r1"))
        await endpoint.request_arrived.acquire()
        for _ in range(3):
            await asyncio.sleep(0.06)
            duplicate = await proxy.send(http_request("pay", deadline_ms=60_000, rid="r1"))
            assert duplicate.start_line.startswith("HTTP/1.1 409")
        assert len(endpoint.received) == 1
        writer.close()
        await wait_until_settled(proxy)


@on_loop
async def test_expired_request_ids_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_ids, "RETENTION_US", 50_000)
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        for n in range(40):
            await proxy.send(http_request("pay", deadline_ms=30 if n else 60_000, rid=f"r{n}"))
        await asyncio.sleep(0.2)
        await proxy.send(http_request("pay", rid="last"))
        now, ids = proxy.driver.now(), proxy.driver.requests.ids
        assert [n for n in range(40) if ids.is_known(b"r%d" % n, now)] == [0] and ids.is_known(b"last", now)
        await wait_until_settled(proxy)
