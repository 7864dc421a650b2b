"""The README's quick start, tried on a clean clone of what is committed."""

from __future__ import annotations

import asyncio
import re
import shlex
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.process import call, free_port
from tests.sockets import run

ROOT = Path(__file__).parent.parent


def run_line() -> list[str]:
    text = (ROOT / "README.md").read_text()
    (line,) = re.findall(r"^LB_CONFIG=\S+ \.venv/bin/python -m woadyard$", text, re.M)
    return shlex.split(line)


@pytest.mark.skipif(shutil.which("git") is None or not (ROOT / ".git").exists(), reason="no git checkout")
def test_the_shipped_configuration_starts_and_is_ready(tmp_path: Path) -> None:
    run(try_it(tmp_path))


async def try_it(tmp_path: Path) -> None:
    clone = tmp_path / "clone"
    subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    setting, *command = run_line()
    name, _, value = setting.partition("=")
    command[0] = sys.executable  # the interpreter that has the pinned packages
    door = free_port()
    environ = {name: value, "LB_LISTEN": f"127.0.0.1:{free_port()}", "LB_CONSOLE": f"127.0.0.1:{door}"}
    process = await asyncio.create_subprocess_exec(
        *command, cwd=clone, env=environ, stderr=asyncio.subprocess.PIPE
    )
    ready = asyncio.ensure_future(call(door, "GET", "/_ready"))
    ended = asyncio.ensure_future(process.wait())
    try:
        await asyncio.wait((ready, ended), return_when=asyncio.FIRST_COMPLETED)
        assert ready.done() and ready.result().start.startswith("HTTP/1.1 200"), await told(process)
    finally:
        ready.cancel()
        if process.returncode is None:
            process.terminate()
        await ended


async def told(process: asyncio.subprocess.Process) -> str:
    assert process.stderr is not None
    return (await process.stderr.read()).decode(errors="replace")
