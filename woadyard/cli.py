"""The command line: `python -m woadyard [COMMAND]`.

Without a command the sidecar runs, configured by `LB_CONFIG` and the other
environment variables. The commands are tools for operators.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from woadyard.errors import EXIT_CONFIG_ERROR, ConfigError
from woadyard.net.config import read_config, read_config_file, reread_config
from woadyard.registry import add_arguments


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    root_parser = argparse.ArgumentParser(
        prog="woadyard",
        description="A load-balancing sidecar. Without a command it runs, configured by "
        "LB_CONFIG (a JSON file) and LB_LISTEN, LB_DISCOVERY, LB_CONSOLE, LB_ACCEPT_FD.",
    )
    commands = root_parser.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser(
        "check-config",
        help="check a configuration file as a start and a SIGHUP reload would",
        description="Prints one line for each error and exits with 2 if there is any; "
        "each line is the one that a start or a SIGHUP would log.",
    )
    check.add_argument("file", help="the JSON file to check")
    check.add_argument(
        "--in-force",
        metavar="FILE",
        help="the file that a running process uses: a reload must have every key that it has",
    )
    registry = commands.add_parser(
        "registry",
        help="run the list service",
        description="The list service: versions, watches and leases, kept in a log with snapshots.",
    )
    add_arguments(registry)
    return root_parser


def find_config_errors(path: str, in_force: str | None = None) -> list[str]:
    """Return the errors of the configuration file at `path`, one line each.

    The file is checked as at a start, then as at a reload of a process that runs with the
    file `in_force` (by default with `path` itself). The lines are those that the start or
    the reload would log; a valid file has none.
    """
    reference_path = in_force or path
    try:
        raw_in_force = read_config_file(reference_path)
    except (OSError, ValueError, ConfigError) as error:
        if in_force is None:  # the check of the start reports it, as a start would
            raw_in_force = {}
        else:
            return [f"{reference_path}: {type(error).__name__}: {error}"]
    errors: list[str] = []
    for check in (lambda: read_config({"LB_CONFIG": path}), lambda: reread_config(path, raw_in_force)):
        try:
            check()
        except ConfigError as error:
            if str(error) not in errors:
                errors.append(str(error))
    return errors


def check_config(path: str, in_force: str | None = None) -> int:
    """Print the errors of a configuration file; return the exit status."""
    errors = find_config_errors(path, in_force)
    for line in errors:
        print(line)
    if not errors:
        print(f"{path}: good")
    return EXIT_CONFIG_ERROR if errors else 0


def run_command(argv: Sequence[str]) -> int:
    """Run the command that the arguments name; return the exit status."""
    arguments = parse_arguments(argv)
    if arguments.command == "check-config":
        return check_config(arguments.file, arguments.in_force)
    if arguments.command == "registry":
        from woadyard.registry.command import start

        return start(arguments)
    build_parser().print_help()
    return EXIT_CONFIG_ERROR


def parse_arguments(argv: Sequence[str] | None = None) -> argparse.Namespace:
    """Parse `argv`, by default the arguments of this process."""
    return build_parser().parse_args(sys.argv[1:] if argv is None else argv)
