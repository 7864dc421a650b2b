"""The run-time checks see what a guard let through, and nothing where the rules are kept."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    on_loop,
    run_sidecar,
)
from woadyard.interface import FULL, RESET
from woadyard.net.endpoint_table import MAX_STALL_US
from woadyard.net.invariants import TIME_SLACK_US, Rule
from woadyard.net.message import Attempt, Call

MS = 1_000


def call_of(one: Sidecar, cls: str, **parts: Any) -> Call:
    now = one.driver.now()
    number = one.driver.names.classes[cls]
    parts = {"expires_us": now + 4_000 * MS, "timeout_us": 4_000 * MS, **parts}
    return Call(client=Mock(), method_and_target=b"POST /", header_lines=b"", body=b"", cls=number, **parts)


def attempt_of(one: Sidecar, call: Call, **changes: Any) -> Attempt:
    endpoint = next(iter(one.driver.endpoints_by_number))
    attempt = Attempt(call, len(call.attempts), endpoint, one.driver.now(), call.expires_us)
    for name, value in changes.items():
        setattr(attempt, name, value)
    call.attempts.append(attempt)
    return attempt


@on_loop
async def test_ordinary_requests_violate_nothing() -> None:
    async def turn_away_once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            http_response(503, b"", "X-Not-Run: 1\r\n") if len(endpoint.received) == 1 else http_response()
        )

    first, second = Endpoint(turn_away_once), Endpoint()
    async with run_sidecar(first, second) as one:
        for n, cls in enumerate(("page", "put", "pay") * 5):
            await one.send(http_request(cls, b"x" if cls != "page" else b"", rid=f"r{n}"))
        assert not one.driver.attempts.invariants.counts


@on_loop
async def test_a_send_past_the_grace_or_the_lease_is_counted() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        checks, now = one.driver.attempts.invariants, one.driver.now()
        attempt = attempt_of(one, call_of(one, "page"))
        checks.check_written(attempt, now)
        assert not checks.counts
        checks.check_written(attempt_of(one, call_of(one, "page"), start_by_us=now), now + TIME_SLACK_US + 1)
        assert checks.counts == {Rule.SEND: 1}
        place = one.driver.endpoints_by_number[attempt.endpoint]
        place.removed_at_us = now
        grace = one.driver.in_force.drain_grace_us
        checks.check_written(attempt, now + grace)
        assert checks.counts == {Rule.SEND: 1}
        checks.check_written(attempt, now + grace + TIME_SLACK_US)
        assert checks.counts == {Rule.SEND: 2}


@pytest.mark.parametrize(
    ("cls", "outcome", "wrote", "late_ms", "violated"),
    [
        ("page", RESET, True, 0, False),
        ("pay", RESET, True, 0, True),
        ("pay", FULL, True, 0, False),
        ("pay", RESET, False, 0, False),
        ("put", RESET, True, 0, False),
        ("put", RESET, True, 5_051, True),
    ],
)
@on_loop
async def test_a_repeat_that_the_rules_forbid_is_counted(
    cls: str, outcome: int, wrote: bool, late_ms: int, violated: bool
) -> None:
    async with run_sidecar(Endpoint()) as one:
        checks, call = one.driver.attempts.invariants, call_of(one, cls, expires_us=10**18)
        attempt_of(one, call, in_flight=False, outcome=outcome, was_written=wrote)
        second = attempt_of(one, call)
        checks.check_written(second, one.driver.now() + late_ms * MS)
        assert checks.counts == ({Rule.REPEAT: 1} if violated else {})


@on_loop
async def test_more_time_than_is_left_and_an_answered_request_are_counted() -> None:
    async with run_sidecar(Endpoint()) as one:
        checks, call = one.driver.attempts.invariants, call_of(one, "page")
        checks.check_written(
            attempt_of(one, call, timeout_at_us=call.expires_us + 151 * MS), one.driver.now()
        )
        assert checks.counts == {Rule.START: 1}
        call.is_open = False
        checks.check_written(attempt_of(one, call), one.driver.now())
        assert checks.counts == {Rule.START: 2}


@pytest.mark.parametrize("how", ["close_connection", "abort_connection"])
@on_loop
async def test_an_end_before_the_answer_is_counted_where_the_client_is_there(how: str) -> None:
    async def never(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        pass

    endpoint = Endpoint(never)
    async with run_sidecar(endpoint) as one:
        _, writer = await one.connect()
        writer.write(http_request())
        await endpoint.request_arrived.acquire()
        (caller,) = one.server.connections
        getattr(one.server, how)(caller)
        assert one.driver.attempts.invariants.counts == {Rule.CLOSE: 1}
        writer.close()


@on_loop
async def test_nothing_new_starts_in_the_part_of_the_grace_that_a_hold_up_may_take() -> None:
    async with run_sidecar(Endpoint()) as one:
        listing = one.driver.listed_endpoints
        number, place = next(iter(listing.by_number.items()))
        place.removed_at_us, grace = 0, one.driver.in_force.drain_grace_us
        assert listing.may_start(number, grace - MAX_STALL_US - 1)
        assert not listing.may_start(number, grace - MAX_STALL_US)
        assert listing.may_have_started(number, grace - 1) and not listing.may_have_started(number, grace)
