"""The panic threshold on the list: which losses are held back, and when they are applied."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from tests.process import free_port, http_call, sidecar_environ, start_sidecar, wait_until_ready
from tests.sockets import Endpoint, http_request, read_message, run_test
from tests.test_registry import call_registry, start_registry
from tests.test_replicas import kill_processes
from woadyard.errors import PeerError
from woadyard.lists.service import INSTANCES_PATH
from woadyard.membership.shrink import LOSS_WINDOW_S, ShrinkGuard


def entry(n: int, lifecycle: str = "ready") -> dict[str, Any]:
    return {"instanceId": f"s-{n}", "lifecycle": lifecycle}


class GuardedList:
    """A guard with a manual clock, and the names of the ready endpoints that it passed on."""

    def __init__(self, max_loss_share: float, count: int = 10) -> None:
        self.now_s, self.names = 0.0, set[str]()
        self.guard = ShrinkGuard(max_loss_share, self.on_list, lambda: self.now_s)
        self.receive(True, *map(entry, range(count)))

    def on_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        names = {entry["instanceId"] for entry in entries if entry["lifecycle"] == "ready"}
        gone = {entry["instanceId"] for entry in entries} - names
        self.names = names if whole else (self.names | names) - gone

    def receive(self, whole: bool, *entries: dict[str, Any]) -> int:
        self.guard(1, whole, list(entries))
        return len(self.names)


def test_a_short_list_is_held_back_until_a_longer_one_comes() -> None:
    guarded = GuardedList(0.5)
    assert guarded.receive(True) == 10, "an empty list"
    assert guarded.receive(True, *map(entry, range(4))) == 10, "less than half"
    assert guarded.receive(False, entry(10)) == 11, "a new endpoint is used meanwhile"
    assert guarded.receive(True, *map(entry, range(8))) == 8, "a loss of half or less is applied"
    assert guarded.receive(False, entry(0, "gone")) == 7


def test_leases_that_expire_one_by_one_within_the_window_add_up() -> None:
    guarded = GuardedList(0.5)
    for n in range(9):
        guarded.now_s += 1.0
        guarded.receive(False, entry(n, "gone"))
    assert len(guarded.names) == 5, "half of ten are lost, no more within the window"
    guarded.now_s += LOSS_WINDOW_S
    assert guarded.receive(False, entry(3)) == 6, "a loss of four of five is still held back"
    slow = GuardedList(0.5)
    for n in range(9):
        slow.now_s += LOSS_WINDOW_S
        slow.receive(False, entry(n, "gone"))
    assert len(slow.names) == 1, "a slow decline is applied"


def test_a_draining_endpoint_does_not_count_as_lost() -> None:
    guarded = GuardedList(0.5)
    assert guarded.receive(False, *(entry(n, "draining") for n in range(9))) == 1
    assert guarded.receive(False, *(entry(n, "gone") for n in range(9))) == 1


def test_an_operator_accepts_losses_and_a_guard_that_is_off_holds_none() -> None:
    guarded = GuardedList(0.5)
    assert not guarded.guard.accept_losses()
    guarded.receive(True, entry(1))
    assert guarded.guard.accept_losses() and guarded.names == {"s-1"}
    assert GuardedList(1.0).receive(True) == 0
    guarded = GuardedList(0.5)
    guarded.receive(True, entry(1))
    guarded.guard.set_max_loss_share(1.0)
    assert guarded.names == {"s-1"}, "switching the guard off applies the losses too"


@pytest.mark.parametrize("bad", [{"instanceId": "s-1"}, 7, {"lifecycle": "ready", "instanceId": []}])
def test_a_list_with_an_invalid_entry_changes_nothing(bad: Any) -> None:
    guarded = GuardedList(0.5)
    with pytest.raises(PeerError):
        guarded.receive(True, entry(1), bad)
    assert len(guarded.names) == 10 and guarded.receive(False, entry(1, "gone")) == 9


def test_a_sidecar_keeps_serving_after_all_leases_expire_until_an_operator_accepts(tmp_path: Path) -> None:
    async def main() -> None:
        endpoint, registry_port = Endpoint(), free_port()
        registry = await start_registry(tmp_path / "r", registry_port)
        async with await endpoint.start():

            async def renew_leases(ttl_ms: int) -> None:
                for n in range(3):
                    body = json.dumps(endpoint.entry(f"s-{n}")).encode()
                    assert (
                        await call_registry(
                            registry_port, "PUT", f"{INSTANCES_PATH}/s-{n}?ttl_ms={ttl_ms}", body
                        )
                    )[0] == 200

            await renew_leases(60_000)
            port, admin_port = free_port(), free_port()
            environ = sidecar_environ(tmp_path, endpoint, known=None, **{"list-shrink-most": 0.5})
            process = await start_sidecar(
                {**environ, "LB_LISTEN": f"127.0.0.1:{port}", "LB_CONSOLE": f"127.0.0.1:{admin_port}",
                 "LB_DISCOVERY": f"127.0.0.1:{registry_port}"}
            )  # fmt: skip
            await wait_until_ready(admin_port)

            async def wait_for_metric(line: str) -> None:
                while line not in (await http_call(admin_port, "GET", "/_metrics")).body.decode():
                    await asyncio.sleep(0.02)

            async def status(rid: str) -> str:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(http_request(rid=rid, deadline_ms=300))
                response = await read_message(reader)
                writer.close()
                return response.start_line.split()[1]

            await wait_for_metric("woadyard_list_version 3.0")
            await renew_leases(1)
            while (listing := (await call_registry(registry_port, "GET", INSTANCES_PATH))[1])["instances"]:
                await asyncio.sleep(0.02)
            await wait_for_metric(f"woadyard_list_version {listing['generation']}.0")
            assert await status("r1") == "200"
            response = await http_call(admin_port, "POST", "/_list/accept")
            assert response.start_line.split()[1] == "200" and b"no longer held back: " in response.body
            await wait_for_metric("woadyard_list_held 0.0")
            assert await status("r2") != "200", "the operator accepted the empty list"
            assert (await http_call(admin_port, "POST", "/_list/accept")).start_line.split()[1] == "409"
        await kill_processes(registry, process)

    run_test(main())
