"""One answer of discovery: a watch, or one whole list, from the call to its end."""

from __future__ import annotations

import asyncio
import logging
from enum import StrEnum
from typing import Protocol, cast

import httptools
import msgspec

from woadyard.errors import PeerError
from woadyard.net.held import Held, Told
from woadyard.net.lines import Objects

LOG = logging.getLogger(__name__)
LISTS: msgspec.json.Decoder[Told] = msgspec.json.Decoder(Told)


class CallEnd(StrEnum):
    """Why a call to discovery ended without its list, or why a watch did."""

    REFUSED = "connection refused"
    CONNECT_TIMEOUT = "connect timeout"
    SYSTEM = "system error"  # of this machine: no descriptor, no port, no route
    RESET = "connection reset"
    CLOSED = "closed by discovery"
    STATUS = "error status"
    MALFORMED = "malformed answer"
    SILENT = "silent"
    OUTDATED = "outdated or foreign list"


class Owner(Protocol):
    """Whose call it is."""

    loop: asyncio.AbstractEventLoop
    held: Held

    @property
    def address(self) -> str: ...
    def take(self, told: Told) -> bool: ...
    def confirm(self) -> None: ...
    def lost(self, stream: Stream) -> None: ...


class Stream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list.

    Times are those of the owner's loop, s."""

    def __init__(self, owner: Owner, target: str, watch: bool) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.lists = Objects(LISTS)
        self.transport: asyncio.Transport | None = None
        self.status = 0  # of the answer, once its head has come
        self.ended = False  # the answer has
        self.other = False  # it told a list of another log than the one held
        self.current = False  # the list that it told is the one held
        self.done = False  # whole, or given up: its end says nothing
        self.end: CallEnd | None = None  # why it failed
        self.begun = owner.loop.time()
        self.heard = self.begun  # of it: a whole head or line, or the beginning of one

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.done:
            self.transport.abort()
            return
        head = f"GET {self.target} HTTP/1.1\r\nHost: {self.owner.address}\r\n{self.owner.held.header()}\r\n"
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        said, beats = self.lists.said, self.lists.blank
        try:
            if data:
                self.parser.feed_data(data)
            else:
                self.lists.feed(b"\n")
            self._read()
            # Guards against bytes that trickle in and never make a list.
            if self.lists.said > said:
                self.heard = self.owner.loop.time()
            if self.current and not self.done and self.lists.blank > beats:
                self.owner.confirm()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._bad(PeerError(f"no HTTP answer: {error}"))
        except PeerError as error:
            self._bad(error)

    def _bad(self, error: PeerError) -> None:
        LOG.warning("bad line from discovery", extra={**error.fields(), "at": self.owner.address})
        self.fail(CallEnd.MALFORMED)

    def on_headers_complete(self) -> None:
        if (status := self.parser.get_status_code()) >= 200:
            self.status = status
            self.heard = self.owner.loop.time()

    def on_body(self, data: bytes) -> None:
        if self.status == 200:
            self.lists.feed(data)

    def on_message_complete(self) -> None:
        self.ended = self.status >= 200
        if self.ended:
            self.lists.feed(b"\n")

    def _read(self) -> None:
        if self.status == 200:
            for told in self.lists.whole():
                if not self.owner.take(told):
                    self.other = told.lineage != self.owner.held.name.lineage
                    self.fail(CallEnd.OUTDATED)
                    return
                # A replica that lags told an older list: what it says confirms nothing.
                self.current = self.owner.held.name == told.name
                if not self.watch:
                    self.stop()
                    return
        if self.status not in (0, 200):
            self.fail(CallEnd.STATUS)
        elif self.ended:
            self.fail(CallEnd.CLOSED)

    def stop(self) -> None:
        self.done = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self, end: CallEnd = CallEnd.REFUSED) -> None:
        """It tells no more, for this reason."""
        if not self.done:
            self.end = end
            self.stop()
            self.owner.lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.status == 200 and not self.done:
            self.data_received(b"")  # an answer without length ends so
        self.fail(CallEnd.RESET if exc is not None else CallEnd.CLOSED)
