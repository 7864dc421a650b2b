"""Structured logs: one JSON object per line on stderr, rate-limited per event.

Each line has `time` (ISO 8601, UTC), `level`, `logger`, `event` and the fields
that were passed as `extra`. An event that is logged faster than its budget is
suppressed; its next line that passes carries the number suppressed, and
`RateLimitFilter.log_suppressed` logs it where no such line follows.
"""

from __future__ import annotations

import logging
import sys
from dataclasses import dataclass
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LEVELS = ("debug", "info", "warning", "error")
# Lines of one event that pass in a window of this many seconds; the rest are counted.
BURST, WINDOW_S = 5, 10.0
ROOT = "woadyard"


@dataclass
class EventBudget:
    """The lines of one event that passed in its window, and those suppressed."""

    window_start_s: float
    passed: int = 0
    suppressed: int = 0


class RateLimitFilter(logging.Filter):
    """Passes `burst` records of each event per `window_s` seconds.

    It limits the loggers below `woadyard`, whose lines peers can cause; the lines
    of `woadyard` itself follow an operator's action and always pass.

    An event is the pair (logger, message template), so lines that differ only in
    their fields share a budget. Time is the record's own `created`: the filter
    reads no clock, and tests create records at the times they need.
    """

    def __init__(self, burst: int = BURST, window_s: float = WINDOW_S) -> None:
        super().__init__()
        self.burst, self.window_s = burst, window_s
        self.budgets: dict[tuple[str, str], EventBudget] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.name == ROOT or record.__dict__.get("summary"):
            return True  # a start, a reload, an operator's action, or a summary of this filter
        key = (record.name, str(record.msg))
        budget = self.budgets.get(key)
        if budget is None or record.created - budget.window_start_s >= self.window_s:
            carried_over = budget.suppressed if budget is not None else 0
            budget = self.budgets[key] = EventBudget(record.created, suppressed=carried_over)
        if budget.passed >= self.burst:
            budget.suppressed += 1
            return False
        budget.passed += 1
        if budget.suppressed:
            record.suppressed, budget.suppressed = budget.suppressed, 0
        return True

    def log_suppressed(self, log: logging.Logger) -> int:
        """Log the counts of suppressed lines that no line has carried yet; return their sum."""
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
    """Return the formatter that writes a record as one JSON object."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger", "message": "event"},
        datefmt="%Y-%m-%dT%H:%M:%S%z",
        reserved_attrs=[*RESERVED_ATTRIBUTES, "summary"],
    )


# Attributes of a record that are not fields of the line.
RESERVED_ATTRIBUTES = (
    "args", "created", "exc_info", "exc_text", "filename", "funcName", "levelno", "lineno", "module", "msecs",
    "msg", "pathname", "process", "processName", "relativeCreated", "stack_info", "thread",
    "threadName", "taskName",
)  # fmt: skip


def setup(level: str = "info", stream: TextIO | None = None) -> RateLimitFilter:
    """Send the lines of the `woadyard` loggers from `level` up to `stream` (stderr).

    Returns the filter; the caller runs its `log_suppressed` periodically. A repeated
    call replaces what an earlier one set up.
    """
    log = logging.getLogger(ROOT)
    for old_handler in list(log.handlers):
        log.removeHandler(old_handler)
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(build_formatter())
    rate_limit = RateLimitFilter()
    handler.addFilter(rate_limit)
    log.addHandler(handler)
    log.setLevel(level.upper())
    log.propagate = False
    return rate_limit
