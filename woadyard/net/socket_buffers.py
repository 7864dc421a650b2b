"""What the system's buffers of a connection hold, and how much they can hold."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import functools
import socket
import struct
import termios
from array import array
from pathlib import Path

# Linux: what a socket's buffers take, the receive buffer first.
SO_MEMINFO, RECEIVE_MEMORY = 55, struct.Struct("=I")
# The least, default and largest size of a sender's buffer, which grows by itself.
SEND_BUFFER_SIZES = Path("/proc/sys/net/ipv4/tcp_wmem")
DEFAULT_MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024
MAX_SEGMENT_BYTES = 64 * 1024  # by which each buffer may exceed its size


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many received bytes wait in the socket; 0 where the system does not tell."""
    return _queued_bytes(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged; 0 where the system does not tell."""
    return _queued_bytes(transport, termios.TIOCOUTQ)


def receive_memory(transport: asyncio.Transport) -> int:
    """Return what received data takes of the socket's receive buffer, which for small pieces is far more
    than their size; just their size where the system does not tell."""
    with contextlib.suppress(OSError, struct.error):
        raw = transport.get_extra_info("socket").getsockopt(
            socket.SOL_SOCKET, SO_MEMINFO, RECEIVE_MEMORY.size
        )
        return int(RECEIVE_MEMORY.unpack(raw)[0])
    return unread_bytes(transport)


def max_unread_bytes(receiver: socket.socket) -> int:
    """Return how much a peer with this system's settings may have written that is not read from the socket.

    It may all wait in the peer's send buffer and this socket's receive buffer.
    """
    receive_buffer_bytes = receiver.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return max_send_buffer_bytes() + receive_buffer_bytes + 2 * MAX_SEGMENT_BYTES


@functools.cache
def max_send_buffer_bytes() -> int:
    """Return the largest size that a sender's buffer grows to by this system's settings."""
    try:
        sizes = SEND_BUFFER_SIZES.read_text(encoding="ascii").split()
        return max(DEFAULT_MAX_SEND_BUFFER_BYTES, int(sizes[2]))
    except (OSError, ValueError, IndexError):
        return DEFAULT_MAX_SEND_BUFFER_BYTES


def _queued_bytes(transport: asyncio.Transport, queue: int) -> int:
    count = array("i", [0])
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), queue, count)
    except OSError:
        return 0
    return count[0]
