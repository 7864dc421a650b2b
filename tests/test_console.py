"""The HTTP server of the admin listener, over loopback."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from http import HTTPStatus

import pytest

from woadyard.net.threaded_http import MAX_CONNECTIONS, HttpError, Route, ThreadedHttpServer

TIMEOUT_S = 20.0  # ends a test that hangs; no behaviour depends on it


def reject(body: str) -> str:
    raise HttpError(HTTPStatus.NOT_FOUND, "never listed")


@contextlib.contextmanager
def running_server() -> Iterator[tuple[int, list[str]]]:
    """Yield the port, and the bodies that the handler of `/note` received."""
    received: list[str] = []

    def note(body: str) -> str:
        received.append(body)
        return "done"

    server = ThreadedHttpServer(
        {
            b"/_ready": Route(b"GET", lambda body: "ready"),
            b"/note": Route(b"POST", note),
            b"/refuse": Route(b"POST", reject),
        }
    )
    port = server.open("127.0.0.1", 0)
    try:
        yield port, received
    finally:
        server.close()


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)


def read_to_end(connection: socket.socket) -> bytes:
    parts = []
    while part := connection.recv(4096):
        parts.append(part)
    return b"".join(parts)


def send(port: int, *parts: bytes) -> bytes:
    """Send a request in these parts on a new connection; return the response."""
    with connect(port) as connection:
        for part in parts:
            connection.sendall(part)
        return read_to_end(connection)


def post(path: str, body: bytes) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def test_a_request_gets_a_response_and_its_connection_is_closed() -> None:
    with running_server() as (port, received):
        response = send(port, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 200 OK\r\n") and response.endswith(b"\r\n\r\nready\n")
        assert send(port, post("/note?why=x", b" s-1\n")).startswith(b"HTTP/1.1 200 ")
        chunked = b"POST /note HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-2\r\n0\r\n\r\n"
        assert send(port, *(chunked[n : n + 1] for n in range(len(chunked)))).startswith(b"HTTP/1.1 200 ")
        assert received == ["s-1", "s-2"]


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /_unknown HTTP/1.1\r\n\r\n", 404),
        (b"GET /note HTTP/1.1\r\n\r\n", 405),
        (b"POST /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (post("/refuse", b"s-1"), 404),
        (post("/note", b"\xff\xfe"), 400),
        (post("/note", b"x" * 2000), 413),
        (b"GET /_ready HTTP/1.1\r\nX: " + b"x" * 9000, 431),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /note HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
    ],
)
def test_an_invalid_request_is_rejected_and_has_no_effect(raw: bytes, status: int) -> None:
    with running_server() as (port, received):
        assert send(port, raw).startswith(b"HTTP/1.1 %d " % status)
        assert not received


def test_expect_100_continue_is_answered_before_the_body() -> None:
    with running_server() as (port, received), connect(port) as connection:
        connection.sendall(b"POST /note HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert connection.recv(4096) == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.sendall(b"s-1")
        assert read_to_end(connection).startswith(b"HTTP/1.1 200 ") and received == ["s-1"]


def test_idle_and_incomplete_connections_are_closed_after_the_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("woadyard.net.threaded_http.REQUEST_TIMEOUT_S", 0.05)
    with running_server() as (port, _), connect(port) as silent, connect(port) as incomplete:
        incomplete.sendall(b"GET /_re")
        assert read_to_end(silent) == b""
        assert read_to_end(incomplete).startswith(b"HTTP/1.1 408 ")


def test_open_connections_above_the_maximum_do_not_block_new_ones() -> None:
    with running_server() as (port, _), contextlib.ExitStack() as stack:
        held = [stack.enter_context(connect(port)) for _ in range(MAX_CONNECTIONS + 8)]
        for connection in held[MAX_CONNECTIONS:]:
            connection.sendall(b"GET")
        assert send(port, b"GET /_ready HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200 ")
        with contextlib.suppress(ConnectionResetError):
            assert read_to_end(held[0]) == b"", "the oldest connection was aborted"


def test_the_server_responds_while_the_main_thread_is_busy() -> None:
    """It has a thread of its own: balancing work on another thread does not delay it."""
    with running_server() as (port, _):
        answered = threading.Event()

        def request() -> None:
            send(port, b"GET /_ready HTTP/1.1\r\n\r\n")
            answered.set()

        client = threading.Thread(target=request)
        client.start()
        while not answered.is_set():  # never yields of its own accord
            pass
        client.join()


def test_an_address_in_use_is_an_error() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(OSError, match="in use"):
        ThreadedHttpServer({}).open("127.0.0.1", taken.getsockname()[1])
