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
from typing import Any

from woadyard.membership import ListHandler
from woadyard.net.backoff import Backoff
from woadyard.net.held import REFUSE, TAKE, Held, Named, Told
from woadyard.net.stream import CallEnd, Stream

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
# Where discovery is asked, a process that starts has no lease before the first list: it is not ready before,
# but no later than this, as it has to be ready within 6 s.
FIRST_ANSWER_S = 3.5
# Past the kernel's first repeat of a lost SYN, 1 s on, and no longer: its next one comes
# 3 s on, and two connections that hang and the waits between have to fit in those 4 s.
CONNECT_S = 1.25
LOG = logging.getLogger(__name__)
LOST = "discovery lost, the last list kept"


class Discovery:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        path: str,
        pushed: bool,
        listen: ListHandler,
        rng: random.Random,
    ) -> None:
        self.loop, self.path = loop, path
        self.listen, self.rng = listen, rng
        self._pace(pushed)
        self.told = asyncio.Event()  # a list, since the start
        self.settled = asyncio.Event()  # that, or that nobody listens at its address
        self.on_failed: Callable[[], None] = lambda: None
        self.on_anew: Callable[[], None] = lambda: None  # generations count anew from the next list
        # What renews and ends the membership lease (woadyard/policy/lease.py).
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_silent: Callable[[], None] = lambda: None
        self.on_moved: Callable[[], None] = lambda: None
        self.on_unreachable: Callable[[float], None] = lambda since_s: None  # nobody listened then
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
        self.on_moved()
        self.backoff.reset()
        if self.stream is not None:
            self.watch(True)

    async def first(self) -> None:
        """Until the first list has come, or it was waited for long enough."""
        event, most_s = (self.told, FIRST_LIST_S) if self.pushed else (self.settled, FIRST_ANSWER_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), most_s)

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
        except TimeoutError:
            stream.fail(CallEnd.CONNECT_TIMEOUT)
        except ConnectionRefusedError:
            if len(self.replicas) == 1:  # another replica may be there
                self.on_unreachable(stream.begun)
                self.settled.set()
            stream.fail(CallEnd.REFUSED)
        except ConnectionResetError:
            stream.fail(CallEnd.RESET)
        except OSError:
            stream.fail(CallEnd.SYSTEM)

    def _check(self, stream: Stream) -> None:
        """Guards against a watch, or a call, that died without a word."""
        if stream.done:
            return
        left = stream.heard + self.silent_s - self.loop.time()
        if left > 0.0:
            self.loop.call_later(left, self._check, stream)
        else:
            stream.fail(CallEnd.SILENT)

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
        self.settled.set()
        if not told.following:
            return False
        if verdict == TAKE:
            self.confirm()
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

    def confirm(self) -> None:
        """The list held is the one in force by now."""
        self.on_confirmed()

    def lost(self, stream: Stream) -> None:
        if self.closed or self.watching:  # beside a watch, a call that failed says nothing
            return
        self._log_end(stream)
        if stream.current and stream.end is CallEnd.SILENT:
            self.on_silent()
        # What was heard of another log, or of nobody, is no sign of the one held.
        if stream is self.stream and stream.lists.said and not stream.other:
            self.held.heard = max(self.held.heard, stream.heard)
        if not self.out:  # once an outage, not once a try
            self.out = True
            fields = {"at": self.address, "version": self.generation, "reason": stream.end}
            LOG.warning(LOST, extra=fields)
        self.turn = (self.turn + 1) % len(self.replicas)
        if not self.pushed and not self.moving:
            self.on_failed()  # the module says when to ask again
        elif stream is self.stream:
            # Full jitter: a fleet that lost its watches together comes back spread
            # over the whole backoff, not in step at its middle.
            self.loop.call_later(self.backoff.next_s(), self._again, stream)

    def _log_end(self, stream: Stream) -> None:
        age_ms = round((self.loop.time() - stream.begun) * 1000)
        fields = {
            "reason": stream.end,
            "status": stream.status,
            "age_ms": age_ms,
            "told": stream.lists.said > 0,
        }
        LOG.debug("discovery call ended", extra={**fields, "at": self.address, "version": self.generation})

    def _again(self, stream: Stream) -> None:
        if stream is self.stream:
            self.watch(True)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
