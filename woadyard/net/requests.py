"""Callers' requests, from their arrival to the final answer."""

from __future__ import annotations

from collections.abc import Callable

from xxhash import xxh3_64_intdigest

from woadyard.interface import CANCELLED, NO_CONNECT, TIMEOUT, Arrival
from woadyard.net.event_dispatcher import EventDispatcher, now_us
from woadyard.net.message import Answer, Attempt, Call
from woadyard.net.weight_factors import SharedState


class Requests:
    """Those taken and not yet forgotten, by number."""

    def __init__(self, turns: EventDispatcher, shared: SharedState | None) -> None:
        self.turns, self.shared = turns, shared
        self.calls: dict[int, Call] = {}
        self.next_id = 0
        self.stop: Callable[[Attempt, int], None] = lambda attempt, outcome: None  # with this outcome

    def take(self, call: Call) -> None:
        self.next_id += 1
        call.id, call.taken = self.next_id, now_us()
        self.turns.metrics.taken()
        self.calls[call.id] = call
        loading = call.upload is not None and not call.upload.whole
        if not loading:
            call.timer = self.turns.call_at(call.expires, self._expire, call)
        home = self.shared.affinity.home(call.affinity) if self.shared and call.affinity else None
        affinity = xxh3_64_intdigest(call.affinity) if call.affinity else 0
        event = Arrival(
            call.id, call.cls, call.expires, call.tenant, call.key, call.work_us, call.repeated, home,
            loading, affinity,
        )  # fmt: skip
        if (observer := self.turns.observer) is not None:
            observer.request_accepted(call.taken, event)
        self.turns.dispatch(self.turns.balancer.request, event, call=call)

    def whole(self, call: Call, expires: int) -> None:
        """The last byte of a body that was passed on as it came: time runs from now."""
        if not call.open:
            return
        call.expires = expires
        if call.relayed is None:
            call.timer = self.turns.call_at(expires, self._expire, call)
        for attempt in call.attempts:
            attempt.until = min(attempt.until, expires)
        self.turns.dispatch(self.turns.balancer.whole, call.id, expires, call=call)

    def stuck(self, call: Call) -> None:
        """The endpoint takes no more of a body: it can't have run what it has not."""
        for attempt in [*call.attempts]:  # not the next, which the module may begin upon this
            self.stop(attempt, NO_CONNECT)

    def gone(self, call: Call) -> None:
        """The client closed its connection."""
        if not call.open:
            return
        if (observer := self.turns.observer) is not None and call.relayed is None:
            observer.request_answered(now_us(), call.id, 0)
        self.over(call)
        self.turns.dispatch(self.turns.balancer.gone, call.id)
        if call.relayed is not None:
            self.stop(call.relayed, CANCELLED)
        elif call.upload is not None and not call.upload.whole:
            for attempt in call.attempts:  # what is still missing of the body never comes
                self.stop(attempt, CANCELLED)

    def give_up(self, call: Call) -> None:
        """Answered now, whatever is out: the process ends."""
        if call.open and call.relayed is None:
            begun = any(attempt.wrote for attempt in call.attempts)
            self.answer(call, Answer(504 if begun else 503))
            self.turns.dispatch(self.turns.balancer.gone, call.id)

    def _expire(self, call: Call) -> None:
        """The client's deadline: what is out timed out, and the module answers."""
        for attempt in call.attempts:
            self.stop(attempt, TIMEOUT)
        if call.open:  # guards the caller should the module have held it to the end
            self.answer(call, Answer(504))
            self.turns.dispatch(self.turns.balancer.gone, call.id)

    def refuse(self, request: int, after_us: int) -> None:
        """The module's word; `after_us` above 0 is told to the caller."""
        if (call := self.open_call(request)) is None:
            return
        self.turns.metrics.refused()
        if (observer := self.turns.observer) is not None:
            observer.request_refused(now_us(), request)
        after = b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us > 0 else b""
        self.answer(call, Answer(503, after))

    def fail(self, request: int) -> None:
        if (call := self.open_call(request)) is not None:
            self.answer(call, Answer(504 if now_us() >= call.expires else 502))

    def answer(self, call: Call, answer: Answer) -> None:
        self.told(call, answer.status)
        self.over(call)
        call.relay.answer(answer)

    def told(self, call: Call, status: int) -> None:
        """Its final answer is known."""
        now = now_us()
        self.turns.metrics.answered(status, now - call.taken)
        if (observer := self.turns.observer) is not None:
            observer.request_answered(now, call.id, status)

    def over(self, call: Call) -> None:
        call.open = False
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        for attempt in call.attempts:
            # One that may not be cancelled had the call's timer so far; a relayed one has none.
            if attempt.out and attempt.timer is None and attempt is not call.relayed:
                attempt.timer = self.turns.call_at(attempt.until, self.stop, attempt, TIMEOUT)
        self.drop(call)

    def drop(self, call: Call) -> None:
        """Forget it once nothing of it is left."""
        if not call.open and not any(attempt.out for attempt in call.attempts):
            self.calls.pop(call.id, None)
            # They name each other: without this only the collector would free them.
            call.attempts.clear()

    def open_call(self, request: int) -> Call | None:
        call = self.calls.get(request)
        return call if call is not None and call.open else None
