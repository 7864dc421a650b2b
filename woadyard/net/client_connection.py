"""A client connection: parses its requests and writes their responses."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.net.client_stall import ClientStallTimer
from woadyard.net.disconnects import DisconnectDetector, reset_connection
from woadyard.net.event_dispatcher import now_us
from woadyard.net.message import Call, Response, Upload
from woadyard.net.request_head import BadRequestError, accept_request, serialize_response
from woadyard.net.request_log import CloseReason
from woadyard.net.request_pacer import MAX_HEAD_READ_BYTES, MAX_READ_AHEAD_BYTES, RequestPacer
from woadyard.net.request_parser import RequestParser, rejection_of
from woadyard.net.request_timer import RequestTimer
from woadyard.net.response_writer import ResponseWriter
from woadyard.net.timeouts import MAX_UPLOAD_US
from woadyard.net.upload_clock import CHECK_INTERVAL_S, UploadDeadline

if TYPE_CHECKING:
    from woadyard.net.server import Server

LOG = logging.getLogger(__name__)


class ClientConnection(ResponseWriter):
    """Protocol of one client connection. Pipelined requests are served one after the other."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.parser = RequestParser(self, server.read_headers)
        self.requests = server.driver.requests
        self.detector: DisconnectDetector | None = None
        self.pipelined: list[tuple[Call | Response, bool]] = []  # with whether to keep the connection
        self.bytes_ahead = 0  # read since no request was pipelined
        self.is_rejected = False  # nothing more is read; requests before it are still served
        self.is_upload_paused = self.is_reading_paused = False  # by the endpoint, and for any reason
        self.discards_body = False  # after an early response
        self.request_timer = RequestTimer(self.loop, server.timeouts, self)
        self.pacer = RequestPacer(self.loop)
        self.upload_deadline: UploadDeadline | None = None  # of the present or the last upload
        self.last_read_s = 0.0  # on the event loop's clock
        self.read_size = 0  # of the buffer for the next read
        self.has_unread = False  # more may wait in the socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.server.memory.buffer_bytes)
        self.detector = DisconnectDetector(self.transport)
        self.stall_timer = ClientStallTimer(self.loop, self.transport, self._client_stalled)
        self.server.connection_opened(self)
        self._update_request_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_requests()
        if self.stall_timer is not None:
            self.stall_timer.close()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.server.connection_closed(self)
        self.parser.close()
        self.upload_deadline = None  # breaks its reference cycle with the connection
        self.request_timer.close()
        self.pacer.close()

    # --- Disconnects ----------------------------------------------------------------

    def eof_received(self) -> None:
        """A half-close counts as a disconnect: a sidecar cancels requests to the next tier
        that way, and it cannot be distinguished from a full close."""
        self.client_disconnected()

    def check_connected(self) -> bool:
        """Called before each attempt: whether the client is known to be connected.

        Cancels all requests if it has disconnected. Where that can't be seen for all that it has sent
        ahead, nothing is forwarded. A streamed body is expected to be ahead.
        """
        if self.detector is None or self.detector.is_disconnected():
            self.client_disconnected()
            return False
        return not self._may_have_disconnected()

    def _may_have_disconnected(self) -> bool:
        """Whether the end of the client's sending may wait behind requests that are unread.

        Of a streamed body much is unread as a rule.
        """
        is_behind = self.has_unread or self.is_reading_paused  # otherwise what comes is read at once
        if not is_behind or self.detector is None or self.upload is not None or self.parser.has_large_body:
            return False
        self.has_unread = self.detector.may_miss_disconnect()
        return self.has_unread

    def client_disconnected(self) -> None:
        """Cancel all requests now: `connection_lost` is called only once earlier responses are written."""
        is_incomplete = self.streamed_response is not None
        self._cancel_requests()
        if is_incomplete and self.transport is not None and not self.transport.is_closing():
            reset_connection(self.transport)
        else:
            self.server.close_connection(self, CloseReason.CLIENT_LEFT)

    def _cancel_requests(self) -> None:
        self.is_closed = True
        self.pacer.close()
        for accepted, _ in self.pipelined:
            if isinstance(accepted, Call):
                self.requests.release_id(accepted)  # it was not begun, and may come again
        self.pipelined.clear()
        self.server.paused_clients.discard(self)
        self._update_request_timer()
        self.streamed_response = self.upload = None
        if self.call is not None:
            call, self.call = self.call, None
            self.requests.client_disconnected(call)

    # --- Reading --------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        # A large read of heads would be many requests, parsed before any other connection has its turn.
        reads_heads = not (self.parser.in_body or self.is_closed or self.is_rejected)
        self.read_size = MAX_HEAD_READ_BYTES if reads_heads else self.server.memory.buffer_bytes
        return self.server.read_buffer[: self.read_size]

    def buffer_updated(self, size: int) -> None:
        self.has_unread |= size >= self.read_size
        if not (self.is_closed or self.is_rejected):
            self.bytes_ahead += size
            self.last_read_s = self.loop.time()
            self.receive(bytes(self.server.read_buffer[:size]))
            self.server.memory.bytes_received(size)
        elif self.pipelined:  # the requests before a rejected one
            self._continue_serving()

    def receive(self, data: bytes) -> None:
        self.server.idle_since.pop(self, None)
        try:
            self.parser.feed(data)
            self._forward_body()
            self.serve_next()
        except httptools.HttpParserCallbackError as error:
            self.serve_next()  # complete requests before the bad one are served
            self.reject(rejection_of(error))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.serve_next()
            self.reject(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.reject(error)
        self._update_request_timer()

    def _update_request_timer(self) -> None:
        is_due = bool(self.upload) or not (self.call or self.pipelined)
        awaits = is_due and not (self.is_closed or self.streamed_response or self in self.server.idle_since)
        self.request_timer.set_running(awaits)

    def request_timed_out(self) -> None:
        if self.parser.is_reading and not self.discards_body:
            self.reject(BadRequestError(408, "the request was not complete in time"))
        else:
            self.server.close_connection(self, CloseReason.REQUEST_TIMEOUT)

    def upload_stalled(self) -> None:
        if self.call is not None:
            self.requests.upload_stalled(self.call)

    @property
    def held_bytes(self) -> int:
        """The bytes of requests and responses that the connection holds."""
        held = self.parser.held_bytes + sum(accepted.held_bytes for accepted, _ in self.pipelined)
        held += self.call.held_bytes if self.call is not None else 0
        return held + (self.transport.get_write_buffer_size() if self.transport is not None else 0)

    @property
    def is_request_incomplete(self) -> bool:
        """Whether it holds the beginning of a request that is not being forwarded, and nothing else."""
        is_serving = self.call is not None or bool(self.pipelined) or self.streamed_response is not None
        is_ended = self.is_closed or self.is_rejected or self.discards_body
        return self.parser.is_reading and not (is_serving or is_ended)

    def reject_incomplete(self) -> None:
        """Respond with 503, and keep nothing of the request."""
        self.parser.discard()
        if self.parser.in_body:
            self._respond_early(self.server.reject_request())
        else:
            self.is_rejected = True
            self._write_last(self.server.reject_request())

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
            assert self.upload_deadline is not None
            expires_us = min(self.upload_deadline.expires_us(now_us()), self.server.responses_due_us)
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
        assert self.transport is not None
        self.upload_deadline = UploadDeadline(
            self.transport,
            self.parser,
            accepted.timeout_us,
            is_pending=lambda: self.call is accepted and self.upload is not None,
            on_overdue=lambda: self.requests.upload_overdue(accepted),
        )
        self.upload_deadline.start(self.loop)
        self.requests.accept(accepted)

    def set_upload_paused(self, paused: bool) -> None:
        self.is_upload_paused = paused
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while it would only fill the memory, or resume it."""
        if self.transport is None or self.transport.is_closing():
            return
        # Also bounds the pipeline of a client that never waits for responses.
        self.bytes_ahead = self.bytes_ahead if self.pipelined else 0
        is_serving = self.call is not None or bool(self.pipelined)
        is_next_large = is_serving and self.upload is None and self.parser.has_large_body
        is_ahead = is_next_large or self.bytes_ahead >= MAX_READ_AHEAD_BYTES
        pauses = not self.is_closed and (is_ahead or (self.is_upload_paused and self.upload is not None))
        if pauses != self.is_reading_paused:
            self.is_reading_paused = pauses
            if pauses:
                self.transport.pause_reading()
                self.server.paused_clients.add(self)
            else:
                self.server.paused_clients.discard(self)
                self.last_read_s = self.loop.time()  # nothing was read in the pause
                self.transport.resume_reading()

    def serve_next(self) -> None:
        """Serve the oldest pipelined request, unless one is being served."""
        self._update_reading()
        while self.pipelined and self.call is None and not self._pauses_serving():
            accepted, self.keep_alive = self.pipelined.pop(0)
            if isinstance(accepted, Response):
                self._write_response(accepted)
            elif self._may_have_disconnected():
                self.requests.release_id(accepted)
                self._write_response(self.server.reject_request())
            else:
                self.call = accepted
                self.requests.accept(accepted)
            if not self.is_closed:
                self.pacer.response_sent(is_immediate=self.call is None, on_resume=self._continue_serving)
        due = not (self.pipelined or self.is_closed or self.is_rejected or self.discards_body or self.upload)
        if due and self.parser.has_large_body and self.call is None:
            self._start_upload()
        self._update_reading()

    def _pauses_serving(self) -> bool:
        if self.is_closed or self.is_writing_paused or self.pacer.is_paused:
            return True
        if not self.is_reading_paused:  # what is read next may tell whether the client has disconnected
            return self._may_have_disconnected()
        # Before a streamed body, of which little is read, a reset may tell.
        if self.detector is None or not (self.parser.has_large_body and self.detector.awaits_reset()):
            return False
        self.loop.call_later(CHECK_INTERVAL_S, self._continue_serving)
        return True

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
            self.server.close_connection(self, CloseReason.LAST_RESPONSE)
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

    def abort(self) -> None:
        """Close the connection at once, discarding what is unwritten."""
        self.server.abort_connection(self, CloseReason.STALLED)

    def _mark_lingering(self) -> None:
        self.server.mark_lingering(self)

    def respond_before_exit(self, counted_from_us: int) -> None:
        """The process ends: respond now to the request being served, or being received."""
        if self.call is not None:
            self.requests.respond_before_exit(self.call, counted_from_us)
        elif self.parser.is_reading and not (self.is_closed or self.discards_body):
            self._write_last(Response(503))

    def is_idle(self) -> bool:
        return self.call is None and not self.pipelined and not self.parser.is_reading
