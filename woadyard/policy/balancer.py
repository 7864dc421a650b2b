"""The life of requests, from arrival to the one final response.

`Balancer` implements the events of `woadyard.interface`. It is composed of parts that each know one decision,
and does no I/O, reads no clock and starts no threads.
"""

from collections.abc import Mapping, Sequence
from math import inf

from woadyard.interface import (  # isort: skip
    CANCELLED, ERROR, FULL, KEYED, MOOT, OK, RESET, TIMEOUT, Action, Arrival, Cancel, EndReason,
    Entry, Fail, Log, Outcome, Refuse, Send, Settings, Split, Watch,
)  # fmt: skip
from woadyard.policy.admission import FLOOR_PER_ENDPOINT, MAX_FLOOR, Admission, WorthRanking  # isort: skip
from woadyard.policy.health import FAILURE_FACTOR, Health, SlowStart
from woadyard.policy.membership import Membership
from woadyard.policy.picker import Picker
from woadyard.policy.request import Attempt, Request
from woadyard.policy.ring import Ring
from woadyard.policy.sequencer import KeySequencer
from woadyard.policy.state import (
    TIMER_KINDS,
    TIMER_RETRY,
    TIMER_WATCH,
    UNLIMITED_INFLIGHT,
    Context,
    Endpoint,
)

# Retry tokens earned by each request, and the most that are saved up: retries add at most this share to the
# traffic and never multiply it.
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.2, 5.0


