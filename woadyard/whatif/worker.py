"""The worker process of the replay pool, and the messages that it exchanges with the pool.

The pool sends the index of a job; the worker sends a `JobDone` or a `JobFailed`, and a `Heartbeat`
at intervals. Each worker has a socket pair of its own: no other process holds its end open or
shares a lock with it, so that a worker that dies at any moment shows as the end of its stream.
"""

from __future__ import annotations

import contextlib
import os
import pickle
import socket
import struct
import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from woadyard.whatif.model import FleetModel
from woadyard.whatif.replay import Replay
from woadyard.whatif.tally import Tally, TallyLayout, build_tally
from woadyard.whatif.trace import read_trace
from woadyard.whatif.workload import Workload

# One replay: its seed and the proposed weights (None: the recorded weights).
ReplayJob = tuple[int, Mapping[str, float] | None]

# Before each message, the length of its pickle; before each job, its index.
LENGTH = struct.Struct("!Q")
INDEX = struct.Struct("!I")


@dataclass(frozen=True)
class WorkerSetup:
    """What a worker needs to run any job: encoded traces and model, the tallies' layout, all jobs."""

    data: Sequence[bytes]
    model: bytes
    layout: TallyLayout
    jobs: Sequence[ReplayJob]


@dataclass(frozen=True)
class Heartbeat:
    """The worker is running."""


@dataclass(frozen=True)
class JobDone:
    """A job has ended with its tally."""

    index: int
    tally: Tally


@dataclass(frozen=True)
class JobFailed:
    """A job has raised an error."""

    index: int
    error: Exception


Message = Heartbeat | JobDone | JobFailed


class ReplayRunner:
    """Runs jobs: the workload, its model and the layout of the tallies."""

    def __init__(self, setup: WorkerSetup) -> None:
        self.workload = Workload([read_trace(trace_bytes) for trace_bytes in setup.data])
        self.model: FleetModel = msgspec.msgpack.decode(setup.model, type=FleetModel)
        self.layout = setup.layout

    def run_job(self, job: ReplayJob) -> Tally:
        seed, proposed = job
        weights = None if proposed is None else dict(proposed)
        return build_tally(Replay(self.workload, self.model, seed, weights).run(), self.layout)


class MessageSender:
    """Sends messages to the pool, one at a time, from any thread."""

    def __init__(self, connection: socket.socket) -> None:
        self.connection, self.lock = connection, threading.Lock()

    def send(self, message: Message) -> None:
        """Send a message; raises OSError if the pool has gone."""
        encoded = pickle.dumps(message)
        with self.lock:
            self.connection.sendall(LENGTH.pack(len(encoded)) + encoded)

    def send_heartbeats(self, interval_s: float) -> None:
        """Send heartbeats until the pool has gone, and end the process then: nobody awaits its result."""
        with contextlib.suppress(OSError):
            while True:
                self.send(Heartbeat())
                time.sleep(interval_s)
        os._exit(1)


def receive_index(connection: socket.socket) -> int | None:
    """Return the index of the next job; None if the pool has no more."""
    received = connection.recv(INDEX.size, socket.MSG_WAITALL)
    return int(INDEX.unpack(received)[0]) if len(received) == INDEX.size else None


def run_worker(setup_file: Path, connection: socket.socket, heartbeat_s: float) -> None:
    """Run jobs until the pool closes the connection; the main function of a worker process."""
    sender = MessageSender(connection)
    threading.Thread(target=sender.send_heartbeats, args=(heartbeat_s,), daemon=True).start()
    setup: WorkerSetup = pickle.loads(setup_file.read_bytes())
    runner = ReplayRunner(setup)
    while (index := receive_index(connection)) is not None:
        message: Message
        try:
            message = JobDone(index, runner.run_job(setup.jobs[index]))
        except Exception as error:
            message = JobFailed(index, error)
        sender.send(message)
