"""The sidecar process: reads its configuration, connects its parts and handles signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import resource
import signal
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import uvloop

from woadyard.errors import EXIT_CONFIG_ERROR, ConfigError, PeerError
from woadyard.membership.shrink import ShrinkGuard
from woadyard.net.config import (
    DEFAULT_SOCKETS,
    Config,
    read_config,
    read_locality,
    read_log_level,
    read_max_list_shrink,
    read_shared_settings,
    reread_config,
)
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.memory_budget import MemoryBudget, resident_bytes
from woadyard.net.server import Server
from woadyard.net.state import SYNC_INTERVAL_S, ProcessSlots
from woadyard.net.threaded_http import RESERVED_DESCRIPTORS, HttpError, Route, Routes, ThreadedHttpServer
from woadyard.net.upstream import Upstream
from woadyard.net.weight_factors import SharedState
from woadyard.ops import logs
from woadyard.ops.metrics import Metrics
from woadyard.shared.store import SharedEntry

if TYPE_CHECKING:
    from woadyard.net.gossip import Gossip
    from woadyard.net.recorder import Recorder
    from woadyard.net.reporter import Reporter

LOG = logging.getLogger("woadyard")
LIST_PATH = "/registry/instances"
# Sockets of the listener, the watch of discovery and the event loop.
RESERVED_SOCKETS = 32
# A process that replaces another is ready after this time also without a list from discovery.
FIRST_LIST_WAIT_US = 3_000_000


class ConfigReloader:
    """Handles SIGHUP: applies the file's settings and discovery address, or nothing if it is invalid."""

    def __init__(self, config: Config, driver: Driver, discovery: Discovery, guard: ShrinkGuard) -> None:
        self.path, self.raw_in_force, self.guard = config.path, config.raw, guard
        self.driver, self.discovery = driver, discovery

    def __call__(self) -> None:
        try:
            raw, settings = reread_config(self.path, self.raw_in_force)
        except ConfigError as error:
            LOG.warning("not reloaded", extra=error.fields())
            return
        self.raw_in_force = raw
        self.driver.apply_settings(raw["settings"], settings, read_locality(raw))
        self.guard.set_max_loss_share(read_max_list_shrink(raw))
        self.discovery.set_push_mode(not settings.asks_discovery)
        self.discovery.change_address(str(raw["discovery"]))
        if (shared_settings := read_shared_settings(raw)) is not None and self.driver.shared is not None:
            self.driver.shared.eject_share = shared_settings.eject_share
        LOG.setLevel(read_log_level(raw).upper())
        fields = {"classes": sorted(self.driver.names.classes), "attempts": settings.max_attempts}
        LOG.info("reloaded", extra={**fields, "discovery": raw["discovery"]})


