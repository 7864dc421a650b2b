"""The books that the list service's log hosts. A new one is a line here, and one in `routes`."""

from __future__ import annotations

from woadyard.audit.ledger import AuditBook
from woadyard.experiment.state_machine import ExperimentsBook
from woadyard.limits import LimitsBook
from woadyard.lists import ListBook
from woadyard.registry.book import Book
from woadyard.whatif.plans import Plans


def books() -> list[Book]:
    """Each empty; what the files hold is loaded into them."""
    return [ListBook(), LimitsBook(), AuditBook(), Plans(), ExperimentsBook()]
