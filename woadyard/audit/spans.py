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
        "attempts", "dirty", "first", "header", "k", "last", "of", "out", "position", "refusals", "sent",
        "sent_at", "since", "unsent", "until",
    )  # fmt: skip

    def __init__(self, k: int, position: Position, now: int) -> None:
        self.k, self.position, self.since, self.of = k, position.text(), now, 1
        self.header = position.header()
        self.attempts = self.refusals = self.unsent = self.out = 0
        self.first = self.last = self.until = -1
        self.dirty, self.sent, self.sent_at = True, 0, 0

    def decided(self, now: int) -> None:
        if self.first < 0:
            self.first = now
        self.last, self.dirty = now, True

    def absorb(self, other: Span) -> None:
        """The span after this one becomes part of it; what is left is no one position's."""
        self.k, self.of, self.until, self.position = other.k, self.of + other.of, other.until, ""
        self.attempts += other.attempts
        self.refusals += other.refusals
        self.unsent += other.unsent
        self.first = other.first if self.first < 0 else self.first
        self.last = max(self.last, other.last)
        self.dirty = True


class Spans:
    """At most `most` spans are kept; past that the two oldest become one. `merged` counts them."""

    def __init__(self, name: str, run: str, now: int, position: Position, most: int = 512) -> None:
        self.name, self.run, self.start, self.most = name, run, now, most
        self.position = position
        self.open = Span(0, position, now)
        self.kept: dict[int, Span] = {0: self.open}
        self.under_way: dict[tuple[int, int], Span] = {}  # by request and endpoint
        self.n = self.merged = 0
        self.waiting: set[int] = set()  # numbers sent, not acked

    def act(self, now: int, position: Position) -> bool:
        """From now on decisions are made on this position; False where it is the present one."""
        if position == self.position:
            return False
        self.open.until, self.open.dirty = now, True
        self.position = position
        self.open = Span(self.open.k + 1, position, now)
        self.kept[self.open.k] = self.open
        if len(self.kept) > self.most:
            self._merge()
        return True

    # --- Decisions --------------------------------------------------------------------

    def attempt(self, now: int, request: int, endpoint: int) -> bytes:
        """The header that tells the endpoint the position."""
        span = self.open
        span.attempts += 1
        span.out += 1
        span.decided(now)
        self.under_way[request, endpoint] = span
        return span.header

    def ended(self, request: int, endpoint: int, reached: bool) -> None:
        span = self.under_way.pop((request, endpoint), None)
        if span is not None:
            span.out -= 1
            if not reached:
                span.unsent += 1
                span.dirty = True

    def refused(self, now: int) -> None:
        self.open.refusals += 1
        self.open.decided(now)

    # --- Reports ----------------------------------------------------------------------

    def report(self, now: int, final: bool = False) -> Report:
        """The next report: what changed since it was last told, or was told in vain."""
        self.n += 1
        told = [one for one in self.kept.values() if one.dirty or self._lost(one, now)]
        for one in told:
            one.dirty, one.sent, one.sent_at = False, self.n, now
        self.waiting.add(self.n)
        oldest = min((one.k for one in self.under_way.values()), default=self.open.k)
        rows = [self._row(one) for one in told]
        return Report(
            self.name, self.run, self.n, min(self.waiting), self._ms(now), self.open.k, self.open.position,
            rows, oldest if oldest < self.open.k else None, final,
        )  # fmt: skip

    def failed(self, n: int) -> None:
        """No answer to report `n`: all of it goes into the next one."""
        self.waiting.discard(n)
        for one in self.kept.values():
            one.dirty = one.dirty or one.sent == n

    def acked(self, numbers: Iterable[int]) -> None:
        """The ledger has these for good: spans that are over and told in one of them go."""
        had = self.waiting.intersection(numbers)
        self.waiting -= had
        for one in list(self.kept.values()):
            if one.sent in had:
                one.sent = 0  # as told last, for good
            if one is not self.open and not (one.sent or one.dirty or one.out):
                del self.kept[one.k]

    def _lost(self, one: Span, now: int) -> bool:
        """Answered, but not acked for long: the writer that had it may be gone."""
        if not one.sent or now - one.sent_at < RESEND_US:
            return False
        self.waiting.discard(one.sent)
        return True

    def _row(self, one: Span) -> Row:
        ends = [self._ms(at) if at >= 0 else -1 for at in (one.until, one.first, one.last)]
        # The open span's position is the report's: it need not be told twice.
        position = "" if one is self.open else one.position
        return Row(
            one.k, position, self._ms(one.since), ends[0], one.attempts, one.refusals, one.unsent,
            ends[1], ends[2], one.of,
        )  # fmt: skip

    def _ms(self, at: int) -> int:
        return (at - self.start) // 1000

    def _merge(self) -> None:
        """The two oldest neighbours become one: a sum must not reach over spans that the ledger has."""
        ks = list(self.kept)  # in their order: a span that grew by the next takes its place
        for one, other in pairwise(ks):
            first, second = self.kept[one], self.kept[other]
            if second is not self.open and second.k - second.of == first.k:
                first.absorb(second)
                for key, span in self.under_way.items():
                    if span is second:
                        self.under_way[key] = first
                first.out += second.out
                # Keyed by its last number, and still the oldest.
                self.kept = {(v.k if v is first else k): v for k, v in self.kept.items() if v is not second}
                self.merged += 1
                return
