"""Counters, gauges and histograms of one sidecar, served by the admin listener at `GET /_metrics`.

`Metrics` keeps its own, so that several sidecars in one process (as in tests) count separately;
`render` returns the Prometheus text format 0.0.4. `NullMetrics` has the same methods and keeps
nothing, for a process without an admin listener, where nobody could read them. The methods take
times in microseconds; the output has seconds.
"""

from __future__ import annotations

from woadyard.interface import LIST_CACHED, LIST_DELTA, LIST_FAILED, LIST_FULL
from woadyard.ops.metric_types import MetricRegistry, Sample

OUTCOMES = ("ok", "error", "full", "timeout", "no_connect", "reset", "cancelled", "moot")
LISTS = {LIST_FULL: "full", LIST_FAILED: "failed", LIST_DELTA: "delta", LIST_CACHED: "cached"}
# In seconds, from a fast response on loopback to the longest deadline of a class.
BUCKETS = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
SECONDS_PER_US = 1e-6


class NullMetrics:
    """Has the methods of `Metrics` and keeps nothing."""

    def request_received(self) -> None:
        """Count a request received from a client."""

    def response_sent(self, status: int, took_us: int) -> None:
        """Count a request's final response, `took_us` after the request was received."""

    def attempt_sent(self, attempt_index: int) -> None:
        """Count an attempt sent to an endpoint; indexes count from 0, so one above 0 is a retry."""

    def attempt_ended(self, outcome: int, took_us: int) -> None:
        """Count an attempt's outcome, `woadyard.interface.OK` or another."""

    def request_rejected(self) -> None:
        """Count a request that admission rejected without an attempt."""

    def request_malformed(self, status: int) -> None:
        """Count a request rejected with this 4xx status before it was accepted."""

    def ban_changed(self, is_banned: bool) -> None:
        """Count an endpoint that an operator detached (True) or attached again."""

    def list_received(self, mode: int, version: int) -> None:
        """Count a list from discovery, or its failure, and set the version in force."""

    def heartbeat_received(self, renews_lease: bool) -> None:
        """Count a heartbeat of discovery's watch, by whether it renewed the membership lease."""

    def set_held_endpoints(self, count: int) -> None:
        """Set the number of endpoints that lists lost and the panic threshold holds back."""

    def set_peers(self, count: int) -> None:
        """Set the number of sidecars that share state with this one."""

    def exchange_ended(self, result: str, sent_bytes: int, received_bytes: int) -> None:
        """Count an exchange with a peer (done, refused or failed) and the bytes of its bodies."""

    def set_lowered_endpoints(self, count: int) -> None:
        """Set the number of endpoints whose weight the verdicts of other sidecars lower."""

    def zone_attempt_sent(self, name: str) -> None:
        """Count an attempt sent to an endpoint of this zone, where zones are chosen."""

    def set_shares(self, count: int) -> None:
        """Set the number of attempts in flight that the shares held allow, over all endpoints."""

    def invariant_violated(self, rule: str) -> None:
        """Count a violation of an invariant (`woadyard.net.invariants`)."""

    def accept_failed(self, error: str) -> None:
        """Count an error of the system that left a client's connection in the backlog, by its name."""

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return ""


