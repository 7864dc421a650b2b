"""Structured logs: one JSON object a line on stderr, rate-limited per event.

Each line has `time` (ISO 8601, UTC), `level`, `logger`, `event` and the fields
the caller passed as `extra`. An event repeated faster than its budget is
suppressed; the number suppressed rides on its next line that passes, and
`RateLimitFilter.log_suppressed` says it where that line never comes.
"""

from __future__ import annotations

import logging
import sys
from dataclasses import dataclass
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LEVELS = ("debug", "info", "warning", "error")
# Per event: this many lines in a window of this many seconds, the rest counted.
BURST, WINDOW_S = 5, 10.0
ROOT = "woadyard"


@dataclass
class EventBudget:
    """What one event has spent in its window, and what it held back."""

    window_start_s: float
    passed: int = 0
    suppressed: int = 0


class RateLimitFilter(logging.Filter):
    """Lets `burst` records of each event through per `window_s` seconds.

    It holds back what peers bring about, from the loggers below `woadyard`;
    the lines of `woadyard` itself follow an operator's act and pass whole.

    An event is the pair (logger, message template), so lines that differ
    only in their fields share a budget. Time is the record's own `created`:
    the filter reads no clock, and tests make records at the times they want.
    """

    def __init__(self, burst: int = BURST, window_s: float = WINDOW_S) -> None:
        super().__init__()
        self.burst, self.window_s = burst, window_s
        self.budgets: dict[tuple[str, str], EventBudget] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.name == ROOT or record.__dict__.get("summary"):
            return True  # the wiring's own: a start, a reload, an operator's act
        key = (record.name, str(record.msg))
        budget = self.budgets.get(key)
        if budget is None or record.created - budget.window_start_s >= self.window_s:
            held = budget.suppressed if budget is not None else 0
            budget = self.budgets[key] = EventBudget(record.created, suppressed=held)
        if budget.passed >= self.burst:
            budget.suppressed += 1
            return False
        budget.passed += 1
        if budget.suppressed:
            record.suppressed, budget.suppressed = budget.suppressed, 0
        return True

    def log_suppressed(self, log: logging.Logger) -> int:
        """Say what was held back and has not been said; returns that count."""
        total = 0
        for (name, event), budget in self.budgets.items():
            if budget.suppressed:
                total += budget.suppressed
                log.warning(
                    "log lines suppressed",
                    extra={"of": event, "from": name, "count": budget.suppressed, "summary": True},
                )
                budget.suppressed = 0
        return total


def build_formatter() -> logging.Formatter:
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger", "message": "event"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
        reserved_attrs=[*RESERVED_ATTRIBUTES, "summary"],
    )


RESERVED_ATTRIBUTES = (
    "args", "created", "exc_info", "exc_text", "filename", "funcName", "levelno", "lineno", "module", "msecs",
    "msg", "pathname", "process", "processName", "relativeCreated", "stack_info", "thread",
    "threadName", "taskName",
)  # fmt: skip


def setup(level: str = "info", stream: TextIO | None = None) -> RateLimitFilter:
    """Send the `woadyard` loggers' lines to `stream` (stderr), from `level` up.

    Returns the filter, whose `log_suppressed` the caller runs now and then. Called
    again, as at a reload, it replaces what an earlier call set.
    """
    log = logging.getLogger(ROOT)
    for old in list(log.handlers):
        log.removeHandler(old)
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(build_formatter())
    limit = RateLimitFilter()
    handler.addFilter(limit)
    log.addHandler(handler)
    log.setLevel(level.upper())
    log.propagate = False
    return limit
