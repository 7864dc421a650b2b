"""Validates the head of a client's request and makes a `Call` of it; serializes responses."""

from __future__ import annotations

import zlib
from http import HTTPStatus
from typing import TYPE_CHECKING

from woadyard.errors import PeerError
from woadyard.interface import SAFE
from woadyard.net.driver import Driver
from woadyard.net.header_fields import FRAMING_HEADERS, HeaderFields
from woadyard.net.memory_budget import MIN_BUFFER_BYTES
from woadyard.net.message import Call, ClientStream, Response

if TYPE_CHECKING:
    from woadyard.net.request_parser import RequestParser
    from woadyard.net.server import Server

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
MAX_U63 = 2**63
MAX_REQUEST_ID_BYTES = 128
READ_HEADERS = FRAMING_HEADERS | {
    b"expect", b"idempotency-key", b"x-class", b"x-cost-hint", b"x-deadline-ms", b"x-request-id", b"x-retry",
    b"x-tenant",
}  # fmt: skip


class BadRequestError(PeerError):
    """A request that is rejected with a plain 4xx or 501 response."""

    remedy = "send a request that follows the protocol; the message says what is wrong"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_number(headers: HeaderFields, name: bytes) -> int | None:
    raw = headers.values.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 15:
        raise BadRequestError(400, f"{name.decode()} is not a number")
    return int(raw)


def parse_cost_hint(raw: bytes) -> int:
    """Return the hint, or 0: a missing or malformed hint is no reason to reject a request."""
    return int(raw) if raw.isdigit() and len(raw) <= 15 else 0


def parse_key(query: bytes) -> int:
    """Return a number for the object that the query names as `obj`; 0 where it names none."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            value = part[4:]
            try:
                return int(value, 16) % MAX_U63 if len(value) <= 16 else zlib.crc32(value)
            except ValueError:
                return zlib.crc32(value)
    return 0


def request_id(headers: HeaderFields) -> bytes:
    """Return X-Request-Id; empty where it is missing or duplicated."""
    return b"" if b"x-request-id" in headers.duplicated else headers.get(b"x-request-id")


def parse_call(
    driver: Driver,
    method: bytes,
    target: bytes,
    headers: HeaderFields,
    client: ClientStream,
    responses_due_us: int,
) -> Call:
    """Make a call, still without its body, of a request head.

    The call expires no later than `responses_due_us`, on the driver's clock.
    Raises BadRequestError on an invalid head.
    """
    path, _, query = target.partition(b"?")
    if method not in (b"GET", b"POST"):
        raise BadRequestError(405, "the method must be GET or POST")
    class_name = path.split(b"/")[1] if path.startswith(b"/") else b""
    cls = driver.names.classes.get(class_name.decode("latin-1"))
    if cls is None:
        raise BadRequestError(404, "unknown request class")
    if headers.get(b"x-class", class_name) != class_name:
        raise BadRequestError(400, "X-Class differs from the class in the path")
    if (method == b"GET") != (driver.settings.classes[cls].effect == SAFE):
        raise BadRequestError(405, "the method does not fit the request class")
    if driver.names.needs_idempotency_key[cls] != (b"idempotency-key" in headers.values):
        raise BadRequestError(400, "Idempotency-Key is missing, or not allowed for the request class")
    timeout_ms = parse_number(headers, b"x-deadline-ms")
    timeout_us = driver.settings.classes[cls].deadline_us if timeout_ms is None else timeout_ms * 1000
    tenant = headers.get(b"x-tenant").decode("latin-1")
    return Call(
        cls=cls,
        expires_us=min(driver.now() + timeout_us, responses_due_us),
        method_and_target=method + b" " + target,
        header_lines=headers.end_to_end_lines(),
        body=b"",
        client=client,
        timeout_us=timeout_us,
        tenant=driver.names.tenants.get(tenant, 0),
        key=parse_key(query),
        affinity=headers.get(driver.affinity_header) if driver.affinity_header else b"",
        work_us=parse_cost_hint(headers.get(b"x-cost-hint")),
        is_retry=headers.get(b"x-retry") == b"1",
    )


def accept_request(server: Server, parser: RequestParser, client: ClientStream) -> Call | Response:
    """Return the call for the request just parsed, or the response that it gets at once.

    Raises BadRequestError on an invalid request or a request id that was used before.
    """
    if parser.is_health_check:
        return Response(200 if server.is_ready else 503)
    call = parse_call(
        server.driver, parser.method, parser.target, parser.headers, client, server.responses_due_us
    )
    is_too_large = server.memory.is_full and parser.held_bytes > MIN_BUFFER_BYTES
    if server.rejects_requests or is_too_large:
        return server.reject_request()
    call.request_id = claim_request_id(server.driver, request_id(parser.headers))
    call.body = parser.take_body()
    return call


def claim_request_id(driver: Driver, request_id: bytes) -> bytes:
    """Return the id; raise BadRequestError where it is invalid, or was claimed by another request.

    Protects endpoints from duplicated requests: running one twice violates the rules on
    repeats, and whichever endpoint responds to the duplicate is blamed for it.
    """
    if not 0 < len(request_id) <= MAX_REQUEST_ID_BYTES:
        raise BadRequestError(400, "X-Request-Id is missing, duplicated or too long")
    if not driver.requests.ids.claim(request_id, driver.now()):
        raise BadRequestError(409, "X-Request-Id was used before")
    return request_id


def serialize_response(response: Response, keep_alive: bool) -> bytes:
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
        response.status, REASONS.get(response.status, b""), len(response.body), response.header_lines, close,
        response.body,
    )  # fmt: skip
