"""One real sidecar: reads its configuration, wires the parts, heeds signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import resource
import signal
import sys
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import uvloop

from woadyard import cli
from woadyard.errors import ConfigError, PeerError
from woadyard.membership.shrink import ShrinkGuard
from woadyard.net.budget import Budget, Hooks
from woadyard.net.config import (
    SOCKETS_DEFAULT,
    Config,
    locality,
    log_level,
    read_again,
    read_config,
    shared,
    shrink_most,
)
from woadyard.net.console import DESCRIPTORS, CallError, Console, Route, Routes
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.gossip import Gossip
from woadyard.net.server import Server
from woadyard.net.sharing import Shared
from woadyard.net.state import LOOK_S, Seats
from woadyard.net.upstream import Upstream
from woadyard.ops import logs
from woadyard.ops.metrics import Metrics
from woadyard.shared.store import Entry

if TYPE_CHECKING:
    from woadyard.net.recorder import Recorder
    from woadyard.net.reporter import Reporter

LOG = logging.getLogger("woadyard")
LIST_PATH = "/registry/instances"
OTHER_SOCKETS = 32
# A process that takes over waits no longer for discovery's first word.
UNHEARD_US = 3_000_000


class Reload:
    """SIGHUP: new settings and discovery's address, all of a file or nothing."""

    def __init__(self, config: Config, driver: Driver, discovery: Discovery, guard: ShrinkGuard) -> None:
        self.path, self.force, self.guard = config.path, config.raw, guard
        self.driver, self.discovery = driver, discovery

    def __call__(self) -> None:
        try:
            raw, settings = read_again(self.path, self.force)
        except ConfigError as error:
            LOG.warning("not reloaded", extra=error.fields())
            return
        self.force = raw
        self.driver.retune(raw["settings"], settings, locality(raw))
        self.guard.retune(shrink_most(raw))
        self.discovery.set_push_mode(not settings.asks_discovery)
        self.discovery.change_address(str(raw["discovery"]))
        if (again := shared(raw)) is not None and self.driver.shared is not None:
            self.driver.shared.eject_share = again.eject_share
        LOG.setLevel(log_level(raw).upper())
        fields = {"classes": sorted(self.driver.names.classes), "attempts": settings.max_attempts}
        LOG.info("reloaded", extra={**fields, "discovery": raw["discovery"]})


