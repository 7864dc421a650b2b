"""Reports to the list service which list and settings this process acts on, and applies the responses.

A report is sent every `every-ms`, and soon after the position changed, to one replica; after a
failure, to the next replica after a backoff. While the service is unreachable the process keeps
serving: its counts are kept, within their bound, and reported once the service is back. A shut-out
lasts only while the service renews it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec

from woadyard.audit.messages import Answer, AuditSettings, decode_message
from woadyard.audit.position import REPORT_PATH, Position, settings_digest
from woadyard.audit.spans import SpanRecorder
from woadyard.audit.straggler import BROUGHT_UP, SHUT_OUT
from woadyard.errors import ConfigError, PeerError
from woadyard.interface import MOOT, Arrival, Outcome, Send, Settings
from woadyard.net.backoff import Backoff
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch

CALL_TIMEOUT_S, FINAL_TIMEOUT_S = 2.0, 0.3
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.2, 2.0
LOG = logging.getLogger(__name__)


@dataclass
class AuditHandlers:
    """Callbacks that apply the service's responses; all are called on the event loop."""

    apply_list: Callable[[bytes], bool]  # a whole list, validated like one from the watch
    restart_watch: Callable[[], None]  # with another replica
    set_shut_out: Callable[[bool], None]
    ignore_verdicts: Callable[[frozenset[str]], None]  # of the sidecars with these names
    # These take a directive and return the revision now in force; PeerError if it is invalid.
    apply_plan: Callable[[Any], int] = lambda directive: 0
    apply_experiment: Callable[[Any], int] = lambda directive: 0
    collect_evidence: Callable[[], Any] = lambda: None  # for the next report
    reports_acknowledged: Callable[[Collection[int]], None] = lambda numbers: None


