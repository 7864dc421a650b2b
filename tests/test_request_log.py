"""Log lines that tell, by request id, why an attempt, a request or a client connection ended."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    run_sidecar,
    wait_until,
)
from woadyard.interface import EndReason


async def begin_and_stop(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n2 of")


async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(http_response(500))


def lines(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, Any]]:
    return [vars(record) for record in caplog.records if record.getMessage() == event]


@on_loop
async def run_request(request: bytes, *endpoints: Endpoint) -> None:
    async with run_sidecar(*endpoints) as proxy:
        await proxy.send(request)
        _, writer = await proxy.connect()
        proxy.server.stop(lambda: None)
        proxy.server._begin_draining()
        writer.close()


def test_a_deadline_is_logged_with_what_had_come_of_the_response(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a cut-off response of which no log tells how much had come, and when.
    caplog.set_level(logging.DEBUG, "woadyard")
    run_request(http_request("pay", deadline_ms=100, rid="late"), Endpoint(begin_and_stop))
    (attempt,) = lines(caplog, "attempt ended: timeout")
    expected = {"request": "late", "class": "pay", "status": 200, "framing": "length", "streamed": False}
    assert {key: attempt[key] for key in expected} == expected
    assert attempt["body_bytes"] == 4 and attempt["written"]
    (request,) = lines(caplog, "request failed")
    assert (request["request"], request["status"], request["why"]) == ("late", 504, "its deadline has passed")
    assert lines(caplog, "client connection closed")


def test_repeated_attempts_and_refusals_are_logged_with_their_reasons(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against retries and refusals that leave no trace.
    caplog.set_level(logging.INFO, "woadyard")
    run_request(http_request("page", rid="again"), Endpoint(fail), Endpoint(fail))
    repeated = lines(caplog, "request attempted again")
    assert repeated and all((each["request"], each["after"]) == ("again", "error") for each in repeated)
    (refused,) = lines(caplog, "request refused")
    assert (refused["request"], refused["why"]) == ("again", EndReason.NO_ENDPOINT)


@on_loop
async def flood_and_leave(requests: int) -> None:
    async with run_sidecar() as proxy:
        proxy.server.timeouts.linger_s = 0.02
        for _ in range(requests):
            reader, writer = await proxy.connect()
            writer.write(b"NOT HTTP AT ALL\r\n\r\n")
            await reader.read()
            writer.close()
        await wait_until(lambda: not proxy.server.connections)
        await asyncio.sleep(2 * proxy.server.timeouts.linger_s)


def test_a_rejected_client_that_has_left_is_not_logged_again(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a line for a connection that is long gone, beside that of its rejected request.
    caplog.set_level(logging.INFO, "woadyard")
    flood_and_leave(3)
    assert len(lines(caplog, "request rejected")) == 3
    assert not lines(caplog, "client connection closed")
