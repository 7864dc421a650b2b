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
from woadyard.net.attempts import Attempts
from woadyard.net.discovery import Discovery
from woadyard.net.endpoint_table import EndpointTable, ListedEndpoint
from woadyard.net.message import Call, Response
from woadyard.net.observe import Listener, Observer, Observers
from woadyard.net.requests import Requests
from woadyard.net.sharing import Shared, Trust
from woadyard.net.state import Bans
from woadyard.net.turns import Turns, now_us
from woadyard.net.upstream import Upstream
from woadyard.ops.metrics import Quiet
from woadyard.policy import Balancer
from woadyard.shared.store import Entry as VerdictEntry

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
        metrics: Quiet | None = None,
        shared: Shared | None = None,
        locality: Locality | None = None,
    ) -> None:
        self.loop, self.upstream, self.shared = loop, upstream, shared
        self.metrics = metrics or Quiet()
        self.raw = raw
        self.force = ActiveSettings(shared is not None)
        self._settle(settings, locality)
        self.balancer = Balancer(seed, self.settings)
        self.bans = Bans(state, self._banned)
        self.listing = EndpointTable(upstream, self.bans, self.force)
        self.trust = Trust(shared, self.metrics)
        self.turns = Turns(loop, self.balancer, self._do, self._failed, self.metrics)
        self.requests = Requests(self.turns, shared)
        self.attempts = Attempts(self.turns, self.requests, self.listing, self.force, upstream)
        self.tell = self.turns.tell
        self.affinity_header = b""  # requests alike in it go to one endpoint, lower case
        self.planned: Listener | None = None  # a plan's weights, resolved for each list
        self.discovery: Discovery | None = None
        self.heard = False  # a list of discovery, since the start

    @property
    def settings(self) -> Settings:
        return self.force.settings

    @property
    def names(self) -> NameIndex:
        return self.force.name_index

    @property
    def places(self) -> dict[int, ListedEndpoint]:
        return self.listing.by_number

    @property
    def calls(self) -> dict[int, Call]:
        return self.requests.calls

    @property
    def observer(self) -> Observer | None:
        """Told all that happens from now on; set before `start`, it hears the first settings."""
        return self.turns.observer

    @observer.setter
    def observer(self, observer: Observer | None) -> None:
        self.turns.observer = observer

    def observe(self, observer: Observer) -> None:
        """One more, beside those there are."""
        self.observer = observer if self.observer is None else Observers(self.observer, observer)

    def start(self, known: dict[str, Any] | None, alone: bool = True) -> None:
        self._retuned()
        self.tell(self.balancer.start, alone, self.discovery is not None)
        if known is not None:
            self._list(LIST_CACHED, int(known["generation"]), known["instances"])
        if self.discovery is not None:
            self.discovery.generation = int(known["generation"]) if known else 0
            self.discovery.on_failed = self._list_failed
            self.discovery.on_generation_reset = self.listing.removed.clear
            self._lease_from(self.discovery)
            if self.discovery.uses_push:
                self.discovery.set_watch(True)

    def _lease_from(self, discovery: Discovery) -> None:
        """The membership lease follows what discovery is heard of."""
        balancer = self.balancer
        discovery.on_confirmed = lambda: self.tell(balancer.confirmed)
        discovery.on_silent = lambda: self.tell(balancer.silent)
        discovery.on_moved = lambda: self.tell(balancer.moved)
        discovery.on_unreachable = lambda since_s: self.tell(balancer.unreachable, round(since_s * 1e6))

    # --- Settings ---------------------------------------------------------------------

    def retune(self, raw: dict[str, Any], read: Settings, locality: Locality | None = None) -> None:
        self.raw = raw
        self._settle(read, locality)
        self._retuned()
        self.tell(self.balancer.retune, self.settings)

    def _settle(self, read: Settings, locality: Locality | None) -> None:
        self.force.update(self.raw, read, locality)
        self.upstream.retune(read.idle_us, read.connect_timeout_us)

    def _retuned(self) -> None:
        if self.observer is not None:
            self.observer.retuned(now_us(), self.settings, self.raw)

    # --- Lists and weights ------------------------------------------------------------

    def listed(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        """A list of discovery; PeerError, and nothing of it used, where it is none."""
        self._list(LIST_FULL if whole else LIST_DELTA, version, entries)
        self.heard = True

    def _list_failed(self) -> None:
        self.metrics.listed(LIST_FAILED, 0)
        self.tell(self.balancer.members, LIST_FAILED, ())

    def _list(self, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        read = self.listing.parse(version, raw)
        self.metrics.listed(mode, version)
        self.listing.apply(version, mode != LIST_DELTA, read)
        self.tell(self.balancer.members, mode, [entry for entry, _ in read])
        if self.observer is not None:
            self.observer.listed(now_us(), mode, version, raw)
        if self.planned is not None:
            self.planned.listed(mode, raw)
        if self.shared is not None or self.trust.planned:
            self._trust()
        if self.shared is not None:
            self.shared.relimit()

    def verdicts(self, entries: list[VerdictEntry]) -> None:
        """The other sidecars' verdicts by now, all that are within their bound."""
        if self.shared is not None:
            self.shared.entries = entries
            self._trust()

    def distrust(self, names: frozenset[str]) -> None:
        """The verdicts of sidecars of these names do not count, until they are left out again."""
        if self.shared is not None:
            self.shared.distrusted = names
            self._trust()

    def weigh(self, factors: Mapping[str, float]) -> None:
        """A plan's weights by instance id, each above 0 and up to 1, from now on and over all
        lists; they lower what the list says. Who is not named keeps its weight whole."""
        self.trust.plan(factors)
        self._trust()

    def _trust(self) -> None:
        self.tell(self.balancer.trust, self.trust.factors(self.listing.ready_numbers()))

    # --- Limits kept together -----------------------------------------------------------

    def wanted(self) -> list[int]:
        """The endpoints that the module sends to from here."""
        return [one.id for one in self.balancer.endpoints.values() if one.in_subset and one.is_ready]

    def used(self) -> dict[int, int]:
        return {one.id: one.inflight for one in self.balancer.endpoints.values() if one.inflight}

    def longest_us(self) -> int:
        return max(cls.deadline_us for cls in self.settings.classes)

    def limit(self, caps: dict[int, int], others: int) -> None:
        """This process's shares of the limits that all sidecars keep together."""
        self.metrics.shares(sum(caps.values()))
        self.tell(self.balancer.limit, caps, others)

    # --- Operators --------------------------------------------------------------------

    def _banned(self, number: int, out: bool) -> None:
        """Told on any thread; `may_start` heeds the ban from before this on."""
        self.loop.call_soon_threadsafe(self._detach if out else self._attach, number)

    def _detach(self, number: int) -> None:
        self.metrics.banned(True)
        self.upstream.remove(number)
        self.tell(self.balancer.detach, number)

    def _attach(self, number: int) -> None:
        self.metrics.banned(False)
        self.listing.reattach(number)
        self.tell(self.balancer.attach, number)

    # --- Actions ----------------------------------------------------------------------

    def _failed(self, call: Call) -> None:
        self.requests.send_response(call, Response(500))

    def _do(self, action: Action) -> None:
        match action:
            case Send():
                self.attempts.send(action)
            case Timer(token, delay_us):
                self.turns.fire(delay_us, token)
            case Refuse(request, after_us):
                self.requests.reject(request, after_us)
            case Fail(request):
                self.requests.fail(request)
            case Cancel(request, copy):
                self.attempts.cancel(request, copy)
            case Close(endpoint):
                self.upstream.free(endpoint)
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
