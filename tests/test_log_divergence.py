"""Logs that part and meet again: one history survives, and no name has two lists."""

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
from woadyard.lists import ListBook
from woadyard.net.list_version import TAKE, CurrentVersion, ListMessage, ListVersion
from woadyard.registry.follow import Follower
from woadyard.registry.host import next_term
from woadyard.registry.log import Journal
from woadyard.registry.service import DeposedError, Registry
from woadyard.registry.tail import Tail

WHO = strategies.integers(0, 2)
NAMES = strategies.sampled_from(["s-1", "s-2", "s-3"])


class Still(Registry):
    """Without a loop: nothing comes due."""

    def arm(self) -> None:
        pass


def put(name: str, zone: str) -> dict[str, Any]:
    return {"op": "put", "entry": {**ENTRY, "instanceId": name, "zone": zone}, "ttl_us": 1_000_000}


class Client:
    """A sidecar's list, as it is told by whichever process it asks."""

    def __init__(self) -> None:
        self.held, self.entries = CurrentVersion(), dict[str, Any]()

    def ask(self, registry: Registry) -> None:
        name, book = self.held.version, registry.book(ListBook)
        registry.hear(name.lineage, name.term, "a client")
        term = name.term if name.lineage == registry.host.lineage else -1
        told = {**book.changes_since(term, name.generation), "lineage": registry.host.lineage}
        named = msgspec.convert(told, ListMessage).version
        if told["lineage"] and self.held.evaluate(named, told["reset"], 0.0) == TAKE:
            self.held.replace(named, 0.0)
            self.held.accepts_any_full_list = False
            if told["reset"]:
                self.entries.clear()
            self.entries.update({one["instanceId"]: one for one in told["instances"]})
            self.entries = {k: one for k, one in self.entries.items() if one["lifecycle"] != "gone"}


class Parted(RuleBasedStateMachine):
    """Three processes of one log. Any may be given the writer's place at any moment, be
    killed, or follow any other; a client asks any of them."""

    @initialize()
    def begin(self) -> None:
        self.folder, self.served = Path(tempfile.mkdtemp()), dict[ListVersion, Any]()
        self.client = Client()
        self.all = [self.open(0), self.open(1, "whom"), self.open(2, "whom")]
        self.all[0].lead()
        for n in (1, 2):
            self.follows(n, 0)

    def teardown(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    def open(self, who: int, writer: str | None = None) -> Registry:
        journal = Journal(self.folder / str(who))
        journal.tail = Tail(6)  # so that states are taken whole as well
        return Still(journal, clock=lambda: 0, writer=writer)

    @rule(who=WHO, name=NAMES, zone=strategies.sampled_from("ab"), drop=strategies.booleans())
    def write(self, who: int, name: str, zone: str, drop: bool) -> None:
        if self.all[who].leads:
            self.all[who].commit({"op": "drop", "id": name} if drop else put(name, zone))
        else:
            with pytest.raises(DeposedError):
                self.all[who].commit(put(name, zone))

    @rule(who=WHO)
    def promote(self, who: int) -> None:
        self.all[who] = self.open(who)
        self.all[who].lead(take_over=True)

    @rule(who=WHO)
    def killed(self, who: int) -> None:
        """Started again as it was, a writer that lost its place too."""
        one = self.all[who] = self.open(who, self.all[who].writer)
        if one.writer is None:
            one.lead()

    @rule(who=WHO, whom=WHO)
    def follows(self, who: int, whom: int) -> None:
        mine, theirs = self.all[who], self.all[whom]
        if who == whom or not theirs.leads:
            return
        if mine.leads:
            theirs.hear(mine.host.lineage, mine.seen, "a peer")
            mine.hear(theirs.host.lineage, theirs.seen, "a peer")
            assert not (mine.leads and theirs.leads), "of two that write, one stops"
            return
        mine.follow("whom")
        host, seen = mine.host, mine.seen
        theirs.hear(host.lineage, seen, "a replica")
        told = theirs.log_after(host.applied, host.chain, host.lineage)
        try:
            Follower(mine, Random(1), 1.0).take(told)
        except LogEntryError:
            assert seen > theirs.host.term, "only an older term is not followed"
            assert not theirs.leads, "and its writer stopped"
        else:
            assert mine.host.dump() == theirs.host.dump()
            assert mine.host.chain == mine.journal.tail.chain_at(mine.host.applied)

    @rule(who=WHO)
    def asks(self, who: int) -> None:
        self.client.ask(self.all[who])
        assert self.client.entries == self.served_at(self.client.held.version)

    def served_at(self, name: ListVersion) -> Any:
        self.no_name_has_two_lists()
        return self.served.get(name, {})

    @invariant()
    def no_name_has_two_lists(self) -> None:
        for one in getattr(self, "all", []):
            book = one.book(ListBook)
            name = ListVersion(one.host.lineage, book.term, book.version)
            assert self.served.setdefault(name, dict(book.entries)) == book.entries


def test_a_writer_back_from_a_crash_never_outdoes_the_one_given_its_place() -> None:
    mine = next_term(0, False)
    promoted = next_term(mine, False)
    for _ in range(100):
        before, mine = mine, next_term(mine, True)
        assert before < mine < promoted
    assert next_term(mine, False) != next_term(mine, False), "two given it at once differ"


TestParted = Parted.TestCase
TestParted.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
