"""The tool process of what-if: `python -m woadyard.whatif FOLDER`.

FOLDER has `ask.json`, `{"weights": {...}, "rules": {...}}`, and one recording a file, `*.trace`.
The study goes to standard output as JSON; an error as `{"error", "remedy"}`, with status 1.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec

from woadyard.errors import PeerError, WoadyardError
from woadyard.whatif.settings import read_rules
from woadyard.whatif.study import PlanEvaluator, Study


class Ask(msgspec.Struct, forbid_unknown_fields=True):
    weights: dict[str, float]
    rules: dict[str, Any] = {}


def study(folder: Path) -> Study:
    try:
        ask: Ask = msgspec.json.decode((folder / "ask.json").read_bytes(), type=Ask)
    except msgspec.MsgspecError as error:
        raise PeerError(f"ask.json: {error}") from None
    data = [path.read_bytes() for path in sorted(folder.glob("*.trace"))]
    return PlanEvaluator(data, read_rules(ask.rules)).evaluate(ask.weights)


def main() -> int:
    if len(sys.argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        found = study(Path(sys.argv[1]))
    except WoadyardError as error:
        sys.stdout.buffer.write(msgspec.json.encode(error.fields()))
        return 1
    sys.stdout.buffer.write(msgspec.json.encode(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