class Balancer:
    """The balancer of one sidecar; each event method returns the actions to carry out, in order."""

    def __init__(self, seed: int, initial_settings: Settings) -> None:
        self.ctx, self.settings = (ctx := Context(seed, initial_settings)), initial_settings
        self.actions, self.ring = ctx.actions, Ring(ctx)
        self.endpoints = self.ring.endpoints
        self.membership = Membership(ctx, self.ring)
        self.slow_start = SlowStart(ctx, self.ring)
        self.health = Health(ctx, self.ring, self.slow_start)
        self.picker = Picker(ctx, self.ring, self.health, self.slow_start)
        self.sequencer = KeySequencer(ctx)
        self.admission, self.worth_ranking = (
            Admission(ctx.longest_aim_us),
            WorthRanking(initial_settings, ctx.longest_aim_us),
        )
        self.requests: dict[int, Request] = {}
        self.finished: dict[int, Request] = {}  # finished, but with attempts still in flight
        self.retry_tokens = MAX_RETRY_TOKENS / 2

    def _take_actions(self, now: int) -> list[Action]:
        while request := self.sequencer.next_request(now):
            self._dispatch(now, request)
        actions = self.actions.copy()
        self.actions.clear()
        return actions

    def start(self, now: int, alone: bool = True, heartbeats: bool = False) -> list[Action]:
        """The sidecar starts, alone or beside the process that it replaces."""
        self.ctx.send_rate.began_us = self.ctx.served_rate.began_us = now
        self.ctx.lease.start(now, alone, heartbeats, not self.settings.asks_discovery)
        self.membership.backoff.start(alone)
        return self._take_actions(now)

    def retune(self, now: int, new_settings: Settings) -> list[Action]:
        """Apply new settings. What was learned stays, by tenant only while the tenants are the same."""
        tenants_unchanged, self.settings = new_settings.tenants == self.settings.tenants, new_settings
        self.ctx.apply_settings(new_settings)
        self.ctx.send_rate.memory_us = self.ctx.served_rate.memory_us = self.ctx.longest_aim_us
        self.worth_ranking = WorthRanking(new_settings, self.ctx.longest_aim_us)
        for endpoint in self.endpoints.values():
            endpoint.resize_health(self.ctx.class_tenant_count, tenants_unchanged)
        return self._reclassify_all(now)

    def split(self, now: int, split: Split | None) -> list[Action]:
        """Apply the experiment in force, or none."""
        self.ctx.split = split
        return self._reclassify_all(now)

    def _reclassify_all(self, now: int) -> list[Action]:
        for request in [*self.requests.values(), *self.finished.values()]:
            request.classify(self.ctx)
        self.ring.rebuild_groups()
        return self._take_actions(now)

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        """Apply a list of endpoints, or the failure to get one."""
        self.membership.apply_list(now, mode, entries)
        return self._take_actions(now)

    def confirmed(self, now: int) -> list[Action]:
        """The watch sent a heartbeat: nothing has changed since the list that it delivered."""
        self.ctx.lease.confirm(now)
        return self._take_actions(now)

    def unreachable(self, now: int, since: int) -> list[Action]:
        """Nothing listened at discovery's address at the time `since`."""
        self.ctx.lease.unreachable(since)
        return self._take_actions(now)

    def moved(self, now: int) -> list[Action]:
        """Discovery has a new address."""
        self.ctx.lease.moved(now)
        return self._take_actions(now)

    def detach(self, now: int, endpoint_id: int) -> list[Action]:
        """An operator takes an endpoint out of use."""
        self.membership.detach(endpoint_id)
        return self._take_actions(now)

    def attach(self, now: int, endpoint_id: int) -> list[Action]:
        """An operator puts an endpoint back into use."""
        self.membership.attach(now, endpoint_id)
        return self._take_actions(now)

    def trust(self, now: int, factors: Mapping[int, float]) -> list[Action]:
        """Apply other sidecars' verdicts: they lower an endpoint's weight but never exclude it."""
        for endpoint in self.endpoints.values():
            endpoint.verdict_factor = factors.get(endpoint.id, 1.0)
        return self._take_actions(now)

    def limit(self, now: int, caps: Mapping[int, int], others: float = UNLIMITED_INFLIGHT) -> list[Action]:
        """Apply this sidecar's shares of the limits of the tier, by endpoint, and the cap of all others."""
        for endpoint in self.endpoints.values():
            endpoint.max_inflight = caps.get(endpoint.id, others)
        return self._take_actions(now)

    def request(self, now: int, event: Arrival) -> list[Action]:
        """Take a request, which gets exactly one final response."""
        request = Request(now, event, self.ctx)
        self.requests[request.id] = request
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        if not self._is_admitted(now, event):
            self._refuse_or_fail(now, request, EndReason.ADMISSION)
        elif not self.sequencer.enqueue(now, request):
            self._refuse_or_fail(now, request, EndReason.KEY_QUEUE)
        else:
            self._dispatch(now, request)
        return self._take_actions(now)

    def whole(self, now: int, request_id: int, expires_us: int) -> list[Action]:
        """The last byte of the request body has arrived: the request's time runs from now."""
        request = self.requests.get(request_id)
        if request is not None and request.is_body_pending:
            request.is_body_pending, request.arrived_us, request.expires_us = False, now, expires_us
            for attempt in request.attempts:
                if attempt.is_in_flight and not request.response_started_us:
                    attempt.set_transferring(now, False)
        return self._take_actions(now)

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        """An attempt ended."""
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
        """A response that is streamed to the client has started."""
        if (request := self.requests.get(event.request)) is not None:
            request.response_started_us = now
            request.attempts[event.copy].set_transferring(now, True)
        return self._take_actions(now)

    def gone(self, now: int, request_id: int) -> list[Action]:
        """The client disconnected: the request needs no response any more."""
        if (request := self.requests.get(request_id)) is not None:
            self._record_result(now, request, TIMEOUT)
            self._remove(now, request)
        return self._take_actions(now)

    def timer(self, now: int, token: int) -> list[Action]:
        """A timer has fired."""
        value, kind = divmod(token, TIMER_KINDS)
        request = self.requests.get(value)
        if kind == TIMER_WATCH and self.settings.asks_discovery:
            self.membership.backoff.call_began_us = now
            self.actions.append(Watch(True))
        elif request is not None and not request.has_in_flight():
            self._dispatch(now, request)
        return self._take_actions(now)

    def _is_admitted(self, now: int, event: Arrival) -> bool:
        """Only the entry tier rejects: further down, a rejection would waste the work of the tiers above."""
        return self.settings.stage != 0 or self.admission.admits(
            now, self._measure_load(now), self.worth_ranking.rank(now, event), self.ctx.rng.random()
        )

    def _measure_load(self, now: int) -> int:
        """Return the number of pending requests that load the endpoints, and set the floor of admission.

        Attempts at a stalled endpoint do not queue at the others and do not count. Where at least half of the
        endpoints look stalled, all requests count, as one queue before all endpoints.
        """
        pending, stalled_count, capacity, ready = len(self.requests), 0, 0.0, self.ring.ready_order
        for _, endpoint in ready:
            pending -= endpoint.transferring
            if self.health.is_stalled(now, endpoint):
                pending -= endpoint.inflight - endpoint.transferring
                stalled_count += 1
            else:
                capacity += self.slow_start.capacity_share(now, endpoint) * self.health.current(
                    now, endpoint, 0
                )
        if 2 * stalled_count >= len(ready):
            pending, capacity = len(self.requests), len(ready)
        self.admission.floor = min(MAX_FLOOR, FLOOR_PER_ENDPOINT * capacity / self.settings.instances)
        return max(0, pending)

    def _dispatch(self, now: int, request: Request) -> None:
        """Send the request to an endpoint, keep it for another try within its aim, or end it."""
        if not request.may_attempt(now, self.settings):
            self._refuse_or_fail(now, request, EndReason.NO_ATTEMPT_LEFT)
            return
        if self._is_unservable(now, request):
            self._refuse_or_fail(now, request, EndReason.NO_LEASE)
            return
        if has_turn := self.sequencer.may_send(now, request):
            endpoint = self.picker.pick(now, request, trial := self.membership.pick_trial(now, request))
            if endpoint is not None and self._send(now, request, endpoint, endpoint is trial):
                return
        delay_us = self.ctx.retry_delay_us(request.cls.aim_us)
        if now + delay_us >= request.useful_until_us():
            self._refuse_or_fail(now, request, EndReason.NO_ENDPOINT)
        elif has_turn:
            self.ctx.set_timer(TIMER_RETRY, request.id, delay_us)

    def _is_unservable(self, now: int, request: Request) -> bool:
        """Whether waiting is pointless: all endpoints are detached, or there is no lease.

        Behind the entry tier a request waits for a lease all the same, as rejecting it would waste the work
        of the tiers above.
        """
        if not self.ring.ready_order:
            return bool(self.membership.banned)
        return not (self.settings.stage or self.ctx.lease.is_valid(now))

    def _send(self, now: int, request: Request, endpoint: Endpoint, is_trial: bool = False) -> bool:
        """Send one attempt if every rule allows it, and return whether it was sent.

        All sends pass this guard. It enforces the limits on attempts and second copies, the scope and window
        of retries, drains, the membership lease, the order of keys, shared limits and the cold budget.
        """
        if (
            not request.may_attempt(now, self.settings)
            or not endpoint.is_ready
            or not self.sequencer.may_send(now, request)
        ):
            return False
        lease_end_us = self.ctx.lease.expires_us
        if now >= lease_end_us:
            return False
        is_key_known = request.cls.effect != KEYED or request.in_scope(endpoint)
        if (
            endpoint.inflight >= endpoint.max_inflight
            or not is_key_known
            or not self.slow_start.try_spend(now, endpoint, is_trial)
        ):
            return False
        self.membership.trial_due_us.pop(endpoint.id, None)
        start_by_us = (
            int(min(request.start_by_us(), lease_end_us)) if lease_end_us < inf else request.start_by_us()
        )
        request.attempts.append(attempt := Attempt(endpoint, now))
        endpoint.last_activity_us = endpoint.last_activity_us if endpoint.inflight else now
        endpoint.inflight += 1
        attempt.set_transferring(now, request.is_body_pending)
        if request.key:
            self.sequencer.queues[request.key].attempts_in_flight += 1
        self.ctx.send_rate.add(now)
        self.actions.append(
            Send(request.id, endpoint.id, request.expires_us - now, endpoint.arm, start_by_us)
        )
        return True

    def _attempt_ended(self, now: int, request: Request, event: Outcome) -> None:
        """One attempt ended: finish the request, wait for another attempt, or retry."""
        outcome, attempt = event.outcome, request.attempts[event.copy]
        attempt.set_transferring(now, False)
        attempt.is_in_flight = False
        request.is_body_consumed |= event.spent
        attempt.never_ran = outcome in self.ctx.never_ran_outcomes
        zone, zone_router = attempt.endpoint.zone, self.ctx.zone_router
        if (
            zone_router
            and outcome not in (FULL, MOOT, CANCELLED)
            and zone_router.record_outcome(now, zone, outcome != OK)
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
        """All attempts so far have failed: try again within the retry budget.

        An attempt that never ran caused no work, so the next one costs no token.
        """
        cost = 0.0 if outcome in self.ctx.never_ran_outcomes else 1.0
        if is_affordable := self.retry_tokens >= cost:
            self.retry_tokens -= cost
        if is_affordable and request.may_attempt(now, self.settings):
            self._dispatch(now, request)
        else:
            self._record_result(now, request, outcome)
            reason = EndReason.NO_ATTEMPT_LEFT if is_affordable else EndReason.RETRY_BUDGET
            self._refuse_or_fail(now, request, reason)

    def _record_result(self, now: int, request: Request, outcome: int) -> None:
        """Pass a result to admission, except errors and resets, which fewer requests would not prevent."""
        if outcome not in (ERROR, RESET):
            took_us = (request.response_started_us or now) - request.arrived_us
            in_time = outcome == OK and took_us <= request.cls.aim_us
            self.admission.record_result(now, took_us, in_time, outcome == OK, request.cls.aim_us)

    def _refuse_or_fail(self, now: int, request: Request, reason: EndReason) -> None:
        """Give the final response of an unserved request; `Refuse` promises that a retry is harmless."""
        if request.response_started_us:
            return
        # The client may return when this sidecar would retry; longer delays made clients return together.
        retry_after_us = self.ctx.retry_delay_us(request.cls.aim_us) if self.settings.retry_after else 0
        self.actions.append(
            Refuse(request.id, retry_after_us, reason)
            if request.is_retry_harmless()
            else Fail(request.id, reason)
        )
        self._remove(now, request)

    def _remove(self, now: int, request: Request) -> None:
        """Finish a request: nothing more is sent, and attempts still in flight are cancelled."""
        del self.requests[request.id]
        if request.has_in_flight():
            self.finished[request.id] = request
        self.sequencer.dequeue(request)
        if self.settings.can_cancel and not request.response_started_us:
            self.actions += [
                Cancel(request.id, index)
                for index, attempt in enumerate(request.attempts)
                if attempt.is_in_flight
            ]
