"""The list service: state machines on one replicated log, foremost the list of endpoints with leases.

This module defines only the command-line arguments, so that the sidecar's command line can offer
the service without importing it.
"""

from __future__ import annotations

import argparse
from pathlib import Path


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the list service to `parser`."""
    parser.add_argument("--listen", default="127.0.0.1:8500", help="HOST:PORT to listen on")
    parser.add_argument("--data", required=True, type=Path, help="folder of the log and the snapshot")
    parser.add_argument("--follow", metavar="HOST:PORT", help="follow the leader at this address")
    parser.add_argument(
        "--peers", metavar="HOST:PORT,...", default="",
        help="the other processes of this log, polled every second for the current leader",
    )  # fmt: skip
    parser.add_argument(
        "--copies", metavar="N", type=int, default=0,
        help="respond to a write only once N followers have it, so that no acknowledged write is lost "
        "with this process",
    )  # fmt: skip
    parser.add_argument(
        "--elect", action="store_true",
        help="the processes of this log, this one and those in --peers, elect the leader; a write is "
        "acknowledged once a majority has it",
    )  # fmt: skip
    parser.add_argument(
        "--take-over", action="store_true",
        help="lead with this log although a greater term was observed; entries that exist only in "
        "another log are lost",
    )  # fmt: skip
    parser.add_argument(
        "--audit-rules", metavar="FILE", type=Path,
        help="JSON: when sidecars count as behind, and when they are shut out (docs/on-call.md)",
    )  # fmt: skip
    parser.add_argument(
        "--stale-after", metavar="SECONDS", type=float, default=5.0,
        help="a follower without contact to the leader for this long reports that to its clients",
    )  # fmt: skip
    parser.add_argument(
        "--plans", metavar="FILE", type=Path,
        help="evaluate plans of weights and roll them out, with the sidecar addresses and rules of this file",
    )  # fmt: skip
