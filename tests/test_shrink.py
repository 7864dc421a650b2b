"""The panic threshold on the list: what is held back, and how it is let go."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from tests.process import free_port, http_call, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import Endpoint, http_request, read_message, run_test
from tests.test_registry import ask, service
from tests.test_replicas import end
from woadyard.errors import PeerError
from woadyard.lists.service import PATH
from woadyard.membership.shrink import LOSS_WINDOW_S, ShrinkGuard


def entry(n: int, lifecycle: str = "ready") -> dict[str, Any]:
    return {"instanceId": f"s-{n}", "lifecycle": lifecycle}


class Held:
    """A guard on a clock set by hand, and the ready names that it passed on."""

    def __init__(self, most: float, count: int = 10) -> None:
        self.now, self.names = 0.0, set[str]()
        self.guard = ShrinkGuard(most, self.listen, lambda: self.now)
        self.told(True, *map(entry, range(count)))

    def listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        names = {one["instanceId"] for one in entries if one["lifecycle"] == "ready"}
        gone = {one["instanceId"] for one in entries} - names
        self.names = names if whole else (self.names | names) - gone

    def told(self, whole: bool, *entries: dict[str, Any]) -> int:
        self.guard(1, whole, list(entries))
        return len(self.names)


def test_a_short_list_is_held_back_until_it_comes_whole_again() -> None:
    held = Held(0.5)
    assert held.told(True) == 10, "an empty list"
    assert held.told(True, *map(entry, range(4))) == 10, "less than half"
    assert held.told(False, entry(10)) == 11, "what is new is used meanwhile"
    assert held.told(True, *map(entry, range(8))) == 8, "this one is believed"
    assert held.told(False, entry(0, "gone")) == 7


def test_leases_that_lapse_one_by_one_are_a_loss_at_once_too() -> None:
    held = Held(0.5)
    for n in range(9):
        held.now += 1.0
        held.told(False, entry(n, "gone"))
    assert len(held.names) == 5, "half of ten, and no more within the window"
    held.now += LOSS_WINDOW_S
    assert held.told(False, entry(3)) == 6, "four of five are still too many to believe"
    slow = Held(0.5)
    for n in range(9):
        slow.now += LOSS_WINDOW_S
        slow.told(False, entry(n, "gone"))
    assert len(slow.names) == 1, "a slow decline is believed"


def test_a_draining_endpoint_is_no_loss_and_leaves_at_once() -> None:
    held = Held(0.5)
    assert held.told(False, *(entry(n, "draining") for n in range(9))) == 1
    assert held.told(False, *(entry(n, "gone") for n in range(9))) == 1


def test_an_operators_word_lets_go_of_what_is_held_and_off_holds_nothing() -> None:
    held = Held(0.5)
    assert not held.guard.accept_losses()
    held.told(True, entry(1))
    assert held.guard.accept_losses() and held.names == {"s-1"}
    assert Held(1.0).told(True) == 0
    held = Held(0.5)
    held.told(True, entry(1))
    held.guard.set_max_loss_share(1.0)
    assert held.names == {"s-1"}, "turned off, it lets go as well"


@pytest.mark.parametrize("bad", [{"instanceId": "s-1"}, 7, {"lifecycle": "ready", "instanceId": []}])
def test_a_list_with_a_bad_entry_changes_nothing(bad: Any) -> None:
    held = Held(0.5)
    with pytest.raises(PeerError):
        held.told(True, entry(1), bad)
    assert len(held.names) == 10 and held.told(False, entry(1, "gone")) == 9


def test_a_sidecar_keeps_serving_while_all_leases_lapse_and_obeys_the_door(tmp_path: Path) -> None:
    async def main() -> None:
        endpoint, at = Endpoint(), free_port()
        registry = await service(tmp_path / "r", at)
        async with await endpoint.start():

            async def leases(ttl_ms: int) -> None:
                for n in range(3):
                    body = json.dumps(endpoint.entry(f"s-{n}")).encode()
                    assert (await ask(at, "PUT", f"{PATH}/s-{n}?ttl_ms={ttl_ms}", body))[0] == 200

            await leases(60_000)
            port, door = free_port(), free_port()
            environ = sidecar_environ(tmp_path, endpoint, known=None, **{"list-shrink-most": 0.5})
            process = await start_sidecar(
                {**environ, "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{door}",
                 "LB_DISCOVERY": f"127.0.0.1:{at}"}
            )  # fmt: skip
            await wait_until_ready(door)

            async def shown(line: str) -> None:
                while line not in (await http_call(door, "GET", "/_metrics")).body.decode():
                    await asyncio.sleep(0.02)

            async def status(rid: str) -> str:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request(rid=rid, deadline_ms=300))
                back = await read_message(reader)
                writer.close()
                return back.start_line.split()[1]

            await shown("woadyard_list_version 3.0")
            await leases(1)
            while (listing := (await ask(at, "GET", PATH))[1])["instances"]:
                await asyncio.sleep(0.02)
            await shown(f"woadyard_list_version {listing['generation']}.0")
            assert await status("r1") == "200"
            back = await http_call(door, "POST", "/_list/accept")
            assert back.start_line.split()[1] == "200" and b"let go" in back.body
            await shown("woadyard_list_held 0.0")
            assert await status("r2") != "200", "the list is empty, on an operator's word"
            assert (await http_call(door, "POST", "/_list/accept")).start_line.split()[1] == "409"
        await end(registry, process)

    run_test(main())
