"""Run-time checks of the protocol rules: counts each violation when it happens.

The guards (`Balancer._send`, `AttemptRunner.may_start`, `Server.close_connection`) keep the rules by what is
known before an action. The checks here run after the action and read the clock again, so they also
detect a process that was suspended between its guard and its write. They don't change behavior; each
violation is counted, logged, and exported as `woadyard_invariant_violations` by the admin listener.
Times are in µs of the driver's clock.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from woadyard.interface import FULL, KEYED, NEVER_RAN, SAFE
from woadyard.net.message import Attempt, Call
from woadyard.ops.metrics import NullMetrics

if TYPE_CHECKING:
    from woadyard.net.active_settings import ActiveSettings
    from woadyard.net.endpoint_table import EndpointTable
LOG = logging.getLogger(__name__)
# Tolerance of the rules on their time limits (PROTOCOL), and the amount by which a forwarded
# deadline may exceed the client's remaining time (STANDING.md).
TIME_SLACK_US, DEADLINE_SLACK_US = 50_000, 150_000


class Rule(StrEnum):
    """The rule that was violated."""

    SEND = "send"  # an attempt at an endpoint that is draining or gone, or whose lease expired
    START = "start"  # an attempt for a request that is complete or has no time left
    REPEAT = "repeat"  # a retry of a request that may have run, against its effect, window or limit
    CLOSE = "close"  # closing a client connection that still awaits a response


class InvariantChecker:
    """Counts violations by rule."""

    def __init__(
        self, active_settings: ActiveSettings, listed_endpoints: EndpointTable, metrics: NullMetrics
    ) -> None:
        self.active_settings, self.listed_endpoints, self.metrics = active_settings, listed_endpoints, metrics
        self.counts: Counter[Rule] = Counter()

    def check_written(self, attempt: Attempt, now: int) -> None:
        """Check an attempt whose first bytes have been passed to the kernel by now."""
        if not self.listed_endpoints.may_have_started(attempt.endpoint, now - TIME_SLACK_US):
            self._report_violation(Rule.SEND, "the endpoint is draining or gone", attempt)
        if now > attempt.start_by_us + TIME_SLACK_US:
            self._report_violation(Rule.SEND, "the lease, repeat window or timeout has expired", attempt)
        if not attempt.call.is_open:
            self._report_violation(Rule.START, "the request already has its final response", attempt)
        if attempt.timeout_at_us > attempt.call.expires_us + DEADLINE_SLACK_US:
            self._report_violation(Rule.START, "the timeout exceeds the client's deadline", attempt)
        if reason := self._forbidden_repeat_reason(attempt, now):
            self._report_violation(Rule.REPEAT, reason, attempt)

    def check_closed(self, call: Call | None) -> None:
        """Check a client connection that this process closes while the client is connected.

        `call` is the request that the connection currently serves, if any.
        """
        if call is not None and call.is_open:
            self._count(Rule.CLOSE, "a request that was read has no response", request=call.id)

    def _forbidden_repeat_reason(self, attempt: Attempt, now: int) -> str:
        """Why the rules forbid this attempt as a repeat; empty if they don't."""
        settings, call = self.active_settings.settings, attempt.call
        earlier = [other for other in call.attempts[: attempt.index] if other.was_written]
        if attempt.index >= settings.max_attempts:
            return "more attempts than allowed"
        if not settings.second_copies and any(other.in_flight for other in earlier):
            return "an earlier attempt is still in flight"
        cls = settings.classes[call.cls]
        never_ran = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        may_have_run = next((other for other in earlier if other.outcome not in never_ran), None)
        if may_have_run is None or cls.effect == SAFE:
            return ""
        if cls.effect != KEYED:
            return "an earlier attempt may have run"
        is_late = now > may_have_run.sent_us + cls.window_us + TIME_SLACK_US
        return "the repeat window has expired" if is_late else ""

    def _report_violation(self, rule: Rule, reason: str, attempt: Attempt) -> None:
        self._count(rule, reason, request=attempt.call.id, copy=attempt.index, endpoint=attempt.endpoint)

    def _count(self, rule: Rule, reason: str, **fields: int) -> None:
        self.counts[rule] += 1
        self.metrics.invariant_violated(rule)
        LOG.error("invariant violated", extra={"rule": rule, "why": reason, **fields})
