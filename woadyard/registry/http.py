"""The HTTP server of the list service: its connections, and the handling common to all requests.

The calls themselves are in `routes`; `GET /_metrics` returns the metrics in Prometheus text format.
A request must be received completely within `REQUEST_TIMEOUT_S`. A peer that violates the protocol
causes one log line and gets a JSON error response like any other invalid call.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from prometheus_client import generate_latest

from woadyard.errors import PeerError, WoadyardError
from woadyard.net.acceptor import Acceptor, open_listening_sockets
from woadyard.registry.responses import Handler, error_response, observe_request_term, response_for_error
from woadyard.registry.routes import routes
from woadyard.registry.service import Registry

LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_S = 3.0  # to receive a whole request
MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 4096
BACKLOG = 1024


class RegistryConnection(web.RequestHandler):
    """One connection; malformed HTTP gets the same JSON error response as any invalid call."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if isinstance(exc, HttpProcessingError):
            LOG.warning("malformed request", extra={"error": exc.message, "peer": request.remote})
            return error_response(400, f"malformed: {exc.message}", PeerError.remedy)
        LOG.error("request failed", exc_info=exc, extra={"call": f"{request.method} {request.path}"})
        return error_response(500, "internal error while handling the call", WoadyardError.remedy)


class RejectedConnection(asyncio.Protocol):
    """A connection beyond `MAX_CONNECTIONS`, which is aborted at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


def create_application(registry: Registry, extra_routes: Sequence[web.RouteDef] = ()) -> web.Application:
    """Return the application with all routes of the service and `extra_routes`."""

    @web.middleware
    async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            observe_request_term(registry, request)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await request.read()
            return await handler(request)
        except TimeoutError:
            return error_response(
                408, "the request was not received completely in time", "check the network to this service"
            )
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "request body too large", f"send at most {MAX_BODY_BYTES} bytes")
        except web.HTTPException as error:
            return error_response(
                error.status, error.reason.lower(), "see the list of calls in docs/on-call.md"
            )
        except WoadyardError as error:
            LOG.warning("call refused", extra={**error.fields(), "call": f"{request.method} {request.path}"})
            return response_for_error(error)

    async def serve_metrics(request: web.Request) -> web.StreamResponse:
        return web.Response(
            body=generate_latest(registry.metrics.collector_registry), content_type="text/plain"
        )

    app = web.Application(middlewares=[handle_errors], client_max_size=MAX_BODY_BYTES)
    app.add_routes([web.get("/_metrics", serve_metrics), *routes(registry), *extra_routes])
    return app


async def serve(
    registry: Registry,
    host: str,
    port: int,
    ready: Callable[[int], None],
    extra_routes: Sequence[web.RouteDef] = (),
) -> None:
    """Listen until cancelled; call `ready` with the bound port once listening.

    `extra_routes` are served in addition to those in `routes`."""
    loop = asyncio.get_running_loop()
    runner = web.AppRunner(
        create_application(registry, extra_routes), handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    manager = runner.server
    assert manager is not None
    registry.metrics.clients.set_function(lambda: len(manager.connections))

    def create_connection() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return RejectedConnection()
        options: dict[str, Any] = {"keepalive_timeout": REQUEST_TIMEOUT_S, "access_log": None, "logger": LOG}
        return RegistryConnection(manager, loop=loop, lingering_time=0.0, **options)

    acceptor = Acceptor(loop, await open_listening_sockets(host, port, BACKLOG), create_connection)
    ready(acceptor.port)
    try:
        await loop.create_future()  # until cancelled
    finally:
        acceptor.close()
        await runner.cleanup()
