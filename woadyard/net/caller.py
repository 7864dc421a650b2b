"""One connection of a caller: reads its requests, writes their final answers."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from woadyard.net.asked import BadRequestError, ask, final
from woadyard.net.event_dispatcher import now_us
from woadyard.net.incoming import Incoming
from woadyard.net.message import READ_SIZE, Answer, Call, Carrier, Upload
from woadyard.net.passing import Passing
from woadyard.net.presence import Presence, reset
from woadyard.net.waits import LOAD_LEAST, LOADING_US, STUCK_LOOKS

if TYPE_CHECKING:
    from woadyard.net.server import Server

LOG = logging.getLogger(__name__)


class Caller(asyncio.BufferedProtocol):
    """One connection of a caller; one request is served at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.loop = server, server.driver.loop
        self.requests = server.driver.requests
        self.transport: asyncio.Transport | None = None
        self.presence: Presence | None = None
        self.call: Call | None = None
        self.upload: Upload | None = None  # the body of `call`, while it comes
        self.passing: Passing | None = None  # an answer that is passed on
        self.waiting: deque[tuple[Call | Answer, bool]] = deque()  # sent ahead of an answer
        self.ahead = 0  # bytes read since none were waiting
        self.keep = True
        self.refused = False  # nothing more is read; what was taken before is answered
        self.over = False  # nothing more is read, or written
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
        self.presence = Presence(self.transport)
        self.server.joined(self)
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self._call_off()
        if self.jam is not None:
            self.jam.cancel()
        self.server.left(self)
        self.incoming.close()

    # --- The client's end -----------------------------------------------------------

    def eof_received(self) -> None:
        """A client that ends its sending has gone, whether or not it still reads: so a
        sidecar gives up what it asked of the next tier, and a close looks no different."""
        self.leave()

    def there(self) -> bool:
        """Asked before each attempt; where the client has left all of its requests end."""
        if self.presence is not None and not self.presence.has_left():
            return True
        self.leave()
        return False

    def leave(self) -> None:
        """What was asked ends now: until all is written that was answered before,
        `connection_lost` does not come."""
        broken = self.passing is not None
        self._call_off()
        if broken and self.transport is not None and not self.transport.is_closing():
            reset(self.transport)
        else:
            self.server.close(self)

    def _call_off(self) -> None:
        """Nothing more is taken, and what was taken is called off."""
        self.over = True
        self.waiting.clear()
        self.server.unread.discard(self)
        self._wait()
        if self.passing is not None:
            self.passing.end()
        self.passing = self.upload = None
        if self.call is not None:
            call, self.call = self.call, None
            self.requests.gone(call)

    # --- Reading --------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        if not (self.over or self.refused):
            self.ahead += size
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
        coming = bool(self.upload) or not (self.call or self.waiting)
        owed = coming and not (self.over or self.passing or self in self.server.resting)
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
            self._linger()
        elif self.upload is not None:
            self._loaded(self.upload)
        else:
            asked = ask(self.server, self.incoming, self)
            # A health check comes on a connection of its own; kept, they add up.
            keep = self.incoming.keeps and not self.incoming.checks_health
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
        asked = ask(self.server, self.incoming, self)
        if isinstance(asked, Answer):
            if self.incoming.checks_health:
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
        # Guards against a caller that never waits for its answers, too. A little is read
        # ahead all the same: so the end of one that sends much and goes is found.
        self.ahead = self.ahead if self.waiting else 0
        large = self.call is not None and self.upload is None and self.incoming.large
        ahead = large or self.ahead >= READ_SIZE
        pause = not self.over and (ahead or (self.held and self.upload is not None))
        if pause != self.paused:
            self.paused = pause
            if pause:
                self.transport.pause_reading()
                self.server.unread.add(self)
            else:
                self.server.unread.discard(self)
                self.transport.resume_reading()

    def next(self) -> None:
        """Serve the oldest request read; a caller is heard once it is answered."""
        while self.waiting and self.call is None and not (self.over or self.clogged):
            asked, self.keep = self.waiting.popleft()
            if isinstance(asked, Answer):
                self._write(asked)
            else:
                self.call = asked
                self.requests.take(asked)
        due = not (self.waiting or self.over or self.refused or self.shedding or self.upload)
        if due and self.incoming.large and self.call is None:
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
        """An answer while the body is still coming. That is read and dropped, by its progress:
        a caller that looks for the answer once all is written would find a reset."""
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
            reset(self.transport)
            return
        if self.clogged:  # what is left of it is still timed
            self.pause_writing()
        self._after(self._kept() and self.upload is None)
        self._served()

    def pause_writing(self) -> None:
        """Guards memory against who never reads: served no more, and cut off after a while."""
        self.clogged = True
        if self.passing is not None:
            self.passing.source.pace(True)
        elif self.transport is not None and self.jam is None:
            self.jam = self.loop.call_later(self.server.waits.relay_s, self.server.cut, self)

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
        return self.keep and (bool(self.waiting) or not (self.refused or self.server.closing))

    def _write(self, answer: Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        keep = self._kept()
        self.transport.write(final(answer, keep))
        self._after(keep)

    def _after(self, keep: bool) -> None:
        """An answer was written."""
        if self.refused and not keep:
            self._linger()
        elif not keep:
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
            self._linger()
            return
        if self.upload is not None and self.call is not None:
            call, self.call, self.upload = self.call, None, None
            self.requests.gone(call)
            if self.passing is not None:  # its answer has begun: it can only break off
                self.end(False)
                return
        self.refused = True
        if self.call is not None or self.waiting:
            return  # requests before it were taken whole: the last one's answer ends the connection
        self._write_last(Answer(error.status, b"Content-Type: text/plain\r\n", f"{error}\n".encode()))

    def _write_last(self, answer: Answer) -> None:
        """An answer, and the end."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(final(answer, False))
        self._linger()

    def _linger(self) -> None:
        """All is answered. What is still coming is read and dropped for a moment:
        closing on unread bytes would reset the answers away."""
        self.over, self.keep = True, False
        self._wait()
        if self.transport is None or self.transport.is_closing():
            return
        self._pace()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.server.linger(self)
        waits = self.server.waits  # an answer that is read slowly has its time
        self.loop.call_later(waits.linger_s if self.written else waits.relay_s, self.server.cut, self)

    @property
    def written(self) -> bool:
        """Whether the system has all that was answered."""
        return self.transport is not None and not self.transport.get_write_buffer_size()

    def give_up(self) -> None:
        """The process ends: what is owed an answer, or not even whole, gets one now."""
        if self.call is not None:
            self.requests.give_up(self.call)
        elif self.incoming.reading and not (self.over or self.shedding):
            self._write_last(Answer(503))

    def idle(self) -> bool:
        return self.call is None and not self.waiting and not self.incoming.reading
