"""The operators' door: a second listener, for calls about this process.

It runs on a loop and a thread of its own, so that an answer waits for no
balancing work, and holds few connections, so that callers who hold on to
theirs cost the balancing nothing.
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

# Descriptors set aside: the listener, the loop's own, and the callers'.
MAX_CONNECTIONS = 24
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 8
# How long a connection may take to bring its call, and to read the answer.
REQUEST_TIMEOUT_S, LINGER_TIMEOUT_S = 3.0, 1.0
MAX_BODY_BYTES, MAX_HEAD_BYTES = 1024, 8 * 1024
BACKLOG = 128


class HttpError(WoadyardError):
    """A call that gets no for an answer; the text says why."""

    remedy = "see docs/on-call.md for the door's calls"

    def __init__(self, status: HTTPStatus, text: str, remedy: str | None = None) -> None:
        super().__init__(text, remedy)
        self.status = status


@dataclass(frozen=True)
class Route:
    """One call: its method, and what it does with the body, or (`query`) with what stands behind
    the `?`; `HttpError` says no. Bytes are answered as they are."""

    method: bytes
    handler: Callable[[str], str | bytes]
    takes_query: bool = False


Routes = dict[bytes, Route]


class ThreadedHttpConnection(asyncio.Protocol):
    """One connection of an operator; it carries one call."""

    def __init__(self, console: ThreadedHttpServer) -> None:
        self.server = console
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = self.body = b""
        self.fed = 0
        self.expects = self.in_body = False
        self.whole = self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.patience = self.server.loop.call_later(REQUEST_TIMEOUT_S, self._out_of_patience)
        self.server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.patience.cancel()
        self.server.connections.pop(self, None)
        del self.parser  # it holds the visitor in turn

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
            if self.whole:
                self._answer(HTTPStatus.OK, self._act())
            elif not self.in_body and self.fed > MAX_HEAD_BYTES:
                raise HttpError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self._refuse(cause if isinstance(cause, HttpError) else MALFORMED)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(MALFORMED)
        except HttpError as error:
            self._refuse(error)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.expects |= name.lower() == b"expect" and value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        self.in_body = True
        if self.expects and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.server.max_body_bytes:
            raise HttpError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        self.whole = True

    def _act(self) -> str | bytes:
        path, _, query = self.target.partition(b"?")
        route = self.server.routes.get(path)
        if route is None:
            raise HttpError(HTTPStatus.NOT_FOUND, "unknown path")
        if self.parser.get_method() != route.method:
            raise HttpError(HTTPStatus.METHOD_NOT_ALLOWED, f"this call is a {route.method.decode()}")
        try:
            return route.handler(query.decode() if route.takes_query else self.body.decode().strip())
        except UnicodeDecodeError:
            raise HttpError(HTTPStatus.BAD_REQUEST, "the body is no text") from None

    def _refuse(self, error: HttpError) -> None:
        self._answer(error.status, f"{error}; {error.remedy}")

    def _answer(self, status: HTTPStatus, told: str | bytes) -> None:
        """The answer, then the end; what still comes is dropped for a moment,
        as closing on unread bytes would reset the answer away."""
        self.over = True
        if self.transport is None or self.transport.is_closing():
            return
        kind, body = b"application/octet-stream", told
        if isinstance(body, str):
            kind, body = b"text/plain; charset=utf-8", f"{body}\n".encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, status.phrase.encode(), kind, len(body), body)
        )
        if self.whole:
            self.transport.close()
        else:
            self.transport.write_eof()
        self.patience.cancel()
        self.patience = self.server.loop.call_later(LINGER_TIMEOUT_S, self.transport.abort)

    def _out_of_patience(self) -> None:
        if self.fed:
            self._refuse(HttpError(HTTPStatus.REQUEST_TIMEOUT, "the call did not come whole in time"))
        else:
            self.drop()

    def drop(self) -> None:
        self.over = True
        if self.transport is not None:
            self.transport.abort()


MALFORMED = HttpError(HTTPStatus.BAD_REQUEST, "malformed")


class ThreadedHttpServer:
    """The listener, and the thread that serves it; the looks are taken there every so often."""

    def __init__(
        self,
        routes: Routes,
        looks: Sequence[Callable[[], None]] = (),
        every_s: float = 1.0,
        body_max: int = MAX_BODY_BYTES,
    ) -> None:
        self.routes, self.periodic_tasks, self.period_s, self.max_body_bytes = (
            routes,
            looks,
            every_s,
            body_max,
        )
        self.connections: dict[ThreadedHttpConnection, None] = {}  # the longest here first
        self.loop = uvloop.new_event_loop()
        self.thread = threading.Thread(target=self._run, name="console", daemon=True)
        self.listening_socket: socket.socket | None = None

    def open(self, host: str, port: int) -> int:
        """Listen, and serve from now on; OSError where the address can't be used."""
        self.listening_socket = socket.create_server((host, port), backlog=BACKLOG)
        self.thread.start()
        return int(self.listening_socket.getsockname()[1])

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(
            self.loop.create_server(
                lambda: ThreadedHttpConnection(self), sock=self.listening_socket, backlog=BACKLOG
            )
        )
        self._look()
        self.loop.run_forever()

    def _look(self) -> None:
        for look in self.periodic_tasks:
            look()
        self.loop.call_later(self.period_s, self._look)

    def add_connection(self, visitor: ThreadedHttpConnection) -> None:
        """One more; where that is too many, the one longest here gives way."""
        self.connections[visitor] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.drop()
