"""Settings of what-if: how a plan is replayed, evaluated and rolled out."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from woadyard.errors import ConfigError

Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Parameters of the replay, the verdict and the rollout.

    Shares are fractions of 1; `*_time` are fractions of a latency. A verdict is valid for `age_s`.
    """

    # Replay
    seeds: Count = 4
    workers: Count = 4
    block_ms: Count = 1000
    warm_s: Annotated[int, msgspec.Meta(ge=0)] = 3  # left out at the start, while the balancer still learns
    blocks_least: Count = 8
    requests_least: Count = 500
    # Self-check: the largest difference between the recording and the replay of the weights in force
    check_aim: Fraction = 0.02
    check_p99: Positive = 0.3
    check_endpoint: Fraction = 0.05
    check_refused: Fraction = 0.02
    # Verdict
    confidence: Annotated[float, msgspec.Meta(gt=0.5, lt=1.0)] = 0.9
    harm: Fraction = 0.01  # largest loss of the share within aim that counts as harmless
    gain: Fraction = 0.002  # smallest gain of that share that counts as better
    harm_time: Positive = 0.25  # largest rise of p99 that counts as harmless
    gain_time: Positive = 0.05  # smallest fall of p99 that counts as better
    thin_most: Fraction = 0.3  # of attempts in conditions that the trace does not cover
    over_most: Fraction = 0.02  # of an endpoint's attempts, sent while it is at its limit
    # Prediction intervals of what is measured in the rollout
    window_s: Count = 10
    floor_share: Fraction = 0.005
    floor_time: Fraction = 0.07
    floor_endpoint: Fraction = 0.01
    floor_thin: Fraction = 0.2  # times the share of attempts in conditions that the trace does not cover
    widen: Annotated[float, msgspec.Meta(ge=1.0, le=10.0)] = 1.0  # raised after wrong forecasts
    # Rollout
    age_s: Positive = 600.0
    stages: Annotated[tuple[Positive, ...], msgspec.Meta(min_length=1, max_length=16)] = (0.1, 0.5, 1.0)
    stage_wait_s: Positive = 60.0  # for the sidecars of a stage to apply the plan
    missing_most: Fraction = 0.0  # of a stage's sidecars that may still lack the plan after that time
    measured_least: Count = 200  # requests that a stage needs

    def __post_init__(self) -> None:
        if tuple(sorted(set(self.stages))) != self.stages or self.stages[-1] != 1.0:
            raise ValueError("stages must rise strictly and end at 1")


class PlansSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The file that the list service reads with `--plans`.

    `doors` maps the name of each sidecar that records traces to HOST:PORT of its admin listener;
    `every_ms` is the interval at which the plan under way is checked.
    """

    doors: dict[str, str]
    rules: Rules = Rules()
    every_ms: Count = 1000
    study_s: Positive = 300.0  # a study that takes longer is killed


T = TypeVar("T")


def _convert(raw: Any, kind: type[T]) -> T:
    """Return the settings, or raise ConfigError that names the first invalid one."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"what-if: {error}", "correct the setting that the message names") from None


def parse_rules(raw: Any) -> Rules:
    """Return the rules of a decoded JSON object; raises ConfigError."""
    return _convert(raw, Rules)


def read_plans_settings(path: Path) -> PlansSettings:
    """Read the file of `--plans`; raises ConfigError."""
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return _convert(raw, PlansSettings)
