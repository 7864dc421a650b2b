"""The book `experiments` of the replicated log.

Records, all with `name` but the evidence:

- `draft` (`draft`), `start`, `reshare` (`shares`), `applied`, `close`;
- `decide` (`decision`): how it ended. Once, whoever looks: a second end is refused;
- `evidence` (`reports`: run, evidence and whether its sidecar is shut out).

At most one experiment runs, or has ended and is not closed. `revision` grows with each change that
sidecars are to act on.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from woadyard.errors import LogEntryError, PeerError, PlanError
from woadyard.experiment.experiment import Draft, Experiment
from woadyard.experiment.messages import Directive, Identifier, read_evidence
from woadyard.experiment.states import Decision, State

DRAFT, START, RESHARE, EVIDENCE = "draft", "start", "reshare", "evidence"
DECIDE, APPLIED, CLOSE = "decide", "applied", "close"
MAX_EXPERIMENTS = 100  # experiments; the oldest closed ones go first
_INVALID_ENTRY_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    PlanError,
    PeerError,
    msgspec.ValidationError,
)


class ExperimentsState:
    """`forgotten` counts closed experiments that went for room."""

    name = "experiments"

    def __init__(self) -> None:
        self.experiments: dict[str, Experiment] = {}
        self.revision = 0
        self.discarded = 0

    @property
    def active(self) -> Experiment | None:
        """The one that sidecars act on."""
        idle = (State.DRAFT, State.CLOSED)
        return next((one for one in self.experiments.values() if one.state not in idle), None)

    def directive(self) -> Directive | None:
        """What sidecars are to act on; None where there never was an experiment."""
        if not self.revision:
            return None
        active = self.active
        return active.directive(self.revision) if active is not None else Directive(self.revision)

    # --- The book ---------------------------------------------------------------------

    def check(self, record: Mapping[str, Any]) -> None:
        """On a copy of the one experiment that the record changes; evidence is only read."""
        try:
            if record["op"] == EVIDENCE:
                self._decode_reports(record)
                return
            old = self.experiments.get(record["name"])
            self._transition(old and Experiment.load(old.dump()), record)
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None

    def apply(self, record: Mapping[str, Any]) -> bool:
        try:
            if record["op"] == EVIDENCE:
                self._apply_evidence(record)
                return False
            trial = self._transition(self.experiments.get(record["name"]), record)
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None
        self.experiments[trial.name] = trial
        self.revision += record["op"] in (START, RESHARE, DECIDE, CLOSE)
        self._discard_oldest()
        return True

    def _transition(self, trial: Experiment | None, record: Mapping[str, Any]) -> Experiment:
        """The trial after the record, which may be the very one given."""
        op, at = record["op"], int(record["at"]) // 1000
        if op == DRAFT:
            name = msgspec.convert(record["name"], Identifier)
            if trial is not None and trial.state is not State.DRAFT:
                raise PlanError(f"there is an experiment {name!r} that is {trial.state}", "take another name")
            return Experiment(name, msgspec.convert(record["draft"], Draft))
        if trial is None:
            raise PlanError(f"no such experiment: {record['name']!r}", "see GET /registry/experiments")
        if op == START:
            if self.active is not None:
                raise PlanError(f"experiment {self.active.name!r} is not closed", "close it first")
            trial.start(at)
        elif op == RESHARE:
            trial.reshare(at, record["shares"])
        elif op == DECIDE:
            trial.decide(at, msgspec.convert(record["decision"], Decision))
        elif op == APPLIED:
            trial.mark_applied(at)
        elif op == CLOSE:
            trial.close()
        else:
            raise PlanError(f"the experiments have no {op!r}")
        return trial

    def _decode_reports(self, record: Mapping[str, Any]) -> list[tuple[str, Any, bool]]:
        told = msgspec.convert(record["reports"], list[tuple[str, Any, bool]])
        return [(source, read_evidence(raw), out) for source, raw, out in told]

    def _apply_evidence(self, record: Mapping[str, Any]) -> None:
        reports, at, trial = self._decode_reports(record), int(record["at"]) // 1000, self.active
        if trial is None or trial.evidence is None or trial.state is not State.RUNNING:
            return  # late: what ended is decided
        for source, told, out in reports:
            trial.evidence.merge_report(source, told, at, trial.draft.plan.arms, self.revision, out)

    def _discard_oldest(self) -> None:
        closed = [name for name, one in self.experiments.items() if one.state is State.CLOSED]
        for name in closed[: max(len(self.experiments) - MAX_EXPERIMENTS, 0)]:
            del self.experiments[name]
            self.discarded += 1

    def dump(self) -> dict[str, Any]:
        trials = [one.dump() for one in self.experiments.values()]
        return {"revision": self.revision, "forgotten": self.discarded, "trials": trials}

    def load(self, raw: Any) -> None:
        try:
            trials = {one["name"]: Experiment.load(one) for one in raw["trials"]}
            revision, forgotten = int(raw["revision"]), int(raw["forgotten"])
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None
        self.experiments, self.revision, self.discarded = trials, revision, forgotten


def _entry_error(error: BaseException) -> LogEntryError:
    remedy = error.remedy if isinstance(error, PlanError) else None
    return LogEntryError(str(error) if isinstance(error, PlanError) else f"no such record: {error!r}", remedy)
