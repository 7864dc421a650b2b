"""Replays spread over worker processes; the result is the same however many there are.

A worker that dies takes its pool along: what was not finished is done again in a new one.
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
# Pools begun anew after a death, at most: more is no accident.
MAX_POOLS = 4

# One replay: its seed, and the proposed weights (none: those that were recorded).
ReplayJob = tuple[int, Mapping[str, float] | None]


class ReplayWorker:
    """What every worker holds: the scene, its model and the frame of the tallies."""

    def __init__(self, data: Sequence[bytes], model: FleetModel, frame: TallyLayout) -> None:
        self.workload = Workload([read_trace(one) for one in data])
        self.model, self.layout = model, frame

    def run(self, job: ReplayJob) -> Tally:
        seed, weights = job
        chosen = None if weights is None else dict(weights)
        return build_tally(Replay(self.workload, self.model, seed, chosen).run(), self.layout)


_worker: list[ReplayWorker] = []  # a worker's one, laid out when the process starts


def _init_worker(data: Sequence[bytes], model: bytes, frame: TallyLayout) -> None:
    _worker.append(ReplayWorker(data, msgspec.msgpack.decode(model, type=FleetModel), frame))


def _run_job(job: ReplayJob) -> Tally:
    return _worker[0].run(job)


def run_replays(
    data: Sequence[bytes],
    model: FleetModel,
    frame: TallyLayout,
    jobs: Sequence[ReplayJob],
    workers: int,
    halfway: Callable[[], None] = lambda: None,
) -> list[Tally]:
    """Each job's tally, in their order. `TraceError` where workers keep dying."""
    if workers < 2:
        bench = ReplayWorker(data, model, frame)
        return [bench.run(job) for job in jobs]
    done: dict[int, Tally] = {}
    packed = msgspec.msgpack.encode(model)
    for _ in range(MAX_POOLS):
        left = [at for at in range(len(jobs)) if at not in done]
        if not left:
            break
        context = get_context("spawn")
        with ProcessPoolExecutor(
            min(workers, len(left)), context, _init_worker, (data, packed, frame)
        ) as pool:
            futures: dict[Future[Tally], int] = {pool.submit(_run_job, jobs[at]): at for at in left}
            try:
                for one in as_completed(futures):
                    done[futures[one]] = one.result()
                    halfway()
            except BrokenProcessPool:
                LOG.warning("a worker died", extra={"done": len(done), "of": len(jobs)})
    if len(done) < len(jobs):
        raise TraceError(
            f"replays died {MAX_POOLS} times", "see to the machine's memory; ask for fewer workers"
        )
    return [done[at] for at in range(len(jobs))]
