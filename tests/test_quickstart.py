"""The README's first run, tried on a clean clone of what is committed: it ends with an answer."""

from __future__ import annotations

import asyncio
import os
import re
import shlex
import shutil
import subprocess
from pathlib import Path

import pytest

from tests.lab import Lab, Program, call

ROOT = Path(__file__).parent.parent


def readme(pattern: str) -> str:
    """The one line of the README that is so."""
    (line,) = re.findall(rf"^{pattern}$", (ROOT / "README.md").read_text(), re.M)
    return str(line)


@pytest.mark.skipif(shutil.which("git") is None or not (ROOT / ".git").exists(), reason="no git checkout")
async def test_the_readmes_fleet_answers_its_curl_and_leaves_no_process(lab: Lab) -> None:
    clone = lab.folder / "clone"
    subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    words = shlex.split(readme(r"\.venv/bin/python -m woadyard\.standins fleet"))[2:]
    port, door = lab.free_port(), lab.free_port()
    at = {"LB_LISTEN": port, "LB_CONSOLE": door, "LB_DISCOVERY": lab.free_port()}
    environ = {**os.environ, **{key: f"127.0.0.1:{value}" for key, value in at.items()}}
    fleet = lab.run(Program("fleet", lab.folder, words, environ, port, door, cwd=clone))
    while not (told := [event for event in fleet.events() if event.startswith("ready, try: ")]):
        assert fleet.process.poll() is None, fleet.events()
        await asyncio.sleep(0.1)
    curl = told[0].removeprefix("ready, try: ")
    assert curl.replace(f":{port}/", ":8080/") == readme("curl -H .*")
    headers = dict(word.split(": ") for word in shlex.split(curl) if ": " in word)
    back = await call(port, "GET", "/page", **headers)
    assert back.status == 200 and "served /page" in back.text
    fleet.send()
    assert await fleet.ended() == 0
    ports = [line["port"] for line in fleet.lines if line["event"] == "listening"]
    for one in (port, door, *ports):
        with pytest.raises(ConnectionError):
            await asyncio.open_connection("127.0.0.1", one)
