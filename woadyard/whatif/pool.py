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
from woadyard.whatif.model import Model
from woadyard.whatif.replay import Replay
from woadyard.whatif.scene import Scene
from woadyard.whatif.tally import Frame, Tally, tally
from woadyard.whatif.trace import read

LOG = logging.getLogger(__name__)
# Pools begun anew after a death, at most: more is no accident.
AGAIN_MOST = 4

# One replay: its seed, and the proposed weights (none: those that were recorded).
Job = tuple[int, Mapping[str, float] | None]


class Bench:
    """What every worker holds: the scene, its model and the frame of the tallies."""

    def __init__(self, data: Sequence[bytes], model: Model, frame: Frame) -> None:
        self.scene = Scene([read(one) for one in data])
        self.model, self.frame = model, frame

    def play(self, job: Job) -> Tally:
        seed, weights = job
        chosen = None if weights is None else dict(weights)
        return tally(Replay(self.scene, self.model, seed, chosen).run(), self.frame)


_bench: list[Bench] = []  # a worker's one, laid out when the process starts


def _lay(data: Sequence[bytes], model: bytes, frame: Frame) -> None:
    _bench.append(Bench(data, msgspec.msgpack.decode(model, type=Model), frame))


def _play(job: Job) -> Tally:
    return _bench[0].play(job)


def play(
    data: Sequence[bytes],
    model: Model,
    frame: Frame,
    jobs: Sequence[Job],
    workers: int,
    halfway: Callable[[], None] = lambda: None,
) -> list[Tally]:
    """Each job's tally, in their order. `TraceError` where workers keep dying."""
    if workers < 2:
        bench = Bench(data, model, frame)
        return [bench.play(job) for job in jobs]
    done: dict[int, Tally] = {}
    packed = msgspec.msgpack.encode(model)
    for _ in range(AGAIN_MOST):
        left = [at for at in range(len(jobs)) if at not in done]
        if not left:
            break
        context = get_context("spawn")
        with ProcessPoolExecutor(min(workers, len(left)), context, _lay, (data, packed, frame)) as pool:
            futures: dict[Future[Tally], int] = {pool.submit(_play, jobs[at]): at for at in left}
            try:
                for one in as_completed(futures):
                    done[futures[one]] = one.result()
                    halfway()
            except BrokenProcessPool:
                LOG.warning("a worker died", extra={"done": len(done), "of": len(jobs)})
    if len(done) < len(jobs):
        raise TraceError(
            f"replays died {AGAIN_MOST} times", "see to the machine's memory; ask for fewer workers"
        )
    return [done[at] for at in range(len(jobs))]
