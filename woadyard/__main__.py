"""One real sidecar: reads its configuration, wires the parts, heeds signals."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

import uvloop

from woadyard.net.config import SOCKETS_DEFAULT, Config, ConfigError, read_again, read_config
from woadyard.net.console import DESCRIPTORS, CallError, Console, Route, Routes
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.server import Server
from woadyard.net.state import LOOK_S, Bans, Seats
from woadyard.net.upstream import Upstream

LIST_PATH = "/registry/instances"
OTHER_SOCKETS = 32


class Reload:
    """SIGHUP: new settings and discovery's address, all of a file or nothing."""

    def __init__(self, config: Config, driver: Driver, discovery: Discovery) -> None:
        self.path, self.force = config.path, config.raw
        self.driver, self.discovery = driver, discovery

    def __call__(self) -> None:
        try:
            raw, settings = read_again(self.path, self.force)
        except ConfigError as error:
            print(f"woadyard: not reloaded: {error}", file=sys.stderr, flush=True)
            return
        self.force = raw
        self.driver.retune(raw["settings"], settings)
        self.discovery.move(str(raw["discovery"]))
        classes = " ".join(sorted(self.driver.names.classes))
        text = f"reloaded: classes {classes}; attempts {settings.max_attempts}; discovery {raw['discovery']}"
        print(f"woadyard: {text}", file=sys.stderr, flush=True)


def routes(server: Server, bans: Bans) -> Routes:
    """The operators' calls. They run on the door's thread: what they read of
    the balancing is single values, and nothing there waits for them."""

    def change(act: Callable[[str], bool], body: str) -> str:
        if not body:
            raise CallError(HTTPStatus.BAD_REQUEST, "the body names no endpoint")
        if not act(body):
            raise CallError(HTTPStatus.NOT_FOUND, "no list ever named this endpoint")
        return f"done, out are: {' '.join(bans.banned) or 'none'}"

    def ready(body: str) -> str:
        if not server.accepting:
            raise CallError(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
        return "ready"

    return {
        b"/_ready": Route(b"GET", ready),
        b"/_endpoints/detach": Route(b"POST", partial(change, bans.detach)),
        b"/_endpoints/attach": Route(b"POST", partial(change, bans.attach)),
    }


def open_console(config: Config, server: Server, bans: Bans) -> Console | None:
    if config.console is None:
        return None
    looks = [bans.look]
    if config.state is not None:

        def seated(alone: bool) -> None:
            server.driver.loop.call_soon_threadsafe(server.share, 1.0 if alone else 0.5)

        looks.append(Seats(config.state, seated).look)
    console = Console(routes(server, bans), looks, LOOK_S)
    try:
        console.open(*config.console)
    except (OSError, OverflowError) as error:
        raise ConfigError(f"can't open the console: {error}") from None
    return console


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # Both sides share the sockets, less some for the listener, the watch and the loop.
    aside = OTHER_SOCKETS + (DESCRIPTORS if config.console else 0)
    most = max(16, min(config.sockets, SOCKETS_DEFAULT) - aside)
    upstream = Upstream(loop, Driver.now, most)
    raw = config.raw["settings"]
    driver = Driver(loop, config.seed, config.settings, raw, upstream, state=config.state)
    discovery = driver.discovery = Discovery(
        loop,
        config.discovery,
        LIST_PATH,
        not config.settings.asks_discovery,
        driver.listed,
        random.Random(config.seed),
    )
    loop.add_signal_handler(signal.SIGHUP, Reload(config, driver, discovery))
    try:
        driver.start(config.known)
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    server = Server(driver, most)
    upstream.others, upstream.give_way = lambda: len(server.callers), server.give_way
    try:
        if config.accept is None:
            await server.listen(*config.listen)
        else:
            await server.adopt(config.accept)
    except (OSError, OverflowError, ValueError) as error:
        raise ConfigError(f"can't listen: {error}") from None
    console = open_console(config, server, driver.bans)
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, server.stop, ended.set)
    loop.add_signal_handler(signal.SIGINT, server.stop, ended.set)
    await ended.wait()
    if console is not None:
        console.close()
    discovery.close()
    upstream.close()


def main() -> int:
    # What stands now stays: the collector need not walk it again.
    gc.set_threshold(50_000, 20, 50)
    gc.freeze()
    try:
        config = read_config(dict(os.environ))
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"woadyard: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
