"""Discovery: keeps the watch open, or asks when told to, and hands lists on.

It may have several replicas: a watch that ends, or a replica that says it is
out of touch with its writer, or of an older term, turns it to the next one, from the
version held. Through any outage the last list stays.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from typing import Any, cast

import httptools
import msgspec

from woadyard.errors import PeerError
from woadyard.membership import Listen
from woadyard.net.backoff import Backoff
from woadyard.net.held import REFUSE, TAKE, Held, Named, Told
from woadyard.net.lines import Objects

# While nothing changes an empty line comes every 2 s: soon after a missed one the
# watch is taken for dead, as a network that is cut off says nothing. What changes
# meanwhile counts as told after 6 s, and the next call may be lost as well.
SILENT_S = 2.5
# Waits before a watch is begun anew: the first spreads those that lost theirs together.
# A new address binds 4 s after it was named.
RETRY_S, RETRY_MOST_S = 0.3, 1.2
# Where lists are pushed, what discovery has counts as told at once, watch or no watch: after
# an outage the list has to be here within the grace of a drain, 250 ms.
PUSHED_RETRY_S, PUSHED_RETRY_MOST_S = 0.1, 0.2
# For as long a new process waits for it before it serves by the list that it started with.
FIRST_LIST_S = 0.5
# Past the kernel's first repeat of a lost SYN, 1 s on, and no longer: its next one comes
# 3 s on, and two connections that hang and the waits between have to fit in those 4 s.
CONNECT_S = 1.25
LOG = logging.getLogger(__name__)
LOST = "discovery lost, the last list kept"


LISTS: msgspec.json.Decoder[Told] = msgspec.json.Decoder(Told)


class Stream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list."""

    def __init__(self, owner: Discovery, target: str, watch: bool) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.parser = httptools.HttpResponseParser(self)
        self.lists = Objects(LISTS)
        self.transport: asyncio.Transport | None = None
        self.status = 0  # of the answer, once its head has come
        self.ended = False  # the answer has
        self.other = False  # it told a list of another log than the one held
        self.done = False  # whole, or given up: its end says nothing
        self.heard = owner.loop.time()  # of it: a whole head or line, or the beginning of one

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
        said = self.lists.said
        try:
            if data:
                self.parser.feed_data(data)
            else:
                self.lists.feed(b"\n")
            self._read()
            # Guards against bytes that trickle in and never make a list.
            if self.lists.said > said:
                self.heard = self.owner.loop.time()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._bad(PeerError(f"no HTTP answer: {error}"))
        except PeerError as error:
            self._bad(error)

    def _bad(self, error: PeerError) -> None:
        LOG.warning("bad line from discovery", extra={**error.fields(), "at": self.owner.address})
        self.fail()

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
                    self.fail()
                elif not self.watch:
                    self.stop()
                if self.done:
                    return
        if self.ended or self.status not in (0, 200):
            self.fail()

    def stop(self) -> None:
        self.done = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self) -> None:
        if not self.done:
            self.stop()
            self.owner.lost(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.status == 200 and not self.done:
            self.data_received(b"")  # an answer without length ends so
        self.fail()


class Discovery:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        path: str,
        pushed: bool,
        listen: Listen,
        rng: random.Random,
    ) -> None:
        self.loop, self.path = loop, path
        self.listen, self.rng = listen, rng
        self._pace(pushed)
        self.told = asyncio.Event()  # a list, since the start
        self.on_failed: Callable[[], None] = lambda: None
        self.on_anew: Callable[[], None] = lambda: None  # generations count anew from the next list
        self.held = Held()
        self.telling = ("", 0)  # lineage and term of the list that is being told, or was last
        self.stream: Stream | None = None  # the watch
        self.silent_s = SILENT_S
        self.tasks: set[asyncio.Task[None]] = set()
        self.moving = False  # to an address that has told nothing yet
        self.out = False  # discovery lost, and said so
        self.closed = False
        self._settle(address)

    def _pace(self, pushed: bool) -> None:
        self.pushed = pushed
        waits = (PUSHED_RETRY_S, PUSHED_RETRY_MOST_S) if pushed else (RETRY_S, RETRY_MOST_S)
        self.backoff = Backoff(self.rng, *waits)

    def _settle(self, address: str) -> None:
        """One of the replicas, so that a fleet is spread over them."""
        self.named, self.replicas = address, [part.strip() for part in address.split(",")]
        self.turn = self.rng.randrange(len(self.replicas)) if len(self.replicas) > 1 else 0

    @property
    def address(self) -> str:
        """Of the replica in use."""
        return self.replicas[self.turn]

    @property
    def watching(self) -> bool:
        """A watch is open, or on its way."""
        return self.stream is not None and not self.stream.done

    @property
    def generation(self) -> int:
        """Of the list held."""
        return self.held.name.generation

    @generation.setter
    def generation(self, known: int) -> None:
        self.held.name = Named(generation=known)

    def retune(self, pushed: bool) -> None:
        """Whether lists are pushed from now on."""
        if pushed != self.pushed:
            self._pace(pushed)
            if pushed and not self.watching:
                self.watch(True)  # the module, which was to ask again, does so no more

    def move(self, address: str) -> None:
        """Discovery has other addresses. A watch that was asked for goes on
        there, and is asked for again until a first list has come."""
        if address == self.named:
            return
        before = set(self.replicas)
        self._settle(address)
        # With a replica in common it is the same service: its versions go on.
        self.moving, self.held.trusting = True, not before & set(self.replicas)
        self.backoff.reset()
        if self.stream is not None:
            self.watch(True)

    async def first(self) -> None:
        """Where lists are pushed: until the first has come, or `FIRST_LIST_S` are over."""
        if self.pushed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.told.wait(), FIRST_LIST_S)

    def watch(self, on: bool) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.closed:
            self.stream = self._ask(self.held.target(self.path), watch=True)

    def again(self) -> None:
        """Begin the watch anew at another replica: this one tells nothing, or too late."""
        if self.stream is not None:
            self.turn = (self.turn + 1) % len(self.replicas)
            self.watch(True)

    def fetch(self) -> None:
        self._ask(self.path, watch=False)

    def _ask(self, target: str, watch: bool) -> Stream:
        stream = Stream(self, target, watch)
        task = self.loop.create_task(self._connect(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.loop.call_later(self.silent_s, self._check, stream)
        return stream

    async def _connect(self, stream: Stream) -> None:
        if stream.done:
            return
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except (OSError, TimeoutError):
            stream.fail()

    def _check(self, stream: Stream) -> None:
        """Guards against a watch, or a call, that died without a word."""
        if stream.done:
            return
        left = stream.heard + self.silent_s - self.loop.time()
        if left > 0.0:
            self.loop.call_later(left, self._check, stream)
        else:
            stream.fail()

    def take(self, told: Told) -> bool:
        """One list; PeerError where an entry is none, before any of it is used. False
        where the replica may be behind: another one is to be asked."""
        # Guards against a replica that lags, or follows a writer that was replaced: once an
        # address has told a list, nothing older of it is taken. A first list may be older,
        # as a new service counts anew.
        name = told.name
        verdict = self.held.judge(name, told.reset, self.loop.time())
        if verdict == REFUSE:
            fields = {"at": self.address, "term": name.term, "held": self.held.name.term}
            LOG.warning("a list of an older term or another log is not taken", extra=fields)
            return False
        if verdict == TAKE:
            self._take(name, told.reset, told.instances)
        self.moving, self.held.trusting = False, False
        self.told.set()
        if not told.following:
            return False
        self.backoff.reset()
        if self.out:
            self.out = False
            LOG.info("discovery reached again", extra={"at": self.address, "version": self.generation})
        return True

    def _take(self, name: Named, whole: bool, entries: list[dict[str, Any]]) -> None:
        if self.held.anew(name):
            self.on_anew()
        self.telling = name.lineage, name.term
        self.listen(name.generation, whole, entries)
        self.held.take(name, self.loop.time())

    def lost(self, stream: Stream) -> None:
        if self.closed or self.watching:  # beside a watch, a call that failed says nothing
            return
        # What was heard of another log, or of nobody, is no sign of the one held.
        if stream is self.stream and stream.lists.said and not stream.other:
            self.held.heard = max(self.held.heard, stream.heard)
        if not self.out:  # once an outage, not once a try
            self.out = True
            fields = {"at": self.address, "version": self.generation}
            LOG.warning(LOST, extra=fields)
        self.turn = (self.turn + 1) % len(self.replicas)
        if not self.pushed and not self.moving:
            self.on_failed()  # the module says when to ask again
        elif stream is self.stream:
            # Full jitter: a fleet that lost its watches together comes back spread
            # over the whole backoff, not in step at its middle.
            self.loop.call_later(self.backoff.next_s(), self._again, stream)

    def _again(self, stream: Stream) -> None:
        if stream is self.stream:
            self.watch(True)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
