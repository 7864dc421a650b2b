"""Events that a sidecar passes to its observers, and the driver's outside controls."""

from __future__ import annotations

from typing import Any

import pytest

from tests.sockets import (
    LARGE_BODY,
    SETTINGS,
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    run_sidecar,
    run_test,
)
from woadyard.interface import LIST_FULL, OK, Arrival, Outcome, Send, Settings
from woadyard.net.observers import ObserverGroup
from woadyard.net.state import endpoint_number


class EventRecorder:
    """An observer that records all events by name."""

    def __init__(self, header: bytes = b"") -> None:
        self.header = header
        self.events: list[tuple[Any, ...]] = []

    def request_accepted(self, now: int, event: Arrival) -> None:
        self.events.append(("taken", event.request))

    def attempt_started(self, now: int, action: Send) -> bytes:
        self.events.append(("sent", action.request, action.endpoint))
        return self.header

    def attempt_ended(self, now: int, event: Outcome) -> None:
        self.events.append(("ended", event.request, event.outcome))

    def request_answered(self, now: int, request: int, status: int) -> None:
        self.events.append(("answered", request, status))

    def request_refused(self, now: int, request: int) -> None:
        self.events.append(("refused", request))

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        self.events.append(("listed", mode, version, len(raw)))

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self.events.append(("retuned", settings.max_attempts, len(raw["classes"])))


def test_an_observer_receives_each_step_and_adds_its_header() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as sidecar:
            first, second = EventRecorder(b"X-Acted-On: 7\r\n"), EventRecorder(b"X-Other: 1\r\n")
            sidecar.driver.observer = ObserverGroup(first, second)
            sidecar.driver.apply_settings(SETTINGS, sidecar.driver.settings)
            sidecar.set_list(endpoint.entry("s-0"))
            assert (await sidecar.send(http_request())).body == b"ok"
            (received,) = endpoint.received
            assert (received.headers["x-acted-on"], received.headers["x-other"]) == ("7", "1")
            sidecar.set_list()
            assert (await sidecar.send(http_request(rid="r2"))).start_line.split()[1] == "503"
            assert first.events == second.events
            assert first.events == [
                ("retuned", 3, 3), ("listed", LIST_FULL, 1, 1), ("taken", 1),
                ("sent", 1, endpoint_number("s-0")), ("answered", 1, 200), ("ended", 1, OK),
                ("listed", LIST_FULL, 1, 0), ("taken", 2), ("refused", 2), ("answered", 2, 503),
            ]  # fmt: skip

    run_test(main())


def test_a_large_response_and_a_client_disconnect_are_reported_once() -> None:
    async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "r1":
            writer.write(http_response(body=LARGE_BODY))

    async def main() -> None:
        endpoint = Endpoint(large)
        async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as sidecar:
            sidecar.driver.observer = recorder = EventRecorder()
            assert (await sidecar.send(http_request())).body == LARGE_BODY
            _, writer = await sidecar.connect()
            writer.write(http_request(rid="r2"))
            while len(endpoint.received) < 2:
                await endpoint.request_arrived.acquire()
            writer.close()
            await endpoint.connection_closed.acquire()
            answered = [event for event in recorder.events if event[0] == "answered"]
            assert answered == [("answered", 1, 200), ("answered", 2, 0)]

    run_test(main())


def test_planned_weights_apply_to_later_lists_too() -> None:
    async def main() -> None:
        light, heavy = Endpoint(), Endpoint()
        async with run_sidecar(light, heavy) as sidecar:
            sidecar.driver.set_planned_weights({"s-0": 0.1, "s-1": 1.0, "unknown": 0.5})
            sidecar.set_list(light.entry("s-0"), heavy.entry("s-1"))
            assert sidecar.driver.balancer.endpoints[endpoint_number("s-0")].verdict_factor == 0.1
            assert sidecar.driver.balancer.endpoints[endpoint_number("s-1")].verdict_factor == 1.0
            sidecar.driver.set_planned_weights({})
            assert sidecar.driver.balancer.endpoints[endpoint_number("s-0")].verdict_factor == 1.0

    run_test(main())


@pytest.mark.parametrize("body", [b"sum", LARGE_BODY], ids=["held", "passed on"])
def test_a_shut_out_sidecar_rejects_new_requests_and_finishes_the_others(body: bytes) -> None:
    async def main() -> None:
        async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            sidecar.server.is_shut_out = True
            writer.write(http_response())

        endpoint = Endpoint(reply)
        async with run_sidecar(endpoint) as sidecar:
            assert (await sidecar.send(http_request("pay", b"first"))).body == b"ok"
            response = await sidecar.send(http_request("pay", body, rid="r2"))
            assert (response.start_line.split()[1], response.headers["retry-after"]) == ("503", "1")
            response = await sidecar.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert response.start_line.split()[1] == "503"
            sidecar.server.is_shut_out = False
            assert (await sidecar.send(http_request("pay", rid="r3"))).body == b"ok"
            assert len(endpoint.received) == 2

    run_test(main())
