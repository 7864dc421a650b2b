"""The audit's state machine: the runs of every sidecar, with their spans, gaps and states.

Log entries:
- `{"op": "reports", "reports": [...]}`: the reports received within a few ms, written as one entry.
- `{"op": "state", "key": NAME@RUN, "state": ...}`: the state of a run, decided by the leader.
- `{"op": "over", "key": NAME@RUN}`: an operator declares that a run ended without a final report.

Does no I/O. The times in entries are µs of the leader's clock.
"""

from __future__ import annotations

from typing import Any

import msgspec

from woadyard.audit.messages import Report
from woadyard.audit.position import parse_position
from woadyard.audit.run import Run
from woadyard.audit.straggler import SHUT_OUT, STATES
from woadyard.errors import LogEntryError, PeerError
from woadyard.registry.state_machine import LogEntry

MAX_ROWS = 65_536  # over all runs; divided equally among them
MIN_ROWS_PER_RUN = 32
MAX_RUNS = 2_048
REPORTS_OP, STATE_OP, OVER_OP = "reports", "state", "over"


class AuditState:
    """The replicated state of the audit.

    `compacted_rows` counts rows that were merged into a sum, `forgotten_runs` the runs that were
    dropped to stay within `max_runs`.
    """

    name = "audit"

    def __init__(self, max_rows: int = MAX_ROWS, max_runs: int = MAX_RUNS) -> None:
        self.max_rows, self.max_runs = max_rows, max_runs
        self.runs: dict[str, Run] = {}
        self.runs_by_name: dict[str, list[Run]] = {}
        self.compacted_rows = self.forgotten_runs = 0

    # --- State machine ----------------------------------------------------------------

    def check(self, entry: LogEntry) -> None:
        self._validate(entry)

    def _validate(self, entry: LogEntry) -> list[Report]:
        op, at_us = entry.get("op"), entry.get("at", 0)
        if type(at_us) is not int or at_us < 0:
            raise LogEntryError("the entry's time is not a non-negative integer")
        if op == REPORTS_OP:
            try:
                reports = msgspec.convert(entry.get("reports"), list[Report])
                for position in {row.position for report in reports for row in report.rows if row.position}:
                    parse_position(position)
                for report in reports:
                    parse_position(report.position)
            except (msgspec.ValidationError, PeerError) as error:
                raise LogEntryError(f"invalid reports: {error}") from None
            return reports
        if op not in (STATE_OP, OVER_OP):
            raise LogEntryError(f"unknown operation of the audit: {op!r}")
        if str(entry.get("key")) not in self.runs:
            raise LogEntryError(f"unknown run: {entry.get('key')!r}")
        if op == STATE_OP and entry.get("state") not in STATES:
            raise LogEntryError(f"unknown state of a run: {entry.get('state')!r}")
        return []

    def apply(self, entry: LogEntry) -> bool:
        reports, at_ms = self._validate(entry), int(entry.get("at", 0)) // 1000
        if entry["op"] == STATE_OP:
            self.runs[entry["key"]].state = entry["state"]
            return True
        if entry["op"] == OVER_OP:
            self.runs[entry["key"]].over_at = at_ms
            return True
        changed = [self._get_or_add_run(report).add_report(report, at_ms) for report in reports]
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
            oldest = min(self.runs.values(), key=lambda candidate: (candidate.heard_at, candidate.key))
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
            runs = [Run.load(raw_run) for raw_run in raw["runs"]]
            counts = int(raw["compacted"]), int(raw["forgotten"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise LogEntryError(f"invalid dump of the audit: {error!r}") from None
        self.runs, self.runs_by_name = {}, {}
        for run in runs:
            self._add_run(run)
        self.compacted_rows, self.forgotten_runs = counts

    # --- Queries ----------------------------------------------------------------------

    def latest_run(self, name: str) -> Run | None:
        """The most recently started run of a sidecar."""
        return max(self.runs_by_name.get(name, ()), key=lambda candidate: candidate.base, default=None)

    def is_shut_out(self, name: str) -> bool:
        """Whether the sidecar is shut out: it is granted no share of a limit, and is counted nowhere."""
        run = self.latest_run(name)
        return run is not None and run.state == SHUT_OUT and run.ended_ms is None

    def shut_out_names(self) -> list[str]:
        """Names of the sidecars that are shut out, sorted."""
        return sorted(name for name in self.runs_by_name if self.is_shut_out(name))

    def is_holder_shut_out(self, holder: str) -> bool:
        """Whether the sidecar of a holder of shares, `NAME` or `NAME@...`, is shut out."""
        return self.is_shut_out(holder.partition("@")[0])
