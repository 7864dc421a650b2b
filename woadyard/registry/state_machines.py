"""The state machines of the list service's log. Add a new one here and its routes in `routes`."""

from __future__ import annotations

from woadyard.audit.ledger import AuditState
from woadyard.experiment.state_machine import ExperimentsState
from woadyard.limits import LimitsState
from woadyard.lists import EndpointListState
from woadyard.registry.state_machine import StateMachine
from woadyard.whatif.plans import PlansState


def create_state_machines() -> list[StateMachine]:
    """Return all state machines, empty; recovery loads their state from the files."""
    return [EndpointListState(), LimitsState(), AuditState(), PlansState(), ExperimentsState()]
