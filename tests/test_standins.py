"""The stand-in endpoint: reproducible draws from a seed, request counts, and its lease."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from tests.lab import Lab, Program
from woadyard.errors import ConfigError
from woadyard.standins import Behaviour, Manner, manner


def test_draws_are_reproducible_and_follow_the_manner() -> None:
    def draw(seed: int) -> list[Any]:
        behaviour = Behaviour(manner("bad"), seed, 0.0)
        return [
            (behaviour.draw_outcome(), behaviour.draw_service_time_s(1.0, "page", 0)) for _ in range(2_000)
        ]

    assert draw(3) == draw(3) != draw(4)
    shares = Counter(outcome for outcome, _ in draw(3))
    assert abs(shares["error"] / 2_000 - 0.3) < 0.03 and abs(shares["turned away"] / 2_000 - 0.1) < 0.03
    assert sum(service_s for _, service_s in draw(3)) / 2_000 == pytest.approx(0.005, rel=0.05)
    deterministic = Manner(spread=0.0, cold_ms=1_000, classes={"put": 2.0})
    behaviour = Behaviour(deterministic, 1, 0.0)
    cold, warm, put, full = (
        behaviour.draw_service_time_s(*arguments)
        for arguments in ((0.0, "page", 0), (2.0, "page", 0), (2.0, "put", 0), (2.0, "page", 16))
    )
    assert (cold, put, full) == pytest.approx((3 * warm, 2 * warm, 1.5 * warm))


@pytest.mark.parametrize("bad", [{"fails": 0.6, "hangs": 0.6}, {"at_once": 0}, {"fails": -0.1}, {"speed": 1}])
def test_an_invalid_manner_is_rejected(bad: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        manner("small", **bad)


async def test_responses_follow_the_protocol_and_the_counts_are_served(lab: Lab) -> None:
    endpoint = await lab.stand_in("s-0", at_once=1, queue=0, service_ms=300.0, spread=0.0)

    async def send(request_id: str, **headers: str) -> int:
        return (
            await lab.call(endpoint.port, "GET", "/page", **{"X-Request-Id": request_id}, **headers)
        ).status

    first = asyncio.ensure_future(send("a", **{"X-Acted-On": "l.1"}))
    while not endpoint.in_flight:
        await asyncio.sleep(0.01)
    response = await lab.call(endpoint.port, "GET", "/page", **{"X-Request-Id": "b", "X-Acted-On": "l.1"})
    assert response.status == 503 and response.headers["X-Not-Run"] == "1", "its queue is full"
    assert await first == 200 and (await lab.call(endpoint.port, "GET", "/page")).status == 404
    endpoint.set_manner(manner("small", fails=1.0))
    assert await send("a", **{"X-Acted-On": "l.2"}) == 500
    endpoint.set_manner(manner("small", resets=1.0))
    resetting = await lab.sidecar("n1", [endpoint.entry()])
    assert (await resetting.request(rid="c", cls="pay")).start_line.split()[1] == "502"
    counts = (await lab.call(endpoint.port, "GET", "/_counts")).json
    assert counts["attempts"] == 4 and counts["ids"] == 3
    assert counts["headers"]["X-Acted-On"] == {"l.1": 2, "l.2": 1}
    assert counts["outcomes"] == {"served": 1, "turned away": 1, "error": 1, "resets": 1}


async def test_the_lease_is_renewed_and_the_endpoint_drains_before_unregistering(lab: Lab) -> None:
    service = await lab.service()
    arguments = ["woadyard.standins", "endpoint", "--name", "s-7", "--kind", "slow", "--ttl-ms", "1000"]
    program = lab.run(
        Program("s-7", lab.folder, [*arguments, "--discovery", f"127.0.0.1:{service.port}"], {})
    )
    await program.wait_logged("listening")

    async def listed_entries() -> list[Any]:
        return list((await lab.call(service.port, "GET", "/registry/instances")).json["instances"])

    while not await listed_entries():
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)  # longer than the lease
    assert (await listed_entries())[0]["lifecycle"] == "ready"
    await lab.restart(service)  # the registration survives a restart of the service
    program.signal_process()
    assert await program.wait_exit() == 0 and not await listed_entries()
