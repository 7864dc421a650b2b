"""Order by key: the requests of one key run one at a time, in the order taken."""

from collections import deque

from woadyard.interface import CANCELLED, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.state import TIMER_RETRY, Context


class KeyQueue:
    def __init__(self) -> None:
        self.requests: deque[Request] = deque()  # not over; the first has the turn
        self.attempts_in_flight = 0  # attempts without an outcome of any request, over or not
        self.rest_until_us = 0  # nothing of the next request is sent before this


class KeySequencer:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.queues: dict[int, KeyQueue] = {}
        self.changed_keys: list[int] = []  # keys that may have a next to go
        self.resting_keys: deque[tuple[int, int]] = deque()  # until when, and the key

    def may_send(self, now: int, request: Request) -> bool:
        """First of those not over, nothing of others out, no rest; one that was sent keeps its turn."""
        if not request.key or request.attempts:
            return True
        turn = self.queues[request.key]
        return turn.requests[0] is request and not turn.attempts_in_flight and now >= turn.rest_until_us

    def enqueue(self, now: int, request: Request) -> bool:
        """Whether to take it into its key's line: one that is left no time is refused unsent."""
        if not request.key:
            return True
        while self.resting_keys and self.resting_keys[0][0] <= now:  # keys long quiet are forgotten
            self.changed_keys.append(self.resting_keys.popleft()[1])
        turn = self.queues.setdefault(request.key, KeyQueue())
        ahead = len(turn.requests) * self.ctx.class_latencies[request.class_index].mean_us
        turn.requests.append(request)
        left = request.useful_until_us() - self.ctx.retry_delay_us(request.cls.aim_us) - now
        self.ctx.set_timer(TIMER_RETRY, request.id, max(0, left))
        return ahead < request.cls.aim_us

    def attempt_ended(self, now: int, request: Request, outcome: int) -> None:
        """One attempt ended; one that may still run has its key rest."""
        if request.key and (turn := self.queues.get(request.key)):
            turn.attempts_in_flight -= 1
            turn.rest_until_us = (
                now + self.ctx.settings.key_rest_us
                if outcome in (TIMEOUT, RESET, CANCELLED)
                else turn.rest_until_us
            )

    def dequeue(self, request: Request) -> None:
        """The request is over, and so may be its turn."""
        if (turn := self.queues.get(request.key)) and request in turn.requests:
            turn.requests.remove(request)
            self.changed_keys.append(request.key)

    def next_request(self, now: int) -> Request | None:
        """The next to go of the keys that moved; a key is forgotten once all of it is over."""
        while self.changed_keys:
            turn = self.queues.get(key := self.changed_keys.pop())
            if turn is None or turn.attempts_in_flight or (turn.requests and turn.requests[0].attempts):
                continue
            wait = turn.rest_until_us - now
            if turn.requests and wait <= 0:
                return turn.requests[0]
            if turn.requests:
                self.ctx.set_timer(TIMER_RETRY, turn.requests[0].id, wait)
            elif wait > 0:
                self.resting_keys.append((turn.rest_until_us, key))
            else:
                del self.queues[key]
        return None
