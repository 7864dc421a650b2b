"""The audit: which sidecar acted on which version, and what is done about stragglers.

A sidecar keeps spans of time, each on one position, with what it decided in them (`spans`), and
reports them to the list service (`messages`; the sending is `woadyard.net.reporter`). There the
reports become a book of the replicated log (`ledger`, `run`), which answers `queries`, and a
state machine mends or shuts out those left behind (`straggler`). All of that is pure;
`service` has the routes and is loaded by the list service alone.
"""

from woadyard.audit.messages import Answer, AuditSettings, Report, Row
from woadyard.audit.position import Position
from woadyard.audit.spans import SpanRecorder

__all__ = ["Answer", "AuditSettings", "Position", "Report", "Row", "SpanRecorder"]
