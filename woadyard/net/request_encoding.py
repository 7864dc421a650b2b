"""Encodes the request of an attempt for its endpoint."""

from __future__ import annotations

from woadyard.net.message import Attempt


def encode_request(attempt: Attempt, now: int) -> bytes:
    """Encode the request head, and the body if it is buffered whole; `now` in µs."""
    call, upload = attempt.call, attempt.call.upload
    # Rounded down: the endpoint must not work on after the sidecar has stopped waiting.
    wait_us = attempt.timeout_at_us - now if upload is None or upload.is_complete else call.timeout_us
    deadline_header = b"X-Deadline-Ms: %d\r\n" % max(1, wait_us // 1000)
    if upload is not None and upload.length is None:
        length_header = b"Transfer-Encoding: chunked\r\n"
    elif call.method_and_target.startswith(b"GET ") and not call.body and upload is None:
        length_header = b""
    else:
        length_header = b"Content-Length: %d\r\n" % (len(call.body) if upload is None else upload.length or 0)
    head = call.header_lines + attempt.extra_headers
    return b"%b HTTP/1.1\r\n%b%b%b\r\n%b" % (
        call.method_and_target,
        head,
        deadline_header,
        length_header,
        call.body,
    )
