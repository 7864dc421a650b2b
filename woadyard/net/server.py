"""The callers' side: the listener, its connections, and the stop in order."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from itertools import islice

from woadyard.net.asked import MAX_U63, BadRequestError
from woadyard.net.caller import Caller
from woadyard.net.driver import Driver
from woadyard.net.message import READ_SIZE, Answer
from woadyard.net.presence import Unread
from woadyard.net.waits import Waits

# Callers fill this part of the sockets at most: the others are for endpoints.
CALLERS_PART = 0.75
# The latest to come, this part of them, give way to each other at once while they say
# nothing: who asks for something as it comes is heard in any crowd.
LATEST_PART = 0.125
# New connections come for this long after SIGTERM, and a last one gets this
# long to bring its request.
ACCEPT_S, LAST_S = 0.4, 0.15
# SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s at
# most, and 0.7 s. What was taken after SIGTERM is answered this long before that,
# and callers' connections are kept until this much time is left for it.
DEADLINE_MOST_S, KILL_S = 3.0, 0.7
ANSWERED_S, ANSWER_S = 0.3, 1.0
ANSWER_LEAST_S = 0.1  # where all deadlines are short
READ_S = 0.002  # one turn of the loop
BACKLOG = 1024
# Ids of requests are remembered for this long, and for as long as the request may run.
IDS_S, ID_MAX = 30.0, 128
# And no more than these, the latest: guards memory against floods of them.
IDS_MOST = 32_768


def stop_times(deadline_s: float) -> tuple[float, float]:
    """By the longest deadline: until when after SIGTERM connections are kept, and when
    the last answer is due."""
    last_s = ACCEPT_S + LAST_S
    answered_s = max(min(DEADLINE_MOST_S, deadline_s) + KILL_S - ANSWERED_S, last_s + ANSWER_LEAST_S)
    return max(last_s, answered_s - ANSWER_S), answered_s


class Server:
    """The listener and its connections."""

    def __init__(self, driver: Driver, most: int = 512, aside: int = 0) -> None:
        self.driver = driver
        self.waits = Waits()
        self.most = self.whole = most  # sockets of both sides
        self.aside = aside  # what each process has besides
        self.buffer = memoryview(bytearray(READ_SIZE))  # one read at a time, whoever reads
        self.callers: dict[Caller, None] = {}  # the first to come first
        self.resting: dict[Caller, float] = {}  # between requests since, the longest first
        self.lingering: dict[Caller, float] = {}  # answered for good since, the longest first
        self.unread = Unread(driver.loop)
        self.sweeping: asyncio.TimerHandle | None = None
        # Of requests: when that was or was looked at last, the oldest first, and when its time is up; µs.
        self.ids: dict[bytes, tuple[int, int]] = {}
        self.stopping = False  # told to
        self.shut_out = False  # from now on requests are turned away; those taken are finished
        self.closing = False  # no connection is kept any more
        self.answered_by = MAX_U63  # on the driver's clock, µs
        self.listener: asyncio.Server | None = None
        self.shared = False  # the listening socket outlives this process
        self.last_joined = 0.0
        self.on_end: Callable[[], None] = lambda: None

    @property
    def accepting(self) -> bool:
        return self.listener is not None and not self.stopping

    @property
    def serving(self) -> bool:
        """What callers are told when they ask whether it is ready."""
        return not (self.stopping or self.shut_out)

    @property
    def turning_away(self) -> bool:
        """Whether requests that come whole now are refused; after the last no time is left."""
        return self.shut_out or self.driver.now() >= self.answered_by

    def turn_away(self) -> Answer:
        """The answer to a request that this sidecar takes no more."""
        metrics = self.driver.metrics
        metrics.taken()
        metrics.refused()
        metrics.answered(503, 0)
        return Answer(503, b"Retry-After: 1\r\n" if self.driver.settings.retry_after else b"")

    def claim(self, name: bytes, expires: int) -> None:
        """An id is for one request. Guards the endpoints against stray copies: one
        that runs twice breaks a rule, and an answer to it would blame who gave it."""
        if not 0 < len(name) <= ID_MAX:
            raise BadRequestError(400, "X-Request-Id is missing, doubled or too long")
        now = self.driver.now()
        while self.ids and (oldest := next(iter(self.ids.items())))[1][0] <= now - IDS_S * 1e6:
            del self.ids[oldest[0]]
            if (until := oldest[1][1]) > now:
                self.ids[oldest[0]] = now, until
        if name in self.ids:
            raise BadRequestError(409, "X-Request-Id was taken before")
        self.ids[name] = now, expires
        if len(self.ids) > IDS_MOST:
            del self.ids[next(iter(self.ids))]

    async def listen(self, host: str, port: int) -> int:
        loop = self.driver.loop
        self.listener = await loop.create_server(lambda: Caller(self), host, port, backlog=BACKLOG)
        return int(self.listener.sockets[0].getsockname()[1])

    async def adopt(self, descriptor: int) -> None:
        """Listen on a socket that the platform holds: other processes of this
        sidecar accept from it too, before and after this one."""
        self.shared = True
        listening = socket.socket(fileno=descriptor)
        if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listening.detach()  # whatever it is, it is not ours to close
            raise OSError(f"descriptor {descriptor} does not listen")
        self.listener = await self.driver.loop.create_server(
            lambda: Caller(self), sock=listening, backlog=BACKLOG
        )

    def joined(self, caller: Caller) -> None:
        """Guards the limit on sockets, and the endpoints' part of them, against
        crowds. A new connection is turned away only where nobody can give way."""
        self.callers[caller] = None
        self.last_joined = self.driver.loop.time()
        if self._crowded():
            self.give_way()
        if self._crowded():
            latest = islice(reversed(self.callers), max(1, int(LATEST_PART * len(self.callers))))
            last = [one for one in latest if one.incoming.silent][-1]
            last.over = True
            del self.callers[last]
            self.cut(last)

    def _crowded(self) -> bool:
        both = len(self.callers) + len(self.driver.upstream.connections)
        return both > self.most or len(self.callers) > max(1, CALLERS_PART * self.most)

    def share(self, part: float) -> None:
        """With a second process of this sidecar each has half of all descriptors,
        and in its half what each has besides the sockets of both sides."""
        most = int((self.whole + self.aside) * part) - self.aside
        self.most = self.driver.upstream.max_sockets = max(16, most)
        while self._crowded() and self.give_way():
            pass

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        self.resting.pop(caller, None)
        self.lingering.pop(caller, None)
        if self.stopping and self.listener is None and not self.callers:
            self.on_end()

    def rest(self, caller: Caller) -> None:
        self.resting[caller] = self.driver.loop.time()
        if self.sweeping is None:
            self.sweeping = self.driver.loop.call_later(self.waits.rest_s, self._sweep)

    def give_way(self) -> bool:
        """One socket less. Whoever is served is left alone, as long as a byte of its
        answer is unwritten."""
        caller = next((one for one in self._dispensable() if one.written), None)
        if caller is None:
            return False
        self.close(caller)
        self.callers.pop(caller, None)
        return True

    def _dispensable(self) -> Iterator[Caller]:
        """Who may be closed, the least to be missed first: the next request of one that
        came to rest just now may be on its way, and would be lost."""
        now = self.driver.loop.time()
        limit, owed = now - self.waits.answered_s, now - self.waits.crowd_s
        yield from (one for one, since in self.lingering.items() if since <= limit)
        owing = (one for one in self.callers if one.patience is not None and one.call is None)
        late = [one for one in owing if one.owed_since <= owed]
        yield from (one for one in late if not one.incoming.reading)
        yield from (one for one, since in self.resting.items() if since <= owed)
        yield from late
        yield from self.resting

    def _sweep(self) -> None:
        """Drop who rested too long; one timer serves all connections."""
        self.sweeping = None
        loop = self.driver.loop
        for caller, since in list(self.resting.items()):
            if since + self.waits.rest_s > loop.time():
                self.sweeping = loop.call_at(since + self.waits.rest_s, self._sweep)
                break
            self.close(caller)

    def stop(self, on_end: Callable[[], None]) -> None:
        """SIGTERM: serve what comes while it comes, then finish and end.

        Connections are kept meanwhile: where sidecars restart in turn, the next
        one may not be up yet, and callers have nowhere else to go. Where the
        platform holds the socket, whoever accepts next takes the new ones: each
        connection then ends with its next answer, and only at rest without one.
        """
        if self.stopping:
            return
        self.stopping, self.on_end = True, on_end
        driver, loop = self.driver, self.driver.loop
        # Of the classes in force: those of before a reload put SIGKILL off no more.
        force, classes = driver.names.classes.values(), driver.settings.classes
        kept_s, answered_s = stop_times(max(classes[number].deadline_us for number in force) / 1e6)
        self.answered_by = driver.now() + round(answered_s * 1e6)
        if self.shared:
            self.closing = True
            self._close_listener()
        else:
            loop.call_later(ACCEPT_S, self._stop_listening, loop.time() + ACCEPT_S)
        loop.call_later(kept_s, self._stop_keeping)
        loop.call_later(answered_s, self._give_up)

    def _stop_keeping(self) -> None:
        """What has come by now is read before those at rest are closed under it. Nobody
        comes any more, however many did to the last: they would hold up the end."""
        self.closing = True
        self._close_listener()
        self.driver.loop.call_later(READ_S, self._close_resting)

    def _close_resting(self) -> None:
        for caller in [one for one in self.callers if one.idle()]:
            self.close(caller)

    def _give_up(self) -> None:
        """SIGKILL cuts off whatever is not answered by now: a deadline of before SIGTERM,
        a body on its way, a request that is not whole."""
        for caller in list(self.callers):
            caller.give_up()

    def linger(self, caller: Caller) -> None:
        self.lingering[caller] = self.driver.loop.time()

    def _check_owed(self, caller: Caller) -> None:
        if caller.presence is not None and not caller.presence.has_left():
            self.driver.attempts.invariants.check_closed(caller.call)

    def cut(self, caller: Caller) -> None:
        """Break a connection off at once, whatever is unwritten."""
        self._check_owed(caller)
        if caller.transport is not None:
            caller.transport.abort()

    def close(self, caller: Caller) -> None:
        """End a connection once all that was answered is written; no caller's ends but here and by `cut`."""
        self._check_owed(caller)
        self.resting.pop(caller, None)
        self.lingering.pop(caller, None)
        caller.over = True
        if caller.transport is not None:
            caller.transport.close()
            if caller.transport.get_write_buffer_size():  # who never reads would stay for good
                self.driver.loop.call_later(self.waits.relay_s, self.cut, caller)

    def _stop_listening(self, least: float) -> None:
        loop = self.driver.loop
        until = max(least, self.last_joined) + LAST_S
        if loop.time() < until:
            loop.call_later(until - loop.time(), self._stop_listening, least)
            return
        self._close_listener()

    def _close_listener(self) -> None:
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        if not self.callers:
            self.on_end()
