"""What the list service's calls have in common: refusals in JSON, and who may write.

Every refusal is `{"error", "remedy"}`, with `writer` (HOST:PORT) where another process
writes: 307 with its `Location` at a replica, 503 at a process that lost its place.
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
# The status of an error of a call; the first that fits.
ERROR_STATUS: tuple[tuple[type[WoadyardError], int], ...] = (
    (DeposedError, 503), (NotReplicatedError, 503), (StateError, 507), (LogEntryError, 400), (PeerError, 400),
    (PlanError, 409), (TraceError, 422),
)  # fmt: skip
TERM_HEADER = "X-Term"  # LINEAGE:TERM, of the log that the caller acts on
TERM_HEADER_PATTERN = re.compile(r"([0-9a-f]{1,64}):([0-9]{1,16})")


def error_response(status: int, what: str, remedy: str, writer: str | None = None) -> web.Response:
    """A refusal as an answer; the connection ends with it."""
    body = msgspec.json.encode(ErrorBody(what, remedy, writer)) + b"\n"
    answer = web.Response(status=status, body=body, content_type="application/json")
    answer.force_close()
    return answer


def response_for_error(error: WoadyardError) -> web.Response:
    status = next((status for kind, status in ERROR_STATUS if isinstance(error, kind)), 500)
    back = error_response(status, str(error), error.remedy)
    if (after_s := getattr(error, "retry_after_s", None)) is not None:
        back.headers["Retry-After"] = str(after_s)
    return back


def json_response(told: Any) -> web.Response:
    """Anything that msgspec writes as JSON."""
    return web.Response(body=msgspec.json.encode(told) + b"\n", content_type="application/json")


async def read_body(request: web.Request, kind: type[T]) -> T:
    """The call's body as `kind`, a struct or a type; PeerError where it is none."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PeerError(f"bad body: {error}", "send the JSON that the call's page names") from None


def read_query(request: web.Request, kind: type[T]) -> T:
    """The call's query as the struct `kind`; PeerError where it is none."""
    try:
        return msgspec.convert(dict(request.query), kind, strict=False)
    except msgspec.ValidationError as error:
        raise PeerError(f"bad query: {error}", "send the query that the call's page names") from None


def leader_only(registry: Registry, handler: Handler, waits_for_replication: bool = False) -> Handler:
    """A call that only the writer answers: a replica sends the caller on. An elected writer
    answers a write once most members hold it; `settles`: the handler sees to that itself."""

    async def handle(request: web.Request) -> web.StreamResponse:
        if registry.leader_address is not None:
            back = error_response(
                307, "a replica does not write", "send the call to the writer", registry.leader_address
            )
            back.headers["Location"] = f"http://{registry.leader_address}{request.raw_path}"
            return back
        if registry.is_deposed:
            raise DeposedError(f"term {registry.highest_term} has begun elsewhere")
        if registry.is_leaderless:
            raise NoLeaderError(
                f"no writer is elected that this member knows of, since term {registry.highest_term}"
            )
        if registry.election is None or waits_for_replication or request.method == "GET":
            return await handler(request)
        term = registry.log_state.term
        told = await handler(request)
        await registry.wait_replicated(registry.log_state.applied_index, term)
        return told

    return handle


def observe_request_term(registry: Registry, request: web.Request) -> None:
    """A caller that says which term it acts on may be the first to know of a new one."""
    if told := request.headers.get(TERM_HEADER):
        if (found := TERM_HEADER_PATTERN.fullmatch(told)) is None:
            raise PeerError(f"{TERM_HEADER} is none: {told[:80]!r}")
        registry.observe_term(
            found[1], int(found[2]), f"{request.method} {request.path} from {request.remote}"
        )
