"""`python -m woadyard`: the sidecar, or a command for operators."""

from __future__ import annotations

import sys


def main() -> int:
    """Run a command, or the sidecar if none is given; return the exit status.

    The sidecar may have 32 MB of memory in all: it imports nothing of the commands.
    """
    if len(sys.argv) > 1:
        from woadyard import cli

        return cli.run_command(sys.argv[1:])
    from woadyard.ops.without_openssl import exclude_openssl

    exclude_openssl()
    from woadyard import sidecar

    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())
