"""Counters and histograms of one sidecar, for `GET /_metrics` on the door.

`Metrics` keeps them with `prometheus_client` in a registry of its own, so
that several sidecars in one process (as in tests) count apart; `render` gives
the Prometheus text format 0.0.4. `NullMetrics` takes the same calls and keeps
nothing, for a process without a door, where nobody could read them.
Times are in microseconds in the calls, seconds in the output.
"""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from woadyard.interface import LIST_CACHED, LIST_DELTA, LIST_FAILED, LIST_FULL

OUTCOMES = ("ok", "error", "full", "timeout", "no_connect", "reset", "cancelled", "moot")
LISTS = {LIST_FULL: "full", LIST_FAILED: "failed", LIST_DELTA: "delta", LIST_CACHED: "cached"}
# From a fast answer on loopback to the longest deadline of a class, in seconds.
BUCKETS = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
US = 1e-6


class NullMetrics:
    """Takes every count and keeps none."""

    def request_received(self) -> None:
        """A request taken from a caller."""

    def response_sent(self, status: int, took_us: int) -> None:
        """Its final answer, `took_us` after it was taken."""

    def attempt_sent(self, copy: int) -> None:
        """An attempt sent on; `copy` counts from 0, so above it is a retry."""

    def attempt_ended(self, outcome: int, took_us: int) -> None:
        """An attempt's outcome (`woadyard.interface.OK` and the others)."""

    def request_rejected(self) -> None:
        """A request refused by admission, with no attempt."""

    def request_malformed(self, status: int) -> None:
        """A request turned down before it was taken, with a 4xx."""

    def ban_changed(self, out: bool) -> None:
        """An endpoint taken out (True) or put back by an operator."""

    def list_received(self, mode: int, version: int) -> None:
        """A list, or its failure, and the version it brings."""

    def set_held_endpoints(self, count: int) -> None:
        """Endpoints that lists lost and that are still used (the panic threshold)."""

    def set_peers(self, count: int) -> None:
        """Sidecars that share state with this one."""

    def exchange_ended(self, result: str, sent: int, got: int) -> None:
        """An exchange with a peer (done, refused or failed) and its bodies' bytes."""

    def set_lowered_endpoints(self, count: int) -> None:
        """Endpoints whose weight others' verdicts lower."""

    def zone_attempt_sent(self, name: str) -> None:
        """An attempt sent to an endpoint of this zone, where zones are chosen."""

    def set_shares(self, count: int) -> None:
        """Attempts that may be out from here by the shares held, over all endpoints."""

    def invariant_violated(self, rule: str) -> None:
        """A rule that was broken all the same (`woadyard.net.invariants`)."""

    def render(self) -> str:
        return ""


class Metrics(NullMetrics):
    """The counts of one sidecar; every call takes a lock or two, no I/O."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.requests = Counter("woadyard_requests", "Requests taken from callers", registry=registry)
        answers = Counter(
            "woadyard_answers", "Final answers to callers, by status", ["status"], registry=registry
        )
        self.answers = answers.labels
        self.by_status: dict[int, Any] = {}  # the children, as `labels` takes a lock to find them
        self.request_seconds = Histogram(
            "woadyard_request_seconds", "From a request taken to its final answer", buckets=BUCKETS,
            registry=registry,
        )  # fmt: skip
        self.attempts = Counter("woadyard_attempts", "Attempts sent to endpoints", registry=registry)
        self.retries = Counter("woadyard_retries", "Attempts beyond a request's first", registry=registry)
        outcomes = Counter(
            "woadyard_attempt_outcomes", "Attempts ended, by outcome", ["outcome"], registry=registry
        )
        self.outcomes = [outcomes.labels(name) for name in OUTCOMES]
        self.attempt_seconds = Histogram(
            "woadyard_attempt_seconds", "From an attempt sent to its outcome", buckets=BUCKETS,
            registry=registry,
        )  # fmt: skip
        self.refusals = Counter("woadyard_refusals", "Requests refused by admission", registry=registry)
        malformed = Counter(
            "woadyard_malformed", "Requests turned down before they were taken", ["status"], registry=registry
        )
        self.malformed_by = malformed.labels
        bans = Counter("woadyard_bans", "Endpoints taken out or put back", ["act"], registry=registry)
        self.bans = bans.labels("detach"), bans.labels("attach")
        lists = Counter("woadyard_lists", "Lists from discovery, by kind", ["kind"], registry=registry)
        self.lists = {mode: lists.labels(name) for mode, name in LISTS.items()}
        self.version = Gauge("woadyard_list_version", "Version of the list in force", registry=registry)

        self.held = Gauge(
            "woadyard_list_held", "Endpoints lost by the list and held on to", registry=registry
        )
        self.peer_count = Gauge("woadyard_peers", "Sidecars that share state", registry=registry)
        exchanges = Counter("woadyard_exchanges", "Exchanges with peers", ["result"], registry=registry)
        self.exchanges = {name: exchanges.labels(name) for name in ("done", "refused", "failed")}
        told = Counter("woadyard_exchange_bytes", "Bodies of exchanges", ["way"], registry=registry)
        self.told = told.labels("out"), told.labels("in")
        self.lowered_count = Gauge(
            "woadyard_endpoints_lowered", "Endpoints that others' verdicts lower", registry=registry
        )
        zones = Counter("woadyard_zone_attempts", "Attempts by zone", ["zone"], registry=registry)
        self.zones = zones.labels
        self.violations = Counter(
            "woadyard_invariant_violations", "Rules found broken, by rule", ["rule"], registry=registry
        )
        self.share_count = Gauge("woadyard_shares", "Shares of limits held", registry=registry)

    def request_received(self) -> None:
        self.requests.inc()

    def response_sent(self, status: int, took_us: int) -> None:
        if (child := self.by_status.get(status)) is None:
            child = self.by_status[status] = self.answers(str(status))
        child.inc()
        self.request_seconds.observe(took_us * US)

    def attempt_sent(self, copy: int) -> None:
        self.attempts.inc()
        if copy:
            self.retries.inc()

    def attempt_ended(self, outcome: int, took_us: int) -> None:
        self.outcomes[outcome].inc()
        self.attempt_seconds.observe(took_us * US)

    def request_rejected(self) -> None:
        self.refusals.inc()

    def request_malformed(self, status: int) -> None:
        self.malformed_by(str(status)).inc()

    def ban_changed(self, out: bool) -> None:
        self.bans[0 if out else 1].inc()

    def list_received(self, mode: int, version: int) -> None:
        self.lists[mode].inc()
        if mode != LIST_FAILED:
            self.version.set(version)

    def set_held_endpoints(self, count: int) -> None:
        self.held.set(count)

    def set_peers(self, count: int) -> None:
        self.peer_count.set(count)

    def exchange_ended(self, result: str, sent: int, got: int) -> None:
        self.exchanges[result].inc()
        self.told[0].inc(sent)
        self.told[1].inc(got)

    def set_lowered_endpoints(self, count: int) -> None:
        self.lowered_count.set(count)

    def zone_attempt_sent(self, name: str) -> None:
        self.zones(name).inc()

    def set_shares(self, count: int) -> None:
        self.share_count.set(count)

    def invariant_violated(self, rule: str) -> None:
        self.violations.labels(rule).inc()

    def render(self) -> str:
        return generate_latest(self.registry).decode()
