"""Input and output types of a `Balancer`; no decisions are made here.

One `Balancer` (in `woadyard.policy`) serves one sidecar. It is created from a seed and the `Settings`, and
then receives one event at a time: each event method takes the time in µs and returns the `Action`s to carry
out at that time, in order. The caller must provide a monotonic clock, one `outcome` for each `Send`, and each
`Timer` at its time or later, never earlier.

    start(now, alone)         the sidecar is up, alone or beside the process that it
                              replaces; a cached list follows
    members(now, mode, list)  a list from discovery: LIST_FULL, _DELTA, _CACHED, _FAILED
    confirmed(now)            the watch sent a heartbeat: nothing has changed
    unreachable(now, since)   nothing listens at discovery's address
    moved(now)                discovery has a new address
    retune(now, Settings)     new settings; classes keep their numbers, more may be added
    detach(now, endpoint)     an operator takes an endpoint out of use, whatever lists say
    attach(now, endpoint)     an operator puts an endpoint back into use
    request(now, Arrival)     a request, which gets exactly one final response
    whole(now, request, expires)  the last byte of a request body has arrived
    outcome(now, Outcome)     how one attempt ended; each `Send` gets one
    head(now, Outcome)        a response that is streamed to the client has started
    gone(now, request)        the client disconnected; no response is needed any more
    timer(now, token)         a requested `Timer` has fired
    trust(now, factors)       factors on the endpoints' weights by other sidecars' verdicts
    limit(now, caps, others)  attempts that may be in flight from here, by endpoint
    split(now, Split | None)  the experiment in force, sent before the list that it refers to
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from woadyard.errors import PlanError

# How an attempt ended. FULL, NO_CONNECT and MOOT prove that it never ran, FULL
# only where `Settings.full_unproven` does not say otherwise.
OK, ERROR, FULL, TIMEOUT, NO_CONNECT, RESET, CANCELLED, MOOT = range(8)
NEVER_RAN = frozenset((FULL, NO_CONNECT, MOOT))
# Whether requests of a class may be repeated, and which endpoints recognize a repeat by its key.
SAFE, KEYED, UNSAFE = range(3)
SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL = range(3)
# Phases of an endpoint and kinds of list.
GONE, READY, DRAINING = range(3)
LIST_FULL, LIST_FAILED, LIST_DELTA, LIST_CACHED = range(4)
# States of an endpoint that sidecars report to each other (`Verdict`).
EJECTED, DEGRADED, COLD = "ejected", "degraded", "cold"
# Names in a load report: requests in progress, requests queued, share of CPU in use, recent service time in
# ms, requests served per second, errors per second.
HELD, WAITING, BUSY, LATENCY_MS, SERVED_RATE, ERROR_RATE = (
    "held", "waiting", "busy", "latency_ms", "served_rate", "error_rate",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests; times in µs."""

    effect: int = UNSAFE  # SAFE, KEYED or UNSAFE to repeat
    scope: int = SCOPE_ALL  # KEYED: the endpoints that recognize and drop a repeat
    window_us: int = 0  # KEYED: how long they remember a key, from the first send
    aim_us: int = 1_000_000  # latency target: a response within it earns the whole worth
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    deadline_us: int = 1_000_000  # the longest time a client waits, over all its retries
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that a response after the aim earns
    stream: bool = False  # the response is a stream; `head` reports its start
    sequential: bool = False  # requests with the same key run one at a time, in order of arrival

    def __post_init__(self) -> None:
        if self.effect not in (SAFE, KEYED, UNSAFE):
            raise ValueError(f"unknown effect: {self.effect}")
        if self.scope not in (SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL):
            raise ValueError(f"unknown scope: {self.scope}")
        _require_positive(self, ("aim_us", "deadline_us"))
        _require_not_negative(self, ("window_us", "aim_stretch", "worth", "late_worth"))


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the parts of the service score; 0 where a part does not count."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Locality:
    """Settings of zone-aware routing; times in µs, shares from 0 to 1."""

    regions: tuple[int, ...]  # of each zone, by its number
    leave: float = 0.5  # share of failed outcomes at which a zone is left
    window_us: int = 2_000_000  # over which outcomes are counted
    away_us: int = 5_000_000  # how long a zone is left, doubled for each exit in a row
    ramp_us: int = 10_000_000  # over which a zone regains its whole share
    # With a smaller share of healthy capacity all zones are used; one of two or two of three zones may fail.
    panic: float = 0.3

    def __post_init__(self) -> None:
        _require_positive(self, ("leave", "window_us", "away_us", "ramp_us"))
        _require_not_negative(self, ("panic",))
        if self.leave > 1.0 or self.panic > 1.0:
            raise ValueError(f"leave and panic must be at most 1: {self.leave}, {self.panic}")


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a balancer, all fixed at the start.

    A default applies where a setting is absent; it is the conservative choice, never the value of some
    deployment. Times are in µs, and prices in points of service, each for its rate or share.
    """

    classes: tuple[RequestClass, ...]
    retired: frozenset[int] = frozenset()  # numbers of classes that take no new requests
    me: int = 0  # this sidecar's number; may exceed `instances` while the tier grows
    instances: int = 1  # sidecars of this tier at the start
    zone: int = 0
    zones: int = 1
    locality: Locality | None = None  # zone-aware routing: most requests stay in the zone
    stage: int = 0  # the tier this sidecar sends to
    stages: int = 1
    tenants: tuple[float, ...] = ()  # share of each tenant in requests per second, over all sidecars
    over_share_worth: float = 1.0  # factor on the worth of a request over its tenant's share
    worth_by_work: bool = False  # the worth of a request grows with its work
    asks_discovery: bool = False  # the sidecar requests the list; otherwise it is pushed
    passes_deadline: bool = False  # requests carry the time that is left to their client
    warm_keys: bool = False  # an endpoint serves a recently used key with less work
    marks_retry: bool = False  # clients mark their retries
    rated: bool = False  # ratings in the list give the endpoints' sizes
    rating_is_live: bool = False  # and decrease with their load
    report_fields: tuple[str, ...] = ()
    reports_pulled: bool = False  # load reports come only with probes
    can_cancel: bool = False
    can_probe: bool = False
    can_tell: bool = False
    second_copies: bool = False  # a request may have two attempts in flight at once
    retry_after: bool = False  # clients receive `Refuse.retry_after_us`
    max_retry_after_us: int = 0
    max_attempts: int = 1
    max_held: int = 1_000_000
    streams: int = 1  # concurrent attempts per connection
    idle_us: int = 0  # idle timeout of connections; 0 = unknown
    connect_timeout_us: int = 0
    cpu_us_per_s: float = 0.0  # CPU time this sidecar may use; 0 = unknown
    cpu_us_per_request: float = 0.0
    resolution_us: int = 1000  # least time between batches of events
    answer_slack_us: int = 0  # how late after the deadline a final response may come
    ask_within_us: int = 10_000_000  # the longest time that discovery may go without a call
    key_rest_us: int = 0  # pause of a key after an attempt that may still be running
    shares_verdicts: bool = False  # `Verdict`s are reported to the other sidecars
    full_unproven: bool = False  # FULL may also end an attempt that had begun to run
    cold_share: float = 1.0  # least share of its capacity that a starting endpoint has
    cold_us: int = 0  # longest time until it is warm
    tip_multiple: float = 1.0  # multiple of its current capacity that overloads it when sent
    tip_for_us: int = 1_000_000  # for this long
    goal: Goal = Goal()
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    waste_price: float = 0.0
    connection_price: float = 0.0
    handshake_price: float = 0.0
    late_fail_price: float = 0.0  # for worth that ends unserved after its aim
    peer_price: float = 0.0
    discovery_price: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes is empty")
        _require_positive(self, ("instances", "max_attempts", "resolution_us", "ask_within_us", "tip_for_us"))
        _require_not_negative(self, ("me", "idle_us", "connect_timeout_us", "answer_slack_us", "key_rest_us"))
        _require_not_negative(self, ("cold_share", "cold_us", "tip_multiple", "max_retry_after_us"))
        if any(not 0.0 <= share < inf for share in self.tenants):
            raise ValueError(f"tenants has a share that is negative or not finite: {self.tenants}")


def _require_positive(checked: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 < getattr(checked, name) < inf:
            raise ValueError(f"{name} must be positive: {getattr(checked, name)}")


def _require_not_negative(checked: object, names: tuple[str, ...]) -> None:
    for name in names:
        if not 0 <= getattr(checked, name) < inf:
            raise ValueError(f"{name} must not be negative: {getattr(checked, name)}")


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of a discovery list."""

    endpoint: int
    phase: int  # READY, DRAINING or GONE
    boot: int  # when its process started, in µs; 0 = long ago
    rating: float  # its size relative to the others; 1 where unknown
    cell: int  # endpoints of one cell share their memory of keys, and often a rack
    zone: int
    kind: int


