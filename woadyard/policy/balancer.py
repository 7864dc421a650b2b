"""The life of requests: from arrival to the one final answer. `Balancer` (woadyard/interface.py) is composed
of parts that each know one decision. No I/O, no clock, no threads."""

from collections.abc import Mapping, Sequence
from math import inf

from woadyard.interface import (  # isort: skip
    CANCELLED, ERROR, FULL, KEYED, MOOT, OK, RESET, TIMEOUT, Action, Arrival, Cancel, Entry,
    Fail, Log, Outcome, Refuse, Send, Settings, Split, Watch,
)  # fmt: skip
from woadyard.policy.admission import FLOOR_PER_ENDPOINT, MAX_FLOOR, Admission, WorthRanking  # isort: skip
from woadyard.policy.health import FAILURE_FACTOR, Health, SlowStart
from woadyard.policy.membership import Membership
from woadyard.policy.picker import Picker
from woadyard.policy.request import Attempt, Request
from woadyard.policy.ring import Ring
from woadyard.policy.sequencer import KeySequencer
from woadyard.policy.state import TIMER_KINDS, TIMER_RETRY, TIMER_WATCH, UNLIMITED_INFLIGHT, Context, Endpoint

# Retry tokens earned by each first try, and the most saved up: retries add this share, and never multiply.
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.2, 5.0


