"""A connection to an endpoint: carries one attempt at a time and reports its outcome.

The owner decides at the moment of writing whether an attempt may still start. A broken
connection is never retried here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from woadyard.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from woadyard.net.acceptor import DESCRIPTOR_ERRORS
from woadyard.net.memory_guard import MemoryGuard
from woadyard.net.message import (
    LAST_CHUNK,
    MAX_BUFFERED_BODY_BYTES,
    Attempt,
    Response,
    Upload,
    encode_chunk,
)
from woadyard.net.request_encoding import encode_request
from woadyard.net.response_reader import ResponseReader
from woadyard.policy.response_relay import relay_due_us


class ConnectionOwner(Protocol):
    """What a connection needs of its owner: shared resources, permission to start, and callbacks."""

    loop: asyncio.AbstractEventLoop
    read_buffer: memoryview
    memory: MemoryGuard
    connect_timeout_s: float

    def now(self) -> int: ...
    def may_start(self, attempt: Attempt, now: int) -> bool: ...
    @property
    def on_written(self) -> Callable[[Attempt, int], None]: ...
    def begin_relay(self, attempt: Attempt, response: Response, length: int | None) -> bool: ...
    def on_outcome(
        self, attempt: Attempt, outcome: int, response: Response | None, load_report: bytes
    ) -> None: ...
    def on_connection_lost(self, connection: EndpointConnection) -> None: ...
    def on_descriptors_exhausted(self) -> None: ...
    def schedule_sweep(self, idle_since_s: float) -> None: ...


class ConnectionPool:
    """The idle connections to one process at one address, least recently used first."""

    __slots__ = ("host", "idle", "is_closed", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[EndpointConnection] = []
        self.is_closed = False

    def close_idle(self) -> None:
        """Close the idle connections; the pool stays usable."""
        connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()

    def close(self) -> None:
        """Close the idle connections; busy ones are closed instead of returned to the pool."""
        self.is_closed = True
        self.close_idle()


class EndpointConnection(asyncio.BufferedProtocol):
    """One connection to an endpoint, carrying one attempt at a time."""

    def __init__(self, owner: ConnectionOwner, pool: ConnectionPool, attempt: Attempt) -> None:
        self.owner, self.pool = owner, pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timer: asyncio.TimerHandle | None = None
        self.is_lost = False
        self.idle_since_s = 0.0  # loop time
        self.is_request_unwritten = True  # the kernel does not have the request's last byte yet
        self.upload: Upload | None = None  # a body that is being streamed
        self.relay_timer: asyncio.TimerHandle | None = None  # until a response has to be streamed
        self.reader = ResponseReader(owner.now)

    # --- Connection -----------------------------------------------------------

    def connect(self) -> None:
        """Start connecting; the attempt is written as soon as the connection is up."""
        loop, pool = self.owner.loop, self.pool
        self.connect_task = loop.create_task(self._create_connection(pool.host, pool.port))
        # A callback, not code in the task: a task cancelled before its first step runs nothing.
        self.connect_task.add_done_callback(self._on_connect_done)
        self.connect_timer = loop.call_later(self.owner.connect_timeout_s, self._on_connect_timeout)

    async def _create_connection(self, host: str, port: int) -> None:
        await self.owner.loop.create_connection(lambda: self, host, port)

    def _on_connect_timeout(self) -> None:
        if self.transport is None and self.connect_task is not None:
            self.connect_task.cancel()

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        """Handle the end of connecting, whether it succeeded, failed or was cancelled.

        After a failure or a cancellation uvloop never calls `connection_lost`, not even if it
        called `connection_made` in the same iteration of the loop.
        """
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.connect_task = None  # its exception refers to this connection
        if self.is_lost or not (task.cancelled() or task.exception()):
            return
        error = None if task.cancelled() else task.exception()
        if isinstance(error, OSError) and error.errno in DESCRIPTOR_ERRORS:
            self.owner.on_descriptors_exhausted()
            self._report_outcome(MOOT)  # not a failure of the endpoint
        self.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called as soon as any byte stays buffered.
        self.transport.set_write_buffer_limits(high=0)
        # Cancelled or timed out in the same iteration of the loop: nothing may be written.
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
        """Write the attempt's request, or end the attempt as MOOT if it may not start any more."""
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        now = self.owner.now()
        if self.pool.is_closed or not self.owner.may_start(attempt, now):
            # Checked again because connecting may have been slow: nothing may start after the drain
            # grace, the deadline or the final response, nor at a process that has been replaced.
            self.attempt = None
            self.release()
            self.owner.on_outcome(attempt, MOOT, None, b"")
            return
        self.upload = attempt.call.upload
        self.is_request_unwritten = self.upload is not None
        attempt.was_written, attempt.progress = True, self.reader.progress
        transport.write(encode_request(attempt, now))
        self.owner.on_written(attempt, self.owner.now())
        if self.upload is not None:
            self.upload.attach(self)
        if transport.is_closing():
            self.is_request_unwritten = True  # the first write failed: no byte was sent

    def send_body_part(self, data: bytes) -> None:
        """Write a part of a streamed body."""
        assert self.transport is not None and self.upload is not None
        self.transport.write(data if self.upload.length is not None else encode_chunk(data))

    def end_body(self) -> None:
        """Finish a streamed body."""
        assert self.transport is not None and self.upload is not None
        is_upload_chunked, self.upload = self.upload.length is None, None
        if is_upload_chunked:
            self.transport.write(LAST_CHUNK)
        self.is_request_unwritten = self.transport.get_write_buffer_size() > 0

    def detach_upload(self) -> None:
        """Stop streaming the body of an attempt that ended before its body did."""
        if self.upload is not None:
            self.upload.detach()
            self.upload = None

    def release(self) -> None:
        """Return the connection to its pool, or close it if it can't be reused."""
        if self.pool.is_closed or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self.set_reading_paused(False)  # the last part may have met a slow client
        self.reader.reset()
        self.pool.idle.append(self)
        self.idle_since_s = self.owner.loop.time()
        self.owner.schedule_sweep(self.idle_since_s)

    def is_reusable(self) -> bool:
        """Whether the connection may carry another request.

        Polls the socket: since the loop last did, the endpoint may have closed the connection or
        sent unsolicited bytes, which would be taken for the next response.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poller.poll(0)

    def close(self) -> None:
        """Close the connection at once, or cancel connecting."""
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.owner.on_connection_lost(self)
        # Once a response has begun, the endpoint has read the request, whatever is still unwritten.
        never_read = self.is_request_unwritten and not self.reader.progress.is_streamed
        self._report_outcome(NO_CONNECT if never_read else RESET)
        self.reader.close()
        if self.relay_timer is not None:
            self.relay_timer.cancel()

    def _report_outcome(self, outcome: int, response: Response | None = None) -> None:
        self.detach_upload()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.owner.on_outcome(attempt, outcome, response, self.reader.headers.get(b"x-load"))

    # --- Responses ----------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.read_buffer[: self.owner.memory.buffer_bytes]

    def buffer_updated(self, size: int) -> None:
        self.feed_response(bytes(self.owner.read_buffer[:size]))
        self.owner.memory.bytes_received(size)

    @property
    def held_bytes(self) -> int:
        """The bytes of requests and responses that the connection holds."""
        held = self.reader.held_bytes
        return held + (self.transport.get_write_buffer_size() if self.transport is not None else 0)

    def eof_received(self) -> None:
        self.reader.end_of_stream()
        if self.attempt is not None and self.reader.is_complete:
            self._finish_response()

    def feed_response(self, data: bytes) -> None:
        """Parse response bytes, and end the attempt once the response is complete or invalid."""
        if self.attempt is None:  # unsolicited bytes
            self.close()
            return
        reader, is_valid = self.reader, True
        try:
            reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_valid = False
        self._relay_body()
        if not is_valid:
            # Unsolicited bytes after a complete response don't invalidate it, but no further
            # response can be delimited on this connection.
            reader.allows_keep_alive = False
        if reader.is_complete:
            self._finish_response()
        elif not is_valid or reader.is_endless:
            self._fail_response()
        elif reader.progress.body_bytes > MAX_BUFFERED_BODY_BYTES and not reader.progress.is_streamed:
            self._finish_response()  # not a response to relay: the rest of the body is not needed

    def _fail_response(self) -> None:
        """End the attempt as reset: the response is not valid HTTP."""
        self.close()
        self._report_outcome(RESET)

    def _relay_body(self) -> None:
        """Pass on what was read of a response that is streamed, as one part, or begin to."""
        reader, progress = self.reader, self.reader.progress
        if progress.is_streamed:
            if self.attempt is not None and (part := reader.take_body()):
                self.attempt.call.client.send_body_part(part)
            return
        max_buffered = self.owner.memory.max_buffered_body(MAX_BUFFERED_BODY_BYTES)
        if max(progress.length or 0, progress.body_bytes) > max_buffered:
            self._begin_relay()
        elif progress.has_unknown_length and not reader.is_complete:
            self.relay_if_due()

    def relay_if_due(self) -> None:
        if self.relay_timer is not None:
            self.relay_timer.cancel()
            self.relay_timer = None
        progress = self.reader.progress
        if self.attempt is None or progress.is_streamed or not progress.has_unknown_length:
            return
        left_us = relay_due_us(progress, self.attempt.call.expires_us) - self.owner.now()
        if left_us <= 0:
            self._begin_relay()
        else:
            self.relay_timer = self.owner.loop.call_later(left_us / 1e6, self.relay_if_due)

    def _begin_relay(self) -> None:
        """Stream a response to the client from here on."""
        progress = self.reader.progress
        if progress.status == 200 and self.attempt is not None:
            response = self.reader.take_response()
            progress.is_streamed = self.owner.begin_relay(self.attempt, response, progress.length)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading, so that the endpoint is read no faster than the client reads."""
        progress = self.reader.progress
        if progress.is_reading_paused and not paused:
            progress.resumed_us = self.owner.now()
        progress.is_reading_paused = paused
        if self.transport is not None and not self.transport.is_closing():
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _finish_response(self) -> None:
        outcome, response, reader = ERROR, None, self.reader
        status, is_complete = reader.progress.status, reader.is_complete
        if reader.progress.is_streamed:
            outcome = OK
        elif status == 200:
            outcome = OK if is_complete else RESET
            response = reader.take_response() if is_complete else None
        elif is_complete and status in (503, 504) and reader.headers.get(b"x-not-run") == b"1":
            outcome = FULL
        attempt, load_report = self.attempt, reader.headers.get(b"x-load")
        self.attempt = None
        self.detach_upload()
        # The connection can't be reused while part of the request is unwritten.
        if reader.allows_keep_alive and is_complete and not self.is_request_unwritten:
            self.release()
        else:
            self.close()
        if attempt is not None:
            self.owner.on_outcome(attempt, outcome, response, load_report)
