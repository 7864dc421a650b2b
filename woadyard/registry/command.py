"""The list service as a process of its own, until SIGTERM: `python -m woadyard.registry`."""

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
from woadyard.registry.peers import PeerPoller
from woadyard.registry.service import Registry
from woadyard.whatif.controller import PlanController
from woadyard.whatif.settings import PlansSettings, read_plans_settings

LOG = logging.getLogger("woadyard")


def create_parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="woadyard.registry", description=__doc__)
    add_arguments(made)
    return made


async def run(
    registry: Registry, arguments: argparse.Namespace, plans: PlansSettings | None, elector: Elector | None
) -> None:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    loop.add_signal_handler(signal.SIGINT, task.cancel)

    def listening(bound: int) -> None:
        if registry.leader_address is None and elector is None:
            registry.become_leader(arguments.take_over)
        fields = {"index": registry.log_state.applied_index, "term": registry.log_state.term}
        writer = "to be elected" if elector is not None else registry.leader_address or "this"
        LOG.info("listening", extra={"port": bound, **fields, "writer": writer})
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
            await peers.poll_all()  # one of them may have taken this one's place while it was down
        more = elector.routes() if elector is not None else ()
        await serve(registry, *parse_address(arguments.listen), listening, more)
    except asyncio.CancelledError:
        LOG.info("stopped", extra={"index": registry.log_state.applied_index})
    finally:
        for one in tasks:
            one.cancel()


def read_audit_rules(path: Path) -> StragglerRules:
    """The audit's; ConfigError where the file holds none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=StragglerRules)
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def create_elector(registry: Registry, arguments: argparse.Namespace) -> Elector:
    """ConfigError where the arguments name a writer, or too few members."""
    if arguments.follow is not None or arguments.take_over or arguments.copies:
        raise ConfigError(
            "--elect goes with none of --follow, --take-over and --copies",
            "leave them out: the members elect the writer, and most of them hold each write",
        )
    others = other_members(arguments.listen, arguments.peers)
    return Elector(registry, others, arguments.stale_after, random.Random())


def start(arguments: argparse.Namespace) -> int:
    logs.setup()
    try:
        parse_address(arguments.listen)
        if arguments.follow is not None:
            parse_address(arguments.follow)
        if arguments.peers:
            parse_addresses(arguments.peers)
        plans = read_plans_settings(arguments.plans) if arguments.plans is not None else None
        registry = Registry(
            Journal(arguments.data), leader_address=arguments.follow, required_replicas=arguments.copies
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
