"""HTTP limits, header rules and message types shared by the client and endpoint connections."""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from woadyard.policy.response_relay import ResponseProgress

MAX_HEAD_BYTES = 64 * 1024
# Bodies up to this size are buffered whole before they are forwarded, so that an
# attempt can be repeated; larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# The largest bodies that clients send are 32 MB.
MAX_BODY_BYTES = 48 * 1024 * 1024


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class Response:
    """A final response to a client, or its first part; `header_lines` holds further headers, serialized."""

    status: int
    header_lines: bytes = b""
    body: bytes = b""

    @property
    def held_bytes(self) -> int:
        """The bytes that it takes, about."""
        return len(self.header_lines) + len(self.body)


class EndpointStream(Protocol):
    """An endpoint connection, as seen by the sources of the request bodies it carries."""

    def relay_if_due(self) -> None:
        """Stream a response of unknown length once that is due; the request's deadline may be new."""

    def send_body_part(self, data: bytes) -> None: ...
    def end_body(self) -> None: ...
    def set_reading_paused(self, paused: bool) -> None: ...
    def close(self) -> None: ...


class ClientStream(Protocol):
    """A client connection: it receives one whole response, or one streamed in parts."""

    def check_connected(self) -> bool: ...
    def send_response(self, response: Response) -> None: ...
    def begin_response(self, response: Response, length: int | None, source: EndpointStream) -> None: ...
    def send_body_part(self, data: bytes) -> None: ...
    def end_response(self, is_complete: bool) -> None: ...


class Upload:
    """A request body that is too large to buffer, streamed from a client to an endpoint.

    The client is read only while an endpoint connection accepts the body.
    """

    __slots__ = ("buffered", "is_complete", "length", "partly_sent", "set_paused", "stream")

    def __init__(self, length: int | None, received: bytes, set_paused: Callable[[bool], None]) -> None:
        self.length, self.set_paused = length, set_paused  # without a length: chunked
        self.buffered = bytearray(received)
        self.is_complete = False  # the last byte was received
        self.partly_sent = False  # sent bytes are not kept, so no other attempt can send them
        self.stream: EndpointStream | None = None

    def feed(self, data: bytes) -> None:
        if self.stream is None:
            self.buffered += data
        else:
            self.partly_sent = True
            self.stream.send_body_part(data)

    def finish(self) -> None:
        """The last byte was received."""
        self.is_complete = True
        if self.stream is not None:
            self.stream.end_body()

    def attach(self, stream: EndpointStream) -> None:
        """Forward what was buffered, and all further parts, to this endpoint connection."""
        self.stream = stream
        self.set_paused(False)
        buffered, self.buffered = bytes(self.buffered), bytearray()
        if buffered:
            self.feed(buffered)
        if self.is_complete:
            stream.end_body()

    def detach(self) -> None:
        self.stream = None
        self.set_paused(True)


@dataclass(slots=True)
class Call:
    """A client's request and its attempts, from acceptance until the last attempt has ended."""

    cls: int
    expires_us: int  # on the driver's clock
    method_and_target: bytes  # as received
    header_lines: bytes  # the headers to forward, serialized
    body: bytes
    client: ClientStream
    timeout_us: int  # from the last byte of the request on
    upload: Upload | None = None
    streaming_attempt: Attempt | None = None  # the attempt whose response is being streamed
    tenant: int = 0
    key: int = 0
    affinity: bytes = b""  # requests with equal values go to the same endpoint
    work_us: int = 0
    is_retry: bool = False
    id: int = 0
    request_id: bytes = b""  # as received
    received_us: int = 0  # on the driver's clock
    is_open: bool = True  # no final response yet, and the client is connected
    attempts: list[Attempt] = field(default_factory=list)
    timer: TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """The bytes that it takes, about."""
        buffered = len(self.upload.buffered) if self.upload is not None else 0
        return len(self.method_and_target) + len(self.header_lines) + len(self.body) + buffered


class Attempt:
    """One attempt of a call at an endpoint. Times are on the driver's clock, in µs."""

    __slots__ = (
        "call", "connection", "endpoint", "extra_headers", "head_us", "in_flight", "index", "outcome",
        "progress", "sent_us", "start_by_us", "timeout_at_us", "timer", "was_written",
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
        self.head_us = 0  # until its response began to be streamed
        self.progress = ResponseProgress()
        self.connection: EndpointStream | None = None
        self.timer: TimerHandle | None = None
