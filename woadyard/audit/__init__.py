"""Fleet audit: records which sidecar acted on which version, and handles sidecars that fall behind.

A sidecar divides its run into spans, each on one position (the versions it acted on), counts its
decisions in them (`spans`) and reports them to the list service (`messages`; `woadyard.net.reporter`
sends them). The list service replicates the reports as a state machine of its log (`ledger`, `run`),
answers queries over it (`queries`), and sends the list to sidecars that are behind or shuts them
out (`straggler`). These modules do no I/O. `monitor`, `report_batcher` and `service` (the HTTP
routes) are loaded by the list service alone.
"""

from woadyard.audit.messages import Answer, AuditSettings, Report, Row
from woadyard.audit.position import Position
from woadyard.audit.spans import SpanRecorder

__all__ = ["Answer", "AuditSettings", "Position", "Report", "Row", "SpanRecorder"]
