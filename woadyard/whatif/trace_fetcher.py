"""Fetches recordings from sidecars' doors, in pieces, going on where a call broke off."""

from __future__ import annotations

import asyncio
import logging
import random

import aiohttp
import msgspec

from woadyard.errors import PeerError, TraceError
from woadyard.net.backoff import Backoff
from woadyard.whatif.ring import Piece
from woadyard.whatif.trace import Trace, read

LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_S = 5.0
MAX_FAILED_ATTEMPTS = 8  # in a row without a piece
# Past this a recording is fetched anew, from what the ring still has.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class TraceFetcher:
    """One sidecar's recording, as far as it was fetched."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reset()

    def reset(self) -> None:
        self.incarnation, self.next_offset, self.data = "", 0, b""

    async def fetch(self, session: aiohttp.ClientSession, rng: random.Random) -> bytes:
        """All that the ring has by now; PeerError where the door can't be reached."""
        if len(self.data) > MAX_BUFFERED_BYTES:
            self.reset()
        tries, wait = 0, Backoff(rng, 0.05, 2.0)
        while True:
            try:
                piece = await self._fetch_piece(session)
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                tries += 1
                if tries >= MAX_FAILED_ATTEMPTS:
                    what = f"no trace from {self.address}: {type(error).__name__}: {error}"
                    remedy = "see whether the sidecar's door can be reached and it records"
                    raise PeerError(what, remedy) from None
                await asyncio.sleep(wait.next_delay_s())
                continue
            tries = 0
            wait.reset()
            self._append_piece(piece)
            if piece.next >= piece.end:
                return self.data

    async def _fetch_piece(self, session: aiohttp.ClientSession) -> Piece:
        query = {"from": str(self.next_offset)}
        if self.incarnation:
            query["incarnation"] = self.incarnation
        url = f"http://{self.address}/_trace"
        async with session.get(
            url, params=query, timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        ) as answer:
            if answer.status != 200:
                raise PeerError(
                    f"no trace from {self.address}: status {answer.status}",
                    "name `record` in the sidecar's configuration",
                )
            return msgspec.msgpack.decode(await answer.read(), type=Piece)

    def _append_piece(self, piece: Piece) -> None:
        if piece.incarnation != self.incarnation or piece.start != self.next_offset:
            # Another process, or the ring lost what lies between: its state comes first again.
            self.reset()
        self.incarnation, self.next_offset = piece.incarnation, piece.next
        self.data += piece.data


async def fetch_traces(doors: dict[str, TraceFetcher], rng: random.Random) -> dict[str, Trace]:
    """The traces by sidecar; one that can't be had is left out, with a log line."""
    found: dict[str, Trace] = {}
    async with aiohttp.ClientSession() as session:
        names = sorted(doors)
        results = await asyncio.gather(
            *(doors[name].fetch(session, rng) for name in names), return_exceptions=True
        )
    for name, data in zip(names, results, strict=True):
        try:
            if isinstance(data, BaseException):
                raise data
            found[name] = await asyncio.to_thread(read, data)
        except (PeerError, TraceError) as error:
            LOG.warning("no trace", extra={"sidecar": name, **error.fields()})
    return found
