"""A process asks its peers, once a second, who leads: so two that both write find out.

It tells each its own term, and hears theirs. One that lost its place, or its writer,
follows the peer that leads; one about to lead follows where its log missed a term.
"""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.replication import TERM_PATH, MemberStatus
from woadyard.registry.responses import TERM_HEADER
from woadyard.registry.service import Registry

EVERY_S, CALL_S = 1.0, 1.0
LOG = logging.getLogger(__name__)


class Peers:
    def __init__(self, registry: Registry, addresses: str, rng: random.Random) -> None:
        self.registry, self.rng = registry, rng
        self.addresses = [one.strip() for one in addresses.split(",") if one.strip()]

    async def run(self) -> None:
        while True:
            await self.ask()
            # Spread, so that peers that began together do not ask in step.
            await asyncio.sleep(EVERY_S * self.rng.uniform(0.75, 1.25))

    async def ask(self) -> None:
        """Ask all of them once, each at most `CALL_S`."""
        await asyncio.gather(*(self._ask(one) for one in self.addresses))

    async def _ask(self, peer: str) -> None:
        registry = self.registry
        lineage = registry.log_state.lineage
        headers = f"{TERM_HEADER}: {lineage}:{registry.highest_term}\r\n" if lineage else ""
        try:
            status, body = await fetch(
                parse_address(peer), "GET", TERM_PATH, timeout_s=CALL_S, headers=headers
            )
            standing = msgspec.json.decode(body, type=MemberStatus) if status == 200 else None
        except (FetchError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if standing is None or standing.lineage != lineage:
            return
        registry.observe_term(standing.lineage, standing.seen, f"peer {peer}")
        lost = registry.is_deposed or registry.is_stale
        if (
            standing.leads
            and standing.term >= registry.highest_term
            and lost
            and registry.leader_address != peer
        ):
            LOG.warning("following the peer that leads", extra={"peer": peer, "term": standing.term})
            registry.start_following(peer)
