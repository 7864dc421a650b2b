"""The list service's HTTP side: its connections, and what all calls have in common.

The calls themselves are in `routes`; `GET /_metrics` tells watches, versions, clients and
writes in Prometheus text. A connection brings each call whole within `VISIT_S`; a peer
that breaks the protocol costs one log line and is answered in JSON like any other refusal.
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
from woadyard.registry.responses import Handler, error_response, observe_request_term, response_for_error
from woadyard.registry.routes import routes
from woadyard.registry.service import Registry

LOG = logging.getLogger(__name__)
REQUEST_TIMEOUT_S = 3.0  # a connection brings its call whole within this
MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 4096


class RegistryConnection(web.RequestHandler):
    """One connection. What breaks HTTP itself is refused as any bad call is."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if isinstance(exc, HttpProcessingError):
            LOG.warning("malformed call", extra={"error": exc.message, "peer": request.remote})
            return error_response(400, f"malformed: {exc.message}", PeerError.remedy)
        LOG.error("call failed", exc_info=exc, extra={"call": f"{request.method} {request.path}"})
        return error_response(500, "the call failed here", WoadyardError.remedy)


class RejectedConnection(asyncio.Protocol):
    """A connection past those that there is room for."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


def create_application(registry: Registry, extra_routes: Sequence[web.RouteDef] = ()) -> web.Application:
    @web.middleware
    async def common(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            observe_request_term(registry, request)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await request.read()
            return await handler(request)
        except TimeoutError:
            return error_response(408, "the call did not come whole in time", "see to the network in between")
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "too large", f"a body has at most {MAX_BODY_BYTES} bytes")
        except web.HTTPException as error:
            return error_response(error.status, error.reason.lower(), "see the calls in docs/on-call.md")
        except WoadyardError as error:
            LOG.warning("call refused", extra={**error.fields(), "call": f"{request.method} {request.path}"})
            return response_for_error(error)

    async def serve_metrics(request: web.Request) -> web.StreamResponse:
        return web.Response(
            body=generate_latest(registry.metrics.collector_registry), content_type="text/plain"
        )

    app = web.Application(middlewares=[common], client_max_size=MAX_BODY_BYTES)
    app.add_routes([web.get("/_metrics", serve_metrics), *routes(registry), *extra_routes])
    return app


async def serve(
    registry: Registry,
    host: str,
    port: int,
    ready: Callable[[int], None],
    extra_routes: Sequence[web.RouteDef] = (),
) -> None:
    """Listen until cancelled; `ready` hears the port once it listens. `more` are calls beside
    those in `routes`."""
    loop = asyncio.get_running_loop()
    runner = web.AppRunner(
        create_application(registry, extra_routes), handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    manager = runner.server
    assert manager is not None
    registry.metrics.clients.set_function(lambda: len(manager.connections))

    def visit() -> asyncio.Protocol:
        if len(manager.connections) >= MAX_CONNECTIONS:
            return RejectedConnection()
        options: dict[str, Any] = {"keepalive_timeout": REQUEST_TIMEOUT_S, "access_log": None, "logger": LOG}
        return RegistryConnection(manager, loop=loop, lingering_time=0.0, **options)

    server = await loop.create_server(visit, host, port, backlog=1024)
    ready(int(server.sockets[0].getsockname()[1]))
    try:
        await server.serve_forever()
    finally:
        server.close()
        await runner.cleanup()
