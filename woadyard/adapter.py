"""Adapter that hosts many balancer instances on the simulator's wire.

It decodes batches of events, passes each event to its instance and encodes the returned actions. It makes no
decisions and shares nothing between instances.
"""

from __future__ import annotations

import gc
import sys
from typing import BinaryIO

from woadyard import wire
from woadyard.interface import LIST_FAILED, OK, Action, Arrival, Entry, Outcome
from woadyard.policy import Balancer

Lists = dict[int, tuple[Entry, ...]]


class Host:
    """The balancer instances of this process, and the numbered endpoint lists of the wire."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: Lists = {}

    def handle_batch(self, body: memoryview) -> bytes:
        """Process one batch of events and return the encoded reply.

        Raises:
            WireError: the batch is malformed.
        """
        now, count, tail = wire.read_batch_head(body)
        reply = wire.Reply()
        offset = wire.BATCH_HEAD.size
        for _ in range(count):
            instance = -1
            try:
                instance, actions = self.handle_event(now, body, offset, tail)
            except wire.WireError:
                raise
            except Exception as error:  # an error in a balancer is reported in the reply
                (instance,) = wire.KILL.unpack_from(body, offset + 1)
                reply.add_fault(instance, f"{type(error).__name__}: {error}")
                actions = []
            if actions:
                reply.add(instance, actions)
            offset += wire.EVENT_SIZE
        return reply.encode()

    def handle_event(
        self, now: int, body: memoryview, offset: int, tail: memoryview
    ) -> tuple[int, list[Action]]:
        """Process the event at the offset. Return the instance it is for, and the instance's actions.

        Events of an instance that has ended are dropped, as they may arrive late.
        """
        code = body[offset]
        position = offset + 1
        if code == wire.EV_REQ:
            instance, request_id, cls, tenant, key, expires_us, work_us, options = wire.REQ.unpack_from(
                body, position
            )
            if (balancer := self.instances.get(instance)) is None:
                return instance, []
            if not options & wire.OPTION_HINT:
                work_us = 0
            is_retry = bool(options & wire.OPTION_REPEAT)
            return instance, balancer.request(
                now, Arrival(request_id, cls, expires_us, tenant, key, work_us, is_retry)
            )
        if code == wire.EV_RETURNED:
            instance, request_id, attempt, endpoint, value, delay_us, over, count, *load = (
                wire.RETURNED.unpack_from(body, position)
            )
            if (balancer := self.instances.get(instance)) is None:
                return instance, []
            if value not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {value}")
            report = load[:count] if count else None
            outcome = wire.OUTCOMES[value]
            ended = Outcome(request_id, attempt, endpoint, outcome, delay_us, over != 0, report)
            return instance, balancer.outcome(now, ended)
        if code == wire.EV_FIRED:
            instance, token = wire.ID_VALUE.unpack_from(body, position)
            balancer = self.instances.get(instance)
            return instance, balancer.timer(now, token) if balancer else []
        return self.handle_uncommon_event(code, now, body, position, tail)

    def handle_uncommon_event(
        self, code: int, now: int, body: memoryview, position: int, tail: memoryview
    ) -> tuple[int, list[Action]]:
        """Process an event other than a request, an outcome or a timer."""
        if code == wire.EV_MANIFEST:
            number, offset, count = wire.MANIFEST.unpack_from(body, position)
            self.lists[number] = wire.read_entries(tail, offset, count)
            return -1, []
        if code == wire.EV_INIT:
            instance, seed, offset, size = wire.INIT.unpack_from(body, position)
            settings = wire.read_settings(wire.read_tail(tail, offset, size))
            created = self.instances[instance] = Balancer(seed, settings)
            return instance, created.start(now)
        (instance,) = wire.KILL.unpack_from(body, position)
        if code == wire.EV_KILL:
            self.instances.pop(instance, None)
            return instance, []
        if not wire.EV_INIT < code < wire.EV_MANIFEST:
            raise wire.WireError(f"unknown event code {code}")
        balancer = self.instances.get(instance)
        return instance, self.deliver(balancer, code, now, body, position, tail) if balancer else []

    def deliver(
        self, balancer: Balancer, code: int, now: int, body: memoryview, position: int, tail: memoryview
    ) -> list[Action]:
        """Decode an event of a running instance and pass it on."""
        if code == wire.EV_BACKENDS:
            _, _, value, number = wire.BACKENDS.unpack_from(body, position)
            if value not in wire.LIST_MODES:
                raise wire.WireError(f"unknown list mode {value}")
            failed = wire.LIST_MODES[value] == LIST_FAILED
            if not failed and number not in self.lists:
                raise wire.WireError(f"list {number} was never sent")
            return balancer.members(now, wire.LIST_MODES[value], () if failed else self.lists[number])
        if code == wire.EV_HEAD:
            _, request_id, attempt, endpoint, delay_us = wire.HEAD.unpack_from(body, position)
            return balancer.head(now, Outcome(request_id, attempt, endpoint, OK, delay_us))
        if code == wire.EV_ABANDONED:
            _, request_id = wire.ID_VALUE.unpack_from(body, position)
            return balancer.gone(now, request_id)
        # Balancers request no probes and no messages: such events are validated and dropped.
        if code == wire.EV_PROBED:
            _, _, value, *_ = wire.PROBED.unpack_from(body, position)
            if value not in wire.OUTCOMES:
                raise wire.WireError(f"unknown outcome {value}")
        else:
            _, _, offset, size = wire.MAIL.unpack_from(body, position)
            wire.read_tail(tail, offset, size)
        return []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches from the source until its end.

    Raises:
        WireError: the input is malformed.
    """
    host = Host()
    while (body := wire.read_frame(source)) is not None:
        sink.write(host.handle_batch(body))
        sink.flush()


def main() -> int:
    gc.set_threshold(50_000, 20, 50)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"woadyard.adapter: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("woadyard.adapter: the reader of the replies closed the pipe", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
