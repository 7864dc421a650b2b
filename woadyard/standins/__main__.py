"""Run a stand-in as a process: `python -m woadyard.standins endpoint | proxy | fleet`."""

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
from woadyard.standins.behaviour import KINDS, Manner, manner
from woadyard.standins.endpoint import StandIn
from woadyard.standins.lease import Lease
from woadyard.standins.proxy import DELAY, FaultProxy
from woadyard.standins.schedule import play_schedule, random_schedule

LOG = logging.getLogger("woadyard.standins")
DRAIN_TIMEOUT_S = 2.0
PROXY_NAME = "link"


def build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="woadyard.standins", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    endpoint_parser = commands.add_parser("endpoint", help="a simulated endpoint, registered by a lease")
    endpoint_parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    endpoint_parser.add_argument("--discovery", metavar="HOST:PORT", help="the list service to register at")
    endpoint_parser.add_argument("--name", default=f"s-{random.SystemRandom().getrandbits(32):08x}")
    endpoint_parser.add_argument("--kind", default="small", choices=sorted(KINDS))
    endpoint_parser.add_argument("--machine-type", default="small", help="machine type in its list entry")
    endpoint_parser.add_argument("--zone", default="here")
    endpoint_parser.add_argument("--seed", type=int, default=0)
    endpoint_parser.add_argument("--ttl-ms", type=int, default=3_000)
    endpoint_parser.add_argument("--load", default="", metavar="FIELD,...", help="fields of its load reports")
    endpoint_parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="KEY=NUMBER",
        help="a parameter of its behaviour, as in fails=0.1",
    )
    proxy_parser = commands.add_parser("proxy", help="a TCP relay with faults drawn from a seed")
    proxy_parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    proxy_parser.add_argument("--target", required=True, metavar="HOST:PORT")
    proxy_parser.add_argument("--seed", type=int, default=0)
    proxy_parser.add_argument(
        "--delay-ms",
        type=parse_delay_range,
        metavar="LOW,HIGH",
        help="delay in each direction until the first fault is drawn",
    )
    proxy_parser.add_argument(
        "--faults-s", type=float, default=0.0, help="seconds with faults; then it relays normally"
    )
    fleet_parser = commands.add_parser("fleet", help="the list service, three endpoints and a sidecar")
    fleet_parser.add_argument("--config", default="deploy/example.json")
    return parser


def parse_delay_range(text: str) -> tuple[float, float]:
    """Parse `LOW,HIGH` in milliseconds into seconds."""
    low_s, high_s = (float(number) / 1000 for number in text.split(","))
    return low_s, high_s


def manner_from_options(options: argparse.Namespace) -> Manner:
    changes: dict[str, Any] = {}
    for assignment in options.set:
        key, _, value = assignment.partition("=")
        changes[key] = int(value) if key in ("at_once", "queue") else float(value)
    return manner(options.kind, **changes)


async def wait_for_stop_signal() -> None:
    """Return at SIGTERM or SIGINT."""
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def run_endpoint(options: argparse.Namespace) -> None:
    """Serve until a stop signal; where registered, drain before unregistering."""
    load_fields = tuple(filter(None, options.load.split(",")))
    endpoint = StandIn(options.name, manner_from_options(options), options.seed, load_fields)
    await endpoint.start(*config.parse_address(options.listen))
    LOG.info("listening", extra={"port": endpoint.port, "as": endpoint.name, "kind": options.kind})
    if options.discovery is None:
        await wait_for_stop_signal()
        return
    entry_fields = {"zone": options.zone, "machineType": options.machine_type}
    lease = Lease(options.discovery, lambda: endpoint.entry(**entry_fields), options.ttl_ms)
    renewal = asyncio.ensure_future(lease.keep_registered())
    await wait_for_stop_signal()
    renewal.cancel()
    endpoint.is_draining = True
    await lease.register()
    with suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_TIMEOUT_S):  # sidecars receive the update; pending requests finish
            while endpoint.in_flight or endpoint.queued:
                await asyncio.sleep(0.05)
    await lease.unregister()


async def run_proxy(options: argparse.Namespace) -> None:
    """Relay until a stop signal, with random faults for the first `--faults-s` seconds."""
    target_host, target_port = config.parse_address(options.target)
    proxy = FaultProxy(target_port, target_host, seed=options.seed)
    proxy.host, listen_port = config.parse_address(options.listen)
    await proxy.start(listen_port)
    if options.delay_ms is not None:
        proxy.set_fault(DELAY, delay_s=options.delay_ms)
    LOG.info("listening", extra={"port": proxy.port, "target": options.target})
    if options.faults_s:
        await play_schedule(
            random_schedule(options.seed, [PROXY_NAME], options.faults_s), {PROXY_NAME: proxy}
        )
        LOG.info("healed", extra={"taken": proxy.accepted_connections, "lost": proxy.dropped_chunks})
    await wait_for_stop_signal()
    proxy.close()


def main() -> int:
    options = build_parser().parse_args()
    logs.setup()
    try:
        if options.command == "fleet":
            uvloop.run(fleet.run(options.config))
        else:
            uvloop.run(run_endpoint(options) if options.command == "endpoint" else run_proxy(options))
    except WoadyardError as error:
        LOG.error("stopped by an error", extra=error.fields())
        return 2
    except (OSError, ValueError) as error:
        LOG.error("can't start", extra={"error": f"{type(error).__name__}: {error}"})
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
