"""What-if analysis: replays recorded traces with proposed weights before they are rolled out.

Sidecars import `trace` and `ring`, which need msgspec only. The model, the replay and the forecast
need numpy and scipy and run in a separate process of the list service; they are imported from
their own modules, so that importing the package stays cheap.
"""

from woadyard.whatif.trace import Trace, read_trace

__all__ = ["Trace", "read_trace"]
