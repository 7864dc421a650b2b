"""Drives one `Balancer` in real time: lists, settings, operators, and its actions.

It translates and obeys; the parts that it is made of keep the requests, the
attempts, the listed endpoints and the settings in force.
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
from woadyard.net.requests import Requests
from woadyard.net.state import Bans
from woadyard.net.upstream import Upstream
from woadyard.net.weight_factors import SharedState, WeightFactors
from woadyard.ops.metrics import NullMetrics
from woadyard.policy import Balancer
from woadyard.shared.store import SharedEntry as VerdictEntry

LOG = logging.getLogger(__name__)


class Driver:
    now = staticmethod(now_us)

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        settings: Settings,
        raw: dict[str, Any],
        upstream: Upstream,
        state: Path | None = None,
        metrics: NullMetrics | None = None,
        shared: SharedState | None = None,
        locality: Locality | None = None,
    ) -> None:
        self.loop, self.upstream, self.shared = loop, upstream, shared
        self.metrics = metrics or NullMetrics()
        self.raw_settings = raw
        self.in_force = ActiveSettings(shared is not None)
        self._put_in_force(settings, locality)
        self.balancer = Balancer(seed, self.settings)
        self.bans = Bans(state, self._on_ban_changed)
        self.listed_endpoints = EndpointTable(upstream, self.bans, self.in_force)
        self.weight_factors = WeightFactors(shared, self.metrics)
        self.dispatcher = EventDispatcher(loop, self.balancer, self._execute, self._on_fault, self.metrics)
        self.requests = Requests(self.dispatcher, shared)
        self.attempts = AttemptRunner(
            self.dispatcher, self.requests, self.listed_endpoints, self.in_force, upstream
        )
        self.dispatch = self.dispatcher.dispatch
        self.affinity_header = b""  # requests alike in it go to one endpoint, lower case
        self.plan_listener: ListListener | None = None  # a plan's weights, resolved for each list
        self.discovery: Discovery | None = None
        self.has_received_list = False  # a list of discovery, since the start

    @property
    def settings(self) -> Settings:
        return self.in_force.settings

    @property
    def names(self) -> NameIndex:
        return self.in_force.name_index

    @property
    def endpoints_by_number(self) -> dict[int, ListedEndpoint]:
        return self.listed_endpoints.by_number

    @property
    def calls(self) -> dict[int, Call]:
        return self.requests.calls

    @property
    def observer(self) -> Observer | None:
        """Told all that happens from now on; set before `start`, it hears the first settings."""
        return self.dispatcher.observer

    @observer.setter
    def observer(self, observer: Observer | None) -> None:
        self.dispatcher.observer = observer

    def add_observer(self, observer: Observer) -> None:
        """One more, beside those there are."""
        self.observer = observer if self.observer is None else ObserverGroup(self.observer, observer)

    def start(self, known: dict[str, Any] | None, alone: bool = True) -> None:
        self._notify_settings()
        self.dispatch(self.balancer.start, alone, self.discovery is not None)
        if known is not None:
            self._apply_entries(LIST_CACHED, int(known["generation"]), known["instances"])
        if self.discovery is not None:
            self.discovery.generation = int(known["generation"]) if known else 0
            self.discovery.on_failed = self._on_list_failed
            self.discovery.on_generation_reset = self.listed_endpoints.removed.clear
            self._subscribe_lease_events(self.discovery)
            if self.discovery.uses_push:
                self.discovery.set_watch(True)

    def _subscribe_lease_events(self, discovery: Discovery) -> None:
        """The membership lease follows what discovery is heard of."""
        balancer = self.balancer
        discovery.on_confirmed = lambda: self.dispatch(balancer.confirmed)
        discovery.on_silent = lambda: self.dispatch(balancer.silent)
        discovery.on_moved = lambda: self.dispatch(balancer.moved)
        discovery.on_unreachable = lambda since_s: self.dispatch(balancer.unreachable, round(since_s * 1e6))

    # --- Settings ---------------------------------------------------------------------

    def apply_settings(self, raw: dict[str, Any], read: Settings, locality: Locality | None = None) -> None:
        self.raw_settings = raw
        self._put_in_force(read, locality)
        self._notify_settings()
        self.dispatch(self.balancer.retune, self.settings)

    def _put_in_force(self, read: Settings, locality: Locality | None) -> None:
        self.in_force.update(self.raw_settings, read, locality)
        self.upstream.set_timeouts(read.idle_us, read.connect_timeout_us)

    def _notify_settings(self) -> None:
        if self.observer is not None:
            self.observer.settings_applied(now_us(), self.settings, self.raw_settings)

    # --- Lists and weights ------------------------------------------------------------

    def apply_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        """A list of discovery; PeerError, and nothing of it used, where it is none."""
        self._apply_entries(LIST_FULL if whole else LIST_DELTA, version, entries)
        self.has_received_list = True

    def _on_list_failed(self) -> None:
        self.metrics.list_received(LIST_FAILED, 0)
        self.dispatch(self.balancer.members, LIST_FAILED, ())

    def _apply_entries(self, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        read = self.listed_endpoints.parse(version, raw)
        self.metrics.list_received(mode, version)
        self.listed_endpoints.apply(version, mode != LIST_DELTA, read)
        self.dispatch(self.balancer.members, mode, [entry for entry, _ in read])
        if self.observer is not None:
            self.observer.list_applied(now_us(), mode, version, raw)
        if self.plan_listener is not None:
            self.plan_listener.list_applied(mode, raw)
        if self.shared is not None or self.weight_factors.planned_factors:
            self._dispatch_weight_factors()
        if self.shared is not None:
            self.shared.announce_limits()

    def apply_verdicts(self, entries: list[VerdictEntry]) -> None:
        """The other sidecars' verdicts by now, all that are within their bound."""
        if self.shared is not None:
            self.shared.verdict_entries = entries
            self._dispatch_weight_factors()

    def ignore_verdicts(self, names: frozenset[str]) -> None:
        """The verdicts of sidecars of these names do not count, until they are left out again."""
        if self.shared is not None:
            self.shared.ignored_sidecars = names
            self._dispatch_weight_factors()

    def set_planned_weights(self, factors: Mapping[str, float]) -> None:
        """A plan's weights by instance id, each above 0 and up to 1, from now on and over all
        lists; they lower what the list says. Who is not named keeps its weight whole."""
        self.weight_factors.set_planned(factors)
        self._dispatch_weight_factors()

    def _dispatch_weight_factors(self) -> None:
        self.dispatch(
            self.balancer.trust, self.weight_factors.combined(self.listed_endpoints.ready_numbers())
        )

    # --- Limits kept together -----------------------------------------------------------

    def preferred_endpoints(self) -> list[int]:
        """The endpoints that the module sends to from here."""
        return [one.id for one in self.balancer.endpoints.values() if one.in_subset and one.is_ready]

    def in_flight_counts(self) -> dict[int, int]:
        return {one.id: one.inflight for one in self.balancer.endpoints.values() if one.inflight}

    def longest_deadline_us(self) -> int:
        return max(cls.deadline_us for cls in self.settings.classes)

    def apply_limits(self, caps: dict[int, int], others: int) -> None:
        """This process's shares of the limits that all sidecars keep together."""
        self.metrics.set_shares(sum(caps.values()))
        self.dispatch(self.balancer.limit, caps, others)

    # --- Operators --------------------------------------------------------------------

    def _on_ban_changed(self, number: int, out: bool) -> None:
        """Told on any thread; `may_start` heeds the ban from before this on."""
        self.loop.call_soon_threadsafe(self._detach if out else self._attach, number)

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
        self.requests.send_response(call, Response(500))

    def _execute(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.send(action)
            case Timer(token, delay_us):
                self.dispatcher.start_timer(delay_us, token)
            case Refuse(request, after_us):
                self.requests.reject(request, after_us)
            case Fail(request):
                self.requests.fail(request)
            case Cancel(request, copy):
                self.attempts.cancel(request, copy)
            case Close(endpoint):
                self.upstream.close_idle(endpoint)
            case Watch(on):
                # Asked for after a wait: by now a new address may have begun another one.
                if self.discovery is not None and not (on and self.discovery.is_watching):
                    self.discovery.set_watch(on)
            case Fetch():
                if self.discovery is not None:
                    self.discovery.fetch()
            case Verdict(endpoint, state):
                if self.shared is not None:
                    self.shared.publish(endpoint, state)
            case Log(text):
                LOG.info("module", extra={"text": text})
            case _:
                raise TypeError(f"{action!r} is not of this deployment")
