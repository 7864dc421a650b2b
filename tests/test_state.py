"""What operators took out: kept over restarts, and shared by two processes."""

from __future__ import annotations

from pathlib import Path

import pytest

from woadyard.net.state import Bans, ProcessSlots, endpoint_number


class Told(list[tuple[int, bool]]):
    def __call__(self, number: int, out: bool) -> None:
        self.append((number, out))


def test_a_ban_binds_both_processes_and_one_call_ends_it(tmp_path: Path) -> None:
    told = Told()
    old, new = Bans(tmp_path / "s.json", Told()), Bans(tmp_path / "s.json", told)
    old.add_listed(["s-1", "s-2"])
    assert old.detach("s-1") and old.detach("s-1")
    new.sync()
    assert new.banned_numbers == {endpoint_number("s-1")} and told == [(endpoint_number("s-1"), True)]
    assert new.attach("s-1"), "what one process saw listed the other knows"
    old.sync()
    assert not old.banned_numbers and not new.banned_numbers


def test_what_was_never_listed_gets_a_no_and_changes_nothing(tmp_path: Path) -> None:
    bans = Bans(tmp_path / "s.json", Told())
    assert not bans.detach("s-1") and not bans.attach("s-1") and not bans.banned_numbers


def test_bans_and_names_outlive_the_process(tmp_path: Path) -> None:
    old = Bans(tmp_path / "s.json", Told())
    old.add_listed(["s-1", "s-2"])
    old.detach("s-1")
    told = Told()
    new = Bans(tmp_path / "s.json", told)
    assert told == [(endpoint_number("s-1"), True)] and new.detach("s-2")


@pytest.mark.parametrize(
    "raw", [b"", b"{", b"[]", b'{"banned": 5, "listed": []}', b"\xff", b'{"banned": [1]}']
)
def test_a_damaged_file_stops_nothing_and_is_mended(tmp_path: Path, raw: bytes) -> None:
    path = tmp_path / "s.json"
    path.write_bytes(raw)
    bans = Bans(path, Told())
    bans.add_listed(["s-1"])
    assert bans.detach("s-1")
    path.write_bytes(raw)
    bans.sync()
    assert bans.banned_numbers == {endpoint_number("s-1")}, "what is in memory holds"
    bans.add_listed(["s-2"])
    bans.sync()
    assert Bans(path, Told()).banned_numbers == bans.banned_numbers


def test_without_a_folder_bans_hold_in_memory(tmp_path: Path) -> None:
    for path in (None, tmp_path / "missing" / "s.json"):
        bans = Bans(path, Told())
        bans.add_listed(["s-1"])
        assert bans.detach("s-1") and bans.banned_numbers and bans.attach("s-1") and not bans.banned_numbers


def test_two_processes_know_of_each_other_while_both_live(tmp_path: Path) -> None:
    told: list[bool] = []
    first, second = (
        ProcessSlots(tmp_path / "s.json", told.append),
        ProcessSlots(tmp_path / "s.json", lambda alone: None),
    )
    first.poll()
    assert not told
    second.poll()
    first.poll()
    assert told == [False] and not second.is_alone
    assert second.lock_file is not None
    second.lock_file.close()  # it ended, whichever way
    first.poll()
    assert told == [False, True]
    ProcessSlots(tmp_path / "missing" / "s.json", told.append).poll()
    assert len(told) == 2, "no folder: each is on its own"
