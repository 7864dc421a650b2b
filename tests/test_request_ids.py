"""The ids of requests that may have run, in one process and in two that share them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.lab import Lab
from tests.sockets import Endpoint, Message, Writer, http_request, http_response
from woadyard.net.request_ids import ENTRY_COUNT, MAX_RUNNING_US, RETENTION_US, SET_SIZE, RequestIds

NOW = 10**12


def test_an_id_is_remembered_while_it_runs_and_for_a_while_after_its_end() -> None:
    ids = RequestIds()
    assert ids.claim(b"a", NOW) and not ids.claim(b"a", NOW + RETENTION_US)
    ids.keep(b"a", NOW, expires_us=NOW)
    assert not ids.claim(b"a", NOW + RETENTION_US - 1) and ids.claim(b"a", NOW + RETENTION_US)
    ids.release(b"a", NOW + RETENTION_US)
    assert ids.claim(b"a", NOW + RETENTION_US), "it never ran"
    ids.keep(b"a", NOW, expires_us=NOW + 10**18)
    assert ids.is_known(b"a", NOW + MAX_RUNNING_US - 1) and not ids.is_known(b"a", NOW + MAX_RUNNING_US)


def test_what_is_forgotten_first_makes_room_and_running_requests_stay() -> None:
    ids = RequestIds(SET_SIZE)
    ids.claim(b"running", NOW)
    for n in range(100):
        ids.claim(b"%d" % n, NOW + n)
        ids.keep(b"%d" % n, NOW + n, 0)
    assert ids.is_known(b"running", NOW + 100)
    assert [n for n in range(100) if ids.is_known(b"%d" % n, NOW + 100)] == list(range(93, 100))


def test_times_of_before_the_systems_last_start_count_for_nothing(tmp_path: Path) -> None:
    before, after = RequestIds(), RequestIds()
    before.share(tmp_path / "ids")
    before.claim(b"a", NOW)
    after.share(tmp_path / "ids")
    assert after.claim(b"a", 5_000_000)


def test_a_table_of_another_size_or_a_missing_folder_stops_nothing(tmp_path: Path) -> None:
    (tmp_path / "ids").write_bytes(b"x" * 5)
    for path in (tmp_path / "ids", tmp_path / "missing" / "ids", tmp_path):
        ids = RequestIds()
        ids.share(path)
        assert ids.claim(b"a", NOW) and not ids.claim(b"a", NOW)
    assert (tmp_path / "ids").stat().st_size == 16 * ENTRY_COUNT


async def test_an_id_runs_once_in_the_two_processes_of_an_upgrade(lab: Lab) -> None:
    """Guards against ids that only the process remembers that received them first."""
    release = asyncio.Event()

    async def respond_when_released(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        if message.headers["x-request-id"] == "left":
            await release.wait()
        writer.write(http_response())

    endpoint = await lab.endpoint(respond_when_released)
    environ = {"TMPDIR": str(lab.folder), "LB_NAME": "n1"}
    old = await lab.sidecar("old", [endpoint], environ=environ)
    new = await lab.sidecar("new", [endpoint], environ=environ)
    assert (await old.request(cls="pay", rid="served")).body == b"ok"
    _, writer = await asyncio.open_connection("127.0.0.1", old.port)
    writer.write(http_request("pay", rid="left"))
    for _ in range(2):
        await endpoint.request_arrived.acquire()
    writer.close()
    for rid in ("served", "left"):
        again = await new.request(cls="pay", rid=rid)
        assert again.start_line.split()[1] == "409"
    assert (await new.request(cls="pay", rid="fresh")).body == b"ok"
    assert [message.headers["x-request-id"] for message in endpoint.received] == ["served", "left", "fresh"]
    release.set()
