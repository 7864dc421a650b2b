"""How fast replays are: requests a second and core, and against real time with many sidecars.

Run from the project's root with the dev tools: `.venv-dev/bin/python -m benchmarks.whatif_speed`.
Replays 60 s of 200 sidecars with 30 requests a second each, 4 seeds in both arms over 8 worker
processes, reading and fitting the traces included; `--small` for a tenth of it. Seed 4242.
"""

from __future__ import annotations

import json
import os
import sys
import time

from benchmarks.whatif_world import record_traces
from woadyard.whatif.pool import run_replays
from woadyard.whatif.replay import Replay
from woadyard.whatif.settings import Rules
from woadyard.whatif.study import PlanEvaluator

KINDS = ["small"] * 120 + ["large"] * 60 + ["old"] * 60
PLAN = {"machineType=old": 0.3}
SEED, SEEDS, WORKERS = 4242, 4, 8


def main() -> None:
    sidecars = 20 if "--small" in sys.argv else 200
    kinds = KINDS[:: 200 // sidecars]
    data, facts = record_traces(kinds, sidecars=sidecars, seconds=60, rate=30, seed=SEED)
    requests = len(facts.requests.at)
    began = time.perf_counter()
    work = PlanEvaluator(data, Rules(seeds=SEEDS, workers=WORKERS))
    fitted = time.perf_counter() - began
    cpu, began = time.process_time(), time.perf_counter()
    Replay(work.workload, work.model, 0, None).run()
    one = time.process_time() - cpu
    began = time.perf_counter()
    jobs = [(seed, weights) for seed in range(SEEDS) for weights in (None, PLAN)]
    run_replays(work.data, work.model, work.layout, jobs, WORKERS)
    whole = time.perf_counter() - began
    told = {
        "sidecars": sidecars, "requests": requests, "trace_bytes": sum(len(one) for one in data),
        "read_and_fit_s": round(fitted, 2), "requests_per_cpu_s": round(requests / one),
        "one_replay_cpu_s": round(one, 2), "replays": len(jobs), "workers": WORKERS,
        "all_replays_s": round(whole, 2), "simulated_s": 60,
        "times_real_time_per_study": round(60 / (whole + fitted), 2),
        "times_real_time_all_replays": round(60 * len(jobs) / whole, 2),
        "cores": os.cpu_count(), "load_1min": round(os.getloadavg()[0], 1),
    }  # fmt: skip
    print(json.dumps(told))


if __name__ == "__main__":
    main()
