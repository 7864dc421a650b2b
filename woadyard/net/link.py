"""One connection to an endpoint: it carries one attempt at a time, and reports its outcome.

Whether an attempt may still start is asked of its owner at the moment of writing;
a broken connection is never tried again from here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from woadyard.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from woadyard.net.message import (
    LAST_CHUNK,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    Attempt,
    FramingError,
    Headers,
    Response,
    Upload,
    encode_chunk,
    end_to_end_headers,
    parse_framing,
)


class Owner(Protocol):
    """Whose connection it is: told of its ends, asked before each start."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
    connect_s: float

    def now(self) -> int: ...
    def may_start(self, attempt: Attempt, now: int) -> bool: ...
    @property
    def written(self) -> Callable[[Attempt, int], None]: ...
    def relay(self, attempt: Attempt, answer: Response, length: int | None) -> bool: ...
    def ended(self, attempt: Attempt, outcome: int, answer: Response | None, load: bytes) -> None: ...
    def gone(self, link: Link) -> None: ...
    def arm(self, since: float) -> None: ...


class Pool:
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("closed", "host", "idle", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[Link] = []
        self.closed = False

    def free(self) -> None:
        links, self.idle = self.idle, []
        for link in links:
            link.close()

    def close(self) -> None:
        self.closed = True
        self.free()


class Link(asyncio.BufferedProtocol):
    """One connection, carrying one attempt at a time."""

    def __init__(self, owner: Owner, pool: Pool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.late: asyncio.TimerHandle | None = None  # runs while it opens
        self.lost = False
        self.idle_since = 0.0
        self.unwritten = True  # the request's last byte is not yet with the system
        self.upload: Upload | None = None  # a body on its way out
        self.parser = httptools.HttpResponseParser(self)
        self._begin()

    def _begin(self) -> None:
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.fed = 0  # of the body, and of what came since its last byte
        self.load = b""
        self.status = 0  # of an answer whose head has come
        self.length: int | None = None
        self.chunked = False
        self.relaying = False  # the answer is passed on as it comes
        self.not_run = self.whole = self.keep = False

    # --- Connection -----------------------------------------------------------

    def open(self) -> None:
        loop, pool = self.owner.loop, self.pool
        self.opening = loop.create_task(self._connect(pool.host, pool.port))
        # Not within the task: one called off before its first step runs nothing at all.
        self.opening.add_done_callback(self._opened)
        self.late = loop.call_later(self.owner.connect_s, self._too_late)

    async def _connect(self, host: str, port: int) -> None:
        await self.owner.loop.create_connection(lambda: self, host, port)

    def _too_late(self) -> None:
        if self.transport is None and self.opening is not None:
            self.opening.cancel()

    def _opened(self, opening: asyncio.Task[None]) -> None:
        """It came up, or failed, or was called off; of the latter two uvloop tells no
        `connection_lost`, even where it came up in the same turn and told of that."""
        if self.late is not None:
            self.late.cancel()
        if not self.lost and (opening.cancelled() or opening.exception() is not None):
            self.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        # Called off, or too late by the same turn: nothing may be written any more.
        if self.attempt is None or (self.opening is not None and self.opening.cancelling()):
            self.transport.abort()
        else:
            self.write()

    def pause_writing(self) -> None:
        self.unwritten = True
        if self.upload is not None:
            self.upload.set_paused(True)

    def resume_writing(self) -> None:
        self.unwritten = self.upload is not None
        if self.upload is not None:
            self.upload.set_paused(False)

    def write(self) -> None:
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        if self.pool.closed or not self.owner.may_start(attempt, now):
            # Guards the rules after a slow connect: past the drain grace, the deadline or
            # the final answer nothing may start, nor at a process that another has replaced.
            self.attempt = None
            self.rest()
            self.owner.ended(attempt, MOOT, None, b"")
            return
        self.upload = attempt.call.upload
        self.unwritten = self.upload is not None
        attempt.was_written = True
        transport.write(request_bytes(attempt, now))
        self.owner.written(attempt, self.owner.now())
        if self.upload is not None:
            self.upload.attach(self)
        if transport.is_closing():
            self.unwritten = True  # the first write failed: nothing left

    def send_body_part(self, data: bytes) -> None:
        assert self.transport is not None and self.upload is not None
        self.transport.write(data if self.upload.length is not None else encode_chunk(data))

    def end_body(self) -> None:
        assert self.transport is not None and self.upload is not None
        chunked, self.upload = self.upload.length is None, None
        if chunked:
            self.transport.write(LAST_CHUNK)
        self.unwritten = self.transport.get_write_buffer_size() > 0

    def unload(self) -> None:
        """The attempt is over before its body was."""
        if self.upload is not None:
            self.upload.detach()
            self.upload = None

    def rest(self) -> None:
        """The connection carries nothing now: keep it for the next attempt."""
        if self.pool.closed or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._begin()
        self.pool.idle.append(self)
        self.idle_since = self.owner.loop.time()
        self.owner.arm(self.idle_since)

    def quiet(self) -> bool:
        """Whether it may carry a request: an end of the endpoint's, or bytes that nobody asked for,
        may lie in the system since the loop last looked, and would be taken for the answer."""
        if self.transport is None or self.transport.is_closing():
            return False
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not look.poll(0)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        elif self.opening is not None:
            self.opening.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.owner.gone(self)
        # Where an answer has begun, the request was read whatever is still unwritten.
        self._end(NO_CONNECT if self.unwritten and not self.relaying else RESET)
        del self.parser  # it holds the link in turn

    def _end(self, outcome: int, answer: Response | None = None) -> None:
        self.unload()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.ended(attempt, outcome, answer, self.load)

    # --- Answers ------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer

    def buffer_updated(self, size: int) -> None:
        self.read(bytes(self.owner.buffer[:size]))

    def eof_received(self) -> None:
        """A clean end ends a body that has no other."""
        if self.attempt is not None and self.status and self.length is None and not self.chunked:
            self.whole = True
            self._finish()

    def read(self, data: bytes) -> None:
        if self.attempt is None:  # nobody asked: whatever it is, it ends the connection
            self.close()
            return
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes after a whole answer take nothing from it, but nobody asked
            # for them: what follows on this connection can't be told apart.
            self.keep = False
            if not self.whole:
                self._fail()
                return
        if self.whole:
            self._finish()
        elif self.fed > MAX_HEAD_BYTES:  # a head, or trailers, that the parser would gather without an end
            self._fail()
        elif self.size > MAX_BUFFERED_BODY_BYTES and not self.relaying:
            self._finish()  # no answer to pass on: the rest of it tells nothing

    def _fail(self) -> None:
        """No answer of this protocol: it ends as a reset."""
        self.close()
        self._end(RESET)

    def on_message_begin(self) -> None:
        if self.whole:
            raise FramingError("a second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.status:
            return  # a trailer: it is not passed on
        lower, value = name.lower(), value.strip(b" \t")
        if lower == b"x-load":
            self.load = value
        elif lower == b"x-not-run":
            self.not_run = value == b"1"
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.length, self.chunked = parse_framing(self.headers)
            self.status = status
            if (self.length or 0) > MAX_BUFFERED_BODY_BYTES:
                self._relay()

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.fed = 0
        if self.relaying:
            assert self.attempt is not None
            self.attempt.call.client.send_body_part(data)
        else:
            self.body.append(data)
            if self.size > MAX_BUFFERED_BODY_BYTES:
                self._relay()

    def _relay(self) -> None:
        """Too large to be held whole: from here on it is passed on as it comes."""
        if self.status == 200 and self.attempt is not None:
            answer = Response(200, end_to_end_headers(self.headers), b"".join(self.body))
            self.body.clear()
            self.relaying = self.owner.relay(self.attempt, answer, self.length)

    def set_reading_paused(self, paused: bool) -> None:
        """Read no faster than the caller does."""
        if self.transport is not None and not self.transport.is_closing():
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def on_message_complete(self) -> None:
        if not self.status:  # an interim answer; the real one follows
            self.headers.clear()
        else:
            self.whole, self.keep = True, self.parser.should_keep_alive()

    def _finish(self) -> None:
        outcome, answer = ERROR, None
        if self.relaying:
            outcome = OK
        elif self.status == 200:
            outcome = OK if self.whole else RESET
            answer = (
                Response(200, end_to_end_headers(self.headers), b"".join(self.body)) if self.whole else None
            )
        elif self.whole and self.status in (503, 504) and self.not_run:
            outcome = FULL
        attempt, load = self.attempt, self.load
        self.attempt = None
        self.unload()
        # A request not yet read whole leaves the connection unfit for the next.
        if self.keep and self.whole and not self.unwritten:
            self.rest()
        else:
            self.close()
        if attempt is not None:
            self.owner.ended(attempt, outcome, answer, load)


def request_bytes(attempt: Attempt, now: int) -> bytes:
    """The head, with the body where that is held whole."""
    call, upload = attempt.call, attempt.call.upload
    # Rounded down: the endpoint must not work on past the sidecar's patience.
    wait_us = attempt.timeout_at_us - now if upload is None or upload.is_complete else call.timeout_us
    wait = b"X-Deadline-Ms: %d\r\n" % max(1, wait_us // 1000)
    if upload is not None and upload.length is None:
        length = b"Transfer-Encoding: chunked\r\n"
    elif call.method_and_target.startswith(b"GET ") and not call.body and upload is None:
        length = b""
    else:
        length = b"Content-Length: %d\r\n" % (len(call.body) if upload is None else upload.length or 0)
    head = call.header_lines + attempt.extra_headers
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (call.method_and_target, head, wait, length, call.body)
