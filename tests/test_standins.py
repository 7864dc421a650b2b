"""The stand-in endpoint: its seed decides, it counts what it is sent, and keeps its lease."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from tests.lab import Lab, Program
from woadyard.errors import ConfigError
from woadyard.standins import Behaviour, EndpointProfile, endpoint_profile


def test_times_and_fates_are_the_seeds_and_follow_the_manner() -> None:
    def drawn(seed: int) -> list[Any]:
        made = Behaviour(endpoint_profile("bad"), seed, 0.0)
        return [(made.draw_outcome(), made.draw_service_time_s(1.0, "page", 0)) for _ in range(2_000)]

    assert drawn(3) == drawn(3) != drawn(4)
    shares = Counter(fate for fate, _ in drawn(3))
    assert abs(shares["error"] / 2_000 - 0.3) < 0.03 and abs(shares["turned away"] / 2_000 - 0.1) < 0.03
    assert sum(s for _, s in drawn(3)) / 2_000 == pytest.approx(0.005, rel=0.05)
    plain = EndpointProfile(spread=0.0, cold_ms=1_000, classes={"put": 2.0})
    made = Behaviour(plain, 1, 0.0)
    cold, warm, put, full = (
        made.draw_service_time_s(*of)
        for of in ((0.0, "page", 0), (2.0, "page", 0), (2.0, "put", 0), (2.0, "page", 16))
    )
    assert (cold, put, full) == pytest.approx((3 * warm, 2 * warm, 1.5 * warm))


@pytest.mark.parametrize("bad", [{"fails": 0.6, "hangs": 0.6}, {"at_once": 0}, {"fails": -0.1}, {"speed": 1}])
def test_a_manner_that_is_none_is_refused(bad: dict[str, Any]) -> None:
    with pytest.raises(ConfigError):
        endpoint_profile("small", **bad)


async def test_it_speaks_the_protocol_and_counts_from_outside(lab: Lab) -> None:
    one = await lab.stand_in("s-0", at_once=1, queue=0, service_ms=300.0, spread=0.0)

    async def ask(rid: str, **headers: str) -> int:
        return (await lab.call(one.port, "GET", "/page", **{"X-Request-Id": rid}, **headers)).status

    first = asyncio.ensure_future(ask("a", **{"X-Acted-On": "l.1"}))
    while not one.in_flight:
        await asyncio.sleep(0.01)
    back = await lab.call(one.port, "GET", "/page", **{"X-Request-Id": "b", "X-Acted-On": "l.1"})
    assert back.status == 503 and back.headers["X-Not-Run"] == "1", "its queue is full"
    assert await first == 200 and (await lab.call(one.port, "GET", "/page")).status == 404
    one.set_profile(endpoint_profile("small", fails=1.0))
    assert await ask("a", **{"X-Acted-On": "l.2"}) == 500
    one.set_profile(endpoint_profile("small", resets=1.0))
    reset = await lab.sidecar("n1", [one.entry()])
    assert (await reset.request(rid="c", cls="pay")).start_line.split()[1] == "502"
    told = (await lab.call(one.port, "GET", "/_counts")).json
    assert told["attempts"] == 4 and told["ids"] == 3
    assert told["headers"]["X-Acted-On"] == {"l.1": 2, "l.2": 1}
    assert told["outcomes"] == {"served": 1, "turned away": 1, "error": 1, "resets": 1}


async def test_its_lease_is_renewed_and_it_leaves_by_draining(lab: Lab) -> None:
    service = await lab.service()
    words = ["woadyard.standins", "endpoint", "--name", "s-7", "--kind", "slow", "--ttl-ms", "1000"]
    one = lab.run(Program("s-7", lab.folder, [*words, "--discovery", f"127.0.0.1:{service.port}"], {}))
    await one.wait_logged("listening")

    async def listed() -> list[Any]:
        return list((await lab.call(service.port, "GET", "/registry/instances")).json["instances"])

    while not await listed():
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)  # past its lease
    assert (await listed())[0]["lifecycle"] == "ready"
    await lab.restart(service)  # and over a restart of the service
    one.send_signal()
    assert await one.wait_exit() == 0 and not await listed()
