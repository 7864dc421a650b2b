"""The replay pool with workers that die, stop or fail at chosen moments; the digests stay the same."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from functools import cache
from multiprocessing import active_children
from pathlib import Path
from typing import Any

import pytest

from tests.test_whatif_replay import GOOD, make_evaluator
from woadyard.errors import TraceError
from woadyard.whatif.pool import PoolLimits, ReplayJob, run_replays

JOBS: list[ReplayJob] = [(0, None), (1, None), (0, GOOD), (1, GOOD)]
WORKERS = 3
POLL_INTERVAL_S = 0.0002
# Where the kernel holds a process that waits for room in a pipe or a socket.
WRITE_WAIT_CHANNELS = ("pipe_write", "sock_alloc_send")
STOPPED_STATE = "T"
# A study in a process of its own, which prints a line once its workers are running.
STUDY = """
from tests.test_whatif_pool import JOBS, replay
if __name__ == "__main__":
    replay(JOBS * 50, 3, lambda: print("running", flush=True))
"""


def replay(
    jobs: list[ReplayJob], workers: int, on_job_done: Callable[[], None] = lambda: None, **options: Any
) -> list[str]:
    """Runs the jobs and returns the digests of their tallies."""
    evaluator = make_evaluator()
    tallies = run_replays(
        evaluator.data, evaluator.model, evaluator.layout, jobs, workers, on_job_done, **options
    )
    return [tally.digest for tally in tallies]


@cache
def serial_digests() -> list[str]:
    return replay(JOBS, 1)


def wait_for_writing_worker() -> int:
    """Waits until a worker is inside a write that does not fit its pipe or socket; returns its id."""
    while True:
        for child in active_children():
            channel = Path(f"/proc/{child.pid}/wchan").read_text()
            if any(name in channel for name in WRITE_WAIT_CHANNELS):
                assert child.pid is not None
                return child.pid
        time.sleep(POLL_INTERVAL_S)


class SignalOnce:
    """A callback that sends a signal to one worker that is inside a write."""

    def __init__(self, number: int) -> None:
        self.number, self.is_sent = number, False

    def __call__(self) -> None:
        if not self.is_sent:
            self.is_sent = True
            os.kill(wait_for_writing_worker(), self.number)


class WorkerKiller:
    """A thread that kills workers as soon as they start, `limit` of them."""

    def __init__(self, limit: int) -> None:
        self.limit, self.killed = limit, set[int]()
        self.is_ended = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self) -> WorkerKiller:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_ended.set()
        self.thread.join()

    def _run(self) -> None:
        while len(self.killed) < self.limit and not self.is_ended.is_set():
            for child in active_children():
                if child.pid is not None and child.pid not in self.killed:
                    child.kill()
                    self.killed.add(child.pid)
                    break
            time.sleep(POLL_INTERVAL_S)


# Guards against a pool that waits for ever for the rest of a killed worker's result.
def test_a_worker_killed_inside_a_write_is_replaced(caplog: pytest.LogCaptureFixture) -> None:
    digests = replay(JOBS * 3, WORKERS, SignalOnce(signal.SIGKILL))
    assert digests == serial_digests() * 3 and "a worker died" in caplog.text


# Guards against a worker that neither dies nor answers, with half of its result sent.
def test_a_worker_stopped_inside_a_write_is_killed_and_replaced(caplog: pytest.LogCaptureFixture) -> None:
    limits = PoolLimits(heartbeat_s=0.2, silence_s=10.0)
    digests = replay(JOBS * 3, WORKERS, SignalOnce(signal.SIGSTOP), limits=limits)
    assert digests == serial_digests() * 3 and "an unresponsive worker is killed" in caplog.text


# Guards against a start that waits for ever for a worker that died while it loaded its data.
def test_a_worker_killed_at_its_start_is_replaced(caplog: pytest.LogCaptureFixture) -> None:
    with WorkerKiller(1):
        digests = replay(JOBS, WORKERS)
    assert digests == serial_digests() and "a worker died" in caplog.text


def test_a_job_that_exceeds_its_time_is_given_up() -> None:
    with pytest.raises(TraceError, match="died on one replay") as raised:
        replay(JOBS, WORKERS, limits=PoolLimits(heartbeat_s=0.05, job_s=0.1))
    assert raised.value.remedy


def test_workers_that_die_again_and_again_end_the_run_with_an_error() -> None:
    with WorkerKiller(1000), pytest.raises(TraceError, match="died on one replay"):
        replay(JOBS, WORKERS)
    assert not active_children()


def test_the_error_of_a_job_is_raised() -> None:
    with pytest.raises(TypeError):
        replay([*JOBS, (0, {"machineType=old": None})], WORKERS)  # type: ignore[dict-item]
    assert not active_children()


def children_of(process_id: int) -> list[int]:
    text = Path(f"/proc/{process_id}/task/{process_id}/children").read_text()
    return [int(child) for child in text.split()]


def is_running(process_id: int) -> bool:
    try:
        state = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


@pytest.fixture
def study() -> Iterator[subprocess.Popen[str]]:
    """A process that runs replays, with its workers running."""
    root = Path(__file__).parent.parent
    process = subprocess.Popen([sys.executable, "-c", STUDY], cwd=root, stdout=subprocess.PIPE, text=True)
    with process:
        assert process.stdout is not None and process.stdout.readline() == "running\n"
        yield process
        process.kill()


# Guards against workers that outlive a study which the service has killed.
def test_workers_end_when_their_study_is_killed(study: subprocess.Popen[str]) -> None:
    children = children_of(study.pid)
    assert len(children) > WORKERS - 1
    study.kill()
    while any(is_running(child) for child in children):
        time.sleep(0.02)
