"""Reports to the list service what this process acts on, and obeys the answer.

A report goes out each `every-ms`, and soon after the position changed, to one replica; where that
fails, to the next one after a backoff. The service away changes nothing here: what was counted is
kept, within its bound, and told once it is back. A shut-out holds only while it is renewed.
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

from woadyard.audit.messages import Answer, AuditSettings, read
from woadyard.audit.position import REPORT_PATH, Position, digest
from woadyard.audit.spans import Spans
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
    """What the service's answers bring about here; all on the loop."""

    apply_list: Callable[[bytes], bool]  # a whole list, checked as one of the watch is
    restart_watch: Callable[[], None]  # at another replica
    set_shut_out: Callable[[bool], None]
    ignore_verdicts: Callable[[frozenset[str]], None]  # names whose verdicts count no more
    # A directive; the revision acted on from now on. PeerError where it is none.
    apply_plan: Callable[[Any], int] = lambda told: 0
    apply_experiment: Callable[[Any], int] = lambda told: 0
    collect_evidence: Callable[[], Any] = lambda: None  # goes with the next report
    reports_acknowledged: Callable[[Collection[int]], None] = lambda numbers: None


class Reporter:
    """An observer of the driver. `named` tells lineage and term of the list that is told right now."""

    def __init__(
        self,
        settings: AuditSettings,
        name: str,
        build: str,
        named: Callable[[], tuple[str, int]],
        orders: AuditHandlers,
        rng: random.Random,
    ) -> None:
        self.settings, self.latest_term, self.handlers, self.rng = settings, named, orders, rng
        self.replicas = [parse_address(one.strip()) for one in settings.service.split(",")]
        self.replica_index = rng.randrange(len(self.replicas))
        self.position = Position(build=build)
        self.spans = Spans(name, secrets.token_hex(6), now_us(), self.position, settings.spans)
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.position_changed = asyncio.Event()
        self.last_response_us = now_us()  # the last answer
        self.is_shut_out = False
        self.ignored_sidecars: frozenset[str] = frozenset()
        self.task: asyncio.Task[None] | None = None
        self.logged_errors: set[str] = set()  # faults of the service that are logged, until it answers well

    # --- What the driver tells --------------------------------------------------------

    def request_accepted(self, now: int, event: Arrival) -> None:
        pass

    def attempt_started(self, now: int, action: Send) -> bytes:
        return self.spans.attempt(now, action.request, action.endpoint)

    def attempt_ended(self, now: int, event: Outcome) -> None:
        self.spans.ended(event.request, event.endpoint, event.outcome != MOOT)

    def attempt_unsent(self, request: int, endpoint: int) -> None:
        """An attempt is about to end of which no byte was written."""
        self.spans.ended(request, endpoint, False)

    def request_answered(self, now: int, request: int, status: int) -> None:
        pass

    def request_refused(self, now: int, request: int) -> None:
        self.spans.refused(now)

    def list_applied(self, now: int, mode: int, version: int, raw: list[dict[str, Any]]) -> None:
        lineage, term = self.latest_term()
        self._update_position(now, lineage=lineage, term=term, generation=version)

    def settings_applied(self, now: int, settings: Settings, raw: dict[str, Any]) -> None:
        self._update_position(now, settings=digest(raw))

    def set_experiment(self, revision: int) -> None:
        """Acted on from now on; 0: none, and the next answer brings what there is."""
        self._update_position(now_us(), experiment=revision)

    def _update_position(self, now: int, **changes: Any) -> None:
        self.position = msgspec.structs.replace(self.position, **changes)
        if self.spans.act(now, self.position):
            self.position_changed.set()

    # --- Reports ----------------------------------------------------------------------

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())
        self.task.add_done_callback(_log_failure)

    async def close(self) -> None:
        """The last report: without it the service has a gap from the one before on."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
            await self._send_report(FINAL_TIMEOUT_S, final=True)

    async def _run(self) -> None:
        every_s = self.settings.every_ms / 1e3
        while True:
            if await self._send_report(CALL_TIMEOUT_S):
                self.backoff.reset()
                wait_s = every_s
            else:
                self.replica_index = (self.replica_index + 1) % len(self.replicas)
                wait_s = self.backoff.next_delay_s()
            self._expire_shut_out()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.position_changed.wait()
                    # A list moves all sidecars at once: they report spread over half of the time.
                    await asyncio.sleep(self.rng.uniform(0.0, every_s / 2))

    async def _send_report(self, within_s: float, final: bool = False) -> bool:
        self.position_changed.clear()
        report = self.spans.report(now_us(), final)
        report.evidence = self.handlers.collect_evidence()
        raw = msgspec.json.encode(report)
        try:
            at = self.replicas[self.replica_index]
            status, back = await fetch(at, "POST", REPORT_PATH, raw, timeout_s=within_s)
            if status != HTTPStatus.OK:
                raise PeerError(
                    f"the service answers {status}: {back[:200].decode(errors='replace').strip()}"
                )
            answer = read(back, Answer)
        except (FetchError, PeerError) as error:
            self.spans.failed(report.n)
            if isinstance(error, PeerError):
                self._log_once("report not taken", error)
            return False
        self.logged_errors.clear()
        self.last_response_us = now_us()
        self.spans.acked(answer.acks)
        self.handlers.reports_acknowledged(answer.acks)
        self._handle_answer(answer)
        return True

    # --- Answers ----------------------------------------------------------------------

    def _handle_answer(self, answer: Answer) -> None:
        if answer.state == BROUGHT_UP and answer.whole is not None:
            LOG.warning("behind: the list comes with the audit's answer", extra={"head": answer.head})
            self.handlers.restart_watch()
        for act in (self._apply_list, self._apply_plan, self._apply_experiment):
            try:
                act(answer)
            except PeerError as error:
                self._log_once("an answer of the audit is not used", error)
        if (out := frozenset(answer.out)) != self.ignored_sidecars:
            self.ignored_sidecars = out
            self.handlers.ignore_verdicts(out)
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

    def _set_shut_out(self, out: bool) -> None:
        if out != self.is_shut_out:
            self.is_shut_out = out
            LOG.warning("shut out by the audit" if out else "let in again")
            self.handlers.set_shut_out(out)

    def _expire_shut_out(self) -> None:
        """The service says nothing: that alone shuts nobody out."""
        if now_us() - self.last_response_us > self.settings.out_ms * 1000:
            self._set_shut_out(False)

    def _log_once(self, event: str, error: PeerError) -> None:
        if str(error) not in self.logged_errors and len(self.logged_errors) < 16:
            self.logged_errors.add(str(error))
            LOG.warning(event, extra=error.fields())


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()) is not None:
        LOG.error("fault in the audit's reporter", exc_info=error)


def now_us() -> int:
    return time.monotonic_ns() // 1000


def check_service_addresses(settings: AuditSettings | None) -> None:
    """ConfigError where its addresses are none."""
    if settings is not None:
        for one in settings.service.split(","):
            try:
                parse_address(one.strip())
            except ConfigError as error:
                raise ConfigError(f"audit.service: {error}") from None