def routes(server: Server, may_serve: Callable[[], bool], guard: ShrinkGuard) -> Routes:
    """The operators' calls. They run on the door's thread: what they read of
    the balancing is single values, and nothing there waits for them."""

    bans = server.driver.bans

    def change(act: Callable[[str], bool], body: str) -> str:
        if not body:
            raise CallError(HTTPStatus.BAD_REQUEST, "the body names no endpoint", "send its instanceId")
        if not act(body):
            raise CallError(
                HTTPStatus.NOT_FOUND,
                "no list ever named this endpoint",
                "look its name up in the list",
            )
        return f"done, out are: {' '.join(bans.banned) or 'none'}"

    def ready(body: str) -> str:
        if not server.is_accepting or server.is_shut_out or not may_serve():
            raise CallError(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", "wait; the log says why")
        return "ready"

    def accept_list(body: str) -> str:
        view = guard.view
        if view is None or not view.held:
            raise CallError(HTTPStatus.CONFLICT, "no list is held back", "nothing is to be done")
        server.driver.loop.call_soon_threadsafe(guard.accept)
        return f"done, let go: {' '.join(sorted(view.held))}"

    return {
        b"/_ready": Route(b"GET", ready),
        b"/_metrics": Route(b"GET", lambda body: server.driver.metrics.render()),
        b"/_endpoints/detach": Route(b"POST", partial(change, bans.detach)),
        b"/_endpoints/attach": Route(b"POST", partial(change, bans.attach)),
        b"/_list/accept": Route(b"POST", accept_list),
    }


def open_console(
    config: Config, server: Server, seats: Seats | None, guard: ShrinkGuard, recorder: Recorder | None
) -> Console | None:
    if config.console is None:
        return None
    driver = server.driver
    # One that takes over has to know what its elder knows by now, if anybody tells.
    since = None if seats is None or seats.alone else driver.now()
    looks = [driver.bans.look]
    if seats is not None:
        looks.append(seats.look)

    def may_serve() -> bool:
        return since is None or driver.heard or driver.now() - since > UNHEARD_US

    calls = routes(server, may_serve, guard)
    if recorder is not None:
        calls[b"/_trace"] = Route(b"GET", recorder.piece, query=True)
    console = Console(calls, looks, LOOK_S)
    try:
        console.open(*config.console)
    except (OSError, OverflowError) as error:
        raise ConfigError(f"can't open the console: {error}") from None
    return console


def open_gossip(config: Config, driver: Driver) -> Gossip | None:
    """Share state with other sidecars, where the file says so."""
    share, loop = driver.shared, driver.loop
    if config.shared is None or share is None:
        return None

    def heard(entries: list[Entry]) -> None:
        loop.call_soon_threadsafe(driver.verdicts, entries)

    rng = random.Random()  # not the seed's: processes of one file must differ
    gossip = Gossip(config.shared, share.name, rng, heard, driver.metrics, config.state)
    share.publish = gossip.publish
    driver.affinity_header = config.shared.affinity_header.lower().encode()
    port = gossip.open()
    if config.shared.limit:
        hooks = Hooks(driver.wanted, driver.used, driver.longest_us, driver.limit)
        budget = Budget(loop, config.shared, gossip.store.me, hooks, rng)
        share.relimit = budget.tell
        budget.open()
    LOG.info("sharing state", extra={"as": gossip.store.me, "port": port, "peers": config.shared.peers})
    return gossip


def open_recorder(config: Config, driver: Driver, name: str) -> Recorder | None:
    """Record what the driver sees, where the file says so."""
    if config.record is None:
        return None
    from woadyard.net.recorder import Recorder

    recorder = Recorder(config.record, name, config.seed, driver.now())
    driver.observe(recorder)
    return recorder


def open_reporter(
    config: Config, driver: Driver, name: str, discovery: Discovery, server: Server
) -> Reporter | None:
    """Report what this process acts on, where the file says so."""
    if config.audit is None:
        return None
    from woadyard.net.auditing import reporter_of

    return reporter_of(config.audit, name, driver, discovery, server)


def open_plans(driver: Driver, reporter: Reporter | None, recorder: Recorder | None) -> None:
    """Act on plans of weights: they come with the answers to reports."""
    if reporter is None:
        return
    from woadyard.net.weights import Weights

    def told(revision: int, weights: dict[str, float]) -> None:
        if recorder is not None:
            recorder.weighed(driver.now(), revision, weights)

    driver.planned = weights = Weights(driver.weigh, told)
    reporter.orders.plan = weights.direct


def take_seat(
    config: Config, loop: asyncio.AbstractEventLoop, halve: Callable[[float], None]
) -> Seats | None:
    """Where a second process of this sidecar may run beside this one."""
    if config.state is None:
        return None

    def changed(alone: bool) -> None:
        loop.call_soon_threadsafe(halve, 1.0 if alone else 0.5)

    seats = Seats(config.state, changed)
    seats.look()
    return seats


def given() -> int:
    """Descriptors that the system lets this process have, whatever its file says."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return SOCKETS_DEFAULT if soft == resource.RLIM_INFINITY else soft


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # Both sides share the sockets, less some for the listener, the watch and the loop.
    doors = bool(config.console) + bool(config.shared)
    aside = OTHER_SOCKETS + doors * DESCRIPTORS
    most = max(16, min(config.sockets, SOCKETS_DEFAULT, given()) - aside)
    upstream = Upstream(loop, Driver.now, most)
    raw = config.raw["settings"]
    # Counts are kept where a door can show them.
    metrics = Metrics() if config.console else None
    # The same over restarts; two sidecars that share state have names of their own.
    name = os.environ.get("LB_NAME") or str(config.raw.get("name", ""))
    share = Shared(name, config.shared.eject_share) if config.shared else None
    driver = Driver(
        loop, config.seed, config.settings, raw, upstream,
        state=config.state, metrics=metrics, shared=share, locality=config.locality,
    )  # fmt: skip
    guard = ShrinkGuard(config.shrink_most, driver.listed, loop.time)
    guard.on_held = driver.metrics.held_back
    discovery = driver.discovery = Discovery(
        loop,
        config.discovery,
        LIST_PATH,
        not config.settings.asks_discovery,
        guard,
        random.Random(config.seed),
    )
    loop.add_signal_handler(signal.SIGHUP, Reload(config, driver, discovery, guard))
    recorder = open_recorder(config, driver, name)
    server = Server(driver, most, aside)
    reporter = open_reporter(config, driver, name, discovery, server)
    open_plans(driver, reporter, recorder)
    seats = take_seat(config, loop, server.set_socket_share)
    try:
        driver.start(config.known, seats is None or seats.alone)
    except PeerError as error:
        raise ConfigError(f"known: {error}") from None
    if config.known is not None:
        guard.prime(config.known["instances"])
        alone = seats is None or seats.alone  # one that takes over has a lease, and is owed a yes soon
        if config.known["instances"] and (alone or discovery.uses_push):
            await discovery.wait_for_first_list()  # that list may be old, and newer ones bind from the start
    upstream.others, upstream.give_way = lambda: len(server.connections), server.release_connection
    try:
        if config.accept is None:
            await server.listen(*config.listen)
        else:
            await server.adopt_socket(config.accept)
    except (OSError, OverflowError, ValueError) as error:
        raise ConfigError(f"can't listen: {error}") from None
    gossip = open_gossip(config, driver)
    console = open_console(config, server, seats, guard, recorder)
    if reporter is not None:
        reporter.open()
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, server.stop, ended.set)
    loop.add_signal_handler(signal.SIGINT, server.stop, ended.set)
    await ended.wait()
    if reporter is not None:
        await reporter.close()
    if console is not None:
        console.close()
    if gossip is not None:
        gossip.close()
    discovery.close()
    upstream.close()


def say_suppressed(loop: asyncio.AbstractEventLoop, limit: logs.RateLimit) -> None:
    """Now and then, what the rate limit held back, where nothing said it since."""
    limit.flush(LOG)
    loop.call_later(logs.WINDOW_S, say_suppressed, loop, limit)


async def run(config: Config, limit: logs.RateLimit) -> None:
    say_suppressed(asyncio.get_running_loop(), limit)
    try:
        await serve(config)
    finally:
        limit.flush(LOG)


def main(argv: list[str] | None = None) -> int:
    arguments = cli.parse(argv)
    if arguments.command == "check-config":
        return cli.check_config(arguments.file, arguments.in_force)
    if arguments.command == "registry":
        # Loaded only here: the sidecar carries none of the service.
        from woadyard.registry.command import start

        return start(arguments)
    limit = logs.setup()
    # What stands now stays: the collector need not walk it again.
    gc.set_threshold(50_000, 20, 50)
    gc.freeze()
    try:
        config = read_config(dict(os.environ))
        LOG.setLevel(config.log_level.upper())
        uvloop.run(run(config, limit))
    except ConfigError as error:
        LOG.error("can't start", extra=error.fields())
        return cli.FAULTY
    return 0


if __name__ == "__main__":
    sys.exit(main())
