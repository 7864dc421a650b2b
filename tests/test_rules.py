"""Property tests of the rules on attempts, drains, answers and sequential keys.

An independent checker plays random legal events to a balancer and verifies its actions. No endpoint is
modelled: outcomes, lists and timers come in any legal order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from woadyard.interface import (
    CANCELLED,
    DRAINING,
    ERROR,
    FULL,
    GONE,
    KEYED,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    MOOT,
    NO_CONNECT,
    OK,
    READY,
    RESET,
    SAFE,
    SCOPE_ALL,
    SCOPE_CELL,
    SCOPE_ZONE,
    TIMEOUT,
    UNSAFE,
    Action,
    Arrival,
    Cancel,
    Entry,
    Fail,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    Settings,
    Timer,
)
from woadyard.policy import Balancer
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.sequencer import KeySequencer

MS = 1_000
SECOND = 1_000_000
CLASSES = tuple(
    RequestClass(effect, scope, window_us=300 * MS, aim_us=100 * MS, deadline_us=SECOND, worth=1.0 + effect)
    for effect, scope in (
        (SAFE, SCOPE_ALL),
        (UNSAFE, SCOPE_ALL),
        (KEYED, SCOPE_ALL),
        (KEYED, SCOPE_ZONE),
        (KEYED, SCOPE_CELL),
    )
)
SEQUENTIAL = tuple(replace(CLASSES[n], sequential=True) for n in (0, 1, 4))
CLASSES += SEQUENTIAL


@dataclass
class RecordedAttempt:
    """An attempt that the balancer sent; times in µs."""

    endpoint: int
    sent_us: int
    times_out_us: int
    result: int | None = None  # its outcome
    ended_us: int = 0


@dataclass
class RecordedRequest:
    """A request that the balancer received."""

    cls: RequestClass
    expires_us: int
    key: int = 0
    attempts: list[RecordedAttempt] = field(default_factory=list)
    is_over: bool = False


class RuleChecker:
    """Plays events to one balancer and checks each of its actions."""

    def __init__(self, seed: int, config: Settings) -> None:
        self.config = config
        self.now = SECOND
        self.balancer = Balancer(seed, config)
        self.entries: dict[int, Entry] = {}
        self.listed: set[int] = set()
        self.records: dict[int, RecordedRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.cold: list[tuple[int, int]] = []
        self.never_ran = {NO_CONNECT, MOOT} if config.full_unproven else {NO_CONNECT, MOOT, FULL}
        self.check_actions(self.balancer.start(self.now))

    def scope_group(self, cls: RequestClass, endpoint: int) -> int:
        entry = self.entries[endpoint]
        return {SCOPE_ALL: 0, SCOPE_ZONE: entry.zone, SCOPE_CELL: entry.cell}[cls.scope]

    def check_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(action)
            elif isinstance(action, Timer):
                assert action.delay_us >= 0
                self.timers.append((self.now + max(1, action.delay_us), action.token))
            elif isinstance(action, Cancel):
                assert self.config.can_cancel
                assert action.copy < len(self.records[action.request].attempts)

    def check_send(self, action: Send) -> None:
        record = self.records[action.request]
        assert not record.is_over, "nothing after the final answer"
        assert action.endpoint in self.listed, "attempts go to ready endpoints only"
        assert self.now < record.expires_us and action.timeout_us > 0
        assert len(record.attempts) < self.config.max_attempts
        may_have_run = [attempt for attempt in record.attempts if attempt.result not in self.never_ran]
        if any(attempt.result is None for attempt in record.attempts):
            assert self.config.second_copies
        assert record.cls.effect != UNSAFE or not may_have_run, "an unsafe request is not repeated"
        if record.cls.effect == KEYED:
            for attempt in may_have_run:
                assert self.scope_group(record.cls, attempt.endpoint) == self.scope_group(
                    record.cls, action.endpoint
                )
                assert self.now - attempt.sent_us < record.cls.window_us
        if record.key:
            for request_id, other in self.records.items():
                if request_id >= action.request or other.key != record.key:
                    continue
                assert other.is_over, "requests of one key run one at a time, in order of arrival"
                for attempt in other.attempts:
                    assert attempt.result is not None, "nothing of an earlier request is in flight"
                    if attempt.result in (TIMEOUT, RESET, CANCELLED):
                        assert self.now >= attempt.ended_us + self.config.key_rest_us, "the key rests"
        record.attempts.append(
            RecordedAttempt(action.endpoint, self.now, min(record.expires_us, self.now + action.timeout_us))
        )
        entry = self.entries[action.endpoint]
        if entry.boot and self.now - entry.boot < self.config.cold_us:
            self.cold.append((self.now, action.endpoint))

    def check_answer(self, action: Refuse | Fail) -> None:
        record = self.records[action.request]
        assert not record.is_over, "exactly one final answer"
        assert self.now <= record.expires_us + self.config.answer_slack_us, "in time"
        if isinstance(action, Refuse):
            harmless = record.cls.effect == SAFE or (
                record.cls.effect == KEYED and record.cls.scope == SCOPE_ALL
            )
            assert harmless or all(attempt.result in self.never_ran for attempt in record.attempts)
        record.is_over = True

    # Events

    def members(self, mode: int, entries: list[Entry]) -> None:
        if mode in (LIST_FULL, LIST_CACHED):
            self.listed = set()
        for entry in entries if mode != LIST_FAILED else ():
            self.entries[entry.endpoint] = entry
            (self.listed.add if entry.phase == READY else self.listed.discard)(entry.endpoint)
        self.check_actions(self.balancer.members(self.now, mode, entries if mode != LIST_FAILED else ()))

    def request(self, cls: int, timeout_us: int, tenant: int) -> None:
        request_id = len(self.records) + 1
        key = request_id % 3
        self.records[request_id] = RecordedRequest(
            CLASSES[cls], self.now + timeout_us, key * CLASSES[cls].sequential
        )
        arrival = Arrival(
            request_id, cls, self.now + timeout_us, tenant, key, work_us=1000 * (request_id % 7)
        )
        self.check_actions(self.balancer.request(self.now, arrival))

    def outcome(self, choice: int, outcome: int) -> None:
        in_flight = [
            (request_id, index)
            for request_id, record in self.records.items()
            for index, attempt in enumerate(record.attempts)
            if attempt.result is None
        ]
        if in_flight:
            self.end_attempt(*in_flight[choice % len(in_flight)], outcome)

    def storm(self, outcome: int, rounds: int) -> None:
        """End all attempts in flight with one outcome, in so many rounds."""
        for _ in range(rounds):
            for request_id, record in list(self.records.items()):
                for index, attempt in enumerate(list(record.attempts)):
                    if attempt.result is None:
                        self.end_attempt(request_id, index, outcome)

    def end_attempt(self, request_id: int, index: int, outcome: int) -> None:
        record, attempt = self.records[request_id], self.records[request_id].attempts[index]
        attempt.result, attempt.ended_us = outcome, self.now
        record.is_over |= outcome == OK
        report = (float(request_id % 5),) if request_id % 2 else None
        done = Outcome(
            request_id, index, attempt.endpoint, outcome, self.now - attempt.sent_us, record.is_over, report
        )
        self.check_actions(self.balancer.outcome(self.now, done))

    def leave(self, choice: int) -> None:
        unfinished = [request_id for request_id, record in self.records.items() if not record.is_over]
        if unfinished:
            request_id = unfinished[choice % len(unfinished)]
            self.records[request_id].is_over = True
            self.check_actions(self.balancer.gone(self.now, request_id))
            self.check_actions(self.balancer.gone(self.now, request_id))

    def pass_time(self, duration_us: int) -> None:
        """Fire timers and timeouts in order; a timeout is never later than the client's deadline."""
        end_us = self.now + duration_us
        while True:
            due = [(time_us, 0, token, 0) for time_us, token in self.timers]
            for request_id, record in self.records.items():
                due += [
                    (attempt.times_out_us, 1, request_id, index)
                    for index, attempt in enumerate(record.attempts)
                    if attempt.result is None
                ]
            if not due or min(due)[0] > end_us:
                break
            time_us, kind, value, index = min(due)
            self.now = max(self.now, time_us)
            if kind == 0:
                self.timers.remove((time_us, value))
                self.check_actions(self.balancer.timer(self.now, value))
            else:
                self.end_attempt(value, index, TIMEOUT)
        self.now = end_us


