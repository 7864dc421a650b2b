"""One connection of a caller: reads its requests, writes their final answers."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.net.asked import BadRequestError, final, read_call, request_id
from woadyard.net.incoming import Incoming
from woadyard.net.message import READ_SIZE, Answer, Call, Carrier, Upload
from woadyard.net.passing import Passing
from woadyard.net.turns import now_us
from woadyard.net.waits import LOAD_LEAST, LOADING_US, STUCK_LOOKS

if TYPE_CHECKING:
    from woadyard.net.server import Server

READY_PATH = b"/health/ready"
LOG = logging.getLogger(__name__)


class Caller(asyncio.BufferedProtocol):
    """One connection of a caller; one request is served at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.driver.loop
        self.requests = server.driver.requests
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.upload: Upload | None = None  # the body of `call`, while it comes
        self.passing: Passing | None = None  # an answer that is passed on
        self.waiting: deque[tuple[Call | Answer, bool]] = deque()  # sent ahead of an answer
        self.keep = True
        self.over = False  # nothing more is read
        self.incoming = Incoming(self)
        self.held = self.paused = False  # the endpoint takes no more; nothing is read
        self.clogged = False  # it reads no answers
        self.jam: asyncio.TimerHandle | None = None  # runs meanwhile
        self.shedding = False  # answered already: the rest of the body is dropped
        self.patience: asyncio.TimerHandle | None = None  # runs while a request is owed
        self.owed_since = 0.0  # by the loop's clock, where `patience` runs for a request
        self.stuck = 0  # looks in a row at a body that its endpoint doesn't take
        self.moved = 0  # bytes by the last look at their progress

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=READ_SIZE)
        self.server.joined(self)
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.waiting.clear()
        self._wait()
        if self.jam is not None:
            self.jam.cancel()
        if self.passing is not None:
            self.passing.end()
        self.passing = self.upload = None
        if self.call is not None:
            self.requests.gone(self.call)
            self.call = None
        self.server.left(self)
        self.incoming.close()

    # --- Reading --------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        if not self.over:
            self.read(bytes(self.server.buffer[:size]))

    def read(self, data: bytes) -> None:
        self.server.resting.pop(self, None)
        try:
            self.incoming.feed(data)
            self.next()
        except httptools.HttpParserCallbackError as error:
            self.next()  # whole requests before the bad one are taken
            cause = error.__context__
            self.refuse(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed"))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.next()
            self.refuse(BadRequestError(400, "malformed"))
        except BadRequestError as error:
            self.refuse(error)
        self._wait()

    def _wait(self) -> None:
        """Keep the time while the caller owes a request. Further bytes of a head
        don't prolong that: one that drips would never end."""
        owed = not (self.over or self.passing or self in self.server.resting) and bool(
            self.upload or not (self.call or self.waiting)
        )
        if owed and self.patience is None:
            self.moved, self.owed_since = 0, self.loop.time()
            self.patience = self.loop.call_later(self.server.waits.request_s, self._out_of_patience)
        elif not owed and self.patience is not None:
            self.patience.cancel()
            self.patience = None

    def _out_of_patience(self) -> None:
        self.patience = None
        moved = self.incoming.size - self.moved
        if self.incoming.in_body and (self.paused or moved >= LOAD_LEAST):
            # Held up by the endpoint: that it takes nothing more is its own failure.
            self.stuck = self.stuck + 1 if self.paused and not moved else 0
            self.moved = self.incoming.size
            self.patience = self.loop.call_later(self.server.waits.load_s, self._out_of_patience)
            if self.stuck >= STUCK_LOOKS and self.call is not None:
                self.requests.stuck(self.call)
        elif self.incoming.reading and not self.shedding:
            self.refuse(BadRequestError(408, "the request did not come whole in time"))
        else:
            self.server.close(self)

    def expected(self) -> None:
        # Not into an answer that is still on its way: who expects a word waits a moment only.
        if self.call is None and not self.waiting and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def load(self, data: bytes) -> bool:
        if self.upload is not None:
            self.upload.feed(data)
            return True
        return self.shedding

    def whole(self) -> None:
        if self.shedding:
            self.server.close(self)
        elif self.upload is not None:
            self._loaded(self.upload)
        else:
            asked = self._asked()
            # A health check comes on a connection of its own; kept, they add up.
            keep = self.incoming.keeps and not self._checks_health()
            self.waiting.append((asked, keep))
            self.incoming.rest()

    def _loaded(self, upload: Upload) -> None:
        self.upload = None
        self.incoming.rest()
        self.keep = self.incoming.keeps
        upload.end()
        if self.call is not None:
            expires = min(now_us() + self.call.wait_us, self.server.answered_by)
            self.requests.whole(self.call, expires)

    def _load(self) -> None:
        """A body too large to hold: it is passed on as it comes."""
        asked = self._asked()
        if isinstance(asked, Answer):
            if self._checks_health():
                raise BadRequestError(413, "no body is wanted here")
            self._write_last(asked)
            return
        self.upload = asked.upload = Upload(self.incoming.length, self.incoming.take_body(), self.hold)
        asked.body = b""
        asked.expires += LOADING_US
        self.keep, self.call = True, asked
        self.hold(True)  # until an endpoint takes it
        self.requests.take(asked)

    def hold(self, on: bool) -> None:
        self.held = on
        self._pace()

    def _pace(self) -> None:
        """Read, unless that would only fill the memory."""
        if self.transport is None or self.transport.is_closing():
            return
        # Guards against a caller that never waits for its answers, too.
        ahead = bool(self.waiting) or (self.call is not None and self.upload is None and self.incoming.large)
        pause = not self.over and (ahead or (self.held and self.upload is not None))
        if pause != self.paused:
            self.paused = pause
            if pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _asked(self) -> Call | Answer:
        server = self.server
        if self._checks_health():
            return Answer(200 if server.serving else 503)
        read = self.incoming
        call = read_call(server.driver, read.method, read.target, read.headers, self, server.answered_by)
        server.claim(request_id(read.headers), call.expires)
        call.body = b"".join(read.body)
        return call if not server.shut_out else server.turn_away()

    def _checks_health(self) -> bool:
        return self.incoming.target.partition(b"?")[0] == READY_PATH

    def next(self) -> None:
        """Serve the oldest request read; a caller is heard once it is answered."""
        while self.waiting and self.call is None and not (self.over or self.clogged):
            asked, self.keep = self.waiting.popleft()
            if isinstance(asked, Answer):
                self._write(asked)
            else:
                self.call = asked
                self.requests.take(asked)
        if self.incoming.large and self.call is None and not (self.over or self.shedding or self.upload):
            self._load()
        self._pace()

    def _next_soon(self) -> None:
        try:
            self.next()
        except BadRequestError as error:  # the head of a large body
            self.refuse(error)
        self._wait()

    # --- Writing --------------------------------------------------------------------

    def answer(self, answer: Answer) -> None:
        self.call = None
        if self.upload is not None:
            self._shed(answer)
            return
        self._write(answer)
        self._served()

    def _shed(self, answer: Answer) -> None:
        """An answer while the body is still coming. That is read and dropped, by its
        progress: a caller may look for the answer only once all is written, and
        would find the connection reset under it."""
        self.upload, self.shedding, self.keep = None, True, False
        self._pace()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(final(answer, False))
        self._wait()

    def _served(self) -> None:
        if self.waiting or self.incoming.large:
            self.loop.call_soon(self._next_soon)

    def begin(self, answer: Answer, length: int | None, source: Carrier) -> None:
        """The first of an answer that is passed on as it comes."""
        if self.transport is None or self.transport.is_closing():
            return
        chunked = length is None and not self.incoming.old
        self.keep &= length is not None or chunked
        framed = b"Transfer-Encoding: chunked\r\n" if chunked else b""
        if length is not None:
            framed = b"Content-Length: %d\r\n" % length
        close = b"" if self._kept() else b"Connection: close\r\n"
        self.transport.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (framed, answer.head, close))
        relay_s = self.server.waits.relay_s
        self.passing = Passing(self.loop, self.transport, source, chunked, relay_s)
        if answer.body:
            self.passing.part(answer.body)
        self._wait()
        self.passing.look()

    def part(self, data: bytes) -> None:
        if self.passing is not None:
            self.passing.part(data)

    def end(self, whole: bool) -> None:
        """The answer is whole, or it broke off, which the caller is to see."""
        self.call = None
        if self.passing is not None:
            self.passing.end(whole)
            self.passing = None
        if self.transport is None or self.transport.is_closing():
            return
        if not whole:
            self.over = True
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.transport.abort()
            return
        if self.clogged:  # what is left of it is still timed
            self.pause_writing()
        self._after(self._kept() and self.upload is None)
        self._served()

    def pause_writing(self) -> None:
        """Guards memory against a caller that never reads: nothing more is served to
        it meanwhile, and after a while it is cut off."""
        self.clogged = True
        if self.passing is not None:
            self.passing.source.pace(True)
        elif self.transport is not None and self.jam is None:
            self.jam = self.loop.call_later(self.server.waits.relay_s, self.transport.abort)

    def resume_writing(self) -> None:
        self.clogged = False
        if self.jam is not None:
            self.jam.cancel()
            self.jam = None
        if self.passing is not None:
            self.passing.source.pace(False)
        else:
            self._served()

    def _kept(self) -> bool:
        """Whether there is more to come: requests sent ahead have been taken, and are served."""
        return self.keep and (bool(self.waiting) or not self.server.closing)

    def _write(self, answer: Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        keep = self._kept()
        self.transport.write(final(answer, keep))
        self._after(keep)

    def _after(self, keep: bool) -> None:
        """An answer was written."""
        if not keep:
            self.over = True
            self.server.close(self)
        elif self.idle():
            self.server.rest(self)
        self._wait()

    def refuse(self, error: BadRequestError) -> None:
        """A plain 4xx, then the end."""
        LOG.info("request refused", extra={"status": error.status, "why": str(error)})
        self.server.driver.metrics.malformed(error.status)
        if self.shedding:  # answered already
            self.server.close(self)
            return
        if self.upload is not None and self.call is not None:
            call, self.call, self.upload = self.call, None, None
            self.requests.gone(call)
            if self.passing is not None:  # its answer has begun: it can only break off
                self.end(False)
                return
        if self.call is not None or self.transport is None:
            # The request before it is still served; its answer ends the connection.
            self.over, self.keep = False, False
            self.waiting.clear()
            return
        self._write_last(Answer(error.status, b"Content-Type: text/plain\r\n", f"{error}\n".encode()))

    def _write_last(self, answer: Answer) -> None:
        """An answer, and the end. What is still coming is read and dropped for a
        moment: closing on unread bytes would reset the answer away."""
        self.over, self.keep = True, False
        self._wait()
        if self.transport is None or self.transport.is_closing():
            return
        self._pace()
        self.transport.write(final(answer, False))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(self.server.waits.linger_s, self.transport.abort)

    def idle(self) -> bool:
        return self.call is None and not self.waiting and not self.incoming.reading
