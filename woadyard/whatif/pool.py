"""Runs replays in worker processes; the result does not depend on their number.

A worker that dies breaks its pool: the unfinished jobs are run again in a new pool.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from multiprocessing import get_context

import msgspec

from woadyard.errors import TraceError
from woadyard.whatif.model import FleetModel
from woadyard.whatif.replay import Replay
from woadyard.whatif.tally import Tally, TallyLayout, build_tally
from woadyard.whatif.trace import read_trace
from woadyard.whatif.workload import Workload

LOG = logging.getLogger(__name__)
# Pools to try before giving up: if workers die in all of them, the cause is persistent.
MAX_POOLS = 4

# One replay: its seed and the proposed weights (None: the recorded weights).
ReplayJob = tuple[int, Mapping[str, float] | None]


class ReplayWorker:
    """The state of a worker process: the workload, its model and the layout of the tallies."""

    def __init__(self, data: Sequence[bytes], model: FleetModel, layout: TallyLayout) -> None:
        self.workload = Workload([read_trace(trace_bytes) for trace_bytes in data])
        self.model, self.layout = model, layout

    def run_job(self, job: ReplayJob) -> Tally:
        seed, proposed = job
        weights = None if proposed is None else dict(proposed)
        return build_tally(Replay(self.workload, self.model, seed, weights).run(), self.layout)


_worker: list[ReplayWorker] = []  # the worker of this process, created when it starts


def _init_worker(data: Sequence[bytes], model: bytes, layout: TallyLayout) -> None:
    _worker.append(ReplayWorker(data, msgspec.msgpack.decode(model, type=FleetModel), layout))


def _run_job(job: ReplayJob) -> Tally:
    return _worker[0].run_job(job)


def run_replays(
    data: Sequence[bytes],
    model: FleetModel,
    layout: TallyLayout,
    jobs: Sequence[ReplayJob],
    workers: int,
    on_job_done: Callable[[], None] = lambda: None,
) -> list[Tally]:
    """Return the tally of each job, in the order of `jobs`.

    Raises `TraceError` if workers died in each of `MAX_POOLS` pools."""
    if workers < 2:
        worker = ReplayWorker(data, model, layout)
        return [worker.run_job(job) for job in jobs]
    tallies: dict[int, Tally] = {}
    packed_model = msgspec.msgpack.encode(model)
    for _ in range(MAX_POOLS):
        unfinished = [index for index in range(len(jobs)) if index not in tallies]
        if not unfinished:
            break
        context = get_context("spawn")
        with ProcessPoolExecutor(
            min(workers, len(unfinished)), context, _init_worker, (data, packed_model, layout)
        ) as pool:
            futures: dict[Future[Tally], int] = {
                pool.submit(_run_job, jobs[index]): index for index in unfinished
            }
            try:
                for future in as_completed(futures):
                    tallies[futures[future]] = future.result()
                    on_job_done()
            except BrokenProcessPool:
                LOG.warning("a worker died", extra={"done": len(tallies), "of": len(jobs)})
    if len(tallies) < len(jobs):
        raise TraceError(
            f"replay workers died in {MAX_POOLS} pools", "check the machine's memory or use fewer workers"
        )
    return [tallies[index] for index in range(len(jobs))]
