"""What a caller asks: a request's head, checked and made a `Call`; and how an answer is written."""

from __future__ import annotations

import zlib
from http import HTTPStatus
from typing import TYPE_CHECKING

from woadyard.errors import PeerError
from woadyard.interface import SAFE
from woadyard.net.driver import Driver
from woadyard.net.message import Call, ClientStream, Headers, Response, end_to_end_headers

if TYPE_CHECKING:
    from woadyard.net.request_parser import RequestParser
    from woadyard.net.server import Server

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
MAX_U63 = 2**63


class BadRequestError(PeerError):
    """A request that is answered with a plain 4xx, or a 501."""

    remedy = "send what the protocol has; the text says what is wrong"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    raw = headers.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 15:
        raise BadRequestError(400, f"{name.decode()} is no number")
    return int(raw)


def parse_cost_hint(raw: bytes) -> int:
    """A guess may be missing or unreadable; that is no reason to refuse."""
    return int(raw) if raw.isdigit() and len(raw) <= 15 else 0


def parse_key(query: bytes) -> int:
    """The number of what a request is about; 0 = nothing named."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            value = part[4:]
            try:
                return int(value, 16) % MAX_U63 if len(value) <= 16 else zlib.crc32(value)
            except ValueError:
                return zlib.crc32(value)
    return 0


def request_id(headers: Headers) -> bytes:
    """Empty where it is missing or doubled."""
    ids = [value for key, value in headers if key.lower() == b"x-request-id"]
    return ids[0] if len(ids) == 1 else b""


def parse_call(
    driver: Driver, method: bytes, target: bytes, raw: Headers, client: ClientStream, responses_due_us: int
) -> Call:
    """The request of this head, its body still to be set, with its final answer due no
    later than `answered_by` (driver's µs); BadRequestError where it is none."""
    path, _, query = target.partition(b"?")
    headers = {name.lower(): value for name, value in raw}
    if method not in (b"GET", b"POST"):
        raise BadRequestError(405, "GET and POST only")
    name = path.split(b"/")[1] if path.startswith(b"/") else b""
    cls = driver.names.classes.get(name.decode("latin-1"))
    if cls is None:
        raise BadRequestError(404, "unknown class")
    if headers.get(b"x-class", name) != name:
        raise BadRequestError(400, "X-Class is not the path's")
    if (method == b"GET") != (driver.settings.classes[cls].effect == SAFE):
        raise BadRequestError(405, "the class has the other method")
    if driver.names.needs_idempotency_key[cls] != (b"idempotency-key" in headers):
        raise BadRequestError(400, "Idempotency-Key is missing, or not of the class")
    wait_ms = parse_number(headers, b"x-deadline-ms")
    wait_us = driver.settings.classes[cls].deadline_us if wait_ms is None else wait_ms * 1000
    tenant = headers.get(b"x-tenant", b"").decode("latin-1")
    return Call(
        cls=cls,
        expires_us=min(driver.now() + wait_us, responses_due_us),
        method_and_target=method + b" " + target,
        header_lines=end_to_end_headers(raw),
        body=b"",
        client=client,
        timeout_us=wait_us,
        tenant=driver.names.tenants.get(tenant, 0),
        key=parse_key(query),
        affinity=headers.get(driver.affinity_header, b"") if driver.affinity_header else b"",
        work_us=parse_cost_hint(headers.get(b"x-cost-hint", b"")),
        is_retry=headers.get(b"x-retry") == b"1",
    )


def accept_request(server: Server, read: RequestParser, relay: ClientStream) -> Call | Response:
    """What the request that was read asks for, or the answer that it gets at once."""
    if read.is_health_check:
        return Response(200 if server.is_ready else 503)
    call = parse_call(server.driver, read.method, read.target, read.headers, relay, server.responses_due_us)
    server.claim_request_id(request_id(read.headers), call.expires_us)
    call.body = b"".join(read.body_parts)
    return call if not server.rejects_requests else server.reject_request()


def serialize_response(answer: Response, keep: bool) -> bytes:
    """A whole answer as it is written."""
    close = b"" if keep else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
        answer.status, REASONS.get(answer.status, b""), len(answer.body), answer.header_lines, close,
        answer.body,
    )  # fmt: skip
