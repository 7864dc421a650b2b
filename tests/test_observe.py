"""What an observer is told of a real sidecar, and what may be asked of the driver from outside."""

from __future__ import annotations

from typing import Any

import pytest

from tests.sockets import LARGE, SETTINGS, Endpoint, Message, Writer, answer, request, run, sidecar
from woadyard.interface import LIST_FULL, OK, Arrival, Outcome, Send, Settings
from woadyard.net.observe import Observers
from woadyard.net.state import endpoint_number


class Notes:
    """All that it is told, by name."""

    def __init__(self, header: bytes = b"") -> None:
        self.header = header
        self.told: list[tuple[Any, ...]] = []

    def taken(self, now: int, event: Arrival) -> None:
        self.told.append(("taken", event.request))

    def sent(self, now: int, action: Send) -> bytes:
        self.told.append(("sent", action.request, action.endpoint))
        return self.header

    def ended(self, now: int, event: Outcome) -> None:
        self.told.append(("ended", event.request, event.outcome))

    def answered(self, now: int, request: int, status: int) -> None:
        self.told.append(("answered", request, status))

    def refused(self, now: int, request: int) -> None:
        self.told.append(("refused", request))

    def listed(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self.told.append(("listed", mode, version, len(raw)))

    def retuned(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self.told.append(("retuned", settings.max_attempts, len(raw["classes"])))


def test_an_observer_hears_each_step_and_adds_its_header() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            first, second = Notes(b"X-Acted-On: 7\r\n"), Notes(b"X-Other: 1\r\n")
            one.driver.observer = Observers(first, second)
            one.driver.retune(SETTINGS, one.driver.settings)
            one.told(endpoint.entry("s-0"))
            assert (await one.ask(request())).body == b"ok"
            (got,) = endpoint.got
            assert (got.headers["x-acted-on"], got.headers["x-other"]) == ("7", "1")
            one.told()
            assert (await one.ask(request(rid="r2"))).start.split()[1] == "503"
            assert first.told == second.told
            assert first.told == [
                ("retuned", 3, 3), ("listed", LIST_FULL, 1, 1), ("taken", 1),
                ("sent", 1, endpoint_number("s-0")), ("answered", 1, 200), ("ended", 1, OK),
                ("listed", LIST_FULL, 1, 0), ("taken", 2), ("refused", 2), ("answered", 2, 503),
            ]  # fmt: skip

    run(main())


def test_a_large_answer_and_a_caller_that_leaves_are_told_once() -> None:
    async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "r1":
            writer.write(answer(body=LARGE))

    async def main() -> None:
        endpoint = Endpoint(large)
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
            one.driver.observer = notes = Notes()
            assert (await one.ask(request())).body == LARGE
            _, writer = await one.connect()
            writer.write(request(rid="r2"))
            while len(endpoint.got) < 2:
                await endpoint.arrived.acquire()
            writer.close()
            await endpoint.closed.acquire()
            answers = [told for told in notes.told if told[0] == "answered"]
            assert answers == [("answered", 1, 200), ("answered", 2, 0)]

    run(main())


def test_a_plans_weights_move_traffic_and_last_over_lists() -> None:
    async def main() -> None:
        light, heavy = Endpoint(), Endpoint()
        async with sidecar(light, heavy) as one:
            one.driver.weigh({"s-0": 0.1, "s-1": 1.0, "unknown": 0.5})
            one.told(light.entry("s-0"), heavy.entry("s-1"))
            assert one.driver.balancer.endpoints[endpoint_number("s-0")].verdict_factor == 0.1
            assert one.driver.balancer.endpoints[endpoint_number("s-1")].verdict_factor == 1.0
            one.driver.weigh({})
            assert one.driver.balancer.endpoints[endpoint_number("s-0")].verdict_factor == 1.0

    run(main())


@pytest.mark.parametrize("body", [b"sum", LARGE], ids=["held", "passed on"])
def test_a_sidecar_shut_out_turns_new_requests_away_and_finishes_the_others(body: bytes) -> None:
    async def main() -> None:
        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            one.server.is_shut_out = True
            writer.write(answer())

        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            assert (await one.ask(request("pay", b"first"))).body == b"ok"
            back = await one.ask(request("pay", body, rid="r2"))
            assert (back.start.split()[1], back.headers["retry-after"]) == ("503", "1")
            back = await one.ask(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert back.start.split()[1] == "503"
            one.server.is_shut_out = False
            assert (await one.ask(request("pay", rid="r3"))).body == b"ok"
            assert len(endpoint.got) == 2

    run(main())
