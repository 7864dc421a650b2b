"""Fetches recordings from sidecars' doors, in pieces, going on where a call broke off."""

from __future__ import annotations

import asyncio
import logging
import random

import aiohttp
import msgspec

from woadyard.errors import PeerError, TraceError
from woadyard.net.backoff import Backoff
from woadyard.whatif.ring import TracePiece
from woadyard.whatif.trace import Trace, read_trace

LOG = logging.getLogger(__name__)
CALL_S = 5.0
TRIES_MOST = 8  # in a row without a piece
# Past this a recording is fetched anew, from what the ring still has.
KEPT_MOST = 64 * 1024 * 1024


class Door:
    """One sidecar's recording, as far as it was fetched."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.forget()

    def forget(self) -> None:
        self.incarnation, self.next, self.data = "", 0, b""

    async def pull(self, session: aiohttp.ClientSession, rng: random.Random) -> bytes:
        """All that the ring has by now; PeerError where the door can't be reached."""
        if len(self.data) > KEPT_MOST:
            self.forget()
        tries, wait = 0, Backoff(rng, 0.05, 2.0)
        while True:
            try:
                piece = await self._piece(session)
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                tries += 1
                if tries >= TRIES_MOST:
                    what = f"no trace from {self.address}: {type(error).__name__}: {error}"
                    remedy = "see whether the sidecar's door can be reached and it records"
                    raise PeerError(what, remedy) from None
                await asyncio.sleep(wait.next_delay_s())
                continue
            tries = 0
            wait.reset()
            self._take(piece)
            if piece.next >= piece.end:
                return self.data

    async def _piece(self, session: aiohttp.ClientSession) -> TracePiece:
        query = {"from": str(self.next)}
        if self.incarnation:
            query["incarnation"] = self.incarnation
        url = f"http://{self.address}/_trace"
        async with session.get(url, params=query, timeout=aiohttp.ClientTimeout(total=CALL_S)) as answer:
            if answer.status != 200:
                raise PeerError(
                    f"no trace from {self.address}: status {answer.status}",
                    "name `record` in the sidecar's configuration",
                )
            return msgspec.msgpack.decode(await answer.read(), type=TracePiece)

    def _take(self, piece: TracePiece) -> None:
        if piece.incarnation != self.incarnation or piece.start != self.next:
            # Another process, or the ring lost what lies between: its state comes first again.
            self.forget()
        self.incarnation, self.next = piece.incarnation, piece.next
        self.data += piece.data


async def pull_all(doors: dict[str, Door], rng: random.Random) -> dict[str, Trace]:
    """The traces by sidecar; one that can't be had is left out, with a log line."""
    found: dict[str, Trace] = {}
    async with aiohttp.ClientSession() as session:
        names = sorted(doors)
        results = await asyncio.gather(
            *(doors[name].pull(session, rng) for name in names), return_exceptions=True
        )
    for name, data in zip(names, results, strict=True):
        try:
            if isinstance(data, BaseException):
                raise data
            found[name] = await asyncio.to_thread(read_trace, data)
        except (PeerError, TraceError) as error:
            LOG.warning("no trace", extra={"sidecar": name, **error.fields()})
    return found
