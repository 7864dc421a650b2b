"""What-if: recorded traces replayed against proposed weights before they go out.

`trace` and `ring` are what the sidecar loads, and need nothing but msgspec. The model, the
replay and the forecast (numpy, scipy) are loaded by the list service's tool process only:
import their modules, this face stays light.
"""

from woadyard.whatif.trace import Trace, read_trace

__all__ = ["Trace", "read_trace"]
