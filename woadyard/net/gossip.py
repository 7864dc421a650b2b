"""Anti-entropy gossip of shared state between sidecars: push-pull over HTTP/1.1 and JSON.

Every `interval_s` a sidecar sends one random peer its origin and version vector in
`POST /_gossip`. The peer responds with the entries that the vector lacks, at most
`MAX_RESPONSE_BYTES`. If the vector shows entries that the peer lacks, the peer sends
a request of its own, so one exchange moves state both ways and each side measures the
round trip by which it ages the entries it receives. The peers are the processes listed
by the list service at `peers`; each registers itself there with a lease.

Gossip runs on its own event loop and thread, so that it never blocks load balancing.
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
# A request holds a version vector: one of 1,000 origins fits.
MAX_RESPONSE_BYTES, MAX_REQUEST_BYTES = 32 * 1024, 64 * 1024
CALL_TIMEOUT_S = 2.0
# Lease of this sidecar's entry at the list service, renewed three times within its duration.
LEASE_S = 6.0
# While the balancer holds a verdict, it is published again after this share of its
# TTL, and for at most this many bounds after the balancer's last update: a failing endpoint is
# chosen too rarely to fail once within each bound, and an idle sidecar must not report an
# endpoint as failing for ever.
VERDICT_RENEW_SHARE, VERDICT_HOLD_BOUNDS = 0.25, 3.0
SAVE_INTERVAL_S = 1.0
LOG = logging.getLogger(__name__)
VerdictsListener = Callable[[list[SharedEntry]], None]


def now_us() -> int:
    """Return the monotonic time in µs; all processes of one machine share this clock."""
    return time.monotonic_ns() // 1000


class Gossip:
    """Exchanges one sidecar's shared state with its peers.

    `on_verdicts_changed` is called on the gossip thread with all fresh verdicts whenever
    they have changed. `name` is the sidecar's name, the same over restarts.
    """

    def __init__(
        self,
        settings: SharedSettings,
        name: str,
        rng: random.Random,
        on_verdicts_changed: VerdictsListener,
        metrics: NullMetrics,
        state_file: Path | None = None,
    ) -> None:
        self.settings, self.name, self.rng = settings, name, rng
        self.on_verdicts_changed, self.metrics = on_verdicts_changed, metrics
        self.store = SharedStore(f"{name}@{secrets.token_hex(4)}", settings.bounds_us)
        self.state_path = state_file.with_suffix(".shared") if state_file is not None else None
        self.peers: dict[str, tuple[str, int]] = {}  # by origin
        self.pulls: dict[str, asyncio.Task[None]] = {}
        self.own_verdicts: dict[str, tuple[str, int]] = {}  # state and time in µs, by key
        self.notified_entries: list[SharedEntry] = []  # of the last `on_verdicts_changed`
        self.saved_at_s, self.saved_vector = 0.0, dict[str, int]()  # of the last save
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
        """Start to listen and to exchange; return the port. ConfigError if the address can't be used."""
        host, configured_port = parse_address(self.settings.listen)
        self._load()
        try:
            port = self.listener.open(host, configured_port)
        except (OSError, OverflowError) as error:
            raise ConfigError(f"can't open shared.listen: {error}") from None
        self.address = host, port
        self.loop.call_soon_threadsafe(self._start_tasks)
        return port

    def _start_tasks(self) -> None:
        self.discovery = Discovery(
            self.loop, self.settings.peers, INSTANCES_PATH, True, self._apply_peer_list, self.rng
        )
        self.discovery.set_watch(True)
        registry = RegistryClient(self.settings.peers, self.rng)
        self.registration = self.loop.create_task(
            registry.write_periodically(LEASE_S / 3.0, self._build_registration)
        )

    def close(self) -> None:
        async def cancel_tasks() -> None:
            if self.discovery is not None:
                self.discovery.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=0.2) if tasks else None

        asyncio.run_coroutine_threadsafe(cancel_tasks(), self.loop).result(1.0)
        self.listener.close()

    # --- Own verdicts ----------------------------------------------------------------

    def publish(self, endpoint: int, state: str | None) -> None:
        """Publish a verdict of this sidecar, or withdraw it if `state` is None; callable from any thread."""
        self.loop.call_soon_threadsafe(self._publish, str(endpoint), state)

    def _publish(self, key: str, state: str | None) -> None:
        now = now_us()
        if state is not None:
            self.own_verdicts[key] = state, now
            self._renew_verdict(now, key, state)
        elif self.own_verdicts.pop(key, None) is not None:
            self.store.publish(now, VERDICT, key, None)

    def _renew_verdict(self, now: int, key: str, state: str) -> None:
        entry = self.store.entries[self.store.own_origin].get((VERDICT, key))
        if (
            entry is None
            or entry.value != state
            or now - entry.created_us > VERDICT_RENEW_SHARE * entry.ttl_us
        ):
            self.store.publish(now, VERDICT, key, state)

    # --- Peers -----------------------------------------------------------------------

    def _apply_peer_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        peers = {} if whole else dict(self.peers)
        try:
            for entry in entries:
                if entry["lifecycle"] == "ready":
                    peers[str(entry["instanceId"])] = parse_address(entry["hostPort"])
                else:
                    peers.pop(entry["instanceId"], None)
        except (KeyError, TypeError, ConfigError) as error:
            raise PeerError(f"invalid entry in the list of peers: {error!r}") from None
        peers.pop(self.store.own_origin, None)
        self.peers = peers
        self.metrics.set_peers(len(peers))

    def _build_registration(self) -> tuple[str, str, dict[str, Any]]:
        """Build the request that registers this sidecar, or renews its lease, at the list service."""
        host, port = self.address
        entry = {"hostPort": self.settings.advertise or f"{host}:{port}", "lifecycle": "ready"}
        target = f"{INSTANCES_PATH}/{quote(self.store.own_origin, safe='')}?ttl_ms={LEASE_S * 1e3:.0f}"
        return "PUT", target, entry

    # --- Exchanges -------------------------------------------------------------------

    def _tick(self) -> None:
        now = now_us()
        self.store.expire(now)
        for key, (state, updated_us) in list(self.own_verdicts.items()):
            if now - updated_us < VERDICT_HOLD_BOUNDS * self.store.bounds_us[VERDICT]:
                self._renew_verdict(now, key, state)
            else:
                del self.own_verdicts[key]
        self._notify_verdicts(now)
        if self.peers:
            self._start_pull(self.rng.choice(sorted(self.peers)))
        # The file has the time of the save, from which ages continue: unchanged state is not saved again.
        has_changed = self.store.vector != self.saved_vector
        if (
            self.state_path is not None
            and has_changed
            and time.monotonic() - self.saved_at_s > SAVE_INTERVAL_S
        ):
            self._save(now)

    def _start_pull(self, origin: str) -> None:
        if origin in self.peers and origin not in self.pulls:
            task = self.loop.create_task(self._pull(origin, self.peers[origin]))
            self.pulls[origin] = task
            task.add_done_callback(lambda _: self.pulls.pop(origin, None))

    async def _pull(self, origin: str, address: tuple[str, int]) -> None:
        started_us = now_us()
        body = json.dumps({"from": self.store.own_origin, "vector": self.store.vector}).encode()
        try:
            status, response = await fetch(
                address, "POST", GOSSIP_PATH, body, timeout_s=CALL_TIMEOUT_S, max_bytes=2 * MAX_RESPONSE_BYTES
            )
            if status != HTTPStatus.OK:
                raise GossipMessageError(f"the peer responded with status {status}")
            now = now_us()
            message = _decode_object(response)
            self.store.merge(now, message.get("entries"), now - started_us, self._known_sidecars())
        except (GossipMessageError, ResponseTooLargeError) as error:
            self.metrics.exchange_ended("refused", len(body), 0)
            LOG.warning("gossip response rejected", extra={"peer": origin, **error.fields()})
        except FetchError as error:
            self.metrics.exchange_ended("failed", len(body), 0)
            LOG.debug("peer unreachable", extra={"peer": origin, **error.fields()})
        else:
            self.metrics.exchange_ended("done", len(body), len(response))
            self._notify_verdicts(now)

    def handle_exchange(self, body: str) -> str:
        """Respond to a peer with the entries it lacks; pull from it if this store is behind the peer's."""
        try:
            message = _decode_object(body.encode())
            vector = read_vector(message.get("vector"))
        except GossipMessageError as error:
            LOG.warning("gossip request rejected", extra=error.fields())
            raise HttpError(HTTPStatus.BAD_REQUEST, str(error), error.remedy) from None
        if self.store.is_behind(vector) and isinstance(peer := message.get("from"), str):
            self._start_pull(peer)
        rows = self.store.missing_entries(now_us(), vector, MAX_RESPONSE_BYTES)
        return json.dumps({"entries": rows}, separators=(",", ":"))

    def _known_sidecars(self) -> set[str]:
        return {origin.rpartition("@")[0] for origin in self.peers} | {self.name}

    def _notify_verdicts(self, now: int) -> None:
        fresh = sorted(self.store.fresh_entries(now, VERDICT), key=lambda entry: (entry.origin, entry.key))
        if [(entry.origin, entry.seq) for entry in fresh] != [
            (entry.origin, entry.seq) for entry in self.notified_entries
        ]:
            self.notified_entries = fresh
            self.on_verdicts_changed(fresh)

    # --- Persistence over restarts ---------------------------------------------------

    def _save(self, now: int) -> None:
        assert self.state_path is not None
        self.saved_at_s, self.saved_vector = time.monotonic(), dict(self.store.vector)
        new_path = self.state_path.with_suffix(".shared-new")
        try:
            new_path.write_text(json.dumps(self.store.dump(now)))
            os.replace(new_path, self.state_path)
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
            LOG.info("shared state restored", extra={"entries": count})


def _decode_object(raw: bytes) -> dict[str, Any]:
    """Decode a JSON object; GossipMessageError for anything else, however deeply nested."""
    try:
        message = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise GossipMessageError(f"the message is not valid JSON: {error}") from None
    if not isinstance(message, dict):
        raise GossipMessageError("the message is not a JSON object")
    return message
