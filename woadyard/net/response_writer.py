"""The writing half of a client connection: whole responses, streamed ones, and the end of the connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from woadyard.net.client_stall import ClientStallTimer
from woadyard.net.disconnects import reset_connection
from woadyard.net.message import Call, EndpointStream, Response, Upload
from woadyard.net.request_log import CloseReason, log_connection_closed
from woadyard.net.request_parser import RequestParser
from woadyard.net.streamed_response import StreamedResponse

if TYPE_CHECKING:
    from woadyard.net.server import Server


class ResponseWriter(asyncio.BufferedProtocol):
    """Writes the responses of one client connection; `ClientConnection` adds the reading half."""

    parser: RequestParser

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.driver.loop
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None  # being served
        self.upload: Upload | None = None  # the body of `call`, until it is complete
        self.streamed_response: StreamedResponse | None = None
        self.keep_alive = True
        self.is_closed = False  # nothing more is read or written
        self.is_writing_paused = False  # the client does not read its responses
        self.stall_timer: ClientStallTimer | None = None  # runs while responses wait to be written
        self.linger_timer: asyncio.TimerHandle | None = None

    # --- The reading half -----------------------------------------------------------

    def _update_request_timer(self) -> None:
        raise NotImplementedError

    def _update_reading(self) -> None:
        raise NotImplementedError

    def _schedule_next(self) -> None:
        raise NotImplementedError

    def _stays_open(self) -> bool:
        raise NotImplementedError

    def _response_written(self, stays_open: bool) -> None:
        raise NotImplementedError

    def _mark_lingering(self) -> None:
        raise NotImplementedError

    def abort(self) -> None:
        """Close the connection at once, discarding what is unwritten."""
        raise NotImplementedError

    # --- Writing --------------------------------------------------------------------

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
        self.streamed_response = StreamedResponse(self.transport, source, is_chunked)
        if response.body:
            self.streamed_response.send_part(response.body)
        self._update_request_timer()

    def send_body_part(self, data: bytes) -> None:
        if self.streamed_response is not None:
            self.streamed_response.send_part(data)

    def end_response(self, is_complete: bool) -> None:
        """End a streamed response; if it is incomplete, the connection is reset to show that."""
        call, self.call = self.call, None
        if self.streamed_response is not None:
            if is_complete:
                self.streamed_response.finish()
            self.streamed_response = None
        if self.transport is None or self.transport.is_closing():
            return
        if not is_complete:
            self.is_closed = True
            log_connection_closed(call, CloseReason.CUT_SHORT)
            reset_connection(self.transport)
            return
        self._response_written(self._stays_open() and self.upload is None)
        self._schedule_next()

    def pause_writing(self) -> None:
        """Bounds memory: a client that does not read is not served, and is aborted after a while."""
        self.is_writing_paused = True
        self.watch_client()
        if self.streamed_response is not None:
            self.streamed_response.source.set_reading_paused(True)

    def watch_client(self) -> None:
        """End the connection if the client takes nothing of what is still unwritten."""
        if self.stall_timer is not None:
            self.stall_timer.start(self.server.timeouts.stall_s)

    def _client_stalled(self) -> None:
        if self.streamed_response is None or self.transport is None:
            self.abort()
            return
        log_connection_closed(self.call, CloseReason.STALLED)
        reset_connection(self.transport)  # a plain close may look like the end of the response

    def resume_writing(self) -> None:
        self.is_writing_paused = False
        if self.streamed_response is not None:
            self.streamed_response.source.set_reading_paused(False)
        else:
            self._schedule_next()

    def _linger(self) -> None:
        """Discard input for a while before the close: with unread bytes it would reset the responses."""
        self.is_closed, self.keep_alive = True, False
        self._update_request_timer()
        if self.transport is None or self.transport.is_closing():
            return
        self._update_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._mark_lingering()
        self.watch_client()
        self.linger_timer = self.loop.call_later(self.server.timeouts.linger_s, self._end_linger)

    def _end_linger(self) -> None:
        """Abort the connection once all is written: a response that is read slowly gets its time."""
        if self.is_flushed:
            self.abort()
        else:
            self.linger_timer = self.loop.call_later(self.server.timeouts.linger_s, self._end_linger)

    @property
    def is_flushed(self) -> bool:
        """Whether all responses were handed to the system."""
        return self.transport is not None and not self.transport.get_write_buffer_size()
