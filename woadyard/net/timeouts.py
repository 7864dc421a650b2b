"""How long the callers' side waits for whom, in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Timeouts:
    # How long a connection may take to bring a whole request, from its start or from
    # the request's first byte. Anyone may connect; who brings none by 3 s is owed an end.
    request_s: float = 2.5
    # Past that a body has to bring `LOAD_LEAST` in each such time.
    body_s: float = 1.5
    # An answer that is passed on may stand still for this long, whoever is to blame.
    stall_s: float = 10.0
    # How long a connection is kept between requests: clients use theirs again well within this.
    idle_s: float = 5.0
    # Under pressure who owes a request for this long gives way: no sooner may it be closed.
    overload_request_s: float = 2.0
    # How long a refused connection may take to read its 4xx before it is cut.
    linger_s: float = 1.0
    # Under pressure it is cut once it had this long.
    overload_linger_s: float = 0.1


# Callers send 64 kB a second.
MIN_BODY_PROGRESS_BYTES = 16 * 1024
# After so many looks at a body an endpoint that takes nothing of it has failed.
MAX_STALLED_CHECKS = 2
# So long may a body take that is passed on as it comes, before its time begins to run.
MAX_UPLOAD_US = 900_000_000
