"""The command that runs the list service until SIGTERM: `python -m woadyard.registry`."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
from pathlib import Path

import msgspec
import uvloop

from woadyard.audit.straggler import StragglerRules
from woadyard.errors import ConfigError, WoadyardError
from woadyard.net.config import parse_address, parse_addresses
from woadyard.ops import logs
from woadyard.registry import add_arguments
from woadyard.registry.elector import Elector, other_members
from woadyard.registry.follower import Follower
from woadyard.registry.http import serve
from woadyard.registry.log import Journal
from woadyard.registry.peer_poller import PeerPoller
from woadyard.registry.service import Registry
from woadyard.whatif.controller import PlanController
from woadyard.whatif.settings import PlansSettings, read_plans_settings

LOG = logging.getLogger("woadyard")


def create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="woadyard.registry", description=__doc__)
    add_arguments(parser)
    return parser


async def run(
    registry: Registry, arguments: argparse.Namespace, plans: PlansSettings | None, elector: Elector | None
) -> None:
    loop = asyncio.get_running_loop()
    main_task = asyncio.current_task()
    assert main_task is not None
    loop.add_signal_handler(signal.SIGTERM, main_task.cancel)
    loop.add_signal_handler(signal.SIGINT, main_task.cancel)

    def start_tasks(port: int) -> None:
        if registry.leader_address is None and elector is None:
            registry.become_leader(arguments.take_over)
        fields = {"index": registry.log_state.applied_index, "term": registry.log_state.term}
        writer = "to be elected" if elector is not None else registry.leader_address or "this"
        LOG.info("listening", extra={"port": port, **fields, "writer": writer})
        if elector is not None:
            tasks.append(loop.create_task(elector.run()))
        else:
            follower = Follower(registry, random.Random(), arguments.stale_after)
            tasks.append(loop.create_task(follower.run()))
        if plans is not None:
            tasks.append(loop.create_task(PlanController(registry, plans).run()))
        if peers.addresses and elector is None:
            tasks.append(loop.create_task(peers.run()))

    peers = PeerPoller(registry, arguments.peers, random.Random())
    tasks: list[asyncio.Task[None]] = []
    try:
        if not arguments.take_over and elector is None:
            await peers.poll_all()  # another process may have become the leader while this one was down
        extra_routes = elector.routes() if elector is not None else ()
        await serve(registry, *parse_address(arguments.listen), start_tasks, extra_routes)
    except asyncio.CancelledError:
        LOG.info("stopped", extra={"index": registry.log_state.applied_index})
    finally:
        for task in tasks:
            task.cancel()


def read_audit_rules(path: Path) -> StragglerRules:
    """Read the rules of the audit from a JSON file; ConfigError if it is not valid."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=StragglerRules)
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def create_elector(registry: Registry, arguments: argparse.Namespace) -> Elector:
    """Create the elector; ConfigError if the arguments name a leader, or no other members."""
    if arguments.follow is not None or arguments.take_over or arguments.copies:
        raise ConfigError(
            "--elect can't be combined with --follow, --take-over or --copies",
            "omit them: the members elect the leader, and each write is replicated to a majority",
        )
    others = other_members(arguments.listen, arguments.peers)
    return Elector(registry, others, arguments.stale_after, random.Random())


def start(arguments: argparse.Namespace) -> int:
    """Run the service; return the exit status: 2 if it can't start."""
    logs.setup()
    try:
        parse_address(arguments.listen)
        if arguments.follow is not None:
            parse_address(arguments.follow)
        if arguments.peers:
            parse_addresses(arguments.peers)
        plans = read_plans_settings(arguments.plans) if arguments.plans is not None else None
        registry = Registry(
            Journal(arguments.data), leader_address=arguments.follow, required_followers=arguments.copies
        )
        if arguments.audit_rules is not None:
            registry.straggler_rules = read_audit_rules(arguments.audit_rules)
        elector = create_elector(registry, arguments) if arguments.elect else None
        uvloop.run(run(registry, arguments, plans, elector))
    except WoadyardError as error:
        LOG.error("can't start", extra=error.fields())
        return 2
    except OSError as error:
        LOG.error("can't start", extra={"error": f"{type(error).__name__}: {error}"})
        return 2
    return 0


def main() -> int:
    return start(create_parser().parse_args())
