"""The scale run: `.venv-dev/bin/python -m benchmarks.scale run | fit | page`, from the project's root."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from woadyard.errors import WoadyardError

DEFAULT_SIZES = (100, 200, 400, 700, 1100)  # sidecars
POINTS_FOLDER = Path("docs/capacity")
# Each is a module of this package with a function `measure(out, sizes, turns)`.
PARTS = ("control", "latency", "retries", "growth", "exchange", "failover")
# Phases of the part `control`, which the command may select instead of all of them.
PHASES = ("leases", "quiet", "change", "begin", "zone", "writer", "restart", "regions")


def load_module(name: str) -> Any:
    """Import a module of this package on demand, as the parts depend on different libraries."""
    return importlib.import_module(f"benchmarks.scale.{name}")


def size_list(text: str) -> list[int]:
    """Parse comma-separated sizes; raises ArgumentTypeError for a size below 2."""
    sizes = [int(size) for size in text.split(",")]
    if min(sizes) < 2:
        raise argparse.ArgumentTypeError("a fleet has at least 2 sidecars")
    return sizes


def build_parser(command: str) -> argparse.ArgumentParser:
    """Build the parser; `fit` and `page` are imported for their arguments only if they are the command."""
    root_parser = argparse.ArgumentParser(prog="benchmarks.scale", description=__doc__)
    commands = root_parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    run = commands.add_parser("run", help="measure, and append the points to a file of JSON lines")
    run.add_argument(
        "parts", nargs="*", metavar="PART", choices=[*PARTS, *PHASES, []],
        help=f"of {', '.join(PARTS)}; phases of control: {', '.join(PHASES)}. Default: all parts",
    )  # fmt: skip
    run.add_argument(
        "--sizes", type=size_list, metavar="N,...",
        help="sidecars, or the unit of size of the part; default: those of each part",
    )  # fmt: skip
    run.add_argument("--out", type=Path, metavar="FILE", help="default: docs/capacity/PART.jsonl")
    run.add_argument(
        "--turns",
        type=int,
        metavar="N",
        help="how often each size is repeated; default: that of the part",
    )
    for name, help_text in (
        ("fit", "lines through the points"),
        ("page", "docs/CAPACITY.md from the points"),
    ):
        command_parser = commands.add_parser(name, help=help_text)
        if name == command:
            load_module(name).add_arguments(command_parser)
    return root_parser


def measure(arguments: argparse.Namespace) -> int:
    """Measure the selected parts, each with its own defaults."""
    phases = tuple(phase for phase in arguments.parts if phase in PHASES)
    parts = [name for name in PARTS if name in arguments.parts]
    if phases and "control" not in parts:
        parts.insert(0, "control")
    for part in parts or PARTS:
        part_module = load_module(part)
        out = arguments.out or getattr(part_module, "OUT", POINTS_FOLDER / f"{part}.jsonl")
        sizes = arguments.sizes or list(getattr(part_module, "SIZES", DEFAULT_SIZES))
        turns = arguments.turns or getattr(part_module, "TURNS", 1)
        measure_part: Callable[..., None] = part_module.measure
        extra_arguments = (phases,) if phases and part == "control" else ()
        measure_part(out, sizes, turns, *extra_arguments)
    return 0


def main(command_line: Sequence[str] | None = None) -> int:
    """Run the command; returns 2 after an error and 130 after an interrupt."""
    command_line = sys.argv[1:] if command_line is None else command_line
    arguments = build_parser(next(iter(command_line), "")).parse_args(command_line)
    try:
        if arguments.command == "run":
            return measure(arguments)
        return int(load_module(arguments.command).main(arguments))
    except WoadyardError as error:
        print(f"{error}: {error.remedy}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("interrupted; the points measured so far are in the output file", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
