"""Run-time checks of the rules: what must never happen is counted at the moment of the act.

The guards (`Balancer._send`, `Attempts.may_start`, `Server.close_connection`) keep the rules by what they
know beforehand. The checks here come after the act and read the clock anew, so they also see a process that
was held up between its guard and its write. They change nothing; each violation is counted, logged, and
shown as `woadyard_invariant_violations` at the door. Times are of the driver's clock, in microseconds.
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
# The rules allow so much on their time limits (PROTOCOL), and a deadline passed on may exceed what the
# client has left by the second (STANDING.md).
TIME_SLACK_US, DEADLINE_SLACK_US = 50_000, 150_000


class Rule(StrEnum):
    """What a violation is of."""

    SEND = "send"  # to an endpoint that drains, is gone, or whose lease has run out
    START = "start"  # for a request that is over, or without time
    REPEAT = "repeat"  # of a request that may have run, out of its effect, window or number
    CLOSE = "close"  # of a connection that is still owed an answer


class InvariantChecker:
    """Counts violations by rule."""

    def __init__(self, force: ActiveSettings, places: EndpointTable, metrics: NullMetrics) -> None:
        self.in_force, self.listed_endpoints, self.metrics = force, places, metrics
        self.counts: Counter[Rule] = Counter()

    def check_written(self, attempt: Attempt, now: int) -> None:
        """The first bytes of an attempt were given to the system by now."""
        if not self.listed_endpoints.may_have_started(attempt.endpoint, now - TIME_SLACK_US):
            self._report_violation(Rule.SEND, "the endpoint drains or is gone", attempt)
        if now > attempt.start_by_us + TIME_SLACK_US:
            self._report_violation(Rule.SEND, "its lease, window or time has run out", attempt)
        if not attempt.call.is_open:
            self._report_violation(Rule.START, "the request has its answer", attempt)
        if attempt.timeout_at_us > attempt.call.expires_us + DEADLINE_SLACK_US:
            self._report_violation(Rule.START, "it is given more time than the client has left", attempt)
        if why := self._forbidden_repeat_reason(attempt, now):
            self._report_violation(Rule.REPEAT, why, attempt)

    def check_closed(self, call: Call | None) -> None:
        """This process ends a connection whose client is there, with this request read and unanswered."""
        if call is not None and call.is_open:
            self._count(Rule.CLOSE, "a request that was read has no answer", request=call.id)

    def _forbidden_repeat_reason(self, attempt: Attempt, now: int) -> str:
        """Why an attempt is a repeat that the rules forbid; empty where it is none."""
        settings, call = self.in_force.settings, attempt.call
        before = [one for one in call.attempts[: attempt.index] if one.was_written]
        if attempt.index >= settings.max_attempts:
            return "more attempts than allowed"
        if not settings.second_copies and any(one.in_flight for one in before):
            return "an earlier attempt is still out"
        cls = settings.classes[call.cls]
        proofs = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        maybe = next((one for one in before if one.outcome not in proofs), None)
        if maybe is None or cls.effect == SAFE:
            return ""
        if cls.effect != KEYED:
            return "an earlier attempt may have run"
        late = now > maybe.sent_us + cls.window_us + TIME_SLACK_US
        return "the window for repeats is over" if late else ""

    def _report_violation(self, rule: Rule, why: str, attempt: Attempt) -> None:
        self._count(rule, why, request=attempt.call.id, copy=attempt.index, endpoint=attempt.endpoint)

    def _count(self, rule: Rule, why: str, **fields: int) -> None:
        self.counts[rule] += 1
        self.metrics.invariant_violated(rule)
        LOG.error("invariant violated", extra={"rule": rule, "why": why, **fields})
