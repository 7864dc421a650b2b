"""The list service: books on one replicated log, endpoints with leases first among them.

Only the command line's arguments live here, so that the sidecar's own command
line names the service without loading it.
"""

from __future__ import annotations

import argparse
from pathlib import Path


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--listen", default="127.0.0.1:8500", help="HOST:PORT to listen on")
    parser.add_argument("--data", required=True, type=Path, help="folder of its log and snapshot")
    parser.add_argument(
        "--follow", metavar="HOST:PORT", help="be a replica of the service there, which writes the list"
    )
    parser.add_argument(
        "--peers", metavar="HOST:PORT,...", default="",
        help="the other processes of this log: asked each second who leads",
    )  # fmt: skip
    parser.add_argument(
        "--copies", metavar="N", type=int, default=0,
        help="answer a write to the list once N replicas hold it, so that none that was answered "
        "is lost with this process",
    )  # fmt: skip
    parser.add_argument(
        "--elect", action="store_true",
        help="the processes of this log, this one and those in --peers, elect the one that writes; "
        "a write is answered once most of them hold it",
    )  # fmt: skip
    parser.add_argument(
        "--take-over", action="store_true",
        help="write on from this log though another one, of a greater term, was heard of; "
        "what is only there is lost",
    )  # fmt: skip
    parser.add_argument(
        "--audit-rules", metavar="FILE", type=Path,
        help="JSON: from when on sidecars are behind, and shut out (docs/on-call.md)",
    )  # fmt: skip
    parser.add_argument(
        "--stale-after", metavar="SECONDS", type=float, default=5.0,
        help="a replica that heard nothing of the writer for so long says so to its clients",
    )  # fmt: skip
    parser.add_argument(
        "--plans", metavar="FILE", type=Path,
        help="judge plans of weights and let them out, by the doors and rules of this file",
    )  # fmt: skip
