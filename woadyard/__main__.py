"""One real sidecar: reads its configuration, wires the parts, heeds signals."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any
from urllib.parse import quote

import uvloop

from woadyard.interface import Settings
from woadyard.net.console import DESCRIPTORS, CallError, Console, Route, Routes
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver, Names
from woadyard.net.server import Server
from woadyard.net.state import LOOK_S, Bans
from woadyard.net.upstream import Upstream
from woadyard.wire import WireError, read_settings

LIST_PATH = "/registry/instances"
SOCKETS_DEFAULT = 1024
OTHER_SOCKETS = 32


class ConfigError(Exception):
    """The configuration can't be used; the text says why, on one line."""


@dataclass(frozen=True)
class Config:
    path: str
    listen: tuple[str, int]
    accept: int | None  # a listening socket that the platform holds
    console: tuple[str, int] | None
    discovery: str
    seed: int
    sockets: int
    settings: Settings
    names: Names
    drain_grace_us: int
    known: dict[str, Any] | None
    state: Path | None  # what outlives this process; nothing where none is kept


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)


def state_path(environ: dict[str, str], raw: dict[str, Any]) -> Path | None:
    """One file for each sidecar, should several share the folder."""
    folder, name = environ.get("TMPDIR"), str(environ.get("LB_NAME") or raw.get("name", ""))
    return Path(folder) / f"woadyard-{quote(name, safe='')}.json" if folder else None


def read_config(environ: dict[str, str]) -> Config:
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
        settings = read_settings(json.dumps(raw["settings"]).encode())
        rules = raw["settings"].get("invariants", {})
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known is no list of endpoints")
        discovery = str(environ.get("LB_DISCOVERY") or raw["discovery"])
        address(discovery)
        accept = environ.get("LB_ACCEPT_FD")
        console = environ.get("LB_CONSOLE") or raw.get("console")
        return Config(
            path=path,
            listen=address(environ.get("LB_LISTEN") or raw["listen"]),
            accept=int(accept) if accept else None,
            console=address(console) if console else None,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", SOCKETS_DEFAULT)),
            settings=settings,
            names=Names(raw["settings"], settings),
            drain_grace_us=int(rules.get("drain-grace-us", 0)),
            known=known,
            state=state_path(environ, raw) if console else None,
        )
    except (OSError, ValueError, KeyError, TypeError, AttributeError, WireError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def moved_to(path: str) -> str:
    """Discovery's address by the file as it is now: what the environment said
    at the start is the older word."""
    try:
        with open(path, "rb") as file:
            discovery = str(json.load(file)["discovery"])
        address(discovery)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None
    return discovery


def reload(discovery: Discovery, path: str) -> None:
    """SIGHUP: only discovery's address may change while the sidecar runs."""
    try:
        discovery.move(moved_to(path))
    except ConfigError as error:
        print(f"woadyard: not reloaded: {error}", file=sys.stderr, flush=True)


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


def open_console(config: Config, routes: Routes, bans: Bans) -> Console | None:
    if config.console is None:
        return None
    console = Console(routes, bans.look, LOOK_S)
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
    settings = config.settings
    upstream = Upstream(loop, Driver.now, settings.idle_us, settings.connect_timeout_us, most)
    driver = Driver(
        loop, config.seed, settings, config.names, upstream, config.drain_grace_us, state=config.state
    )
    discovery = driver.discovery = Discovery(
        loop,
        config.discovery,
        LIST_PATH,
        not settings.asks_discovery,
        driver.listed,
        random.Random(config.seed),
    )
    loop.add_signal_handler(signal.SIGHUP, reload, discovery, config.path)
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
    console = open_console(config, routes(server, driver.bans), driver.bans)
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
