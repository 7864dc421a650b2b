"""Reports into the log: those that come within some ms as one record, one fsync.

Other books may take a part of a report (an experiment's evidence): a sink returns the records
to write for a batch, and the batch is durable only with them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from woadyard.audit.ledger import REPORTS_OP, AuditBook
from woadyard.audit.messages import Report
from woadyard.errors import WoadyardError
from woadyard.registry.book import Record
from woadyard.registry.service import Registry

BATCH_DELAY_S = 0.01
MAX_BATCH_REPORTS = 256
MAX_INDEXES_PER_RUN = 64  # numbers of a run whose index is remembered; older ones are replicated for long

EvidenceSink = Callable[[Sequence[Report]], Sequence[Record]]


class ReportBatcher:
    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.sinks: list[EvidenceSink] = []
        self.pending: list[Report] = []
        self.batch_written: asyncio.Future[None] | None = None
        self.log_indexes: dict[str, dict[int, int]] = {}  # by run: index in the log of its last numbers

    async def write(self, report: Report) -> None:
        """Returns once the report is in the log; the log's error where it can't be."""
        loop = asyncio.get_running_loop()
        if self.batch_written is None:
            self.batch_written = loop.create_future()
            loop.call_later(BATCH_DELAY_S, self._flush)
        self.pending.append(report)
        done = self.batch_written
        if len(self.pending) >= MAX_BATCH_REPORTS:
            self._flush()
        await asyncio.shield(done)

    def _flush(self) -> None:
        batch, done = self.pending, self.batch_written
        if done is None or not batch:
            return
        self.pending, self.batch_written = [], None
        try:
            for sink in self.sinks:
                for record in sink(batch):
                    self.registry.commit(record)
            told = [msgspec.structs.replace(one, evidence=None) for one in batch]
            reports = msgspec.to_builtins(told)
            index = self.registry.commit({"book": AuditBook.name, "op": REPORTS_OP, "reports": reports})
        except WoadyardError as error:
            done.set_exception(error)
            done.exception()  # its callers may be gone
            return
        for one in batch:
            kept = self.log_indexes.setdefault(f"{one.name}@{one.run}", {})
            kept[one.n] = index
            if len(kept) > MAX_INDEXES_PER_RUN:
                del kept[min(kept)]
            if one.final:
                del self.log_indexes[f"{one.name}@{one.run}"]
        done.set_result(None)

    def safe_numbers(self, report: Report) -> list[int]:
        """The reporter's numbers that a crash of one process can't lose any more. What is not
        remembered here was written before this process led: its log came from the last one's."""
        key = f"{report.name}@{report.run}"
        safe, kept = self.registry.held(), self.log_indexes.get(key, {})
        run = self.registry.book(AuditBook).runs.get(key)
        return sorted(n for n in (run.received_numbers if run is not None else ()) if kept.get(n, 0) <= safe)