ENTRIES = st.lists(
    st.builds(
        Entry,
        endpoint=st.integers(1, 9),
        phase=st.sampled_from((READY, READY, READY, DRAINING, GONE)),
        boot=st.sampled_from((0, 0, SECOND, 2 * SECOND)),
        rating=st.just(1.0),
        cell=st.integers(0, 3),
        zone=st.integers(0, 1),
        kind=st.just(0),
    ),
    max_size=9,
    unique_by=lambda entry: entry.endpoint,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("members"), st.sampled_from((LIST_FULL, LIST_DELTA, LIST_CACHED, LIST_FAILED)), ENTRIES
        ),
        st.tuples(
            st.just("request"), st.integers(0, 7), st.sampled_from((0, 1, 50 * MS, SECOND)), st.integers(0, 3)
        ),
        st.tuples(
            st.just("outcome"),
            st.integers(0, 50),
            st.sampled_from((OK, ERROR, FULL, TIMEOUT, NO_CONNECT, RESET, CANCELLED, MOOT)),
        ),
        st.tuples(st.just("storm"), st.sampled_from((ERROR, FULL, TIMEOUT, NO_CONNECT)), st.integers(1, 4)),
        st.tuples(st.just("leave"), st.integers(0, 50)),
        st.tuples(st.just("pass_time"), st.integers(0, 300 * MS)),
    ),
    max_size=60,
)
CONFIGS = st.builds(
    Settings,
    classes=st.just(CLASSES),
    me=st.integers(0, 2),
    instances=st.just(3),
    stage=st.integers(0, 1),
    tenants=st.sampled_from(((), (5.0, 1.0))),
    over_share_worth=st.just(0.1),
    asks_discovery=st.booleans(),
    report_fields=st.sampled_from(((), ("held",))),
    reports_pulled=st.booleans(),
    key_rest_us=st.sampled_from((0, 50 * MS)),
    full_unproven=st.booleans(),
    can_cancel=st.booleans(),
    second_copies=st.booleans(),
    max_attempts=st.integers(1, 4),
    answer_slack_us=st.just(20 * MS),
    cold_share=st.just(0.2),
    cold_us=st.just(20 * SECOND),
    tip_multiple=st.just(3.0),
)


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(seed=st.integers(0, 2**32), config=CONFIGS, steps=STEPS, first=ENTRIES)
def test_rules_hold_over_random_legal_events(
    seed: int, config: Settings, steps: list[tuple[str, *tuple[object, ...]]], first: list[Entry]
) -> None:
    checker = RuleChecker(seed, config)
    checker.members(LIST_CACHED, [entry for entry in first if entry.phase != GONE])
    for name, *arguments in steps:
        if name == "members" and arguments[0] in (LIST_FULL, LIST_CACHED):
            arguments[1] = [entry for entry in arguments[1] if entry.phase != GONE]  # type: ignore[attr-defined]
        getattr(checker, name)(*arguments)
    checker.pass_time(5 * SECOND)
    unanswered = [request_id for request_id, record in checker.records.items() if not record.is_over]
    assert not unanswered, "every request gets a final answer"
    assert not checker.balancer.requests
    assert not any(
        queue.unfinished or queue.attempts_in_flight for queue in checker.balancer.sequencer.queues.values()
    )