@dataclass(slots=True, frozen=True)
class Split:
    """An experiment: arms are sets of endpoints, each with a share of the requests.

    `woadyard.policy.assign_arm` returns the arm of a request. All its attempts go to endpoints of that arm,
    or of the control arm if the arm has no usable endpoint: then `Send.arm` differs from the assigned arm.
    """

    revision: int
    salt: int  # of the hash that assigns arms, 64 bits; it differs between experiments
    shares: tuple[float, ...]  # of the requests, by arm; they add up to 1
    control: int  # the arm of all endpoints that are in no other
    arm_of: Mapping[int, int]  # by endpoint

    def __post_init__(self) -> None:
        if not self.shares or abs(sum(self.shares) - 1.0) > 1e-6 or min(self.shares) < 0.0:
            raise PlanError(f"shares of the arms must add up to 1: {self.shares}")
        if not {self.control, *self.arm_of.values()} <= set(range(len(self.shares))):
            raise PlanError(f"an endpoint or the control names an arm that is not one of {len(self.shares)}")
        if not 0 <= self.salt < 2**64:
            raise PlanError(f"the salt must be an unsigned 64-bit integer: {self.salt}")


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that the sidecar received; `expires` is when its client gives up."""

    request: int
    cls: int
    expires: int
    tenant: int = 0
    key: int = 0  # of the object it concerns; 0 = none
    work_us: int = 0  # hint of its cost; 0 = none
    repeated: bool = False  # the client marked it as a retry
    home: int | None = None  # the endpoint preferred by affinity
    loading: bool = False  # its body is still arriving; `whole` reports the last byte
    affinity: int = 0  # what its arm is assigned by; 0 = by the request id


@dataclass(slots=True, frozen=True)
class Outcome:
    """How one attempt ended, or (for `head`) that its response has started."""

    request: int
    copy: int  # attempt index
    endpoint: int
    outcome: int
    delay_us: int  # since it was sent
    over: bool = False  # the request has its final response
    report: Sequence[float] | None = None
    spent: bool = False  # part of the request body was consumed: it cannot be sent again


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of one probe."""

    endpoint: int
    outcome: int
    delay_us: int
    report: Sequence[float] | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    endpoint: int
    timeout_us: int
    arm: int = 0  # of the endpoint; 0 without a split
    start_by: int = 0  # time before which its first byte must be sent; 0 = no bound


