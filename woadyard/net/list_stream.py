"""One HTTP call to discovery, from the connection to its end: a watch, or a fetch of one full list."""

from __future__ import annotations

import asyncio
import logging
from enum import StrEnum
from typing import Protocol, cast

import httptools
import msgspec

from woadyard.errors import PeerError
from woadyard.net.json_stream import JsonStreamDecoder
from woadyard.net.list_version import CurrentVersion, ListMessage

LOG = logging.getLogger(__name__)
LIST_DECODER: msgspec.json.Decoder[ListMessage] = msgspec.json.Decoder(ListMessage)


class StreamFailure(StrEnum):
    """Why a fetch ended without its list, or why a watch ended."""

    REFUSED = "connection refused"
    CONNECT_TIMEOUT = "connect timeout"
    SYSTEM = "system error"  # of this machine: no file descriptor, no port, no route
    RESET = "connection reset"
    CLOSED = "closed by discovery"
    STATUS = "error status"
    MALFORMED = "malformed answer"
    SILENT = "silent"
    OUTDATED = "outdated or foreign list"


class StreamOwner(Protocol):
    """Receives the lists of a stream and is notified of its failure."""

    loop: asyncio.AbstractEventLoop
    current: CurrentVersion

    @property
    def address(self) -> str: ...
    def receive(self, message: ListMessage) -> bool: ...
    def heartbeat_received(self, stream: Stream) -> None: ...
    def stream_failed(self, stream: Stream) -> None: ...


class Stream(asyncio.Protocol):
    """The client side of one watch or fetch. Times are seconds of the owner's loop."""

    def __init__(self, owner: StreamOwner, target: str, is_watch: bool) -> None:
        self.owner, self.target, self.is_watch = owner, target, is_watch
        self.parser = httptools.HttpResponseParser(self)
        self.decoder = JsonStreamDecoder(LIST_DECODER)
        self.transport: asyncio.Transport | None = None
        self.status = 0  # of the response, once its head has been received
        self.is_complete = False  # the response has been received to its end
        self.is_other_lineage = False  # it sent a list of another lineage than the current one
        self.needs_full_list = False  # it sent a delta that does not apply to the current list
        self.confirms_current = False  # the list that it sent is the current one
        self.is_done = False  # finished or abandoned: what follows is ignored
        self.failure: StreamFailure | None = None
        self.started_at_s = owner.loop.time()
        self.last_progress_s = self.started_at_s  # a response head, a line, or the beginning of a line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.is_done:
            self.transport.abort()
            return
        head = (
            f"GET {self.target} HTTP/1.1\r\nHost: {self.owner.address}\r\n"
            f"{self.owner.current.term_header()}\r\n"
        )
        self.transport.write(head.encode())

    def data_received(self, data: bytes) -> None:
        if self.is_done:
            return
        progress_before, heartbeats_before = self.decoder.progress_count, self.decoder.heartbeat_count
        try:
            self.parser.feed_data(data)
            self._process_response()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail_malformed(PeerError(f"invalid HTTP response: {error}"))
        except PeerError as error:
            self._fail_malformed(error)
        # Bytes that trickle in without ever completing a list are not progress.
        if self.decoder.progress_count > progress_before:
            self.last_progress_s = self.owner.loop.time()
        if not self.is_done and self.decoder.heartbeat_count > heartbeats_before:
            self.owner.heartbeat_received(self)

    def _process_last_line(self) -> None:
        """Decode what the end of the connection completes; that end is no heartbeat."""
        try:
            self.decoder.feed(b"\n")
            self._process_response()
        except PeerError as error:
            self._fail_malformed(error)

    def _fail_malformed(self, error: PeerError) -> None:
        LOG.warning("bad line from discovery", extra={**error.fields(), "at": self.owner.address})
        self.fail(StreamFailure.MALFORMED)

    def on_headers_complete(self) -> None:
        if (status := self.parser.get_status_code()) >= 200:
            self.status = status
            self.last_progress_s = self.owner.loop.time()

    def on_body(self, data: bytes) -> None:
        if self.status == 200:
            self.decoder.feed(data)

    def on_message_complete(self) -> None:
        self.is_complete = self.status >= 200
        if self.is_complete:
            self.decoder.feed(b"\n")

    def _process_response(self) -> None:
        if self.status == 200:
            for message in self.decoder.read_objects():
                if not self.owner.receive(message):
                    self.is_other_lineage = message.lineage != self.owner.current.version.lineage
                    self.needs_full_list = self.is_other_lineage and not message.reset
                    self.fail(StreamFailure.OUTDATED)
                    return
                # A lagging replica sends an older list: its heartbeats don't confirm the current one.
                self.confirms_current = self.owner.current.version == message.version
                if not self.is_watch:
                    self.stop()
                    return
        if self.status not in (0, 200):
            self.fail(StreamFailure.STATUS)
        elif self.is_complete:
            self.fail(StreamFailure.CLOSED)

    def stop(self) -> None:
        """Close the connection without reporting a failure."""
        self.is_done = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self, failure: StreamFailure = StreamFailure.REFUSED) -> None:
        """Close the connection and report this failure to the owner, once."""
        if not self.is_done:
            self.failure = failure
            self.stop()
            self.owner.stream_failed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.status == 200 and not self.is_done:
            self._process_last_line()  # a response without a length ends with the connection
        self.fail(StreamFailure.RESET if exc is not None else StreamFailure.CLOSED)
