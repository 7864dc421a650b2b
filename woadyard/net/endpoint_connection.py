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


class ConnectionOwner(Protocol):
    """Whose connection it is: told of its ends, asked before each start."""

    loop: asyncio.AbstractEventLoop
    read_buffer: memoryview
    connect_timeout_s: float

    def now(self) -> int: ...
    def may_start(self, attempt: Attempt, now: int) -> bool: ...
    @property
    def on_written(self) -> Callable[[Attempt, int], None]: ...
    def begin_relay(self, attempt: Attempt, answer: Response, length: int | None) -> bool: ...
    def on_outcome(self, attempt: Attempt, outcome: int, answer: Response | None, load: bytes) -> None: ...
    def on_connection_lost(self, link: EndpointConnection) -> None: ...
    def schedule_sweep(self, since: float) -> None: ...


class ConnectionPool:
    """The idle connections to one process at one address, the last used last."""

    __slots__ = ("host", "idle", "is_closed", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[EndpointConnection] = []
        self.is_closed = False

    def close_idle(self) -> None:
        links, self.idle = self.idle, []
        for link in links:
            link.close()

    def close(self) -> None:
        self.is_closed = True
        self.close_idle()


class EndpointConnection(asyncio.BufferedProtocol):
    """One connection, carrying one attempt at a time."""

    def __init__(self, owner: ConnectionOwner, pool: ConnectionPool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None  # runs while it opens
        self.is_lost = False
        self.idle_since_s = 0.0
        self.is_request_unwritten = True  # the request's last byte is not yet with the system
        self.upload: Upload | None = None  # a body on its way out
        self.parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self.headers: Headers = []
        self.body_parts: list[bytes] = []
        self.body_size = self.bytes_since_body = 0  # of the body, and of what came since its last byte
        self.load_report = b""
        self.status = 0  # of an answer whose head has come
        self.content_length: int | None = None
        self.is_chunked = False
        self.is_relaying = False  # the answer is passed on as it comes
        self.is_marked_not_run = self.is_complete = self.allows_keep_alive = False

    # --- Connection -----------------------------------------------------------

    def connect(self) -> None:
        loop, pool = self.owner.loop, self.pool
        self.connect_task = loop.create_task(self._create_connection(pool.host, pool.port))
        # Not within the task: one called off before its first step runs nothing at all.
        self.connect_task.add_done_callback(self._on_connect_done)
        self.connect_timer = loop.call_later(self.owner.connect_timeout_s, self._on_connect_timeout)

    async def _create_connection(self, host: str, port: int) -> None:
        await self.owner.loop.create_connection(lambda: self, host, port)

    def _on_connect_timeout(self) -> None:
        if self.transport is None and self.connect_task is not None:
            self.connect_task.cancel()

    def _on_connect_done(self, opening: asyncio.Task[None]) -> None:
        """It came up, or failed, or was called off; of the latter two uvloop tells no
        `connection_lost`, even where it came up in the same turn and told of that."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if not self.is_lost and (opening.cancelled() or opening.exception() is not None):
            self.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # `pause_writing` tells of unwritten bytes
        # Called off, or too late by the same turn: nothing may be written any more.
        if self.attempt is None or (self.connect_task is not None and self.connect_task.cancelling()):
            self.transport.abort()
        else:
            self.write_request()

    def pause_writing(self) -> None:
        self.is_request_unwritten = True
        if self.upload is not None:
            self.upload.set_paused(True)

    def resume_writing(self) -> None:
        self.is_request_unwritten = self.upload is not None
        if self.upload is not None:
            self.upload.set_paused(False)

    def write_request(self) -> None:
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        if self.pool.is_closed or not self.owner.may_start(attempt, now):
            # Guards the rules after a slow connect: past the drain grace, the deadline or
            # the final answer nothing may start, nor at a process that another has replaced.
            self.attempt = None
            self.release()
            self.owner.on_outcome(attempt, MOOT, None, b"")
            return
        self.upload = attempt.call.upload
        self.is_request_unwritten = self.upload is not None
        attempt.was_written = True
        transport.write(encode_request(attempt, now))
        self.owner.on_written(attempt, self.owner.now())
        if self.upload is not None:
            self.upload.attach(self)
        if transport.is_closing():
            self.is_request_unwritten = True  # the first write failed: nothing left

    def send_body_part(self, data: bytes) -> None:
        assert self.transport is not None and self.upload is not None
        self.transport.write(data if self.upload.length is not None else encode_chunk(data))

    def end_body(self) -> None:
        assert self.transport is not None and self.upload is not None
        chunked, self.upload = self.upload.length is None, None
        if chunked:
            self.transport.write(LAST_CHUNK)
        self.is_request_unwritten = self.transport.get_write_buffer_size() > 0

    def detach_upload(self) -> None:
        """The attempt is over before its body was."""
        if self.upload is not None:
            self.upload.detach()
            self.upload = None

    def release(self) -> None:
        """The connection carries nothing now: keep it for the next attempt."""
        if self.pool.is_closed or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self._reset_response()
        self.pool.idle.append(self)
        self.idle_since_s = self.owner.loop.time()
        self.owner.schedule_sweep(self.idle_since_s)

    def is_reusable(self) -> bool:
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
        elif self.connect_task is not None:
            self.connect_task.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.owner.on_connection_lost(self)
        # Where an answer has begun, the request was read whatever is still unwritten.
        self._report_outcome(NO_CONNECT if self.is_request_unwritten and not self.is_relaying else RESET)
        del self.parser  # it holds the link in turn

    def _report_outcome(self, outcome: int, answer: Response | None = None) -> None:
        self.detach_upload()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.on_outcome(attempt, outcome, answer, self.load_report)

    # --- Answers ------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.read_buffer

    def buffer_updated(self, size: int) -> None:
        self.feed_response(bytes(self.owner.read_buffer[:size]))

    def eof_received(self) -> None:
        """A clean end ends a body that has no other."""
        if self.attempt is not None and self.status and self.content_length is None and not self.is_chunked:
            self.is_complete = True
            self._finish_response()

    def feed_response(self, data: bytes) -> None:
        if self.attempt is None:  # nobody asked: whatever it is, it ends the connection
            self.close()
            return
        self.bytes_since_body += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Bytes after a whole answer take nothing from it, but nobody asked
            # for them: what follows on this connection can't be told apart.
            self.allows_keep_alive = False
            if not self.is_complete:
                self._fail_response()
                return
        if self.is_complete:
            self._finish_response()
        elif (
            self.bytes_since_body > MAX_HEAD_BYTES
        ):  # a head, or trailers, that the parser would gather without an end
            self._fail_response()
        elif self.body_size > MAX_BUFFERED_BODY_BYTES and not self.is_relaying:
            self._finish_response()  # no answer to pass on: the rest of it tells nothing

    def _fail_response(self) -> None:
        """No answer of this protocol: it ends as a reset."""
        self.close()
        self._report_outcome(RESET)

    def on_message_begin(self) -> None:
        if self.is_complete:
            raise FramingError("a second answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.status:
            return  # a trailer: it is not passed on
        lower, value = name.lower(), value.strip(b" \t")
        if lower == b"x-load":
            self.load_report = value
        elif lower == b"x-not-run":
            self.is_marked_not_run = value == b"1"
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:
            self.content_length, self.is_chunked = parse_framing(self.headers)
            self.status = status
            if (self.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
                self._begin_relay()

    def on_body(self, data: bytes) -> None:
        self.body_size += len(data)
        self.bytes_since_body = 0
        if self.is_relaying:
            assert self.attempt is not None
            self.attempt.call.client.send_body_part(data)
        else:
            self.body_parts.append(data)
            if self.body_size > MAX_BUFFERED_BODY_BYTES:
                self._begin_relay()

    def _begin_relay(self) -> None:
        """Too large to be held whole: from here on it is passed on as it comes."""
        if self.status == 200 and self.attempt is not None:
            answer = Response(200, end_to_end_headers(self.headers), b"".join(self.body_parts))
            self.body_parts.clear()
            self.is_relaying = self.owner.begin_relay(self.attempt, answer, self.content_length)

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
            self.is_complete, self.allows_keep_alive = True, self.parser.should_keep_alive()

    def _finish_response(self) -> None:
        outcome, answer = ERROR, None
        if self.is_relaying:
            outcome = OK
        elif self.status == 200:
            outcome = OK if self.is_complete else RESET
            answer = (
                Response(200, end_to_end_headers(self.headers), b"".join(self.body_parts))
                if self.is_complete
                else None
            )
        elif self.is_complete and self.status in (503, 504) and self.is_marked_not_run:
            outcome = FULL
        attempt, load = self.attempt, self.load_report
        self.attempt = None
        self.detach_upload()
        # A request not yet read whole leaves the connection unfit for the next.
        if self.allows_keep_alive and self.is_complete and not self.is_request_unwritten:
            self.release()
        else:
            self.close()
        if attempt is not None:
            self.owner.on_outcome(attempt, outcome, answer, load)


def encode_request(attempt: Attempt, now: int) -> bytes:
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