@dataclass(slots=True, frozen=True)
class Timer:
    """Call `timer` with this token after the delay."""

    token: int
    delay_us: int


class EndReason(StrEnum):
    """Why the balancer ends a request that no endpoint served; for the log."""

    ADMISSION = "admission control"
    KEY_QUEUE = "too many requests with its key are ahead"
    NO_ATTEMPT_LEFT = "no further attempt is allowed"
    NO_LEASE = "no membership lease, or all endpoints are detached"
    NO_ENDPOINT = "no endpoint may be used in time"
    RETRY_BUDGET = "the retry budget is spent"


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final response: the request was rejected, and a retry by the client is harmless."""

    request: int
    retry_after_us: int
    reason: EndReason = field(default=EndReason.NO_ATTEMPT_LEFT, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: the request failed, and may or may not have run."""

    request: int
    reason: EndReason = field(default=EndReason.NO_ATTEMPT_LEFT, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt."""

    request: int
    copy: int  # attempt index


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe the health of an endpoint, at a price."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Close:
    """Close this sidecar's idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Start or end the watch of discovery's changes."""

    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch the full list from discovery once."""


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a message to one sidecar of the tier, or (None) to all."""

    target: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Verdict:
    """This sidecar's opinion on an endpoint, reported to the others; a state of None withdraws it."""

    endpoint: int
    state: str | None  # EJECTED, DEGRADED or COLD


@dataclass(slots=True, frozen=True)
class Log:
    """A log message for operators."""

    text: str


Action = Send | Timer | Refuse | Fail | Cancel | Probe | Close | Watch | Fetch | Tell | Verdict | Log
