"""Fetches traces from the sidecars' admin listeners, in pieces; resumes after a failed request."""

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
REQUEST_TIMEOUT_S = 5.0
MAX_FAILED_ATTEMPTS = 8  # consecutive requests without a piece
# A longer trace is discarded and fetched again from the oldest frame that the sidecar still has.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class TraceFetcher:
    """The trace of one sidecar, as far as it was fetched.

    `incarnation` names the sidecar process that recorded it, `next_offset` the position in that
    process's stream from which to go on.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.discard()

    def discard(self) -> None:
        """Drop the fetched data; the next fetch starts with the oldest frame that the sidecar has."""
        self.incarnation, self.next_offset, self.data = "", 0, b""

    async def fetch(self, session: aiohttp.ClientSession, rng: random.Random) -> bytes:
        """Return the whole trace up to now.

        Raises PeerError if the admin listener can't be reached or does not serve a trace.
        """
        if len(self.data) > MAX_BUFFERED_BYTES:
            self.discard()
        failures, backoff = 0, Backoff(rng, 0.05, 2.0)
        while True:
            try:
                piece = await self._fetch_piece(session)
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                failures += 1
                if failures >= MAX_FAILED_ATTEMPTS:
                    message = f"no trace from {self.address}: {type(error).__name__}: {error}"
                    remedy = "check that the sidecar's admin listener can be reached and that it records"
                    raise PeerError(message, remedy) from None
                await asyncio.sleep(backoff.next_delay_s())
                continue
            failures = 0
            backoff.reset()
            self._append_piece(piece)
            if piece.next >= piece.end:
                return self.data

    async def _fetch_piece(self, session: aiohttp.ClientSession) -> TracePiece:
        query = {"from": str(self.next_offset)}
        if self.incarnation:
            query["incarnation"] = self.incarnation
        url = f"http://{self.address}/_trace"
        async with session.get(
            url, params=query, timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        ) as response:
            if response.status != 200:
                raise PeerError(
                    f"no trace from {self.address}: status {response.status}",
                    "set `record` in the sidecar's configuration",
                )
            return msgspec.msgpack.decode(await response.read(), type=TracePiece)

    def _append_piece(self, piece: TracePiece) -> None:
        if piece.incarnation != self.incarnation or piece.start != self.next_offset:
            # The sidecar restarted, or its ring dropped the frames in between: this piece then starts
            # with the state at its beginning and can't be appended.
            self.discard()
        self.incarnation, self.next_offset = piece.incarnation, piece.next
        self.data += piece.data


async def fetch_traces(fetchers: dict[str, TraceFetcher], rng: random.Random) -> dict[str, Trace]:
    """Return the traces by sidecar name; one that can't be fetched or read is logged and left out."""
    traces: dict[str, Trace] = {}
    async with aiohttp.ClientSession() as session:
        names = sorted(fetchers)
        results = await asyncio.gather(
            *(fetchers[name].fetch(session, rng) for name in names), return_exceptions=True
        )
    for name, data in zip(names, results, strict=True):
        try:
            if isinstance(data, BaseException):
                raise data
            traces[name] = await asyncio.to_thread(read_trace, data)
        except (PeerError, TraceError) as error:
            LOG.warning("no trace", extra={"sidecar": name, **error.fields()})
    return traces
