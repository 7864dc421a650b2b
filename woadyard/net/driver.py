"""Drives one `Balancer` in real time: passes it events and executes the actions it returns.

Events are lists, settings and operator calls, besides requests and attempts. The driver only
translates; its parts keep the open requests, attempts, listed endpoints and settings in force.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from woadyard.interface import (
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    Action,
    Cancel,
    Close,
    Fail,
    Fetch,
    Locality,
    Log,
    Refuse,
    Send,
    Settings,
    Timer,
    Verdict,
    Watch,
)
from woadyard.net.active_settings import ActiveSettings, NameIndex
from woadyard.net.attempts import AttemptRunner
from woadyard.net.discovery import Discovery
from woadyard.net.endpoint_table import EndpointTable, ListedEndpoint
from woadyard.net.event_dispatcher import EventDispatcher, now_us
from woadyard.net.message import Call, Response
from woadyard.net.observers import ListListener, Observer, ObserverGroup
from woadyard.net.request_log import FailureReason
from woadyard.net.requests import Requests
from woadyard.net.state import Bans
from woadyard.net.upstream import Upstream
from woadyard.net.weight_factors import SharedState, WeightFactors
from woadyard.ops.metrics import NullMetrics
from woadyard.policy import Balancer
from woadyard.shared.store import SharedEntry as VerdictEntry

LOG = logging.getLogger(__name__)


class Driver:
    """Connects the balancer to the sockets, the endpoint list, the settings and the operators."""

    now = staticmethod(now_us)

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        settings: Settings,
        raw_settings: dict[str, Any],
        upstream: Upstream,
        state: Path | None = None,
        metrics: NullMetrics | None = None,
        shared: SharedState | None = None,
        locality: Locality | None = None,
    ) -> None:
        self.loop, self.upstream, self.shared = loop, upstream, shared
        self.metrics = metrics or NullMetrics()
        self.raw_settings = raw_settings
        self.active_settings = ActiveSettings(shared is not None)
        self._activate_settings(settings, locality)
        self.balancer = Balancer(seed, self.settings)
        self.bans = Bans(state, self._on_ban_changed)
        self.listed_endpoints = EndpointTable(upstream, self.bans, self.active_settings)
        self.weight_factors = WeightFactors(shared, self.metrics)
        self.dispatcher = EventDispatcher(loop, self.balancer, self._execute, self._on_fault, self.metrics)
        self.requests = Requests(self.dispatcher, shared)
        self.attempts = AttemptRunner(
            self.dispatcher, self.requests, self.listed_endpoints, self.active_settings, upstream
        )
        self.dispatch = self.dispatcher.dispatch
        # Lower case; requests with the same value of this header go to the same endpoint.
        self.affinity_header = b""
        self.plan_listener: ListListener | None = None  # resolves a plan's weights for each list
        self.discovery: Discovery | None = None
        self.has_received_list = False  # from discovery, since the start

    @property
    def settings(self) -> Settings:
        return self.active_settings.settings

    @property
    def names(self) -> NameIndex:
        return self.active_settings.name_index

    @property
    def endpoints_by_number(self) -> dict[int, ListedEndpoint]:
        return self.listed_endpoints.by_number

    @property
    def calls(self) -> dict[int, Call]:
        return self.requests.calls

    @property
    def observer(self) -> Observer | None:
        """Receives all events from now on; one set before `start` also receives the first settings."""
        return self.dispatcher.observer

    @observer.setter
    def observer(self, observer: Observer | None) -> None:
        self.dispatcher.observer = observer

    def add_observer(self, observer: Observer) -> None:
        """Add an observer to those already set."""
        self.observer = observer if self.observer is None else ObserverGroup(self.observer, observer)

    def start(self, cached_list: dict[str, Any] | None, alone: bool = True) -> None:
        """Start the balancer with the cached list, if any, and start watching discovery.

        `alone` is false if this process takes over from another one of the same sidecar. Raises
        PeerError if the cached list is invalid.
        """
        self._notify_settings()
        self.dispatch(self.balancer.start, alone, self.discovery is not None)
        if cached_list is not None:
            self._apply_entries(LIST_CACHED, int(cached_list["generation"]), cached_list["instances"])
        if self.discovery is not None:
            self.discovery.generation = int(cached_list["generation"]) if cached_list else 0
            self.discovery.on_failed = self._on_list_failed
            self.discovery.on_generation_reset = self.listed_endpoints.removed.clear
            self._subscribe_lease_events(self.discovery)
            if self.discovery.uses_push:
                self.discovery.set_watch(True)

    def _subscribe_lease_events(self, discovery: Discovery) -> None:
        """Forward what discovery reports about its state, which the membership lease depends on."""
        balancer = self.balancer
        discovery.on_confirmed = lambda: self.dispatch(balancer.confirmed)
        discovery.on_heartbeat = self.metrics.heartbeat_received
        discovery.on_moved = lambda: self.dispatch(balancer.moved)
        discovery.on_unreachable = lambda since_s: self.dispatch(balancer.unreachable, round(since_s * 1e6))

    # --- Settings ---------------------------------------------------------------------

    def apply_settings(
        self, raw: dict[str, Any], new_settings: Settings, locality: Locality | None = None
    ) -> None:
        """Replace the settings in force."""
        self.raw_settings = raw
        self._activate_settings(new_settings, locality)
        self._notify_settings()
        self.dispatch(self.balancer.retune, self.settings)

    def _activate_settings(self, settings: Settings, locality: Locality | None) -> None:
        self.active_settings.update(self.raw_settings, settings, locality)
        self.upstream.set_timeouts(settings.idle_us, settings.connect_timeout_us)

    def _notify_settings(self) -> None:
        if self.observer is not None:
            self.observer.settings_applied(now_us(), self.settings, self.raw_settings)

    # --- Lists and weights ------------------------------------------------------------

    def apply_list(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        """Apply a list received from discovery; raises PeerError and applies nothing if it is invalid."""
        self._apply_entries(LIST_FULL if is_full else LIST_DELTA, version, entries)
        self.has_received_list = True

    def _on_list_failed(self) -> None:
        self.metrics.list_received(LIST_FAILED, 0)
        self.dispatch(self.balancer.members, LIST_FAILED, ())

    def _apply_entries(self, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        entries = self.listed_endpoints.parse(version, raw)
        self.metrics.list_received(mode, version)
        self.listed_endpoints.apply(version, mode != LIST_DELTA, entries)
        self.dispatch(self.balancer.members, mode, [entry for entry, _ in entries])
        if self.observer is not None:
            self.observer.list_applied(now_us(), mode, version, raw)
        if self.plan_listener is not None:
            self.plan_listener.list_applied(mode, raw)
        if self.shared is not None or self.weight_factors.planned_factors:
            self._dispatch_weight_factors()
        if self.shared is not None:
            self.shared.announce_limits()

    def apply_verdicts(self, entries: list[VerdictEntry]) -> None:
        """Replace the other sidecars' verdicts by these, all that have not expired."""
        if self.shared is not None:
            self.shared.verdict_entries = entries
            self._dispatch_weight_factors()

    def ignore_verdicts(self, names: frozenset[str]) -> None:
        """Ignore the verdicts of exactly these sidecars, until the next call."""
        if self.shared is not None:
            self.shared.ignored_sidecars = names
            self._dispatch_weight_factors()

    def set_planned_weights(self, factors: Mapping[str, float]) -> None:
        """Set a plan's weight factors by instance id, each in (0, 1].

        They multiply the weights of all current and later lists; instances not named keep theirs.
        """
        self.weight_factors.set_planned(factors)
        self._dispatch_weight_factors()

    def _dispatch_weight_factors(self) -> None:
        self.dispatch(
            self.balancer.trust, self.weight_factors.combined(self.listed_endpoints.ready_numbers())
        )

    # --- Limits shared with other sidecars ----------------------------------------------

    def preferred_endpoints(self) -> list[int]:
        """The ready endpoints that the balancer sends to from this sidecar."""
        return [
            endpoint.id
            for endpoint in self.balancer.endpoints.values()
            if endpoint.in_subset and endpoint.is_ready
        ]

    def in_flight_counts(self) -> dict[int, int]:
        """Attempts in flight by endpoint number, where there are any."""
        return {
            endpoint.id: endpoint.inflight
            for endpoint in self.balancer.endpoints.values()
            if endpoint.inflight
        }

    def longest_deadline_us(self) -> int:
        """The longest deadline of all request classes."""
        return max(cls.deadline_us for cls in self.settings.classes)

    def apply_limits(self, caps: dict[int, int], others: int) -> None:
        """Apply this process's shares of the limits shared by all sidecars, by endpoint number.

        `others` is the limit of each endpoint that `caps` does not name.
        """
        self.metrics.set_shares(sum(caps.values()))
        self.dispatch(self.balancer.limit, caps, others)

    # --- Operators --------------------------------------------------------------------

    def _on_ban_changed(self, number: int, is_banned: bool) -> None:
        """Called on any thread; `may_start` already respects the changed ban."""
        self.loop.call_soon_threadsafe(self._detach if is_banned else self._attach, number)

    def _detach(self, number: int) -> None:
        self.metrics.ban_changed(True)
        self.upstream.close_pool(number)
        self.dispatch(self.balancer.detach, number)

    def _attach(self, number: int) -> None:
        self.metrics.ban_changed(False)
        self.listed_endpoints.reattach(number)
        self.dispatch(self.balancer.attach, number)

    # --- Actions ----------------------------------------------------------------------

    def _on_fault(self, call: Call) -> None:
        self.requests.send_failure(call, Response(500), FailureReason.FAULT)

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.send(action)
            case Timer(token, delay_us):
                self.dispatcher.start_timer(delay_us, token)
            case Refuse(request, retry_after_us, reason):
                self.requests.reject(request, retry_after_us, reason)
            case Fail(request, reason):
                self.requests.fail(request, reason)
            case Cancel(request, attempt_index):
                self.attempts.cancel(request, attempt_index)
            case Close(endpoint):
                self.upstream.close_idle(endpoint)
            case Watch(on):
                # The action may come after a wait, in which a new address has started another watch.
                if self.discovery is not None and not (on and self.discovery.is_watching):
                    self.discovery.set_watch(on)
            case Fetch():
                if self.discovery is not None:
                    self.discovery.fetch()
            case Verdict(endpoint, state):
                if self.shared is not None:
                    self.shared.publish(endpoint, state)
            case Log(text):
                LOG.info("balancer message", extra={"text": text})
            case _:
                raise TypeError(f"{action!r} is not supported by this deployment")
