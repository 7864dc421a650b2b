"""A client connection: parses its requests and writes their responses."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.net.disconnects import DisconnectDetector, reset_connection
from woadyard.net.event_dispatcher import now_us
from woadyard.net.message import READ_SIZE, Call, EndpointStream, Response, Upload
from woadyard.net.request_head import BadRequestError, accept_request, serialize_response
from woadyard.net.request_parser import RequestParser
from woadyard.net.streamed_response import StreamedResponse
from woadyard.net.timeouts import MAX_STALLED_CHECKS, MAX_UPLOAD_US, MIN_BODY_PROGRESS_BYTES

if TYPE_CHECKING:
    from woadyard.net.server import Server

LOG = logging.getLogger(__name__)


class ClientConnection(asyncio.BufferedProtocol):
    """Protocol of one client connection. Pipelined requests are served one after the other."""

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.driver.loop
        self.requests = server.driver.requests
        self.transport: asyncio.Transport | None = None
        self.detector: DisconnectDetector | None = None
        self.call: Call | None = None  # being served
        self.upload: Upload | None = None  # the body of `call`, until it is complete
        self.streamed_response: StreamedResponse | None = None
        self.pipelined: deque[tuple[Call | Response, bool]] = deque()  # with whether to keep the connection
        self.bytes_ahead = 0  # read since no request was pipelined
        self.keep_alive = True
        self.is_rejected = False  # nothing more is read; requests before it are still served
        self.is_closed = False  # nothing more is read or written
        self.parser = RequestParser(self, server.read_headers)
        self.is_upload_paused = self.is_reading_paused = False  # by the endpoint, and for any reason
        self.is_writing_paused = False  # the client does not read its responses
        self.stall_timer: asyncio.TimerHandle | None = None  # runs meanwhile
        self.discards_body = False  # after an early response
        self.request_timer: asyncio.TimerHandle | None = None  # runs while a request is awaited
        self.awaiting_since_s = 0.0  # on the event loop's clock, while `request_timer` runs
        self.stalled_checks = 0  # in a row, of a body that its endpoint does not accept
        self.last_checked_size = 0  # of the body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=READ_SIZE)
        self.detector = DisconnectDetector(self.transport)
        self.server.connection_opened(self)
        self._update_request_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_requests()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.server.connection_closed(self)
        self.parser.close()

    # --- Disconnects ----------------------------------------------------------------

    def eof_received(self) -> None:
        """A half-close counts as a disconnect: a sidecar cancels requests to the next tier
        that way, and it cannot be distinguished from a full close."""
        self.client_disconnected()

    def check_connected(self) -> bool:
        """Called before each attempt; cancels all requests if the client has disconnected."""
        if self.detector is not None and not self.detector.is_disconnected():
            return True
        self.client_disconnected()
        return False

    def client_disconnected(self) -> None:
        """Cancel all requests now: `connection_lost` is called only once earlier responses are written."""
        is_incomplete = self.streamed_response is not None
        self._cancel_requests()
        if is_incomplete and self.transport is not None and not self.transport.is_closing():
            reset_connection(self.transport)
        else:
            self.server.close_connection(self)

    def _cancel_requests(self) -> None:
        self.is_closed = True
        self.pipelined.clear()
        self.server.paused_clients.discard(self)
        self._update_request_timer()
        if self.streamed_response is not None:
            self.streamed_response.finish()
        self.streamed_response = self.upload = None
        if self.call is not None:
            call, self.call = self.call, None
            self.requests.client_disconnected(call)

    # --- Reading --------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.read_buffer

    def buffer_updated(self, size: int) -> None:
        if not (self.is_closed or self.is_rejected):
            self.bytes_ahead += size
            self.receive(bytes(self.server.read_buffer[:size]))

    def receive(self, data: bytes) -> None:
        self.server.idle_since.pop(self, None)
        try:
            self.parser.feed(data)
            self._forward_body()
            self.serve_next()
        except httptools.HttpParserCallbackError as error:
            self.serve_next()  # complete requests before the bad one are served
            cause = error.__context__
            self.reject(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.serve_next()
            self.reject(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.reject(error)
        self._update_request_timer()

    def _update_request_timer(self) -> None:
        """Run the timer while a request is awaited. Further bytes of a head do not extend it:
        a client that sends them one by one would never time out."""
        is_due = bool(self.upload) or not (self.call or self.pipelined)
        awaits = is_due and not (self.is_closed or self.streamed_response or self in self.server.idle_since)
        if awaits and self.request_timer is None:
            self.last_checked_size, self.awaiting_since_s = 0, self.loop.time()
            self.request_timer = self.loop.call_later(self.server.timeouts.request_s, self._request_timed_out)
        elif not awaits and self.request_timer is not None:
            self.request_timer.cancel()
            self.request_timer = None

    def _request_timed_out(self) -> None:
        self.request_timer = None
        new_bytes = self.parser.body_size - self.last_checked_size
        if self.parser.in_body and (self.is_reading_paused or new_bytes >= MIN_BODY_PROGRESS_BYTES):
            # While reading is paused, the endpoint holds up the body, which is its own failure.
            self.stalled_checks = self.stalled_checks + 1 if self.is_reading_paused and not new_bytes else 0
            self.last_checked_size = self.parser.body_size
            self.request_timer = self.loop.call_later(self.server.timeouts.body_s, self._request_timed_out)
            if self.stalled_checks >= MAX_STALLED_CHECKS and self.call is not None:
                self.requests.upload_stalled(self.call)
        elif self.parser.is_reading and not self.discards_body:
            self.reject(BadRequestError(408, "the request was not complete in time"))
        else:
            self.server.close_connection(self)

    def on_expect_continue(self) -> None:
        # Never in the middle of a response: clients wait for 100 Continue only for a moment.
        if self.call is None and not self.pipelined and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _forward_body(self) -> None:
        """Pass on what was read of a streamed body, as one part; of one that is discarded, keep nothing."""
        if self.upload is None and not self.discards_body:
            return  # the parser buffers the body
        part = self.parser.take_body()
        if self.upload is not None and part:
            self.upload.feed(part)

    def on_request_complete(self) -> None:
        self._forward_body()
        if self.discards_body:
            self._linger()
        elif self.upload is not None:
            self._upload_complete(self.upload)
        else:
            accepted = accept_request(self.server, self.parser, self)
            # Health checks use a new connection each; kept open, those would add up.
            keep_alive = self.parser.wants_keep_alive and not self.parser.is_health_check
            self.pipelined.append((accepted, keep_alive))
            self.parser.finish_request()

    def _upload_complete(self, upload: Upload) -> None:
        self.upload = None
        self.parser.finish_request()
        self.keep_alive = self.parser.wants_keep_alive
        upload.finish()
        if self.call is not None:
            expires_us = min(now_us() + self.call.timeout_us, self.server.responses_due_us)
            self.requests.body_complete(self.call, expires_us)

    def _start_upload(self) -> None:
        """Accept a request whose body is too large to buffer and is streamed."""
        accepted = accept_request(self.server, self.parser, self)
        if isinstance(accepted, Response):
            if self.parser.is_health_check:
                raise BadRequestError(413, "a health check has no body")
            self._write_last(accepted)
            return
        self.upload = accepted.upload = Upload(
            self.parser.content_length, accepted.body, self.set_upload_paused
        )
        accepted.body = b""
        accepted.expires_us += MAX_UPLOAD_US
        self.keep_alive, self.call = True, accepted
        self.set_upload_paused(True)  # until an endpoint connection accepts it
        self.requests.accept(accepted)

    def set_upload_paused(self, paused: bool) -> None:
        self.is_upload_paused = paused
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while it would only fill the memory, or resume it."""
        if self.transport is None or self.transport.is_closing():
            return
        # Also bounds the pipeline of a client that never waits for responses. A little is
        # read ahead all the same, to notice the half-close of a client that sends much and disconnects.
        self.bytes_ahead = self.bytes_ahead if self.pipelined else 0
        is_next_large = self.call is not None and self.upload is None and self.parser.has_large_body
        is_ahead = is_next_large or self.bytes_ahead >= READ_SIZE
        pauses = not self.is_closed and (is_ahead or (self.is_upload_paused and self.upload is not None))
        if pauses != self.is_reading_paused:
            self.is_reading_paused = pauses
            if pauses:
                self.transport.pause_reading()
                self.server.paused_clients.add(self)
            else:
                self.server.paused_clients.discard(self)
                self.transport.resume_reading()

    def serve_next(self) -> None:
        """Serve the oldest pipelined request, unless one is being served."""
        while self.pipelined and self.call is None and not (self.is_closed or self.is_writing_paused):
            accepted, self.keep_alive = self.pipelined.popleft()
            if isinstance(accepted, Response):
                self._write_response(accepted)
            else:
                self.call = accepted
                self.requests.accept(accepted)
        due = not (self.pipelined or self.is_closed or self.is_rejected or self.discards_body or self.upload)
        if due and self.parser.has_large_body and self.call is None:
            self._start_upload()
        self._update_reading()

    def _continue_serving(self) -> None:
        try:
            self.serve_next()
        except BadRequestError as error:  # from the head of a streamed request
            self.reject(error)
        self._update_request_timer()

    # --- Writing --------------------------------------------------------------------

    def send_response(self, response: Response) -> None:
        self.call = None
        if self.upload is not None:
            self._respond_early(response)
            return
        self._write_response(response)
        self._schedule_next()

    def _respond_early(self, response: Response) -> None:
        """Respond during the upload and discard its rest: a close would reset clients that still send."""
        self.upload, self.discards_body, self.keep_alive = None, True, False
        self._update_reading()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(serialize_response(response, False))
        self._update_request_timer()

    def _schedule_next(self) -> None:
        if self.pipelined or self.parser.has_large_body:
            self.loop.call_soon(self._continue_serving)

    def begin_response(self, response: Response, length: int | None, source: EndpointStream) -> None:
        """Write the head and the first part of a streamed response."""
        if self.transport is None or self.transport.is_closing():
            return
        is_chunked = length is None and not self.parser.is_http_10
        self.keep_alive &= length is not None or is_chunked
        framing = b"Transfer-Encoding: chunked\r\n" if is_chunked else b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        close = b"" if self._stays_open() else b"Connection: close\r\n"
        self.transport.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (framing, response.header_lines, close))
        stall_s = self.server.timeouts.stall_s
        self.streamed_response = StreamedResponse(self.loop, self.transport, source, is_chunked, stall_s)
        if response.body:
            self.streamed_response.send_part(response.body)
        self._update_request_timer()
        self.streamed_response.check_progress()

    def send_body_part(self, data: bytes) -> None:
        if self.streamed_response is not None:
            self.streamed_response.send_part(data)

    def end_response(self, is_complete: bool) -> None:
        """End a streamed response; if it is incomplete, the connection is reset to show that."""
        self.call = None
        if self.streamed_response is not None:
            self.streamed_response.finish(is_complete)
            self.streamed_response = None
        if self.transport is None or self.transport.is_closing():
            return
        if not is_complete:
            self.is_closed = True
            reset_connection(self.transport)
            return
        if self.is_writing_paused:  # the unwritten rest is still subject to the timeout
            self.pause_writing()
        self._response_written(self._stays_open() and self.upload is None)
        self._schedule_next()

    def pause_writing(self) -> None:
        """Bounds memory: a client that does not read is not served, and is aborted after a while."""
        self.is_writing_paused = True
        if self.streamed_response is not None:
            self.streamed_response.source.set_reading_paused(True)
        elif self.transport is not None and self.stall_timer is None:
            self.stall_timer = self.loop.call_later(
                self.server.timeouts.stall_s, self.server.abort_connection, self
            )

    def resume_writing(self) -> None:
        self.is_writing_paused = False
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.streamed_response is not None:
            self.streamed_response.source.set_reading_paused(False)
        else:
            self._schedule_next()

    def _stays_open(self) -> bool:
        """Whether the connection is kept: requests pipelined before a rejected one are still served."""
        return self.keep_alive and (bool(self.pipelined) or not (self.is_rejected or self.server.is_draining))

    def _write_response(self, response: Response) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        stays_open = self._stays_open()
        self.transport.write(serialize_response(response, stays_open))
        self._response_written(stays_open)

    def _response_written(self, stays_open: bool) -> None:
        if self.is_rejected and not stays_open:
            self._linger()
        elif not stays_open:
            self.is_closed = True
            self.server.close_connection(self)
        elif self.is_idle():
            self.server.mark_idle(self)
        self._update_request_timer()

    def reject(self, error: BadRequestError) -> None:
        """Respond with a plain 4xx or 501, and close the connection."""
        LOG.info("request rejected", extra={"status": error.status, "why": str(error)})
        self.server.driver.metrics.request_malformed(error.status)
        if self.discards_body:  # there was a response already
            self._linger()
            return
        if self.upload is not None and self.call is not None:
            call, self.call, self.upload = self.call, None, None
            self.requests.client_disconnected(call)
            if self.streamed_response is not None:  # it has begun, and can only be cut short
                self.end_response(False)
                return
        self.is_rejected = True
        if self.call is not None or self.pipelined:
            return  # requests before it are complete: the last one's response ends the connection
        self._write_last(Response(error.status, b"Content-Type: text/plain\r\n", f"{error}\n".encode()))

    def _write_last(self, response: Response) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(serialize_response(response, False))
        self._linger()

    def _linger(self) -> None:
        """Discard input for a while before the close: with unread bytes it would reset the responses."""
        self.is_closed, self.keep_alive = True, False
        self._update_request_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self._update_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.server.mark_lingering(self)
        timeouts = self.server.timeouts  # a response that is read slowly gets its time
        self.loop.call_later(
            timeouts.linger_s if self.is_flushed else timeouts.stall_s, self.server.abort_connection, self
        )

    @property
    def is_flushed(self) -> bool:
        """Whether all responses were handed to the system."""
        return self.transport is not None and not self.transport.get_write_buffer_size()

    def respond_before_exit(self) -> None:
        """The process ends: respond now to the request being served, or being received."""
        if self.call is not None:
            self.requests.respond_before_exit(self.call)
        elif self.parser.is_reading and not (self.is_closed or self.discards_body):
            self._write_last(Response(503))

    def is_idle(self) -> bool:
        return self.call is None and not self.pipelined and not self.parser.is_reading