class Balancer:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.ctx, self.settings = (ctx := Context(seed, settings)), settings
        self.actions, self.ring = ctx.actions, Ring(ctx)
        self.endpoints = self.ring.endpoints
        self.membership = Membership(ctx, self.ring)
        self.slow_start = SlowStart(ctx, self.ring)
        self.health = Health(ctx, self.ring, self.slow_start)
        self.picker = Picker(ctx, self.ring, self.health, self.slow_start)
        self.sequencer = KeySequencer(ctx)
        self.admission, self.worth_ranking = (
            Admission(ctx.longest_aim_us),
            WorthRanking(settings, ctx.longest_aim_us),
        )
        self.requests: dict[int, Request] = {}
        self.finished: dict[int, Request] = {}  # over, but with attempts still out
        self.retry_tokens = MAX_RETRY_TOKENS / 2

    def _take_actions(self, now: int) -> list[Action]:
        while request := self.sequencer.next_request(now):
            self._dispatch(now, request)
        out = self.actions.copy()
        self.actions.clear()
        return out

    def start(self, now: int, alone: bool = True, heartbeats: bool = False) -> list[Action]:
        self.ctx.send_rate.began_us = self.ctx.served_rate.began_us = now
        self.ctx.lease.start(now, alone, heartbeats, not self.settings.asks_discovery)
        self.membership.backoff.start(alone)
        return self._take_actions(now)

    def retune(self, now: int, settings: Settings) -> list[Action]:
        """New settings: what was learned stays, but by tenant only while the tenants are the same."""
        same, self.settings = settings.tenants == self.settings.tenants, settings
        self.ctx.apply_settings(settings)
        self.ctx.send_rate.memory_us = self.ctx.served_rate.memory_us = self.ctx.longest_aim_us
        self.worth_ranking = WorthRanking(settings, self.ctx.longest_aim_us)
        for endpoint in self.endpoints.values():
            endpoint.resize_health(self.ctx.class_tenant_count, same)
        return self._reclassify_all(now)

    def split(self, now: int, split: Split | None) -> list[Action]:
        """The experiment in force, or none."""
        self.ctx.split = split
        return self._reclassify_all(now)

    def _reclassify_all(self, now: int) -> list[Action]:
        for request in [*self.requests.values(), *self.finished.values()]:
            request.classify(self.ctx)
        self.ring.rebuild_groups()
        return self._take_actions(now)

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        self.membership.apply_list(now, mode, entries)
        return self._take_actions(now)

    def confirmed(self, now: int) -> list[Action]:
        """A heartbeat of the watch: nothing changed since the list that it told."""
        self.ctx.lease.confirm(now)
        return self._take_actions(now)

    def unreachable(self, now: int, since: int) -> list[Action]:
        """Nobody listened at discovery's address at that time."""
        self.ctx.lease.unreachable(since)
        return self._take_actions(now)

    def silent(self, now: int) -> list[Action]:
        """The watch told nothing for longer than between two heartbeats."""
        self.ctx.lease.silent()
        return self._take_actions(now)

    def moved(self, now: int) -> list[Action]:
        """Discovery has another address."""
        self.ctx.lease.moved(now)
        return self._take_actions(now)

    def detach(self, now: int, number: int) -> list[Action]:
        self.membership.detach(number)
        return self._take_actions(now)

    def attach(self, now: int, number: int) -> list[Action]:
        self.membership.attach(now, number)
        return self._take_actions(now)

    def trust(self, now: int, factors: Mapping[int, float]) -> list[Action]:
        """Others' verdicts by now: they lower an endpoint's weight and forbid nothing."""
        for endpoint in self.endpoints.values():
            endpoint.verdict_factor = factors.get(endpoint.id, 1.0)
        return self._take_actions(now)

    def limit(self, now: int, caps: Mapping[int, int], others: float = UNLIMITED_INFLIGHT) -> list[Action]:
        """This copy's shares of the limits that all keep together: by endpoint, and of the others."""
        for endpoint in self.endpoints.values():
            endpoint.max_inflight = caps.get(endpoint.id, others)
        return self._take_actions(now)

    def request(self, now: int, event: Arrival) -> list[Action]:
        request = Request(now, event, self.ctx)
        self.requests[request.id] = request
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        if self._is_admitted(now, event) and self.sequencer.enqueue(now, request):
            self._dispatch(now, request)
        else:
            self._refuse_or_fail(now, request)
        return self._take_actions(now)

    def whole(self, now: int, rid: int, expires: int) -> list[Action]:
        """The last byte of the request has come: its time runs from here."""
        request = self.requests.get(rid)
        if request is not None and request.is_body_pending:
            request.is_body_pending, request.arrived_us, request.expires_us = False, now, expires
            for attempt in request.attempts:
                if attempt.is_in_flight and not request.response_started_us:
                    attempt.set_transferring(now, False)
        return self._take_actions(now)

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        outcome = event.outcome
        endpoint = self.endpoints.get(event.endpoint)
        request = self.requests.get(event.request) or self.finished.get(event.request)
        self.membership.attempt_ended(now, event.endpoint, outcome)
        if endpoint is not None:
            endpoint.inflight, endpoint.last_activity_us = max(0, endpoint.inflight - 1), now
            if not endpoint.is_ready and not endpoint.inflight:
                del self.endpoints[endpoint.id]
            if outcome in FAILURE_FACTOR:
                self.health.record_failure(now, endpoint, outcome, request.class_tenant if request else 0)
        if request is not None and event.copy < len(request.attempts):
            if endpoint is not None and outcome == OK:
                self.health.record_success(now, endpoint, request, event.delay_us)
            self._attempt_ended(now, request, event)
        return self._take_actions(now)

    def head(self, now: int, event: Outcome) -> list[Action]:
        if (request := self.requests.get(event.request)) is not None:
            request.response_started_us = now
            request.attempts[event.copy].set_transferring(now, True)
        return self._take_actions(now)

    def gone(self, now: int, rid: int) -> list[Action]:
        if (request := self.requests.get(rid)) is not None:
            self._record_result(now, request, TIMEOUT)
            self._remove(now, request)
        return self._take_actions(now)

    def timer(self, now: int, token: int) -> list[Action]:
        value, kind = divmod(token, TIMER_KINDS)
        request = self.requests.get(value)
        if kind == TIMER_WATCH and self.settings.asks_discovery:
            self.membership.backoff.call_began_us = now
            self.actions.append(Watch(True))
        elif request is not None and not request.has_in_flight():
            self._dispatch(now, request)
        return self._take_actions(now)

    def _is_admitted(self, now: int, event: Arrival) -> bool:
        """Only where it enters: further down, a refusal would waste what the tiers above have done for it."""
        return self.settings.stage != 0 or self.admission.admits(
            now, self._measure_load(now), self.worth_ranking.rank(now, event), self.ctx.rng.random()
        )

    def _measure_load(self, now: int) -> int:
        """Requests that load the endpoints; tells admission how many of those bear them. What is out at a
        frozen one is no queue of the others, but where most look frozen it is one queue before all."""
        held, frozen, bear, ready = len(self.requests), 0, 0.0, self.ring.ready_order
        for _, one in ready:
            held -= one.transferring
            if self.health.is_stalled(now, one):
                held -= one.inflight - one.transferring
                frozen += 1
            else:
                bear += self.slow_start.capacity_share(now, one) * self.health.current(now, one, 0)
        if 2 * frozen >= len(ready):
            held, bear = len(self.requests), len(ready)
        self.admission.floor = min(MAX_FLOOR, FLOOR_PER_ENDPOINT * bear / self.settings.instances)
        return max(0, held)

    def _dispatch(self, now: int, request: Request) -> None:
        """Send the request somewhere, hold it within its aim, or end it."""
        if not request.may_attempt(now, self.settings) or self._is_unservable(now, request):
            self._refuse_or_fail(now, request)
            return
        if waits := self.sequencer.may_send(now, request):
            endpoint = self.picker.pick(now, request, due := self.membership.pick_trial(now, request))
            if endpoint is not None and self._send(now, request, endpoint, endpoint is due):
                return
        hold = self.ctx.retry_delay_us(request.cls.aim_us)
        if now + hold >= request.useful_until_us():
            self._refuse_or_fail(now, request)
        elif waits:
            self.ctx.set_timer(TIMER_RETRY, request.id, hold)

    def _is_unservable(self, now: int, request: Request) -> bool:
        """Whether there is nothing to wait for: all endpoints are taken out, or none has a lease. Behind
        the entry a request waits for a lease all the same: refusing it wastes the work done above."""
        if not self.ring.ready_order:
            return bool(self.membership.banned)
        if self.settings.stage or now < self.ctx.lease.expires_us:
            return False
        return not any(
            self.ctx.lease.allows(now, one.last_success_sent_us) for _, one in self.ring.ready_order
        )

    def _send(self, now: int, request: Request, endpoint: Endpoint, trial: bool = False) -> bool:
        """The one guard: every send passes here and keeps the rules: attempts, second copies, repeat scope
        and window, drain, membership lease, order, shared limit, cold budget."""
        if (
            not request.may_attempt(now, self.settings)
            or not endpoint.is_ready
            or not self.sequencer.may_send(now, request)
        ):
            return False
        lease = self.ctx.lease.expiry_us(endpoint.last_success_sent_us)
        if now >= lease:
            return False
        known = request.cls.effect != KEYED or request.in_scope(endpoint)
        if (
            endpoint.inflight >= endpoint.max_inflight
            or not known
            or not self.slow_start.try_spend(now, endpoint, trial)
        ):
            return False
        self.membership.trial_due_us.pop(endpoint.id, None)
        start_by = int(min(request.start_by_us(), lease)) if lease < inf else request.start_by_us()
        request.attempts.append(attempt := Attempt(endpoint, now))
        endpoint.last_activity_us = endpoint.last_activity_us if endpoint.inflight else now
        endpoint.inflight += 1
        attempt.set_transferring(now, request.is_body_pending)
        if request.key:
            self.sequencer.queues[request.key].attempts_in_flight += 1
        self.ctx.send_rate.add(now)
        self.actions.append(Send(request.id, endpoint.id, request.expires_us - now, endpoint.arm, start_by))
        return True

    def _attempt_ended(self, now: int, request: Request, event: Outcome) -> None:
        """One attempt ended: the request is over, waits for another attempt, or is tried again."""
        outcome, attempt = event.outcome, request.attempts[event.copy]
        attempt.set_transferring(now, False)
        attempt.is_in_flight = False
        request.is_body_consumed |= event.spent
        attempt.never_ran = outcome in self.ctx.never_ran_outcomes
        zone, zones = attempt.endpoint.zone, self.ctx.zone_router
        if (
            zones
            and outcome not in (FULL, MOOT, CANCELLED)
            and zones.record_outcome(now, zone, outcome != OK)
        ):
            self.actions.append(Log(f"zone {zone} is left"))
        self.sequencer.attempt_ended(now, request, outcome)
        if request.id not in self.requests:
            if request.key:
                self.sequencer.changed_keys.append(request.key)
            if not request.has_in_flight():
                del self.finished[request.id]
        elif event.over or outcome == OK:
            self._record_result(now, request, outcome)
            self._remove(now, request)
        elif not request.has_in_flight():
            self._retry(now, request, outcome)

    def _retry(self, now: int, request: Request, outcome: int) -> None:
        """Every attempt so far has failed: try again within the budget; one that never ran took no work."""
        spent = 0.0 if outcome in self.ctx.never_ran_outcomes else 1.0
        if pays := self.retry_tokens >= spent:
            self.retry_tokens -= spent
        if pays and request.may_attempt(now, self.settings):
            self._dispatch(now, request)
        else:
            self._record_result(now, request, outcome)
            self._refuse_or_fail(now, request)

    def _record_result(self, now: int, request: Request, outcome: int) -> None:
        """Tell admission how a request ended; fewer requests would not mend errors and resets."""
        if outcome not in (ERROR, RESET):
            took = (request.response_started_us or now) - request.arrived_us
            good = outcome == OK and took <= request.cls.aim_us
            self.admission.record_result(now, took, good, outcome == OK, request.cls.aim_us)

    def _refuse_or_fail(self, now: int, request: Request) -> None:
        """The one place that gives final answers. A refusal promises that a retry is harmless."""
        if request.response_started_us:
            return
        # It may come back when this copy would ask again: longer advice had tries come back together.
        pause = self.ctx.retry_delay_us(request.cls.aim_us) if self.settings.retry_after else 0
        self.actions.append(Refuse(request.id, pause) if request.is_retry_harmless() else Fail(request.id))
        self._remove(now, request)

    def _remove(self, now: int, request: Request) -> None:
        """The request is over: nothing more is sent; stop what is still out."""
        del self.requests[request.id]
        if request.has_in_flight():
            self.finished[request.id] = request
        self.sequencer.dequeue(request)
        if self.settings.can_cancel and not request.response_started_us:
            self.actions += [
                Cancel(request.id, copy) for copy, one in enumerate(request.attempts) if one.is_in_flight
            ]
