"""Sequential keys: the requests of one key run one at a time, in the order of their arrival."""

from collections import deque

from woadyard.interface import CANCELLED, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.state import TIMER_RETRY, Context


class KeyQueue:
    """The requests of one key."""

    def __init__(self) -> None:
        self.unfinished: deque[Request] = deque()  # the first one may run
        self.attempts_in_flight = 0  # of all requests of the key, finished or not
        self.rest_until_us = 0  # nothing of the next request is sent before this time


class KeySequencer:
    """Queues requests by key."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.queues: dict[int, KeyQueue] = {}
        self.changed_keys: list[int] = []  # keys whose next request may be able to run
        self.resting_keys: deque[tuple[int, int]] = deque()  # end of the rest, and the key

    def may_send(self, now: int, request: Request) -> bool:
        """Whether it is the request's turn.

        It is first in its queue, no attempt of other requests is in flight, and the key does not rest. A
        request that has been sent keeps its turn.
        """
        if not request.key or request.attempts:
            return True
        queue = self.queues[request.key]
        return queue.unfinished[0] is request and not queue.attempts_in_flight and now >= queue.rest_until_us

    def enqueue(self, now: int, request: Request) -> bool:
        """Append a request to the queue of its key. Return False if those ahead leave it no time."""
        if not request.key:
            return True
        while self.resting_keys and self.resting_keys[0][0] <= now:  # drop keys that became idle
            self.changed_keys.append(self.resting_keys.popleft()[1])
        queue = self.queues.setdefault(request.key, KeyQueue())
        expected_wait_us = len(queue.unfinished) * self.ctx.class_latencies[request.class_index].mean_us
        queue.unfinished.append(request)
        left_us = request.useful_until_us() - self.ctx.retry_delay_us(request.cls.aim_us) - now
        self.ctx.set_timer(TIMER_RETRY, request.id, max(0, left_us))
        return expected_wait_us < request.cls.aim_us

    def attempt_ended(self, now: int, request: Request, outcome: int) -> None:
        """Record the end of an attempt. The key rests after one that may still be running."""
        if request.key and (queue := self.queues.get(request.key)):
            queue.attempts_in_flight -= 1
            queue.rest_until_us = (
                now + self.ctx.settings.key_rest_us
                if outcome in (TIMEOUT, RESET, CANCELLED)
                else queue.rest_until_us
            )

    def dequeue(self, request: Request) -> None:
        """Remove a finished request from its queue."""
        if (queue := self.queues.get(request.key)) and request in queue.unfinished:
            queue.unfinished.remove(request)
            self.changed_keys.append(request.key)

    def next_request(self, now: int) -> Request | None:
        """Return a request that may run now that its key has changed. Queues no longer needed are dropped."""
        while self.changed_keys:
            queue = self.queues.get(key := self.changed_keys.pop())
            if (
                queue is None
                or queue.attempts_in_flight
                or (queue.unfinished and queue.unfinished[0].attempts)
            ):
                continue
            rest_us = queue.rest_until_us - now
            if queue.unfinished and rest_us <= 0:
                return queue.unfinished[0]
            if queue.unfinished:
                self.ctx.set_timer(TIMER_RETRY, queue.unfinished[0].id, rest_us)
            elif rest_us > 0:
                self.resting_keys.append((queue.rest_until_us, key))
            else:
                del self.queues[key]
        return None
