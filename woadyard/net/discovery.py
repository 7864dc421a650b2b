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
from woadyard.net.list_stream import Stream, StreamFailure
from woadyard.net.list_version import REFUSE, TAKE, CurrentVersion, ListMessage, ListVersion

# While nothing changes an empty line comes every 2 s: soon after a missed one the
# watch is taken for dead, as a network that is cut off says nothing. What changes
# meanwhile counts as told after 6 s, and the next call may be lost as well.
SILENCE_TIMEOUT_S = 2.5
# Waits before a watch is begun anew: the first spreads those that lost theirs together.
# A new address binds 4 s after it was named.
RETRY_INITIAL_S, RETRY_MAX_S = 0.3, 1.2
# Where lists are pushed, what discovery has counts as told at once, watch or no watch: after
# an outage the list has to be here within the grace of a drain, 250 ms.
PUSH_RETRY_INITIAL_S, PUSH_RETRY_MAX_S = 0.1, 0.2
# For as long a new process waits for it before it serves by the list that it started with.
PUSH_FIRST_LIST_TIMEOUT_S = 0.5
# Where discovery is asked, a process that starts has no lease before the first list: it is not ready before,
# but no later than this, as it has to be ready within 6 s.
POLL_FIRST_LIST_TIMEOUT_S = 3.5
# Past the kernel's first repeat of a lost SYN, 1 s on, and no longer: its next one comes
# 3 s on, and two connections that hang and the waits between have to fit in those 4 s.
CONNECT_TIMEOUT_S = 1.25
LOG = logging.getLogger(__name__)
LOST_MESSAGE = "discovery lost, the last list kept"


