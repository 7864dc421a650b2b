"""The rules of what-if, checked whole: how a plan is replayed and judged, and how it goes out."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from woadyard.errors import ConfigError

Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Shares are of 1. A verdict holds `age_s`."""

    # The replay.
    seeds: Count = 4
    workers: Count = 4
    block_ms: Count = 1000
    warm_s: Annotated[int, msgspec.Meta(ge=0)] = 3  # at the beginning: the module still learns
    blocks_least: Count = 8
    requests_least: Count = 500
    # The check on itself: the replay of what is in force may differ so far from the recording.
    check_aim: Fraction = 0.02
    check_p99: Positive = 0.3
    check_endpoint: Fraction = 0.05
    check_refused: Fraction = 0.02
    # The verdict.
    confidence: Annotated[float, msgspec.Meta(gt=0.5, lt=1.0)] = 0.9
    harm: Fraction = 0.01  # a loss of share in aim that is still harmless
    gain: Fraction = 0.002  # a gain that is worth the name
    harm_time: Positive = 0.25  # a rise of p99 that is still harmless
    gain_time: Positive = 0.05
    thin_most: Fraction = 0.3  # of attempts that rest on what the trace can't tell
    over_most: Fraction = 0.02  # of an endpoint's attempts that find its limit reached
    # The interval of what is measured later.
    window_s: Count = 10
    floor_share: Fraction = 0.005
    floor_time: Fraction = 0.07
    floor_endpoint: Fraction = 0.01
    floor_thin: Fraction = 0.2  # times the share of attempts that rest on what the trace can't tell
    widen: Annotated[float, msgspec.Meta(ge=1.0, le=10.0)] = 1.0  # raised by forecasts that failed
    # The rollout.
    age_s: Positive = 600.0
    stages: Annotated[tuple[Positive, ...], msgspec.Meta(min_length=1, max_length=16)] = (0.1, 0.5, 1.0)
    stage_wait_s: Positive = 60.0  # for sidecars to act on the plan
    missing_most: Fraction = 0.0  # of a stage's sidecars that may be left behind after that
    measured_least: Count = 200  # requests that a stage is judged by

    def __post_init__(self) -> None:
        if tuple(sorted(set(self.stages))) != self.stages or self.stages[-1] != 1.0:
            raise ValueError("stages must rise to 1")


class PlansSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The file that the list service is given with `--plans`: the doors of the sidecars that record,
    HOST:PORT by the sidecar's name, and the rules."""

    doors: dict[str, str]
    rules: Rules = Rules()
    every_ms: Count = 1000
    study_s: Positive = 300.0  # a study that takes longer is given up


T = TypeVar("T")


def _convert(raw: Any, kind: type[T]) -> T:
    """`ConfigError` names the first fault; nothing is taken in part."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"what-if: {error}", "mend the setting that the message names") from None


def parse_rules(raw: Any) -> Rules:
    return _convert(raw, Rules)


def read_plans_settings(path: Path) -> PlansSettings:
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return _convert(raw, PlansSettings)
