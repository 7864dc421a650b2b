"""What the HTTP sides share: limits, header rules and the messages themselves."""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from woadyard.errors import PeerError

MAX_HEAD_BYTES = 64 * 1024
# Bodies up to this are held whole before they are passed on, so that an attempt
# can be repeated; larger ones are passed on as they come.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# No caller has a larger body to send: the largest are 32 MB.
MAX_BODY_BYTES = 48 * 1024 * 1024
# Read at a time; what one connection of a stream holds is a small multiple of it.
READ_SIZE = 32 * 1024
# What concerns one connection alone, or is set anew on each side.
HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"x-deadline-ms", b"proxy-authenticate", b"proxy-authorization")
)  # fmt: skip
Headers = list[tuple[bytes, bytes]]


class FramingError(PeerError):
    """Headers that leave open where the body ends."""


def parse_framing(headers: Headers) -> tuple[int | None, bool]:
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


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def end_to_end_headers(headers: Headers) -> bytes:
    """The lines of the headers that travel end to end."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    kept = (pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS)
    return b"".join(b"%b: %b\r\n" % (n, v) for n, v in kept if n.lower() not in named)


@dataclass(slots=True)
class Response:
    """A final answer to a caller, or the start of one; `head` holds further header lines."""

    status: int
    header_lines: bytes = b""
    body: bytes = b""


class EndpointStream(Protocol):
    """A connection to an endpoint, as far as those see it whose bodies it carries."""

    def send_body_part(self, data: bytes) -> None: ...
    def end_body(self) -> None: ...
    def set_reading_paused(self, paused: bool) -> None: ...
    def close(self) -> None: ...


class ClientStream(Protocol):
    """A caller: it gets one whole answer, or one too large to hold, passed on as it comes."""

    def check_connected(self) -> bool: ...
    def send_response(self, response: Response) -> None: ...
    def begin_response(self, response: Response, length: int | None, source: EndpointStream) -> None: ...
    def send_body_part(self, data: bytes) -> None: ...
    def end_response(self, is_complete: bool) -> None: ...


class Upload:
    """A body too large to hold, on its way from a caller to an endpoint. The
    caller is read only while there is an endpoint that takes it."""

    __slots__ = ("is_complete", "length", "partly_sent", "parts", "set_paused", "stream")

    def __init__(self, length: int | None, parts: list[bytes], hold: Callable[[bool], None]) -> None:
        self.length, self.parts, self.set_paused = length, parts, hold  # no length: chunked
        self.is_complete = False  # the last byte has come
        self.partly_sent = False  # some of it was passed on and is gone
        self.stream: EndpointStream | None = None

    def feed(self, data: bytes) -> None:
        if self.stream is None:
            self.parts.append(data)
        else:
            self.partly_sent = True
            self.stream.send_body_part(data)

    def finish(self) -> None:
        self.is_complete = True
        if self.stream is not None:
            self.stream.end_body()

    def attach(self, sink: EndpointStream) -> None:
        self.stream = sink
        self.set_paused(False)
        parts, self.parts = self.parts, []
        for part in parts:
            self.feed(part)
        if self.is_complete:
            sink.end_body()

    def detach(self) -> None:
        self.stream = None
        self.set_paused(True)


@dataclass(slots=True)
class Call:
    """One request of a caller, taken and not yet forgotten."""

    cls: int
    expires_us: int  # on the driver's clock, µs
    method_and_target: bytes  # method and target as they came
    header_lines: bytes  # header lines to pass on
    body: bytes
    client: ClientStream
    timeout_us: int  # from the last byte on
    upload: Upload | None = None
    streaming_attempt: Attempt | None = None  # whose answer is being passed on
    tenant: int = 0
    key: int = 0
    affinity: bytes = b""  # requests with the same go to the same endpoint
    work_us: int = 0
    is_retry: bool = False
    id: int = 0
    received_us: int = 0  # on the driver's clock, µs
    is_open: bool = True  # no final answer yet, and its client is there
    attempts: list[Attempt] = field(default_factory=list)
    timer: TimerHandle | None = None


class Attempt:
    __slots__ = (
        "call", "connection", "endpoint", "extra_headers", "head_us", "in_flight", "index", "outcome",
        "sent_us", "start_by_us", "timeout_at_us", "timer", "was_written",
    )  # fmt: skip

    def __init__(
        self, call: Call, index: int, endpoint: int, now: int, timeout_at_us: int, start_by_us: int = 0
    ) -> None:
        self.call = call
        self.index = index
        self.endpoint = endpoint
        self.sent_us = now
        self.timeout_at_us = timeout_at_us  # when the sidecar stops waiting
        self.start_by_us = start_by_us or timeout_at_us  # nothing of it is written from then on
        self.in_flight = True  # no outcome yet
        self.outcome: int | None = None
        self.extra_headers = b""  # header lines of this attempt alone
        self.was_written = False  # a byte of it may have reached the endpoint
        self.head_us = 0  # until its answer began to be passed on
        self.connection: EndpointStream | None = None
        self.timer: TimerHandle | None = None
