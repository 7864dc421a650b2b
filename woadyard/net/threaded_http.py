"""A small HTTP server on a thread of its own, for the admin listener and for calls of peers.

Its event loop runs on that thread, so that a response does not wait for balancing work, and
it accepts few connections, so that clients that hold theirs open take no resources from the
balancing. A connection carries one request.
"""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import httptools
import uvloop

from woadyard.errors import WoadyardError
from woadyard.net.acceptor import Acceptor

MAX_CONNECTIONS = 24
# File descriptors to reserve: the connections, the listener and those of the event loop.
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 8
# Time limits for receiving a request whole, and for the client to read the response.
REQUEST_TIMEOUT_S, LINGER_TIMEOUT_S = 3.0, 1.0
MAX_BODY_BYTES, MAX_HEAD_BYTES = 1024, 8 * 1024
BACKLOG = 128


class HttpError(WoadyardError):
    """A request fails with `status`; the text says why."""

    remedy = "see docs/on-call.md for the calls of the admin API"

    def __init__(self, status: HTTPStatus, message: str, remedy: str | None = None) -> None:
        super().__init__(message, remedy)
        self.status = status


@dataclass(frozen=True)
class Route:
    """A method and its handler.

    The handler gets the body, or the query string if `takes_query`, and returns the response
    body: a text, or bytes that are sent unchanged. It raises HttpError to reject the request.
    """

    method: bytes
    handler: Callable[[str], str | bytes]
    takes_query: bool = False


Routes = dict[bytes, Route]


class ThreadedHttpConnection(asyncio.Protocol):
    """One client connection; it carries one request."""

    def __init__(self, server: ThreadedHttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.body = b""
        self.received_bytes = 0
        self.expects_continue = self.is_head_complete = False
        self.is_complete = self.is_finished = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timeout = self.server.loop.call_later(REQUEST_TIMEOUT_S, self._timed_out)
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_finished = True
        self.timeout.cancel()
        self.server.connections.pop(self, None)
        del self.parser  # it refers back to this connection

    def data_received(self, data: bytes) -> None:
        if self.is_finished:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if self.is_complete:
                self._respond(HTTPStatus.OK, self._call_handler())
            elif not self.is_head_complete and self.received_bytes > MAX_HEAD_BYTES:
                raise HttpError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._reject(cause if isinstance(cause, HttpError) else MALFORMED)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(MALFORMED)
        except HttpError as error:
            self._reject(error)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.expects_continue |= name.lower() == b"expect" and value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        self.is_head_complete = True
        if self.expects_continue and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.server.max_body_bytes:
            raise HttpError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        self.is_complete = True

    def _call_handler(self) -> str | bytes:
        path, _, query = self.target.partition(b"?")
        route = self.server.routes.get(path)
        if route is None:
            raise HttpError(HTTPStatus.NOT_FOUND, "unknown path")
        if self.parser.get_method() != route.method:
            raise HttpError(HTTPStatus.METHOD_NOT_ALLOWED, f"this path requires {route.method.decode()}")
        try:
            return route.handler(query.decode() if route.takes_query else self.body.decode().strip())
        except UnicodeDecodeError:
            raise HttpError(HTTPStatus.BAD_REQUEST, "the request must be UTF-8 text") from None

    def _reject(self, error: HttpError) -> None:
        self._respond(error.status, f"{error}; {error.remedy}")

    def _respond(self, status: HTTPStatus, content: str | bytes) -> None:
        """Send the response, then close the connection.

        If the request was not received whole, what still arrives is discarded for a moment:
        closing with unread bytes would reset the connection and lose the response.
        """
        self.is_finished = True
        if self.transport is None or self.transport.is_closing():
            return
        content_type, body = b"application/octet-stream", content
        if isinstance(body, str):
            content_type, body = b"text/plain; charset=utf-8", f"{body}\n".encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, status.phrase.encode(), content_type, len(body), body)
        )
        if self.is_complete:
            self.transport.close()
        else:
            self.transport.write_eof()
        self.timeout.cancel()
        self.timeout = self.server.loop.call_later(LINGER_TIMEOUT_S, self.transport.abort)

    def _timed_out(self) -> None:
        if self.received_bytes:
            self._reject(HttpError(HTTPStatus.REQUEST_TIMEOUT, "the request was not received whole in time"))
        else:
            self.abort_connection()

    def abort_connection(self) -> None:
        """Close the connection without a response."""
        self.is_finished = True
        if self.transport is not None:
            self.transport.abort()


MALFORMED = HttpError(HTTPStatus.BAD_REQUEST, "malformed request")


class ThreadedHttpServer:
    """The listener and its thread, which also runs `periodic_tasks` every `period_s`."""

    def __init__(
        self,
        routes: Routes,
        periodic_tasks: Sequence[Callable[[], None]] = (),
        period_s: float = 1.0,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.routes, self.periodic_tasks, self.period_s, self.max_body_bytes = (
            routes,
            periodic_tasks,
            period_s,
            max_body_bytes,
        )
        self.connections: dict[ThreadedHttpConnection, None] = {}  # oldest first
        self.loop = uvloop.new_event_loop()
        self.thread = threading.Thread(target=self._run, name="console", daemon=True)
        self.listening_socket: socket.socket | None = None
        self.acceptor: Acceptor | None = None

    def open(self, host: str, port: int) -> int:
        """Listen and start the thread; return the port. Raises OSError if the address can't be used."""
        self.listening_socket = socket.create_server((host, port), backlog=BACKLOG)
        self.thread.start()
        return int(self.listening_socket.getsockname()[1])

    def close(self) -> None:
        """Stop the thread and close its event loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        if self.acceptor is not None:
            self.acceptor.close()
        self.loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        assert self.listening_socket is not None
        self.acceptor = Acceptor(self.loop, [self.listening_socket], lambda: ThreadedHttpConnection(self))
        self._run_periodic_tasks()
        self.loop.run_forever()

    def _run_periodic_tasks(self) -> None:
        for task in self.periodic_tasks:
            task()
        self.loop.call_later(self.period_s, self._run_periodic_tasks)

    def add_connection(self, connection: ThreadedHttpConnection) -> None:
        """Register a new connection; if there are too many, abort the oldest."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort_connection()
