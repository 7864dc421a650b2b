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
from woadyard.audit.position import parse_position
from woadyard.audit.run import Run
from woadyard.audit.straggler import SHUT_OUT, STATES
from woadyard.errors import LogEntryError, PeerError
from woadyard.registry.book import Record

MAX_ROWS = 65_536  # of all runs together; a sidecar's part of it is what is left by the others
MIN_ROWS_PER_RUN = 32
MAX_RUNS = 2_048
REPORTS_OP, STATE_OP, OVER_OP = "reports", "state", "over"


class AuditBook:
    """`compacted` counts the rows that became part of a sum, `forgotten` the runs that went whole."""

    name = "audit"

    def __init__(self, max_rows: int = MAX_ROWS, max_runs: int = MAX_RUNS) -> None:
        self.max_rows, self.max_runs = max_rows, max_runs
        self.runs: dict[str, Run] = {}
        self.runs_by_name: dict[str, list[Run]] = {}
        self.compacted_rows = self.forgotten_runs = 0

    # --- The book ---------------------------------------------------------------------

    def check(self, record: Record) -> None:
        self._validate(record)

    def _validate(self, record: Record) -> list[Report]:
        op, at = record.get("op"), record.get("at", 0)
        if type(at) is not int or at < 0:
            raise LogEntryError("a record's time is no number")
        if op == REPORTS_OP:
            try:
                reports = msgspec.convert(record.get("reports"), list[Report])
                for position in {row.position for one in reports for row in one.rows if row.position}:
                    parse_position(position)
                for one in reports:
                    parse_position(one.position)
            except (msgspec.ValidationError, PeerError) as error:
                raise LogEntryError(f"no reports: {error}") from None
            return reports
        if op not in (STATE_OP, OVER_OP):
            raise LogEntryError(f"the audit has no {op!r}")
        if str(record.get("key")) not in self.runs:
            raise LogEntryError(f"no such run: {record.get('key')!r}")
        if op == STATE_OP and record.get("state") not in STATES:
            raise LogEntryError(f"no such state: {record.get('state')!r}")
        return []

    def apply(self, record: Record) -> bool:
        reports, at = self._validate(record), int(record.get("at", 0)) // 1000
        if record["op"] == STATE_OP:
            self.runs[record["key"]].state = record["state"]
            return True
        if record["op"] == OVER_OP:
            self.runs[record["key"]].over_at = at
            return True
        changed = [self._get_or_add_run(report).add_report(report, at) for report in reports]
        for report in reports:
            self._enforce_limits(self.runs[f"{report.name}@{report.run}"])
        return any(changed)

    def _get_or_add_run(self, report: Report) -> Run:
        key = f"{report.name}@{report.run}"
        if key not in self.runs:
            self._add_run(Run(report.name, report.run))
        return self.runs[key]

    def _add_run(self, run: Run) -> None:
        self.runs[run.key] = run
        self.runs_by_name.setdefault(run.name, []).append(run)

    def _enforce_limits(self, run: Run) -> None:
        self.compacted_rows += run.compact(max(MIN_ROWS_PER_RUN, self.max_rows // len(self.runs)))
        while len(self.runs) > self.max_runs:
            oldest = min(self.runs.values(), key=lambda one: (one.heard_at, one.key))
            del self.runs[oldest.key]
            self.runs_by_name[oldest.name].remove(oldest)
            if not self.runs_by_name[oldest.name]:
                del self.runs_by_name[oldest.name]
            self.forgotten_runs += 1

    def dump(self) -> Any:
        runs = [run.dump() for run in self.runs.values()]
        return {"runs": runs, "compacted": self.compacted_rows, "forgotten": self.forgotten_runs}

    def load(self, raw: Any) -> None:
        try:
            runs = [Run.load(one) for one in raw["runs"]]
            counts = int(raw["compacted"]), int(raw["forgotten"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise LogEntryError(f"no dump of the audit: {error!r}") from None
        self.runs, self.runs_by_name = {}, {}
        for run in runs:
            self._add_run(run)
        self.compacted_rows, self.forgotten_runs = counts

    # --- Its readers ------------------------------------------------------------------

    def latest_run(self, name: str) -> Run | None:
        """The run of this name that began last."""
        return max(self.runs_by_name.get(name, ()), key=lambda one: one.base, default=None)

    def is_shut_out(self, name: str) -> bool:
        """Whether a sidecar of this name is shut out: it gets no grants, and counts nowhere."""
        run = self.latest_run(name)
        return run is not None and run.state == SHUT_OUT and run.ended_ms is None

    def shut_out_names(self) -> list[str]:
        return sorted(name for name in self.runs_by_name if self.is_shut_out(name))

    def is_holder_shut_out(self, holder: str) -> bool:
        """The same of one that holds shares, `NAME` or `NAME@...`."""
        return self.is_shut_out(holder.partition("@")[0])
