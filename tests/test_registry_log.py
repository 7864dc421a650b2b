"""The list service's log and snapshots: what a restart recovers."""

from __future__ import annotations

import json
import logging
import os
import shutil
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.errors import LogEntryError
from woadyard.lists import EXPIRE, PUT, RENEW, EndpointListState
from woadyard.registry.log import Journal
from woadyard.registry.replicated_state import ReplicatedState
from woadyard.registry.state_machines import create_state_machines

NAMES = strategies.sampled_from(["s-1", "s-2", "s-3"])


def put_entry(name: str, at: int, ttl_us: int = 1_000, zone: str = "a") -> dict[str, Any]:
    entry = {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": zone, "lifecycle": "ready"}
    return {"op": PUT, "entry": entry, "ttl_us": ttl_us, "at": at}


OLD_FORMAT_FOLDER = Path(__file__).parent / "data" / "log-before-books"


def open_journal(folder: Path) -> tuple[Journal, ReplicatedState]:
    journal, state = Journal(folder), ReplicatedState(create_state_machines())
    journal.recover(state)
    return journal, state


def endpoint_list(state: ReplicatedState) -> EndpointListState:
    machine = state.state_machines["list"]
    assert isinstance(machine, EndpointListState)
    return machine


def copy_state(state: ReplicatedState) -> ReplicatedState:
    copied = ReplicatedState(create_state_machines())
    copied.load(json.loads(json.dumps(state.dump())))
    return copied


class RestartMachine(RuleBasedStateMachine):
    """Writes, snapshots, restarts and torn writes, compared with a state kept in memory.

    The expected state is given only the entries that were written completely."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp())
        self.journal, self.state = open_journal(self.folder)
        self.expected_state, self.snapshot_state = (
            ReplicatedState(create_state_machines()),
            ReplicatedState(create_state_machines()),
        )
        self.entries_since_snapshot: list[dict[str, Any]] = []  # written completely
        self.now_us = 0

    def teardown(self) -> None:
        shutil.rmtree(self.folder)

    def _write(self, entry: dict[str, Any]) -> None:
        try:
            self.expected_state.check(entry)
        except LogEntryError:
            with pytest.raises(LogEntryError):
                self.journal.append(self.state, entry)
            return
        assert self.journal.append(self.state, entry) == self.expected_state.apply(entry)
        self.entries_since_snapshot.append(entry)

    @rule(name=NAMES, zone=strategies.sampled_from("ab"), ttl=strategies.integers(1, 3_000))
    def register(self, name: str, zone: str, ttl: int) -> None:
        self._write(put_entry(name, self.now_us, ttl, zone))

    @rule(name=NAMES)
    def renew(self, name: str) -> None:
        self._write({"op": RENEW, "id": name, "at": self.now_us})

    @rule(step=strategies.integers(0, 2_000))
    def expire(self, step: int) -> None:
        self.now_us += step
        self._write({"op": EXPIRE, "at": self.now_us})

    @rule()
    def snapshot(self) -> None:
        self.journal.write_snapshot(self.state)
        self.snapshot_state, self.entries_since_snapshot = copy_state(self.expected_state), []

    @rule()
    def restart(self) -> None:
        self.journal, self.state = open_journal(self.folder)

    @rule(cut=strategies.integers(1, 8))
    def tear_last_write(self, cut: int) -> None:
        """Truncate the last write (a frame header alone has 8 bytes).

        It then never counted: the expected state is the snapshot and the writes before it."""
        if not self.entries_since_snapshot:
            return
        data = self.journal.log_path.read_bytes()
        self.journal.log_path.write_bytes(data[:-cut])
        self.journal, self.state = open_journal(self.folder)
        self.entries_since_snapshot.pop()
        self.expected_state = copy_state(self.snapshot_state)
        for entry in self.entries_since_snapshot:
            self.expected_state.apply(entry)

    @invariant()
    def recovered_list_equals_expected_list(self) -> None:
        assert endpoint_list(self.state).dump() == endpoint_list(self.expected_state).dump()


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


def test_corrupt_entry_ends_log_with_warning(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    journal, state = open_journal(tmp_path)
    journal.append(state, put_entry("s-1", 0))
    journal.append(state, put_entry("s-2", 0))
    data = bytearray(journal.log_path.read_bytes())
    data[-3] ^= 0xFF  # bit errors in the last entry's JSON
    journal.log_path.write_bytes(bytes(data))
    with caplog.at_level(logging.WARNING):
        recovered = endpoint_list(open_journal(tmp_path)[1])
    assert [entry["instanceId"] for entry in recovered.listing()["instances"]] == ["s-1"]
    assert recovered.version == 1 and "torn log record dropped" in caplog.messages


def test_full_disk_rejects_write_and_keeps_list(tmp_path: Path) -> None:
    journal, state = open_journal(tmp_path)
    journal.append(state, put_entry("s-1", 0))
    full = Path("/dev/full")
    if not full.exists():
        pytest.skip("no /dev/full here")
    journal.log_path.unlink()
    journal.log_path.symlink_to(full)
    with pytest.raises(OSError):
        journal.append(state, put_entry("s-2", 0))
    assert endpoint_list(state).version == 1 and list(endpoint_list(state).entries) == ["s-1"]


@pytest.mark.parametrize("torn", [0, 5])
def test_failed_write_does_not_hide_later_writes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, torn: int
) -> None:
    """The bytes of a failed write may be in the file, completely or in part."""
    journal, state = open_journal(tmp_path)
    journal.append(state, put_entry("s-1", 0))
    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", Mock(side_effect=OSError(28, "No space left on device")))
        with pytest.raises(OSError):
            journal.append(state, put_entry("s-2", 0))
    if torn:
        os.truncate(journal.log_path, journal.log_path.stat().st_size - torn)
    journal.append(state, put_entry("s-3", 0))
    assert (
        endpoint_list(open_journal(tmp_path)[1]).entries.keys()
        == endpoint_list(state).entries.keys()
        == {"s-1", "s-3"}
    )


def test_files_of_older_format_load_completely_and_accept_writes(tmp_path: Path) -> None:
    """The files are a snapshot and later entries, written before there were several state machines."""
    shutil.copytree(OLD_FORMAT_FOLDER, tmp_path, dirs_exist_ok=True)
    journal, state = open_journal(tmp_path)
    loaded_list = endpoint_list(state)
    assert (state.applied_index, state.lineage, state.term, loaded_list.version) == (
        9,
        "0badc0de0badc0de",
        0,
        4,
    )
    assert loaded_list.entries.keys() == {"s-0", "s-2"} and loaded_list.lease_expiries_us == {
        "s-0": 61004000,
        "s-2": 61003000,
    }
    assert state.state_machines["limits"].dump() == {
        "n2": [61004000, 60000000, 1, {"7": 0}], "n1": [61004000, 60000000, 2, {"7": 5}],
    }  # fmt: skip
    journal.append(state, {"op": "lead", "lineage": state.lineage, "term": 7, "at": 0})
    journal.append(state, {**put_entry("s-3", 0), "term": 7})
    journal.write_snapshot(state)
    assert open_journal(tmp_path)[1].dump() == copy_state(state).dump()


def test_unknown_state_machine_is_rejected_and_files_stay_unchanged(tmp_path: Path) -> None:
    journal, state = open_journal(tmp_path)
    with pytest.raises(LogEntryError) as raised:
        journal.append(state, {"book": "tides", "op": "rise", "at": 0})
    assert raised.value.remedy and not journal.log_path.exists()
    journal.append(state, put_entry("s-1", 0))
    dump = state.dump()
    journal.snapshot_path.write_text(json.dumps({**dump, "books": {**dump["books"], "tides": {}}}))
    before = journal.log_path.read_bytes()
    with pytest.raises(LogEntryError, match="tides"):
        open_journal(tmp_path)
    assert journal.log_path.read_bytes() == before


@pytest.mark.parametrize("term", [6, 8, "7", -1, True])
def test_entry_of_another_term_is_rejected(term: Any) -> None:
    state = ReplicatedState(create_state_machines())
    state.apply({"op": "lead", "lineage": "ab", "term": 7, "at": 0})
    before = state.dump()
    with pytest.raises(LogEntryError):
        state.apply({**put_entry("s-1", 0), "term": term})
    with pytest.raises(LogEntryError):
        state.apply({"op": "lead", "lineage": "ab", "term": 7, "at": 0})
    assert state.dump() == before