def build_admin_routes(server: Server, may_serve: Callable[[], bool], guard: ShrinkGuard) -> Routes:
    """Return the routes of the admin API.

    The handlers run on the admin listener's thread: they read single values of the
    balancer's state only, and the balancer never waits for them.
    """

    bans = server.driver.bans

    def change_ban(action: Callable[[str], bool], body: str) -> str:
        if not body:
            raise HttpError(HTTPStatus.BAD_REQUEST, "the body names no endpoint", "send its instanceId")
        if not action(body):
            raise HttpError(
                HTTPStatus.NOT_FOUND,
                "no list ever contained this endpoint",
                "check its instanceId in the list",
            )
        return f"done, out are: {' '.join(bans.banned) or 'none'}"

    def ready(body: str) -> str:
        if not server.is_accepting or server.is_shut_out or not may_serve():
            raise HttpError(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", "wait; the log says why")
        return "ready"

    def accept_list(body: str) -> str:
        view = guard.view
        if view is None or not view.held:
            raise HttpError(HTTPStatus.CONFLICT, "no list is held back", "nothing needs to be done")
        server.driver.loop.call_soon_threadsafe(guard.accept_losses)
        return f"done, no longer held back: {' '.join(sorted(view.held))}"

    return {
        b"/_ready": Route(b"GET", ready),
        b"/_metrics": Route(b"GET", lambda body: server.driver.metrics.render()),
        b"/_endpoints/detach": Route(b"POST", partial(change_ban, bans.detach)),
        b"/_endpoints/attach": Route(b"POST", partial(change_ban, bans.attach)),
        b"/_list/accept": Route(b"POST", accept_list),
    }


def open_admin_listener(
    config: Config, server: Server, slots: ProcessSlots | None, guard: ShrinkGuard, recorder: Recorder | None
) -> ThreadedHttpServer | None:
    """Open the admin listener, if it is configured."""
    if config.console is None:
        return None
    driver = server.driver
    # A process that replaces another must first have the list that the other has, if discovery sends one.
    waiting_since_us = None if slots is None or slots.is_alone else driver.now()
    periodic_tasks = [driver.bans.sync]
    if slots is not None:
        periodic_tasks.append(slots.poll)

    def may_serve() -> bool:
        return (
            waiting_since_us is None
            or driver.has_received_list
            or driver.now() - waiting_since_us > FIRST_LIST_WAIT_US
        )

    routes = build_admin_routes(server, may_serve, guard)
    if recorder is not None:
        routes[b"/_trace"] = Route(b"GET", recorder.encode_piece, takes_query=True)
    admin_listener = ThreadedHttpServer(routes, periodic_tasks, SYNC_INTERVAL_S)
    try:
        admin_listener.open(*config.console)
    except (OSError, OverflowError) as error:
        raise ConfigError(f"can't open the console: {error}") from None
    return admin_listener


def open_gossip(config: Config, driver: Driver) -> Gossip | None:
    """Start to share state with other sidecars, if it is configured."""
    shared_state, loop = driver.shared, driver.loop
    if config.shared is None or shared_state is None:
        return None
    from woadyard.net.gossip import Gossip
    from woadyard.net.limit_shares import LimitHooks, LimitShares

    def verdicts_received(entries: list[SharedEntry]) -> None:
        loop.call_soon_threadsafe(driver.apply_verdicts, entries)

    rng = random.Random()  # not seeded: processes with the same configuration must differ
    gossip = Gossip(
        config.shared, shared_state.name, rng, verdicts_received, driver.metrics, config.state_file
    )
    shared_state.publish = gossip.publish
    driver.affinity_header = config.shared.affinity_header.lower().encode()
    port = gossip.open()
    if config.shared.limit:
        hooks = LimitHooks(
            driver.preferred_endpoints,
            driver.in_flight_counts,
            driver.longest_deadline_us,
            driver.apply_limits,
        )
        limit_shares = LimitShares(loop, config.shared, gossip.store.own_origin, hooks, rng)
        shared_state.announce_limits = limit_shares.announce_caps
        limit_shares.open()
    LOG.info(
        "sharing state", extra={"as": gossip.store.own_origin, "port": port, "peers": config.shared.peers}
    )
    return gossip


def open_recorder(config: Config, driver: Driver, name: str) -> Recorder | None:
    """Start to record the driver's events, if it is configured."""
    if config.record is None:
        return None
    from woadyard.net.recorder import Recorder

    recorder = Recorder(config.record, name, config.seed, driver.now())
    driver.add_observer(recorder)
    return recorder


def open_reporter(
    config: Config, driver: Driver, name: str, discovery: Discovery, server: Server
) -> Reporter | None:
    """Return the reporter of this process's position to the audit, if it is configured."""
    if config.audit is None:
        return None
    from woadyard.net.reporter_setup import create_reporter

    return create_reporter(config.audit, name, driver, discovery, server)


def follow_weight_plans(driver: Driver, reporter: Reporter | None, recorder: Recorder | None) -> None:
    """Apply the plans of weights that come with the responses to reports."""
    if reporter is None:
        return
    from woadyard.net.planned_weights import PlannedWeights

    def weights_changed(revision: int, new_weights: dict[str, float]) -> None:
        if recorder is not None:
            recorder.weights_applied(driver.now(), revision, new_weights)

    driver.plan_listener = weights = PlannedWeights(driver.set_planned_weights, weights_changed)
    reporter.handlers.apply_plan = weights.apply_directive


def claim_process_slot(
    config: Config, loop: asyncio.AbstractEventLoop, set_share: Callable[[float], None]
) -> ProcessSlots | None:
    """Detect a second process of this sidecar, which gets half of the sockets; None without a state file."""
    if config.state_file is None:
        return None

    def slots_changed(is_alone: bool) -> None:
        loop.call_soon_threadsafe(set_share, 1.0 if is_alone else 0.5)

    slots = ProcessSlots(config.state_file, slots_changed)
    slots.poll()
    return slots


def descriptor_limit() -> int:
    """Return how many descriptors the system allows this process, whatever its configuration says."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_SOCKETS if soft == resource.RLIM_INFINITY else soft


async def serve(config: Config) -> None:
    """Run the sidecar until it has stopped after SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    # Clients and endpoints share the sockets that the listeners, the watch and the loop leave.
    threaded_servers = bool(config.console) + bool(config.shared)
    reserved = RESERVED_SOCKETS + threaded_servers * RESERVED_DESCRIPTORS
    socket_limit = max(16, min(config.max_sockets, DEFAULT_SOCKETS, descriptor_limit()) - reserved)
    upstream = Upstream(loop, Driver.now, socket_limit)
    raw_settings = config.raw["settings"]
    # Without an admin listener nobody could read the metrics.
    metrics = Metrics() if config.console else None
    # The name is the same over restarts; sidecars that share state have different names.
    name = os.environ.get("LB_NAME") or str(config.raw.get("name", ""))
    shared_state = SharedState(name, config.shared.eject_share) if config.shared else None
    driver = Driver(
        loop, config.seed, config.settings, raw_settings, upstream,
        state=config.state_file, metrics=metrics, shared=shared_state, locality=config.locality,
    )  # fmt: skip
    if config.state_file is not None:
        driver.requests.ids.share(config.state_file.with_suffix(".ids"))
    guard = ShrinkGuard(config.max_list_shrink, driver.apply_list, loop.time)
    guard.on_held_change = driver.metrics.set_held_endpoints
    discovery = driver.discovery = Discovery(
        loop,
        config.discovery,
        LIST_PATH,
        not config.settings.asks_discovery,
        guard,
        random.Random(config.seed),
    )
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(config, driver, discovery, guard))
    recorder = open_recorder(config, driver, name)
    server = Server(driver, socket_limit, reserved)
    reporter = open_reporter(config, driver, name, discovery, server)
    follow_weight_plans(driver, reporter, recorder)
    slots = claim_process_slot(config, loop, server.set_socket_share)
    try:
        driver.start(config.known_list, slots is None or slots.is_alone)
    except PeerError as error:
        raise ConfigError(f"known: {error}") from None
    if config.known_list is not None:
        guard.set_known_list(config.known_list["instances"])
        # A process that replaces another has a lease, and must soon be ready.
        is_alone = slots is None or slots.is_alone
        if config.known_list["instances"] and (is_alone or discovery.uses_push):
            # The known list may be old, and a newer one applies from the start.
            await discovery.wait_for_first_list()
    upstream.count_client_connections, upstream.close_client_connection = (
        lambda: len(server.connections),
        server.release_connection,
    )
    try:
        if config.accept_fd is None:
            await server.listen(*config.listen)
        else:
            await server.adopt_socket(config.accept_fd)
    except (OSError, OverflowError, ValueError) as error:
        raise ConfigError(f"can't listen: {error}") from None
    gossip = open_gossip(config, driver)
    admin_listener = open_admin_listener(config, server, slots, guard, recorder)
    if reporter is not None:
        reporter.open()
    if config.memory_limit_bytes is not None:
        budget = MemoryBudget(config.memory_limit_bytes, resident_bytes())
        upstream.memory.set_budget(budget, socket_limit)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, server.stop, stopped.set)
    loop.add_signal_handler(signal.SIGINT, server.stop, stopped.set)
    await stopped.wait()
    if reporter is not None:
        await reporter.close()
    if admin_listener is not None:
        admin_listener.close()
    if gossip is not None:
        gossip.close()
    discovery.close()
    upstream.close()


def log_suppressed_periodically(loop: asyncio.AbstractEventLoop, rate_limit: logs.RateLimitFilter) -> None:
    """Log every `WINDOW_S` how many lines the rate limit suppressed, where no line has carried it."""
    rate_limit.log_suppressed(LOG)
    loop.call_later(logs.WINDOW_S, log_suppressed_periodically, loop, rate_limit)


async def run(config: Config, rate_limit: logs.RateLimitFilter) -> None:
    """Run the sidecar, and log the suppressed lines when it ends."""
    log_suppressed_periodically(asyncio.get_running_loop(), rate_limit)
    try:
        await serve(config)
    finally:
        rate_limit.log_suppressed(LOG)


def main() -> int:
    """Run the sidecar; return the exit status."""
    rate_limit = logs.setup()
    # Objects that exist now are kept: the garbage collector need not scan them again.
    gc.set_threshold(50_000, 20, 50)
    gc.freeze()
    try:
        config = read_config(dict(os.environ))
        LOG.setLevel(config.log_level.upper())
        uvloop.run(run(config, rate_limit))
    except ConfigError as error:
        LOG.error("can't start", extra=error.fields())
        return EXIT_CONFIG_ERROR
    return 0
