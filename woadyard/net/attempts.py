"""Runs attempts at endpoints, from the balancer's `Send` action to their one outcome each."""

from __future__ import annotations

from collections.abc import Callable

from woadyard.interface import CANCELLED, MOOT, NO_CONNECT, OK, TIMEOUT, Outcome, Send
from woadyard.net.active_settings import ActiveSettings
from woadyard.net.endpoint_table import EndpointTable
from woadyard.net.event_dispatcher import EventDispatcher, now_us
from woadyard.net.invariants import InvariantChecker
from woadyard.net.message import Attempt, Response
from woadyard.net.request_log import log_attempt_ended, log_attempt_repeated
from woadyard.net.requests import Requests
from woadyard.net.upstream import Upstream
from woadyard.policy.response_relay import give_up_due_us


class AttemptRunner:
    """Starts, times out, cancels and completes attempts, and reports their outcomes."""

    def __init__(
        self,
        dispatcher: EventDispatcher,
        requests: Requests,
        listed_endpoints: EndpointTable,
        active_settings: ActiveSettings,
        upstream: Upstream,
    ) -> None:
        self.dispatcher, self.requests, self.listed_endpoints = dispatcher, requests, listed_endpoints
        self.active_settings, self.upstream = active_settings, upstream
        requests.stop_attempt, requests.watch_streaming = self.stop, self.watch_streaming
        # Called with request and endpoint for each attempt that wrote no byte (for the audit).
        self.on_unsent: Callable[[int, int], None] | None = None
        self.invariants = InvariantChecker(active_settings, listed_endpoints, dispatcher.metrics)
        upstream.on_outcome, upstream.may_start, upstream.begin_relay = (
            self.record_outcome,
            self.may_start,
            self.begin_relay,
        )
        upstream.on_written = self.invariants.check_written

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """Whether the first byte of the attempt may be written now (µs)."""
        if not attempt.call.is_open or now >= min(attempt.timeout_at_us, attempt.start_by_us):
            return False
        if not attempt.call.client.check_connected():  # a client that has disconnected ends the request here
            return False
        return self.listed_endpoints.may_start(attempt.endpoint, now)

    def send(self, action: Send) -> None:
        """Start an attempt; one that may not start ends as MOOT at once."""
        now, call = now_us(), self.requests.calls.get(action.request)
        if call is None:
            return
        wait_us = action.timeout_us or call.expires_us - now
        timeout_at_us = min(call.expires_us, now + wait_us)
        attempt = Attempt(call, len(call.attempts), action.endpoint, now, timeout_at_us, action.start_by)
        call.attempts.append(attempt)
        self.dispatcher.metrics.attempt_sent(attempt.index)
        if (observer := self.dispatcher.observer) is not None:
            attempt.extra_headers = observer.attempt_started(now, action)
        if self.active_settings.locality is not None:
            listed_endpoint = self.listed_endpoints.by_number.get(action.endpoint)
            if listed_endpoint is not None:
                self.dispatcher.metrics.zone_attempt_sent(listed_endpoint.zone)
        if attempt.index >= self.active_settings.settings.max_attempts or not self.may_start(attempt, now):
            self.record_outcome(attempt, MOOT, None, b"")
            return
        if attempt.index:
            log_attempt_repeated(attempt, self.listed_endpoints.address_of(attempt.endpoint))
        if attempt.timeout_at_us < call.expires_us:
            attempt.timer = self.dispatcher.call_at(attempt.timeout_at_us, self.stop, attempt, TIMEOUT)
        self.upstream.send(attempt)

    def cancel(self, request: int, attempt_index: int) -> None:
        """Cancel one attempt of a request, given by its attempt index."""
        if (call := self.requests.calls.get(request)) is not None:
            self.stop(call.attempts[attempt_index], CANCELLED)

    def stop(self, attempt: Attempt, outcome: int) -> None:
        """Stop waiting for an attempt and record this outcome."""
        if attempt.in_flight:
            never_left = self.upstream.cancel(attempt)
            # A timeout while connecting, or while the connection accepts no more bytes, proves that
            # the endpoint never ran the request.
            proven_outcome = NO_CONNECT if outcome == TIMEOUT and never_left else outcome
            self.record_outcome(attempt, proven_outcome, None, b"")

    def begin_relay(self, attempt: Attempt, response: Response, length: int | None) -> bool:
        """Start streaming a response; false if nobody waits for it.

        It is the client's final response, so the timeouts of the attempt and the request end.
        """
        call = attempt.call
        is_streaming = call.streaming_attempt is not None
        if is_streaming or not call.is_open or not attempt.in_flight or attempt.connection is None:
            return False
        call.streaming_attempt, attempt.head_us = attempt, now_us() - attempt.sent_us
        self.requests.record_response(call, response.status)
        for timer in (call.timer, attempt.timer):
            if timer is not None:
                timer.cancel()
        call.timer = attempt.timer = None
        event = Outcome(call.id, attempt.index, attempt.endpoint, OK, attempt.head_us)
        self.dispatcher.dispatch(self.dispatcher.balancer.head, event, call=call)
        call.client.begin_response(response, length, attempt.connection)
        self.watch_streaming(attempt)
        return True

    def watch_streaming(self, attempt: Attempt) -> None:
        """Give up a streamed response when its time is over; looks again as more of it may have arrived."""
        call = attempt.call
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if not call.is_open or not attempt.in_flight:
            return
        now = now_us()
        due_us = give_up_due_us(attempt.progress, call.expires_us, now)
        if now >= due_us:
            self.stop(attempt, TIMEOUT)
        else:
            call.timer = self.dispatcher.call_at(due_us, self.watch_streaming, attempt)

    def record_outcome(
        self, attempt: Attempt, outcome: int, response: Response | None, load_report: bytes
    ) -> None:
        """Complete an attempt and report its outcome; any later outcome is ignored."""
        if not attempt.in_flight:
            return
        attempt.in_flight, attempt.outcome = False, outcome
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        call = attempt.call
        self.dispatcher.metrics.attempt_ended(outcome, now_us() - attempt.sent_us)
        log_attempt_ended(attempt, outcome, self.listed_endpoints.address_of(attempt.endpoint), now_us())
        if outcome == OK and response is not None and call.is_open:
            self.requests.send_response(call, response)
        if call.streaming_attempt is attempt and call.is_open:
            self.requests.close(call)
            call.client.end_response(outcome == OK)
        now, is_request_closed = now_us(), not call.is_open
        event = Outcome(
            call.id,
            attempt.index,
            attempt.endpoint,
            outcome,
            attempt.head_us or now - attempt.sent_us,
            is_request_closed,
            self.active_settings.name_index.parse_report(load_report),
            call.upload is not None and call.upload.partly_sent,
        )
        if self.on_unsent is not None and not attempt.was_written:
            self.on_unsent(call.id, attempt.endpoint)
        if (observer := self.dispatcher.observer) is not None:
            observer.attempt_ended(now, event)
        self.dispatcher.dispatch(self.dispatcher.balancer.outcome, event, call=call)
        self.requests.discard_if_finished(call)
