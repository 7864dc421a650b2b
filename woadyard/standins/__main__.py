"""Stand-ins as processes: `python -m woadyard.standins endpoint | proxy | fleet`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
from contextlib import suppress
from typing import Any

import uvloop

from woadyard.errors import WoadyardError
from woadyard.net import config
from woadyard.ops import logs
from woadyard.standins import fleet
from woadyard.standins.behaviour import KINDS, EndpointProfile, endpoint_profile
from woadyard.standins.endpoint import StandIn
from woadyard.standins.lease import Lease
from woadyard.standins.proxy import DELAY, FaultProxy
from woadyard.standins.schedule import play_schedule, random_schedule

LOG = logging.getLogger("woadyard.standins")
DRAIN_TIMEOUT_S = 2.0
PROXY_NAME = "link"


def build_parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="woadyard.standins", description=__doc__)
    commands = made.add_subparsers(dest="command", required=True, metavar="COMMAND")
    one = commands.add_parser("endpoint", help="an endpoint to the protocol, with a lease")
    one.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    one.add_argument("--discovery", metavar="HOST:PORT", help="the list service to register at")
    one.add_argument("--name", default=f"s-{random.SystemRandom().getrandbits(32):08x}")
    one.add_argument("--kind", default="small", choices=sorted(KINDS))
    one.add_argument("--machine-type", default="small", help="what the list says of it")
    one.add_argument("--zone", default="here")
    one.add_argument("--seed", type=int, default=0)
    one.add_argument("--ttl-ms", type=int, default=3_000)
    one.add_argument("--load", default="", metavar="FIELD,...", help="fields of its load reports")
    one.add_argument("--set", action="append", default=[], metavar="KEY=NUMBER", help="as fails=0.1")
    link = commands.add_parser("proxy", help="a relay with faults drawn from a seed")
    link.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    link.add_argument("--target", required=True, metavar="HOST:PORT")
    link.add_argument("--seed", type=int, default=0)
    link.add_argument(
        "--delay-ms", type=parse_delay_range, metavar="LOW,HIGH", help="each way, while no fault is drawn"
    )
    link.add_argument("--faults-s", type=float, default=0.0, help="for so long; then it passes")
    whole = commands.add_parser("fleet", help="the list service, three endpoints and a sidecar")
    whole.add_argument("--config", default="deploy/example.json")
    return made


def parse_delay_range(text: str) -> tuple[float, float]:
    """Two times in ms, as s."""
    low, high = (float(one) / 1000 for one in text.split(","))
    return low, high


def profile_from_options(options: argparse.Namespace) -> EndpointProfile:
    changes: dict[str, Any] = {}
    for word in options.set:
        key, _, value = word.partition("=")
        changes[key] = int(value) if key in ("at_once", "queue") else float(value)
    return endpoint_profile(options.kind, **changes)


async def wait_for_stop_signal() -> None:
    """Returns at SIGTERM or SIGINT."""
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    await over.wait()


async def run_endpoint(options: argparse.Namespace) -> None:
    fields = tuple(filter(None, options.load.split(",")))
    one = StandIn(options.name, profile_from_options(options), options.seed, fields)
    await one.start(*config.parse_address(options.listen))
    LOG.info("listening", extra={"port": one.port, "as": one.name, "kind": options.kind})
    if options.discovery is None:
        await wait_for_stop_signal()
        return
    place = {"zone": options.zone, "machineType": options.machine_type}
    lease = Lease(options.discovery, lambda: one.entry(**place), options.ttl_ms)
    keeping = asyncio.ensure_future(lease.keep_registered())
    await wait_for_stop_signal()
    keeping.cancel()
    one.is_draining = True
    await lease.register()
    with suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_TIMEOUT_S):  # sidecars hear of it, and what runs ends
            while one.in_flight or one.queued:
                await asyncio.sleep(0.05)
    await lease.unregister()


async def run_proxy(options: argparse.Namespace) -> None:
    host, port = config.parse_address(options.target)
    relay = FaultProxy(port, host, seed=options.seed)
    relay.host, at = config.parse_address(options.listen)
    await relay.start(at)
    if options.delay_ms is not None:
        relay.set_fault(DELAY, delay_s=options.delay_ms)
    LOG.info("listening", extra={"port": relay.port, "target": options.target})
    if options.faults_s:
        await play_schedule(
            random_schedule(options.seed, [PROXY_NAME], options.faults_s), {PROXY_NAME: relay}
        )
        LOG.info("healed", extra={"taken": relay.accepted_connections, "lost": relay.dropped_chunks})
    await wait_for_stop_signal()
    relay.close()


def main() -> int:
    options = build_parser().parse_args()
    logs.setup()
    try:
        if options.command == "fleet":
            uvloop.run(fleet.run(options.config))
        else:
            uvloop.run(run_endpoint(options) if options.command == "endpoint" else run_proxy(options))
    except WoadyardError as error:
        LOG.error("can't go on", extra=error.fields())
        return 2
    except (OSError, ValueError) as error:
        LOG.error("can't start", extra={"error": f"{type(error).__name__}: {error}"})
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
