"""The books that the list service's log hosts. A new one is a line here, and one in `routes`."""

from __future__ import annotations

from woadyard.audit.ledger import AuditState
from woadyard.experiment.state_machine import ExperimentsState
from woadyard.limits import LimitsState
from woadyard.lists import EndpointListState
from woadyard.registry.state_machine import StateMachine
from woadyard.whatif.plans import PlansState


def create_state_machines() -> list[StateMachine]:
    """Each empty; what the files hold is loaded into them."""
    return [EndpointListState(), LimitsState(), AuditState(), PlansState(), ExperimentsState()]
