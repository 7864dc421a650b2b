"""Valid and invalid requests of clients, over loopback sockets."""

from __future__ import annotations

import pytest

from tests.sockets import (
    Endpoint,
    http_request,
    on_loop,
    read_message,
    run_sidecar,
)
from woadyard.net.request_ids import RETENTION_US


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
async def test_an_invalid_request_gets_a_plain_4xx_and_the_connection_is_closed(
    raw: bytes, expected: str
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(raw)
        response = await read_message(reader)
        assert response.start_line.split()[1] == expected and response.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        assert (await proxy.send(http_request())).body == b"ok"
        assert len(endpoint.received) == 1


@on_loop
async def test_a_request_id_is_accepted_once() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        assert (await proxy.send(http_request("pay", b"sum"))).body == b"ok"
        for duplicate in (
            http_request("pay", b"sum"),
            http_request(),
            http_request("pay", headers="X-Retry: 1\r\n"),
        ):
            assert (await proxy.send(duplicate)).start_line.split()[1] == "409"
        assert len(endpoint.received) == 1
        now, ids = proxy.driver.now(), proxy.driver.requests.ids
        assert ids.is_known(b"r1", now + RETENTION_US // 2)
        assert not ids.is_known(b"r1", now + 2 * RETENTION_US), "forgotten after the retention time"


@on_loop
async def test_a_complete_request_before_a_malformed_one_is_served() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request() + b"nonsense\r\n\r\n")
        assert (await read_message(reader)).body == b"ok"
        assert await reader.read() == b""
        writer.close()


@on_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(b"".join(http_request(rid=f"r{n}") for n in range(20)))
        for _ in range(20):
            assert (await read_message(reader)).body == b"ok"
        assert [message.headers["x-request-id"] for message in endpoint.received] == [
            f"r{n}" for n in range(20)
        ]
        writer.close()


@on_loop
async def test_a_malformed_cost_hint_rejects_no_request() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        assert (await proxy.send(http_request(headers="X-Cost-Hint: 12.5e3\r\n"))).body == b"ok"


@on_loop
async def test_a_request_with_an_expired_deadline_is_not_forwarded() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        response = await proxy.send(http_request("pay", deadline_ms=0))
        assert response.start_line.split()[1] in ("503", "504")
        assert not endpoint.received and not proxy.driver.calls and not proxy.driver.balancer.requests
