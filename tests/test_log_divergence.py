"""Logs that diverge and are merged again: one history survives, and no list version has two contents."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.test_registry import ENTRY
from woadyard.errors import LogEntryError
from woadyard.lists import EndpointListState
from woadyard.net.list_version import CurrentVersion, ListDecision, ListMessage, ListVersion
from woadyard.registry.follower import Follower
from woadyard.registry.log import Journal
from woadyard.registry.log_tail import LogTail
from woadyard.registry.replicated_state import next_term
from woadyard.registry.service import DeposedError, Registry

MEMBER_INDEXES = strategies.integers(0, 2)
INSTANCE_IDS = strategies.sampled_from(["s-1", "s-2", "s-3"])


class RegistryWithoutLoop(Registry):
    """A registry without an event loop: no timer fires."""

    def schedule_due_entry(self) -> None:
        pass


def put(name: str, zone: str) -> dict[str, Any]:
    return {"op": "put", "entry": {**ENTRY, "instanceId": name, "zone": zone}, "ttl_us": 1_000_000}


class Client:
    """A sidecar's list, fetched from any of the processes."""

    def __init__(self) -> None:
        self.current, self.entries = CurrentVersion(), dict[str, Any]()

    def fetch_list(self, registry: Registry) -> None:
        version, endpoint_list = self.current.version, registry.state_machine(EndpointListState)
        registry.observe_term(version.lineage, version.term, "a client")
        term = version.term if version.lineage == registry.log_state.lineage else -1
        response = {
            **endpoint_list.changes_since(term, version.generation),
            "lineage": registry.log_state.lineage,
        }
        received = msgspec.convert(response, ListMessage).version
        decision = self.current.evaluate(received, response["reset"], 0.0)
        if response["lineage"] and decision is ListDecision.TAKE:
            self.current.replace(received, 0.0)
            self.current.accepts_any_full_list = False
            if response["reset"]:
                self.entries.clear()
            self.entries.update({entry["instanceId"]: entry for entry in response["instances"]})
            self.entries = {k: entry for k, entry in self.entries.items() if entry["lifecycle"] != "gone"}


class DivergingLogs(RuleBasedStateMachine):
    """Three processes of one log. Any of them may be promoted to leader at any moment, be killed,
    or follow any other one; a client fetches its list from any of them."""

    @initialize()
    def begin(self) -> None:
        self.folder, self.served = Path(tempfile.mkdtemp()), dict[ListVersion, Any]()
        self.client = Client()
        self.members = [self.open(0), self.open(1, "whom"), self.open(2, "whom")]
        self.members[0].become_leader()
        for n in (1, 2):
            self.follow_leader(n, 0)

    def teardown(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    def open(self, index: int, writer: str | None = None) -> Registry:
        journal = Journal(self.folder / str(index))
        journal.tail = LogTail(6)  # short, so that whole snapshots are transferred as well
        return RegistryWithoutLoop(journal, clock_us=lambda: 0, leader_address=writer)

    @rule(
        index=MEMBER_INDEXES,
        name=INSTANCE_IDS,
        zone=strategies.sampled_from("ab"),
        drop=strategies.booleans(),
    )
    def write(self, index: int, name: str, zone: str, drop: bool) -> None:
        if self.members[index].is_leader:
            self.members[index].append_entry({"op": "drop", "id": name} if drop else put(name, zone))
        else:
            with pytest.raises(DeposedError):
                self.members[index].append_entry(put(name, zone))

    @rule(index=MEMBER_INDEXES)
    def promote(self, index: int) -> None:
        self.members[index] = self.open(index)
        self.members[index].become_leader(take_over=True)

    @rule(index=MEMBER_INDEXES)
    def kill_and_restart(self, index: int) -> None:
        """Start it again in its last role, even a leader that was replaced meanwhile."""
        restarted = self.members[index] = self.open(index, self.members[index].leader_address)
        if restarted.leader_address is None:
            restarted.become_leader()

    @rule(index=MEMBER_INDEXES, leader_index=MEMBER_INDEXES)
    def follow_leader(self, index: int, leader_index: int) -> None:
        follower, leader = self.members[index], self.members[leader_index]
        if index == leader_index or not leader.is_leader:
            return
        if follower.is_leader:
            leader.observe_term(follower.log_state.lineage, follower.highest_term, "a peer")
            follower.observe_term(leader.log_state.lineage, leader.highest_term, "a peer")
            assert not (follower.is_leader and leader.is_leader), "one of two leaders steps down"
            return
        follower.start_following("whom")
        host, seen = follower.log_state, follower.highest_term
        leader.observe_term(host.lineage, seen, "a replica")
        response = leader.entries_or_snapshot_after(host.applied_index, host.chain, host.lineage)
        try:
            Follower(follower, Random(1), 1.0).apply_log_response(response)
        except LogEntryError:
            assert seen > leader.log_state.term, "only a leader of an older term is refused"
            assert not leader.is_leader, "and it stepped down"
        else:
            assert follower.log_state.dump() == leader.log_state.dump()
            assert follower.log_state.chain == follower.journal.tail.chain_at(
                follower.log_state.applied_index
            )

    @rule(index=MEMBER_INDEXES)
    def client_fetches_list(self, index: int) -> None:
        self.client.fetch_list(self.members[index])
        assert self.client.entries == self.served_at(self.client.current.version)

    def served_at(self, version: ListVersion) -> Any:
        self.no_version_has_two_lists()
        return self.served.get(version, {})

    @invariant()
    def no_version_has_two_lists(self) -> None:
        for member in getattr(self, "members", []):
            endpoint_list = member.state_machine(EndpointListState)
            list_version = ListVersion(member.log_state.lineage, endpoint_list.term, endpoint_list.version)
            assert self.served.setdefault(list_version, dict(endpoint_list.entries)) == endpoint_list.entries


def test_terms_of_a_restarted_leader_stay_below_those_of_its_successor() -> None:
    restarted = next_term(0, False)
    promoted = next_term(restarted, False)
    for _ in range(100):
        before, restarted = restarted, next_term(restarted, True)
        assert before < restarted < promoted
    assert next_term(restarted, False) != next_term(restarted, False), (
        "two promoted at once get different terms"
    )


TestDivergingLogs = DivergingLogs.TestCase
TestDivergingLogs.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
