"""The state machine `experiments` of the replicated log.

Log entries by operation; all but `evidence` have the `name` of an experiment:

- `draft` (`draft`), `start`, `reshare` (`shares`), `applied`, `close`;
- `decide` (`decision`): the outcome. It is decided once; a second decision is rejected, whichever
  process makes it;
- `evidence` (`reports`: run of a sidecar, evidence, and whether the sidecar is shut out).

At most one experiment is active, that is started and not yet closed. `revision` grows with each
change that sidecars are to apply.
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
MAX_EXPERIMENTS = 100  # the oldest closed ones are discarded first
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
    """All experiments, by name.

    `discarded` counts closed experiments that were discarded to bound the size.
    """

    name = "experiments"

    def __init__(self) -> None:
        self.experiments: dict[str, Experiment] = {}
        self.revision = 0
        self.discarded = 0

    @property
    def active(self) -> Experiment | None:
        """The experiment that is started and not closed, if any."""
        inactive = (State.DRAFT, State.CLOSED)
        return next(
            (experiment for experiment in self.experiments.values() if experiment.state not in inactive), None
        )

    def directive(self) -> Directive | None:
        """Return the directive for sidecars; None if no experiment was ever started."""
        if not self.revision:
            return None
        active = self.active
        return active.directive(self.revision) if active is not None else Directive(self.revision)

    # --- State machine ----------------------------------------------------------------

    def check(self, entry: Mapping[str, Any]) -> None:
        """Raise `LogEntryError` if the entry can't be applied.

        The entry is applied to a copy of the experiment that it changes; evidence is only decoded.
        """
        try:
            if entry["op"] == EVIDENCE:
                self._decode_reports(entry)
                return
            experiment = self.experiments.get(entry["name"])
            self._transition(experiment and Experiment.load(experiment.dump()), entry)
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None

    def apply(self, entry: Mapping[str, Any]) -> bool:
        try:
            if entry["op"] == EVIDENCE:
                self._apply_evidence(entry)
                return False
            experiment = self._transition(self.experiments.get(entry["name"]), entry)
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None
        self.experiments[experiment.name] = experiment
        self.revision += entry["op"] in (START, RESHARE, DECIDE, CLOSE)
        self._discard_oldest()
        return True

    def _transition(self, experiment: Experiment | None, entry: Mapping[str, Any]) -> Experiment:
        """Return the experiment after the entry; it may be the given one, changed in place."""
        operation, at_ms = entry["op"], int(entry["at"]) // 1000
        if operation == DRAFT:
            name = msgspec.convert(entry["name"], Identifier)
            if experiment is not None and experiment.state is not State.DRAFT:
                raise PlanError(
                    f"an experiment {name!r} exists already and is {experiment.state}", "choose another name"
                )
            return Experiment(name, msgspec.convert(entry["draft"], Draft))
        if experiment is None:
            raise PlanError(f"no such experiment: {entry['name']!r}", "see GET /registry/experiments")
        if operation == START:
            if self.active is not None:
                raise PlanError(f"experiment {self.active.name!r} is active", "close it first")
            experiment.start(at_ms)
        elif operation == RESHARE:
            experiment.reshare(at_ms, entry["shares"])
        elif operation == DECIDE:
            experiment.decide(at_ms, msgspec.convert(entry["decision"], Decision))
        elif operation == APPLIED:
            experiment.mark_applied(at_ms)
        elif operation == CLOSE:
            experiment.close()
        else:
            raise PlanError(f"unknown operation on an experiment: {operation!r}")
        return experiment

    def _decode_reports(self, entry: Mapping[str, Any]) -> list[tuple[str, Any, bool]]:
        reports = msgspec.convert(entry["reports"], list[tuple[str, Any, bool]])
        return [(source, read_evidence(raw), is_shut_out) for source, raw, is_shut_out in reports]

    def _apply_evidence(self, entry: Mapping[str, Any]) -> None:
        reports, at_ms, experiment = self._decode_reports(entry), int(entry["at"]) // 1000, self.active
        if experiment is None or experiment.evidence is None or experiment.state is not State.RUNNING:
            return  # late evidence: the experiment is already decided
        for source, reported, is_shut_out in reports:
            experiment.evidence.merge_report(
                source, reported, at_ms, experiment.draft.plan.arms, self.revision, is_shut_out
            )

    def _discard_oldest(self) -> None:
        closed = [name for name, experiment in self.experiments.items() if experiment.state is State.CLOSED]
        for name in closed[: max(len(self.experiments) - MAX_EXPERIMENTS, 0)]:
            del self.experiments[name]
            self.discarded += 1

    def dump(self) -> dict[str, Any]:
        experiments = [experiment.dump() for experiment in self.experiments.values()]
        return {"revision": self.revision, "forgotten": self.discarded, "trials": experiments}

    def load(self, raw: Any) -> None:
        try:
            experiments = {
                raw_experiment["name"]: Experiment.load(raw_experiment) for raw_experiment in raw["trials"]
            }
            revision, discarded = int(raw["revision"]), int(raw["forgotten"])
        except _INVALID_ENTRY_ERRORS as error:
            raise _entry_error(error) from None
        self.experiments, self.revision, self.discarded = experiments, revision, discarded


def _entry_error(error: BaseException) -> LogEntryError:
    remedy = error.remedy if isinstance(error, PlanError) else None
    return LogEntryError(
        str(error) if isinstance(error, PlanError) else f"invalid log entry: {error!r}", remedy
    )
