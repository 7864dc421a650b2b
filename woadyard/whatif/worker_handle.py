"""The pool's side of one worker: its process, its connection, and the messages received from it.

No call waits for the worker: a message that has come in part stays in the buffer.
"""

from __future__ import annotations

import contextlib
import pickle
import socket
import time
from multiprocessing.context import SpawnContext
from pathlib import Path

from woadyard.whatif.worker import INDEX, LENGTH, Message, run_worker

RECEIVE_SIZE = 1024 * 1024
# For the system to reap a killed process; one that it can't reap yet is left to it.
REAP_TIMEOUT_S = 5.0


class WorkerLostError(Exception):
    """The worker has died, or closed its connection."""


class WorkerHandle:
    """One worker process, which runs one job at a time. Times are of the monotonic clock."""

    def __init__(self, context: SpawnContext, setup_file: Path, heartbeat_s: float) -> None:
        self.connection, worker_end = socket.socketpair()
        self.connection.setblocking(False)
        # The arguments must fit a pipe's buffer: `start` would wait for a worker that dies at its start.
        arguments = (setup_file, worker_end, heartbeat_s)
        self.process = context.Process(target=run_worker, args=arguments, daemon=True)
        with worker_end:  # the worker's copy must be the only one, or its death would go unnoticed
            self.process.start()
        self.buffer = bytearray()
        self.job: int | None = None  # the index of the job that it runs
        self.heard_s = self.job_started_s = time.monotonic()

    def fileno(self) -> int:
        """Return the descriptor to wait on for messages."""
        return self.connection.fileno()

    def start_job(self, index: int) -> None:
        """Send a job; if the worker is lost, that shows when it is next received from."""
        self.job, self.job_started_s = index, time.monotonic()
        with contextlib.suppress(OSError):
            self.connection.send(INDEX.pack(index))

    def receive(self) -> list[Message]:
        """Return the messages that have come whole. Raises WorkerLostError at the end of the stream."""
        try:
            received = self.connection.recv(RECEIVE_SIZE)
        except BlockingIOError:
            return []
        except OSError as error:
            raise WorkerLostError from error
        if not received:
            raise WorkerLostError
        self.heard_s = time.monotonic()
        self.buffer += received
        return self._take_messages()

    def _take_messages(self) -> list[Message]:
        messages: list[Message] = []
        while len(self.buffer) >= LENGTH.size:
            end = LENGTH.size + LENGTH.unpack_from(self.buffer)[0]
            if len(self.buffer) < end:
                break
            messages.append(pickle.loads(self.buffer[LENGTH.size : end]))
            del self.buffer[:end]
        return messages

    def close(self) -> int | None:
        """Kill the process if it still runs, and return its exit status; None if it isn't reaped yet."""
        self.connection.close()
        self.process.kill()
        self.process.join(REAP_TIMEOUT_S)
        return self.process.exitcode
