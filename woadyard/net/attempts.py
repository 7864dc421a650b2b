"""Attempts at endpoints, from the module's word to their one outcome."""

from __future__ import annotations

from collections.abc import Callable

from woadyard.interface import CANCELLED, MOOT, NO_CONNECT, OK, TIMEOUT, Outcome, Send
from woadyard.net.event_dispatcher import EventDispatcher, now_us
from woadyard.net.invariants import InvariantChecker
from woadyard.net.message import Answer, Attempt
from woadyard.net.names import InForce
from woadyard.net.places import Places
from woadyard.net.requests import Requests
from woadyard.net.upstream import Upstream


class AttemptRunner:
    def __init__(
        self,
        turns: EventDispatcher,
        requests: Requests,
        places: Places,
        force: InForce,
        upstream: Upstream,
    ) -> None:
        self.dispatcher, self.requests, self.listed_endpoints = turns, requests, places
        self.in_force, self.upstream = force, upstream
        requests.stop = self.stop
        # The audit is told of attempts that no endpoint saw: request and endpoint.
        self.on_unsent: Callable[[int, int], None] | None = None
        self.invariants = InvariantChecker(force, places, turns.metrics)
        upstream.on_outcome, upstream.may_start, upstream.begin_relay = (
            self.record_outcome,
            self.may_start,
            self.begin_relay,
        )
        upstream.on_written = self.invariants.check_written

    def may_start(self, attempt: Attempt, now: int) -> bool:
        if not attempt.call.open or now >= min(attempt.until, attempt.start_by):
            return False
        if not attempt.call.relay.there():  # where the client has left, that ends the call
            return False
        return self.listed_endpoints.may_start(attempt.endpoint, now)

    def send(self, action: Send) -> None:
        now, call = now_us(), self.requests.calls.get(action.request)
        if call is None:
            return
        left = action.timeout_us or call.expires - now
        until = min(call.expires, now + left)
        attempt = Attempt(call, len(call.attempts), action.endpoint, now, until, action.start_by)
        call.attempts.append(attempt)
        self.dispatcher.metrics.sent(attempt.copy)
        if (observer := self.dispatcher.observer) is not None:
            attempt.extra = observer.attempt_started(now, action)
        if self.in_force.locality is not None:
            place = self.listed_endpoints.by_number.get(action.endpoint)
            if place is not None:
                self.dispatcher.metrics.zone(place.zone)
        if attempt.copy >= self.in_force.settings.max_attempts or not self.may_start(attempt, now):
            self.record_outcome(attempt, MOOT, None, b"")
            return
        if attempt.until < call.expires:
            attempt.timer = self.dispatcher.call_at(attempt.until, self.stop, attempt, TIMEOUT)
        self.upstream.send(attempt)

    def cancel(self, request: int, copy: int) -> None:
        if (call := self.requests.calls.get(request)) is not None:
            self.stop(call.attempts[copy], CANCELLED)

    def stop(self, attempt: Attempt, outcome: int) -> None:
        """Wait for it no longer."""
        if attempt.out:
            never_left = self.upstream.cancel(attempt)
            # The wait for a connection that is not there yet, or takes no more, proves that it never ran.
            proven = NO_CONNECT if outcome == TIMEOUT and never_left else outcome
            self.record_outcome(attempt, proven, None, b"")

    def begin_relay(self, attempt: Attempt, answer: Answer, length: int | None) -> bool:
        """An answer too large to hold has begun: it is the caller's from now on,
        and neither the attempt's time nor the caller's runs any longer."""
        call = attempt.call
        if not call.open or not attempt.out or attempt.link is None:
            return False
        call.relayed, attempt.head_us = attempt, now_us() - attempt.sent
        self.requests.told(call, answer.status)
        for timer in (call.timer, attempt.timer):
            if timer is not None:
                timer.cancel()
        call.timer = attempt.timer = None
        event = Outcome(call.id, attempt.copy, attempt.endpoint, OK, attempt.head_us)
        self.dispatcher.dispatch(self.dispatcher.balancer.head, event, call=call)
        call.relay.begin(answer, length, attempt.link)
        return True

    def record_outcome(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """The one outcome of an attempt."""
        if not attempt.out:
            return
        attempt.out, attempt.outcome = False, outcome
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        call = attempt.call
        self.dispatcher.metrics.ended(outcome, now_us() - attempt.sent)
        if outcome == OK and answer is not None and call.open:
            self.requests.answer(call, answer)
        if call.relayed is attempt and call.open:
            self.requests.over(call)
            call.relay.end(outcome == OK)
        now, over = now_us(), not call.open
        event = Outcome(
            call.id,
            attempt.copy,
            attempt.endpoint,
            outcome,
            attempt.head_us or now - attempt.sent,
            over,
            self.in_force.names.report(load),
            call.upload is not None and call.upload.spent,
        )
        if self.on_unsent is not None and not attempt.wrote:
            self.on_unsent(call.id, attempt.endpoint)
        if (observer := self.dispatcher.observer) is not None:
            observer.attempt_ended(now, event)
        self.dispatcher.dispatch(self.dispatcher.balancer.outcome, event, call=call)
        self.requests.drop(call)
