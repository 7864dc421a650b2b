"""Reports into the log: those that come within some ms as one record, one fsync.

Other books may take a part of a report (an experiment's evidence): a sink returns the records
to write for a batch, and the batch is durable only with them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from woadyard.audit.ledger import REPORTS, AuditState
from woadyard.audit.messages import Report
from woadyard.errors import WoadyardError
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

WITHIN_S = 0.01
BATCH_MOST = 256
RECENT = 64  # numbers of a run whose index is remembered; older ones are replicated for long

Sink = Callable[[Sequence[Report]], Sequence[LogEntry]]


class Batches:
    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.sinks: list[Sink] = []
        self.waiting: list[Report] = []
        self.done: asyncio.Future[None] | None = None
        self.index: dict[str, dict[int, int]] = {}  # by run: index in the log of its last numbers

    async def write(self, report: Report) -> None:
        """Returns once the report is in the log; the log's error where it can't be."""
        loop = asyncio.get_running_loop()
        if self.done is None:
            self.done = loop.create_future()
            loop.call_later(WITHIN_S, self._flush)
        self.waiting.append(report)
        done = self.done
        if len(self.waiting) >= BATCH_MOST:
            self._flush()
        await asyncio.shield(done)

    def _flush(self) -> None:
        batch, done = self.waiting, self.done
        if done is None or not batch:
            return
        self.waiting, self.done = [], None
        try:
            for sink in self.sinks:
                for record in sink(batch):
                    self.registry.append_entry(record)
            told = [msgspec.structs.replace(one, evidence=None) for one in batch]
            reports = msgspec.to_builtins(told)
            index = self.registry.append_entry({"book": AuditState.name, "op": REPORTS, "reports": reports})
        except WoadyardError as error:
            done.set_exception(error)
            done.exception()  # its callers may be gone
            return
        for one in batch:
            kept = self.index.setdefault(f"{one.name}@{one.run}", {})
            kept[one.n] = index
            if len(kept) > RECENT:
                del kept[min(kept)]
            if one.final:
                del self.index[f"{one.name}@{one.run}"]
        done.set_result(None)

    def acks(self, report: Report) -> list[int]:
        """The reporter's numbers that a crash of one process can't lose any more. What is not
        remembered here was written before this process led: its log came from the last one's."""
        key = f"{report.name}@{report.run}"
        safe, kept = self.registry.replicated_index(), self.index.get(key, {})
        run = self.registry.state_machine(AuditState).runs.get(key)
        return sorted(n for n in (run.taken if run is not None else ()) if kept.get(n, 0) <= safe)
