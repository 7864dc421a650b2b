"""One `Balancer` in real time: its clock, its timers, and its events in their order.

What happens is told to the module as one event at a time, and the actions that
come back are carried out in their order; events that an action brings about
wait until the present one is done.
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
    """The clock of the driver and of the module, µs."""
    return time.monotonic_ns() // 1000


class EventDispatcher:
    """`act` carries out an action; `failed` is told whose event the module had a fault over."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        balancer: Balancer,
        act: Callable[[Action], None],
        failed: Callable[[Call], None],
        metrics: NullMetrics,
    ) -> None:
        self.loop, self.balancer, self.metrics = loop, balancer, metrics
        self.execute, self.on_fault = act, failed
        self.observer: Observer | None = None
        self.pending: deque[tuple[EventMethod, tuple[Any, ...], Call | None]] = deque()
        self.is_dispatching = False

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
        """Call no sooner than due: loops round delays, so the time is checked."""
        delay = ceil(max(0, due - now_us()) / 1000) / 1000
        return self.loop.call_later(delay, self._call_when_due, due, call, args)

    def _call_when_due(self, due: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if now_us() < due:
            self.call_at(due, call, *args)
        else:
            call(*args)

    def start_timer(self, delay_us: int, token: int) -> None:
        """The module's timer."""
        self.call_at(now_us() + delay_us, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        self.dispatch(self.balancer.timer, token)

    def dispatch(self, event: EventMethod, *args: Any, call: Call | None = None) -> None:
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
            # Guards the process and its callers against a fault of the module.
            LOG.exception("fault in the module")
            self.balancer.actions.clear()
            if call is not None and call.is_open:
                self.on_fault(call)
