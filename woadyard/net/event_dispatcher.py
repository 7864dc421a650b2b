"""Feeds events to one `Balancer` in real time: clock, timers and the order of events.

Each event is passed to the balancer on its own, and the actions it returns are carried out in
order. Events that arise while an action is carried out wait until the current one is done.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from math import ceil
from typing import Any

from woadyard.interface import Action
from woadyard.net.message import Call
from woadyard.net.observers import Observer
from woadyard.ops.metrics import NullMetrics
from woadyard.policy import Balancer

LOG = logging.getLogger(__name__)
EventMethod = Callable[..., list[Action]]


def now_us() -> int:
    """Return the monotonic time in µs, the clock of the driver and the balancer."""
    return time.monotonic_ns() // 1000


class EventDispatcher:
    """Dispatches events to the balancer.

    `execute` carries out one action. `on_fault` is called with the request whose event made the
    balancer raise an exception.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        balancer: Balancer,
        execute: Callable[[Action], None],
        on_fault: Callable[[Call], None],
        metrics: NullMetrics,
    ) -> None:
        self.loop, self.balancer, self.metrics = loop, balancer, metrics
        self.execute, self.on_fault = execute, on_fault
        self.observer: Observer | None = None
        self.pending: deque[tuple[EventMethod, tuple[Any, ...], Call | None]] = deque()
        self.is_dispatching = False

    def call_at(self, due_us: int, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        """Call back at this time or later, never earlier: event loops round delays."""
        delay_s = ceil(max(0, due_us - now_us()) / 1000) / 1000
        return self.loop.call_later(delay_s, self._call_when_due, due_us, callback, args)

    def _call_when_due(self, due_us: int, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        if now_us() < due_us:
            self.call_at(due_us, callback, *args)
        else:
            callback(*args)

    def start_timer(self, delay_us: int, token: int) -> None:
        """Start a timer of the balancer."""
        self.call_at(now_us() + delay_us, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        self.dispatch(self.balancer.timer, token)

    def dispatch(self, event: EventMethod, *args: Any, call: Call | None = None) -> None:
        """Pass an event to the balancer, or queue it if one is being dispatched."""
        self.pending.append((event, args, call))
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending:
                self._dispatch_one(*self.pending.popleft())
        finally:
            self.is_dispatching = False

    def _dispatch_one(self, event: EventMethod, args: tuple[Any, ...], call: Call | None) -> None:
        try:
            for action in event(now_us(), *args):
                self.execute(action)
        except Exception:
            # A fault of the balancer must not end the process or leave a client without a response.
            LOG.exception("unhandled exception in the balancer")
            self.balancer.actions.clear()
            if call is not None and call.is_open:
                self.on_fault(call)
