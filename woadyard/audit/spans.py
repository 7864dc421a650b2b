"""The sidecar's side: what this process acted on, span by span, until the ledger has it.

Pure: times are the caller's µs. Counting is on the way of every request, so it is a few
additions; all else happens once a report.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

from woadyard.audit.messages import Report, Row
from woadyard.audit.position import Position

RESEND_US = 4_000_000  # what was answered but not acked by then is told anew


class Span:
    """A time on one position. `out` attempts of it are under way: its counts may still change."""

    __slots__ = (
        "attempts", "dirty", "first_us", "header", "in_flight_count", "last_us", "number", "position",
        "refusals", "sent_at", "sent_in_report", "since_us", "span_count", "unsent", "until_us",
    )  # fmt: skip

    def __init__(self, k: int, position: Position, now: int) -> None:
        self.number, self.position, self.since_us, self.span_count = k, position.to_text(), now, 1
        self.header = position.header_line()
        self.attempts = self.refusals = self.unsent = self.in_flight_count = 0
        self.first_us = self.last_us = self.until_us = -1
        self.dirty, self.sent_in_report, self.sent_at = True, 0, 0

    def record_decision(self, now: int) -> None:
        if self.first_us < 0:
            self.first_us = now
        self.last_us, self.dirty = now, True

    def absorb(self, other: Span) -> None:
        """The span after this one becomes part of it; what is left is no one position's."""
        self.number, self.span_count, self.until_us, self.position = (
            other.number,
            self.span_count + other.span_count,
            other.until_us,
            "",
        )
        self.attempts += other.attempts
        self.refusals += other.refusals
        self.unsent += other.unsent
        self.first_us = other.first_us if self.first_us < 0 else self.first_us
        self.last_us = max(self.last_us, other.last_us)
        self.dirty = True


class SpanRecorder:
    """At most `most` spans are kept; past that the two oldest become one. `merged` counts them."""

    def __init__(self, name: str, run: str, now_us: int, position: Position, max_spans: int = 512) -> None:
        self.name, self.run, self.start_us, self.max_spans = name, run, now_us, max_spans
        self.position = position
        self.open_span = Span(0, position, now_us)
        self.retained: dict[int, Span] = {0: self.open_span}
        self.in_flight: dict[tuple[int, int], Span] = {}  # by request and endpoint
        self.last_report_number = self.merge_count = 0
        self.unacknowledged: set[int] = set()  # numbers sent, not acked

    def set_position(self, now: int, position: Position) -> bool:
        """From now on decisions are made on this position; False where it is the present one."""
        if position == self.position:
            return False
        self.open_span.until_us, self.open_span.dirty = now, True
        self.position = position
        self.open_span = Span(self.open_span.number + 1, position, now)
        self.retained[self.open_span.number] = self.open_span
        if len(self.retained) > self.max_spans:
            self._merge_oldest()
        return True

    # --- Decisions --------------------------------------------------------------------

    def record_attempt(self, now: int, request: int, endpoint: int) -> bytes:
        """The header that tells the endpoint the position."""
        span = self.open_span
        span.attempts += 1
        span.in_flight_count += 1
        span.record_decision(now)
        self.in_flight[request, endpoint] = span
        return span.header

    def record_attempt_end(self, request: int, endpoint: int, reached: bool) -> None:
        span = self.in_flight.pop((request, endpoint), None)
        if span is not None:
            span.in_flight_count -= 1
            if not reached:
                span.unsent += 1
                span.dirty = True

    def record_refusal(self, now: int) -> None:
        self.open_span.refusals += 1
        self.open_span.record_decision(now)

    # --- Reports ----------------------------------------------------------------------

    def build_report(self, now: int, final: bool = False) -> Report:
        """The next report: what changed since it was last told, or was told in vain."""
        self.last_report_number += 1
        told = [one for one in self.retained.values() if one.dirty or self._is_resend_due(one, now)]
        for one in told:
            one.dirty, one.sent_in_report, one.sent_at = False, self.last_report_number, now
        self.unacknowledged.add(self.last_report_number)
        oldest = min((one.number for one in self.in_flight.values()), default=self.open_span.number)
        rows = [self._build_row(one) for one in told]
        return Report(
            self.name, self.run, self.last_report_number, min(self.unacknowledged),
            self._ms_since_start(now), self.open_span.number, self.open_span.position, rows,
            oldest if oldest < self.open_span.number else None, final,
        )  # fmt: skip

    def report_failed(self, n: int) -> None:
        """No answer to report `n`: all of it goes into the next one."""
        self.unacknowledged.discard(n)
        for one in self.retained.values():
            one.dirty = one.dirty or one.sent_in_report == n

    def acknowledge(self, numbers: Iterable[int]) -> None:
        """The ledger has these for good: spans that are over and told in one of them go."""
        had = self.unacknowledged.intersection(numbers)
        self.unacknowledged -= had
        for one in list(self.retained.values()):
            if one.sent_in_report in had:
                one.sent_in_report = 0  # as told last, for good
            if one is not self.open_span and not (one.sent_in_report or one.dirty or one.in_flight_count):
                del self.retained[one.number]

    def _is_resend_due(self, one: Span, now: int) -> bool:
        """Answered, but not acked for long: the writer that had it may be gone."""
        if not one.sent_in_report or now - one.sent_at < RESEND_US:
            return False
        self.unacknowledged.discard(one.sent_in_report)
        return True

    def _build_row(self, one: Span) -> Row:
        ends = [
            self._ms_since_start(at) if at >= 0 else -1 for at in (one.until_us, one.first_us, one.last_us)
        ]
        # The open span's position is the report's: it need not be told twice.
        position = "" if one is self.open_span else one.position
        return Row(
            one.number, position, self._ms_since_start(one.since_us), ends[0],
            one.attempts, one.refusals, one.unsent, ends[1], ends[2], one.span_count,
        )  # fmt: skip

    def _ms_since_start(self, at: int) -> int:
        return (at - self.start_us) // 1000

    def _merge_oldest(self) -> None:
        """The two oldest neighbours become one: a sum must not reach over spans that the ledger has."""
        ks = list(self.retained)  # in their order: a span that grew by the next takes its place
        for one, other in pairwise(ks):
            first, second = self.retained[one], self.retained[other]
            if second is not self.open_span and second.number - second.span_count == first.number:
                first.absorb(second)
                for key, span in self.in_flight.items():
                    if span is second:
                        self.in_flight[key] = first
                first.in_flight_count += second.in_flight_count
                # Keyed by its last number, and still the oldest.
                self.retained = {
                    (v.number if v is first else k): v for k, v in self.retained.items() if v is not second
                }
                self.merge_count += 1
                return
