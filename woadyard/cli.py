"""The command line: `python -m woadyard [COMMAND]`.

Without a command the sidecar runs, configured by `LB_CONFIG` and the other
variables as before; the commands beside it serve the operators.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from woadyard.errors import ConfigError
from woadyard.net.config import read_config, read_config_file, reread_config
from woadyard.registry import add_arguments

# What a command returns to the shell where the configuration has faults.
EXIT_CONFIG_ERROR = 2


def build_parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="woadyard",
        description="A load-balancing sidecar. Without a command it runs, configured by "
        "LB_CONFIG (a JSON file) and LB_LISTEN, LB_DISCOVERY, LB_CONSOLE, LB_ACCEPT_FD.",
    )
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    check = commands.add_parser(
        "check-config",
        help="check a configuration whole, as the start and SIGHUP would",
        description="Prints one line for each fault found and exits with 2 if there is any; "
        "each line is the one that a start or a SIGHUP would give.",
    )
    check.add_argument("file", help="the JSON file to check")
    check.add_argument(
        "--in-force",
        metavar="FILE",
        help="the file a running process has in force: a reload must say all that it says",
    )
    registry = commands.add_parser(
        "registry",
        help="run the list service",
        description="The list service: versions, watches, leases, kept in a log with snapshots.",
    )
    add_arguments(registry)
    return top


def find_config_errors(path: str, in_force: str | None = None) -> list[str]:
    """The faults of the file at `path`, one line each: the start's check, then
    the reload's against the file `in_force` (or itself), each line as that
    check says it; none for a good file."""
    against = in_force or path
    try:
        force = read_config_file(against)
    except (OSError, ValueError, ConfigError) as error:
        if in_force is None:  # the start's check says it, as a start would
            force = {}
        else:
            return [f"{against}: {type(error).__name__}: {error}"]
    found: list[str] = []
    for check in (lambda: read_config({"LB_CONFIG": path}), lambda: reread_config(path, force)):
        try:
            check()
        except ConfigError as error:
            if str(error) not in found:
                found.append(str(error))
    return found


def check_config(path: str, in_force: str | None = None) -> int:
    found = find_config_errors(path, in_force)
    for line in found:
        print(line)
    if not found:
        print(f"{path}: good")
    return EXIT_CONFIG_ERROR if found else 0


def parse_arguments(argv: Sequence[str] | None = None) -> argparse.Namespace:
    return build_parser().parse_args(sys.argv[1:] if argv is None else argv)