class Discovery:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: str,
        path: str,
        uses_push: bool,
        on_list: ListHandler,
        rng: random.Random,
    ) -> None:
        self.loop, self.path = loop, path
        self.on_list, self.rng = on_list, rng
        self._apply_push_mode(uses_push)
        self.list_received = asyncio.Event()  # a list, since the start
        self.first_result = asyncio.Event()  # that, or that nobody listens at its address
        self.on_failed: Callable[[], None] = lambda: None
        self.on_generation_reset: Callable[[], None] = (
            lambda: None
        )  # generations count anew from the next list
        # What renews and ends the membership lease (woadyard/policy/lease.py).
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_silent: Callable[[], None] = lambda: None
        self.on_moved: Callable[[], None] = lambda: None
        self.on_unreachable: Callable[[float], None] = lambda since_s: None  # nobody listened then
        self.current = CurrentVersion()
        self.latest_term = ("", 0)  # lineage and term of the list that is being told, or was last
        self.stream: Stream | None = None  # the watch
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.is_moving = False  # to an address that has told nothing yet
        self.is_lost = False  # discovery lost, and said so
        self.is_closed = False
        self._set_addresses(addresses)

    def _apply_push_mode(self, uses_push: bool) -> None:
        self.uses_push = uses_push
        waits = (PUSH_RETRY_INITIAL_S, PUSH_RETRY_MAX_S) if uses_push else (RETRY_INITIAL_S, RETRY_MAX_S)
        self.backoff = Backoff(self.rng, *waits)

    def _set_addresses(self, addresses: str) -> None:
        """One of the replicas, so that a fleet is spread over them."""
        self.configured_addresses, self.replicas = addresses, [part.strip() for part in addresses.split(",")]
        self.replica_index = self.rng.randrange(len(self.replicas)) if len(self.replicas) > 1 else 0

    @property
    def address(self) -> str:
        """Of the replica in use."""
        return self.replicas[self.replica_index]

    @property
    def is_watching(self) -> bool:
        """A watch is open, or on its way."""
        return self.stream is not None and not self.stream.is_done

    @property
    def generation(self) -> int:
        """Of the list held."""
        return self.current.version.generation

    @generation.setter
    def generation(self, known: int) -> None:
        self.current.version = ListVersion(generation=known)

    def set_push_mode(self, uses_push: bool) -> None:
        """Whether lists are pushed from now on."""
        if uses_push != self.uses_push:
            self._apply_push_mode(uses_push)
            if uses_push and not self.is_watching:
                self.set_watch(True)  # the module, which was to ask again, does so no more

    def change_address(self, addresses: str) -> None:
        """Discovery has other addresses. A watch that was asked for goes on
        there, and is asked for again until a first list has come."""
        if addresses == self.configured_addresses:
            return
        before = set(self.replicas)
        self._set_addresses(addresses)
        # With a replica in common it is the same service: its versions go on.
        self.is_moving, self.current.accepts_any_full_list = True, not before & set(self.replicas)
        self.on_moved()
        self.backoff.reset()
        if self.stream is not None:
            self.set_watch(True)

    async def wait_for_first_list(self) -> None:
        """Until the first list has come, or it was waited for long enough."""
        event, most_s = (
            (self.list_received, PUSH_FIRST_LIST_TIMEOUT_S)
            if self.uses_push
            else (self.first_result, POLL_FIRST_LIST_TIMEOUT_S)
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), most_s)

    def set_watch(self, on: bool) -> None:
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.is_closed:
            self.stream = self._open_stream(self.current.watch_target(self.path), is_watch=True)

    def restart_watch(self) -> None:
        """Begin the watch anew at another replica: this one tells nothing, or too late."""
        if self.stream is not None:
            self.replica_index = (self.replica_index + 1) % len(self.replicas)
            self.set_watch(True)

    def fetch(self) -> None:
        self._open_stream(self.path, is_watch=False)

    def _open_stream(self, target: str, is_watch: bool) -> Stream:
        stream = Stream(self, target, is_watch)
        task = self.loop.create_task(self._connect(stream))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)
        self.loop.call_later(self.silence_timeout_s, self._check_silence, stream)
        return stream

    async def _connect(self, stream: Stream) -> None:
        if stream.is_done:
            return
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: stream, host, int(port))
        except TimeoutError:
            stream.fail(StreamFailure.CONNECT_TIMEOUT)
        except ConnectionRefusedError:
            if len(self.replicas) == 1:  # another replica may be there
                self.on_unreachable(stream.started_at_s)
                self.first_result.set()
            stream.fail(StreamFailure.REFUSED)
        except ConnectionResetError:
            stream.fail(StreamFailure.RESET)
        except OSError:
            stream.fail(StreamFailure.SYSTEM)

    def _check_silence(self, stream: Stream) -> None:
        """Guards against a watch, or a call, that died without a word."""
        if stream.is_done:
            return
        left = stream.last_progress_s + self.silence_timeout_s - self.loop.time()
        if left > 0.0:
            self.loop.call_later(left, self._check_silence, stream)
        else:
            stream.fail(StreamFailure.SILENT)

    def receive(self, message: ListMessage) -> bool:
        """One list; PeerError where an entry is none, before any of it is used. False
        where the replica may be behind: another one is to be asked."""
        # Guards against a replica that lags, or follows a writer that was replaced: once an
        # address has told a list, nothing older of it is taken. A first list may be older,
        # as a new service counts anew.
        name = message.version
        verdict = self.current.evaluate(name, message.reset, self.loop.time())
        if verdict == REFUSE:
            fields = {"at": self.address, "term": name.term, "held": self.current.version.term}
            LOG.warning("a list of an older term or another log is not taken", extra=fields)
            return False
        if verdict == TAKE:
            self._apply_list(name, message.reset, message.instances)
        self.is_moving, self.current.accepts_any_full_list = False, False
        self.list_received.set()
        self.first_result.set()
        if not message.following:
            return False
        if verdict == TAKE:
            self.confirm()
        self.backoff.reset()
        if self.is_lost:
            self.is_lost = False
            LOG.info("discovery reached again", extra={"at": self.address, "version": self.generation})
        return True

    def _apply_list(self, version: ListVersion, is_full: bool, entries: list[dict[str, Any]]) -> None:
        if self.current.resets_generations(version):
            self.on_generation_reset()
        self.latest_term = version.lineage, version.term
        self.on_list(version.generation, is_full, entries)
        self.current.replace(version, self.loop.time())

    def confirm(self) -> None:
        """The list held is the one in force by now."""
        self.on_confirmed()

    def stream_failed(self, stream: Stream) -> None:
        if self.is_closed or self.is_watching:  # beside a watch, a call that failed says nothing
            return
        self._log_stream_end(stream)
        if stream.confirms_current and stream.failure is StreamFailure.SILENT:
            self.on_silent()
        # What was heard of another log, or of nobody, is no sign of the one held.
        if stream is self.stream and stream.decoder.progress_count and not stream.is_other_lineage:
            self.current.lineage_seen_s = max(self.current.lineage_seen_s, stream.last_progress_s)
        if not self.is_lost:  # once an outage, not once a try
            self.is_lost = True
            fields = {"at": self.address, "version": self.generation, "reason": stream.failure}
            LOG.warning(LOST_MESSAGE, extra=fields)
        self.replica_index = (self.replica_index + 1) % len(self.replicas)
        if not self.uses_push and not self.is_moving:
            self.on_failed()  # the module says when to ask again
        elif stream is self.stream:
            # Full jitter: a fleet that lost its watches together comes back spread
            # over the whole backoff, not in step at its middle.
            self.loop.call_later(self.backoff.next_delay_s(), self._retry_watch, stream)

    def _log_stream_end(self, stream: Stream) -> None:
        age_ms = round((self.loop.time() - stream.started_at_s) * 1000)
        fields = {
            "reason": stream.failure,
            "status": stream.status,
            "age_ms": age_ms,
            "told": stream.decoder.progress_count > 0,
        }
        LOG.debug("discovery call ended", extra={**fields, "at": self.address, "version": self.generation})

    def _retry_watch(self, stream: Stream) -> None:
        if stream is self.stream:
            self.set_watch(True)

    def close(self) -> None:
        self.is_closed = True
        self.set_watch(False)
