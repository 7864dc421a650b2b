"""Order by key: the requests of one key run one at a time, in the order taken."""

from collections import deque

from woadyard.interface import CANCELLED, RESET, TIMEOUT
from woadyard.policy.request import Request
from woadyard.policy.state import TIMER_HOLD, Context


class Turn:
    def __init__(self) -> None:
        self.line: deque[Request] = deque()  # not over; the first has the turn
        self.out = 0  # attempts without an outcome of any request, over or not
        self.rest = 0  # nothing of the next request is sent before this


class Order:
    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.turns: dict[int, Turn] = {}
        self.moved: list[int] = []  # keys that may have a next to go
        self.resting: deque[tuple[int, int]] = deque()  # until when, and the key

    def has_turn(self, now: int, request: Request) -> bool:
        """First of those not over, nothing of others out, no rest; one that was sent keeps its turn."""
        if not request.key or request.attempts:
            return True
        turn = self.turns[request.key]
        return turn.line[0] is request and not turn.out and now >= turn.rest

    def queue(self, now: int, request: Request) -> bool:
        """Whether to take it into its key's line: one that is left no time is refused unsent."""
        if not request.key:
            return True
        while self.resting and self.resting[0][0] <= now:  # keys long quiet are forgotten
            self.moved.append(self.resting.popleft()[1])
        turn = self.turns.setdefault(request.key, Turn())
        ahead = len(turn.line) * self.ctx.latencies[request.kind].mean
        turn.line.append(request)
        left = request.last_us() - self.ctx.pause(request.cls.aim_us) - now
        self.ctx.timer(TIMER_HOLD, request.id, max(0, left))
        return ahead < request.cls.aim_us

    def ended(self, now: int, request: Request, outcome: int) -> None:
        """One attempt ended; one that may still run has its key rest."""
        if request.key and (turn := self.turns.get(request.key)):
            turn.out -= 1
            if outcome in (TIMEOUT, RESET, CANCELLED):
                turn.rest = now + self.ctx.s.key_rest_us

    def leave(self, request: Request) -> None:
        """The request is over, and so may be its turn."""
        if (turn := self.turns.get(request.key)) and request in turn.line:
            turn.line.remove(request)
            self.moved.append(request.key)

    def next(self, now: int) -> Request | None:
        """The next to go of the keys that moved; a key is forgotten once all of it is over."""
        while self.moved:
            turn = self.turns.get(key := self.moved.pop())
            if turn is None or turn.out or (turn.line and turn.line[0].attempts):
                continue
            wait = turn.rest - now
            if turn.line and wait <= 0:
                return turn.line[0]
            if turn.line:
                self.ctx.timer(TIMER_HOLD, turn.line[0].id, wait)
            elif wait > 0:
                self.resting.append((turn.rest, key))
            else:
                del self.turns[key]
        return None
