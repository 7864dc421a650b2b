"""Requests and responses shared by all calls of the list service: JSON errors, and leader-only calls.

Every error response is `{"error", "remedy"}`, with `writer` (HOST:PORT) if another process is the
leader: a follower redirects with 307 and `Location`, a deposed leader responds with 503.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from woadyard.errors import LogEntryError, PeerError, PlanError, StateError, TraceError, WoadyardError
from woadyard.registry.error_body import ErrorBody
from woadyard.registry.service import DeposedError, NoLeaderError, NotReplicatedError, Registry

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")
# HTTP status by error class; the first match counts.
ERROR_STATUS: tuple[tuple[type[WoadyardError], int], ...] = (
    (DeposedError, 503), (NotReplicatedError, 503), (StateError, 507), (LogEntryError, 400), (PeerError, 400),
    (PlanError, 409), (TraceError, 422),
)  # fmt: skip
TERM_HEADER = "X-Term"  # LINEAGE:TERM of the log as the client last observed it
TERM_HEADER_PATTERN = re.compile(r"([0-9a-f]{1,64}):([0-9]{1,16})")


def error_response(status: int, message: str, remedy: str, leader_address: str | None = None) -> web.Response:
    """Return an error response that closes the connection."""
    body = msgspec.json.encode(ErrorBody(message, remedy, leader_address)) + b"\n"
    response = web.Response(status=status, body=body, content_type="application/json")
    response.force_close()
    return response


def response_for_error(error: WoadyardError) -> web.Response:
    """Return the response for an error that a handler raised, with `Retry-After` if it has one."""
    status = next((status for error_class, status in ERROR_STATUS if isinstance(error, error_class)), 500)
    response = error_response(status, str(error), error.remedy)
    if (after_s := getattr(error, "retry_after_s", None)) is not None:
        response.headers["Retry-After"] = str(after_s)
    return response


def json_response(content: Any) -> web.Response:
    """Return a response with `content`, anything that msgspec encodes as JSON."""
    return web.Response(body=msgspec.json.encode(content) + b"\n", content_type="application/json")


async def read_body(request: web.Request, kind: type[T]) -> T:
    """Decode the request's JSON body as `kind`; PeerError if it is invalid."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PeerError(
            f"invalid body: {error}", "send the JSON that the call's documentation lists"
        ) from None


def read_query(request: web.Request, kind: type[T]) -> T:
    """Convert the request's query parameters to the struct `kind`; PeerError if they are invalid."""
    try:
        return msgspec.convert(dict(request.query), kind, strict=False)
    except msgspec.ValidationError as error:
        raise PeerError(
            f"invalid query: {error}", "send the parameters that the call's documentation lists"
        ) from None


def leader_only(registry: Registry, handler: Handler, waits_for_replication: bool = False) -> Handler:
    """Wrap a handler that only the leader may run; a follower redirects the client to the leader.

    An elected leader responds to a write once a majority of the members has it;
    `waits_for_replication` says that the handler waits for that itself."""

    async def handle(request: web.Request) -> web.StreamResponse:
        if registry.leader_address is not None:
            redirect = error_response(
                307, "a follower accepts no writes", "send the call to the leader", registry.leader_address
            )
            redirect.headers["Location"] = f"http://{registry.leader_address}{request.raw_path}"
            return redirect
        if registry.is_deposed:
            raise DeposedError(f"term {registry.highest_term} was begun by another process")
        if registry.is_leaderless:
            raise NoLeaderError(f"this member knows of no elected leader since term {registry.highest_term}")
        if registry.election is None or waits_for_replication or request.method == "GET":
            return await handler(request)
        term = registry.log_state.term
        response = await handler(request)
        await registry.wait_replicated(registry.log_state.applied_index, term)
        return response

    return handle


def observe_request_term(registry: Registry, request: web.Request) -> None:
    """Pass the term that the client sent to the registry; it may be the first to report a new term."""
    if value := request.headers.get(TERM_HEADER):
        if (match := TERM_HEADER_PATTERN.fullmatch(value)) is None:
            raise PeerError(f"{TERM_HEADER} header is invalid: {value[:80]!r}")
        registry.observe_term(
            match[1], int(match[2]), f"{request.method} {request.path} from {request.remote}"
        )
