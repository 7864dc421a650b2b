"""Runs a what-if study: `python -m woadyard.whatif FOLDER`.

FOLDER contains `ask.json`, `{"weights": {...}, "rules": {...}}`, and one trace per file, `*.trace`.
The study is written to standard output as JSON; an error as `{"error", "remedy"}`, with status 1.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec

from woadyard.errors import PeerError, WoadyardError
from woadyard.whatif.settings import parse_rules
from woadyard.whatif.study import PlanEvaluator, Study


class StudyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Content of `ask.json`."""

    weights: dict[str, float]
    rules: dict[str, Any] = {}


def run_study(folder: Path) -> Study:
    """Study the folder's traces; raises WoadyardError if they or `ask.json` are invalid."""
    try:
        request: StudyRequest = msgspec.json.decode((folder / "ask.json").read_bytes(), type=StudyRequest)
    except msgspec.MsgspecError as error:
        raise PeerError(f"ask.json: {error}") from None
    data = [path.read_bytes() for path in sorted(folder.glob("*.trace"))]
    return PlanEvaluator(data, parse_rules(request.rules)).evaluate(request.weights)


def main() -> int:
    if len(sys.argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        study = run_study(Path(sys.argv[1]))
    except WoadyardError as error:
        sys.stdout.buffer.write(msgspec.json.encode(error.fields()))
        return 1
    sys.stdout.buffer.write(msgspec.json.encode(study))
    return 0


if __name__ == "__main__":
    sys.exit(main())
