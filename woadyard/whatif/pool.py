"""Runs replays in worker processes; the result does not depend on their number.

The job of a worker that dies, at whatever moment, is run again by another. A worker that sends
nothing for too long, or works on one job for too long, is killed and counts as dead.
"""

from __future__ import annotations

import logging
import pickle
import selectors
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from woadyard.errors import TraceError
from woadyard.whatif.model import FleetModel
from woadyard.whatif.tally import Tally, TallyLayout
from woadyard.whatif.worker import JobDone, JobFailed, Message, ReplayJob, ReplayRunner, WorkerSetup
from woadyard.whatif.worker_handle import WorkerHandle, WorkerLostError

__all__ = ["PoolLimits", "ReplayJob", "run_replays"]

LOG = logging.getLogger(__name__)
# Workers that may die on one job before giving up: the cause is persistent then.
MAX_TRIES = 4


@dataclass(frozen=True)
class PoolLimits:
    """Time limits of a pool's workers, in seconds."""

    heartbeat_s: float = 1.0
    # Without a sign of the worker. It includes its start, when it loads the libraries.
    silence_s: float = 30.0
    job_s: float = 1800.0


class ReplayPool:
    """Distributes jobs over worker processes; a job's index identifies it."""

    def __init__(
        self,
        setup_file: Path,
        job_count: int,
        workers: int,
        on_job_done: Callable[[], None],
        limits: PoolLimits,
    ) -> None:
        self.setup_file, self.job_count, self.workers = setup_file, job_count, workers
        self.on_job_done, self.limits = on_job_done, limits
        self.context = get_context("spawn")
        self.selector = selectors.DefaultSelector()
        self.handles: set[WorkerHandle] = set()
        self.pending = deque(range(job_count))
        self.losses = Counter[int]()  # by job: the workers that died on it
        self.tallies: dict[int, Tally] = {}

    def run(self) -> list[Tally]:
        """Run all jobs and return their tallies, in their order.

        Raises `TraceError` if workers die again and again on one job, and the error of a job that fails."""
        try:
            while len(self.tallies) < self.job_count:
                self._start_workers()
                for key, _ in self.selector.select(self.limits.heartbeat_s):
                    self._receive(key.fileobj)
                self._kill_unresponsive_workers()
        finally:
            self.close()
        return [self.tallies[index] for index in range(self.job_count)]

    def close(self) -> None:
        """Kill all workers."""
        for handle in self.handles:
            handle.close()
        self.handles.clear()
        self.selector.close()

    def _start_workers(self) -> None:
        while self.pending and len(self.handles) < self.workers:
            handle = WorkerHandle(self.context, self.setup_file, self.limits.heartbeat_s)
            self.handles.add(handle)
            self.selector.register(handle, selectors.EVENT_READ)
            handle.start_job(self.pending.popleft())

    def _receive(self, handle: object) -> None:
        assert isinstance(handle, WorkerHandle)
        try:
            messages = handle.receive()
        except WorkerLostError:
            self._worker_lost(handle)
            return
        for message in messages:
            self._handle_message(handle, message)

    def _handle_message(self, handle: WorkerHandle, message: Message) -> None:
        if isinstance(message, JobFailed):
            raise message.error
        if isinstance(message, JobDone):
            self.tallies[message.index] = message.tally
            handle.job = None
            if self.pending:
                handle.start_job(self.pending.popleft())
            self.on_job_done()

    def _worker_lost(self, handle: WorkerHandle) -> None:
        self.selector.unregister(handle)
        self.handles.discard(handle)
        status = handle.close()
        progress = {"done": len(self.tallies), "of": self.job_count}
        LOG.warning("a worker died", extra={"status": status, "job": handle.job, **progress})
        if handle.job is None:
            return
        self.losses[handle.job] += 1
        if self.losses[handle.job] >= MAX_TRIES:
            raise TraceError(
                f"{MAX_TRIES} replay workers died on one replay",
                "check the machine's memory or use fewer workers",
            )
        self.pending.appendleft(handle.job)

    def _kill_unresponsive_workers(self) -> None:
        """Kill the workers past their limits; the end of their streams follows."""
        now_s = time.monotonic()
        for handle in self.handles:
            silence_s = now_s - handle.heard_s
            job_s = 0.0 if handle.job is None else now_s - handle.job_started_s
            if silence_s > self.limits.silence_s or job_s > self.limits.job_s:
                fields = {"silent_s": round(silence_s, 1), "job_s": round(job_s, 1)}
                LOG.warning("an unresponsive worker is killed", extra={"job": handle.job, **fields})
                handle.process.kill()


def run_replays(
    data: Sequence[bytes],
    model: FleetModel,
    layout: TallyLayout,
    jobs: Sequence[ReplayJob],
    workers: int,
    on_job_done: Callable[[], None] = lambda: None,
    limits: PoolLimits | None = None,
) -> list[Tally]:
    """Return the tally of each job, in the order of `jobs`.

    Raises `TraceError` if workers die again and again on one job."""
    setup = WorkerSetup(data, msgspec.msgpack.encode(model), layout, jobs)
    if workers < 2:
        runner = ReplayRunner(setup)
        return [runner.run_job(job) for job in jobs]
    with TemporaryDirectory(prefix="woadyard-replay-") as folder:
        setup_file = Path(folder) / "setup"
        setup_file.write_bytes(pickle.dumps(setup))
        return ReplayPool(setup_file, len(jobs), workers, on_job_done, limits or PoolLimits()).run()
