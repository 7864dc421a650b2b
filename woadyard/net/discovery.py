"""Client of the discovery service: watches or fetches the list of endpoints and passes lists on.

The service may have several replicas. When a watch ends, or a replica reports that it has lost contact
with its leader or serves an older term, the client turns to the next replica and resumes from the
current version. The last list stays in use through any outage.
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
from woadyard.net.list_version import CurrentVersion, ListDecision, ListMessage, ListVersion

# On an unchanged list a heartbeat arrives every 2 s. Soon after a missed one the watch counts as dead, as
# a network partition closes no connection. A change made meanwhile binds after 6 s, and the next call may
# fail as well.
SILENCE_TIMEOUT_S = 2.5
# Delays before a watch is reopened; the first one spreads sidecars that lost their watches together.
# A new address binds 4 s after it was configured.
RETRY_INITIAL_S, RETRY_MAX_S = 0.3, 1.2
# With pushed lists a change binds at once, with or without a watch: after an outage the list must arrive
# within the grace of a drain, 250 ms.
PUSH_RETRY_INITIAL_S, PUSH_RETRY_MAX_S = 0.1, 0.2
# How long a new process waits for the first pushed list before it serves by the configured one.
PUSH_FIRST_LIST_TIMEOUT_S = 0.5
# With polling, a new process has no lease before the first list. It is not ready before that list, but no
# later than this, as it must be ready within 6 s.
POLL_FIRST_LIST_TIMEOUT_S = 3.5
# Longer than the kernel's first retransmission of a lost SYN, after 1 s, but no longer: the next one
# follows 3 s later, and two connects that time out plus their delays must fit into the 4 s for a new
# address.
CONNECT_TIMEOUT_S = 1.25
# A watch without the current list for this long lets the membership lease expire.
UNCONFIRMED_WARNING_S = 5.0
LOG = logging.getLogger(__name__)
LOST_MESSAGE = "discovery lost, keeping the last list"
UNCONFIRMED_MESSAGE = "heartbeats renew no lease: the watch did not send the current list"


class Discovery:
    """Keeps one watch open, or fetches on request, and passes each accepted list to `on_list`.

    Times are seconds of the loop."""

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
        self.list_received = asyncio.Event()  # the first list since the start
        self.first_result = asyncio.Event()  # the first list, or a refused connection
        self.on_failed: Callable[[], None] = lambda: None
        self.on_generation_reset: Callable[[], None] = (
            lambda: None
        )  # before a list of another term or lineage
        # These renew and end the membership lease (woadyard/policy/lease.py).
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_heartbeat: Callable[[bool], None] = lambda renews_lease: None
        self.on_moved: Callable[[], None] = lambda: None
        self.on_unreachable: Callable[[float], None] = lambda since_s: None  # the connection was refused
        self.current = CurrentVersion()
        self.latest_term = ("", 0)  # lineage and term of the list being passed on, or of the last one
        self.stream: Stream | None = None  # the watch
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.is_moving = False  # to an address that has not sent a list yet
        self.is_lost = False  # an outage was logged and has not ended
        self.is_unconfirmed = False  # heartbeats that renew no lease were logged
        self.is_closed = False
        self._set_addresses(addresses)

    def _apply_push_mode(self, uses_push: bool) -> None:
        self.uses_push = uses_push
        delays_s = (PUSH_RETRY_INITIAL_S, PUSH_RETRY_MAX_S) if uses_push else (RETRY_INITIAL_S, RETRY_MAX_S)
        self.backoff = Backoff(self.rng, *delays_s)

    def _set_addresses(self, addresses: str) -> None:
        """Start at a random replica, which spreads a fleet over them."""
        self.configured_addresses, self.replicas = addresses, [part.strip() for part in addresses.split(",")]
        self.replica_index = self.rng.randrange(len(self.replicas)) if len(self.replicas) > 1 else 0

    @property
    def address(self) -> str:
        """The address of the replica in use."""
        return self.replicas[self.replica_index]

    @property
    def is_watching(self) -> bool:
        """Whether a watch is open or connecting."""
        return self.stream is not None and not self.stream.is_done

    @property
    def generation(self) -> int:
        """The generation of the current list."""
        return self.current.version.generation

    @generation.setter
    def generation(self, known_generation: int) -> None:
        self.current.version = ListVersion(generation=known_generation)

    def set_push_mode(self, uses_push: bool) -> None:
        """Set whether lists are pushed from now on."""
        if uses_push != self.uses_push:
            self._apply_push_mode(uses_push)
            if uses_push and not self.is_watching:
                self.set_watch(True)  # the policy, which would have called again, no longer does

    def change_address(self, addresses: str) -> None:
        """Switch to other addresses.

        An open or failed watch is opened there, and retried until a first list arrives."""
        if addresses == self.configured_addresses:
            return
        before = set(self.replicas)
        self._set_addresses(addresses)
        # With a replica in common it is the same service, so its versions stay comparable.
        self.is_moving, self.current.accepts_any_full_list = True, not before & set(self.replicas)
        self.on_moved()
        self.backoff.reset()
        if self.stream is not None:
            self.set_watch(True)

    async def wait_for_first_list(self) -> None:
        """Wait until the first list has arrived, with a timeout."""
        event, timeout_s = (
            (self.list_received, PUSH_FIRST_LIST_TIMEOUT_S)
            if self.uses_push
            else (self.first_result, POLL_FIRST_LIST_TIMEOUT_S)
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), timeout_s)

    def set_watch(self, on: bool) -> None:
        """Close the watch and, if `on`, open a new one."""
        if self.stream is not None:
            self.stream.stop()
            self.stream = None
        if on and not self.is_closed:
            self.stream = self._open_stream(self.current.watch_target(self.path), is_watch=True)

    def restart_watch(self) -> None:
        """Reopen the watch at the next replica, as this one sends nothing or is late."""
        if self.stream is not None:
            self.replica_index = (self.replica_index + 1) % len(self.replicas)
            self.set_watch(True)

    def fetch(self) -> None:
        """Request one full list beside the watch."""
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
            if len(self.replicas) == 1:  # otherwise another replica may be reachable
                self.on_unreachable(stream.started_at_s)
                self.first_result.set()
            stream.fail(StreamFailure.REFUSED)
        except ConnectionResetError:
            stream.fail(StreamFailure.RESET)
        except OSError:
            stream.fail(StreamFailure.SYSTEM)

    def _check_silence(self, stream: Stream) -> None:
        """Fail a stream that has made no progress within the silence timeout."""
        if stream.is_done:
            return
        remaining_s = stream.last_progress_s + self.silence_timeout_s - self.loop.time()
        if remaining_s > 0.0:
            self.loop.call_later(remaining_s, self._check_silence, stream)
        else:
            stream.fail(StreamFailure.SILENT)

    def receive(self, message: ListMessage) -> bool:
        """Evaluate one received list and pass it on if it is accepted.

        Returns False where the replica may be behind, so that another one is to be tried. Raises
        `PeerError` for an invalid entry, before any entry is used."""
        # A replica may lag, or follow a leader that was replaced: once an address has sent a list,
        # nothing older is accepted from it. A first list may be older, as a new service starts its
        # generations over.
        version = message.version
        decision = self.current.evaluate(version, message.reset, self.loop.time())
        if decision is ListDecision.REFUSE:
            fields = {"at": self.address, "term": version.term, "held": self.current.version.term}
            LOG.warning("rejected a list of an older term or another lineage", extra=fields)
            return False
        if decision is ListDecision.TAKE:
            self._apply_list(version, message.reset, message.instances)
        self.is_moving, self.current.accepts_any_full_list = False, False
        self.list_received.set()
        self.first_result.set()
        if not message.following:
            return False
        if decision is ListDecision.TAKE:
            self.is_unconfirmed = False
            self.on_confirmed()
        self.backoff.reset()
        if self.is_lost:
            self.is_lost = False
            LOG.info("discovery reachable again", extra={"at": self.address, "version": self.generation})
        return True

    def _apply_list(self, version: ListVersion, is_full: bool, entries: list[dict[str, Any]]) -> None:
        if self.current.resets_generations(version):
            self.on_generation_reset()
        self.latest_term = version.lineage, version.term
        self.on_list(version.generation, is_full, entries)
        self.current.replace(version, self.loop.time())

    def heartbeat_received(self, stream: Stream) -> None:
        """Renew the lease by a heartbeat of a watch, if the current list came on that watch."""
        self.on_heartbeat(stream.confirms_current)
        if stream.confirms_current:
            self.on_confirmed()
        elif not self.is_unconfirmed and self.loop.time() - stream.started_at_s >= UNCONFIRMED_WARNING_S:
            self.is_unconfirmed = True
            fields = {"at": self.address, "version": self.generation}
            LOG.warning(UNCONFIRMED_MESSAGE, extra=fields)

    def stream_failed(self, stream: Stream) -> None:
        """Log the failure and retry at the next replica, or leave the retry to the policy."""
        if self.is_closed or self.is_watching:  # a failed fetch beside an open watch has no effect
            return
        self._log_stream_end(stream)
        # A stream that sent nothing, or another lineage, is no sign that the current lineage is alive.
        if stream is self.stream and stream.decoder.progress_count and not stream.is_other_lineage:
            self.current.lineage_seen_s = max(self.current.lineage_seen_s, stream.last_progress_s)
        if not self.is_lost:  # once per outage, not per attempt
            self.is_lost = True
            fields = {"at": self.address, "version": self.generation, "reason": stream.failure}
            LOG.warning(LOST_MESSAGE, extra=fields)
        if stream.needs_full_list:
            self.fetch()  # a watch would resume from the same position and get the same delta again
        self.replica_index = (self.replica_index + 1) % len(self.replicas)
        if not self.uses_push and not self.is_moving:
            self.on_failed()  # the policy decides when to call again
        elif stream is self.stream:
            # Full jitter: sidecars that lost their watches together come back spread over the whole
            # backoff interval, not in step at its middle.
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
        """Close the watch and open no other one."""
        self.is_closed = True
        self.set_watch(False)
