"""Writes reports to the log: those received within a few ms as one entry, with one fsync.

Another state machine may use a part of each report, such as the evidence of experiments. Its sink
returns the log entries to write for a batch; the batch counts as written only once they are too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from woadyard.audit.ledger import REPORTS_OP, AuditState
from woadyard.audit.messages import Report
from woadyard.errors import WoadyardError
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

BATCH_DELAY_S = 0.01
MAX_BATCH_REPORTS = 256
MAX_INDEXES_PER_RUN = 64  # reports whose index is kept; older ones have long been replicated

EvidenceSink = Callable[[Sequence[Report]], Sequence[LogEntry]]


class ReportBatcher:
    """Collects reports into batches, and knows at which index of the log each was written."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.sinks: list[EvidenceSink] = []
        self.pending: list[Report] = []
        self.batch_written: asyncio.Future[None] | None = None
        self.log_indexes: dict[str, dict[int, int]] = {}  # by run and report number

    async def write(self, report: Report) -> None:
        """Return once the report is in the log; raises the log's error if it cannot be written."""
        loop = asyncio.get_running_loop()
        if self.batch_written is None:
            self.batch_written = loop.create_future()
            loop.call_later(BATCH_DELAY_S, self._flush)
        self.pending.append(report)
        batch_written = self.batch_written
        if len(self.pending) >= MAX_BATCH_REPORTS:
            self._flush()
        await asyncio.shield(batch_written)

    def _flush(self) -> None:
        batch, batch_written = self.pending, self.batch_written
        if batch_written is None or not batch:
            return
        self.pending, self.batch_written = [], None
        try:
            for sink in self.sinks:
                for entry in sink(batch):
                    self.registry.append_entry(entry)
            stripped = [msgspec.structs.replace(report, evidence=None) for report in batch]
            reports = msgspec.to_builtins(stripped)
            index = self.registry.append_entry(
                {"book": AuditState.name, "op": REPORTS_OP, "reports": reports}
            )
        except WoadyardError as error:
            batch_written.set_exception(error)
            batch_written.exception()  # marks it as retrieved: the callers may have been cancelled
            return
        for report in batch:
            indexes = self.log_indexes.setdefault(f"{report.name}@{report.run}", {})
            indexes[report.n] = index
            if len(indexes) > MAX_INDEXES_PER_RUN:
                del indexes[min(indexes)]
            if report.final:
                del self.log_indexes[f"{report.name}@{report.run}"]
        batch_written.set_result(None)

    def safe_numbers(self, report: Report) -> list[int]:
        """The run's report numbers that the crash of one process can no longer lose.

        Numbers without a known index were written before this process became leader, and its log
        has them from the previous leader.
        """
        key = f"{report.name}@{report.run}"
        safe_index, indexes = self.registry.replicated_index(), self.log_indexes.get(key, {})
        run = self.registry.state_machine(AuditState).runs.get(key)
        return sorted(
            number
            for number in (run.received_numbers if run is not None else ())
            if indexes.get(number, 0) <= safe_index
        )
