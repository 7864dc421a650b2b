"""Polls the peers once a second for the current leader, so that two processes that both lead detect it.

Terms are exchanged in both directions. A process that was deposed, or lost its leader, follows the peer
that leads; a process about to lead follows it if its own log misses a term.
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

POLL_INTERVAL_S, CALL_TIMEOUT_S = 1.0, 1.0
LOG = logging.getLogger(__name__)


class PeerPoller:
    """Polls the term endpoint of all peers; `addresses` are separated by commas."""

    def __init__(self, registry: Registry, addresses: str, rng: random.Random) -> None:
        self.registry, self.rng = registry, rng
        self.addresses = [address.strip() for address in addresses.split(",") if address.strip()]

    async def run(self) -> None:
        while True:
            await self.poll_all()
            # Jitter, so that peers started together do not poll in step.
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(0.75, 1.25))

    async def poll_all(self) -> None:
        """Polls all peers once, each for at most `CALL_TIMEOUT_S`."""
        await asyncio.gather(*(self._poll(address) for address in self.addresses))

    async def _poll(self, peer: str) -> None:
        registry = self.registry
        lineage = registry.log_state.lineage
        headers = f"{TERM_HEADER}: {lineage}:{registry.highest_term}\r\n" if lineage else ""
        try:
            status, body = await fetch(
                parse_address(peer), "GET", TERM_PATH, timeout_s=CALL_TIMEOUT_S, headers=headers
            )
            peer_status = msgspec.json.decode(body, type=MemberStatus) if status == 200 else None
        except (FetchError, msgspec.DecodeError, UnicodeDecodeError):
            return
        if peer_status is None or peer_status.lineage != lineage:
            return
        registry.observe_term(peer_status.lineage, peer_status.seen, f"peer {peer}")
        has_no_leader = registry.is_deposed or registry.is_stale
        if (
            peer_status.leads
            and peer_status.term >= registry.highest_term
            and has_no_leader
            and registry.leader_address != peer
        ):
            LOG.warning("following the leading peer", extra={"peer": peer, "term": peer_status.term})
            registry.start_following(peer)
