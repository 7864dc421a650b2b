"""Records what this sidecar acted on, span by span, until the list service has acknowledged it.

Does no I/O; times are µs of the caller's clock. Every request passes through the counting, so it
is a few additions; everything else happens once per report.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

from woadyard.audit.messages import Report, Row
from woadyard.audit.position import Position

RESEND_US = 4_000_000  # a report answered but not acknowledged is sent again after this


class Span:
    """A period on one position, with the counts of what was decided in it.

    Its counts may still change while `in_flight_count` attempts that began in it are in flight. `number`
    is that of the last of the `span_count` spans merged into it. Times are -1 where there was none. A `dirty`
    span changed since it was last sent, at `sent_at` µs.
    """

    __slots__ = (
        "attempts", "dirty", "first_us", "header", "in_flight_count", "last_us", "number", "position",
        "refusals", "sent_at", "sent_in_report", "since_us", "span_count", "unsent", "until_us",
    )  # fmt: skip

    def __init__(self, number: int, position: Position, now_us: int) -> None:
        self.number, self.position, self.since_us, self.span_count = number, position.to_text(), now_us, 1
        self.header = position.header_line()
        self.attempts = self.refusals = self.unsent = self.in_flight_count = 0
        self.first_us = self.last_us = self.until_us = -1
        self.dirty, self.sent_in_report, self.sent_at = True, 0, 0

    def record_decision(self, now_us: int) -> None:
        """Note the time of a decision made in this span."""
        if self.first_us < 0:
            self.first_us = now_us
        self.last_us, self.dirty = now_us, True

    def absorb(self, other: Span) -> None:
        """Merge the next span into this one; the sum has no position."""
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
    """The spans of this run that the list service has not acknowledged, and the reports built from them.

    At most `max_spans` are retained; beyond that the two oldest are merged. `merge_count` counts
    the merges.
    """

    def __init__(self, name: str, run: str, now_us: int, position: Position, max_spans: int = 512) -> None:
        self.name, self.run, self.start_us, self.max_spans = name, run, now_us, max_spans
        self.position = position
        self.open_span = Span(0, position, now_us)
        self.retained: dict[int, Span] = {0: self.open_span}
        self.in_flight: dict[tuple[int, int], Span] = {}  # by request and endpoint of the attempt
        self.last_report_number = self.merge_count = 0
        self.unacknowledged: set[int] = set()  # report numbers

    def set_position(self, now_us: int, position: Position) -> bool:
        """Start a span on this position; returns False if it is already the current one."""
        if position == self.position:
            return False
        self.open_span.until_us, self.open_span.dirty = now_us, True
        self.position = position
        self.open_span = Span(self.open_span.number + 1, position, now_us)
        self.retained[self.open_span.number] = self.open_span
        if len(self.retained) > self.max_spans:
            self._merge_oldest()
        return True

    # --- Decisions --------------------------------------------------------------------

    def record_attempt(self, now_us: int, request: int, endpoint: int) -> bytes:
        """Count an attempt that begins; returns the header line that reports the position to the endpoint."""
        span = self.open_span
        span.attempts += 1
        span.in_flight_count += 1
        span.record_decision(now_us)
        self.in_flight[request, endpoint] = span
        return span.header

    def record_attempt_end(self, request: int, endpoint: int, was_sent: bool) -> None:
        """Count an attempt that ended; `was_sent` is False if nothing was sent to the endpoint."""
        span = self.in_flight.pop((request, endpoint), None)
        if span is not None:
            span.in_flight_count -= 1
            if not was_sent:
                span.unsent += 1
                span.dirty = True

    def record_refusal(self, now_us: int) -> None:
        """Count a request that was rejected without an attempt."""
        self.open_span.refusals += 1
        self.open_span.record_decision(now_us)

    # --- Reports ----------------------------------------------------------------------

    def build_report(self, now_us: int, final: bool = False) -> Report:
        """Build the next report: spans that changed since they were last sent, or whose report was lost."""
        self.last_report_number += 1
        reported = [
            span for span in self.retained.values() if span.dirty or self._expire_unacknowledged(span, now_us)
        ]
        for span in reported:
            span.dirty, span.sent_in_report, span.sent_at = False, self.last_report_number, now_us
        self.unacknowledged.add(self.last_report_number)
        oldest = min((span.number for span in self.in_flight.values()), default=self.open_span.number)
        rows = [self._build_row(span) for span in reported]
        return Report(
            self.name, self.run, self.last_report_number, min(self.unacknowledged),
            self._ms_since_start(now_us), self.open_span.number, self.open_span.position, rows,
            oldest if oldest < self.open_span.number else None, final,
        )  # fmt: skip

    def report_failed(self, number: int) -> None:
        """Report `number` got no answer: the next one repeats its spans."""
        self.unacknowledged.discard(number)
        for span in self.retained.values():
            span.dirty = span.dirty or span.sent_in_report == number

    def acknowledge(self, numbers: Iterable[int]) -> None:
        """The list service has stored these reports durably: drop the completed spans last sent in them."""
        acknowledged = self.unacknowledged.intersection(numbers)
        self.unacknowledged -= acknowledged
        for span in list(self.retained.values()):
            if span.sent_in_report in acknowledged:
                span.sent_in_report = 0
            if span is not self.open_span and not (span.sent_in_report or span.dirty or span.in_flight_count):
                del self.retained[span.number]

    def _expire_unacknowledged(self, span: Span, now_us: int) -> bool:
        """Whether its report was answered but not acknowledged in time: that leader may have failed.

        If so, that report is no longer waited for.
        """
        if not span.sent_in_report or now_us - span.sent_at < RESEND_US:
            return False
        self.unacknowledged.discard(span.sent_in_report)
        return True

    def _build_row(self, span: Span) -> Row:
        times_ms = [
            self._ms_since_start(time_us) if time_us >= 0 else -1
            for time_us in (span.until_us, span.first_us, span.last_us)
        ]
        # The report itself has the open span's position.
        position = "" if span is self.open_span else span.position
        return Row(
            span.number, position, self._ms_since_start(span.since_us), times_ms[0],
            span.attempts, span.refusals, span.unsent, times_ms[1], times_ms[2], span.span_count,
        )  # fmt: skip

    def _ms_since_start(self, time_us: int) -> int:
        return (time_us - self.start_us) // 1000

    def _merge_oldest(self) -> None:
        """Merge the two oldest adjacent spans; a sum must not cover spans already stored."""
        numbers = list(self.retained)  # in order: a merged span takes the place of the two
        for first_number, second_number in pairwise(numbers):
            first, second = self.retained[first_number], self.retained[second_number]
            if second is not self.open_span and second.number - second.span_count == first.number:
                first.absorb(second)
                for key, span in self.in_flight.items():
                    if span is second:
                        self.in_flight[key] = first
                first.in_flight_count += second.in_flight_count
                # The sum is keyed by its last number, and keeps its place as the oldest.
                self.retained = {
                    (kept.number if kept is first else number): kept
                    for number, kept in self.retained.items()
                    if kept is not second
                }
                self.merge_count += 1
                return