class Metrics(NullMetrics):
    """The metrics of one sidecar; no method does I/O."""

    def __init__(self) -> None:
        self.registry = registry = MetricRegistry()
        self.requests = registry.counter("woadyard_requests", "Requests received from clients")
        responses = registry.counter("woadyard_answers", "Final responses to clients, by status", ["status"])
        self.responses = responses.labels
        self.by_status: dict[int, Sample] = {}
        self.request_seconds = registry.histogram(
            "woadyard_request_seconds", "From a request received to its final response", BUCKETS
        )
        self.attempts = registry.counter("woadyard_attempts", "Attempts sent to endpoints")
        self.retries = registry.counter("woadyard_retries", "Attempts beyond a request's first")
        outcomes = registry.counter("woadyard_attempt_outcomes", "Attempts ended, by outcome", ["outcome"])
        self.outcomes = [outcomes.labels(name) for name in OUTCOMES]
        self.attempt_seconds = registry.histogram(
            "woadyard_attempt_seconds", "From an attempt sent to its outcome", BUCKETS
        )
        self.rejections = registry.counter("woadyard_refusals", "Requests rejected by admission")
        malformed = registry.counter(
            "woadyard_malformed", "Requests rejected before they were accepted", ["status"]
        )
        self.malformed_by_status = malformed.labels
        bans = registry.counter("woadyard_bans", "Endpoints detached or attached", ["act"])
        self.bans = bans.labels("detach"), bans.labels("attach")
        lists = registry.counter("woadyard_lists", "Lists from discovery, by kind", ["kind"])
        self.lists = {mode: lists.labels(name) for mode, name in LISTS.items()}
        self.list_version = registry.gauge("woadyard_list_version", "Version of the list in force")
        heartbeats = registry.counter(
            "woadyard_discovery_heartbeats",
            "Heartbeats of the watch, by whether they renewed the lease",
            ["renewed"],
        )
        self.heartbeats = {True: heartbeats.labels("yes"), False: heartbeats.labels("no")}
        self.held_endpoints = registry.gauge("woadyard_list_held", "Endpoints lost by the list and held back")
        self.peers = registry.gauge("woadyard_peers", "Sidecars that share state")
        exchanges = registry.counter("woadyard_exchanges", "Exchanges with peers", ["result"])
        self.exchanges = {name: exchanges.labels(name) for name in ("done", "refused", "failed")}
        exchange_bytes = registry.counter(
            "woadyard_exchange_bytes", "Bytes of the bodies of exchanges", ["way"]
        )
        self.exchange_bytes = exchange_bytes.labels("out"), exchange_bytes.labels("in")
        self.lowered_endpoints = registry.gauge(
            "woadyard_endpoints_lowered", "Endpoints that others' verdicts lower"
        )
        zones = registry.counter("woadyard_zone_attempts", "Attempts by zone", ["zone"])
        self.zones = zones.labels
        self.violations = registry.counter(
            "woadyard_invariant_violations", "Violations of invariants, by rule", ["rule"]
        )
        self.shares = registry.gauge("woadyard_shares", "Shares of limits held")
        self.accept_failures = registry.counter(
            "woadyard_accept_failures", "Failures to accept a client connection", ["error"]
        )

    def request_received(self) -> None:
        self.requests.inc()

    def response_sent(self, status: int, took_us: int) -> None:
        if (child := self.by_status.get(status)) is None:
            child = self.by_status[status] = self.responses(str(status))
        child.inc()
        self.request_seconds.observe(took_us * SECONDS_PER_US)

    def attempt_sent(self, attempt_index: int) -> None:
        self.attempts.inc()
        if attempt_index:
            self.retries.inc()

    def attempt_ended(self, outcome: int, took_us: int) -> None:
        self.outcomes[outcome].inc()
        self.attempt_seconds.observe(took_us * SECONDS_PER_US)

    def request_rejected(self) -> None:
        self.rejections.inc()

    def request_malformed(self, status: int) -> None:
        self.malformed_by_status(str(status)).inc()

    def ban_changed(self, is_banned: bool) -> None:
        self.bans[0 if is_banned else 1].inc()

    def list_received(self, mode: int, version: int) -> None:
        self.lists[mode].inc()
        if mode != LIST_FAILED:
            self.list_version.set(version)

    def heartbeat_received(self, renews_lease: bool) -> None:
        self.heartbeats[renews_lease].inc()

    def set_held_endpoints(self, count: int) -> None:
        self.held_endpoints.set(count)

    def set_peers(self, count: int) -> None:
        self.peers.set(count)

    def exchange_ended(self, result: str, sent_bytes: int, received_bytes: int) -> None:
        self.exchanges[result].inc()
        self.exchange_bytes[0].inc(sent_bytes)
        self.exchange_bytes[1].inc(received_bytes)

    def set_lowered_endpoints(self, count: int) -> None:
        self.lowered_endpoints.set(count)

    def zone_attempt_sent(self, name: str) -> None:
        self.zones(name).inc()

    def set_shares(self, count: int) -> None:
        self.shares.set(count)

    def invariant_violated(self, rule: str) -> None:
        self.violations.labels(rule).inc()

    def accept_failed(self, error: str) -> None:
        self.accept_failures.labels(error).inc()

    def render(self) -> str:
        return self.registry.render()