class Reporter:
    """Observer of the driver that reports its position to the audit.

    `latest_term` returns lineage and term of the list that is being applied.
    """

    def __init__(
        self,
        settings: AuditSettings,
        name: str,
        build: str,
        latest_term: Callable[[], tuple[str, int]],
        handlers: AuditHandlers,
        rng: random.Random,
    ) -> None:
        self.settings, self.latest_term, self.handlers, self.rng = settings, latest_term, handlers, rng
        self.replicas = [parse_address(address.strip()) for address in settings.service.split(",")]
        self.replica_index = rng.randrange(len(self.replicas))
        self.position = Position(build=build)
        self.spans = SpanRecorder(name, secrets.token_hex(6), now_us(), self.position, settings.spans)
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.position_changed = asyncio.Event()
        self.last_response_us = now_us()
        self.is_shut_out = False
        self.ignored_sidecars: frozenset[str] = frozenset()
        self.task: asyncio.Task[None] | None = None
        self.logged_errors: set[str] = set()  # texts, until the next successful report

    # --- Events from the driver -------------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        pass

    def attempt_started(self, now: int, action: Send) -> bytes:
        return self.spans.record_attempt(now, action.request, action.endpoint)

    def attempt_ended(self, now: int, event: Outcome) -> None:
        self.spans.record_attempt_end(event.request, event.endpoint, event.outcome != MOOT)

    def attempt_unsent(self, request: int, endpoint: int) -> None:
        """Note that an attempt is about to end without a byte written."""
        self.spans.record_attempt_end(request, endpoint, False)

    def request_answered(self, now: int, request: int, status: int) -> None:
        pass

    def request_refused(self, now: int, request: int) -> None:
        self.spans.record_refusal(now)

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        lineage, term = self.latest_term()
        self._update_position(now, lineage=lineage, term=term, generation=version)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self._update_position(now, settings=settings_digest(raw))

    def set_experiment(self, revision: int) -> None:
        """Set the experiment's revision in force; after 0, none, the next response has the directive."""
        self._update_position(now_us(), experiment=revision)

    def _update_position(self, now: int, **changes: Any) -> None:
        self.position = msgspec.structs.replace(self.position, **changes)
        if self.spans.set_position(now, self.position):
            self.position_changed.set()

    # --- Reports ----------------------------------------------------------------------

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())
        self.task.add_done_callback(_log_failure)

    async def close(self) -> None:
        """Send the final report; without it the service has a gap after the previous one."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
            await self._send_report(FINAL_TIMEOUT_S, final=True)

    async def _run(self) -> None:
        interval_s = self.settings.every_ms / 1e3
        while True:
            if await self._send_report(CALL_TIMEOUT_S):
                self.backoff.reset()
                wait_s = interval_s
            else:
                self.replica_index = (self.replica_index + 1) % len(self.replicas)
                wait_s = self.backoff.next_delay_s()
            self._expire_shut_out()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.position_changed.wait()
                    # A new list reaches all sidecars at once: spread their reports over half of the interval.
                    await asyncio.sleep(self.rng.uniform(0.0, interval_s / 2))

    async def _send_report(self, report_timeout_s: float, final: bool = False) -> bool:
        self.position_changed.clear()
        report = self.spans.build_report(now_us(), final)
        report.evidence = self.handlers.collect_evidence()
        raw = msgspec.json.encode(report)
        try:
            address = self.replicas[self.replica_index]
            status, response = await fetch(address, "POST", REPORT_PATH, raw, timeout_s=report_timeout_s)
            if status != HTTPStatus.OK:
                raise PeerError(
                    f"the service responded {status}: {response[:200].decode(errors='replace').strip()}"
                )
            answer = decode_message(response, Answer)
        except (FetchError, PeerError) as error:
            self.spans.report_failed(report.n)
            if isinstance(error, PeerError):
                self._log_once("report not taken", error)
            return False
        self.logged_errors.clear()
        self.last_response_us = now_us()
        self.spans.acknowledge(answer.acks)
        self.handlers.reports_acknowledged(answer.acks)
        self._handle_answer(answer)
        return True

    # --- Responses --------------------------------------------------------------------

    def _handle_answer(self, answer: Answer) -> None:
        if answer.state == BROUGHT_UP and answer.whole is not None:
            LOG.warning("behind: the list comes with the audit's answer", extra={"head": answer.head})
            self.handlers.restart_watch()
        for apply in (self._apply_list, self._apply_plan, self._apply_experiment):
            try:
                apply(answer)
            except PeerError as error:
                self._log_once("audit response ignored", error)
        if (shut_out := frozenset(answer.out)) != self.ignored_sidecars:
            self.ignored_sidecars = shut_out
            self.handlers.ignore_verdicts(shut_out)
        self._set_shut_out(answer.state == SHUT_OUT)

    def _apply_list(self, answer: Answer) -> None:
        if answer.whole is not None:
            self.handlers.apply_list(msgspec.json.encode(answer.whole))

    def _apply_plan(self, answer: Answer) -> None:
        if answer.plan is not None:
            self._update_position(now_us(), plan=self.handlers.apply_plan(answer.plan))

    def _apply_experiment(self, answer: Answer) -> None:
        if answer.experiment is not None:
            self.set_experiment(self.handlers.apply_experiment(answer.experiment))

    def _set_shut_out(self, is_shut_out: bool) -> None:
        if is_shut_out != self.is_shut_out:
            self.is_shut_out = is_shut_out
            LOG.warning("shut out by the audit" if is_shut_out else "shut-out ended")
            self.handlers.set_shut_out(is_shut_out)

    def _expire_shut_out(self) -> None:
        """End a shut-out that the service no longer renews: its silence shuts no sidecar out."""
        if now_us() - self.last_response_us > self.settings.out_ms * 1000:
            self._set_shut_out(False)

    def _log_once(self, event: str, error: PeerError) -> None:
        if str(error) not in self.logged_errors and len(self.logged_errors) < 16:
            self.logged_errors.add(str(error))
            LOG.warning(event, extra=error.fields())


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        LOG.error("audit reporter failed", exc_info=error)


def now_us() -> int:
    """Return the monotonic time in µs."""
    return time.monotonic_ns() // 1000


def check_service_addresses(settings: AuditSettings | None) -> None:
    """Raise ConfigError if an address of the service is invalid."""
    if settings is not None:
        for address in settings.service.split(","):
            try:
                parse_address(address.strip())
            except ConfigError as error:
                raise ConfigError(f"audit.service: {error}") from None
