"""Requests of callers, good and bad, over loopback sockets."""

from __future__ import annotations

import pytest

from tests.sockets import (
    Endpoint,
    http_request,
    on_loop,
    read_message,
    run_sidecar,
)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"nonsense\r\n\r\n", "400"),
        (http_request().replace(b"page", b"none"), "404"),
        (http_request("put").replace(b"Idempotency-Key", b"X-Nothing"), "400"),
        (http_request(deadline_ms=-5), "400"),
        (http_request("pay").replace(b"Content-Length: 0", b"Content-Length: 60000000"), "413"),
        (http_request(headers="X-Long: " + "x" * (70 * 1024) + "\r\n"), "431"),
        (http_request().replace(b"GET", b"DELETE"), "405"),
        (http_request().replace(b"GET", b"POST"), "405"),
        (http_request("pay").replace(b"POST", b"GET"), "405"),
        (http_request("pay", headers="Idempotency-Key: k1\r\n"), "400"),
        (http_request().replace(b"X-Class: page", b"X-Class: pay"), "400"),
        (http_request().replace(b"X-Request-Id: r1\r\n", b""), "400"),
        (http_request(rid=""), "400"),
        (http_request(rid="r" * 129), "400"),
        (http_request(headers="X-Request-Id: r2\r\n"), "400"),
    ],
    ids=[
        "nonsense",
        "class",
        "key",
        "deadline",
        "body",
        "head",
        "method",
        "unsafe-get",
        "safe-post",
        "unsafe-key",
        "other-class",
        "no-id",
        "empty-id",
        "long-id",
        "two-ids",
    ],
)
@on_loop
async def test_a_bad_request_gets_a_plain_4xx_and_the_connection_closed(raw: bytes, expected: str) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(raw)
        back = await read_message(reader)
        assert back.start_line.split()[1] == expected and back.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        assert (await one.send(http_request())).body == b"ok"
        assert len(endpoint.received) == 1


@on_loop
async def test_an_id_is_for_one_request() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        assert (await one.send(http_request("pay", b"sum"))).body == b"ok"
        for again in (
            http_request("pay", b"sum"),
            http_request(),
            http_request("pay", headers="X-Retry: 1\r\n"),
        ):
            assert (await one.send(again)).start_line.split()[1] == "409"
        assert len(endpoint.received) == 1
        one.server.request_ids[b"r1"] = one.driver.now() - 60_000_000, one.driver.now()
        assert (await one.send(http_request("pay", rid="r2"))).body == b"ok"
        assert list(one.server.request_ids) == [b"r2"], "forgotten after its time"


@on_loop
async def test_a_whole_request_before_a_bad_one_is_served() -> None:
    async with run_sidecar(Endpoint()) as one:
        reader, writer = await one.connect()
        writer.write(http_request() + b"nonsense\r\n\r\n")
        assert (await read_message(reader)).body == b"ok"
        assert await reader.read() == b""
        writer.close()


@on_loop
async def test_requests_sent_ahead_are_answered_in_turn() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(b"".join(http_request(rid=f"r{n}") for n in range(20)))
        for _ in range(20):
            assert (await read_message(reader)).body == b"ok"
        assert [message.headers["x-request-id"] for message in endpoint.received] == [
            f"r{n}" for n in range(20)
        ]
        writer.close()


@on_loop
async def test_an_unreadable_hint_refuses_nobody() -> None:
    async with run_sidecar(Endpoint()) as one:
        assert (await one.send(http_request(headers="X-Cost-Hint: 12.5e3\r\n"))).body == b"ok"


@on_loop
async def test_a_deadline_that_has_passed_sends_nothing() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        back = await one.send(http_request("pay", deadline_ms=0))
        assert back.start_line.split()[1] in ("503", "504")
        assert not endpoint.received and not one.driver.calls and not one.driver.balancer.requests
