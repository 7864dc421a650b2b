"""State that outlives a process: detached endpoints, shared by two processes of a sidecar."""

from __future__ import annotations

from pathlib import Path

import pytest

from woadyard.net.state import Bans, ProcessSlots, endpoint_number


class RecordedChanges(list[tuple[int, bool]]):
    """A callback that keeps the changes of bans it was called with."""

    def __call__(self, number: int, is_banned: bool) -> None:
        self.append((number, is_banned))


def test_a_ban_applies_to_both_processes_and_either_can_lift_it(tmp_path: Path) -> None:
    changes = RecordedChanges()
    old, new = Bans(tmp_path / "s.json", RecordedChanges()), Bans(tmp_path / "s.json", changes)
    old.add_listed(["s-1", "s-2"])
    assert old.detach("s-1") and old.detach("s-1")
    new.sync()
    assert new.banned_numbers == {endpoint_number("s-1")} and changes == [(endpoint_number("s-1"), True)]
    assert new.attach("s-1"), "an instance that was listed to one process is known to the other"
    old.sync()
    assert not old.banned_numbers and not new.banned_numbers


def test_a_ban_is_kept_that_another_process_sets_at_the_same_moment(tmp_path: Path) -> None:
    """Guards against a file that is written by what was read before the other process wrote it."""
    old, new = (Bans(tmp_path / "s.json", RecordedChanges()) for _ in range(2))
    old.add_listed(["s-1", "s-2"])
    old.sync()
    new.sync()
    sync = old.sync

    def sync_before_the_other_writes() -> None:
        sync()
        new.detach("s-2")

    vars(old)["sync"] = sync_before_the_other_writes
    assert old.detach("s-1")
    del vars(old)["sync"]
    old.sync()
    new.sync()
    assert old.banned.keys() == new.banned.keys() == {"s-1", "s-2"}


def test_a_ban_that_could_not_be_saved_survives_what_another_process_writes(tmp_path: Path) -> None:
    """Guards against bans that are kept in memory only until the file changes."""
    old, new = (Bans(tmp_path / "s.json", RecordedChanges()) for _ in range(2))
    old.add_listed(["s-1", "s-2"])
    old.sync()
    (tmp_path / "s.new").mkdir()  # in the way of each write
    assert old.detach("s-1") and old.banned_numbers == {endpoint_number("s-1")}
    (tmp_path / "s.new").rmdir()
    assert new.detach("s-2")
    old.sync()
    new.sync()
    assert old.banned.keys() == new.banned.keys() == {"s-1", "s-2"}


def test_an_instance_that_was_never_listed_is_rejected(tmp_path: Path) -> None:
    bans = Bans(tmp_path / "s.json", RecordedChanges())
    assert not bans.detach("s-1") and not bans.attach("s-1") and not bans.banned_numbers


def test_bans_and_listed_names_outlive_the_process(tmp_path: Path) -> None:
    old = Bans(tmp_path / "s.json", RecordedChanges())
    old.add_listed(["s-1", "s-2"])
    old.detach("s-1")
    changes = RecordedChanges()
    new = Bans(tmp_path / "s.json", changes)
    assert changes == [(endpoint_number("s-1"), True)] and new.detach("s-2")


@pytest.mark.parametrize(
    "raw", [b"", b"{", b"[]", b'{"banned": 5, "listed": []}', b"\xff", b'{"banned": [1]}']
)
def test_a_damaged_file_is_ignored_and_replaced(tmp_path: Path, raw: bytes) -> None:
    path = tmp_path / "s.json"
    path.write_bytes(raw)
    bans = Bans(path, RecordedChanges())
    bans.add_listed(["s-1"])
    assert bans.detach("s-1")
    path.write_bytes(raw)
    bans.sync()
    assert bans.banned_numbers == {endpoint_number("s-1")}, "the state in memory stays in effect"
    bans.add_listed(["s-2"])
    bans.sync()
    assert Bans(path, RecordedChanges()).banned_numbers == bans.banned_numbers


def test_without_a_folder_bans_are_kept_in_memory(tmp_path: Path) -> None:
    for path in (None, tmp_path / "missing" / "s.json"):
        bans = Bans(path, RecordedChanges())
        bans.add_listed(["s-1"])
        assert bans.detach("s-1") and bans.banned_numbers and bans.attach("s-1") and not bans.banned_numbers


def test_two_processes_detect_each_other_while_both_run(tmp_path: Path) -> None:
    changes: list[bool] = []
    first, second = (
        ProcessSlots(tmp_path / "s.json", changes.append),
        ProcessSlots(tmp_path / "s.json", lambda is_alone: None),
    )
    first.poll()
    assert not changes
    second.poll()
    first.poll()
    assert changes == [False] and not second.is_alone
    assert second.lock_file is not None
    second.lock_file.close()  # as the end of the process does, however it ends
    first.poll()
    assert changes == [False, True]
    ProcessSlots(tmp_path / "missing" / "s.json", changes.append).poll()
    assert len(changes) == 2, "without a folder a process counts as alone"
