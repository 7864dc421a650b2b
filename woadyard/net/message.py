"""What the HTTP sides share: limits, header rules and the messages themselves."""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from woadyard.errors import PeerError

HEAD_MAX = 64 * 1024
# Bodies up to this are held whole before they are passed on, so that an attempt
# can be repeated; larger ones are passed on as they come.
HOLD_MAX = 64 * 1024
# No caller has a larger body to send: the largest are 32 MB.
BODY_MAX = 48 * 1024 * 1024
# Read at a time; what one connection of a stream holds is a small multiple of it.
READ_SIZE = 32 * 1024
# What concerns one connection alone, or is set anew on each side.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"x-deadline-ms", b"proxy-authenticate", b"proxy-authorization")
)  # fmt: skip
Headers = list[tuple[bytes, bytes]]


class FramingError(PeerError):
    """Headers that leave open where the body ends."""


def framing(headers: Headers) -> tuple[int | None, bool]:
    """The length that the headers tell, and whether the body is chunked. The
    parser has turned down lengths that are doubled, bad, or beside a coding."""
    length, chunked = None, False
    for name, value in headers:
        lower = name.lower()
        if lower == b"content-length":
            length = int(value)
        elif lower == b"transfer-encoding":
            if chunked or value.strip().lower() != b"chunked":
                raise FramingError("only chunked is known of Transfer-Encoding")
            chunked = True
    return length, chunked


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def pass_on(headers: Headers) -> bytes:
    """The lines of the headers that travel end to end."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    kept = (pair for pair in headers if pair[0].lower() not in HOP_BY_HOP)
    return b"".join(b"%b: %b\r\n" % (n, v) for n, v in kept if n.lower() not in named)


@dataclass(slots=True)
class Answer:
    """A final answer to a caller, or the start of one; `head` holds further header lines."""

    status: int
    head: bytes = b""
    body: bytes = b""


class Carrier(Protocol):
    """A connection to an endpoint, as far as those see it whose bodies it carries."""

    def load_part(self, data: bytes) -> None: ...
    def load_end(self) -> None: ...
    def pace(self, paused: bool) -> None: ...
    def close(self) -> None: ...


class Relay(Protocol):
    """A caller: it gets one whole answer, or one too large to hold, passed on as it comes."""

    def there(self) -> bool: ...
    def answer(self, answer: Answer) -> None: ...
    def begin(self, answer: Answer, length: int | None, source: Carrier) -> None: ...
    def part(self, data: bytes) -> None: ...
    def end(self, whole: bool) -> None: ...


class Upload:
    """A body too large to hold, on its way from a caller to an endpoint. The
    caller is read only while there is an endpoint that takes it."""

    __slots__ = ("hold", "length", "parts", "sink", "spent", "whole")

    def __init__(self, length: int | None, parts: list[bytes], hold: Callable[[bool], None]) -> None:
        self.length, self.parts, self.hold = length, parts, hold  # no length: chunked
        self.whole = False  # the last byte has come
        self.spent = False  # some of it was passed on and is gone
        self.sink: Carrier | None = None

    def feed(self, data: bytes) -> None:
        if self.sink is None:
            self.parts.append(data)
        else:
            self.spent = True
            self.sink.load_part(data)

    def end(self) -> None:
        self.whole = True
        if self.sink is not None:
            self.sink.load_end()

    def attach(self, sink: Carrier) -> None:
        self.sink = sink
        self.hold(False)
        parts, self.parts = self.parts, []
        for part in parts:
            self.feed(part)
        if self.whole:
            sink.load_end()

    def detach(self) -> None:
        self.sink = None
        self.hold(True)


@dataclass(slots=True)
class Call:
    """One request of a caller, taken and not yet forgotten."""

    cls: int
    expires: int  # on the driver's clock, µs
    start: bytes  # method and target as they came
    head: bytes  # header lines to pass on
    body: bytes
    relay: Relay
    wait_us: int  # from the last byte on
    upload: Upload | None = None
    relayed: Attempt | None = None  # whose answer is being passed on
    tenant: int = 0
    key: int = 0
    affinity: bytes = b""  # requests with the same go to the same endpoint
    work_us: int = 0
    repeated: bool = False
    id: int = 0
    taken: int = 0  # on the driver's clock, µs
    open: bool = True  # no final answer yet, and its client is there
    attempts: list[Attempt] = field(default_factory=list)
    timer: TimerHandle | None = None


class Attempt:
    __slots__ = (
        "call", "copy", "endpoint", "extra", "head_us", "link", "out", "outcome", "sent", "start_by", "timer",
        "until", "wrote",
    )  # fmt: skip

    def __init__(self, call: Call, copy: int, endpoint: int, now: int, until: int, start_by: int = 0) -> None:
        self.call = call
        self.copy = copy
        self.endpoint = endpoint
        self.sent = now
        self.until = until  # when the sidecar stops waiting
        self.start_by = start_by or until  # nothing of it is written from then on
        self.out = True  # no outcome yet
        self.outcome: int | None = None
        self.extra = b""  # header lines of this attempt alone
        self.wrote = False  # a byte of it may have reached the endpoint
        self.head_us = 0  # until its answer began to be passed on
        self.link: Carrier | None = None
        self.timer: TimerHandle | None = None
