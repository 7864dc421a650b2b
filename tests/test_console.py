"""The operators' door, over loopback."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from http import HTTPStatus

import pytest

from woadyard.net.threaded_http import MAX_CONNECTIONS, HttpError, Route, ThreadedHttpServer

TIMEOUT_S = 20.0  # for a test that hangs; nothing is measured by it


def refuse(body: str) -> str:
    raise HttpError(HTTPStatus.NOT_FOUND, "never listed")


@contextlib.contextmanager
def door() -> Iterator[tuple[int, list[str]]]:
    """Its port, and the bodies of the calls that it carried out."""
    told: list[str] = []

    def note(body: str) -> str:
        told.append(body)
        return "done"

    console = ThreadedHttpServer(
        {
            b"/_ready": Route(b"GET", lambda body: "ready"),
            b"/note": Route(b"POST", note),
            b"/refuse": Route(b"POST", refuse),
        }
    )
    port = console.open("127.0.0.1", 0)
    try:
        yield port, told
    finally:
        console.close()


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)


def rest(one: socket.socket) -> bytes:
    parts = []
    while part := one.recv(4096):
        parts.append(part)
    return b"".join(parts)


def call(port: int, *parts: bytes) -> bytes:
    with connect(port) as one:
        for part in parts:
            one.sendall(part)
        return rest(one)


def post(path: str, body: bytes) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def test_a_call_is_answered_and_its_connection_ended() -> None:
    with door() as (port, told):
        back = call(port, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert back.startswith(b"HTTP/1.1 200 OK\r\n") and back.endswith(b"\r\n\r\nready\n")
        assert call(port, post("/note?why=x", b" s-1\n")).startswith(b"HTTP/1.1 200 ")
        chunked = b"POST /note HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-2\r\n0\r\n\r\n"
        assert call(port, *(chunked[n : n + 1] for n in range(len(chunked)))).startswith(b"HTTP/1.1 200 ")
        assert told == ["s-1", "s-2"]


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
def test_what_is_no_call_gets_a_no_and_changes_nothing(raw: bytes, status: int) -> None:
    with door() as (port, told):
        assert call(port, raw).startswith(b"HTTP/1.1 %d " % status)
        assert not told


def test_who_expects_a_word_first_gets_it() -> None:
    with door() as (port, told), connect(port) as one:
        one.sendall(b"POST /note HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert one.recv(4096) == b"HTTP/1.1 100 Continue\r\n\r\n"
        one.sendall(b"s-1")
        assert rest(one).startswith(b"HTTP/1.1 200 ") and told == ["s-1"]


def test_callers_that_hold_on_are_cut_each_in_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("woadyard.net.threaded_http.REQUEST_TIMEOUT_S", 0.05)
    with door() as (port, _), connect(port) as silent, connect(port) as half:
        half.sendall(b"GET /_re")
        assert rest(silent) == b""
        assert rest(half).startswith(b"HTTP/1.1 408 ")


def test_many_that_hold_on_keep_nobody_out() -> None:
    with door() as (port, _), contextlib.ExitStack() as stack:
        held = [stack.enter_context(connect(port)) for _ in range(MAX_CONNECTIONS + 8)]
        for one in held[MAX_CONNECTIONS:]:
            one.sendall(b"GET")
        assert call(port, b"GET /_ready HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200 ")
        with contextlib.suppress(ConnectionResetError):
            assert rest(held[0]) == b"", "the one longest here gave way"


def test_the_door_answers_while_the_balancing_is_at_work() -> None:
    """Its thread is its own: what keeps this one busy keeps nobody waiting there."""
    with door() as (port, _):
        answered = threading.Event()

        def ask() -> None:
            call(port, b"GET /_ready HTTP/1.1\r\n\r\n")
            answered.set()

        asker = threading.Thread(target=ask)
        asker.start()
        while not answered.is_set():  # never hands over of its own accord
            pass
        asker.join()


def test_an_address_in_use_is_an_error() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(OSError, match="in use"):
        ThreadedHttpServer({}).open("127.0.0.1", taken.getsockname()[1])
