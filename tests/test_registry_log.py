"""The list service's log and snapshots: what a restart brings back."""

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


def put(name: str, at: int, ttl_us: int = 1_000, zone: str = "a") -> dict[str, Any]:
    entry = {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": zone, "lifecycle": "ready"}
    return {"op": PUT, "entry": entry, "ttl_us": ttl_us, "at": at}


OLD = Path(__file__).parent / "data" / "log-before-books"


def opened(folder: Path) -> tuple[Journal, ReplicatedState]:
    journal, host = Journal(folder), ReplicatedState(create_state_machines())
    journal.recover(host)
    return journal, host


def of(host: ReplicatedState) -> EndpointListState:
    found = host.state_machines["list"]
    assert isinstance(found, EndpointListState)
    return found


def copy(host: ReplicatedState) -> ReplicatedState:
    made = ReplicatedState(create_state_machines())
    made.load(json.loads(json.dumps(host.dump())))
    return made


class Restarts(RuleBasedStateMachine):
    """Writes, snapshots, kills and torn tails, against a host kept in memory
    that was told only what was written whole."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(tempfile.mkdtemp())
        self.journal, self.host = opened(self.folder)
        self.model, self.at_snapshot = (
            ReplicatedState(create_state_machines()),
            ReplicatedState(create_state_machines()),
        )
        self.since: list[dict[str, Any]] = []  # written whole since the snapshot
        self.now = 0

    def teardown(self) -> None:
        shutil.rmtree(self.folder)

    def _write(self, record: dict[str, Any]) -> None:
        try:
            self.model.check(record)
        except LogEntryError:
            with pytest.raises(LogEntryError):
                self.journal.append(self.host, record)
            return
        assert self.journal.append(self.host, record) == self.model.apply(record)
        self.since.append(record)

    @rule(name=NAMES, zone=strategies.sampled_from("ab"), ttl=strategies.integers(1, 3_000))
    def register(self, name: str, zone: str, ttl: int) -> None:
        self._write(put(name, self.now, ttl, zone))

    @rule(name=NAMES)
    def renew(self, name: str) -> None:
        self._write({"op": RENEW, "id": name, "at": self.now})

    @rule(step=strategies.integers(0, 2_000))
    def expire(self, step: int) -> None:
        self.now += step
        self._write({"op": EXPIRE, "at": self.now})

    @rule()
    def snapshot(self) -> None:
        self.journal.write_snapshot(self.host)
        self.at_snapshot, self.since = copy(self.model), []

    @rule()
    def killed(self) -> None:
        self.journal, self.host = opened(self.folder)

    @rule(cut=strategies.integers(1, 8))
    def torn(self, cut: int) -> None:
        """The last write cut short (a frame's head alone is 8 bytes): it never
        counted, so the model is the snapshot and the writes before it."""
        if not self.since:
            return
        data = self.journal.log_path.read_bytes()
        self.journal.log_path.write_bytes(data[:-cut])
        self.journal, self.host = opened(self.folder)
        self.since.pop()
        self.model = copy(self.at_snapshot)
        for record in self.since:
            self.model.apply(record)

    @invariant()
    def the_same_list_at_the_same_version(self) -> None:
        assert of(self.host).dump() == of(self.model).dump()


TestRestarts = Restarts.TestCase
TestRestarts.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)


def test_a_corrupt_record_ends_the_log_with_a_line(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    journal, host = opened(tmp_path)
    journal.append(host, put("s-1", 0))
    journal.append(host, put("s-2", 0))
    data = bytearray(journal.log_path.read_bytes())
    data[-3] ^= 0xFF  # a bit flipped in the last record's JSON
    journal.log_path.write_bytes(bytes(data))
    with caplog.at_level(logging.WARNING):
        again = of(opened(tmp_path)[1])
    assert [one["instanceId"] for one in again.listing()["instances"]] == ["s-1"]
    assert again.version == 1 and "torn log record dropped" in caplog.messages


def test_a_full_disk_refuses_the_write_and_keeps_the_list(tmp_path: Path) -> None:
    journal, host = opened(tmp_path)
    journal.append(host, put("s-1", 0))
    full = Path("/dev/full")
    if not full.exists():
        pytest.skip("no /dev/full here")
    journal.log_path.unlink()
    journal.log_path.symlink_to(full)
    with pytest.raises(OSError):
        journal.append(host, put("s-2", 0))
    assert of(host).version == 1 and list(of(host).entries) == ["s-1"]


@pytest.mark.parametrize("torn", [0, 5])
def test_a_write_the_disk_refused_hides_none_that_follow(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, torn: int
) -> None:
    """Its bytes may be in the file, whole or in part, with no word to the writer."""
    journal, host = opened(tmp_path)
    journal.append(host, put("s-1", 0))
    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", Mock(side_effect=OSError(28, "No space left on device")))
        with pytest.raises(OSError):
            journal.append(host, put("s-2", 0))
    if torn:
        os.truncate(journal.log_path, journal.log_path.stat().st_size - torn)
    journal.append(host, put("s-3", 0))
    assert of(opened(tmp_path)[1]).entries.keys() == of(host).entries.keys() == {"s-1", "s-3"}


def test_files_from_before_the_books_load_whole_and_go_on(tmp_path: Path) -> None:
    """Written by the last program without books: a snapshot, and records behind it."""
    shutil.copytree(OLD, tmp_path, dirs_exist_ok=True)
    journal, host = opened(tmp_path)
    book = of(host)
    assert (host.applied_index, host.lineage, host.term, book.version) == (9, "0badc0de0badc0de", 0, 4)
    assert book.entries.keys() == {"s-0", "s-2"} and book.lease_expiries_us == {
        "s-0": 61004000,
        "s-2": 61003000,
    }
    assert host.state_machines["limits"].dump() == {
        "n2": [61004000, 60000000, 1, {"7": 0}], "n1": [61004000, 60000000, 2, {"7": 5}],
    }  # fmt: skip
    journal.append(host, {"op": "lead", "lineage": host.lineage, "term": 7, "at": 0})
    journal.append(host, {**put("s-3", 0), "term": 7})
    journal.write_snapshot(host)
    assert opened(tmp_path)[1].dump() == copy(host).dump()


def test_what_this_build_does_not_know_is_refused_and_the_files_stay(tmp_path: Path) -> None:
    journal, host = opened(tmp_path)
    with pytest.raises(LogEntryError) as refused:
        journal.append(host, {"book": "tides", "op": "rise", "at": 0})
    assert refused.value.remedy and not journal.log_path.exists()
    journal.append(host, put("s-1", 0))
    dump = host.dump()
    journal.snapshot_path.write_text(json.dumps({**dump, "books": {**dump["books"], "tides": {}}}))
    before = journal.log_path.read_bytes()
    with pytest.raises(LogEntryError, match="tides"):
        opened(tmp_path)
    assert journal.log_path.read_bytes() == before


@pytest.mark.parametrize("term", [6, 8, "7", -1, True])
def test_a_record_of_another_term_is_refused(term: Any) -> None:
    host = ReplicatedState(create_state_machines())
    host.apply({"op": "lead", "lineage": "ab", "term": 7, "at": 0})
    before = host.dump()
    with pytest.raises(LogEntryError):
        host.apply({**put("s-1", 0), "term": term})
    with pytest.raises(LogEntryError):
        host.apply({"op": "lead", "lineage": "ab", "term": 7, "at": 0})
    assert host.dump() == before