def run_twice(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> list[list[tuple[int, int]]]:
    config = Settings(classes=CLASSES, max_attempts=3, second_copies=True, can_cancel=True)
    runs = []
    for _ in range(2):
        checker = RuleChecker(seed, config)
        checker.members(LIST_CACHED, [Entry(n, READY, 0, 1.0, n % 3, n % 2, 0) for n in range(1, 9)])
        for name, *arguments in steps:
            if name != "members":
                getattr(checker, name)(*arguments)
        runs.append(
            [
                (attempt.endpoint, attempt.sent_us)
                for record in checker.records.values()
                for attempt in record.attempts
            ]
        )
    return runs


@settings(derandomize=True, deadline=None, max_examples=50, database=None)
@given(seed=st.integers(0, 2**32), steps=STEPS)
def test_same_events_give_the_same_actions(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> None:
    first, second = run_twice(seed, steps)
    assert first == second


@pytest.mark.parametrize(
    ("part", "guard", "broken", "cls", "why"),
    [
        (KeySequencer, "may_send", True, 5, "requests of one key run one at a time"),
        (Request, "may_attempt", True, 1, "an unsafe request is not repeated"),
        (Ring, "remove", False, 0, "attempts go to ready endpoints only"),
    ],
)
def test_the_checker_detects_each_rule_broken(
    monkeypatch: pytest.MonkeyPatch, part: type, guard: str, broken: bool, cls: int, why: str
) -> None:
    """Each guard is disabled in turn, and the checker must fail."""

    def play() -> None:
        checker = RuleChecker(1, Settings(classes=CLASSES, max_attempts=3, can_cancel=True))
        ready = [Entry(n, READY, 0, 1.0, 0, 0, 0) for n in range(1, 5)]
        checker.members(LIST_FULL, ready)
        checker.members(LIST_DELTA, [replace(entry, phase=DRAINING) for entry in ready[:3]])
        for _ in range(7):
            checker.request(cls, SECOND, 0)
        checker.members(LIST_DELTA, ready)
        checker.storm(ERROR, 2)

    play()
    monkeypatch.setattr(part, guard, lambda *_: broken)
    with pytest.raises(AssertionError, match=why):
        play()
