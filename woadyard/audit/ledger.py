"""The book `audit`: every sidecar's runs, with their spans, gaps and states.

Records: `{"op": "reports", "reports": [...]}` (those that came within some ms, as one write),
`{"op": "state", "key": NAME@RUN, "state": ...}` (a straggler's, decided by the writer) and
`{"op": "over", "key": ...}` (an operator knows that a run is gone without a last word).
Pure; the times in records are the writer's µs.
"""

from __future__ import annotations

from typing import Any

import msgspec

from woadyard.audit.messages import Report
from woadyard.audit.position import parse
from woadyard.audit.run import Run
from woadyard.audit.straggler import SHUT_OUT, STATES
from woadyard.errors import LogEntryError, PeerError
from woadyard.registry.state_machine import LogEntry

ROWS_MOST = 65_536  # of all runs together; a sidecar's part of it is what is left by the others
RUN_ROWS_LEAST = 32
RUNS_MOST = 2_048
REPORTS, STATE, OVER = "reports", "state", "over"


class AuditState:
    """`compacted` counts the rows that became part of a sum, `forgotten` the runs that went whole."""

    name = "audit"

    def __init__(self, rows_most: int = ROWS_MOST, runs_most: int = RUNS_MOST) -> None:
        self.rows_most, self.runs_most = rows_most, runs_most
        self.runs: dict[str, Run] = {}
        self.names: dict[str, list[Run]] = {}
        self.compacted = self.forgotten = 0

    # --- The book ---------------------------------------------------------------------

    def check(self, record: LogEntry) -> None:
        self._read(record)

    def _read(self, record: LogEntry) -> list[Report]:
        op, at = record.get("op"), record.get("at", 0)
        if type(at) is not int or at < 0:
            raise LogEntryError("a record's time is no number")
        if op == REPORTS:
            try:
                reports = msgspec.convert(record.get("reports"), list[Report])
                for position in {row.position for one in reports for row in one.rows if row.position}:
                    parse(position)
                for one in reports:
                    parse(one.position)
            except (msgspec.ValidationError, PeerError) as error:
                raise LogEntryError(f"no reports: {error}") from None
            return reports
        if op not in (STATE, OVER):
            raise LogEntryError(f"the audit has no {op!r}")
        if str(record.get("key")) not in self.runs:
            raise LogEntryError(f"no such run: {record.get('key')!r}")
        if op == STATE and record.get("state") not in STATES:
            raise LogEntryError(f"no such state: {record.get('state')!r}")
        return []

    def apply(self, record: LogEntry) -> bool:
        reports, at = self._read(record), int(record.get("at", 0)) // 1000
        if record["op"] == STATE:
            self.runs[record["key"]].state = record["state"]
            return True
        if record["op"] == OVER:
            self.runs[record["key"]].over_at = at
            return True
        changed = [self._run(report).take(report, at) for report in reports]
        for report in reports:
            self._bound(self.runs[f"{report.name}@{report.run}"])
        return any(changed)

    def _run(self, report: Report) -> Run:
        key = f"{report.name}@{report.run}"
        if key not in self.runs:
            self._add(Run(report.name, report.run))
        return self.runs[key]

    def _add(self, run: Run) -> None:
        self.runs[run.key] = run
        self.names.setdefault(run.name, []).append(run)

    def _bound(self, run: Run) -> None:
        self.compacted += run.compact(max(RUN_ROWS_LEAST, self.rows_most // len(self.runs)))
        while len(self.runs) > self.runs_most:
            oldest = min(self.runs.values(), key=lambda one: (one.heard_at, one.key))
            del self.runs[oldest.key]
            self.names[oldest.name].remove(oldest)
            if not self.names[oldest.name]:
                del self.names[oldest.name]
            self.forgotten += 1

    def dump(self) -> Any:
        runs = [run.dump() for run in self.runs.values()]
        return {"runs": runs, "compacted": self.compacted, "forgotten": self.forgotten}

    def load(self, raw: Any) -> None:
        try:
            runs = [Run.load(one) for one in raw["runs"]]
            counts = int(raw["compacted"]), int(raw["forgotten"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise LogEntryError(f"no dump of the audit: {error!r}") from None
        self.runs, self.names = {}, {}
        for run in runs:
            self._add(run)
        self.compacted, self.forgotten = counts

    # --- Its readers ------------------------------------------------------------------

    def latest(self, name: str) -> Run | None:
        """The run of this name that began last."""
        return max(self.names.get(name, ()), key=lambda one: one.base, default=None)

    def shut_out(self, name: str) -> bool:
        """Whether a sidecar of this name is shut out: it gets no grants, and counts nowhere."""
        run = self.latest(name)
        return run is not None and run.state == SHUT_OUT and run.ended is None

    def out(self) -> list[str]:
        return sorted(name for name in self.names if self.shut_out(name))

    def holder_out(self, holder: str) -> bool:
        """The same of one that holds shares, `NAME` or `NAME@...`."""
        return self.shut_out(holder.partition("@")[0])
