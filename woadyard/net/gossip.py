"""Exchanges shared state with the peers: push-pull over HTTP/1.1 and JSON.

Every `interval_s` a sidecar asks one peer, drawn at random, for what it lacks:
`POST /_gossip` with its name, address and version vector. The peer answers with
the entries, at most `TELL_MOST` bytes; where the asker's vector shows news, it
asks back in turn, so one exchange moves state both ways and each side measures
the round trip by which it ages what it gets. The peers are the processes that
the list service at `peers` names; each registers itself there with a lease.

All of it runs on a loop and a thread of its own: the balancing waits for none.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import secrets
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any
from urllib.parse import quote

from woadyard.errors import ConfigError, PeerError
from woadyard.net.config import parse_address
from woadyard.net.discovery import Discovery
from woadyard.net.fetch import FetchError, ResponseTooLargeError, fetch
from woadyard.net.registry_client import RegistryClient
from woadyard.net.threaded_http import HttpError, Route, ThreadedHttpServer
from woadyard.ops.metrics import NullMetrics
from woadyard.shared.settings import SharedSettings
from woadyard.shared.store import VERDICT, GossipMessageError, SharedEntry, SharedStore, read_vector

GOSSIP_PATH = "/_gossip"
INSTANCES_PATH = "/registry/instances"
# Told at once at most, and asked with at most: a vector of 1,000 origins fits.
MAX_RESPONSE_BYTES, MAX_REQUEST_BYTES = 32 * 1024, 64 * 1024
CALL_TIMEOUT_S = 2.0
# Of the own name at the list service: three renewals fit into a lease.
LEASE_S = 6.0
# A verdict is written anew in this part of its life, as long as the module holds it,
# and for so many bounds past its last word at most: a failing endpoint is drawn too
# seldom to fail once in each bound, and an idle sidecar must not accuse for ever.
VERDICT_RENEW_SHARE, VERDICT_HOLD_BOUNDS = 0.25, 3.0
SAVE_INTERVAL_S = 1.0
LOG = logging.getLogger(__name__)
VerdictsListener = Callable[[list[SharedEntry]], None]


def now_us() -> int:
    """Monotonic, and the same clock in every process of one machine."""
    return time.monotonic_ns() // 1000


class Gossip:
    """One sidecar's part. `heard` is told the fresh verdicts, on the gossip's thread,
    whenever they changed. `name` is the sidecar's, the same over restarts."""

    def __init__(
        self,
        settings: SharedSettings,
        name: str,
        rng: random.Random,
        heard: VerdictsListener,
        metrics: NullMetrics,
        state: Path | None = None,
    ) -> None:
        self.settings, self.name, self.rng = settings, name, rng
        self.on_verdicts_changed, self.metrics = heard, metrics
        self.store = SharedStore(f"{name}@{secrets.token_hex(4)}", settings.bounds_us)
        self.state_path = state.with_suffix(".shared") if state is not None else None
        self.peers: dict[str, tuple[str, int]] = {}  # by origin
        self.pulls: dict[str, asyncio.Task[None]] = {}
        self.own_verdicts: dict[str, tuple[str, int]] = {}  # verdicts of the own module: what, when
        self.notified_entries: list[SharedEntry] = []  # as `heard` last was
        self.saved_at_s, self.saved_vector = 0.0, dict[str, int]()  # when, and the vector then
        self.listener = ThreadedHttpServer(
            {GOSSIP_PATH.encode(): Route(b"POST", self.handle_exchange)},
            [self._tick],
            settings.interval_s,
            MAX_REQUEST_BYTES,
        )
        self.loop = self.listener.loop
        self.discovery: Discovery | None = None
        self.registration: asyncio.Task[None] | None = None

    def open(self) -> int:
        """Listen, and exchange from now on; ConfigError where the address can't be used."""
        host, port = parse_address(self.settings.listen)
        self._load()
        try:
            bound = self.listener.open(host, port)
        except (OSError, OverflowError) as error:
            raise ConfigError(f"can't open shared.listen: {error}") from None
        self.address = host, bound
        self.loop.call_soon_threadsafe(self._start_tasks)
        return bound

    def _start_tasks(self) -> None:
        self.discovery = Discovery(
            self.loop, self.settings.peers, INSTANCES_PATH, True, self._apply_peer_list, self.rng
        )
        self.discovery.set_watch(True)
        writer = RegistryClient(self.settings.peers, self.rng)
        self.registration = self.loop.create_task(
            writer.write_periodically(LEASE_S / 3.0, self._build_registration)
        )

    def close(self) -> None:
        async def end() -> None:
            if self.discovery is not None:
                self.discovery.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=0.2) if tasks else None

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(1.0)
        self.listener.close()

    # --- What this sidecar finds -----------------------------------------------------

    def publish(self, endpoint: int, state: str | None) -> None:
        """A verdict of the own module; from any thread."""
        self.loop.call_soon_threadsafe(self._publish, str(endpoint), state)

    def _publish(self, key: str, state: str | None) -> None:
        now = now_us()
        if state is not None:
            self.own_verdicts[key] = state, now
            self._renew_verdict(now, key, state)
        elif self.own_verdicts.pop(key, None) is not None:
            self.store.publish(now, VERDICT, key, None)

    def _renew_verdict(self, now: int, key: str, state: str) -> None:
        held = self.store.entries[self.store.origin].get((VERDICT, key))
        if held is None or held.value != state or now - held.created_us > VERDICT_RENEW_SHARE * held.ttl_us:
            self.store.publish(now, VERDICT, key, state)

    # --- Peers -----------------------------------------------------------------------

    def _apply_peer_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        peers = {} if whole else dict(self.peers)
        try:
            for one in entries:
                if one["lifecycle"] == "ready":
                    peers[str(one["instanceId"])] = parse_address(one["hostPort"])
                else:
                    peers.pop(one["instanceId"], None)
        except (KeyError, TypeError, ConfigError) as error:
            raise PeerError(f"no peer: {error!r}") from None
        peers.pop(self.store.origin, None)
        self.peers = peers
        self.metrics.set_peers(len(peers))

    def _build_registration(self) -> tuple[str, str, dict[str, Any]]:
        """The own name at the list service, kept by a lease."""
        host, port = self.address
        entry = {"hostPort": self.settings.advertise or f"{host}:{port}", "lifecycle": "ready"}
        target = f"{INSTANCES_PATH}/{quote(self.store.origin, safe='')}?ttl_ms={LEASE_S * 1e3:.0f}"
        return "PUT", target, entry

    # --- Exchanges -------------------------------------------------------------------

    def _tick(self) -> None:
        now = now_us()
        self.store.expire(now)
        for key, (state, at) in list(self.own_verdicts.items()):
            if now - at < VERDICT_HOLD_BOUNDS * self.store.bounds_us[VERDICT]:
                self._renew_verdict(now, key, state)
            else:
                del self.own_verdicts[key]
        self._notify_verdicts(now)
        if self.peers:
            self._start_pull(self.rng.choice(sorted(self.peers)))
        # Ages go on from the time in the file: what did not change need not be written.
        news = self.store.vector != self.saved_vector
        if self.state_path is not None and news and time.monotonic() - self.saved_at_s > SAVE_INTERVAL_S:
            self._save(now)

    def _start_pull(self, origin: str) -> None:
        if origin in self.peers and origin not in self.pulls:
            task = self.loop.create_task(self._pull(origin, self.peers[origin]))
            self.pulls[origin] = task
            task.add_done_callback(lambda _: self.pulls.pop(origin, None))

    async def _pull(self, origin: str, at: tuple[str, int]) -> None:
        began = now_us()
        body = json.dumps({"from": self.store.origin, "vector": self.store.vector}).encode()
        try:
            status, back = await fetch(
                at, "POST", GOSSIP_PATH, body, timeout_s=CALL_TIMEOUT_S, max_bytes=2 * MAX_RESPONSE_BYTES
            )
            if status != HTTPStatus.OK:
                raise GossipMessageError(f"status {status}")
            now = now_us()
            told = _decode_object(back)
            self.store.merge(now, told.get("entries"), now - began, self._known_sidecars())
        except (GossipMessageError, ResponseTooLargeError) as error:
            self.metrics.exchange_ended("refused", len(body), 0)
            LOG.warning("a peer's telling refused", extra={"peer": origin, **error.fields()})
        except FetchError as error:
            self.metrics.exchange_ended("failed", len(body), 0)
            LOG.debug("peer not reached", extra={"peer": origin, **error.fields()})
        else:
            self.metrics.exchange_ended("done", len(body), len(back))
            self._notify_verdicts(now)

    def handle_exchange(self, body: str) -> str:
        """A peer's call: what it lacks; and where it has news, it is asked in turn."""
        try:
            told = _decode_object(body.encode())
            vector = read_vector(told.get("vector"))
        except GossipMessageError as error:
            LOG.warning("a peer's call refused", extra=error.fields())
            raise HttpError(HTTPStatus.BAD_REQUEST, str(error), error.remedy) from None
        if self.store.is_behind(vector) and isinstance(peer := told.get("from"), str):
            self._start_pull(peer)
        rows = self.store.missing_entries(now_us(), vector, MAX_RESPONSE_BYTES)
        return json.dumps({"entries": rows}, separators=(",", ":"))

    def _known_sidecars(self) -> set[str]:
        return {origin.rpartition("@")[0] for origin in self.peers} | {self.name}

    def _notify_verdicts(self, now: int) -> None:
        fresh = sorted(self.store.fresh_entries(now, VERDICT), key=lambda one: (one.origin, one.key))
        if [(one.origin, one.seq) for one in fresh] != [
            (one.origin, one.seq) for one in self.notified_entries
        ]:
            self.notified_entries = fresh
            self.on_verdicts_changed(fresh)

    # --- Over a restart --------------------------------------------------------------

    def _save(self, now: int) -> None:
        assert self.state_path is not None
        self.saved_at_s, self.saved_vector = time.monotonic(), dict(self.store.vector)
        aside = self.state_path.with_suffix(".shared-new")
        try:
            aside.write_text(json.dumps(self.store.dump(now)))
            os.replace(aside, self.state_path)
        except OSError as error:
            LOG.warning("shared state is not kept", extra={"error": str(error)})

    def _load(self) -> None:
        if self.state_path is None or not self.state_path.exists():
            return
        try:
            count = self.store.load(now_us(), _decode_object(self.state_path.read_bytes()))
        except (OSError, GossipMessageError) as error:
            LOG.warning("shared state is not read", extra={"error": str(error)})
        else:
            LOG.info("shared state read", extra={"entries": count})


def _decode_object(raw: bytes) -> dict[str, Any]:
    """A JSON object; TellingError on anything else, however deep."""
    try:
        told = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise GossipMessageError(f"no JSON: {error}") from None
    if not isinstance(told, dict):
        raise GossipMessageError("no object")
    return told
