"""Clients' requests, from their acceptance to the final response."""

from __future__ import annotations

from collections.abc import Callable

from xxhash import xxh3_64_intdigest

from woadyard.interface import CANCELLED, NO_CONNECT, TIMEOUT, Arrival
from woadyard.net.event_dispatcher import EventDispatcher, now_us
from woadyard.net.message import Attempt, Call, Response
from woadyard.net.request_ids import RequestIds
from woadyard.net.request_log import FailureReason, log_request_ended
from woadyard.net.weight_factors import SharedState


class Requests:
    """The calls that are open or have attempts in flight, by request number."""

    def __init__(self, dispatcher: EventDispatcher, shared: SharedState | None) -> None:
        self.dispatcher, self.shared = dispatcher, shared
        self.ids = RequestIds()
        self.calls: dict[int, Call] = {}
        self.next_id = 0
        # Ends an attempt with this outcome.
        self.stop_attempt: Callable[[Attempt, int], None] = lambda attempt, outcome: None
        # Bounds the time of a streamed response.
        self.watch_streaming: Callable[[Attempt], None] = lambda attempt: None

    def accept(self, call: Call) -> None:
        """Number the request, start its deadline and pass it to the balancer."""
        self.next_id += 1
        call.id, call.received_us = self.next_id, now_us()
        self.dispatcher.metrics.request_received()
        self.calls[call.id] = call
        is_uploading = call.upload is not None and not call.upload.is_complete
        if not is_uploading:
            self._start_timer(call)
        home = self.shared.affinity.home(call.affinity) if self.shared and call.affinity else None
        affinity = xxh3_64_intdigest(call.affinity) if call.affinity else 0
        event = Arrival(
            call.id, call.cls, call.expires_us, call.tenant, call.key, call.work_us, call.is_retry, home,
            is_uploading, affinity,
        )  # fmt: skip
        if (observer := self.dispatcher.observer) is not None:
            observer.request_accepted(call.received_us, event)
        self.dispatcher.dispatch(self.dispatcher.balancer.request, event, call=call)

    def body_complete(self, call: Call, expires_us: int) -> None:
        """The last byte of a streamed body was received: the request's deadline runs from now."""
        if not call.is_open:
            return
        call.expires_us = expires_us
        if call.streaming_attempt is None:
            self._start_timer(call)
        else:
            self.watch_streaming(call.streaming_attempt)
        for attempt in [*call.attempts]:
            attempt.timeout_at_us = min(attempt.timeout_at_us, expires_us)
            if attempt.connection is not None:
                attempt.connection.relay_if_due()
        self.dispatcher.dispatch(self.dispatcher.balancer.whole, call.id, expires_us, call=call)

    def upload_stalled(self, call: Call) -> None:
        """The endpoint accepts no more of a body: it cannot have run a request that it does not have."""
        # A copy of the list: the balancer may start the next attempt upon the end of this one.
        for attempt in [*call.attempts]:
            self.stop_attempt(attempt, NO_CONNECT)

    def upload_overdue(self, call: Call) -> None:
        """The client may have waited for its whole time since it wrote the last byte of its body."""
        if call.is_open and call.streaming_attempt is None:
            self._expire(call)

    def client_disconnected(self, call: Call) -> None:
        if not call.is_open:
            return
        log_request_ended(call, 0, FailureReason.CLIENT_LEFT)
        if (observer := self.dispatcher.observer) is not None and call.streaming_attempt is None:
            observer.request_answered(now_us(), call.id, 0)
        self.close(call)
        self.dispatcher.dispatch(self.dispatcher.balancer.gone, call.id)
        if call.streaming_attempt is not None:
            self.stop_attempt(call.streaming_attempt, CANCELLED)
        elif call.upload is not None and not call.upload.is_complete:
            for attempt in call.attempts:  # the rest of the body will never arrive
                self.stop_attempt(attempt, CANCELLED)

    def respond_before_exit(self, call: Call, counted_from_us: int) -> None:
        """Respond now, whatever is in flight: the process is about to end.

        A streamed response may go on if it is long, or if its request came before `counted_from_us`, from
        which on requests may not be cut off by the end of the process.
        """
        if (attempt := call.streaming_attempt) is not None:
            if call.is_open and call.received_us >= counted_from_us and not attempt.progress.is_long:
                self.stop_attempt(attempt, TIMEOUT)
        elif call.is_open:
            may_have_run = any(attempt.was_written for attempt in call.attempts)
            self.send_failure(call, Response(504 if may_have_run else 503), FailureReason.PROCESS_EXIT)
            self.dispatcher.dispatch(self.dispatcher.balancer.gone, call.id)

    def _start_timer(self, call: Call) -> None:
        call.timer = self.dispatcher.call_at(call.expires_us, self._expire, call)

    def _expire(self, call: Call) -> None:
        """The client's deadline: attempts in flight time out, and the balancer decides on the response."""
        for attempt in call.attempts:
            self.stop_attempt(attempt, TIMEOUT)
        if call.is_open:  # the balancer queued the request up to the end; the client still gets a response
            self.send_failure(call, Response(504), FailureReason.DEADLINE)
            self.dispatcher.dispatch(self.dispatcher.balancer.gone, call.id)

    def reject(self, request_id: int, after_us: int, reason: str) -> None:
        """Carry out the balancer's rejection; `after_us` above 0 is sent to the client as Retry-After."""
        if (call := self.open_call(request_id)) is None:
            return
        self.dispatcher.metrics.request_rejected()
        if (observer := self.dispatcher.observer) is not None:
            observer.request_refused(now_us(), request_id)
        retry_after = b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us > 0 else b""
        self.send_failure(call, Response(503, retry_after), reason)

    def fail(self, request_id: int, reason: str) -> None:
        """Carry out the balancer's decision to attempt no more."""
        if (call := self.open_call(request_id)) is not None:
            is_expired = now_us() >= call.expires_us
            status, why = (504, FailureReason.DEADLINE) if is_expired else (502, reason)
            self.send_failure(call, Response(status), why)

    def send_failure(self, call: Call, response: Response, reason: str) -> None:
        """Send a response that no endpoint made, and log why."""
        log_request_ended(call, response.status, reason)
        self.send_response(call, response)

    def send_response(self, call: Call, response: Response) -> None:
        self.record_response(call, response.status)
        self.close(call)
        call.client.send_response(response)

    def record_response(self, call: Call, status: int) -> None:
        """Report the status of the final response to the metrics and the observer."""
        now = now_us()
        self.dispatcher.metrics.response_sent(status, now - call.received_us)
        if (observer := self.dispatcher.observer) is not None:
            observer.request_answered(now, call.id, status)

    def close(self, call: Call) -> None:
        """The call needs no more attempts; those in flight may still end."""
        call.is_open = False
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        for attempt in call.attempts:
            # An attempt that may not be cancelled relied on the call's timer; a streaming one has none.
            if attempt.in_flight and attempt.timer is None and attempt is not call.streaming_attempt:
                attempt.timer = self.dispatcher.call_at(
                    attempt.timeout_at_us, self.stop_attempt, attempt, TIMEOUT
                )
        self.discard_if_finished(call)

    def discard_if_finished(self, call: Call) -> None:
        """Forget a closed call without attempts in flight."""
        if not call.is_open and not any(attempt.in_flight for attempt in call.attempts):
            if self.calls.pop(call.id, None) is not None:
                self._end_request_id(call)
            # Breaks the reference cycles, which only the garbage collector would free.
            call.attempts.clear()
            call.streaming_attempt = None

    def release_id(self, call: Call) -> None:
        """Forget the id of a request that is not accepted after all."""
        self.ids.release(call.request_id, now_us())

    def _end_request_id(self, call: Call) -> None:
        """Remember the id for a while where the request may have run."""
        if any(attempt.was_written for attempt in call.attempts):
            self.ids.keep(call.request_id, now_us(), call.expires_us)
        else:
            self.release_id(call)

    def open_call(self, request_id: int) -> Call | None:
        call = self.calls.get(request_id)
        return call if call is not None and call.is_open else None
