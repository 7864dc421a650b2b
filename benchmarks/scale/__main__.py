"""The scale run: `.venv-dev/bin/python -m benchmarks.scale run | fit | page`, from the project's root."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from woadyard.errors import WoadyardError

SIZES = (100, 200, 400, 700, 1100)
FOLDER = Path("docs/capacity")
# Each a module of this package with `measure(out, sizes, turns)`.
PARTS = ("control", "latency", "retries", "growth", "exchange", "failover")
# What is measured of the part `control` where its phases are named.
PHASES = ("leases", "quiet", "change", "begin", "zone", "writer", "restart", "regions")


def module(name: str) -> Any:
    """Loaded only when it is asked for: one part's libraries are not another's."""
    return importlib.import_module(f"benchmarks.scale.{name}")


def numbers(text: str) -> list[int]:
    found = [int(one) for one in text.split(",")]
    if min(found) < 2:
        raise argparse.ArgumentTypeError("a fleet has 2 sidecars at least")
    return found


def parser(command: str) -> argparse.ArgumentParser:
    """With the arguments of this command: those of the others are not looked up."""
    made = argparse.ArgumentParser(prog="benchmarks.scale", description=__doc__)
    commands = made.add_subparsers(dest="command", required=True, metavar="COMMAND")
    run = commands.add_parser("run", help="measure, and append the points to a file of JSON lines")
    run.add_argument(
        "parts", nargs="*", metavar="PART", choices=[*PARTS, *PHASES, []],
        help=f"of {', '.join(PARTS)}; phases of control: {', '.join(PHASES)}. Where none is named, all",
    )  # fmt: skip
    run.add_argument("--sizes", type=numbers, default=list(SIZES), metavar="N,...", help="sidecars")
    run.add_argument("--out", type=Path, metavar="FILE", help="docs/capacity/PART.jsonl where none is named")
    run.add_argument("--turns", type=int, default=1, metavar="N", help="how often each size is played")
    for name, told in (("fit", "lines through the points"), ("page", "docs/CAPACITY.md from the points")):
        one = commands.add_parser(name, help=told)
        if name == command:
            module(name).add_arguments(one)
    return made


def measure(arguments: argparse.Namespace) -> int:
    phases = tuple(one for one in arguments.parts if one in PHASES)
    parts = [one for one in PARTS if one in arguments.parts]
    if phases and "control" not in parts:
        parts.insert(0, "control")
    for part in parts or PARTS:
        out = arguments.out or FOLDER / f"{part}.jsonl"
        work: Callable[..., None] = module(part).measure
        chosen = (phases,) if phases and part == "control" else ()
        work(out, arguments.sizes, arguments.turns, *chosen)
    return 0


def main(words: Sequence[str] | None = None) -> int:
    words = sys.argv[1:] if words is None else words
    arguments = parser(next(iter(words), "")).parse_args(words)
    try:
        if arguments.command == "run":
            return measure(arguments)
        return int(module(arguments.command).main(arguments))
    except WoadyardError as error:
        print(f"{error}: {error.remedy}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("ended early; what was measured is in its file", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
