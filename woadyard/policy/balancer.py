"""The life of requests: from arrival to the one final answer. `Balancer` (woadyard/interface.py) is composed
of parts that each know one decision. No I/O, no clock, no threads."""

from collections.abc import Mapping, Sequence
from math import inf

from woadyard.interface import (  # isort: skip
    CANCELLED, ERROR, FULL, KEYED, MOOT, OK, RESET, TIMEOUT, Action, Arrival, Cancel, Entry,
    Fail, Log, Outcome, Refuse, Send, Settings, Split, Watch,
)  # fmt: skip
from woadyard.policy.admission import HELD_EACH, HELD_MOST, Admission, Worth  # isort: skip
from woadyard.policy.choice import Choice
from woadyard.policy.health import BLAME, Health, SlowStart
from woadyard.policy.membership import Membership
from woadyard.policy.order import Order
from woadyard.policy.request import Attempt, Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import MAX_HELD, TIMER_HOLD, TIMER_KINDS, TIMER_WATCH, Context, Endpoint

# Retry tokens earned by each first try, and the most saved up: retries add this share, and never multiply.
RETRY_EARN, RETRY_CAP = 0.2, 5.0


class Balancer:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.ctx, self.s = (ctx := Context(seed, settings)), settings
        self.out, self.ring = ctx.out, Ring(ctx)
        self.endpoints = self.ring.endpoints
        self.membership = Membership(ctx, self.ring)
        self.slow = SlowStart(ctx, self.ring)
        self.health = Health(ctx, self.ring, self.slow)
        self.choice = Choice(ctx, self.ring, self.health, self.slow)
        self.order = Order(ctx)
        self.admission, self.worth = Admission(ctx.longest_aim), Worth(settings, ctx.longest_aim)
        self.requests: dict[int, Request] = {}
        self.ended: dict[int, Request] = {}  # over, but with attempts still out
        self.retry_tokens = RETRY_CAP / 2

    def _taken(self, now: int) -> list[Action]:
        while request := self.order.next(now):
            self._try(now, request)
        out = self.out.copy()
        self.out.clear()
        return out

    def start(self, now: int, alone: bool = True, heartbeats: bool = False) -> list[Action]:
        self.ctx.sends.began = self.ctx.served.began = now
        self.ctx.lease.start(now, alone, heartbeats, not self.s.asks_discovery)
        self.membership.backoff.start(alone)
        return self._taken(now)

    def retune(self, now: int, settings: Settings) -> list[Action]:
        """New settings: what was learned stays, but by tenant only while the tenants are the same."""
        same, self.s = settings.tenants == self.s.tenants, settings
        self.ctx.derive(settings)
        self.ctx.sends.memory = self.ctx.served.memory = self.ctx.longest_aim
        self.worth = Worth(settings, self.ctx.longest_aim)
        for endpoint in self.endpoints.values():
            endpoint.retune(self.ctx.kinds, same)
        return self._settled(now)

    def split(self, now: int, split: Split | None) -> list[Action]:
        """The experiment in force, or none."""
        self.ctx.split = split
        return self._settled(now)

    def _settled(self, now: int) -> list[Action]:
        for request in [*self.requests.values(), *self.ended.values()]:
            request.settle(self.ctx)
        self.ring.cut()
        return self._taken(now)

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        self.membership.listed(now, mode, entries)
        return self._taken(now)

    def confirmed(self, now: int) -> list[Action]:
        """A heartbeat of the watch: nothing changed since the list that it told."""
        self.ctx.lease.confirm(now)
        return self._taken(now)

    def unreachable(self, now: int, since: int) -> list[Action]:
        """Nobody listened at discovery's address at that time."""
        self.ctx.lease.unreachable(since)
        return self._taken(now)

    def silent(self, now: int) -> list[Action]:
        """The watch told nothing for longer than between two heartbeats."""
        self.ctx.lease.silent()
        return self._taken(now)

    def moved(self, now: int) -> list[Action]:
        """Discovery has another address."""
        self.ctx.lease.moved(now)
        return self._taken(now)

    def detach(self, now: int, number: int) -> list[Action]:
        self.membership.detach(number)
        return self._taken(now)

    def attach(self, now: int, number: int) -> list[Action]:
        self.membership.attach(now, number)
        return self._taken(now)

    def trust(self, now: int, factors: Mapping[int, float]) -> list[Action]:
        """Others' verdicts by now: they lower an endpoint's weight and forbid nothing."""
        for endpoint in self.endpoints.values():
            endpoint.trust = factors.get(endpoint.id, 1.0)
        return self._taken(now)

    def limit(self, now: int, caps: Mapping[int, int], others: float = MAX_HELD) -> list[Action]:
        """This copy's shares of the limits that all keep together: by endpoint, and of the others."""
        for endpoint in self.endpoints.values():
            endpoint.cap = caps.get(endpoint.id, others)
        return self._taken(now)

    def request(self, now: int, event: Arrival) -> list[Action]:
        request = Request(now, event, self.ctx)
        self.requests[request.id] = request
        self.retry_tokens = min(RETRY_CAP, self.retry_tokens + RETRY_EARN)
        if self._admits(now, event) and self.order.queue(now, request):
            self._try(now, request)
        else:
            self._end(now, request)
        return self._taken(now)

    def whole(self, now: int, rid: int, expires: int) -> list[Action]:
        """The last byte of the request has come: its time runs from here."""
        request = self.requests.get(rid)
        if request is not None and request.loading:
            request.loading, request.arrived, request.expires = False, now, expires
            for attempt in request.attempts:
                if attempt.out and not request.streaming:
                    attempt.move(now, False)
        return self._taken(now)

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        outcome = event.outcome
        endpoint = self.endpoints.get(event.endpoint)
        request = self.requests.get(event.request) or self.ended.get(event.request)
        self.membership.ended(now, event.endpoint, outcome)
        if endpoint is not None:
            endpoint.inflight, endpoint.quiet_since = max(0, endpoint.inflight - 1), now
            if not endpoint.ready and not endpoint.inflight:
                del self.endpoints[endpoint.id]
            if outcome in BLAME:
                self.health.blame(now, endpoint, outcome, request.sort if request else 0)
        if request is not None and event.copy < len(request.attempts):
            if endpoint is not None and outcome == OK:
                self.health.praise(now, endpoint, request, event.delay_us)
            self._ended(now, request, event)
        return self._taken(now)

    def head(self, now: int, event: Outcome) -> list[Action]:
        if (request := self.requests.get(event.request)) is not None:
            request.streaming = now
            request.attempts[event.copy].move(now, True)
        return self._taken(now)

    def gone(self, now: int, rid: int) -> list[Action]:
        if (request := self.requests.get(rid)) is not None:
            self._result(now, request, TIMEOUT)
            self._forget(now, request)
        return self._taken(now)

    def timer(self, now: int, token: int) -> list[Action]:
        value, kind = divmod(token, TIMER_KINDS)
        request = self.requests.get(value)
        if kind == TIMER_WATCH and self.s.asks_discovery:
            self.membership.backoff.begun = now
            self.out.append(Watch(True))
        elif request is not None and not request.outstanding():
            self._try(now, request)
        return self._taken(now)

    def _admits(self, now: int, event: Arrival) -> bool:
        """Only where it enters: further down, a refusal would waste what the tiers above have done for it."""
        return self.s.stage != 0 or self.admission.admits(
            now, self._held(now), self.worth.place(now, event), self.ctx.rng.random()
        )

    def _held(self, now: int) -> int:
        """Requests that load the endpoints; tells admission how many of those bear them. What is out at a
        frozen one is no queue of the others, but where most look frozen it is one queue before all."""
        held, frozen, bear, ready = len(self.requests), 0, 0.0, self.ring.order
        for _, one in ready:
            held -= one.moving
            if self.health.stalled(now, one):
                held -= one.inflight - one.moving
                frozen += 1
            else:
                bear += self.slow.warmth(now, one) * self.health.of(now, one, 0)
        if 2 * frozen >= len(ready):
            held, bear = len(self.requests), len(ready)
        self.admission.least = min(HELD_MOST, HELD_EACH * bear / self.s.instances)
        return max(0, held)

    def _try(self, now: int, request: Request) -> None:
        """Send the request somewhere, hold it within its aim, or end it."""
        if not request.may_repeat(now, self.s) or self._hopeless(now, request):
            self._end(now, request)
            return
        if waits := self.order.has_turn(now, request):
            endpoint = self.choice.pick(now, request, due := self.membership.due(now, request))
            if endpoint is not None and self._send(now, request, endpoint, endpoint is due):
                return
        hold = self.ctx.pause(request.cls.aim_us)
        if now + hold >= request.last_us():
            self._end(now, request)
        elif waits:
            self.ctx.timer(TIMER_HOLD, request.id, hold)

    def _hopeless(self, now: int, request: Request) -> bool:
        """Whether there is nothing to wait for: all endpoints are taken out, or none has a lease. Behind
        the entry a request waits for a lease all the same: refusing it wastes the work done above."""
        if not self.ring.order:
            return bool(self.membership.banned)
        if self.s.stage or now < self.ctx.lease.expires:
            return False
        return not any(self.ctx.lease.allows(now, one.answered_at) for _, one in self.ring.order)

    def _send(self, now: int, request: Request, endpoint: Endpoint, trial: bool = False) -> bool:
        """The one guard: every send passes here and keeps the rules: attempts, second copies, repeat scope
        and window, drain, membership lease, order, shared limit, cold budget."""
        if not request.may_repeat(now, self.s) or not endpoint.ready or not self.order.has_turn(now, request):
            return False
        lease = self.ctx.lease.until(endpoint.answered_at)
        if now >= lease:
            return False
        known = request.cls.effect != KEYED or request.in_scope(endpoint)
        if endpoint.inflight >= endpoint.cap or not known or not self.slow.spend(now, endpoint, trial):
            return False
        self.membership.trials.pop(endpoint.id, None)
        start_by = int(min(request.start_by(), lease)) if lease < inf else request.start_by()
        request.attempts.append(attempt := Attempt(endpoint, now))
        endpoint.quiet_since = endpoint.quiet_since if endpoint.inflight else now
        endpoint.inflight += 1
        attempt.move(now, request.loading)
        if request.key:
            self.order.turns[request.key].out += 1
        self.ctx.sends.add(now)
        self.out.append(Send(request.id, endpoint.id, request.expires - now, endpoint.arm, start_by))
        return True

    def _ended(self, now: int, request: Request, event: Outcome) -> None:
        """One attempt ended: the request is over, waits for another attempt, or is tried again."""
        outcome, attempt = event.outcome, request.attempts[event.copy]
        attempt.move(now, False)
        attempt.out = False
        request.spent |= event.spent
        attempt.never_ran = outcome in self.ctx.proofs
        zone, zones = attempt.endpoint.zone, self.ctx.zones
        if zones and outcome not in (FULL, MOOT, CANCELLED) and zones.note(now, zone, outcome != OK):
            self.out.append(Log(f"zone {zone} is left"))
        self.order.ended(now, request, outcome)
        if request.id not in self.requests:
            if request.key:
                self.order.moved.append(request.key)
            if not request.outstanding():
                del self.ended[request.id]
        elif event.over or outcome == OK:
            self._result(now, request, outcome)
            self._forget(now, request)
        elif not request.outstanding():
            self._again(now, request, outcome)

    def _again(self, now: int, request: Request, outcome: int) -> None:
        """Every attempt so far has failed: try again within the budget; one that never ran took no work."""
        spent = 0.0 if outcome in self.ctx.proofs else 1.0
        if pays := self.retry_tokens >= spent:
            self.retry_tokens -= spent
        if pays and request.may_repeat(now, self.s):
            self._try(now, request)
        else:
            self._result(now, request, outcome)
            self._end(now, request)

    def _result(self, now: int, request: Request, outcome: int) -> None:
        """Tell admission how a request ended; fewer requests would not mend errors and resets."""
        if outcome not in (ERROR, RESET):
            took = (request.streaming or now) - request.arrived
            good = outcome == OK and took <= request.cls.aim_us
            self.admission.note(now, took, good, outcome == OK, request.cls.aim_us)

    def _end(self, now: int, request: Request) -> None:
        """The one place that gives final answers. A refusal promises that a retry is harmless."""
        if request.streaming:
            return
        # It may come back when this copy would ask again: longer advice had tries come back together.
        pause = self.ctx.pause(request.cls.aim_us) if self.s.retry_after else 0
        self.out.append(Refuse(request.id, pause) if request.harmless() else Fail(request.id))
        self._forget(now, request)

    def _forget(self, now: int, request: Request) -> None:
        """The request is over: nothing more is sent; stop what is still out."""
        del self.requests[request.id]
        if request.outstanding():
            self.ended[request.id] = request
        self.order.leave(request)
        if self.s.can_cancel and not request.streaming:
            self.out += [Cancel(request.id, copy) for copy, one in enumerate(request.attempts) if one.out]
